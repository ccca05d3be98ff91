package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"

	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/membership"
)

// Control is the control plane of one entry host. Create it with New, add
// Services to a supervisor, and use it as a view.Source.
type Control struct {
	cfg      Config
	log      hclog.Logger
	follower *Follower
	writer   *Writer
	domains  *domainSet
	homes    *homeTable
	leader   *leader
	granters *granterTable
	loads    *loadTable
	stalls   *stallMeter
	stopping atomic.Bool

	currentState atomic.Pointer[journal.State]
	view         atomic.Pointer[view.View]
	// ownTargets caches this domain's targets in the configuration in force.
	ownTargets atomic.Pointer[domainTargets]

	mu        sync.Mutex
	changedCh chan struct{}

	events chan view.Event

	// drainedTo is set before the services start; see SetDrainedVersion.
	drainedTo func(target string, version uint64) uint64
	// serviceTimes is set before the services start; see SetServiceTimes.
	serviceTimes func() map[string]time.Duration
	// targetLoads is set before the services start; see SetTargetLoads.
	targetLoads func() map[string]TargetLoad
}

// eventBuffer is the number of events from the request path that may wait.
// Further events are dropped and counted, since they are only hints.
const eventBuffer = 1024

// New returns a control plane that is not running yet.
func New(cfg Config) *Control {
	cfg = cfg.withDefaults()
	c := &Control{
		cfg: cfg, log: cfg.Logger.Named("control"),
		changedCh: make(chan struct{}), events: make(chan view.Event, eventBuffer),
	}
	c.follower = newFollower(cfg.Now, c.readWait, c.log.Named("follower"))
	c.follower.sources = c.sources
	c.follower.onState = c.onState
	c.follower.onLogRead = c.onLogRead
	c.writer = &Writer{
		log: cfg.Log, follower: c.follower, timeout: cfg.Timing.AppendTimeout,
		idPrefix: cfg.Self.Name + "." + cfg.Self.Incarnation,
	}
	c.homes = newHomeTable(cfg)
	c.leader = newLeader()
	c.granters = newGranterTable()
	c.loads = newLoadTable(cfg.Now)
	c.stalls = newStallMeter(cfg.Now)
	c.domains = newDomainSet(c)
	return c
}

// Services returns the services to supervise.
func (c *Control) Services() []suture.Service {
	return []suture.Service{
		service{"follower", c.follower.Serve},
		service{"granter", c.serveGranter},
		service{"homes", c.serveHomes},
		service{"hosts", c.serveHosts},
		service{"planner", c.servePlanner},
		service{"snapshots", c.serveSnapshots},
		service{"host_list", c.serveHostList},
		service{"stalls", c.stalls.serve},
		service{"probes", c.serveProbes},
		service{"observers", c.serveObservers},
		service{"loads", c.serveLoads},
		service{"events", c.serveEvents},
	}
}

// service is a service with a name for the supervisor's log.
type service struct {
	name  string
	serve func(context.Context) error
}

// Serve implements suture.Service.
func (s service) Serve(ctx context.Context) error { return s.serve(ctx) }

// String returns the name of the service.
func (s service) String() string { return s.name }

// state returns the state in force, nil before the first one.
func (c *Control) state() *journal.State { return c.currentState.Load() }

// entryHost returns the record by which this host announces itself.
func (c *Control) entryHost() journal.EntryHost {
	s := c.cfg.Self
	return journal.EntryHost{
		Name: s.Name, Incarnation: s.Incarnation, Domain: s.Domain,
		HTTPAddr: s.HTTPAddr, PeerAddr: c.cfg.PeerAddr,
	}
}

// onState handles a new state from the follower.
func (c *Control) onState(st *journal.State) {
	c.currentState.Store(st)
	c.domains.publish(st)
	c.publish()
}

// onLogRead handles a read that reached the end of the log.
func (c *Control) onLogRead(asOf time.Duration) {
	pos := c.follower.Position()
	if pos.LogReachable {
		c.domains.fitness.step(membership.EndpointResponded{SentAt: asOf})
	}
	c.domains.logRead(asOf, pos.Next)
}

// publish builds and publishes a new view for the request path.
func (c *Control) publish() {
	st := c.state()
	if st == nil || st.Config == nil {
		return
	}
	v := &view.View{Self: c.cfg.Self, State: st}
	c.homes.fillView(v)
	v.IsolatedFor = c.isolatedFor()
	c.view.Store(v)
	c.mu.Lock()
	old := c.changedCh
	c.changedCh = make(chan struct{})
	c.mu.Unlock()
	close(old)
}

// isolationAfter is the age of the last complete log read above which a host
// reports itself as isolated.
const isolationAfter = 2 * time.Second

func (c *Control) isolatedFor() time.Duration {
	pos := c.follower.Position()
	if pos.ReadAsOf == 0 {
		return 0
	}
	if age := c.cfg.Now() - pos.ReadAsOf; age > isolationAfter {
		return age
	}
	return 0
}

// View implements view.Source.
func (c *Control) View() *view.View { return c.view.Load() }

// Changed implements view.Source.
func (c *Control) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changedCh
}

// Permit implements view.Source.
func (c *Control) Permit(target string) time.Duration { return c.homes.permitLeft(target) }

// Report implements view.Source.
func (c *Control) Report(e view.Event) {
	select {
	case c.events <- e:
	default:
		eventsDropped.Add(string(e.Kind), 1)
	}
}

// SetDrainedVersion sets the function that returns up to which version of a
// target the request path has ended all requests for shards that moved away
// from it. Call it before the services start. Without it, shards of targets
// that do not check fences are released only after the permits have ended.
func (c *Control) SetDrainedVersion(f func(target string, version uint64) uint64) { c.drainedTo = f }

// SetServiceTimes sets the function that returns the mean service times of the
// targets that this host is the home of. Call it before the services start.
// Without it, slow targets keep their shards.
func (c *Control) SetServiceTimes(f func() map[string]time.Duration) { c.serviceTimes = f }

// Append writes a record and returns its result; see Writer.Append.
func (c *Control) Append(ctx context.Context, kind journal.Kind, body any) (journal.Result, error) {
	return c.writer.Append(ctx, kind, body)
}

// readWait returns how long one read waits for new records. Granters read more
// often than other hosts, since their authority depends on recent reads.
func (c *Control) readWait() time.Duration {
	st := c.state()
	if st == nil || len(st.Granters[c.cfg.Self.Domain].Members) == 0 || c.isGranter(st) {
		return c.cfg.Timing.ReadWait
	}
	return c.cfg.Timing.PeerReadWait
}

// sources lists the sources to read records from, in order of preference.
// Granters read the log directly, since their authority depends on it. Other
// hosts read through a granter of their domain first, so that the load on the
// log does not depend on the number of hosts.
func (c *Control) sources() []source {
	direct := &logSource{log: c.cfg.Log, now: c.cfg.Now}
	st := c.state()
	if st == nil {
		return append([]source{direct}, c.seedSources()...)
	}
	var out []source
	granters := st.Granters[c.cfg.Self.Domain].Members
	isGranter := false
	// The hash of its name selects a host's first granter, so that the reads
	// are spread over all granters.
	start := 0
	if len(granters) > 0 {
		start = int(xxhash.Sum64String(c.cfg.Self.Name) % uint64(len(granters)))
	}
	for i := range granters {
		m := granters[(start+i)%len(granters)]
		if m.Host == c.cfg.Self.Name {
			isGranter = true
			continue
		}
		if e, ok := st.EntryHosts[m.Host]; ok && !e.Stopped {
			out = append(out, c.peerSource(e.PeerAddr))
		}
	}
	if isGranter || len(granters) == 0 {
		return append(append([]source{direct}, out...), c.remoteSources(st)...)
	}
	return append(append(out, direct), c.remoteSources(st)...)
}

// remoteSources lists the first granter of each other domain, for a domain that
// reaches these but not the log.
func (c *Control) remoteSources(st *journal.State) []source {
	if st.Config == nil {
		return c.seedSources()
	}
	var out []source
	for _, d := range st.Config.DomainOrder {
		members := st.Granters[d].Members
		if d == c.cfg.Self.Domain || len(members) == 0 {
			continue
		}
		if e, ok := st.EntryHosts[members[0].Host]; ok && !e.Stopped {
			out = append(out, c.peerSource(e.PeerAddr))
		}
	}
	return out
}

func (c *Control) seedSources() []source {
	var out []source
	for _, addr := range c.cfg.SeedPeers {
		if addr != c.cfg.PeerAddr {
			out = append(out, c.peerSource(addr))
		}
	}
	return out
}

func (c *Control) peerSource(addr string) source {
	return &peerSource{addr: addr, client: c.cfg.Peers, now: c.cfg.Now}
}

// Stop performs a planned stop: the host gives up its homes and is no longer
// chosen as a granter. Once it holds no permit, Stop announces on the log that
// the host is gone. It returns then, or when the context ends.
func (c *Control) Stop(ctx context.Context) {
	c.stopping.Store(true)
	c.homes.giveUpAll()
	for ctx.Err() == nil && c.homes.heldCount() > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(c.cfg.Timing.ViewInterval / 4):
		}
	}
	record := c.entryHost()
	record.Stopped = true
	if _, err := c.Append(ctx, journal.KindEntryHost, record); err != nil {
		c.log.Warn("failed to announce the stop", "error", err)
	}
}
