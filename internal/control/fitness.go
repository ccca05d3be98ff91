package control

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/membership"
	"github.com/boragelock/boragelock/provider"
)

// fitness judges the targets and granters of the own domain. It makes the
// tracker safe for concurrent use and keeps the last answer of each target.
type fitness struct {
	now func() time.Duration
	log hclog.Logger

	mu      sync.Mutex
	tracker *membership.Tracker
	replies map[string]provider.GrantReply

	// changes counts the judgements that changed.
	changes atomic.Uint64
}

func newFitness(cfg Config) *fitness {
	return &fitness{
		now: cfg.Now, log: cfg.Logger.Named("membership"),
		tracker: membership.New(membership.DefaultConfig()), replies: map[string]provider.GrantReply{},
	}
}

// step gives an observation to the tracker and logs what changed.
func (f *fitness) step(o membership.Observation) {
	f.mu.Lock()
	changes := f.tracker.Step(f.now(), o)
	f.mu.Unlock()
	for _, ch := range changes {
		switch e := ch.(type) {
		case membership.StateChanged:
			f.changes.Add(1)
			f.log.Info("state changed", "kind", e.Kind, "name", e.Name, "from", e.From, "to", e.To, "reason", e.Reason)
		case membership.LocalFault:
			f.log.Warn("fault on own side", "assumed", e.Assumed)
		case membership.DeadConnection:
			f.log.Info("dead connection replaced", "kind", e.Kind, "name", e.Name)
		}
	}
}

func targetNode(name string) membership.Node {
	return membership.Node{Kind: membership.KindTarget, Name: name}
}

func hostNode(name string) membership.Node {
	return membership.Node{Kind: membership.KindHost, Name: name}
}

// watch sets the nodes to judge from the state in force.
func (f *fitness) watch(st *journal.State, self view.Self, targets []string) {
	w := membership.Watch{Targets: targets}
	for _, m := range st.Granters[self.Domain].Members {
		if m.Host != self.Name {
			w.Hosts = append(w.Hosts, m.Host)
		}
	}
	f.step(w)
}

// answered takes a target's answer to a grant.
func (f *fitness) answered(target string, fresh bool, r provider.GrantReply) {
	f.mu.Lock()
	f.replies[target] = r
	f.mu.Unlock()
	f.step(membership.Responded{Node: targetNode(target), NewConnection: fresh, Incarnation: r.Incarnation, TargetState: r.Load.State})
}

// target returns what is known of a target.
func (f *fitness) target(name string) view.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	fit := f.tracker.Get(targetNode(name))
	if fit.LastResponse == 0 {
		return view.Target{}
	}
	r := f.replies[name]
	out := view.Target{
		Known: true,
		Fit:   fit.State == membership.Healthy || fit.State == membership.Suspect,
		State: r.Load.State, Load: r.Load, Incarnation: fit.Incarnation, Since: fit.IncarnationSince,
		Ready: fit.MayReceiveShards(f.now()) && r.Load.State != provider.TargetCold,
	}
	if fit.State == membership.Leaving {
		out.State = provider.TargetLeaving
	}
	return out
}

// reported takes the load report of a target that gets no grants.
func (f *fitness) reported(target string, fresh bool, l provider.LoadReport) {
	f.answered(target, fresh, provider.GrantReply{Incarnation: l.Incarnation, Load: l})
}

// lost reports whether a target's shards are to be taken over.
func (f *fitness) lost(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Get(targetNode(name)).State == membership.Lost
}

// failing lists the targets whose last attempt failed, for the other granters.
func (f *fitness) failing(names []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, name := range names {
		if s := f.tracker.Get(targetNode(name)).State; s == membership.Lost || s == membership.Suspect {
			out = append(out, name)
		}
	}
	return out
}

// gone reports whether an entry host may be declared gone.
func (f *fitness) gone(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.MayDeclareGone(f.now(), host)
}
