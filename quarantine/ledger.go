package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/boragelock/boragelock/fleet"
)

// Config sets the rules of a Ledger. Zero fields take their defaults.
type Config struct {
	// Ends is the number of targets that end under a request before it is refused.
	// Default: 3.
	Ends int
	// EvidenceAge is how long an end counts. Default: 60 s.
	EvidenceAge time.Duration
	// TrialAfter is the time from the refusal of a request to its first trial. It doubles
	// with each trial that ends a target, up to MaxTrialAfter. Defaults: 30 s, 10 min.
	TrialAfter    time.Duration
	MaxTrialAfter time.Duration
	// MaxSuspects bounds the requests that are kept. Default: 256.
	MaxSuspects int
}

// Fixed rules.
const (
	// commonCauseWindow and commonCauseTargets tell ends with a cause outside the requests:
	// an end does not count against a request when as many targets that did not run it
	// ended within the window before or after.
	commonCauseWindow  = 500 * time.Millisecond
	commonCauseTargets = 2
	// maxRun bounds the time for which a request that does not end keeps copies of it from
	// running, and runPoll is when to ask again meanwhile.
	maxRun  = 15 * time.Second
	runPoll = 100 * time.Millisecond
	// ambiguousTrialAfter is the time between first trials of requests that explain the
	// same ends. An owner of keys is granted them again within it.
	ambiguousTrialAfter = 3 * time.Second
	// minTrialInterval is the least time between the last end under a request and a trial
	// that a change of the deployment causes.
	minTrialInterval = 10 * time.Second
	// refusedAge is the age of the last end from which a request is no longer refused.
	refusedAge = time.Hour
	// maxEndsKept bounds the ends that are kept of one request, maxRecentEnds those kept
	// of all targets.
	maxEndsKept   = 8
	maxRecentEnds = 512
	// minRetryAfter is the least time after which callers are told to come back.
	minRetryAfter = time.Second
)

func (c Config) withDefaults() Config {
	c.Ends = cmp.Or(c.Ends, 3)
	c.EvidenceAge = cmp.Or(c.EvidenceAge, time.Minute)
	c.TrialAfter = cmp.Or(c.TrialAfter, 30*time.Second)
	c.MaxTrialAfter = max(c.TrialAfter, cmp.Or(c.MaxTrialAfter, 10*time.Minute))
	c.MaxSuspects = cmp.Or(c.MaxSuspects, 256)
	c.Ends = min(c.Ends, maxEndsKept)
	return c
}

// End is the end of a target under a request.
type End struct {
	Target fleet.Incarnation
	At     time.Duration
}

// suspect is a request under which targets have ended.
type suspect struct {
	Request
	// ends has one entry for each target. copies counts the reports, of which one target
	// causes several when it runs copies of the request.
	ends   []End
	copies int
	// refused requests wait for their trial. trialAfter is the wait, tries the number of
	// trials that ended a target.
	refused    bool
	nextTrial  time.Duration
	trialAfter time.Duration
	tries      int
	// runner is the host that sends a copy of the request until runEnds.
	runner  string
	runEnds time.Duration
}

func (s *suspect) running(now time.Duration) bool { return now < s.runEnds }

func (s *suspect) lastEnd() time.Duration {
	last := s.ends[0].At
	for _, e := range s.ends {
		last = max(last, e.At)
	}
	return last
}

func (s *suspect) hasEnd(target fleet.Incarnation) bool {
	return slices.ContainsFunc(s.ends, func(e End) bool { return e.Target == target })
}

// EventKind says what happened to a suspected request.
type EventKind string

// Kinds of events.
const (
	Refused  EventKind = "refused"  // targets ended under it
	Trial    EventKind = "trial"    // one copy is sent
	Answered EventKind = "answered" // a target answered it, so that it is not suspected
	Aged     EventKind = "aged"     // its last end is too long ago
	Excused  EventKind = "excused"  // the ends had a cause outside the requests
)

// Event is a change that operators see.
type Event struct {
	Kind EventKind
	Request
	// Targets are the targets that ended under the request.
	Targets []string
	// Host sent the last copy; RetryAfter is the time to the next trial.
	Host       string
	RetryAfter time.Duration
}

// Ledger holds what is known of the requests under which targets ended. It is not safe
// for concurrent use.
type Ledger struct {
	cfg      Config
	suspects map[Digest]*suspect
	// recent has the ends of all targets within EvidenceAge, by time.
	recent []End
	// answered has when requests that were refused were answered, for refusedAge.
	answered map[Digest]time.Duration
	changed  bool
	events   []Event
}

// NewLedger returns an empty ledger.
func NewLedger(cfg Config) *Ledger {
	return &Ledger{cfg: cfg.withDefaults(), suspects: map[Digest]*suspect{}, answered: map[Digest]time.Duration{}}
}

// Len returns the number of suspected requests.
func (l *Ledger) Len() int { return len(l.suspects) }

// Ends returns the number of targets that ended under a request.
func (l *Ledger) Ends(id Digest) int {
	if s := l.suspects[id]; s != nil {
		return len(s.ends)
	}
	return 0
}

// RecordEnd records that a target ended before it answered a request.
func (l *Ledger) RecordEnd(now time.Duration, r Request, e End) {
	e.At = min(e.At, now)
	if now-e.At > l.cfg.EvidenceAge {
		return
	}
	s := l.suspects[r.ID]
	if s == nil {
		s = &suspect{Request: r, trialAfter: l.cfg.TrialAfter}
		l.makeRoom()
		l.suspects[r.ID] = s
	}
	s.copies++
	l.changed = true
	l.noteRecent(e)
	if s.hasEnd(e.Target) {
		return
	}
	if len(s.ends) == maxEndsKept {
		s.ends = slices.Delete(s.ends, 0, 1)
	}
	s.ends = append(s.ends, e)
	if s.running(now) {
		s.runEnds = now
		if s.refused {
			s.tries++
			s.trialAfter = min(2*s.trialAfter, l.cfg.MaxTrialAfter)
			s.nextTrial = now + s.trialAfter
		}
	}
	l.judge(now)
}

func (l *Ledger) noteRecent(e End) {
	for _, x := range l.recent {
		if x.Target == e.Target {
			return
		}
	}
	if len(l.recent) == maxRecentEnds {
		l.recent = slices.Delete(l.recent, 0, 1)
	}
	i, _ := slices.BinarySearchFunc(l.recent, e.At, compareTime)
	l.recent = slices.Insert(l.recent, i, e)
}

func compareTime(e End, at time.Duration) int { return cmp.Compare(e.At, at) }

// makeRoom drops the suspect with the least evidence when there are MaxSuspects.
func (l *Ledger) makeRoom() {
	if len(l.suspects) < l.cfg.MaxSuspects {
		return
	}
	list := slices.Collect(maps.Values(l.suspects))
	weakest := slices.MinFunc(list, func(a, b *suspect) int {
		return cmp.Or(compareBool(a.refused, b.refused), cmp.Compare(l.countedEnds(a), l.countedEnds(b)),
			cmp.Compare(len(a.ends), len(b.ends)), cmp.Compare(a.lastEnd(), b.lastEnd()))
	})
	delete(l.suspects, weakest.ID)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// judge refuses the requests under which enough targets have ended, and no longer those
// whose ends turn out to have another cause.
func (l *Ledger) judge(now time.Duration) {
	for _, s := range l.suspects {
		enough := l.countedEnds(s) >= l.cfg.Ends
		switch {
		case enough && !s.refused:
			s.refused, s.nextTrial = true, now+s.trialAfter
			l.addEvent(Refused, s, now)
		case !enough && s.refused && s.tries == 0:
			s.refused = false
			l.addEvent(Excused, s, now)
		}
	}
	// Those of an ambiguous group that were present least are tried first.
	group := slices.DeleteFunc(slices.Collect(maps.Values(l.suspects)), func(s *suspect) bool {
		return !s.refused || s.tries > 0 || !l.ambiguous(s)
	})
	slices.SortFunc(group, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(a.copies, b.copies), slices.Compare(a.ID[:], b.ID[:]))
	})
	for i, s := range group {
		s.nextTrial = min(s.nextTrial, now+time.Duration(i+1)*ambiguousTrialAfter)
	}
}

// countedEnds returns the number of ends under a request that have no common cause with
// ends of targets which did not run it.
func (l *Ledger) countedEnds(s *suspect) int {
	n := 0
	for _, e := range s.ends {
		first, _ := slices.BinarySearchFunc(l.recent, e.At-commonCauseWindow, compareTime)
		next, _ := slices.BinarySearchFunc(l.recent, e.At+commonCauseWindow+1, compareTime)
		own := 0
		for _, x := range s.ends {
			if x.At >= e.At-commonCauseWindow && x.At <= e.At+commonCauseWindow {
				own++
			}
		}
		if next-first-own < commonCauseTargets {
			n++
		}
	}
	return n
}

// ambiguous reports whether other refused requests explain the ends under a request so
// far that too few remain to refuse it.
func (l *Ledger) ambiguous(s *suspect) bool {
	unexplained := 0
	for _, e := range s.ends {
		explained := false
		for _, o := range l.suspects {
			explained = explained || o != s && o.refused && o.hasEnd(e.Target)
		}
		if !explained {
			unexplained++
		}
	}
	return unexplained < l.cfg.Ends && unexplained < len(s.ends)
}

// RecordAnswer records that a target answered a request, which is suspected no longer.
func (l *Ledger) RecordAnswer(now time.Duration, id Digest) {
	s := l.suspects[id]
	if s == nil {
		return
	}
	delete(l.suspects, id)
	l.changed = true
	if !s.refused {
		return
	}
	l.noteAnswered(now, id)
	l.addEvent(Answered, s, now)
	// What remains of an ambiguous group is at fault, and needs no trial to show it.
	for _, o := range l.suspects {
		if o.refused && o.tries == 0 && !o.running(now) && !l.ambiguous(o) {
			o.nextTrial = max(o.nextTrial, now+o.trialAfter)
		}
	}
}

// noteAnswered keeps the last MaxSuspects answers.
func (l *Ledger) noteAnswered(now time.Duration, id Digest) {
	if len(l.answered) >= l.cfg.MaxSuspects {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(l.answered)), func(a, b Digest) int { return cmp.Compare(l.answered[a], l.answered[b]) })
		delete(l.answered, oldest)
	}
	l.answered[id] = now
}

// RetrySoon makes trials due after a change that may have mended the targets.
func (l *Ledger) RetrySoon(now time.Duration) {
	for _, s := range l.suspects {
		if s.refused && !s.running(now) {
			s.nextTrial = min(s.nextTrial, max(now, s.lastEnd()+minTrialInterval))
			l.changed = true
		}
	}
}

// Expire forgets requests whose last end is too long ago.
func (l *Ledger) Expire(now time.Duration) {
	l.recent = slices.DeleteFunc(l.recent, func(e End) bool { return now-e.At > l.cfg.EvidenceAge })
	maps.DeleteFunc(l.answered, func(_ Digest, at time.Duration) bool { return now-at > refusedAge })
	for id, s := range l.suspects {
		limit := l.cfg.EvidenceAge
		if s.refused {
			limit = refusedAge
		}
		if now-s.lastEnd() <= limit {
			if !s.refused {
				s.ends = slices.DeleteFunc(s.ends, func(e End) bool { return now-e.At > limit })
			}
			continue
		}
		delete(l.suspects, id)
		l.changed = true
		if s.refused {
			l.addEvent(Aged, s, now)
		}
	}
}

// TakeRun reports whether a host may send a copy of a request, which ends within lasts. A
// suspected request runs once at a time. From the second end on it does not run beside
// another such one that shares an end with it, so that the next end tells which of them is
// at fault. If it may not run, wait is the time after which to ask again.
func (l *Ledger) TakeRun(now time.Duration, id Digest, host string, lasts time.Duration) (granted bool, wait time.Duration) {
	s := l.suspects[id]
	if s == nil {
		return true, 0
	}
	if s.refused && now < s.nextTrial {
		return false, s.nextTrial - now
	}
	for _, o := range l.suspects {
		if o.running(now) && (o == s || len(o.ends) > 1 && len(s.ends) > 1 && o.sharesEnd(s) || o.refused && s.refused) {
			return false, runPoll
		}
	}
	s.runner, s.runEnds = host, now+min(lasts, maxRun)
	if s.refused {
		l.addEvent(Trial, s, now)
	}
	return true, 0
}

func (s *suspect) sharesEnd(o *suspect) bool {
	return slices.ContainsFunc(s.ends, func(e End) bool { return o.hasEnd(e.Target) })
}

// EndRun records that the copy that a host sent has ended. Without an answer or an end of
// its target, its outcome tells nothing.
func (l *Ledger) EndRun(now time.Duration, id Digest, host string) {
	s := l.suspects[id]
	if s == nil || s.runner != host || !s.running(now) {
		return
	}
	s.runEnds = now
	if s.refused {
		s.nextTrial = max(s.nextTrial, now+minRetryAfter)
		l.changed = true
	}
}

func (l *Ledger) addEvent(kind EventKind, s *suspect, now time.Duration) {
	e := Event{Kind: kind, Request: s.Request, Host: s.runner, RetryAfter: s.nextTrial - now}
	for _, x := range s.ends {
		e.Targets = append(e.Targets, x.Target.ID)
	}
	l.events = append(l.events, e)
}

// TakeEvents returns the events since the last call.
func (l *Ledger) TakeEvents() []Event {
	e := l.events
	l.events = nil
	return e
}

// TakeChanged reports whether the ledger changed since the last call.
func (l *Ledger) TakeChanged() bool {
	c := l.changed
	l.changed = false
	return c
}
