// Package view defines what the request path of an entry host reads from its
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

// Home is the only entry host that sends requests to a target.
type Home struct {
	Host     string
	HTTPAddr string
	// Epoch increases with each change of the home.
	Epoch uint64
}

// Target is the control plane's knowledge of a target.
type Target struct {
	// Known is true once the target has responded to its current leader.
	Known bool
	// Fit is true while the target responds to its granter.
	Fit bool
	// State, Load and Incarnation are reported by the target and may lag.
	State       provider.TargetState
	Load        provider.LoadReport
	Incarnation string
	// Since is when the target's current incarnation was first seen, on the
	// boot-time clock; zero when unknown.
	Since time.Duration
	// Warm is true when the target's current incarnation has served long enough
	// to take its full load.
	Warm bool
	// Ready is true when shards may be moved to the target: it is not cold and
	// has not recently returned.
	Ready bool
}

// Peer is another entry host.
type Peer struct {
	Name        string
	Domain      string
	Incarnation string
	HTTPAddr    string
	// Alive is true when the peer has responded recently.
	Alive bool
}

// View is a consistent snapshot. It must not be modified.
type View struct {
	Self Self
	// State is the result of applying the log that is in force on this host.
	State *journal.State
	// Homes maps targets to their homes.
	Homes map[string]Home
	// Targets maps the names of targets to their status.
	Targets map[string]Target
	// Peers maps names to the other entry hosts.
	Peers map[string]Peer
	// IsolatedFor is how long the host has had contact neither with the log nor
	// with a peer that reaches it; zero while it has contact.
	IsolatedFor time.Duration
}

// EventKind classifies an Event.
type EventKind string

// Events reported by the request path.
const (
	// EventNotOwner: a target refused a request because it does not own the shard.
	EventNotOwner EventKind = "not_owner"
	// EventConnectionRefused: a new connection to the target was refused.
	EventConnectionRefused EventKind = "connection_refused"
	// EventTargetLeaving: a target reported that it is leaving.
	EventTargetLeaving EventKind = "leaving"
	// EventNotHome: another entry host reported that it is not the target's home.
	EventNotHome EventKind = "not_home"
	// EventPeerDown: no connection to another entry host could be opened.
	EventPeerDown EventKind = "peer_down"
)

// Event is an observation made on the request path.
type Event struct {
	Kind EventKind
	// Target or Host is the name of what was observed.
	Target string
	Host   string
}

// Source provides views. All methods are safe for concurrent use.
type Source interface {
	// View returns the current view, or nil before the host has any state.
	View() *View
	// Changed returns a channel that is closed when a view newer than the
	// current one is published.
	Changed() <-chan struct{}
	// Permit returns for how much longer this host may send requests to the
	// target as its home; 0 when it may not. It reads the boot-time clock, so
	// call it immediately before the write.
	Permit(target string) time.Duration
	// Report delivers an observation; it never blocks.
	Report(Event)
}

// HotKeyObserver counts the requests that a home handles, to find hot keys and
// to balance load across targets. Observe does not wait for I/O.
type HotKeyObserver interface {
	Observe(workload, key string, shard int32)
}
