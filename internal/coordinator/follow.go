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

// neverCaughtUp is a time before the start of any process.
const neverCaughtUp = -time.Hour

// follower follows one topic, from the store or from the leader's relay.
type follower struct {
	c     *Coordinator
	topic string
	// apply applies records and returns those to relay.
	apply func(records []platform.Record, full bool) []platform.Record

	// applyMu is held while records are applied, so that they come into force in the
	// order of the topic; it also guards state.
	applyMu sync.Mutex
	state   topicState
	// remembered has the records in force that the store lost, by key.
	remembered map[string]rememberedRecord

	mu sync.Mutex
	// era is the era of the store in which next is an offset.
	era uint64
	// next is the offset of the next record, or unknownOffset.
	next int64
	// applied says that records of the topic were applied, or that it has none.
	applied bool
	// caughtUpAt is when the topic was last known to end at next.
	caughtUpAt time.Duration
	// leaderReported is true once a leader has reported its position in the topic.
	leaderReported bool
	// endRead ends the read in progress.
	endRead context.CancelFunc
	// recoveredAt is when the follower last caught up after it had been behind for longer
	// than topicLostAfter.
	recoveredAt time.Duration
	// contact tells whether the store answers. wasOutage says that it had not answered before
	// recoveredAt.
	contact   storeContact
	wasOutage bool
	// following says that Serve runs.
	following bool
	// failedReads counts the reads in a row that the store did not answer; only Serve uses it.
	failedReads int
}

func newFollower(c *Coordinator, topic string, apply func([]platform.Record, bool) []platform.Record) *follower {
	return &follower{c: c, topic: topic, apply: apply, state: newTopicState(), remembered: map[string]rememberedRecord{}, next: unknownOffset, caughtUpAt: neverCaughtUp}
}

// String implements fmt.Stringer for the supervisor's messages.
func (f *follower) String() string { return "follow " + f.topic }

// age returns the time since the follower was last known to be caught up.
func (f *follower) age(now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now - f.caughtUpAt
}

// setCaughtUp records that the topic ended at next at the given time; f.mu is held.
func (f *follower) setCaughtUp(at time.Duration) {
	if at <= f.caughtUpAt {
		return
	}
	outage := f.contact.caughtUp(f.c.ran.now())
	if at-f.caughtUpAt > topicLostAfter {
		// A host that starts cannot tell whether the store was away before.
		f.recoveredAt, f.wasOutage = at, outage || f.caughtUpAt == neverCaughtUp
	}
	f.caughtUpAt = at
}

// recovery returns when the follower last caught up after it had been behind for longer than
// topicLostAfter, and whether the store had not answered meanwhile.
func (f *follower) recovery() (at time.Duration, outage bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recoveredAt, f.wasOutage
}

// position returns the offset of the next record in the current era of the store, or
// unknownOffset.
func (f *follower) position() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.era != f.c.storeEra.Load() {
		return unknownOffset
	}
	return f.next
}

// lastKnown returns the last known position, in whatever era.
func (f *follower) lastKnown() topicPosition {
	f.mu.Lock()
	defer f.mu.Unlock()
	return topicPosition{Era: f.era, Next: f.next}
}

// hasApplied reports whether the host has ever known the topic up to some position.
func (f *follower) hasApplied() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied
}

// followedLeader reports whether the host has heard all that a leader knew of the topic.
func (f *follower) followedLeader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaderReported
}

// report returns the position of the follower as it is sent to other hosts.
func (f *follower) report(now time.Duration) topicPosition {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := topicPosition{Era: f.c.storeEra.Load(), Next: unknownOffset, AgeMS: (now - f.caughtUpAt).Milliseconds()}
	if f.era == p.Era {
		p.Next = f.next
	}
	return p
}

// readCause is why a host reads a topic from the store; noRead means that it does not.
type readCause string

const (
	noRead       readCause = ""
	readToLead   readCause = "leading"
	readNoLeader readCause = "no_leader"   // the control topic tells the next leader
	readUnknown  readCause = "no_position" // nothing is known of the topic, or not of this era
	readStale    readCause = "relay_stale" // what the leader relays is too old
)

// readCause returns why the host must read the topic from the store. The leader
// reads all topics but the control topic, which only it writes. A host without a
// connection to the leader waits on the control topic for the next leader, so that it
// finds it before it has to read the other topics.
func (f *follower) readCause(now time.Duration) readCause {
	switch {
	case f.c.Leading():
		if f.topic == platform.TopicControl {
			return noRead
		}
		return readToLead
	case f.topic == platform.TopicControl && !f.c.leadership.isConnected():
		return readNoLeader
	case f.position() == unknownOffset:
		if f.c.awaitsRelay(now) {
			return noRead
		}
		return readUnknown
	case f.age(now) > staleAfter:
		return readStale
	}
	return noRead
}

// mustRead reports whether the host must read the topic from the store.
func (f *follower) mustRead(now time.Duration) bool { return f.readCause(now) != noRead }

// Serve implements suture.Service.
func (f *follower) Serve(ctx context.Context) error {
	f.setFollowing(true)
	defer f.setFollowing(false)
	for ctx.Err() == nil {
		start := boottime.Now()
		cause := f.readCause(start)
		if cause == noRead {
			sleep(ctx, 100*time.Millisecond)
			continue
		}
		lost := f.age(start) > topicLostAfter
		b, err := f.readBatch(ctx)
		f.noteRead(cause, len(b.Records), boottime.Now()-start, err)
		if err != nil {
			f.handleReadError(err)
			sleep(ctx, retryPause+jitter(retryPause))
			continue
		}
		if lost {
			f.c.cancelStalledReads(f)
		}
		if rest := minReadInterval - (boottime.Now() - start); rest > 0 && !b.Partial {
			sleep(ctx, rest)
		}
	}
	return ctx.Err()
}

// resetPosition makes the next read return the newest record of each key.
func (f *follower) resetPosition() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = unknownOffset
}

// slowRead is the time from which an answered read of new records is logged.
const slowRead = 300 * time.Millisecond

// noteRead counts a read of the topic, and logs the first of a row of failed reads, their end,
// and reads that took long. A read without new records waits for them, and is not slow.
func (f *follower) noteRead(cause readCause, records int, took time.Duration, err error) {
	f.c.metrics.topicRead(f.topic, cause, err)
	log, ms := f.c.cfg.Log, took.Milliseconds()
	switch {
	case errors.Is(err, context.Canceled): // it was no longer needed
	case err != nil:
		if f.failedReads++; f.failedReads == 1 {
			log.Info("store_reads_fail", "topic", f.topic, "cause", cause, "took_ms", ms, "err", err)
		}
	case f.failedReads > 0:
		log.Info("store_reads_again", "topic", f.topic, "cause", cause, "failed", f.failedReads)
		f.failedReads = 0
	case took >= slowRead && records > 0:
		log.Info("store_read_slow", "topic", f.topic, "cause", cause, "took_ms", ms, "records", records)
	}
}

func (f *follower) handleReadError(err error) {
	var e *platform.Error
	if errors.As(err, &e) && e.Outcome == platform.Expired {
		f.c.cfg.Log.Info("records_unavailable", "topic", f.topic, "position", f.lastKnown().Next, "first", e.Offset, "era", e.Era)
		f.resetPosition()
	}
	f.c.cfg.Log.Debug("store_read_failed", "topic", f.topic, "err", err)
}

// read makes one call to the store and applies the records that it returns.
func (f *follower) read(ctx context.Context) error {
	_, err := f.readBatch(ctx)
	return err
}

// readBatch makes one call to the store, and applies and returns the records of the answer.
func (f *follower) readBatch(ctx context.Context) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, maxReadWait+storeTimeout)
	defer cancel()
	f.mu.Lock()
	f.endRead = cancel
	f.mu.Unlock()
	sent := boottime.Now()
	age := f.age(sent)
	from := f.position()
	if f.topic == platform.TopicOperator && age > topicLostAfter {
		// Each desired state replaces the previous one and may be large, so that only
		// the newest is read.
		from = unknownOffset
	}
	if from == unknownOffset {
		f.beginRead(maxReadWait)
		b, err := f.c.cfg.Store.Newest(ctx, f.topic)
		f.endedRead("newest", b.Era, err)
		if err != nil {
			return platform.Batch{}, err
		}
		f.applyBatch(from, b, true, sent)
		return b, nil
	}
	// The end of the topic must be known in time also when no record comes.
	wait := maxReadWait - age
	if age > maxReadWait {
		wait = 0
	}
	f.beginRead(wait)
	b, err := f.c.cfg.Store.Read(ctx, f.topic, from, wait)
	f.endedRead("read", b.Era, err)
	if err != nil {
		return platform.Batch{}, err
	}
	f.applyBatch(from, b, false, answeredAt(sent, wait, boottime.Now(), b))
	return b, nil
}

// answeredAt returns the earliest time at which the store can have made the answer to a read: it
// holds one without records for the whole wait.
func answeredAt(sent, wait, now time.Duration, b platform.Batch) time.Duration {
	switch {
	case b.Partial:
		return neverCaughtUp
	case len(b.Records) > 0:
		return sent
	}
	return min(sent+wait, now)
}

// cancelStalledReads makes the other followers that are cut off from the store retry at
// once, since one follower got a response: a read that began during a partition may hang
// until its timeout although the partition has ended. The first reading of a topic returns all
// keys and takes its time.
func (c *Coordinator) cancelStalledReads(responsive *follower) {
	now := boottime.Now()
	for _, f := range c.followers() {
		if f == responsive || !f.hasApplied() || f.age(now) <= topicLostAfter {
			continue
		}
		f.cancelRead()
	}
}

// applyBatch applies records that were read from offset from on, unless they leave a
// gap, and relays them. It skips records that were already applied.
func (f *follower) applyBatch(from int64, b platform.Batch, full bool, caughtUpAt time.Duration) bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	applied, ok := f.continues(from, b.Era, b.NextOffset, full)
	if !ok {
		return false
	}
	b.Records = slices.DeleteFunc(slices.Clone(b.Records), func(r platform.Record) bool { return !full && r.Offset < applied })
	f.applyAndRelay(from, b, full, caughtUpAt)
	return true
}

// applyRelay applies records relayed by the leader, as applyBatch does. When a patch
// cannot be applied, the follower reads the topic from the store.
func (f *follower) applyRelay(m relayMessage, caughtUpAt time.Duration) bool {
	f.c.noteEra(m.Era)
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	applied, ok := f.continues(m.From, m.Era, m.Next, m.Full)
	outdated := !ok && m.Full && m.Era == f.c.storeEra.Load()
	if !ok && !outdated || m.From == unknownOffset && !m.Full {
		return false
	}
	if m.Full {
		applied = 0
	}
	records, err := f.state.unpack(m.Records, applied)
	if err != nil {
		f.c.cfg.Log.Warn("relay_unusable", "topic", f.topic, "err", err)
		f.resetPosition()
		return false
	}
	if outdated {
		// This host has read further, but not what the store lost.
		if f.takeRemembered(m, records) {
			f.resetPosition()
		}
		return false
	}
	f.applyAndRelay(m.From, platform.Batch{Records: records, Era: m.Era, NextOffset: m.Next}, m.Full, caughtUpAt)
	if m.Full {
		f.takeRemembered(m, records)
	}
	return true
}

// cancelUnneededRead cancels a read in progress that is no longer needed, since its
// response may be large.
func (f *follower) cancelUnneededRead() {
	if f.mustRead(boottime.Now()) {
		return
	}
	f.cancelRead()
}

// cancelRead cancels a read in progress.
func (f *follower) cancelRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endRead != nil {
		f.endRead()
		f.endRead = nil
	}
}

// continues reports whether records between two offsets of an era continue what was
// applied, and the offset before which records were applied; a full state continues it
// unless it is older. Records of an earlier era never do: they may be lost. f.applyMu is
// held.
func (f *follower) continues(from int64, era uint64, next int64, full bool) (applied int64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era < f.c.storeEra.Load() {
		return f.next, false
	}
	if full {
		return f.next, era > f.era || f.next <= next
	}
	return f.next, era == f.era && (f.next == from || f.next != unknownOffset && from < f.next && f.next < next)
}

// applyAndRelay applies records and relays them; f.applyMu is held. The follower counts
// as caught up only when the records are in force.
func (f *follower) applyAndRelay(from int64, b platform.Batch, full bool, caughtUpAt time.Duration) {
	if full {
		if last := f.lastKnown(); last.Era != 0 && last.Era < b.Era {
			f.remember(boottime.Now(), b)
		}
		b.Records = f.withRemembered(b.Records)
	} else {
		f.forgetRewritten(b.Records)
	}
	relevant := b.Records
	if len(b.Records) > 0 || full {
		relevant = f.applyGuarded(b.Records, full)
	}
	f.mu.Lock()
	f.era, f.next, f.applied = b.Era, b.NextOffset, true
	f.setCaughtUp(caughtUpAt)
	f.mu.Unlock()
	relays := f.c.Leading()
	defer func() { f.state.end = topicPosition{Era: b.Era, Next: b.NextOffset} }()
	if full && relays && len(f.remembered) == 0 && f.state.continuedBy(b) {
		// All hosts have the records up to the state's end: a leader that reads all keys
		// since records were deleted would fill its link with what they know.
		from, relevant = f.state.end.Next, f.state.changesTo(b, relevant)
	} else if full {
		f.state.reset(b.NextOffset)
		for _, r := range b.Records {
			f.state.put(r)
		}
		if relays {
			f.c.peers.send(methodRelay, f.fullRelay())
		}
		return
	}
	m := f.newRelay(from, b.NextOffset)
	for _, r := range relevant {
		if relays {
			m.Records = append(m.Records, f.state.pack(r))
		}
		f.state.put(r)
	}
	if relays && (len(relevant) > 0 || b.NextOffset != from) {
		f.c.peers.send(methodRelay, m)
	}
	if relays && f.topic == platform.TopicTargets {
		f.c.restateLimits(relevant)
	}
}

// applyGuarded applies records. After a panic it applies them one at a time, so that
// it skips only the one that causes the panic.
func (f *follower) applyGuarded(records []platform.Record, full bool) (relevant []platform.Record) {
	name := f.String()
	err := guard.Call(name, func() { relevant = f.apply(records, full) })
	if err == nil {
		return relevant
	}
	f.c.cfg.Log.Error("panic", "duty", name, "records", len(records), "err", err)
	relevant = nil
	for i := range records {
		one := records[i : i+1]
		if err := guard.Call(name, func() { relevant = append(relevant, f.apply(one, false)...) }); err != nil {
			f.c.cfg.Log.Error("record_left_out", "topic", f.topic, "offset", one[0].Offset, "err", err)
		}
	}
	return relevant
}

// confirmCaughtUp handles another host's report that the topic ended at next in an era.
// The report had the given age at a time on this host's clock.
func (f *follower) confirmCaughtUp(era uint64, next int64, age, at time.Duration) {
	f.c.noteEra(era)
	f.mu.Lock()
	defer f.mu.Unlock()
	if next != unknownOffset && era == f.c.storeEra.Load() {
		f.leaderReported = true
	}
	if next != unknownOffset && era == f.era && f.next >= next {
		f.setCaughtUp(at - age)
	}
}
