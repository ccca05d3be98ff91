package slotpeer

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/guard"
	"github.com/boragelock/boragelock/internal/peer"
	"github.com/boragelock/boragelock/placement"
)

// Timing of a host's side of the connections.
const (
	dialTimeout = 300 * time.Millisecond
	// silenceTimeout is how long a host waits without a message of the coordinator: three
	// heartbeats.
	silenceTimeout = 300 * time.Millisecond
	// stallTolerance is how late a check for silence may be. Beyond it this host itself did
	// not run, as hosts with a part of a core do at times, and messages may wait to be read:
	// the next check comes after stallTolerance.
	stallTolerance = 100 * time.Millisecond
	// reconnectPause is how long a host places requests by itself after it lost a
	// coordinator. It doubles with each attempt without a message, up to maxReconnectPause,
	// since requests wait during an attempt.
	reconnectPause    = 500 * time.Millisecond
	maxReconnectPause = 4 * time.Second
	// retireAfter is how long an unused connection to a host that no longer coordinates stays
	// open. Outcomes of requests that it placed are sent until then.
	retireAfter = 10 * time.Second
)

// link is a host's connection to a coordinator.
type link struct {
	address string
	outbox  chan outgoing
	// done is closed when the link has ended.
	done chan struct{}
	// retired is set while the host at the other end is not among the live ones.
	retired atomic.Bool

	mu      sync.Mutex
	ended   bool
	heardAt time.Duration
	// queuedAt is when an ask last waited at the coordinator.
	queuedAt time.Duration
	// heard is set with the first message; found is called then.
	heard   bool
	found   func()
	waiting map[uint64]waitingAsk
}

// waitingAsk is an ask without an answer.
type waitingAsk struct {
	answer chan placement.Decision
	// target is the owner of the request's key, or empty.
	target string
}

// outgoing is one entry of an askMessage.
type outgoing struct {
	ask    *wireAsk
	end    *wireEnd
	unsent uint64
}

// newLink returns a link that calls found with the first message of the coordinator.
func newLink(address string, found func()) *link {
	return &link{address: address, found: found, outbox: make(chan outgoing, outboxSize), done: make(chan struct{}), waiting: map[uint64]waitingAsk{}}
}

// add registers an ask and queues it. It returns nil if the link has ended or does not keep
// up.
func (l *link) add(a wireAsk) chan placement.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return nil
	}
	select {
	case l.outbox <- outgoing{ask: &a}:
	default:
		return nil
	}
	answer := make(chan placement.Decision, 1)
	if len(l.waiting) == 0 {
		l.heardAt = boottime.Now()
	}
	l.waiting[a.ID] = waitingAsk{answer, a.Target}
	return answer
}

// remove forgets an ask and reports whether it was still waiting.
func (l *link) remove(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.waiting[id]
	delete(l.waiting, id)
	return ok
}

// queue queues an end. Without room the lease expires at the coordinator.
func (l *link) queue(o outgoing) {
	select {
	case l.outbox <- o:
	case <-l.done:
	default:
	}
}

// silenceLeft returns the time after which the coordinator counts as silent. idle says that no
// ask waits.
func (l *link) silenceLeft(now time.Duration) (left time.Duration, idle bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		return silenceTimeout, true
	}
	return l.heardAt + silenceTimeout - now, false
}

// wasHeard reports whether the coordinator sent a message.
func (l *link) wasHeard() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard
}

// receive applies answers of the coordinator. It returns the leases of asks that were given
// up.
func (l *link) receive(m answerMessage) (late []uint64) {
	if !l.wasHeard() {
		l.found()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heardAt, l.heard = boottime.Now(), true
	for _, a := range m.Answers {
		w, ok := l.waiting[a.ID]
		if !ok {
			late = append(late, a.ID)
			continue
		}
		delete(l.waiting, a.ID)
		w.answer <- a.decision(w.target)
	}
	return late
}

// end ends the link: waiting asks get no answer.
func (l *link) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	close(l.done)
	for id, w := range l.waiting {
		delete(l.waiting, id)
		close(w.answer)
	}
}

// serve connects to the coordinator and carries messages until the connection ends.
func (l *link) serve(ctx context.Context, domain string, log hclog.Logger) error {
	defer l.end()
	dialer := net.Dialer{Timeout: dialTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return err
	}
	handler := jsonrpc2.HandlerWithError(func(_ context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) (_ any, err error) {
		if panicked := guard.Call("slot answer", func() { err = l.handle(r) }); panicked != nil {
			log.Error("panic", "duty", "slot answer", "err", panicked)
			_ = conn.Close() // it is unknown what the message has changed
		}
		return nil, err
	})
	conn := jsonrpc2.NewConn(ctx, peer.NewStream(nc), handler, discardLog)
	defer func() { _ = conn.Close() }() // the connection is no longer used
	return l.write(ctx, nc, conn, domain)
}

// handle handles a message of the coordinator.
func (l *link) handle(r *jsonrpc2.Request) error {
	if r.Method != MethodAnswer || r.Params == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
	var m answerMessage
	if err := json.Unmarshal(*r.Params, &m); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if len(m.Answers) > maxBatch {
		return errTooMany
	}
	for _, id := range l.receive(m) {
		l.queue(outgoing{unsent: id})
	}
	return nil
}

// write sends what is queued until the connection ends or the coordinator is silent. While no
// ask waits it wakes up only to send: a small host has connections to many others.
func (l *link) write(ctx context.Context, nc net.Conn, conn *jsonrpc2.Conn, domain string) error {
	usedAt := boottime.Now()
	left, _ := l.silenceLeft(usedAt)
	check, checkDue := time.NewTimer(left), usedAt+left
	defer check.Stop()
	for {
		m := askMessage{Domain: domain}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-conn.DisconnectNotify():
			return &LinkError{Address: l.address, Code: CodeClosed}
		case <-check.C:
			now := boottime.Now()
			left, idle := l.silenceLeft(now)
			switch {
			case idle && l.retired.Load() && now-usedAt >= retireAfter:
				return &LinkError{Address: l.address, Code: CodeRetired}
			case idle:
				left = retireAfter
			case now-checkDue > stallTolerance:
				left = max(left, stallTolerance)
			case left <= 0:
				return &LinkError{Address: l.address, Code: CodeSilent}
			}
			checkDue = now + left
			check.Reset(left)
			continue
		case first := <-l.outbox:
			list := drain([]outgoing{first}, l.outbox)
			if first.ask == nil && len(list) == 1 && !l.contended(boottime.Now()) {
				list = l.awaitAsk(ctx, list)
			}
			m.add(list)
			domain = "" // the coordinator knows it from the first message on
		}
		usedAt = boottime.Now()
		left, idle := l.silenceLeft(usedAt)
		if due := usedAt + left; !idle && due < checkDue {
			checkDue = due
			check.Reset(left)
		}
		if m.empty() {
			continue
		}
		// A coordinator that does not read must not delay the check.
		if err := nc.SetWriteDeadline(time.Now().Add(max(left, time.Millisecond))); err != nil {
			return err
		}
		if err := conn.Notify(ctx, MethodAsk, m); err != nil {
			return err
		}
		domain = "" // the coordinator knows it from the first message on
	}
}

// Reports of outcomes wait for the next ask while the coordinator has free slots: each
// message costs a packet in both directions.
const (
	// maxEndDelay is the longest delay of a report.
	maxEndDelay = 30 * time.Millisecond
	// contendedFor is how long reports are sent at once after an ask waited for longer than
	// queuedAfter.
	contendedFor = time.Second
	queuedAfter  = 20 * time.Millisecond
)

// noteWait records how long an ask waited for its answer.
func (l *link) noteWait(now, waited time.Duration) {
	if waited < queuedAfter {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queuedAt = now
}

// contended reports whether asks waited lately.
func (l *link) contended(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queuedAt > 0 && now-l.queuedAt < contendedFor
}

// awaitAsk adds what is queued until the next ask, or until maxEndDelay has passed.
func (l *link) awaitAsk(ctx context.Context, list []outgoing) []outgoing {
	timer := time.NewTimer(maxEndDelay)
	defer timer.Stop()
	for len(list) < maxBatch {
		select {
		case <-ctx.Done():
			return list
		case <-timer.C:
			return list
		case o := <-l.outbox:
			list = append(list, o)
			if o.ask != nil {
				return list
			}
		}
	}
	return list
}

// empty reports whether the message says nothing.
func (m *askMessage) empty() bool { return len(m.Asks)+len(m.Ends)+len(m.Unsent) == 0 }

// add adds a batch. An ask that is withdrawn in the same batch is left out with its withdrawal,
// since the coordinator applies withdrawals first.
func (m *askMessage) add(list []outgoing) {
	for _, o := range list {
		switch {
		case o.ask != nil:
			m.Asks = append(m.Asks, *o.ask)
		case o.end != nil:
			m.Ends = append(m.Ends, *o.end)
		default:
			i := slices.IndexFunc(m.Asks, func(a wireAsk) bool { return a.ID == o.unsent })
			if i >= 0 {
				m.Asks = slices.Delete(m.Asks, i, i+1)
				continue
			}
			m.Unsent = append(m.Unsent, o.unsent)
		}
	}
}
