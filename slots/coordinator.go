package slots

import (
	"time"

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
	expiresAt       time.Duration
}

// competing returns a request that competes for the slot.
func (l lease) competing() placement.Request {
	return placement.Request{Workload: l.pool, Target: l.keyTarget}
}

// waitingAsk is an ask that waits.
type waitingAsk struct {
	key askKey
	placement.Request
}

// Coordinator grants the slots of the pools that hash to this host.
type Coordinator struct {
	scheduler *placement.Scheduler
	leases    map[askKey]lease
	// waiting has the ticket of each ask that waits, asks the ask of each ticket.
	waiting map[askKey]uint64
	asks    map[uint64]waitingAsk
	// connections tells which hosts sent to which targets lately.
	connections map[hostTarget]time.Duration
	// nextExpiry is when leases are checked next.
	nextExpiry time.Duration
	stats      Stats
}

// hostTarget is a host and a target.
type hostTarget struct{ host, target string }

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
	// expiryInterval is the interval at which leases are checked.
	expiryInterval = 100 * time.Millisecond
	// connectionMemory is how long a host is expected to keep an idle connection to a
	// target. Targets close them after some 10 s.
	connectionMemory = 7 * time.Second
	// reportTolerance is the number of requests by which the load that a target reports
	// may exceed that of the leases without being attributed to other senders: reports
	// of requests that end together arrive in any order.
	reportTolerance = 1
)

// NewCoordinator returns a Coordinator without targets.
func NewCoordinator(cfg placement.Config) *Coordinator {
	return &Coordinator{
		scheduler: placement.NewScheduler(cfg), leases: map[askKey]lease{}, waiting: map[askKey]uint64{}, asks: map[uint64]waitingAsk{},
		connections: map[hostTarget]time.Duration{},
	}
}

// SetTargets replaces the targets. The Workload of each is the name of its pool.
func (c *Coordinator) SetTargets(targets []placement.Target) { c.scheduler.SetTargets(targets) }

// Ask places a request. It returns the answers that are due, which may include those of
// other asks; an ask without an answer waits.
func (c *Coordinator) Ask(now time.Duration, a Ask) []Answer {
	key := askKey{a.Host, a.ID}
	if _, leased := c.leases[key]; leased || c.waiting[key] != 0 {
		return nil // a duplicate
	}
	r := a.Request
	r.Domain = a.Domain
	r.HasIdleConnection = func(target string) bool {
		at, ok := c.connections[hostTarget{a.Host, target}]
		return ok && now-at < connectionMemory
	}
	d := c.scheduler.Submit(now, r)
	if d.Action != placement.Wait {
		return []Answer{c.answer(now, key, r, d)}
	}
	c.waiting[key], c.asks[d.Ticket] = d.Ticket, waitingAsk{key, r}
	return nil
}

// answer records a decision other than to wait.
func (c *Coordinator) answer(now time.Duration, key askKey, r placement.Request, d placement.Decision) Answer {
	if d.Action == placement.Send {
		c.leases[key] = lease{pool: r.Workload, keyTarget: r.Target, route: r.Route, target: d.Target, expiresAt: r.Deadline + leaseSlack}
		c.connections[hostTarget{key.host, d.Target}] = now
		c.stats.Granted++
	} else {
		c.stats.Refused++
	}
	return Answer{Host: key.host, ID: key.id, Decision: d, Keyed: r.Target != ""}
}

// answers returns the answers to asks that waited.
func (c *Coordinator) answers(now time.Duration, decisions []placement.QueuedDecision) []Answer {
	var answers []Answer
	for _, q := range decisions {
		a := c.asks[q.Ticket]
		c.forgetWaiting(a.key, q.Ticket)
		answers = append(answers, c.answer(now, a.key, a.Request, q.Decision))
	}
	return answers
}

func (c *Coordinator) forgetWaiting(key askKey, ticket uint64) {
	delete(c.waiting, key)
	delete(c.asks, ticket)
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
	c.connections[hostTarget{host, l.target}] = now
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
	c.scheduler.ReleaseUnsent(l.target)
	return c.answers(now, c.scheduler.DispatchPool(now, l.competing()))
}

// DropHost handles the end of a host's connection: its asks are withdrawn and its leases
// end within lostHostLease.
func (c *Coordinator) DropHost(now time.Duration, host string) {
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
			c.scheduler.ReleaseUnsent(l.target)
			c.stats.Expired++
		}
	}
	for k, at := range c.connections {
		if now-at >= connectionMemory {
			delete(c.connections, k)
		}
	}
}

// HasWaiting reports whether an ask of a host waits.
func (c *Coordinator) HasWaiting(host string) bool {
	for key := range c.waiting {
		if key.host == host {
			return true
		}
	}
	return false
}

// Stats returns what the Coordinator did, and its present size.
func (c *Coordinator) Stats() Stats {
	s := c.stats
	s.Waiting, s.Leased = len(c.waiting), len(c.leases)
	return s
}
