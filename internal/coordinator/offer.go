package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/platform"
)

// A leader that the store turns away may not move keys, and its view ages. It asks hosts that
// follow it, one after the other, to succeed it: one that reaches the store leads the next term
// long before the others notice that this one is no longer confirmed. The leader goes on until
// it hears of that term, so that nothing is lost when the store answers nobody.

// Times of offers to succeed a leader.
const (
	// offerAfter is the time without an answer of the store, and offerFailures the number of
	// failed calls since the last one, from which a leader offers its lead: a call in each
	// of its topics.
	offerAfter    = 400 * time.Millisecond
	offerFailures = 2
	// offerPause is the time between the first two offers in a row; it doubles up to
	// maxOfferPause, since the store may answer nobody.
	offerPause    = 300 * time.Millisecond
	maxOfferPause = 2 * time.Second
)

// offerMessage asks a host to succeed the leader of a term.
type offerMessage struct {
	Term uint64 `json:"term"`
}

// storeAnswers tells whether the store answers this host's calls. Its times are on the runClock:
// calls that ran into their deadlines while the process did not run say nothing of the store.
type storeAnswers struct {
	mu         sync.Mutex
	answeredAt time.Duration
	// failures counts the calls without an answer since the last one that had one.
	failures int
}

// note records the result of a call.
func (s *storeAnswers) note(now time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isAnswer(err) {
		s.answeredAt, s.failures = now, 0
	} else if !errors.Is(err, context.Canceled) {
		s.failures++
	}
}

// lost reports whether the store does not answer this host.
func (s *storeAnswers) lost(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures >= offerFailures && now-s.answeredAt >= offerAfter
}

// offers are the offers of a term to succeed it since the store last answered.
type offers struct {
	made   map[*peerConn]bool
	nextAt time.Duration
	pause  time.Duration
}

// offerLead asks the next host to succeed this one while the store does not answer this one.
func (t *term) offerLead(now time.Duration) {
	if !t.c.storeAnswers.lost(t.c.ran.now()) {
		t.offers = offers{}
		return
	}
	if now < t.offers.nextAt {
		return
	}
	pc, host := t.c.peers.roomiest(t.offers.made)
	if pc == nil {
		t.offers.made = nil // all were asked; the store may answer some of them by now
		return
	}
	if t.offers.made == nil {
		t.offers.made = map[*peerConn]bool{}
	}
	t.offers.made[pc] = true
	t.offers.pause = min(max(offerPause, 2*t.offers.pause), maxOfferPause)
	t.offers.nextAt = now + t.offers.pause
	t.c.cfg.Log.Info("lead_offered", "term", t.record.Term, "to", host)
	pc.enqueue(encode(methodOffer, offerMessage{Term: t.record.Term}))
}

// roomiest returns the connection and name of the host with most resources, but for some, or
// nil.
func (p *peerSet) roomiest(but map[*peerConn]bool) (best *peerConn, host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pc := range p.conns {
		if !but[pc] && (best == nil || pc.room > best.room) {
			best, host = pc, pc.host
		}
	}
	return best, host
}

// noteOffer passes an offer of the leader on to the task that campaigns.
func (c *Coordinator) noteOffer(m offerMessage) {
	select {
	case c.offered <- m.Term:
	default: // another one is being handled
	}
}

// acceptOffer begins the next term when the store answers this host, or returns nil.
func (c *Coordinator) acceptOffer(ctx context.Context, term uint64) *wonTerm {
	if c.leadership.current().Term != term || !c.mayLead(boottime.Now()) {
		return nil
	}
	// A campaign whose outcome stays unknown would take the lead when the store returns.
	if err := c.readControl(ctx, c.control.position()); err != nil {
		c.cfg.Log.Info("offer_declined", "term", term, "err", err)
		return nil
	}
	if c.leadership.current().Term != term {
		return nil
	}
	return c.campaign(ctx)
}

// readControl reads the control topic from an offset, without waiting for a record.
func (c *Coordinator) readControl(ctx context.Context, offset int64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := boottime.Now()
	b, err := c.cfg.Store.Read(ctx, platform.TopicControl, offset, 0)
	c.noteStoreCall("read", b.Era, err)
	if err != nil {
		return err
	}
	c.control.applyBatch(offset, b, false, answeredAt(sent, 0, boottime.Now(), b))
	return nil
}
