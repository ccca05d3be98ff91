package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/limits"
	"github.com/boragelock/boragelock/platform"
)

// requestLimits is what a host knows of the limits that targets state for all hosts
// together.
type requestLimits struct {
	mu     sync.Mutex
	stated *limits.TargetLimits
	// counter grants permits while this host leads, shares while it reaches no leader.
	counter *limits.PermitCounter
	shares  *limits.EvenShares
	hosts   limits.HostCount
	// unreported holds the targets whose statements are to be sent to the leader.
	unreported map[fleet.Incarnation]bool
	// askNotBefore is the end of a pause after the leader did not answer.
	askNotBefore time.Duration
}

func (l *requestLimits) init(now time.Duration) {
	l.stated, l.counter, l.shares = limits.NewTargetLimits(), limits.NewPermitCounter(), limits.NewEvenShares(now)
	l.unreported = map[fleet.Incarnation]bool{}
}

// beginTerm starts a new counter: permits that it granted in an earlier term do not
// count.
func (l *requestLimits) beginTerm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counter = limits.NewPermitCounter()
}

func (l *requestLimits) all() []limits.LimitStatement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stated.All()
}

// get returns the statement in force of a target and whether it limits the target.
func (l *requestLimits) get(target fleet.Incarnation) (limits.LimitStatement, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, _ := l.stated.Get(target)
	return s, s.PerSecond > 0
}

// setHostCount records the number of hosts that follow the leader, itself included.
func (c *Coordinator) setHostCount(now time.Duration, hosts int) {
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	c.limits.hosts.Observe(now, hosts)
}

// RecordRequestLimit records what a target stated to this host in a response.
func (c *Coordinator) RecordRequestLimit(s limits.LimitStatement) {
	if !c.applyLimit(s) || c.Leading() {
		return
	}
	c.limits.mu.Lock()
	c.limits.unreported[s.Target] = true
	c.limits.mu.Unlock()
	c.signalLimits()
}

func (c *Coordinator) signalLimits() {
	select {
	case c.limitReported <- struct{}{}:
	default: // a signal is pending, and all unreported limits will be sent
	}
}

// reportAllLimits makes the connection to a new leader send all statements.
func (c *Coordinator) reportAllLimits() {
	c.limits.mu.Lock()
	for _, s := range c.limits.stated.All() {
		c.limits.unreported[s.Target] = true
	}
	c.limits.mu.Unlock()
	c.signalLimits()
}

// applyLimit applies a statement and reports whether it changed the limit of a target.
// A leader informs its peers.
func (c *Coordinator) applyLimit(s limits.LimitStatement) bool {
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	if !c.limits.stated.Apply(s) {
		return false
	}
	c.cfg.Log.Info("target_limit", "target", s.Target.ID, "address", s.Target.Address, "per_s", s.PerSecond,
		"age_ms", (boottime.Now() - s.ReceivedAt).Milliseconds())
	c.publishLimits(s)
	if c.Leading() {
		c.peers.send(methodLimits, newLimitsMessage([]limits.LimitStatement{s}))
	}
	return true
}

// publishLimits publishes a snapshot with the limits of targets; c.limits.mu is held.
func (c *Coordinator) publishLimits(changed ...limits.LimitStatement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range changed {
		c.dir.SetRequestLimit(s.Target, s.PerSecond)
	}
	c.publish()
}

// restateLimits tells the other hosts the limits of targets whose announcements are
// relayed: a host forgets the limit of a target that it drops.
func (c *Coordinator) restateLimits(announcements []platform.Record) {
	var stated []limits.LimitStatement
	snap := c.Snapshot()
	for _, r := range announcements {
		t := snap.Targets[r.Key]
		if t == nil || len(r.Value) == 0 {
			continue
		}
		if s, limited := c.limits.get(t.Ident()); limited {
			stated = append(stated, s)
		}
	}
	if len(stated) > 0 {
		c.peers.send(methodLimits, newLimitsMessage(stated))
	}
}

// unannouncedLimitAge is the age at which the limit of a target that is not announced
// is dropped. A host that starts may hear of the limit before the target.
const unannouncedLimitAge = 10 * time.Second

// dropLimitsOfGoneTargets drops the limits of targets that are no longer announced.
func (c *Coordinator) dropLimitsOfGoneTargets(now time.Duration) {
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	snap := c.Snapshot()
	dropped := c.limits.stated.Retain(func(s limits.LimitStatement) bool {
		t := snap.Targets[s.Target.ID]
		return t != nil && t.Ident() == s.Target || now-s.ReceivedAt < unannouncedLimitAge
	})
	if len(dropped) == 0 {
		return
	}
	var ended []limits.LimitStatement
	for _, target := range dropped {
		c.limits.counter.Forget(target)
		c.limits.shares.Forget(target)
		delete(c.limits.unreported, target)
		ended = append(ended, limits.LimitStatement{Target: target})
	}
	c.publishLimits(ended...)
}

// limitsMessage reports statements of targets.
type limitsMessage struct {
	Limits []statedLimit `json:"limits"`
}

// statedLimit is a limits.LimitStatement whose times are on the leader's clock.
type statedLimit struct {
	Target    fleet.Incarnation `json:"run"`
	PerSecond float64           `json:"per_s"`
	// SentUS and ReceivedUS are in microseconds.
	SentUS     int64 `json:"sent_us"`
	ReceivedUS int64 `json:"received_us"`
}

func newStatedLimit(s limits.LimitStatement) statedLimit {
	return statedLimit{Target: s.Target, PerSecond: s.PerSecond, SentUS: s.SentAt.Microseconds(), ReceivedUS: s.ReceivedAt.Microseconds()}
}

func newLimitsMessage(list []limits.LimitStatement) limitsMessage {
	m := limitsMessage{Limits: make([]statedLimit, 0, len(list))}
	for _, s := range list {
		m.Limits = append(m.Limits, newStatedLimit(s))
	}
	return m
}

// statement returns the statement with its times as they are, but none in the future:
// such a statement would outlast later ones.
func (s statedLimit) statement(now time.Duration) limits.LimitStatement {
	received := min(time.Duration(s.ReceivedUS)*time.Microsecond, now)
	return limits.LimitStatement{
		Target: s.Target, PerSecond: max(0, s.PerSecond), SentAt: min(time.Duration(s.SentUS)*time.Microsecond, received), ReceivedAt: received,
	}
}

// handleLimits handles another host's message to the leader.
func (c *Coordinator) handleLimits(r *jsonrpc2.Request) error {
	var m limitsMessage
	if err := unmarshalParams(r, &m); err != nil {
		return err
	}
	now := boottime.Now()
	for _, x := range m.Limits {
		c.applyLimit(x.statement(now))
	}
	return nil
}

// applyLimits applies statements that the leader sent. While its clock is unknown they
// count as made now.
func (k *leaderLink) applyLimits(list []statedLimit) {
	now := boottime.Now()
	for _, x := range list {
		s := x.statement(maxStatementTime)
		k.mu.Lock()
		sent, ok := k.clock.earliestLocal(now, s.SentAt)
		received, _ := k.clock.earliestLocal(now, s.ReceivedAt)
		k.mu.Unlock()
		if !ok {
			sent, received = now, now
		}
		s.SentAt, s.ReceivedAt = min(sent, now), min(received, now)
		k.c.applyLimit(s)
	}
}

// maxStatementTime is above all times on a boot-time clock.
const maxStatementTime = time.Duration(1<<63 - 1)

// onLeaderClock converts the times of a statement to the leader's clock.
func (k *leaderLink) onLeaderClock(s limits.LimitStatement) statedLimit {
	k.mu.Lock()
	defer k.mu.Unlock()
	// The clock is known from the reply to hello on.
	s.SentAt, _ = k.clock.latestRemote(s.SentAt)
	s.ReceivedAt, _ = k.clock.latestRemote(s.ReceivedAt)
	return newStatedLimit(s)
}

// sendLimits sends the leader the statements that it has not been sent.
func (k *leaderLink) sendLimits(ctx context.Context) error {
	l := &k.c.limits
	var m limitsMessage
	l.mu.Lock()
	for target := range l.unreported {
		if s, ok := l.stated.Get(target); ok {
			m.Limits = append(m.Limits, k.onLeaderClock(s))
		}
	}
	clear(l.unreported)
	l.mu.Unlock()
	if len(m.Limits) == 0 {
		return nil
	}
	return notify(ctx, k.nc, k.conn, methodLimits, m)
}

// recentHosts returns the highest number of hosts that followed the leader in the last half
// to whole minute, itself included, also before this host has heard from a leader.
func (c *Coordinator) recentHosts(now time.Duration) int {
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	return max(c.limits.hosts.Recent(now), c.roster.size())
}
