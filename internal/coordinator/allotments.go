package coordinator

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/limits"
)

// Timing and limits of allotments.
const (
	// allotWait bounds the time that a request waits for the leader's answer. Hosts with a small
	// part of a core stop for 100 ms at times; with 100 ms one request in 80 was refused within
	// its allotment on a calm day.
	allotWait = 250 * time.Millisecond
	// allotTimeout is the age of a message from which the leader counts as not answering. It
	// is above allotWait.
	allotTimeout = 400 * time.Millisecond
	// maxCountedCustomers bounds the customers with metrics of their own.
	maxCountedCustomers = 256
	// refusalsOver is the time without refusals after which a customer counts as no longer
	// refused, and the next refusal is logged. With maxCountedCustomers it bounds the lines.
	refusalsOver = 10 * time.Second
)

// allotments is what a host knows of the customers' allotments.
type allotments struct {
	mu sync.Mutex
	// leader counts for all hosts while this host leads, share is this host's part.
	leader *limits.Allotments
	share  *limits.AllotmentShare
	// version is the desired state whose customers are known here.
	version *fleet.DesiredState

	countsMu sync.Mutex
	byName   map[string]*customerCounts
	others   customerCounts
}

// customerCounts are the metrics of a customer with a limit on this host.
type customerCounts struct {
	Admitted int64 `json:"admitted"`
	Refused  int64 `json:"refused"`
	// refusedAt is when a request was last refused, 0 for never.
	refusedAt time.Duration
}

// customersView is the metric of all customers with a limit.
type customersView struct {
	ByName map[string]customerCounts `json:"by_name"`
	// Others sums the customers beyond maxCountedCustomers.
	Others customerCounts `json:"others"`
}

func (a *allotments) init(now time.Duration) {
	a.leader, a.share = limits.NewAllotments(now, now), limits.NewAllotmentShare(now)
	a.byName = map[string]*customerCounts{}
}

// beginTerm starts new counts. ended is the highest term whose leader is known to have
// stopped.
func (a *allotments) beginTerm(now time.Duration, ended uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leader = limits.NewAllotments(now, a.share.LeadsFrom(now, ended))
}

// beginLeader records that this host follows the leader of a term, or none if it is 0.
func (a *allotments) beginLeader(now time.Duration, term uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.share.BeginLeader(now, term)
}

// count counts a decision and reports whether the customer starts to be refused.
func (a *allotments) count(now time.Duration, customer string, granted bool) (starts bool) {
	a.countsMu.Lock()
	defer a.countsMu.Unlock()
	x := a.byName[customer]
	if x == nil {
		if len(a.byName) < maxCountedCustomers {
			x = &customerCounts{}
			a.byName[customer] = x
		} else {
			x = &a.others
		}
	}
	if granted {
		x.Admitted++
		return false
	}
	x.Refused++
	starts = x.refusedAt == 0 || now-x.refusedAt > refusalsOver
	x.refusedAt = now
	return starts
}

func (a *allotments) counts() customersView {
	a.countsMu.Lock()
	defer a.countsMu.Unlock()
	v := customersView{ByName: map[string]customerCounts{}, Others: a.others}
	for name, x := range a.byName {
		v.ByName[name] = *x
	}
	return v
}

// allotAsk is a request for a token that waits for the leader.
type allotAsk struct {
	customer  string
	expiresAt time.Duration
	// taken is set by whoever decides on the request: the answer, or its expiry.
	taken  atomic.Bool
	answer chan allotDecision
}

// allotDecision is the leader's decision on a request. Without answered there is none, with
// unknown the leader knows no limit of the customer.
type allotDecision struct {
	permit            limits.Permit
	answered, unknown bool
}

// allotMessage asks the leader for tokens.
type allotMessage struct {
	Host string `json:"host"`
	// SentUS is when the message was sent, on the leader's clock in microseconds.
	SentUS int64 `json:"sent_us"`
	// Present states that the host does not use its even share.
	Present bool              `json:"present,omitempty"`
	Asks    []allotOfCustomer `json:"asks,omitempty"`
}

// allotOfCustomer asks for tokens for the requests of a customer that wait, and for some that
// are expected.
type allotOfCustomer struct {
	Customer string `json:"c"`
	Count    int    `json:"n"`
	Expected int    `json:"x,omitempty"`
}

// allotReply has one entry for each entry of the message, in the same order, or none if the
// message was late.
type allotReply struct {
	Answers []allotAnswer `json:"answers,omitempty"`
	// EndedTerm is the highest term whose leader is known to have stopped.
	EndedTerm uint64 `json:"ended,omitempty"`
}

// allotAnswer is the leader's answer for one customer.
type allotAnswer struct {
	Granted int `json:"n,omitempty"`
	// Spare are tokens beyond those for requests that wait.
	Spare int `json:"x,omitempty"`
	// Unknown states that the leader knows no limit of the customer.
	Unknown bool `json:"unknown,omitempty"`
	// NextUS and ComeBackUS are those of limits.Permit for the first request that got no
	// token, in microseconds.
	NextUS     int64 `json:"next_us,omitempty"`
	ComeBackUS int64 `json:"come_back_us,omitempty"`
}

// TakeAllotment takes a token of a customer's allotment for one request, or returns when one
// is expected. A request waits for the leader for allotWait at most.
func (c *Coordinator) TakeAllotment(ctx context.Context, customer *fleet.Customer) (granted bool, retryAfter time.Duration) {
	if customer == nil || customer.RatePerSecond <= 0 {
		return true, 0
	}
	p := c.takeAllotment(ctx, customer)
	now := boottime.Now()
	if c.allotments.count(now, customer.Name, p.Granted) {
		c.cfg.Log.Info("allotment_used_up", "customer", customer.Name, "per_s", customer.RatePerSecond, "burst", customer.Burst,
			"retry_after_ms", p.ComeBackAfter.Milliseconds(), "leader", c.HasLeader())
	}
	return p.Granted, p.ComeBackAfter
}

func (c *Coordinator) takeAllotment(ctx context.Context, customer *fleet.Customer) limits.Permit {
	l := limits.Allotment{PerSecond: customer.RatePerSecond, Burst: customer.Burst}
	now := boottime.Now()
	a := &c.allotments
	if c.Leading() {
		hosts := c.recentHosts(now)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.share.RecordLeading(now)
		granted, _, refused := a.leader.Take(now, customer.Name, l, hosts, 1, 0)
		refused.Granted = granted == 1
		return refused
	}
	a.mu.Lock()
	p, decided := a.share.Take(now, customer.Name, l)
	a.mu.Unlock()
	if decided {
		return p
	}
	d := c.askAllotment(ctx, customer.Name)
	if d.answered && (d.permit.Granted || a.isPresent()) {
		return d.permit
	}
	return c.takeOwnAllotment(customer.Name, l, d.unknown)
}

func (a *allotments) isPresent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.share.Present()
}

// takeOwnAllotment decides on a request by this host's even share.
func (c *Coordinator) takeOwnAllotment(customer string, l limits.Allotment, unknown bool) limits.Permit {
	c.metrics.allotments.Add("own share", 1)
	now := boottime.Now()
	own := limits.OwnShare{Hosts: c.recentHosts(now), Listed: c.roster.listsSelf(), Unclaimed: unknown}
	if own.Hosts == 0 {
		own.Hosts = assumedHosts
	}
	c.allotments.mu.Lock()
	defer c.allotments.mu.Unlock()
	p := c.allotments.share.TakeOwn(now, customer, l, own, rand.Float64())
	p.ComeBackAfter = min(p.ComeBackAfter, maxLeaderWait) // a leader is usually found before
	return p
}

// askAllotment asks the leader for a token.
func (c *Coordinator) askAllotment(ctx context.Context, customer string) allotDecision {
	if !c.leadership.isConnected() {
		return allotDecision{}
	}
	ask := &allotAsk{customer: customer, expiresAt: boottime.Now() + allotWait, answer: make(chan allotDecision, 1)}
	select {
	case c.allotAsks <- ask:
	default:
		return allotDecision{} // the leader does not keep up
	}
	timer := time.NewTimer(allotWait)
	defer timer.Stop()
	select {
	case d := <-ask.answer:
		return d
	case <-timer.C:
	case <-ctx.Done():
	}
	if ask.taken.CompareAndSwap(false, true) {
		return allotDecision{}
	}
	return <-ask.answer // it arrived at the same time
}

// handleAllot answers a request of another host for tokens.
func (c *Coordinator) handleAllot(r *jsonrpc2.Request) (any, error) {
	var m allotMessage
	if err := unmarshalParams(r, &m); err != nil {
		return nil, err
	}
	if !c.Leading() {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: string(lossDenied)}
	}
	if len(m.Asks) > maxAsksPerMessage {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "too many customers in one request for tokens"}
	}
	now := boottime.Now()
	sentAt := min(now, time.Duration(m.SentUS)*time.Microsecond)
	desired, hosts := c.Snapshot().DesiredState, c.recentHosts(now)
	reply := allotReply{EndedTerm: c.leadership.latestEnded()}
	a := &c.allotments
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.Present {
		a.leader.RecordPresent(m.Host, sentAt)
	}
	if now-sentAt > limits.MaxAskAge {
		return reply, nil
	}
	for _, x := range m.Asks {
		var answer allotAnswer
		if customer := limitedCustomer(desired, x.Customer); customer == nil {
			answer.Unknown = true
		} else {
			l := limits.Allotment{PerSecond: customer.RatePerSecond, Burst: customer.Burst}
			n, expected := min(max(x.Count, 0), maxAsksPerMessage), min(max(x.Expected, 0), maxAsksPerMessage)
			var refused limits.Permit
			answer.Granted, answer.Spare, refused = a.leader.Take(now, x.Customer, l, hosts, n, expected)
			answer.NextUS, answer.ComeBackUS = refused.NextAfter.Microseconds(), refused.ComeBackAfter.Microseconds()
		}
		reply.Answers = append(reply.Answers, answer)
	}
	return reply, nil
}

// limitedCustomer returns a customer of a desired state if it has a limit, or nil.
func limitedCustomer(d *fleet.DesiredState, name string) *fleet.Customer {
	if d == nil || d.Customers == nil {
		return nil
	}
	if x := d.Customers.ByName(name); x != nil && x.RatePerSecond > 0 {
		return x
	}
	return nil
}

// hasLimitedCustomers reports whether any customer has a limit.
func (c *Coordinator) hasLimitedCustomers() bool {
	d := c.Snapshot().DesiredState
	if d == nil || d.Customers == nil {
		return false
	}
	for _, x := range d.Customers.All() {
		if x.RatePerSecond > 0 {
			return true
		}
	}
	return false
}

// tickAllotments records that this host leads, and forgets customers without a limit.
func (c *Coordinator) tickAllotments(now time.Duration) {
	d := c.Snapshot().DesiredState
	leading := c.Leading()
	a := &c.allotments
	a.mu.Lock()
	defer a.mu.Unlock()
	if leading {
		a.share.RecordLeading(now)
	}
	if d == a.version {
		return
	}
	a.version = d
	keep := func(name string) bool { return limitedCustomer(d, name) != nil }
	a.leader.Retain(keep)
	a.share.Retain(keep)
}

// askAllotments sends the requests for tokens to the leader until the connection ends. One
// message is in flight at a time and carries all requests that came meanwhile.
func (k *leaderLink) askAllotments(ctx context.Context, term uint64) {
	a := &k.c.allotments
	a.beginLeader(boottime.Now(), term)
	defer func() { a.beginLeader(boottime.Now(), 0) }()
	beat := time.NewTicker(limits.AllotmentHeartbeat)
	defer beat.Stop()
	ended := uint64(0)
	if k.c.hasLimitedCustomers() {
		k.allot(ctx, term, &ended, nil)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-k.c.allotAsks:
			k.allot(ctx, term, &ended, k.c.queuedAllotAsks(first))
		case <-beat.C:
			if k.c.hasLimitedCustomers() {
				k.allot(ctx, term, &ended, nil)
			}
		}
	}
}

// queuedAllotAsks returns the queued requests for tokens that have not expired, by customer.
func (c *Coordinator) queuedAllotAsks(first *allotAsk) map[string][]*allotAsk {
	now := boottime.Now()
	asks := map[string][]*allotAsk{}
	for n, ask := 0, first; ; n++ {
		if now < ask.expiresAt {
			asks[ask.customer] = append(asks[ask.customer], ask)
		}
		if n+1 == maxAsksPerMessage {
			return asks
		}
		select {
		case ask = <-c.allotAsks:
		default:
			return asks
		}
	}
}

// allot sends a message, and after the leader's first answer another one that states that the
// host does not use its even share any more.
func (k *leaderLink) allot(ctx context.Context, term uint64, ended *uint64, asks map[string][]*allotAsk) {
	now := boottime.Now()
	present := k.c.allotments.nextMessage(now, k.endedTerm(*ended))
	if !k.sendAllot(ctx, now, term, ended, present, asks) || present {
		return
	}
	now = boottime.Now()
	if k.c.allotments.nextMessage(now, k.endedTerm(*ended)) {
		k.sendAllot(ctx, now, term, ended, true, nil)
	}
}

func (k *leaderLink) endedTerm(known uint64) uint64 {
	return max(known, k.c.leadership.latestEnded())
}

func (a *allotments) nextMessage(now time.Duration, ended uint64) (present bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.share.NextMessage(now, ended)
}

// sendAllot sends one message, passes the answers on and reports whether the leader answered.
func (k *leaderLink) sendAllot(ctx context.Context, now time.Duration, term uint64, ended *uint64, present bool, asks map[string][]*allotAsk) (answered bool) {
	m := allotMessage{Host: k.c.cfg.Host, Present: present}
	k.mu.Lock()
	sent, _ := k.clock.latestRemote(now) // known from the reply to hello on
	k.mu.Unlock()
	m.SentUS = sent.Microseconds()
	a := &k.c.allotments
	a.mu.Lock()
	for customer, list := range asks {
		m.Asks = append(m.Asks, allotOfCustomer{Customer: customer, Count: len(list), Expected: a.share.Demand(now, customer)})
	}
	a.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, allotTimeout)
	defer cancel()
	var reply allotReply
	err := k.call(callCtx, methodAllot, m, &reply)
	answered = err == nil && len(reply.Answers) == len(m.Asks)
	received := boottime.Now()
	a.mu.Lock()
	a.share.RecordAnswer(received, term, answered)
	a.mu.Unlock()
	if !answered {
		k.c.metrics.allotments.Add("unanswered", 1)
		k.c.cfg.Log.Debug("no_allotments", "customers", len(m.Asks), "answers", len(reply.Answers), "err", err)
		for _, list := range asks {
			for _, ask := range list {
				if ask.taken.CompareAndSwap(false, true) {
					ask.answer <- allotDecision{}
				}
			}
		}
		return false
	}
	k.c.metrics.allotments.Add("answered", 1)
	*ended = max(*ended, reply.EndedTerm)
	for i, x := range m.Asks {
		a.passOn(received, now, x.Customer, reply.Answers[i], asks[x.Customer])
	}
	return true
}

// passOn passes the leader's answer on to the requests of a customer that wait. Tokens of
// those that no longer wait are kept for others.
func (a *allotments) passOn(now, sentAt time.Duration, customer string, answer allotAnswer, asks []*allotAsk) {
	refused := limits.Permit{
		NextAfter: time.Duration(answer.NextUS) * time.Microsecond, ComeBackAfter: time.Duration(answer.ComeBackUS) * time.Microsecond,
	}
	used, isRefused := 0, false
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, ask := range asks {
		if !ask.taken.CompareAndSwap(false, true) {
			continue
		}
		switch {
		case used < answer.Granted:
			used++
			ask.answer <- allotDecision{answered: true, permit: limits.Permit{Granted: true}}
		default:
			isRefused = !answer.Unknown
			ask.answer <- allotDecision{answered: !answer.Unknown, unknown: answer.Unknown, permit: refused}
		}
	}
	a.share.RecordTokens(now, sentAt, customer, used, answer.Granted-used+answer.Spare)
	if isRefused {
		a.share.RecordRefused(now, customer, refused)
	}
}
