package control

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/peer"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/provider"
)

// Defaults of Timing.
const (
	DefaultLease        = 800 * time.Millisecond
	DefaultRenew        = 200 * time.Millisecond
	DefaultAuthority    = 500 * time.Millisecond
	DefaultPermit       = 700 * time.Millisecond
	DefaultReadWait     = 150 * time.Millisecond
	DefaultPeerReadWait = 600 * time.Millisecond
	DefaultViewInterval = 200 * time.Millisecond
	DefaultPlanInterval = 100 * time.Millisecond
	DefaultGrantTimeout = 150 * time.Millisecond
	DefaultAppend       = 2 * time.Second
)

// Timing holds the intervals of the control plane; zero fields get their
// defaults.
type Timing struct {
	// Lease is the length of a target's lease.
	Lease time.Duration
	// Renew is the interval between two grants to one target.
	Renew time.Duration
	// Authority is how long a complete read of the log allows renewals.
	Authority time.Duration
	// Permit is how long a home may send without asking again.
	Permit time.Duration
	// ReadWait is how long one read of the log waits for new records. It
	// must be well below Authority, which is counted from the read's start.
	ReadWait time.Duration
	// PeerReadWait is how long a host that is no granter lets a granter wait
	// for new records. New records are passed on at once, so a longer wait
	// costs no time; it must be well below isolationAfter.
	PeerReadWait time.Duration
	// ViewInterval is the interval at which a host asks for homes and permits.
	ViewInterval time.Duration
	// PlanInterval is the interval at which the leading granter plans moves.
	PlanInterval time.Duration
	// GrantTimeout limits one grant to a target.
	GrantTimeout time.Duration
	// Append limits one append, including the search for a lost answer.
	Append time.Duration
}

func (t Timing) withDefaults() Timing {
	set := func(d *time.Duration, def time.Duration) {
		if *d == 0 {
			*d = def
		}
	}
	set(&t.Lease, DefaultLease)
	set(&t.Renew, DefaultRenew)
	set(&t.Authority, DefaultAuthority)
	set(&t.Permit, DefaultPermit)
	set(&t.ReadWait, DefaultReadWait)
	set(&t.PeerReadWait, DefaultPeerReadWait)
	set(&t.ViewInterval, DefaultViewInterval)
	set(&t.PlanInterval, DefaultPlanInterval)
	set(&t.GrantTimeout, DefaultGrantTimeout)
	set(&t.Append, DefaultAppend)
	return t
}

// Config is what a Control needs.
type Config struct {
	Self view.Self
	// PeerAddr is where the other hosts reach this one's peer server.
	PeerAddr string
	// SeedPeers are peer addresses to ask for state when the log is down.
	SeedPeers []string
	// Bootstrap is written to an empty log; nil leaves it empty.
	Bootstrap *contract.Deployment
	Timing    Timing

	Log      provider.Log
	HostList provider.HostList
	// Target returns the control side of a target at an address.
	Target func(addr string) provider.Target
	Peers  *peer.Client
	Logger hclog.Logger
	// Now is the boot-time clock; nil means the machine's.
	Now func() time.Duration
	// SkipLeaseWait makes the leading granter release a lost target's shards
	// without waiting for its lease. It exists to show that the checks of the
	// bench find the fault.
	SkipLeaseWait bool
}

func (c Config) withDefaults() Config {
	c.Timing = c.Timing.withDefaults()
	if c.Now == nil {
		c.Now = boottime.Now
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return c
}
