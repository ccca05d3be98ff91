package coordinator

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"time"

	"github.com/boragelock/boragelock/platform"
)

// A host whose view of a topic is old may be cut off from the store, or it may only be late: short
// of processor time, or behind a busy link. Only the first is an outage, in which announcements
// of live targets lapse.

// answerOverdue is the time beyond its wait after which a read counts as unanswered. With it a
// read that begins when the relay is stale is overdue before the topic counts as lost.
const answerOverdue = 400 * time.Millisecond

// runClock counts the time during which this process ran: a tick that came late stands for
// maxRunTick only.
type runClock struct {
	ran      atomic.Int64
	tickedAt time.Duration // only tick uses it
}

// maxRunTick is the most that one tick of a runClock counts.
const maxRunTick = 2 * expireEvery

func (c *runClock) tick(now time.Duration) {
	if c.tickedAt > 0 {
		c.ran.Add(int64(min(now-c.tickedAt, maxRunTick)))
	}
	c.tickedAt = now
}

// now returns the time during which the process ran.
func (c *runClock) now() time.Duration { return time.Duration(c.ran.Load()) }

// storeContact tells whether the store answers the reads of a topic. Times are on the runClock.
type storeContact struct {
	reading bool
	// due is when the read in progress should be answered.
	due time.Duration
	// failed says that the last read was not answered, outage that one was not since the host
	// was last caught up.
	failed, outage bool
}

// begin notes that a read begins that the store may hold for a time.
func (s *storeContact) begin(now, wait time.Duration) {
	s.reading, s.due = true, now+wait+answerOverdue
}

// isAnswer reports whether the store answered a call with a result. A refused condition or an
// unknown offset is one.
func isAnswer(err error) bool {
	var e *platform.Error
	return err == nil || errors.As(err, &e) && (e.Outcome == platform.Conflict || e.Outcome == platform.Expired)
}

// end notes the result of the read in progress. A read that ran into its deadline was not answered
// only if the process could have handled an answer.
func (s *storeContact) end(now time.Duration, err error) {
	overdue := now >= s.due
	s.reading = false
	switch {
	case isAnswer(err):
		s.failed = false
	case errors.Is(err, context.Canceled):
	case errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded):
		s.failed = s.failed || overdue
	default:
		s.failed = true
	}
	s.outage = s.outage || s.failed
}

// unanswered reports whether the store leaves the host without answers.
func (s *storeContact) unanswered(now time.Duration) bool {
	return s.failed || s.reading && now >= s.due
}

// caughtUp notes that the host has caught up, and reports whether there was an outage before.
func (s *storeContact) caughtUp(now time.Duration) (outage bool) {
	outage = s.outage || s.unanswered(now)
	s.failed, s.outage = false, false
	return outage
}

// unanswered reports whether the store leaves the follower without answers.
func (f *follower) unanswered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contact.unanswered(f.c.ran.now())
}

// catchesUp reports whether the follower is about to know the end of the topic: it runs, and the
// store answers it.
func (f *follower) catchesUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.following && !f.contact.unanswered(f.c.ran.now())
}

func (f *follower) setFollowing(following bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.following = following
}

func (f *follower) beginRead(wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contact.begin(f.c.ran.now(), wait)
}

func (f *follower) endedRead(call string, era uint64, err error) {
	f.c.noteStoreCall(call, era, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contact.end(f.c.ran.now(), err)
}
