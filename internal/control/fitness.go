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

// fitnessTracker assesses the targets and granters of this host's domain. It
// makes a membership.Tracker safe for concurrent use and keeps the last reply of
// each target.
type fitnessTracker struct {
	now func() time.Duration
	log hclog.Logger

	mu          sync.Mutex
	tracker     *membership.Tracker
	lastReplies map[string]provider.GrantReply

	// changeCount is the number of state changes of targets and granters.
	changeCount atomic.Uint64
}

func newFitnessTracker(cfg Config) *fitnessTracker {
	return &fitnessTracker{
		now: cfg.Now, log: cfg.Logger.Named("membership"),
		tracker: membership.New(membership.DefaultConfig()), lastReplies: map[string]provider.GrantReply{},
	}
}

// step passes an observation to the tracker and logs the changes.
func (f *fitnessTracker) step(o membership.Observation) {
	f.mu.Lock()
	changes := f.tracker.Step(f.now(), o)
	f.mu.Unlock()
	for _, ch := range changes {
		switch e := ch.(type) {
		case membership.StateChanged:
			f.changeCount.Add(1)
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

// watch sets the nodes to assess: the targets, and the other granters in a state.
func (f *fitnessTracker) watch(st *journal.State, self view.Self, targets []string) {
	w := membership.Watch{Targets: targets}
	for _, m := range st.Granters[self.Domain].Members {
		if m.Host != self.Name {
			w.Hosts = append(w.Hosts, m.Host)
		}
	}
	f.step(w)
}

// handleGrantReply processes a target's reply to a grant.
func (f *fitnessTracker) handleGrantReply(target string, newConnection bool, r provider.GrantReply) {
	f.mu.Lock()
	f.lastReplies[target] = r
	f.mu.Unlock()
	f.step(membership.Responded{Node: targetNode(target), NewConnection: newConnection, Incarnation: r.Incarnation, TargetState: r.Load.State})
}

// targetView returns what is known of a target.
func (f *fitnessTracker) targetView(name string) view.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	status := f.tracker.Get(targetNode(name))
	if status.LastResponse == 0 {
		return view.Target{}
	}
	r := f.lastReplies[name]
	out := view.Target{
		Known: true,
		Fit:   status.State == membership.Healthy || status.State == membership.Suspect,
		State: r.Load.State, Load: r.Load, Incarnation: status.Incarnation, Since: status.IncarnationSince,
		Ready: status.MayReceiveShards(f.now()) && r.Load.State != provider.TargetCold,
	}
	if status.State == membership.Leaving {
		out.State = provider.TargetLeaving
	}
	return out
}

// handleLoadReport processes the load report of a target that gets no grants.
func (f *fitnessTracker) handleLoadReport(target string, newConnection bool, l provider.LoadReport) {
	f.handleGrantReply(target, newConnection, provider.GrantReply{Incarnation: l.Incarnation, Load: l})
}

// isLost reports whether other targets take over a target's shards.
func (f *fitnessTracker) isLost(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.Get(targetNode(name)).State == membership.Lost
}

// failingTargets lists the lost and suspect ones of the named targets. The host
// reports them to the other granters.
func (f *fitnessTracker) failingTargets(names []string) []string {
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

// mayDeclareGone reports whether an entry host may be declared gone.
func (f *fitnessTracker) mayDeclareGone(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tracker.MayDeclareGone(f.now(), host)
}
