package quarantine

import (
	"slices"
	"time"

	"github.com/boragelock/boragelock/fleet"
)

// Statement is a suspected request as hosts tell each other. Its times count from when
// the statement was made.
type Statement struct {
	Request
	Ends   []StatedEnd `json:"ends"`
	Copies int         `json:"copies"`
	// Refused requests are tried again after TrialInMS. TrialAfterMS is the wait after
	// the next failed trial, Tries the number of those.
	Refused      bool  `json:"refused,omitempty"`
	TrialInMS    int64 `json:"trial_in_ms,omitempty"`
	TrialAfterMS int64 `json:"trial_after_ms,omitempty"`
	Tries        int   `json:"tries,omitempty"`
	// Runner is the host that sends a copy, for RunLeftMS at most.
	Runner    string `json:"runner,omitempty"`
	RunLeftMS int64  `json:"run_left_ms,omitempty"`
}

// StatedEnd is an End as hosts tell each other.
type StatedEnd struct {
	Target fleet.Incarnation `json:"run"`
	AgeMS  int64             `json:"age_ms"`
}

// State returns all suspected requests, in a fixed order.
func (l *Ledger) State(now time.Duration) []Statement {
	out := make([]Statement, 0, len(l.suspects))
	for _, s := range l.suspects {
		x := Statement{Request: s.Request, Copies: s.copies, Refused: s.refused, Tries: s.tries}
		for _, e := range s.ends {
			x.Ends = append(x.Ends, StatedEnd{Target: e.Target, AgeMS: (now - e.At).Milliseconds()})
		}
		if s.refused {
			x.TrialInMS, x.TrialAfterMS = max(0, s.nextTrial-now).Milliseconds(), s.trialAfter.Milliseconds()
		}
		if s.running(now) {
			x.Runner, x.RunLeftMS = s.runner, (s.runEnds - now).Milliseconds()
		}
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b Statement) int { return slices.Compare(a.ID[:], b.ID[:]) })
	return out
}

// Replace replaces the suspected requests by those that another host stated. Statements
// beyond MaxSuspects and those without an end are left out.
func (l *Ledger) Replace(now time.Duration, list []Statement) {
	clear(l.suspects)
	l.recent, l.changed = l.recent[:0], true
	for _, x := range list {
		if len(x.Ends) == 0 || len(l.suspects) == l.cfg.MaxSuspects {
			continue
		}
		s := l.restore(now, x)
		for _, e := range s.ends {
			l.noteRecent(e)
		}
		l.suspects[x.ID] = s
	}
}

// restore returns a request as another host stated it.
func (l *Ledger) restore(now time.Duration, x Statement) *suspect {
	s := &suspect{
		Request: x.Request, copies: x.Copies, refused: x.Refused, tries: max(0, x.Tries),
		nextTrial: now + milliseconds(x.TrialInMS), trialAfter: min(max(milliseconds(x.TrialAfterMS), l.cfg.TrialAfter), l.cfg.MaxTrialAfter),
		runner: x.Runner, runEnds: now + min(milliseconds(x.RunLeftMS), maxRun),
	}
	for _, e := range x.Ends[max(0, len(x.Ends)-maxEndsKept):] {
		s.ends = append(s.ends, End{Target: e.Target, At: now - milliseconds(e.AgeMS)})
	}
	return s
}

// Adopt adds a request that another host refuses, as it stated it at the given time,
// unless a target has answered the request since. Its ends may be too old for RecordEnd.
func (l *Ledger) Adopt(at time.Duration, x Statement) {
	if !x.Refused || len(x.Ends) == 0 {
		return
	}
	stated := l.restore(at, x)
	if answeredAt, ok := l.answered[x.ID]; ok && answeredAt >= stated.lastEnd() {
		return
	}
	known := l.suspects[x.ID]
	switch {
	case known == nil:
		l.makeRoom()
	case known.refused && known.tries >= stated.tries:
		return
	default:
		for _, e := range known.ends {
			if len(stated.ends) < maxEndsKept && !stated.hasEnd(e.Target) {
				stated.ends = append(stated.ends, e)
			}
		}
	}
	l.suspects[x.ID] = stated
	l.changed = true
	if known == nil || !known.refused {
		l.addEvent(Refused, stated, at)
	}
}

func milliseconds(n int64) time.Duration {
	const longest = int64(24 * time.Hour / time.Millisecond)
	return time.Duration(min(max(0, n), longest)) * time.Millisecond
}

// Verdict says what a host does with a suspected request.
type Verdict struct {
	Request
	// Ends is the number of targets that ended under it.
	Ends int
	// Refuse is true for requests that are not sent to a target, until NextTrial. All
	// others need a run from the ledger.
	Refuse    bool
	NextTrial time.Duration
}

// RetryAfter returns the time after which a caller may try the request again.
func (v Verdict) RetryAfter(now time.Duration) time.Duration {
	return max(v.NextTrial-now, minRetryAfter)
}

// List is an immutable view of the suspected requests. A nil List is empty.
type List struct{ byHead map[Digest][]Verdict }

// List returns the current view.
func (l *Ledger) List() *List {
	if len(l.suspects) == 0 {
		return nil
	}
	out := &List{byHead: make(map[Digest][]Verdict, len(l.suspects))}
	for _, s := range l.suspects {
		out.byHead[s.Head] = append(out.byHead[s.Head], Verdict{Request: s.Request, Ends: len(s.ends), Refuse: s.refused, NextTrial: s.nextTrial})
	}
	return out
}

// HasHead reports whether a request with this head is suspected. Only then its body
// matters.
func (l *List) HasHead(head Digest) bool { return l != nil && len(l.byHead[head]) > 0 }

// Lookup returns the verdict on a request, or false if it is not suspected.
func (l *List) Lookup(r Request) (Verdict, bool) {
	if l == nil {
		return Verdict{}, false
	}
	for _, v := range l.byHead[r.Head] {
		if v.ID == r.ID {
			return v, true
		}
	}
	return Verdict{}, false
}

// Refused returns the number of refused requests.
func (l *List) Refused() (n int) {
	if l == nil {
		return 0
	}
	for _, list := range l.byHead {
		for _, v := range list {
			if v.Refuse {
				n++
			}
		}
	}
	return n
}
