package coordinator

import (
	"errors"
	"expvar"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/platform"
)

// metrics holds the metrics of the control side. Counters start at zero with the
// process.
type metrics struct {
	root *expvar.Map
	// storeCalls counts calls to the store by "CALL/RESULT".
	storeCalls *expvar.Map
	// topicReads counts the reads by which this host follows topics, by "TOPIC/CAUSE/RESULT".
	topicReads *expvar.Map
	// targetCalls counts calls to targets by "grant/RESULT" and "release/RESULT".
	targetCalls *expvar.Map
	// moves counts planned moves of key ranges, terms the terms led by this host.
	moves, terms expvar.Int
	// minLeaseLeft is the shortest time in milliseconds for which the lease of a granted
	// key range is certain to last, as of the last plan; 0 on hosts that do not lead.
	minLeaseLeft expvar.Int
	// grantedRanges and ungrantedRanges are the numbers of key ranges that this leader
	// has and has not granted.
	grantedRanges, ungrantedRanges expvar.Int
	// peerBytes counts the bytes that a leader sent to other hosts, by method.
	peerBytes *expvar.Map
	// permits counts the answers to requests for permits, by who gave them and result.
	permits *expvar.Map
	// allotments counts the messages to the leader about allotments, by result, and the
	// decisions that the host made by its even share.
	allotments *expvar.Map
	// suspects counts what happened to suspected requests, by quarantine.EventKind.
	suspects *expvar.Map
	// leaderLag is the age of the leader's latest message on arrival, in milliseconds.
	leaderLag expvar.Int
}

func newMetrics(c *Coordinator) *metrics {
	m := &metrics{root: new(expvar.Map).Init(), storeCalls: new(expvar.Map).Init(), topicReads: new(expvar.Map).Init(), targetCalls: new(expvar.Map).Init(), peerBytes: new(expvar.Map).Init(), permits: new(expvar.Map).Init(), allotments: new(expvar.Map).Init(), suspects: new(expvar.Map).Init()}
	m.root.Set("store_calls_total", m.storeCalls)
	m.root.Set("topic_reads_total", m.topicReads)
	m.root.Set("target_calls_total", m.targetCalls)
	m.root.Set("moves_total", &m.moves)
	m.root.Set("terms_total", &m.terms)
	m.root.Set("hold_left_min_ms", &m.minLeaseLeft)
	m.root.Set("runs_granted", &m.grantedRanges)
	m.root.Set("runs_ungranted", &m.ungrantedRanges)
	m.root.Set("peer_bytes_total", m.peerBytes)
	m.root.Set("permits_total", m.permits)
	m.root.Set("allotment_messages_total", m.allotments)
	m.root.Set("customers", expvar.Func(func() any { return c.allotments.counts() }))
	m.root.Set("suspected_requests_total", m.suspects)
	m.root.Set("refused_requests", expvar.Func(func() any { return c.SuspectedRequests().Refused() }))
	m.root.Set("leader_lag_ms", &m.leaderLag)
	age := func(f *follower) expvar.Func {
		return func() any { return f.age(boottime.Now()).Milliseconds() }
	}
	m.root.Set("desired_state_age_ms", age(c.operator))
	m.root.Set("targets_age_ms", age(c.targets))
	m.root.Set("desired_state_version", expvar.Func(func() any {
		if d := c.Snapshot().DesiredState; d != nil {
			return d.Version
		}
		return 0
	}))
	m.root.Set("store_era", expvar.Func(func() any { return c.storeEra.Load() }))
	m.root.Set("leading", expvar.Func(func() any { return c.Leading() }))
	m.root.Set("hosts", expvar.Func(func() any { return c.HostCount() }))
	return m
}

// storeCall counts a call to the store.
func (m *metrics) storeCall(call string, err error) { m.storeCalls.Add(call+"/"+resultOf(err), 1) }

// topicRead counts a read of a topic.
func (m *metrics) topicRead(topic string, cause readCause, err error) {
	m.topicReads.Add(topic+"/"+string(cause)+"/"+resultOf(err), 1)
}

// targetCall counts a grant or a release.
func (m *metrics) targetCall(call string, err error) { m.targetCalls.Add(call+"/"+resultOf(err), 1) }

// setLeases records the state of the key leases that a leader has granted.
func (m *metrics) setLeases(left time.Duration, granted, ungranted int) {
	m.minLeaseLeft.Set(left.Milliseconds())
	m.grantedRanges.Set(int64(granted))
	m.ungrantedRanges.Set(int64(ungranted))
}

// resultOf names the result of a call: "ok" or the outcome of its failure.
func resultOf(err error) string {
	var e *platform.Error
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &e):
		return string(e.Outcome)
	}
	return "error"
}

// Vars returns the metrics of the control side.
func (c *Coordinator) Vars() *expvar.Map { return c.metrics.root }
