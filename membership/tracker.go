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

// State is the assessed state of a node.
type State string

// States of nodes.
const (
	// Unknown: no response has been received yet.
	Unknown State = "unknown"
	// Healthy: responds.
	Healthy State = "fit"
	// Suspect: recent attempts failed, but the node is not declared lost.
	Suspect State = "suspect"
	// Lost: other nodes take over its shards or duties.
	Lost State = "lost"
	// Leaving: is shutting down and must get no new work.
	Leaving State = "leaving"
)

// Reason says why a node has its state.
type Reason string

// Reasons for states.
const (
	ReasonNoResponse       Reason = "not_heard"
	ReasonResponded        Reason = "answered"
	ReasonFailedAttempts   Reason = "failed_attempts"
	ReasonLocalFault       Reason = "fault_assumed_on_own_side"
	ReasonAnnouncedLeaving Reason = "says_leaving"
	ReasonListedLeaving    Reason = "listed_leaving"
)

// Observation is an input of Step.
type Observation interface{ observation() }

type (
	// Tick advances the time. The caller sends one every 50 ms.
	Tick struct{}

	// Watch sets the targets and peers that this host observes. The tracker
	// removes all others.
	Watch struct{ Targets, Hosts []string }

	// Responded says that a node responded to an attempt.
	Responded struct {
		Node
		// NewConnection says that the connection was opened for the attempt.
		NewConnection bool
		Incarnation   string
		// TargetState is the state that a target reports; empty for hosts.
		TargetState provider.TargetState
	}

	// AttemptFailed says that an attempt timed out or was refused.
	AttemptFailed struct {
		Node
		NewConnection bool
	}

	// AnnouncedLeaving says that a node announced on the request path that it is
	// leaving.
	AnnouncedLeaving struct{ Node }

	// PeerReported is another granter's own observation of a node.
	PeerReported struct {
		Node
		Peer      string
		Reachable bool
		// At is a lower bound, on this host's clock, of when the peer made the
		// observation.
		At time.Duration
	}

	// EndpointResponded says that an endpoint outside the watched nodes responded
	// to a request sent at SentAt: the log, the host list, or a host of another
	// domain.
	EndpointResponded struct{ SentAt time.Duration }

	// HostsListed is the platform's list of hosts. It has target hosts and entry
	// hosts under their names.
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

	// Redial requests an immediate attempt on a new connection, because the open
	// one failed.
	Redial struct{ Node }

	// DeadConnection says that a node responds on a new connection after the
	// open one failed. The caller closes the open one.
	DeadConnection struct{ Node }

	// LocalFault says whether a fault on this host's side is now assumed.
	LocalFault struct{ Assumed bool }
)

func (StateChanged) change()   {}
func (Redial) change()         {}
func (DeadConnection) change() {}
func (LocalFault) change()     {}

// Status is the assessment of one node.
type Status struct {
	State  State
	Reason Reason
	// Incarnation is the last one that responded, first at IncarnationSince.
	Incarnation      string
	IncarnationSince time.Duration
	// LastResponse is when the node last responded; zero if it never did.
	LastResponse time.Duration
	// ReadyAt is when the node may receive shards again after a flap.
	ReadyAt time.Duration
	// Flaps is the number of returns and restarts since the last reset.
	Flaps int
}

// MayReceiveShards reports whether shards may be moved to the node at a time.
func (f Status) MayReceiveShards(at time.Duration) bool { return f.State == Healthy && at >= f.ReadyAt }

type node struct {
	status Status
	// failures counts failures on new connections since the last response.
	// failingSince and lastFailure are the first and the last failure on any
	// connection since then.
	failures                  int
	failingSince, lastFailure time.Duration
	failing                   bool
	// openConnectionFailed says that the open connection failed since the last
	// response.
	openConnectionFailed            bool
	announcedLeaving, listedLeaving bool
	lastFlap                        time.Duration
	reports                         map[string]PeerReported
}

// Tracker assesses the watched nodes.
type Tracker struct {
	cfg   Config
	nodes map[Node]*node
	// sortedNodes holds the sorted keys of nodes, so that changes have a fixed order.
	sortedNodes []Node
	// endpointSentAt is the latest EndpointResponded.SentAt.
	endpointSentAt    time.Duration
	endpointResponded bool
	platformList      map[string]provider.HostState
	listReadAt        time.Duration
	localFault        bool
}

// New returns a Tracker that watches no nodes.
func New(cfg Config) *Tracker { return &Tracker{cfg: cfg, nodes: map[Node]*node{}} }

// Step processes an observation and returns the resulting changes.
func (t *Tracker) Step(now time.Duration, o Observation) []Change {
	var out []Change
	switch e := o.(type) {
	case Watch:
		t.watch(e)
	case Responded:
		out = t.responded(now, e, out)
	case AttemptFailed:
		out = t.attemptFailed(now, e, out)
	case AnnouncedLeaving:
		if n := t.nodes[e.Node]; n != nil {
			n.announcedLeaving = true
		}
	case PeerReported:
		if n := t.nodes[e.Node]; n != nil && e.At >= n.reports[e.Peer].At {
			n.reports[e.Peer] = e
		}
	case EndpointResponded:
		t.endpointSentAt, t.endpointResponded = max(t.endpointSentAt, e.SentAt), true
	case HostsListed:
		t.hostsListed(now, e)
	}
	return t.evaluateAll(now, out)
}

func (t *Tracker) watch(w Watch) {
	keep := map[Node]bool{}
	for kind, names := range map[Kind][]string{KindTarget: w.Targets, KindHost: w.Hosts} {
		for _, name := range names {
			k := Node{kind, name}
			keep[k] = true
			if t.nodes[k] == nil {
				t.nodes[k] = &node{status: Status{State: Unknown}, reports: map[string]PeerReported{}}
				t.nodes[k].listedLeaving = t.platformList[name] == provider.HostLeaving
			}
		}
	}
	maps.DeleteFunc(t.nodes, func(k Node, _ *node) bool { return !keep[k] })
	t.sortedNodes = slices.SortedFunc(maps.Keys(t.nodes), func(a, b Node) int {
		return cmp.Or(strings.Compare(string(a.Kind), string(b.Kind)), strings.Compare(a.Name, b.Name))
	})
}

func (t *Tracker) responded(now time.Duration, e Responded, out []Change) []Change {
	n := t.nodes[e.Node]
	if n == nil {
		return out
	}
	if n.openConnectionFailed && e.NewConnection {
		out = append(out, DeadConnection{e.Node})
	}
	restarted := n.status.Incarnation != "" && n.status.Incarnation != e.Incarnation
	if restarted || (n.status.State == Lost && n.status.LastResponse > 0) {
		t.recordFlap(now, n)
	}
	if n.status.Incarnation != e.Incarnation {
		n.status.Incarnation, n.status.IncarnationSince = e.Incarnation, now
		n.announcedLeaving = false
	}
	// An earlier response may still be in transit when a node starts to leave, so
	// an incarnation that is leaving stays so.
	n.announcedLeaving = n.announcedLeaving || e.TargetState == provider.TargetLeaving
	n.status.LastResponse = now
	n.failures, n.failing, n.openConnectionFailed = 0, false, false
	return out
}

// recordFlap records a return or restart and delays new shards.
func (t *Tracker) recordFlap(now time.Duration, n *node) {
	if n.status.Flaps > 0 && now-n.lastFlap >= t.cfg.FlapResetAfter {
		n.status.Flaps = 0
	}
	delay := t.cfg.FlapDelay
	for range n.status.Flaps {
		delay = min(2*delay, t.cfg.FlapDelayMax)
	}
	n.status.Flaps++
	n.lastFlap, n.status.ReadyAt = now, now+delay
}

func (t *Tracker) attemptFailed(now time.Duration, e AttemptFailed, out []Change) []Change {
	n := t.nodes[e.Node]
	if n == nil {
		return out
	}
	if !n.failing {
		n.failing, n.failingSince = true, now
	}
	n.lastFailure = now
	if !e.NewConnection {
		n.openConnectionFailed = true
		return append(out, Redial{e.Node})
	}
	n.failures++
	return out
}

func (t *Tracker) hostsListed(now time.Duration, l HostsListed) {
	t.platformList, t.listReadAt = make(map[string]provider.HostState, len(l.Hosts)), now
	for _, h := range l.Hosts {
		t.platformList[h.Name] = h.State
	}
	for k, n := range t.nodes {
		n.listedLeaving = t.platformList[k.Name] == provider.HostLeaving
	}
}

func (t *Tracker) evaluateAll(now time.Duration, out []Change) []Change {
	if assumed := t.detectLocalFault(); assumed != t.localFault {
		t.localFault = assumed
		out = append(out, LocalFault{Assumed: assumed})
	}
	for _, k := range t.sortedNodes {
		n := t.nodes[k]
		to, reason := t.evaluate(now, k, n)
		if to != n.status.State {
			out = append(out, StateChanged{Node: k, From: n.status.State, To: to, Reason: reason})
		}
		n.status.State, n.status.Reason = to, reason
	}
	return out
}

func (t *Tracker) evaluate(now time.Duration, k Node, n *node) (State, Reason) {
	switch {
	case t.unresponsive(now, n) && (n.status.State == Lost || t.nodeAtFault(now, n)):
		return Lost, ReasonFailedAttempts
	case t.unresponsive(now, n):
		return Suspect, ReasonLocalFault
	case n.announcedLeaving:
		return Leaving, ReasonAnnouncedLeaving
	case n.listedLeaving:
		return Leaving, ReasonListedLeaving
	case n.failing && n.status.State == Lost:
		return Lost, ReasonFailedAttempts
	case n.failing:
		return Suspect, ReasonFailedAttempts
	case n.status.Incarnation == "" && n.status.LastResponse == 0:
		return Unknown, ReasonNoResponse
	}
	return Healthy, ReasonResponded
}

// unresponsive reports whether a node's failures suffice to declare it lost,
// unless the fault is on this host's side.
func (t *Tracker) unresponsive(now time.Duration, n *node) bool {
	if n.failures < t.cfg.LostFailures {
		return false
	}
	since := n.failingSince
	if n.status.LastResponse > 0 {
		since = n.status.LastResponse
	}
	return now-since >= t.cfg.LostAfter && now-n.failingSince >= t.cfg.MinFailureTime
}

// nodeAtFault reports whether a node's failures are attributed to the node rather
// than to this host's side.
func (t *Tracker) nodeAtFault(now time.Duration, n *node) bool {
	confirmed := false
	for _, r := range n.reports {
		if now-r.At > t.cfg.MaxReportAge || r.At < n.failingSince {
			continue
		}
		if r.Reachable {
			// Another granter reaches the node, so the path from this host is at fault.
			return false
		}
		confirmed = true
	}
	return confirmed || !t.localFault
}

// detectLocalFault reports whether the present failures look like a fault of this
// host's own connection: many nodes that are not lost yet fail at the same time. A
// response of another endpoint to a request sent after the last of them began to
// fail shows that the connection works.
func (t *Tracker) detectLocalFault() bool {
	var targets, hosts tally
	for k, n := range t.nodes {
		if n.status.State == Lost {
			continue
		}
		if k.Kind == KindTarget {
			targets.add(n)
		} else {
			hosts.add(n)
		}
	}
	since, assumed := time.Duration(0), false
	if float64(targets.failing) > t.cfg.LocalFaultShare*float64(targets.total) {
		since, assumed = max(since, targets.latestFailingSince), true
	}
	if hosts.total > 0 && hosts.failing == hosts.total {
		since, assumed = max(since, hosts.latestFailingSince), true
	}
	return assumed && !(t.endpointResponded && t.endpointSentAt >= since)
}

// tally counts failing nodes of one kind.
type tally struct {
	total, failing int
	// latestFailingSince is when the last of them began to fail.
	latestFailingSince time.Duration
}

func (c *tally) add(n *node) {
	c.total++
	if n.failing {
		c.failing++
		c.latestFailingSince = max(c.latestFailingSince, n.failingSince)
	}
}

// Get returns the status of a node; Unknown if it is not watched.
func (t *Tracker) Get(k Node) Status {
	if n := t.nodes[k]; n != nil {
		return n.status
	}
	return Status{State: Unknown}
}

// LocalFaultAssumed reports whether a fault on this host's side is now assumed.
func (t *Tracker) LocalFaultAssumed() bool { return t.localFault }

// MayDeclareGone reports whether an entry host may be declared gone: a recent list
// of the platform does not have it, this host considers it lost, and no recent
// report of a peer says that it is reachable.
func (t *Tracker) MayDeclareGone(now time.Duration, host string) bool {
	n := t.nodes[Node{KindHost, host}]
	if n == nil || n.status.State != Lost || t.platformList == nil || now-t.listReadAt > t.cfg.MaxListAge {
		return false
	}
	if _, listed := t.platformList[host]; listed {
		return false
	}
	for _, r := range n.reports {
		if r.Reachable && now-r.At <= t.cfg.MaxReportAge {
			return false
		}
	}
	return true
}
