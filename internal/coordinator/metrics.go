package coordinator

import (
	"errors"
	"expvar"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/platform"
)

// metrics are the counters of the control side. Counts are since the start of the
// process.
type metrics struct {
	all *expvar.Map
	// store counts calls to the store by "CALL/RESULT".
	store *expvar.Map
	// grants counts calls to targets by "grant/RESULT" and "release/RESULT".
	grants *expvar.Map
	// moves counts moves of keys that were planned, terms those that began here.
	moves, terms expvar.Int
	// holdLeft is the shortest time in milliseconds that a granted run of keys is
	// surely held, as of the last plan; 0 on hosts that do not lead.
	holdLeft expvar.Int
	// granted and ungranted are the runs of keys that this leader has granted, or
	// not.
	granted, ungranted expvar.Int
	// peerBytes counts the bytes that a leader sent to other hosts, by method.
	peerBytes *expvar.Map
	// leaderLag is how old the leader's latest message was on arrival, in
	// milliseconds.
	leaderLag expvar.Int
}

func newMetrics(c *Coordinator) *metrics {
	m := &metrics{all: new(expvar.Map).Init(), store: new(expvar.Map).Init(), grants: new(expvar.Map).Init(), peerBytes: new(expvar.Map).Init()}
	m.all.Set("store_calls_total", m.store)
	m.all.Set("target_calls_total", m.grants)
	m.all.Set("moves_total", &m.moves)
	m.all.Set("terms_total", &m.terms)
	m.all.Set("hold_left_min_ms", &m.holdLeft)
	m.all.Set("runs_granted", &m.granted)
	m.all.Set("runs_ungranted", &m.ungranted)
	m.all.Set("peer_bytes_total", m.peerBytes)
	m.all.Set("leader_lag_ms", &m.leaderLag)
	age := func(f *follower) expvar.Func {
		return func() any { return f.age(boottime.Now()).Milliseconds() }
	}
	m.all.Set("desired_state_age_ms", age(c.operator))
	m.all.Set("targets_age_ms", age(c.targets))
	m.all.Set("desired_state_version", expvar.Func(func() any {
		if d := c.Snapshot().DesiredState; d != nil {
			return d.Version
		}
		return 0
	}))
	m.all.Set("leading", expvar.Func(func() any { return c.Leading() }))
	m.all.Set("hosts", expvar.Func(func() any { return c.HostCount() }))
	return m
}

// storeCall counts a call to the store.
func (m *metrics) storeCall(call string, err error) { m.store.Add(call+"/"+resultOf(err), 1) }

// targetCall counts a grant or a release.
func (m *metrics) targetCall(call string, err error) { m.grants.Add(call+"/"+resultOf(err), 1) }

// holds notes how long the runs of a leader are held.
func (m *metrics) holds(left time.Duration, granted, ungranted int) {
	m.holdLeft.Set(left.Milliseconds())
	m.granted.Set(int64(granted))
	m.ungranted.Set(int64(ungranted))
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
func (c *Coordinator) Vars() *expvar.Map { return c.m.all }
