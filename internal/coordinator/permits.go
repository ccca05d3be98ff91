package coordinator

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/limits"
)

// Timing and limits of requests for permits.
const (
	// permitTimeout bounds the wait for the leader's answer; several transits and a
	// turn of a busy leader's processor.
	permitTimeout = 250 * time.Millisecond
	// askPause is how long the host uses its even share after the leader did not answer.
	askPause = time.Second
	// leaderCheckEvery is how long a refusal without a leader holds on this host, and
	// maxLeaderWait the longest time after which a caller is told to come back then: a
	// leader is replaced within 2 s, and has found its peers soon after.
	leaderCheckEvery = 100 * time.Millisecond
	maxLeaderWait    = 3 * time.Second
	// permitAskQueue bounds the requests for permits that wait for the leader.
	permitAskQueue = 512
	// maxAsksPerMessage bounds the requests for permits in one message.
	maxAsksPerMessage = 256
)

// permitAsk is a request for a permit that waits for the leader.
type permitAsk struct {
	statement limits.LimitStatement
	expiresAt time.Duration
	// answer receives the permit, or is closed when the leader did not answer.
	answer chan limits.Permit
}

// permitsMessage asks the leader for permits.
type permitsMessage struct {
	Asks []permitsOfTarget `json:"asks"`
}

// permitsOfTarget asks for permits for one target.
type permitsOfTarget struct {
	// Limit is the statement that the asking host knows.
	Limit statedLimit `json:"limit"`
	Count int         `json:"n"`
}

// permitsReply has one entry for each entry of the message, in the same order.
type permitsReply struct {
	Answers []permitsAnswer `json:"answers"`
}

// permitsAnswer is the leader's answer for one target.
type permitsAnswer struct {
	// Limit is the statement in force.
	Limit   statedLimit `json:"limit"`
	Granted int         `json:"granted"`
	// NextUS and ComeBackUS are those of limits.Permit for the first request that got
	// no permit, in microseconds. Each further caller comes back one permit later.
	NextUS     int64 `json:"next_us,omitempty"`
	ComeBackUS int64 `json:"come_back_us,omitempty"`
}

// TakePermit asks for permission to send one request to a target. It answers at once
// for a target without a limit.
func (c *Coordinator) TakePermit(ctx context.Context, target fleet.Incarnation) limits.Permit {
	s, limited := c.limits.get(target)
	if !limited {
		return limits.Permit{Granted: true}
	}
	if c.Leading() {
		a := c.grantPermits(boottime.Now(), target, 1)
		return c.countPermit("leader", a.permit(0))
	}
	if p, ok := c.askLeader(ctx, s); ok {
		return c.countPermit("leader", p)
	}
	return c.countPermit("share", c.takeEvenShare(boottime.Now(), s))
}

func (c *Coordinator) countPermit(by string, p limits.Permit) limits.Permit {
	result := "/refused"
	if p.Granted {
		result = "/granted"
	}
	c.metrics.permits.Add(by+result, 1)
	return p
}

// grantPermits grants permits as the leader.
func (c *Coordinator) grantPermits(now time.Duration, target fleet.Incarnation, n int) permitsAnswer {
	l := &c.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	s, _ := l.stated.Get(target)
	s.Target = target
	if s.PerSecond == 0 {
		return permitsAnswer{Limit: newStatedLimit(s), Granted: n}
	}
	granted, refused := l.counter.Take(now, target, s.PerSecond*l.hosts.ConnectedShare(now), n)
	return permitsAnswer{
		Limit: newStatedLimit(s), Granted: granted, NextUS: refused.NextAfter.Microseconds(), ComeBackUS: refused.ComeBackAfter.Microseconds(),
	}
}

// permit returns the permit of the request with an index, from 0.
func (a permitsAnswer) permit(index int) limits.Permit {
	if index < a.Granted {
		return limits.Permit{Granted: true}
	}
	p := limits.Permit{NextAfter: time.Duration(a.NextUS) * time.Microsecond, ComeBackAfter: time.Duration(a.ComeBackUS) * time.Microsecond}
	if a.Limit.PerSecond > 0 {
		p.ComeBackAfter += time.Duration(float64(index-a.Granted) / a.Limit.PerSecond * float64(time.Second))
	}
	return p
}

// handlePermits answers a request of another host for permits.
func (c *Coordinator) handlePermits(r *jsonrpc2.Request) (any, error) {
	var m permitsMessage
	if err := unmarshalParams(r, &m); err != nil {
		return nil, err
	}
	if !c.Leading() {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: string(lossDenied)}
	}
	if len(m.Asks) > maxAsksPerMessage {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "too many targets in one request for permits"}
	}
	now := boottime.Now()
	reply := permitsReply{Answers: make([]permitsAnswer, 0, len(m.Asks))}
	for _, x := range m.Asks {
		c.applyLimit(x.Limit.statement(now))
		reply.Answers = append(reply.Answers, c.grantPermits(now, x.Limit.Target, min(max(x.Count, 0), maxAsksPerMessage)))
	}
	return reply, nil
}

// askLeader asks the leader for a permit. It returns false without an answer in time.
func (c *Coordinator) askLeader(ctx context.Context, s limits.LimitStatement) (limits.Permit, bool) {
	now := boottime.Now()
	c.limits.mu.Lock()
	paused := now < c.limits.askNotBefore
	c.limits.mu.Unlock()
	if paused || !c.leadership.isConnected() {
		return limits.Permit{}, false
	}
	ask := &permitAsk{statement: s, expiresAt: now + permitTimeout, answer: make(chan limits.Permit, 1)}
	select {
	case c.permitAsks <- ask:
	default:
		return limits.Permit{}, false // the leader does not keep up
	}
	timer := time.NewTimer(permitTimeout)
	defer timer.Stop()
	select {
	case p, ok := <-ask.answer:
		return p, ok
	case <-timer.C:
		c.pauseAsking(now)
	case <-ctx.Done():
	}
	return limits.Permit{}, false
}

// pauseAsking makes the host use its even share for askPause.
func (c *Coordinator) pauseAsking(now time.Duration) {
	c.metrics.permits.Add("leader/silent", 1)
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	c.limits.askNotBefore = now + askPause
}

// takeEvenShare decides on a request while the host reaches no leader.
func (c *Coordinator) takeEvenShare(now time.Duration, s limits.LimitStatement) limits.Permit {
	l := &c.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := l.hosts.Recent(now)
	if hosts == 0 {
		hosts = assumedHosts
	}
	p := l.shares.Take(now, s.Target, s.PerSecond, hosts, rand.Float64())
	// A leader is usually found before the next turn of a host in a large fleet.
	p.NextAfter, p.ComeBackAfter = min(p.NextAfter, leaderCheckEvery), min(p.ComeBackAfter, maxLeaderWait)
	return p
}

// assumedHosts is the number of hosts that a host assumes before it has heard of any
// leader.
const assumedHosts = 100

// askPermits sends the requests for permits to the leader until the connection ends. One
// message is in flight at a time and carries all requests that came meanwhile.
func (k *leaderLink) askPermits(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-k.c.permitAsks:
			k.askOnce(ctx, k.c.queuedAsks(first))
		}
	}
}

// queuedAsks returns the queued requests for permits that have not expired, by target.
func (c *Coordinator) queuedAsks(first *permitAsk) map[fleet.Incarnation][]*permitAsk {
	now := boottime.Now()
	asks := map[fleet.Incarnation][]*permitAsk{}
	for n, ask := 0, first; ; n++ {
		if now < ask.expiresAt {
			asks[ask.statement.Target] = append(asks[ask.statement.Target], ask)
		}
		if n+1 == maxAsksPerMessage {
			return asks
		}
		select {
		case ask = <-c.permitAsks:
		default:
			return asks
		}
	}
}

// askOnce sends one message with requests for permits and passes the answers on.
func (k *leaderLink) askOnce(ctx context.Context, asks map[fleet.Incarnation][]*permitAsk) {
	if len(asks) == 0 {
		return
	}
	var m permitsMessage
	var targets []fleet.Incarnation
	for target, list := range asks {
		targets = append(targets, target)
		m.Asks = append(m.Asks, permitsOfTarget{Limit: k.onLeaderClock(list[0].statement), Count: len(list)})
	}
	callCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	var reply permitsReply
	err := k.call(callCtx, methodPermits, m, &reply)
	if err != nil || len(reply.Answers) != len(targets) {
		k.c.cfg.Log.Debug("no_permits", "targets", len(targets), "answers", len(reply.Answers), "err", err)
		k.c.pauseAsking(boottime.Now())
		for _, list := range asks {
			for _, ask := range list {
				close(ask.answer)
			}
		}
		return
	}
	k.c.limits.mu.Lock()
	k.c.limits.shares.ReachedCounter(boottime.Now())
	k.c.limits.mu.Unlock()
	for i, target := range targets {
		k.applyLimits([]statedLimit{reply.Answers[i].Limit})
		for j, ask := range asks[target] {
			ask.answer <- reply.Answers[i].permit(j)
		}
	}
}
