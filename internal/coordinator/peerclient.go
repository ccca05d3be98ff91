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
		l := c.leadership.current()
		if c.Leading() || l.Address == "" || l.Address == c.cfg.Peer {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		reason := c.followLeader(ctx, l)
		if l.Term != lostTerm || reason != lostReason {
			c.cfg.Log.Info("leader_lost", "leader", l.Host, "term", l.Term, "reason", reason)
		}
		lostTerm, lostReason = l.Term, reason
		c.leadership.noteLoss(l.Term, reason)
		sleep(ctx, 50*time.Millisecond+jitter(100*time.Millisecond))
	}
	return ctx.Err()
}

// lossReason is the reason why a connection to the leader failed or ended.
type lossReason string

const (
	lossRefused lossReason = "refused"     // the connection was refused
	lossDial    lossReason = "unreachable" // the connection was not opened in time
	lossDenied  lossReason = "not leading" // the process there does not lead, but has not ended the term
	lossEnded   lossReason = "ended"       // the leader's process was replaced or has stopped leading
	lossSilent  lossReason = "silent"
	lossClosed  lossReason = "closed"
	lossTerm    lossReason = "new term"
)

// leaderLink is a host's side of its connection to the leader.
type leaderLink struct {
	c    *Coordinator
	nc   net.Conn
	conn *jsonrpc2.Conn
	// received is signalled at each message of the leader, rangeRequests holds the
	// workloads whose key ranges are to be requested.
	received      chan struct{}
	rangeRequests chan string

	mu    sync.Mutex
	clock remoteClock
	// deferred is a message that arrived before the leader's clock was known.
	deferred *positionsMessage
	// lagging is true when the latest message was older than staleAfter on arrival.
	lagging bool
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
	k := &leaderLink{c: c, nc: nc, received: make(chan struct{}, 1), rangeRequests: make(chan string, maxRangeRequests)}
	handler := jsonrpc2.HandlerWithError(func(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		select {
		case k.received <- struct{}{}:
		default:
		}
		return nil, k.handle(r)
	})
	c.reportOwnSuspects() // before the leader's list replaces them
	k.conn = jsonrpc2.NewConn(ctx, peer.NewStream(nc), c.recoverPanics(handler), discardLog)
	defer func() { _ = k.conn.Close() }() // the connection is no longer used
	if reason := k.sendHello(ctx, l); reason != "" {
		return reason
	}
	if err := c.sendLeaving(ctx, nc, k.conn); err != nil {
		return lossClosed
	}
	c.reportAllLimits()
	c.cfg.Log.Info("leader_found", "leader", l.Host, "term", l.Term)
	c.link.Store(k)
	defer c.link.Store(nil)
	c.leadership.setConnected(true)
	defer c.leadership.setConnected(false)
	go k.pollClock(ctx)
	go k.askPermits(ctx)
	go k.askAllotments(ctx, l.Term)
	return k.serve(ctx, l)
}

// serve sends messages to the leader until the connection ends.
func (k *leaderLink) serve(ctx context.Context, l leaderRecord) lossReason {
	silence := time.NewTimer(silentAfter)
	counts := time.NewTicker(countsEvery)
	own := stallWatch{tickedAt: boottime.Now()}
	defer silence.Stop()
	defer counts.Stop()
	for {
		select {
		case <-ctx.Done():
			return lossClosed
		case <-k.conn.DisconnectNotify():
			return lossClosed
		case <-silence.C:
			if !own.excuses(boottime.Now()) {
				return lossSilent
			}
			silence.Reset(silentAfter)
		case <-k.received:
			own.heard()
			silence.Reset(silentAfter)
			now := k.c.leadership.current()
			if now.Term != l.Term && now.Incarnation != l.Incarnation {
				return lossTerm
			}
			l = now
		case workload := <-k.rangeRequests:
			if err := notify(ctx, k.nc, k.conn, methodRequestRanges, rangesRequest{workload}); err != nil {
				return lossClosed
			}
		case <-k.c.leavingReported:
			if err := k.c.sendLeaving(ctx, k.nc, k.conn); err != nil {
				return lossClosed
			}
		case <-k.c.limitReported:
			if err := k.sendLimits(ctx); err != nil {
				return lossClosed
			}
		case <-k.c.suspectsReported:
			if err := k.sendObservations(ctx); err != nil {
				return lossClosed
			}
		case <-counts.C:
			own.tick(boottime.Now())
			for _, m := range k.c.counts.drain() {
				if err := notify(ctx, k.nc, k.conn, methodCounts, m); err != nil {
					return lossClosed
				}
			}
		}
	}
}

// stallWatch tells whether this host did not run for a while since it heard of the leader, so
// that messages may have arrived that it has not read.
type stallWatch struct {
	tickedAt time.Duration
	stalled  bool
}

// tick notes a tick that is due every countsEvery.
func (w *stallWatch) tick(now time.Duration) {
	w.stalled = w.stalled || now-w.tickedAt > 2*countsEvery
	w.tickedAt = now
}

func (w *stallWatch) heard() { w.stalled = false }

// excuses reports whether a silence may be this host's own. A stall excuses one.
func (w *stallWatch) excuses(now time.Duration) bool {
	w.tick(now)
	stalled := w.stalled
	w.stalled = false
	return stalled
}

// requestRanges queues a request to the leader for all key ranges of a workload.
func (k *leaderLink) requestRanges(workload string) {
	select {
	case k.rangeRequests <- workload:
	default: // the next digest causes another request
	}
}

// clockEvery is the interval at which a host reads the leader's clock.
const clockEvery = 5 * time.Second

// pollClock reads the leader's clock periodically until the connection ends.
func (k *leaderLink) pollClock(ctx context.Context) {
	for sleep(ctx, clockEvery) {
		callCtx, cancel := context.WithTimeout(ctx, clockEvery)
		var reply clockReading
		sent := boottime.Now()
		err := k.call(callCtx, methodClock, struct{}{}, &reply)
		cancel()
		if err != nil {
			k.c.cfg.Log.Debug("leader_clock_unknown", "err", err)
			continue
		}
		k.updateClock(sent, reply)
	}
}

// updateClock applies the leader's clock from the reply to a request sent at a time.
func (k *leaderLink) updateClock(sent time.Duration, reply clockReading) {
	if reply.ClockUS == 0 {
		return // the reply has no clock
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.clock.observe(sent, reply.time())
}

// earliestLocal returns the earliest time on this host's clock at which the leader's
// clock can have shown a time, or false while the leader's clock is unknown.
func (k *leaderLink) earliestLocal(now time.Duration, m clockReading) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.clock.earliestLocal(now, m.time())
}

// madeAt returns the earliest time on this host's clock at which the leader can have
// made a message, or false as earliestLocal does. It records how late messages arrive.
func (k *leaderLink) madeAt(now time.Duration, m clockReading) (time.Duration, bool) {
	at, ok := k.earliestLocal(now, m)
	if !ok {
		return 0, false
	}
	lag := now - at
	k.c.metrics.leaderLag.Set(lag.Milliseconds())
	k.mu.Lock()
	defer k.mu.Unlock()
	if lagging := lag > staleAfter; lagging != k.lagging {
		k.lagging = lagging
		k.c.cfg.Log.Info("leader_messages", "late", lagging, "lag_ms", lag.Milliseconds())
	}
	return at, true
}

// maxRangeRequests bounds the queued requests for the key ranges of workloads.
const maxRangeRequests = 16

// notify sends a message within the time after which a connection counts as silent.
func notify(ctx context.Context, nc net.Conn, conn *jsonrpc2.Conn, method string, params any) error {
	if err := nc.SetWriteDeadline(time.Now().Add(silentAfter)); err != nil {
		return err
	}
	return conn.Notify(ctx, method, params)
}

// call calls a method of the leader and waits for the reply until the context ends. The
// write has its own deadline: the one of an earlier notification may have passed.
func (k *leaderLink) call(ctx context.Context, method string, params, reply any) error {
	if err := k.nc.SetWriteDeadline(time.Now().Add(silentAfter)); err != nil {
		return err
	}
	return k.conn.Call(ctx, method, params, reply)
}

// sendHello asks a host whether it leads a term. It returns "" when it does.
func (k *leaderLink) sendHello(ctx context.Context, l leaderRecord) lossReason {
	ctx, cancel := context.WithTimeout(ctx, silentAfter)
	defer cancel()
	var reply helloReply
	sent := boottime.Now()
	err := k.call(ctx, methodHello, k.c.helloFor(l), &reply)
	if err != nil {
		return lossSilent
	}
	k.updateClock(sent, reply.clockReading)
	k.applyDeferred()
	k.c.noteTermEnd(reply, l)
	if !reply.belongsTo(k.c.cfg.Fleet) {
		k.c.cfg.Log.Warn("other_fleet", "address", l.Address, "fleet", reply.Fleet)
		return lossEnded
	}
	k.c.adoptLeader(reply.Leader)
	if reply.Leading {
		if err := k.sendLostTables(ctx, reply.Lost); err != nil {
			return lossClosed
		}
	}
	return reply.reason(l)
}

// noteTermEnd records the end of a term if the reply reports it.
func (c *Coordinator) noteTermEnd(reply helloReply, l leaderRecord) {
	if ago, ok := reply.leaderEnded(l); ok && !reply.Leading {
		c.leadership.noteEnded(l.Term, ago)
	}
}

// reason returns why a host does not lead a term, or "" when it leads.
func (r helloReply) reason(l leaderRecord) lossReason {
	if r.Leading {
		return ""
	}
	if _, ok := r.leaderEnded(l); ok {
		return lossEnded
	}
	return lossDenied
}

// helloFor returns the hello message to the leader of a term.
func (c *Coordinator) helloFor(l leaderRecord) helloMessage {
	m := helloMessage{Host: c.cfg.Host, Address: c.cfg.Peer, Room: c.room(), Domain: c.cfg.Domain, Cores: c.statedCores(), Term: l.Term, Protocol: protocolVersion, Positions: map[string]topicPosition{}, Leader: c.leadership.current(), Lost: c.witnesses.position(), LostHosts: c.recentHosts(boottime.Now()), processState: c.processState()}
	for _, f := range c.followers() {
		if p := f.report(boottime.Now()); p.Next != unknownOffset {
			m.Positions[f.topic] = p
		}
	}
	return m
}

// askPreviousEvery is the interval at which a new leader asks the previous one whether
// it has stopped: a host that is cut off from the store does not learn of the new leader.
const askPreviousEvery = 100 * time.Millisecond

// askPreviousLeader asks the previous leader until it has stopped or the context ends.
func (c *Coordinator) askPreviousLeader(ctx context.Context, previous leaderRecord) {
	for !c.leadership.hasEnded(previous.Term) {
		c.askPreviousOnce(ctx, previous)
		if !sleep(ctx, askPreviousEvery) {
			return
		}
	}
}

// askPreviousOnce asks the previous leader once, on a separate connection, so that the
// previous leader does not treat this host as a follower.
func (c *Coordinator) askPreviousOnce(ctx context.Context, previous leaderRecord) {
	ctx, cancel := context.WithTimeout(ctx, peerDialTimeout+silentAfter)
	defer cancel()
	client := &peer.Client{DialTimeout: peerDialTimeout}
	defer client.Close()
	var reply helloReply
	if err := client.Call(ctx, previous.Address, methodHello, c.helloFor(previous), &reply); err != nil {
		c.cfg.Log.Debug("former_leader_silent", "leader", previous.Host, "term", previous.Term, "err", err)
		return
	}
	c.noteTermEnd(reply, previous)
}

// maxUnpackedBytes bounds the size of a message's unpacked parameters in bytes.
const maxUnpackedBytes = 16 << 20

// handle handles a notification of the leader.
func (k *leaderLink) handle(r *jsonrpc2.Request) error {
	c := k.c
	switch r.Method {
	case methodPacked:
		var m packedMessage
		if err := unmarshalParams(r, &m); err != nil {
			return err
		}
		params, err := delta.Apply(nil, m.Params, maxUnpackedBytes)
		if err != nil || m.Method == methodPacked {
			return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "packed params cannot be unpacked"}
		}
		raw := json.RawMessage(params)
		return k.handle(&jsonrpc2.Request{Method: m.Method, Params: &raw})
	case methodRelay:
		var m relayMessage
		if err := unmarshalParams(r, &m); err != nil {
			return err
		}
		k.applyRelay(m)
	case methodPositions:
		var m positionsMessage
		if err := unmarshalParams(r, &m); err != nil {
			return err
		}
		k.applyPositions(m)
	case methodHosts:
		return c.applyLiveHosts(r)
	case methodContended:
		return c.applyContended(r)
	case methodLeaving:
		return c.handleLeaving(r)
	case methodOffer:
		var m offerMessage
		if err := unmarshalParams(r, &m); err != nil {
			return err
		}
		c.noteOffer(m)
	case methodLimits:
		var m limitsMessage
		if err := unmarshalParams(r, &m); err != nil {
			return err
		}
		k.applyLimits(m.Limits)
	case methodSuspects:
		var m suspectsMessage
		if err := unmarshalParams(r, &m); err != nil {
			return err
		}
		c.applySuspects(m)
	case methodRanges:
		var m rangesMessage
		if err := unmarshalParams(r, &m); err != nil {
			return err
		}
		now := boottime.Now()
		at, ok := k.earliestLocal(now, m.clockReading)
		if !ok {
			at = now
		}
		if c.applyRanges(m, at) {
			k.requestRanges(m.Workload)
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

// applyPositions records at which offsets the topics ended, and when the leader knew it.
func (k *leaderLink) applyPositions(m positionsMessage) {
	now := boottime.Now()
	k.c.setHostCount(now, m.Hosts)
	made, ok := k.madeAt(now, m.clockReading)
	if !ok {
		k.mu.Lock()
		k.deferred = &m
		k.mu.Unlock()
		return
	}
	for topic, t := range m.Topics {
		if f := k.c.followerOf(topic); f != nil {
			f.confirmCaughtUp(t.Era, t.Next, time.Duration(t.AgeMS)*time.Millisecond, made)
			f.cancelUnneededRead()
		}
	}
}

// applyDeferred applies the message that arrived before the leader's clock was known.
func (k *leaderLink) applyDeferred() {
	k.mu.Lock()
	deferred := k.deferred
	k.deferred = nil
	k.mu.Unlock()
	if deferred != nil {
		k.applyPositions(*deferred)
	}
}

// applyRelay applies relayed records of a topic.
func (k *leaderLink) applyRelay(m relayMessage) {
	f := k.c.followerOf(m.Topic)
	if f == nil {
		return
	}
	now := boottime.Now()
	made, ok := k.madeAt(now, m.clockReading)
	caughtUpAt := neverCaughtUp
	if ok {
		caughtUpAt = made - time.Duration(m.AgeMS)*time.Millisecond
	}
	if f.applyRelay(m, caughtUpAt) && m.Topic == platform.TopicOperator {
		k.c.cfg.Log.Info("operator_records_relayed", "next", m.Next, "records", len(m.Records),
			"clock_known", ok, "lag_ms", (now - made).Milliseconds())
	}
}

// applyRanges applies the key ranges that the leader stated at a time and reports
// whether the host should request all of them from the leader.
func (c *Coordinator) applyRanges(m rangesMessage, at time.Duration) (requestAll bool) {
	old := c.RangeMap(m.Workload)
	switch {
	case m.Full:
		c.setRangeMap(m.Workload, &RangeMap{ranges: m.Ranges, asOf: at})
	case old == nil:
		return true
	case len(m.Ranges) > 0:
		c.setRangeMap(m.Workload, old.overlay(at, m.Ranges))
	}
	return m.Digest != 0 && c.RangeMap(m.Workload).digest() != m.Digest
}
