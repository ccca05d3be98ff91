package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/delta"
	"github.com/boragelock/boragelock/internal/peer"
	"github.com/boragelock/boragelock/platform"
)

// servePeerClient keeps a connection to the leader.
func (c *Coordinator) servePeerClient(ctx context.Context) error {
	var lostTerm uint64
	var lostReason lossReason
	for ctx.Err() == nil {
		l := c.lead.current()
		if c.Leading() || l.Address == "" || l.Address == c.cfg.Peer {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		reason := c.followLeader(ctx, l)
		if l.Term != lostTerm || reason != lostReason {
			c.cfg.Log.Info("leader_lost", "leader", l.Host, "term", l.Term, "reason", reason)
		}
		lostTerm, lostReason = l.Term, reason
		c.lead.lost(l.Term, reason)
		sleep(ctx, 50*time.Millisecond+jitter(100*time.Millisecond))
	}
	return ctx.Err()
}

// lossReason says how the connection to the leader ended.
type lossReason string

const (
	lossRefused lossReason = "refused"     // nothing listens on its address
	lossDial    lossReason = "unreachable" // no connection in time
	lossDenied  lossReason = "not leading" // the process there does not lead yet
	lossEnded   lossReason = "ended"       // the leader's process is replaced or has stopped leading
	lossSilent  lossReason = "silent"
	lossClosed  lossReason = "closed"
	lossTerm    lossReason = "new term"
)

// leaderLink is a host's side of its connection to the leader.
type leaderLink struct {
	c    *Coordinator
	nc   net.Conn
	conn *jsonrpc2.Conn
	// heard is signalled at each message of the leader, wanted holds the workloads
	// whose runs are to be asked for.
	heard  chan struct{}
	wanted chan string

	mu    sync.Mutex
	clock remoteClock
	// early is a message that came before the leader's clock was known.
	early *freshMessage
	// late says that the latest message was older than staleAfter on arrival.
	late bool
}

// followLeader connects to the leader and returns when the connection ends.
func (c *Coordinator) followLeader(ctx context.Context, l leaderRecord) lossReason {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	nc, err := platform.Dialer(peerDialTimeout).DialContext(ctx, "tcp", l.Address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return lossRefused
		}
		return lossDial
	}
	k := &leaderLink{c: c, nc: nc, heard: make(chan struct{}, 1), wanted: make(chan string, wantedSize)}
	handler := jsonrpc2.HandlerWithError(func(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		select {
		case k.heard <- struct{}{}:
		default:
		}
		return nil, k.take(r)
	})
	k.conn = jsonrpc2.NewConn(ctx, peer.NewStream(nc), c.bounded(handler), quiet)
	defer func() { _ = k.conn.Close() }() // given up in any case
	if reason := k.sayHello(ctx, l); reason != "" {
		return reason
	}
	if err := c.tellLeaving(ctx, nc, k.conn); err != nil {
		return lossClosed
	}
	c.cfg.Log.Info("leader_found", "leader", l.Host, "term", l.Term)
	c.lead.connected(true)
	defer c.lead.connected(false)
	go k.askClock(ctx)
	return k.serve(ctx, l)
}

// serve sends what the leader is to know until the connection ends.
func (k *leaderLink) serve(ctx context.Context, l leaderRecord) lossReason {
	silence := time.NewTimer(silentAfter)
	counts := time.NewTicker(countsEvery)
	defer silence.Stop()
	defer counts.Stop()
	for {
		select {
		case <-ctx.Done():
			return lossClosed
		case <-k.conn.DisconnectNotify():
			return lossClosed
		case <-silence.C:
			return lossSilent
		case <-k.heard:
			silence.Reset(silentAfter)
			if k.c.lead.current().Term != l.Term {
				return lossTerm
			}
		case workload := <-k.wanted:
			if err := notify(ctx, k.nc, k.conn, methodWant, wantMessage{workload}); err != nil {
				return lossClosed
			}
		case <-k.c.leavingHeard:
			if err := k.c.tellLeaving(ctx, k.nc, k.conn); err != nil {
				return lossClosed
			}
		case <-counts.C:
			for _, m := range k.c.counts.take() {
				if err := notify(ctx, k.nc, k.conn, methodCounts, m); err != nil {
					return lossClosed
				}
			}
		}
	}
}

// want asks the leader for all runs of a workload.
func (k *leaderLink) want(workload string) {
	select {
	case k.wanted <- workload:
	default: // the next digest asks again
	}
}

// clockEvery is the period in which a host asks the leader for its clock.
const clockEvery = 5 * time.Second

// askClock asks the leader for its clock until the connection ends.
func (k *leaderLink) askClock(ctx context.Context) {
	for sleep(ctx, clockEvery) {
		callCtx, cancel := context.WithTimeout(ctx, clockEvery)
		var reply clockReply
		sent := boottime.Now()
		err := k.conn.Call(callCtx, methodClock, struct{}{}, &reply)
		cancel()
		if err != nil {
			k.c.cfg.Log.Debug("leader_clock_unknown", "err", err)
			continue
		}
		k.learnClock(sent, reply)
	}
}

// learnClock takes the leader's reply to a question that was sent at a time.
func (k *leaderLink) learnClock(sent time.Duration, reply clockReply) {
	if reply.ClockUS == 0 {
		return // not told
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.clock.learn(sent, reply.time())
}

// placed returns the earliest time on this host's clock at which the leader's clock can
// have shown a time, or false as long as its clock is unknown.
func (k *leaderLink) placed(now time.Duration, m clockReply) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.clock.earliest(now, m.time())
}

// made returns when the leader made a message, as placed does. It notes how late
// messages are.
func (k *leaderLink) made(now time.Duration, m clockReply) (time.Duration, bool) {
	at, ok := k.placed(now, m)
	if !ok {
		return 0, false
	}
	lag := now - at
	k.c.m.leaderLag.Set(lag.Milliseconds())
	k.mu.Lock()
	defer k.mu.Unlock()
	if late := lag > staleAfter; late != k.late {
		k.late = late
		k.c.cfg.Log.Info("leader_messages", "late", late, "lag_ms", lag.Milliseconds())
	}
	return at, true
}

// wantedSize bounds the workloads whose runs are to be asked for.
const wantedSize = 16

// notify sends a message within the time after which a connection counts as silent.
func notify(ctx context.Context, nc net.Conn, conn *jsonrpc2.Conn, method string, params any) error {
	if err := nc.SetWriteDeadline(time.Now().Add(silentAfter)); err != nil {
		return err
	}
	return conn.Notify(ctx, method, params)
}

// sayHello asks a host whether it leads a term. It returns nothing when it does.
func (k *leaderLink) sayHello(ctx context.Context, l leaderRecord) lossReason {
	ctx, cancel := context.WithTimeout(ctx, silentAfter)
	defer cancel()
	var reply helloReply
	sent := boottime.Now()
	err := k.conn.Call(ctx, methodHello, k.c.helloFor(l), &reply)
	if err != nil {
		return lossSilent
	}
	k.learnClock(sent, reply.clockReply)
	k.takeEarly()
	k.c.noteEnd(reply, l)
	k.c.hearOfLeader(reply.Leader)
	return reply.reason(l)
}

// noteEnd takes what a reply says of the end of a term.
func (c *Coordinator) noteEnd(reply helloReply, l leaderRecord) {
	if ago, ok := reply.ended(l); ok && !reply.Leads {
		c.lead.endedAgo(l.Term, ago)
	}
}

// reason says why a host does not lead a term; it returns nothing when it does.
func (r helloReply) reason(l leaderRecord) lossReason {
	if r.Leads {
		return ""
	}
	if _, ok := r.ended(l); ok {
		return lossEnded
	}
	return lossDenied
}

// helloFor returns the question whether a host leads a term.
func (c *Coordinator) helloFor(l leaderRecord) helloMessage {
	m := helloMessage{Host: c.cfg.Host, Term: l.Term, Protocol: protocol, Next: map[string]int64{}, Leader: c.lead.current(), processState: c.state()}
	for _, f := range c.followers() {
		if next := f.position(); next != unknownOffset {
			m.Next[f.topic] = next
		}
	}
	return m
}

// askFormerEvery is the period in which a new leader asks the former one whether
// it has stopped: one that is cut off from the store does not learn whom to tell.
const askFormerEvery = 300 * time.Millisecond

// askFormer asks the former leader until it has stopped or the context ends.
func (c *Coordinator) askFormer(ctx context.Context, former leaderRecord) {
	for !c.lead.hasEnded(former.Term) && sleep(ctx, askFormerEvery) {
		c.askOnce(ctx, former)
	}
}

// askOnce asks the former leader on a connection of its own, so that it does not
// take this host for one that follows it.
func (c *Coordinator) askOnce(ctx context.Context, former leaderRecord) {
	ctx, cancel := context.WithTimeout(ctx, peerDialTimeout+silentAfter)
	defer cancel()
	client := &peer.Client{DialTimeout: peerDialTimeout}
	defer client.Close()
	var reply helloReply
	if err := client.Call(ctx, former.Address, methodHello, c.helloFor(former), &reply); err != nil {
		c.cfg.Log.Debug("former_leader_silent", "leader", former.Host, "term", former.Term, "err", err)
		return
	}
	c.noteEnd(reply, former)
}

// maxUnpacked bounds the parameters of a message in bytes.
const maxUnpacked = 16 << 20

// take takes a notification of the leader.
func (k *leaderLink) take(r *jsonrpc2.Request) error {
	c := k.c
	switch r.Method {
	case methodPacked:
		var m packedMessage
		if err := unmarshalParams(r, &m); err != nil {
			return err
		}
		params, err := delta.Apply(nil, m.Params, maxUnpacked)
		if err != nil || m.Method == methodPacked {
			return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "not unpacked"}
		}
		raw := json.RawMessage(params)
		return k.take(&jsonrpc2.Request{Method: m.Method, Params: &raw})
	case methodRelay:
		var m relayMessage
		if err := unmarshalParams(r, &m); err != nil {
			return err
		}
		k.takeRelay(m)
	case methodFresh:
		var m freshMessage
		if err := unmarshalParams(r, &m); err != nil {
			return err
		}
		k.takeFresh(m)
	case methodLeaving:
		return c.heardLeaving(r)
	case methodRanges:
		var m rangesMessage
		if err := unmarshalParams(r, &m); err != nil {
			return err
		}
		now := boottime.Now()
		at, ok := k.placed(now, m.clockReply)
		if !ok {
			at = now
		}
		if c.takeRanges(m, at) {
			k.want(m.Workload)
		}
	}
	return nil
}

func (c *Coordinator) followerOf(topic string) *follower {
	switch topic {
	case platform.TopicOperator:
		return c.operator
	case platform.TopicTargets:
		return c.targets
	case platform.TopicControl:
		return c.control
	}
	return nil
}

// takeFresh takes up to where, and when, the leader had read the topics.
func (k *leaderLink) takeFresh(m freshMessage) {
	k.c.hosts.Store(int64(m.Hosts))
	made, ok := k.made(boottime.Now(), m.clockReply)
	if !ok {
		k.mu.Lock()
		k.early = &m
		k.mu.Unlock()
		return
	}
	for topic, t := range m.Topics {
		if f := k.c.followerOf(topic); f != nil {
			f.confirm(t.Next, time.Duration(t.AgeMS)*time.Millisecond, made)
			f.endRead()
		}
	}
}

// takeEarly takes the message that came before the leader's clock was known.
func (k *leaderLink) takeEarly() {
	k.mu.Lock()
	early := k.early
	k.early = nil
	k.mu.Unlock()
	if early != nil {
		k.takeFresh(*early)
	}
}

// takeRelay takes records of a topic.
func (k *leaderLink) takeRelay(m relayMessage) {
	f := k.c.followerOf(m.Topic)
	if f == nil {
		return
	}
	now := boottime.Now()
	made, ok := k.made(now, m.clockReply)
	fresh := neverFresh
	if ok {
		fresh = made - time.Duration(m.AgeMS)*time.Millisecond
	}
	if f.takeRelayed(m, fresh) && m.Topic == platform.TopicOperator {
		k.c.cfg.Log.Info("operator_records_relayed", "next", m.Next, "records", len(m.Records),
			"clock_known", ok, "lag_ms", (now - made).Milliseconds())
	}
}

// takeRanges takes runs that the leader stated at a time and reports whether it should
// be asked for all of them.
func (c *Coordinator) takeRanges(m rangesMessage, at time.Duration) (want bool) {
	old := c.RangeMap(m.Workload)
	switch {
	case m.Full:
		c.setRanges(m.Workload, &RangeMap{runs: m.Runs, at: at})
	case old == nil:
		return true
	case len(m.Runs) > 0:
		c.setRanges(m.Workload, old.overlay(at, m.Runs))
	}
	return m.Digest != 0 && c.RangeMap(m.Workload).digest() != m.Digest
}
