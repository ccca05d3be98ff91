// Package view defines what the request path of an entry host sees of its
// control plane: the state in force, the homes of targets, and the permits to
// send to a target.
//
// internal/control implements Source; internal/forward uses it. Tests use
// Static.
package view

import (
	"time"

	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/provider"
)

// Self identifies this entry host.
type Self struct {
	Name        string
	Domain      string
	Incarnation string
	HTTPAddr    string
}

// Home is the entry host that alone sends requests to a target.
type Home struct {
	Host     string
	HTTPAddr string
	// Epoch grows with each change of the home.
	Epoch uint64
}

// Target is what is known of a target.
type Target struct {
	// Known says that the target has answered since its leader watches it.
	Known bool
	// Fit says that the target answers its granter.
	Fit bool
	// State, Load and Incarnation are the target's own words and may lag.
	State       provider.TargetState
	Load        provider.LoadReport
	Incarnation string
	// Since is when the target's present incarnation was first seen, on the
	// boot-time clock; zero when unknown.
	Since time.Duration
	// Warm says that the target has served under its present incarnation for so
	// long that it bears its full load.
	Warm bool
	// Ready says that shards may be moved to the target: it is not cold and
	// has not returned lately.
	Ready bool
}

// Peer is another entry host.
type Peer struct {
	Name        string
	Domain      string
	Incarnation string
	HTTPAddr    string
	// Alive says that the peer has answered lately.
	Alive bool
}

// View is one consistent, read-only picture. It must not be changed.
type View struct {
	Self Self
	// State is the fold of the log in force on this host.
	State *journal.State
	// Homes maps targets to their homes.
	Homes map[string]Home
	// Targets maps names to what is known of them.
	Targets map[string]Target
	// Peers maps names to the other entry hosts.
	Peers map[string]Peer
	// IsolatedFor is how long the host has had no contact with the log nor
	// with any peer that has; zero when it has.
	IsolatedFor time.Duration
}

// EventKind classifies an Event.
type EventKind string

// Events reported by the request path.
const (
	// EventNotOwner: a target refused a request because it does not hold the shard.
	EventNotOwner EventKind = "not_owner"
	// EventConnectionRefused: a new connection to the target was refused.
	EventConnectionRefused EventKind = "connection_refused"
	// EventTargetLeaving: a target reported that it is leaving.
	EventTargetLeaving EventKind = "leaving"
	// EventNotHome: another entry host said that it is not the target's home.
	EventNotHome EventKind = "not_home"
	// EventPeerDown: no connection to another entry host could be opened.
	EventPeerDown EventKind = "peer_down"
)

// Event is an observation of the request path.
type Event struct {
	Kind EventKind
	// Target or Host names what was observed.
	Target string
	Host   string
}

// Source gives views. All methods are safe for concurrent use.
type Source interface {
	// View returns the present view, or nil before the host has any state.
	View() *View
	// Changed returns a channel that is closed when a newer view than the
	// present one is published.
	Changed() <-chan struct{}
	// Permit returns for how much longer this host may send requests to the
	// target as its home; 0 when it may not. It reads the boot-time clock, so
	// call it immediately before the write.
	Permit(target string) time.Duration
	// Report passes an observation on; it never blocks.
	Report(Event)
}

// HotKeyObserver counts the requests that a home handles, to find hot keys and
// balance the load of targets. Observe never waits for I/O.
type HotKeyObserver interface {
	Observe(workload, key string, shard int32)
}
