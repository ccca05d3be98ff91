package coordinator

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/internal/boottime"
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
	heard := make(chan struct{}, 1)
	wanted := make(chan string, wantedSize)
	want := func(workload string) error {
		select {
		case wanted <- workload:
		default: // the next digest asks again
		}
		return nil
	}
	handler := jsonrpc2.HandlerWithError(func(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		select {
		case heard <- struct{}{}:
		default:
		}
		return nil, c.fromLeader(r, want)
	})
	conn := jsonrpc2.NewConn(ctx, peer.NewStream(nc), c.bounded(handler), quiet)
	defer func() { _ = conn.Close() }() // given up in any case
	if reason := c.sayHello(ctx, conn, l); reason != "" {
		return reason
	}
	if err := c.tellLeaving(ctx, nc, conn); err != nil {
		return lossClosed
	}
	c.cfg.Log.Info("leader_found", "leader", l.Host, "term", l.Term)
	c.lead.connected(true)
	defer c.lead.connected(false)
	silence := time.NewTimer(silentAfter)
	counts := time.NewTicker(countsEvery)
	defer silence.Stop()
	defer counts.Stop()
	for {
		select {
		case <-ctx.Done():
			return lossClosed
		case <-conn.DisconnectNotify():
			return lossClosed
		case <-silence.C:
			return lossSilent
		case <-heard:
			silence.Reset(silentAfter)
			if c.lead.current().Term != l.Term {
				return lossTerm
			}
		case workload := <-wanted:
			if err := notify(ctx, nc, conn, methodWant, wantMessage{workload}); err != nil {
				return lossClosed
			}
		case <-c.leavingHeard:
			if err := c.tellLeaving(ctx, nc, conn); err != nil {
				return lossClosed
			}
		case <-counts.C:
			for _, m := range c.counts.take() {
				if err := notify(ctx, nc, conn, methodCounts, m); err != nil {
					return lossClosed
				}
			}
		}
	}
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
func (c *Coordinator) sayHello(ctx context.Context, conn *jsonrpc2.Conn, l leaderRecord) lossReason {
	ctx, cancel := context.WithTimeout(ctx, silentAfter)
	defer cancel()
	var reply helloReply
	err := conn.Call(ctx, methodHello, c.helloFor(l), &reply)
	if err != nil {
		return lossSilent
	}
	c.noteEnd(reply, l)
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
	return helloMessage{Host: c.cfg.Host, Term: l.Term, processState: c.state()}
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

// fromLeader takes a notification of the leader; want asks it for all runs of a
// workload.
func (c *Coordinator) fromLeader(r *jsonrpc2.Request, want func(workload string) error) error {
	switch r.Method {
	case methodRelay:
		var m relayMessage
		if err := unmarshalParams(r, &m); err != nil {
			return err
		}
		if f := c.followerOf(m.Topic); f != nil && m.From != unknownOffset {
			f.take(m.From, platform.Batch{Records: m.Records, Next: m.Next}, false, boottime.Now()-followWait)
		}
	case methodFresh:
		var m freshMessage
		if err := unmarshalParams(r, &m); err != nil {
			return err
		}
		c.hosts.Store(int64(m.Hosts))
		now := boottime.Now()
		for topic, t := range m.Topics {
			if f := c.followerOf(topic); f != nil {
				f.confirm(t.Next, time.Duration(t.AgeMS)*time.Millisecond, now)
			}
		}
	case methodLeaving:
		return c.heardLeaving(r)
	case methodRanges:
		var m rangesMessage
		if err := unmarshalParams(r, &m); err != nil {
			return err
		}
		if c.takeRanges(m) {
			return want(m.Workload)
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

// takeRanges takes the leader's runs and reports whether it should be asked for all
// of them.
func (c *Coordinator) takeRanges(m rangesMessage) (want bool) {
	old, now := c.Ranges(m.Workload), boottime.Now()
	switch {
	case m.Full:
		c.setRanges(m.Workload, &Ranges{runs: m.Runs, at: now})
	case old == nil:
		return true
	case len(m.Runs) > 0:
		c.setRanges(m.Workload, old.overlay(now, m.Runs))
	}
	return m.Digest != 0 && c.Ranges(m.Workload).digest() != m.Digest
}
