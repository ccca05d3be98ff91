package slots

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/pace"
	"github.com/boragelock/boragelock/placement"
)

// Ask is a host's request for a slot.
type Ask struct {
	// Host identifies the asking host's connection, ID the ask among those of it.
	Host string
	ID   uint64
	// Domain is the host's failure domain.
	Domain string
	// Request is the request to place. Its Workload is the name of the pool.
	Request placement.Request
}

// Answer is the coordinator's answer to an Ask.
type Answer struct {
	Host     string
	ID       uint64
	Decision placement.Decision
	// Keyed says that the ask named the target.
	Keyed bool
}

// askKey identifies an ask.
type askKey struct {
	host string
	id   uint64
}

// lease is a granted slot.
type lease struct {
	// pool and keyTarget identify the requests that compete for the slot.
	pool, keyTarget string
	route           string
	target          string
	// incarnation is the process that the slot belongs to.
	incarnation fleet.Incarnation
	expiresAt   time.Duration
}

// competing returns a request that competes for the slot.
func (l lease) competing() placement.Request {
	return placement.Request{Workload: l.pool, Target: l.keyTarget}
}

// waitingAsk is an ask that waits.
type waitingAsk struct {
	key askKey
	placement.Request
	since time.Duration
}

// Coordinator grants the slots of the pools that hash to this host.
type Coordinator struct {
	scheduler *placement.Scheduler
	leases    map[askKey]lease
	// waiting has the ticket of each ask that waits, asks the ask of each ticket.
	waiting map[askKey]uint64
	asks    map[uint64]waitingAsk
	// waitingOf counts the asks of each host that wait.
	waitingOf map[string]int
	// connections tells for each host when it last sent to which targets.
	connections map[string]map[string]time.Duration
	// incarnations has the process of each target.
	incarnations map[string]fleet.Incarnation
	// nextExpiry is when leases are checked next, nextSweep when connections are.
	nextExpiry, nextSweep time.Duration
	stats                 Stats
	refusals              map[placement.Reason]uint64
	// answerBuffer holds the answers that a method returns.
	answerBuffer []Answer
}

// Stats counts what a Coordinator did.
type Stats struct {
	// Granted, Refused and Expired count leases, refusals, and leases that ended by
	// themselves.
	Granted, Refused, Expired uint64
	// Waiting and Leased are the current numbers of asks and leases.
	Waiting, Leased int
}

const (
	// leaseSlack is how long a lease lasts beyond the deadline of its request: the
	// timeout is noticed and reported in it.
	leaseSlack = 500 * time.Millisecond
	// lostHostLease is the longest time for which the leases of a host last whose
	// connection ended: either it has stopped, and the targets drop its requests, or it
	// runs and its requests show in what the targets report.
	lostHostLease = 500 * time.Millisecond
	// expiryInterval is the interval at which leases are checked, sweepInterval the one at
	// which old connections are forgotten: there are many more of them.
	expiryInterval = 100 * time.Millisecond
	sweepInterval  = time.Second
	// connectionMemory is how long a host is expected to keep an idle connection to a
	// target. Targets close them after some 10 s.
	connectionMemory = 7 * time.Second
	// reportTolerance is the number of requests by which the load that a target reports
	// may exceed that of the leases without being attributed to other senders: reports
	// of requests that end together arrive in any order.
	reportTolerance = 1
	// maxWaitingPerHost bounds the waiting asks of one host. It is the bound of the queue of a
	// host's own scheduler, so that one host cannot fill the queue for all.
	maxWaitingPerHost = 512
)

// NewCoordinator returns a Coordinator without targets.
func NewCoordinator(cfg placement.Config) *Coordinator {
	return &Coordinator{
		scheduler: placement.NewScheduler(cfg), leases: map[askKey]lease{}, waiting: map[askKey]uint64{}, asks: map[uint64]waitingAsk{},
		waitingOf: map[string]int{}, connections: map[string]map[string]time.Duration{}, incarnations: map[string]fleet.Incarnation{},
		refusals: map[placement.Reason]uint64{},
	}
}

// SetTargets replaces the targets. The Workload of each is the name of its pool. Leases of a
// target that was missing from the list for a while count again.
func (c *Coordinator) SetTargets(targets []placement.Target) {
	c.scheduler.SetTargets(targets)
	before := c.incarnations
	c.incarnations = make(map[string]fleet.Incarnation, len(targets))
	changed := map[string]bool{}
	for i := range targets {
		t := &targets[i]
		c.incarnations[t.ID] = t.Incarnation
		if old, ok := before[t.ID]; !ok || old != t.Incarnation {
			changed[t.ID] = true
		}
	}
	if len(changed) == 0 {
		return
	}
	for _, l := range c.leases {
		if changed[l.target] && c.counts(l) {
			c.scheduler.RestorePlaced(l.target)
		}
	}
}

// counts reports whether the scheduler counts a lease: those of a former process of its target
// it forgot with that process, and they must not end the leases of the next one.
func (c *Coordinator) counts(l lease) bool {
	incarnation, ok := c.incarnations[l.target]
	return ok && incarnation == l.incarnation
}

// Ask places a request. It returns the answers that are due, which may include those of
// other asks; an ask without an answer waits. As for all methods, the answers are valid until
// the next call.
func (c *Coordinator) Ask(now time.Duration, a Ask) []Answer {
	key := askKey{a.Host, a.ID}
	if _, leased := c.leases[key]; leased || c.waiting[key] != 0 {
		return nil // a duplicate
	}
	r := a.Request
	r.Domain = a.Domain
	connections := c.connectionsOf(a.Host)
	// With exact counts hosts need not spread at random: each prefers its own targets, to which
	// it keeps connections.
	r.Affinity = float64(xxhash.Sum64String(a.Domain+a.Host)>>11) / (1 << 53)
	r.HasIdleConnection = func(target string) bool {
		at, ok := connections[target]
		return ok && now-at < connectionMemory
	}
	if c.waitingOf[a.Host] >= maxWaitingPerHost {
		refusal := placement.Decision{Action: placement.Refuse, Reason: placement.ReasonQueueFull, RetryAfter: c.scheduler.ServiceTime(now, r.Route, r.Target)}
		c.answerBuffer = append(c.answerBuffer[:0], c.answer(now, key, r, refusal))
		return c.answerBuffer
	}
	d := c.scheduler.Submit(now, r)
	if d.Action != placement.Wait {
		c.answerBuffer = append(c.answerBuffer[:0], c.answer(now, key, r, d))
		return c.answerBuffer
	}
	c.waiting[key], c.asks[d.Ticket] = d.Ticket, waitingAsk{key, r, now}
	c.waitingOf[a.Host]++
	return nil
}

// connectionsOf returns the connections of a host.
func (c *Coordinator) connectionsOf(host string) map[string]time.Duration {
	m := c.connections[host]
	if m == nil {
		m = map[string]time.Duration{}
		c.connections[host] = m
	}
	return m
}

// answer records a decision other than to wait.
func (c *Coordinator) answer(now time.Duration, key askKey, r placement.Request, d placement.Decision) Answer {
	if d.Action == placement.Send {
		c.leases[key] = lease{pool: r.Workload, keyTarget: r.Target, route: r.Route, target: d.Target, incarnation: c.incarnations[d.Target], expiresAt: r.Deadline + leaseSlack}
		c.connectionsOf(key.host)[d.Target] = now
		c.stats.Granted++
	} else {
		c.stats.Refused++
		c.refusals[d.Reason]++
	}
	return Answer{Host: key.host, ID: key.id, Decision: d, Keyed: r.Target != ""}
}

// answers returns the answers to asks that waited.
func (c *Coordinator) answers(now time.Duration, decisions []placement.QueuedDecision) []Answer {
	answers := c.answerBuffer[:0]
	for _, q := range decisions {
		a := c.asks[q.Ticket]
		c.forgetWaiting(a.key, q.Ticket)
		answers = append(answers, c.answer(now, a.key, a.Request, q.Decision))
	}
	c.answerBuffer = answers
	return answers
}

func (c *Coordinator) forgetWaiting(key askKey, ticket uint64) {
	delete(c.waiting, key)
	delete(c.asks, ticket)
	if c.waitingOf[key.host]--; c.waitingOf[key.host] == 0 {
		delete(c.waitingOf, key.host)
	}
}

// End ends a lease with the outcome of its request, and returns answers that are due. An
// End for an ask that waits withdraws it.
func (c *Coordinator) End(now time.Duration, host string, id uint64, outcome placement.Outcome) []Answer {
	key := askKey{host, id}
	l, ok := c.leases[key]
	if !ok {
		return c.Withdraw(now, host, id)
	}
	delete(c.leases, key)
	if !c.counts(l) {
		return nil // of a process that is gone
	}
	c.connectionsOf(host)[l.target] = now
	if outcome.Load != nil {
		load := *outcome.Load
		load.Running = max(0, load.Running-reportTolerance)
		outcome.Load = &load
	}
	outcome.Route = l.route
	c.scheduler.RecordOutcome(now, l.target, outcome)
	return c.answers(now, c.scheduler.DispatchPool(now, l.competing()))
}

// LeaseOf returns the target and the route of a lease, or empty strings without one.
func (c *Coordinator) LeaseOf(host string, id uint64) (target, route string) {
	l := c.leases[askKey{host, id}]
	return l.target, l.route
}

// Pace returns the pace of a target for requests of a route. ok is false if it is unknown.
func (c *Coordinator) Pace(now time.Duration, target, route string) (state pace.State, ok bool) {
	return c.scheduler.Pace(now, target, route)
}

// PaceStats returns how often the paces of targets fell.
func (c *Coordinator) PaceStats() placement.PaceStats { return c.scheduler.PaceStats() }

// Withdraw withdraws an ask whose request was not sent, and returns answers that are due.
func (c *Coordinator) Withdraw(now time.Duration, host string, id uint64) []Answer {
	key := askKey{host, id}
	if ticket, ok := c.waiting[key]; ok {
		c.scheduler.Cancel(ticket)
		c.forgetWaiting(key, ticket)
		return nil
	}
	l, ok := c.leases[key]
	if !ok {
		return nil
	}
	delete(c.leases, key)
	c.releaseUnsent(l)
	return c.answers(now, c.scheduler.DispatchPool(now, l.competing()))
}

// releaseUnsent releases the slot of a lease.
func (c *Coordinator) releaseUnsent(l lease) {
	if c.counts(l) {
		c.scheduler.ReleaseUnsent(l.target)
	}
}

// DropHost handles the end of a host's connection: its asks are withdrawn and its leases
// end within lostHostLease.
func (c *Coordinator) DropHost(now time.Duration, host string) {
	delete(c.connections, host)
	for key, ticket := range c.waiting {
		if key.host == host {
			c.scheduler.Cancel(ticket)
			c.forgetWaiting(key, ticket)
		}
	}
	for key, l := range c.leases {
		if key.host == host {
			l.expiresAt = min(l.expiresAt, now+lostHostLease)
			c.leases[key] = l
		}
	}
}

// Tick ends leases that have expired, and returns the answers that are due. Call it every
// 20 ms or so while asks wait.
func (c *Coordinator) Tick(now time.Duration) []Answer {
	if now >= c.nextExpiry {
		c.nextExpiry = now + expiryInterval
		c.expire(now)
	}
	if c.scheduler.QueueLength() == 0 {
		return nil
	}
	return c.answers(now, c.scheduler.Dispatch(now))
}

func (c *Coordinator) expire(now time.Duration) {
	for key, l := range c.leases {
		if now >= l.expiresAt {
			delete(c.leases, key)
			c.releaseUnsent(l)
			c.stats.Expired++
		}
	}
	if now < c.nextSweep {
		return
	}
	c.nextSweep = now + sweepInterval
	for host, connections := range c.connections {
		maps.DeleteFunc(connections, func(_ string, at time.Duration) bool { return now-at >= connectionMemory })
		if len(connections) == 0 && c.waitingOf[host] == 0 {
			delete(c.connections, host)
		}
	}
}

// HasWaiting reports whether an ask of a host waits.
func (c *Coordinator) HasWaiting(host string) bool { return c.waitingOf[host] > 0 }

// Stats returns what the Coordinator did, and its present size.
func (c *Coordinator) Stats() Stats {
	s := c.stats
	s.Waiting, s.Leased = len(c.waiting), len(c.leases)
	return s
}

// PoolQueue is the number of asks that wait for a pool.
type PoolQueue struct {
	Pool    string
	Waiting int
}

// Queues describes the waiting asks.
type Queues struct {
	// Longest has the pools with the most waiting asks, the longest queue first.
	Longest []PoolQueue
	// ByPriority counts the waiting asks by their priority.
	ByPriority map[int]int
	// OldestAge is the time for which the oldest of them waits.
	OldestAge time.Duration
}

// Queues describes the waiting asks, by pool for the pools with the most of them. It takes
// time in proportion to their number.
func (c *Coordinator) Queues(now time.Duration, pools int) Queues {
	q := Queues{ByPriority: map[int]int{}}
	byPool := map[string]int{}
	for _, a := range c.asks {
		byPool[cmp.Or(a.Target, a.Workload)]++
		q.ByPriority[a.Priority]++
		q.OldestAge = max(q.OldestAge, now-a.since)
	}
	for pool, n := range byPool {
		q.Longest = append(q.Longest, PoolQueue{pool, n})
	}
	slices.SortFunc(q.Longest, func(a, b PoolQueue) int {
		return cmp.Or(b.Waiting-a.Waiting, cmp.Compare(a.Pool, b.Pool))
	})
	q.Longest = q.Longest[:min(len(q.Longest), pools)]
	return q
}

// Refusals returns the number of refusals by reason.
func (c *Coordinator) Refusals() map[placement.Reason]uint64 { return maps.Clone(c.refusals) }
