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
	// Healthy: answers.
	Healthy State = "fit"
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

	// Responded says that a node answered.
	Responded struct {
		Node
		// NewConnection says that the connection was opened for the attempt.
		NewConnection bool
		Incarnation   string
		// TargetState is what a target says of itself; empty for hosts.
		TargetState provider.TargetState
	}

	// AttemptFailed says that an attempt had no answer within its time, or was refused.
	AttemptFailed struct {
		Node
		NewConnection bool
	}

	// AnnouncedLeaving says that a node announced to the request path that it leaves.
	AnnouncedLeaving struct{ Node }

	// PeerReported is another granter's own observation of a node.
	PeerReported struct {
		Node
		Peer      string
		Reachable bool
		// At is when it was made, on this host's clock; not later than that.
		At time.Duration
	}

	// EndpointResponded says that an endpoint outside the watched nodes answered a
	// request that was sent at SentAt: the log, the host list, or a host of
	// another domain.
	EndpointResponded struct{ SentAt time.Duration }

	// HostsListed is the platform's list of hosts; target hosts and entry hosts
	// are in it by their names.
	HostsListed struct{ Hosts []provider.Host }
)

func (Tick) observation()              {}
func (Watch) observation()             {}
func (Responded) observation()         {}
func (AttemptFailed) observation()     {}
func (AnnouncedLeaving) observation()  {}
func (PeerReported) observation()      {}
func (EndpointResponded) observation() {}
func (HostsListed) observation()       {}

// Change is an output of Step.
type Change interface{ change() }

type (
	// StateChanged says that the state of a node changed.
	StateChanged struct {
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

	// LocalFault says that a fault on this host's side is assumed, or no longer.
	LocalFault struct{ Assumed bool }
)

func (StateChanged) change()   {}
func (Redial) change()         {}
func (DeadConnection) change() {}
func (LocalFault) change()     {}

// NodeStatus is the judgement of one node.
type NodeStatus struct {
	State  State
	Reason Reason
	// Incarnation is the last one that answered, since IncarnationSince.
	Incarnation      string
	IncarnationSince time.Duration
	// LastResponse is the last answer; zero when there was none.
	LastResponse time.Duration
	// ReadyAt is from when on the node may receive shards.
	ReadyAt time.Duration
	// Flaps is the number of returns and restarts that are remembered.
	Flaps int
}

// MayReceiveShards reports whether shards may be moved to the node now.
func (f NodeStatus) MayReceiveShards(now time.Duration) bool {
	return f.State == Healthy && now >= f.ReadyAt
}

type node struct {
	fit NodeStatus
	// fails counts failures on new connections since the last answer; the
	// first one was at failedAt, the last at lastFail.
	fails              int
	failedAt, lastFail time.Duration
	failing            bool
	// openFailed says that the open connection failed since the last answer.
	openFailed               bool
	selfLeaving, listLeaving bool
	flapAt                   time.Duration
	reports                  map[string]PeerReported
}

// Tracker judges the watched nodes.
type Tracker struct {
	cfg   Config
	nodes map[Node]*node
	// order holds the keys of nodes, sorted, so that changes come in one order.
	order []Node
	// goodAt is the latest EndpointResponded.SentAt.
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
	case Responded:
		out = t.answered(now, e, out)
	case AttemptFailed:
		out = t.failed(now, e, out)
	case AnnouncedLeaving:
		if n := t.nodes[e.Node]; n != nil {
			n.selfLeaving = true
		}
	case PeerReported:
		if n := t.nodes[e.Node]; n != nil && e.At >= n.reports[e.Peer].At {
			n.reports[e.Peer] = e
		}
	case EndpointResponded:
		t.goodAt, t.hasGood = max(t.goodAt, e.SentAt), true
	case HostsListed:
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
				t.nodes[k] = &node{fit: NodeStatus{State: Unknown}, reports: map[string]PeerReported{}}
				t.nodes[k].listLeaving = t.list[name] == provider.HostLeaving
			}
		}
	}
	maps.DeleteFunc(t.nodes, func(k Node, _ *node) bool { return !keep[k] })
	t.order = slices.SortedFunc(maps.Keys(t.nodes), func(a, b Node) int {
		return cmp.Or(strings.Compare(string(a.Kind), string(b.Kind)), strings.Compare(a.Name, b.Name))
	})
}

func (t *Tracker) answered(now time.Duration, e Responded, out []Change) []Change {
	n := t.nodes[e.Node]
	if n == nil {
		return out
	}
	if n.openFailed && e.NewConnection {
		out = append(out, DeadConnection{e.Node})
	}
	restarted := n.fit.Incarnation != "" && n.fit.Incarnation != e.Incarnation
	if restarted || (n.fit.State == Lost && n.fit.LastResponse > 0) {
		t.flap(now, n)
	}
	if n.fit.Incarnation != e.Incarnation {
		n.fit.Incarnation, n.fit.IncarnationSince = e.Incarnation, now
		n.selfLeaving = false
	}
	// An older answer may still be under way when a node starts to leave, so
	// within one incarnation "leaving" is never taken back.
	n.selfLeaving = n.selfLeaving || e.TargetState == provider.TargetLeaving
	n.fit.LastResponse = now
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

func (t *Tracker) failed(now time.Duration, e AttemptFailed, out []Change) []Change {
	n := t.nodes[e.Node]
	if n == nil {
		return out
	}
	if !n.failing {
		n.failing, n.failedAt = true, now
	}
	n.lastFail = now
	if !e.NewConnection {
		n.openFailed = true
		return append(out, Redial{e.Node})
	}
	n.fails++
	return out
}

func (t *Tracker) listed(now time.Duration, l HostsListed) {
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
		out = append(out, LocalFault{Assumed: own})
	}
	for _, k := range t.order {
		n := t.nodes[k]
		to, why := t.judge(now, k, n)
		if to != n.fit.State {
			out = append(out, StateChanged{Node: k, From: n.fit.State, To: to, Reason: why})
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
	case n.fit.Incarnation == "" && n.fit.LastResponse == 0:
		return Unknown, ReasonNotHeard
	}
	return Healthy, ReasonAnswered
}

// quiet reports whether a node's own failures suffice to call it lost.
func (t *Tracker) quiet(now time.Duration, n *node) bool {
	if n.fails < t.cfg.LostFailures {
		return false
	}
	since := n.failedAt
	if n.fit.LastResponse > 0 {
		since = n.fit.LastResponse
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
		if r.Reachable {
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
func (t *Tracker) Get(k Node) NodeStatus {
	if n := t.nodes[k]; n != nil {
		return n.fit
	}
	return NodeStatus{State: Unknown}
}

// OwnSideFault reports whether a fault on this host's side is assumed now.
func (t *Tracker) OwnSideFault() bool { return t.ownSide }

// MayDeclareGone reports whether an entry host may be declared gone: the platform's list,
// read lately, does not have it, it is lost to this host, and no peer that
// reported lately reaches it.
func (t *Tracker) MayDeclareGone(now time.Duration, host string) bool {
	n := t.nodes[Node{KindHost, host}]
	if n == nil || n.fit.State != Lost || t.list == nil || now-t.listAt > t.cfg.ListAge {
		return false
	}
	if _, listed := t.list[host]; listed {
		return false
	}
	for _, r := range n.reports {
		if r.Reachable && now-r.At <= t.cfg.ReportAge {
			return false
		}
	}
	return true
}
