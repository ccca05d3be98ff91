package control

import (
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/platform"
)

// Limits of the fitness judgement.
const (
	// lostAfterFailures is the number of failed grants in a row, each on a
	// connection of its own, after which a target counts as lost.
	lostAfterFailures = 2
	// lostAfter is the shortest time without an answer before that.
	lostAfter = 350 * time.Millisecond
)

// fitness judges the targets of the own domain by their answers to grants.
type fitness struct {
	now func() time.Duration
	mu  sync.Mutex
	m   map[string]*targetFitness
}

type targetFitness struct {
	lastOK, firstSeen time.Duration
	failures          int
	reply             platform.GrantReply
}

func newFitness(cfg Config) *fitness {
	return &fitness{now: cfg.Now, m: map[string]*targetFitness{}}
}

func (f *fitness) get(target string) *targetFitness {
	t := f.m[target]
	if t == nil {
		t = &targetFitness{}
		f.m[target] = t
	}
	return t
}

func (f *fitness) failed(target string, _ bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.get(target).failures++
}

func (f *fitness) answered(target string, r platform.GrantReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.get(target)
	if t.reply.Incarnation != r.Incarnation {
		t.firstSeen = f.now()
	}
	t.lastOK, t.failures, t.reply = f.now(), 0, r
}

// target returns what is known of a target.
func (f *fitness) target(name string) view.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.m[name]
	if t == nil || t.lastOK == 0 {
		return view.Target{}
	}
	lost := t.failures >= lostAfterFailures && f.now()-t.lastOK > lostAfter
	return view.Target{
		Fit: !lost, State: t.reply.Load.State, Load: t.reply.Load,
		Incarnation: t.reply.Incarnation, Since: t.firstSeen,
	}
}
