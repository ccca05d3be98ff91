package coordinator

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/guard"
	"github.com/boragelock/boragelock/platform"
)

// unknownOffset makes a follower read the newest record of each key.
const unknownOffset = -1

// neverFresh is a time before the start of any process.
const neverFresh = -time.Hour

// follower reads one topic of the store, or takes it from the leader's relay.
type follower struct {
	c     *Coordinator
	topic string
	// apply folds records and returns those that peers need.
	apply func(records []platform.Record, full bool) []platform.Record

	// taking is held while records are applied, so that they come into force in the
	// order of the topic; state is used only then.
	taking sync.Mutex
	state  topicState

	mu   sync.Mutex
	next int64
	// fresh is when the records before next were last known to be all.
	fresh time.Duration
	// abort ends the read under way.
	abort context.CancelFunc
	// back is when fresh went on after the host had been without the store.
	back time.Duration
}

func newFollower(c *Coordinator, topic string, apply func([]platform.Record, bool) []platform.Record) *follower {
	return &follower{c: c, topic: topic, apply: apply, state: newTopicState(), next: unknownOffset, fresh: neverFresh}
}

// String implements fmt.Stringer for the supervisor's messages.
func (f *follower) String() string { return "follow " + f.topic }

// age returns the time since the topic was known to be read to its end.
func (f *follower) age(now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now - f.fresh
}

// refreshed notes that all records before next were known at a time; f.mu is held.
func (f *follower) refreshed(at time.Duration) {
	if at <= f.fresh {
		return
	}
	if at-f.fresh > awayFor {
		f.back = at
	}
	f.fresh = at
}

// backAt returns when the topic could be read again after it could not.
func (f *follower) backAt() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.back
}

// position returns the offset of the next record, or unknownOffset.
func (f *follower) position() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// needed reports whether the host must read the topic by itself. The leader
// reads all topics but the control topic, which only it writes. A host without a
// leader waits on the control topic for the next one, so that it finds it before it
// has to read the others.
func (f *follower) needed(now time.Duration) bool {
	if f.c.Leading() {
		return f.topic != platform.TopicControl
	}
	if f.topic == platform.TopicControl && !f.c.lead.isConnected() {
		return true
	}
	return f.position() == unknownOffset || f.age(now) > staleAfter
}

// Serve implements suture.Service.
func (f *follower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if !f.needed(boottime.Now()) {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		start := boottime.Now()
		away := f.age(start) > awayFor
		if err := f.read(ctx); err != nil {
			f.failed(err)
			sleep(ctx, retryPause+jitter(retryPause))
			continue
		}
		if away {
			f.c.wakeFollowers(f)
		}
		if rest := followPause - (boottime.Now() - start); rest > 0 {
			sleep(ctx, rest)
		}
	}
	return ctx.Err()
}

// forget makes the follower read the newest record of each key next.
func (f *follower) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = unknownOffset
}

func (f *follower) failed(err error) {
	var e *platform.Error
	if errors.As(err, &e) && e.Outcome == platform.Expired {
		f.forget()
	}
	f.c.cfg.Log.Debug("store_read_failed", "topic", f.topic, "err", err)
}

// read makes one call and applies what it brings.
func (f *follower) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, followWait+readTimeout)
	defer cancel()
	f.mu.Lock()
	f.abort = cancel
	f.mu.Unlock()
	from := f.position()
	if f.topic == platform.TopicOperator && f.age(boottime.Now()) > awayFor {
		// Each desired state replaces the one before, and may be large.
		from = unknownOffset
	}
	if from == unknownOffset {
		sent := boottime.Now()
		b, err := f.c.cfg.Store.Newest(ctx, f.topic)
		f.c.m.storeCall("newest", err)
		if err != nil {
			return err
		}
		f.take(from, b, true, sent)
		return nil
	}
	b, err := f.c.cfg.Store.Read(ctx, f.topic, from, followWait)
	f.c.m.storeCall("read", err)
	if err != nil {
		return err
	}
	f.take(from, b, false, boottime.Now())
	return nil
}

// wakeFollowers makes the others try again at once that have been without the store,
// since one follower was answered: a read that began during a cut may hang for its
// whole time limit after it.
func (c *Coordinator) wakeFollowers(answered *follower) {
	now := boottime.Now()
	for _, f := range c.followers() {
		if f == answered || f.age(now) <= awayFor {
			continue
		}
		f.mu.Lock()
		abort := f.abort
		f.mu.Unlock()
		if abort != nil {
			abort()
		}
	}
}

// take applies records that were read from offset from on, unless they leave a
// gap, and relays them. Records that were applied before are left out.
func (f *follower) take(from int64, b platform.Batch, full bool, fresh time.Duration) bool {
	f.taking.Lock()
	defer f.taking.Unlock()
	applied, ok := f.fits(from, b.Next, full)
	if !ok {
		return false
	}
	records := slices.DeleteFunc(slices.Clone(b.Records), func(r platform.Record) bool { return !full && r.Offset < applied })
	f.accept(from, platform.Batch{Records: records, Next: b.Next}, full, fresh)
	return true
}

// takeRelayed applies what the leader passed on, as take does. After a patch that
// cannot be applied the topic is read from the store.
func (f *follower) takeRelayed(m relayMessage, fresh time.Duration) bool {
	f.taking.Lock()
	defer f.taking.Unlock()
	applied, ok := f.fits(m.From, m.Next, m.Full)
	if !ok || m.From == unknownOffset && !m.Full {
		return false
	}
	if m.Full {
		applied = 0
	}
	records, err := f.state.unpack(m.Records, applied)
	if err != nil {
		f.c.cfg.Log.Warn("relay_unusable", "topic", f.topic, "err", err)
		f.forget()
		return false
	}
	f.accept(m.From, platform.Batch{Records: records, Next: m.Next}, m.Full, fresh)
	return true
}

// endRead ends a read under way that is no longer needed. It may be large.
func (f *follower) endRead() {
	if f.needed(boottime.Now()) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.abort != nil {
		f.abort()
		f.abort = nil
	}
}

// fits reports whether records between two offsets go on from what was applied, and
// up to where that was; a full state does unless it is older. f.taking is held.
func (f *follower) fits(from, next int64, full bool) (applied int64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if full {
		return f.next, f.next <= next
	}
	return f.next, f.next == from || f.next != unknownOffset && from < f.next && f.next < next
}

// accept applies records and relays them; f.taking is held. The topic counts as read
// only when they are in force.
func (f *follower) accept(from int64, b platform.Batch, full bool, fresh time.Duration) {
	relevant := b.Records
	if len(b.Records) > 0 || full {
		relevant = f.fold(b.Records, full)
	}
	f.mu.Lock()
	f.next = b.Next
	f.refreshed(fresh)
	f.mu.Unlock()
	relays := f.c.Leading()
	if full {
		f.state.reset(b.Next)
		for _, r := range b.Records {
			f.state.put(r)
		}
		if relays {
			f.c.peers.send(methodRelay, f.fullRelay())
		}
		return
	}
	m := f.relay(from, b.Next)
	for _, r := range relevant {
		if relays {
			m.Records = append(m.Records, f.state.pack(r))
		}
		f.state.put(r)
	}
	if relays && (len(relevant) > 0 || b.Next != from) {
		f.c.peers.send(methodRelay, m)
	}
}

// fold applies records. After a panic it applies each by itself, so that only the
// one that causes it is left out.
func (f *follower) fold(records []platform.Record, full bool) (relevant []platform.Record) {
	duty := f.String()
	err := guard.Call(duty, func() { relevant = f.apply(records, full) })
	if err == nil {
		return relevant
	}
	f.c.cfg.Log.Error("panic", "duty", duty, "records", len(records), "err", err)
	relevant = nil
	for i := range records {
		one := records[i : i+1]
		if err := guard.Call(duty, func() { relevant = append(relevant, f.apply(one, false)...) }); err != nil {
			f.c.cfg.Log.Error("record_left_out", "topic", f.topic, "offset", one[0].Offset, "err", err)
		}
	}
	return relevant
}

// confirm notes that another host had known for an age, at a time on this host's
// clock, that the topic ended at next.
func (f *follower) confirm(next int64, age, at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next >= next {
		f.refreshed(at - age)
	}
}
