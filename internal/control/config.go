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
	DefaultLeaseDuration     = 800 * time.Millisecond
	DefaultRenewInterval     = 200 * time.Millisecond
	DefaultAuthorityDuration = 500 * time.Millisecond
	DefaultPermitDuration    = 700 * time.Millisecond
	DefaultReadWait          = 150 * time.Millisecond
	DefaultPeerReadWait      = 600 * time.Millisecond
	DefaultViewInterval      = 200 * time.Millisecond
	DefaultPlanInterval      = 100 * time.Millisecond
	DefaultGrantTimeout      = 150 * time.Millisecond
	DefaultAppendTimeout     = 2 * time.Second
)

// Timing holds the intervals and time limits of the control plane; zero fields
// take their defaults.
type Timing struct {
	// LeaseDuration is the length of a target's lease.
	LeaseDuration time.Duration
	// RenewInterval is the interval between two grants to one target.
	RenewInterval time.Duration
	// AuthorityDuration is how long a granter may renew leases after the start
	// of its last complete log read.
	AuthorityDuration time.Duration
	// PermitDuration is how long a home may send without renewing its permit.
	PermitDuration time.Duration
	// ReadWait is how long one read of the log waits for new records. It
	// must be well below AuthorityDuration, which starts with the read.
	ReadWait time.Duration
	// PeerReadWait is how long a read through a granter, by a host that is not
	// one, waits for new records. The granter returns new records at once, so a
	// longer wait delays none. It must be well below isolationAfter.
	PeerReadWait time.Duration
	// ViewInterval is the interval at which a host requests homes and permits.
	ViewInterval time.Duration
	// PlanInterval is the interval at which the leading granter plans moves.
	PlanInterval time.Duration
	// GrantTimeout limits one grant to a target.
	GrantTimeout time.Duration
	// AppendTimeout limits one append, including the search for the record
	// after a lost response.
	AppendTimeout time.Duration
}

func (t Timing) withDefaults() Timing {
	set := func(d *time.Duration, def time.Duration) {
		if *d == 0 {
			*d = def
		}
	}
	set(&t.LeaseDuration, DefaultLeaseDuration)
	set(&t.RenewInterval, DefaultRenewInterval)
	set(&t.AuthorityDuration, DefaultAuthorityDuration)
	set(&t.PermitDuration, DefaultPermitDuration)
	set(&t.ReadWait, DefaultReadWait)
	set(&t.PeerReadWait, DefaultPeerReadWait)
	set(&t.ViewInterval, DefaultViewInterval)
	set(&t.PlanInterval, DefaultPlanInterval)
	set(&t.GrantTimeout, DefaultGrantTimeout)
	set(&t.AppendTimeout, DefaultAppendTimeout)
	return t
}

// Config holds the settings and dependencies of a Control.
type Config struct {
	Self view.Self
	// PeerAddr is the address at which other hosts reach this host's peer server.
	PeerAddr string
	// SeedPeers are the peer addresses to read from while the log is down and
	// this host has no configuration.
	SeedPeers []string
	// Bootstrap is written to an empty log; nil leaves it empty.
	Bootstrap *contract.Deployment
	Timing    Timing

	Log      provider.Log
	HostList provider.HostList
	// NewTargetClient returns a client for the control methods of the target at
	// an address.
	NewTargetClient func(addr string) provider.Target
	Peers           *peer.Client
	Logger          hclog.Logger
	// Now is the boot-time clock. Default: boottime.Now.
	Now func() time.Duration
	// SkipLeaseWait makes granters release a lost target's shards without
	// waiting for the end of its lease. It exists to show that the checks of the
	// benchmark detect the fault.
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
