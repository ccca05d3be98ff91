package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/boragelock/boragelock/provider"
)

// Kind tells targets from entry hosts.
type Kind string

// Kinds of nodes.
const (
	KindTarget Kind = "target"
	KindHost   Kind = "host"
)

// Node names a target or an entry host.
type Node struct {
	Kind Kind
	Name string
}

// State is the judgement of a node.
type State string

// States of nodes.
const (
	// Unknown: not heard from yet.
	Unknown State = "unknown"
	// Fit: answers.
	Fit State = "fit"
	// Suspect: the last attempts failed, which does not suffice for Lost.
	Suspect State = "suspect"
	// Lost: its shards or duties are to be taken over.
	Lost State = "lost"
	// Leaving: answers, but must get no new work.
	Leaving State = "leaving"
)

// Reason says what a judgement rests on.
type Reason string

// Reasons of judgements.
const (
	ReasonNotHeard    Reason = "not_heard"
	ReasonAnswered    Reason = "answered"
	ReasonFailed      Reason = "failed_attempts"
	ReasonOwnSide     Reason = "fault_assumed_on_own_side"
	ReasonSelfLeaving Reason = "says_leaving"
	ReasonListLeaving Reason = "listed_leaving"
)

// Observation is an input of Step.
type Observation interface{ observation() }

type (
	// Tick lets time pass; it is due every 50 ms.
	Tick struct{}

	// Watch sets the targets and peers that this host observes. Others are
	// forgotten.
	Watch struct{ Targets, Hosts []string }

	// Answered says that a node answered.
	Answered struct {
		Node
		// Fresh says that the connection was opened for the attempt.
		Fresh       bool
		Incarnation string
		// State is what a target says of itself; empty for hosts.
		State provider.TargetState
	}

	// Failed says that an attempt had no answer within its time, or was refused.
	Failed struct {
		Node
		Fresh bool
	}

	// SaysLeaving says that a node announced to the request path that it leaves.
	SaysLeaving struct{ Node }

	// Reported is another granter's own observation of a node.
	Reported struct {
		Node
		By string
		OK bool
		// At is when it was made, on this host's clock; not later than that.
		At time.Duration
	}

	// GoodEndpoint says that an endpoint outside the watched nodes answered a
	// request that was sent at Start: the log, the host list, or a host of
	// another domain.
	GoodEndpoint struct{ Start time.Duration }

	// Listed is the platform's list of hosts; target hosts and entry hosts
	// are in it by their names.
	Listed struct{ Hosts []provider.Host }
)

func (Tick) observation()         {}
func (Watch) observation()        {}
func (Answered) observation()     {}
func (Failed) observation()       {}
func (SaysLeaving) observation()  {}
func (Reported) observation()     {}
func (GoodEndpoint) observation() {}
func (Listed) observation()       {}

// Change is an output of Step.
type Change interface{ change() }

type (
	// Judged says that the state of a node changed.
	Judged struct {
		Node
		From, To State
		Reason   Reason
	}

	// Redial asks for an attempt on a new connection at once, because the open
	// one failed.
	Redial struct{ Node }

	// DeadConnection says that a node answers on a new connection after the
	// open one failed: the open one should be closed.
	DeadConnection struct{ Node }

	// OwnSide says that a fault on this host's side is assumed, or no longer.
	OwnSide struct{ Assumed bool }
)

func (Judged) change()         {}
func (Redial) change()         {}
func (DeadConnection) change() {}
func (OwnSide) change()        {}

// Fitness is the judgement of one node.
type Fitness struct {
	State  State
	Reason Reason
	// Incarnation is the last one that answered, since IncarnationAt.
	Incarnation   string
	IncarnationAt time.Duration
	// LastOK is the last answer; zero when there was none.
	LastOK time.Duration
	// ReadyAt is from when on the node may receive shards.
	ReadyAt time.Duration
	// Flaps is the number of returns and restarts that are remembered.
	Flaps int
}

// MayReceive reports whether shards may be moved to the node now.
func (f Fitness) MayReceive(now time.Duration) bool { return f.State == Fit && now >= f.ReadyAt }

type node struct {
	fit Fitness
	// fails counts failures on new connections since the last answer; the
	// first one was at failedAt, the last at lastFail.
	fails              int
	failedAt, lastFail time.Duration
	failing            bool
	// openFailed says that the open connection failed since the last answer.
	openFailed               bool
	selfLeaving, listLeaving bool
	flapAt                   time.Duration
	reports                  map[string]Reported
}

// Tracker judges the watched nodes.
type Tracker struct {
	cfg   Config
	nodes map[Node]*node
	// order holds the keys of nodes, sorted, so that changes come in one order.
	order []Node
	// goodAt is the latest GoodEndpoint.Start.
	goodAt  time.Duration
	hasGood bool
	list    map[string]provider.HostState
	listAt  time.Duration
	ownSide bool
}

// New returns a Tracker that watches nothing yet.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg, nodes: map[Node]*node{}} }

// Step takes an observation and returns what changed.
func (t *Tracker) Step(now time.Duration, o Observation) []Change {
	var out []Change
	switch e := o.(type) {
	case Watch:
		t.watch(e)
	case Answered:
		out = t.answered(now, e, out)
	case Failed:
		out = t.failed(now, e, out)
	case SaysLeaving:
		if n := t.nodes[e.Node]; n != nil {
			n.selfLeaving = true
		}
	case Reported:
		if n := t.nodes[e.Node]; n != nil && e.At >= n.reports[e.By].At {
			n.reports[e.By] = e
		}
	case GoodEndpoint:
		t.goodAt, t.hasGood = max(t.goodAt, e.Start), true
	case Listed:
		t.listed(now, e)
	}
	return t.judgeAll(now, out)
}

func (t *Tracker) watch(w Watch) {
	keep := map[Node]bool{}
	for kind, names := range map[Kind][]string{KindTarget: w.Targets, KindHost: w.Hosts} {
		for _, name := range names {
			k := Node{kind, name}
			keep[k] = true
			if t.nodes[k] == nil {
				t.nodes[k] = &node{fit: Fitness{State: Unknown}, reports: map[string]Reported{}}
				t.nodes[k].listLeaving = t.list[name] == provider.HostLeaving
			}
		}
	}
	maps.DeleteFunc(t.nodes, func(k Node, _ *node) bool { return !keep[k] })
	t.order = slices.SortedFunc(maps.Keys(t.nodes), func(a, b Node) int {
		return cmp.Or(strings.Compare(string(a.Kind), string(b.Kind)), strings.Compare(a.Name, b.Name))
	})
}

func (t *Tracker) answered(now time.Duration, e Answered, out []Change) []Change {
	n := t.nodes[e.Node]
	if n == nil {
		return out
	}
	if n.openFailed && e.Fresh {
		out = append(out, DeadConnection{e.Node})
	}
	restarted := n.fit.Incarnation != "" && n.fit.Incarnation != e.Incarnation
	if restarted || (n.fit.State == Lost && n.fit.LastOK > 0) {
		t.flap(now, n)
	}
	if n.fit.Incarnation != e.Incarnation {
		n.fit.Incarnation, n.fit.IncarnationAt = e.Incarnation, now
		n.selfLeaving = false
	}
	// An older answer may still be under way when a node starts to leave, so
	// within one incarnation "leaving" is never taken back.
	n.selfLeaving = n.selfLeaving || e.State == provider.TargetLeaving
	n.fit.LastOK = now
	n.fails, n.failing, n.openFailed = 0, false, false
	return out
}

// flap notes a return or restart.
func (t *Tracker) flap(now time.Duration, n *node) {
	if n.fit.Flaps > 0 && now-n.flapAt >= t.cfg.FlapForget {
		n.fit.Flaps = 0
	}
	delay := t.cfg.FlapDelay
	for range n.fit.Flaps {
		delay = min(2*delay, t.cfg.FlapDelayMax)
	}
	n.fit.Flaps++
	n.flapAt, n.fit.ReadyAt = now, now+delay
}

func (t *Tracker) failed(now time.Duration, e Failed, out []Change) []Change {
	n := t.nodes[e.Node]
	if n == nil {
		return out
	}
	if !n.failing {
		n.failing, n.failedAt = true, now
	}
	n.lastFail = now
	if !e.Fresh {
		n.openFailed = true
		return append(out, Redial{e.Node})
	}
	n.fails++
	return out
}

func (t *Tracker) listed(now time.Duration, l Listed) {
	t.list, t.listAt = make(map[string]provider.HostState, len(l.Hosts)), now
	for _, h := range l.Hosts {
		t.list[h.Name] = h.State
	}
	for k, n := range t.nodes {
		n.listLeaving = t.list[k.Name] == provider.HostLeaving
	}
}

func (t *Tracker) judgeAll(now time.Duration, out []Change) []Change {
	if own := t.ownSideFault(); own != t.ownSide {
		t.ownSide = own
		out = append(out, OwnSide{Assumed: own})
	}
	for _, k := range t.order {
		n := t.nodes[k]
		to, why := t.judge(now, k, n)
		if to != n.fit.State {
			out = append(out, Judged{Node: k, From: n.fit.State, To: to, Reason: why})
		}
		n.fit.State, n.fit.Reason = to, why
	}
	return out
}

func (t *Tracker) judge(now time.Duration, k Node, n *node) (State, Reason) {
	switch {
	case t.quiet(now, n) && (n.fit.State == Lost || t.trusted(now, n)):
		return Lost, ReasonFailed
	case t.quiet(now, n):
		return Suspect, ReasonOwnSide
	case n.selfLeaving:
		return Leaving, ReasonSelfLeaving
	case n.listLeaving:
		return Leaving, ReasonListLeaving
	case n.failing && n.fit.State == Lost:
		return Lost, ReasonFailed
	case n.failing:
		return Suspect, ReasonFailed
	case n.fit.Incarnation == "" && n.fit.LastOK == 0:
		return Unknown, ReasonNotHeard
	}
	return Fit, ReasonAnswered
}

// quiet reports whether a node's own failures suffice to call it lost.
func (t *Tracker) quiet(now time.Duration, n *node) bool {
	if n.fails < t.cfg.LostFailures {
		return false
	}
	since := n.failedAt
	if n.fit.LastOK > 0 {
		since = n.fit.LastOK
	}
	return now-since >= t.cfg.LostAfter && now-n.failedAt >= t.cfg.Settle
}

// trusted reports whether the failures of a node may be blamed on it.
func (t *Tracker) trusted(now time.Duration, n *node) bool {
	confirmed := false
	for _, r := range n.reports {
		if now-r.At > t.cfg.ReportAge || r.At < n.failedAt {
			continue
		}
		if r.OK {
			// Another granter reaches the node: the path from here is at fault.
			return false
		}
		confirmed = true
	}
	return confirmed || !t.ownSide
}

// ownSideFault reports whether the recent failures look like a fault of this
// host's own connection: they are many, and no node among them has been called
// lost yet. An endpoint that answers a request sent after the last of them
// began to fail shows that the connection works.
func (t *Tracker) ownSideFault() bool {
	var targets, hosts tally
	for k, n := range t.nodes {
		if n.fit.State == Lost {
			continue
		}
		if k.Kind == KindTarget {
			targets.add(n)
		} else {
			hosts.add(n)
		}
	}
	since, assumed := time.Duration(0), false
	if float64(targets.failing) > t.cfg.PartitionShare*float64(targets.all) {
		since, assumed = max(since, targets.last), true
	}
	if hosts.all > 0 && hosts.failing == hosts.all {
		since, assumed = max(since, hosts.last), true
	}
	return assumed && !(t.hasGood && t.goodAt >= since)
}

// tally counts failing nodes of one kind.
type tally struct {
	all, failing int
	// last is the latest time at which one of them began to fail.
	last time.Duration
}

func (c *tally) add(n *node) {
	c.all++
	if n.failing {
		c.failing++
		c.last = max(c.last, n.failedAt)
	}
}

// Get returns the judgement of a node; Unknown when it is not watched.
func (t *Tracker) Get(k Node) Fitness {
	if n := t.nodes[k]; n != nil {
		return n.fit
	}
	return Fitness{State: Unknown}
}

// OwnSideFault reports whether a fault on this host's side is assumed now.
func (t *Tracker) OwnSideFault() bool { return t.ownSide }

// Gone reports whether an entry host may be declared gone: the platform's list,
// read lately, does not have it, it is lost to this host, and no peer that
// reported lately reaches it.
func (t *Tracker) Gone(now time.Duration, host string) bool {
	n := t.nodes[Node{KindHost, host}]
	if n == nil || n.fit.State != Lost || t.list == nil || now-t.listAt > t.cfg.ListAge {
		return false
	}
	if _, listed := t.list[host]; listed {
		return false
	}
	for _, r := range n.reports {
		if r.OK && now-r.At <= t.cfg.ReportAge {
			return false
		}
	}
	return true
}
