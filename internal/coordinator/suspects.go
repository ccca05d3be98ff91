package coordinator

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/quarantine"
)

// suspectsLinkShare is the part of the leader's link that its list may use. In a large
// deployment a long list that changes with each tick would take all of it.
const suspectsLinkShare = 0.25

// maxUnreported bounds the observations that wait for the leader. Older ones are dropped.
const maxUnreported = 256

// suspectedRequests is what a host knows of the requests under which targets ended. The
// leader counts for all hosts; a host that hears from no leader goes on with what it last
// heard and what it sees itself.
type suspectedRequests struct {
	mu     sync.Mutex
	ledger *quarantine.Ledger
	// unreported has the observations that the leader has not been sent, sent those that
	// its list may not have yet.
	unreported, sent []observation
	// applied has, for the leader, the last observations of each host that its list has.
	applied map[string]appliedObservations
	// untold says that the leader has changes to tell the other hosts, which it does from
	// tellAt on.
	untold bool
	tellAt time.Duration
	list   atomic.Pointer[quarantine.List]
}

// observation is what a host saw of a suspected request.
type observation struct {
	kind    observationKind
	request quarantine.Request
	// host is the address of the host whose run ended.
	host string
	end  quarantine.End
	// refused is the request as this host refuses it, at the time of end.
	refused quarantine.Statement
	// repeated says that an earlier leader may have been told.
	repeated bool
	// sentAt is when the leader was sent it.
	sentAt time.Duration
}

// appliedObservations says until which time, on the clock of the host that sent them, a
// leader's list has the observations of a host, and when they came.
type appliedObservations struct{ sentAt, at time.Duration }

// appliedTime is how long a leader's list says which observations it has. A host waits no
// longer for that.
const appliedTime = 2 * time.Second

// observationKind says what a host saw.
type observationKind string

const (
	targetEnded observationKind = "end"     // a target ended before it answered
	answered    observationKind = "answer"  // a target answered
	runEnded    observationKind = "done"    // the run that the host took has ended
	refused     observationKind = "refused" // the host refuses it since before the leader
)

func (s *suspectedRequests) init(cfg quarantine.Config) {
	s.ledger, s.applied = quarantine.NewLedger(cfg), map[string]appliedObservations{}
}

// SuspectedRequests returns the requests under which targets ended, or nil when there are
// none.
func (c *Coordinator) SuspectedRequests() *quarantine.List { return c.suspects.list.Load() }

// RecordTargetEnd records that a target ended before it answered a request.
func (c *Coordinator) RecordTargetEnd(r quarantine.Request, target fleet.Incarnation) {
	c.observe(observation{kind: targetEnded, request: r, end: quarantine.End{Target: target, At: boottime.Now()}})
}

// RecordAnswer records that a target answered a suspected request.
func (c *Coordinator) RecordAnswer(r quarantine.Request) {
	c.observe(observation{kind: answered, request: r})
}

// EndRun records that the run that TakeRun granted has ended.
func (c *Coordinator) EndRun(r quarantine.Request) {
	c.observe(observation{kind: runEnded, request: r, host: c.cfg.Peer})
}

// runTimeout bounds the wait for the leader's answer to a request for a run. A leader that
// is silent for as long is given up. A host that decided sooner could send a copy beside one
// that the leader knows of.
const runTimeout = silentAfter

// TakeRun asks the leader whether a copy of a suspected request may be sent, which ends
// within lasts. If not, wait is the time after which to ask again. A host without a leader
// decides by itself.
func (c *Coordinator) TakeRun(ctx context.Context, r quarantine.Request, lasts time.Duration) (granted bool, wait time.Duration) {
	if k := c.link.Load(); k != nil && !c.Leading() {
		ctx, cancel := context.WithTimeout(ctx, runTimeout)
		defer cancel()
		var reply runReply
		err := k.call(ctx, methodRun, runMessage{Request: r, Host: c.cfg.Peer, LastsMS: lasts.Milliseconds()}, &reply)
		if err == nil {
			return reply.Granted, time.Duration(max(0, reply.WaitMS)) * time.Millisecond
		}
		c.cfg.Log.Debug("run_unanswered", "digest", r.ID.String(), "err", err)
	}
	return c.takeRun(r, c.cfg.Peer, lasts)
}

func (c *Coordinator) takeRun(r quarantine.Request, host string, lasts time.Duration) (granted bool, wait time.Duration) {
	c.suspects.mu.Lock()
	defer c.suspects.mu.Unlock()
	granted, wait = c.suspects.ledger.TakeRun(boottime.Now(), r.ID, host, lasts)
	c.logSuspects()
	return granted, wait
}

// runMessage asks the leader for a run. LastsMS is in milliseconds.
type runMessage struct {
	quarantine.Request
	Host    string `json:"host"`
	LastsMS int64  `json:"lasts_ms"`
}

// runReply is the leader's answer. WaitMS is in milliseconds.
type runReply struct {
	Granted bool  `json:"granted"`
	WaitMS  int64 `json:"wait_ms,omitempty"`
}

// handleRun handles another host's request to the leader.
func (c *Coordinator) handleRun(r *jsonrpc2.Request) (any, error) {
	var m runMessage
	if err := unmarshalParams(r, &m); err != nil {
		return nil, err
	}
	granted, wait := c.takeRun(m.Request, m.Host, time.Duration(max(0, m.LastsMS))*time.Millisecond)
	return runReply{Granted: granted, WaitMS: wait.Milliseconds()}, nil
}

func (c *Coordinator) observe(o observation) {
	s := &c.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(boottime.Now(), o)
	c.publishSuspects()
	if c.Leading() {
		return // serveExpiry tells the others
	}
	if len(s.unreported) == maxUnreported {
		s.unreported = s.unreported[1:]
	}
	s.unreported = append(s.unreported, o)
	select {
	case c.suspectsReported <- struct{}{}:
	default: // a signal is pending, and all observations will be sent
	}
}

// apply adds an observation to the ledger; s.mu is held.
func (s *suspectedRequests) apply(now time.Duration, o observation) {
	switch o.kind {
	case targetEnded:
		s.ledger.RecordEnd(now, o.request, o.end)
	case answered:
		s.ledger.RecordAnswer(now, o.request.ID)
	case runEnded:
		s.ledger.EndRun(now, o.request.ID, o.host)
	case refused:
		s.ledger.Adopt(o.end.At, o.refused)
	}
}

// logSuspects logs the events of the ledger; c.suspects.mu is held.
func (c *Coordinator) logSuspects() {
	for _, e := range c.suspects.ledger.TakeEvents() {
		c.metrics.suspects.Add(string(e.Kind), 1)
		c.cfg.Log.Warn("suspected_request", "kind", string(e.Kind), "digest", e.ID.String(), "targets", strings.Join(e.Targets, ","),
			"runner", e.Host, "trial_in_ms", max(0, e.RetryAfter.Milliseconds()), "leading", c.Leading())
	}
}

// publishSuspects publishes the list of the ledger; c.suspects.mu is held.
func (c *Coordinator) publishSuspects() {
	c.logSuspects()
	c.suspects.list.Store(c.suspects.ledger.List())
	c.signalChange() // requests may wait for an owner or for a run
}

// tickSuspects forgets what is old. The leader tells the other hosts what has changed.
func (c *Coordinator) tickSuspects(now time.Duration) {
	s := &c.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Len() > 0 {
		s.ledger.Expire(now)
	}
	if s.ledger.TakeChanged() {
		c.publishSuspects()
		s.untold = true
	}
	if !c.Leading() {
		s.untold = false // the leader tells
	}
	if !s.untold || now < s.tellAt {
		return
	}
	s.untold = false
	bytes := c.peers.send(methodSuspects, s.message(now))
	s.tellAt = now + c.suspectsSendTime(bytes)
}

// message returns the leader's list; s.mu is held.
func (s *suspectedRequests) message(now time.Duration) suspectsMessage {
	m := suspectsMessage{Requests: s.ledger.State(now)}
	maps.DeleteFunc(s.applied, func(_ string, a appliedObservations) bool { return now-a.at > appliedTime })
	for host, a := range s.applied {
		if m.Applied == nil {
			m.Applied = map[string]time.Duration{}
		}
		m.Applied[host] = a.sentAt
	}
	return m
}

// suspectsSendTime returns the time that bytes take on the part of the link for the list.
func (c *Coordinator) suspectsSendTime(bytes int) time.Duration {
	if c.cfg.LinkMbps <= 0 {
		return 0 // not known
	}
	seconds := float64(8*bytes) / (suspectsLinkShare * c.cfg.LinkMbps * 1e6)
	return time.Duration(seconds * float64(time.Second))
}

// retrySuspects makes trials due after a change of the desired state or of the targets.
func (c *Coordinator) retrySuspects(now time.Duration) {
	c.suspects.mu.Lock()
	defer c.suspects.mu.Unlock()
	c.suspects.ledger.RetrySoon(now)
}

// isNewRelease reports whether no target of the workload has run the release of a target
// before. It looks only while requests are suspected.
func (c *Coordinator) isNewRelease(t *fleet.Target) bool {
	if c.SuspectedRequests() == nil {
		return false
	}
	for _, x := range c.Snapshot().TargetsOf(t.Workload) {
		if x.Release == t.Release {
			return false
		}
	}
	return true
}

// suspectsMessage is the leader's list of suspected requests.
type suspectsMessage struct {
	Requests []quarantine.Statement `json:"requests"`
	// Applied has, by the address of a host, the SentAt of its last observations that the
	// list has.
	Applied map[string]time.Duration `json:"applied,omitempty"`
}

// observationsMessage reports observations to the leader. The ages count from when the
// message was made.
type observationsMessage struct {
	Observations []statedObservation `json:"observations"`
	// Host is the address of the host, SentAt the time on its clock in ns.
	Host   string        `json:"host"`
	SentAt time.Duration `json:"sent_at"`
}

type statedObservation struct {
	Kind observationKind `json:"kind"`
	quarantine.Request
	Host   string            `json:"host,omitempty"`
	Target fleet.Incarnation `json:"run"`
	AgeMS  int64             `json:"age_ms"`
	// Refused is the request of kind refused.
	Refused *quarantine.Statement `json:"refused,omitempty"`
}

// sendObservations sends the leader what it has not been sent.
func (k *leaderLink) sendObservations(ctx context.Context) error {
	m := k.c.suspects.takeUnreported(boottime.Now())
	if len(m.Observations) == 0 {
		return nil
	}
	m.Host = k.c.cfg.Peer
	return notify(ctx, k.nc, k.conn, methodObservations, m)
}

// takeUnreported returns what the leader has not been sent.
func (s *suspectedRequests) takeUnreported(now time.Duration) (m observationsMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.SentAt = now
	for _, o := range s.unreported {
		o.sentAt = now
		s.sent = append(s.sent, o)
		x := statedObservation{Kind: o.kind, Request: o.request, Host: o.host, Target: o.end.Target, AgeMS: (now - o.end.At).Milliseconds()}
		if o.kind == refused {
			x.Refused = &o.refused
		}
		m.Observations = append(m.Observations, x)
	}
	s.sent = s.sent[max(0, len(s.sent)-maxUnreported):]
	s.unreported = nil
	return m
}

// handleObservations handles another host's message to the leader.
func (c *Coordinator) handleObservations(r *jsonrpc2.Request) error {
	var m observationsMessage
	if err := unmarshalParams(r, &m); err != nil {
		return err
	}
	now := boottime.Now()
	s := &c.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range m.Observations {
		at := now - time.Duration(max(0, o.AgeMS))*time.Millisecond
		x := observation{kind: o.Kind, request: o.Request, host: o.Host, end: quarantine.End{Target: o.Target, At: at}}
		if o.Refused != nil {
			x.refused = *o.Refused
		}
		s.apply(now, x)
	}
	s.applied[m.Host] = appliedObservations{sentAt: m.SentAt, at: now}
	c.publishSuspects()
	return nil
}

// applySuspects applies the leader's list, and what it may not know yet.
func (c *Coordinator) applySuspects(m suspectsMessage) {
	now := boottime.Now()
	s := &c.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Replace(now, m.Requests)
	applied := m.Applied[c.cfg.Peer]
	s.sent = slices.DeleteFunc(s.sent, func(o observation) bool { return o.sentAt <= applied || now-o.sentAt > appliedTime })
	for _, o := range slices.Concat(s.sent, s.unreported) {
		s.apply(now, o)
	}
	c.publishSuspects()
}

// suspectsState returns the message for a host that connects, or false when there is
// nothing to tell.
func (c *Coordinator) suspectsState() (suspectsMessage, bool) {
	c.suspects.mu.Lock()
	defer c.suspects.mu.Unlock()
	m := c.suspects.message(boottime.Now())
	return m, len(m.Requests) > 0
}

// reportOwnSuspects makes the connection to a new leader send what this host knows. The
// leader's list replaces the rest, so that it must be called before the list can arrive.
func (c *Coordinator) reportOwnSuspects() {
	now := boottime.Now()
	s := &c.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = nil                                                                                   // a former leader has them
	s.unreported = slices.DeleteFunc(s.unreported, func(o observation) bool { return o.repeated }) // no leader took them
	add := func(o observation) {
		if len(s.unreported) < maxUnreported {
			o.repeated = true
			s.unreported = append(s.unreported, o)
		}
	}
	for _, x := range s.ledger.State(now) {
		if x.Refused {
			add(observation{kind: refused, request: x.Request, refused: x, end: quarantine.End{At: now}})
			continue
		}
		for _, e := range x.Ends {
			add(observation{kind: targetEnded, request: x.Request, end: quarantine.End{Target: e.Target, At: now - time.Duration(e.AgeMS)*time.Millisecond}})
		}
	}
	if len(s.unreported) > 0 {
		select {
		case c.suspectsReported <- struct{}{}:
		default: // a signal is pending
		}
	}
}
