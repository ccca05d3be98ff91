package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/lease"
	"github.com/boragelock/boragelock/platform"
)

// Config holds the settings of a Coordinator.
type Config struct {
	// Host names the host.
	Host string
	// Peer is the address on which the leader is called, "ip:port".
	Peer  string
	Store *platform.Store
	// Grants calls targets.
	Grants *platform.Grants
	// Cores and LinkMbps are what the host has; hosts with more stand for the lead
	// sooner.
	Cores, LinkMbps float64
	Log             hclog.Logger
	// Ranges are the times of grants; zero fields take their defaults.
	Ranges lease.RangeConfig
}

// Times of following and leading.
const (
	// staleAfter is the age of a relayed topic from which a host reads it by
	// itself: half of the 2 s in which changes must be in force.
	staleAfter = 1 * time.Second
	// followWait is the longest wait of a read. It bounds the age that the
	// leader relays, and so is below staleAfter with room for the relay.
	followWait = 600 * time.Millisecond
	// followPause is the least time between two reads of a topic, which bounds
	// the calls while targets announce themselves all the time.
	followPause = 250 * time.Millisecond
	// readTimeout bounds a read beyond its wait.
	readTimeout = 1 * time.Second
	// retryPause is the pause after a failed call, with jitter on top.
	retryPause = 150 * time.Millisecond
	// awayAfter is the age of the last answer from which the store counts as
	// away for this host.
	awayAfter = 1 * time.Second
	// awayFor is the age of a topic from which the host has been without the store:
	// a read in time brings it below.
	awayFor = awayAfter + followWait
)

// Coordinator is the control side of one entry host. Its read methods are safe
// for concurrent use.
type Coordinator struct {
	cfg Config
	// incarnation tells this process from earlier ones on the host.
	incarnation string

	mu       sync.Mutex
	dir      *fleet.Directory
	snapshot atomic.Pointer[fleet.Snapshot]
	ranges   atomic.Pointer[map[string]*RangeMap]

	operator, targets, control *follower

	// changed is closed and replaced when the snapshot or the ranges change.
	changedMu sync.Mutex
	changed   chan struct{}

	lead leadership
	// unanswered is a term whose append had no answer; only serveLead uses it.
	unanswered *wonTerm
	counts     keyCounts
	peers      peerSet
	leading    atomic.Bool
	// started is when the process began.
	started time.Duration
	// endedTerm is the last term that this process led and has stopped leading.
	endedTerm atomic.Pointer[endedTerm]
	// hosts is the number of hosts as the leader last told.
	hosts atomic.Int64
	// leavingHeard wakes the connection to the leader when a target told this host
	// that it stops.
	leavingHeard chan struct{}
	// retired hosts do not stand for the lead.
	retired atomic.Bool
	m       *metrics
}

// endedTerm is a term that this process led, and when it stopped leading.
type endedTerm struct {
	term uint64
	at   time.Duration
}

// New returns a coordinator.
func New(cfg Config) *Coordinator {
	cfg.Ranges.KeyLease = cfg.Ranges.KeyLease.WithDefaults()
	cfg.Ranges.TickEvery = leadTick
	c := &Coordinator{
		cfg: cfg, dir: fleet.NewDirectory(), changed: make(chan struct{}),
		leavingHeard: make(chan struct{}, 1),
		incarnation:  fmt.Sprintf("%016x", rand.Uint64()), started: boottime.Now(),
	}
	c.snapshot.Store(c.dir.Snapshot())
	c.ranges.Store(&map[string]*RangeMap{})
	c.counts.init()
	c.peers.init()
	c.operator = newFollower(c, platform.TopicOperator, c.applyOperator)
	c.targets = newFollower(c, platform.TopicTargets, c.applyTargets)
	c.control = newFollower(c, platform.TopicControl, c.applyControl)
	c.lead.init()
	c.m = newMetrics(c)
	if cfg.Grants != nil {
		cfg.Grants.OnAnswer(c.heardGrant)
	}
	return c
}

// followers returns the followers of all topics.
func (c *Coordinator) followers() []*follower { return []*follower{c.operator, c.targets, c.control} }

// AddTo adds the duties to a supervisor.
func (c *Coordinator) AddTo(s *suture.Supervisor) {
	for _, f := range c.followers() {
		s.Add(f)
	}
	s.Add(&duty{"expire", c.serveExpire})
	s.Add(&duty{"peer server", c.servePeers})
	s.Add(&duty{"peer client", c.servePeerClient})
	s.Add(&duty{"lead", c.serveLead})
}

// duty is one supervised goroutine.
type duty struct {
	name string
	run  func(context.Context) error
}

// Serve implements suture.Service.
func (d *duty) Serve(ctx context.Context) error { return d.run(ctx) }

// String implements fmt.Stringer for the supervisor's messages.
func (d *duty) String() string { return d.name }

// Snapshot returns the present view of the deployment.
func (c *Coordinator) Snapshot() *fleet.Snapshot { return c.snapshot.Load() }

// Ready reports whether the host knows a desired state and, for each keyed
// workload, who owns the keys.
func (c *Coordinator) Ready() bool {
	s := c.Snapshot()
	if s.DesiredState == nil {
		return false
	}
	r := *c.ranges.Load()
	for name, w := range s.DesiredState.Workloads {
		if w.Keyed && r[name] == nil && len(s.TargetsOf(name)) > 0 {
			return false
		}
	}
	return true
}

// Leading reports whether this host leads.
func (c *Coordinator) Leading() bool { return c.leading.Load() }

// HostCount returns the number of hosts that share budgets.
func (c *Coordinator) HostCount() int { return max(1, int(c.hosts.Load())) }

// UpToDate reports whether the host recently caught up with the end of the operators' topic.
func (c *Coordinator) UpToDate() bool { return c.operator.age(boottime.Now()) < 2*staleAfter }

// Retire gives the lead back, if this host has it, and does not take it again.
// While the store does not answer, nobody else can lead, and the lead is kept
// until it does; Leading tells when it is given back.
func (c *Coordinator) Retire() { c.retired.Store(true) }

// Changed returns a channel that is closed at the next change of the snapshot
// or the ranges.
func (c *Coordinator) Changed() <-chan struct{} {
	c.changedMu.Lock()
	defer c.changedMu.Unlock()
	return c.changed
}

func (c *Coordinator) notify() {
	c.changedMu.Lock()
	defer c.changedMu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// publish makes the directory's present state visible; c.mu is held.
func (c *Coordinator) publish() {
	s := c.dir.Snapshot()
	if c.snapshot.Load() != s {
		c.snapshot.Store(s)
		c.notify()
	}
}

// applyOperator takes records of the operators' topic. full says that they are
// all records there are.
func (c *Coordinator) applyOperator(records []platform.Record, full bool) (relevant []platform.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := map[string]bool{}
	for _, r := range records {
		if platform.IsDesired(r) && len(r.Value) > 0 {
			d, err := platform.DecodeDesired(r.Value)
			if err != nil {
				c.cfg.Log.Error("desired_state_malformed", "offset", r.Offset, "err", err)
				continue
			}
			if c.dir.PutDesiredState(d) {
				c.cfg.Log.Info("desired_state", "version", d.Version, "routes", len(d.Routes), "offset", r.Offset)
			}
		} else if domain, evacuated, ok := platform.Evacuation(r); ok {
			seen[domain] = evacuated
			c.dir.SetEvacuated(domain, evacuated)
			c.cfg.Log.Info("evacuation", "domain", domain, "evacuated", evacuated, "offset", r.Offset)
		}
	}
	if full {
		for domain := range c.snapshot.Load().Evacuated {
			if !seen[domain] {
				c.dir.SetEvacuated(domain, false)
			}
		}
	}
	c.publish()
	return records
}

// applyTargets takes records of the targets' topic and returns those that
// changed something, which is what peers need.
func (c *Coordinator) applyTargets(records []platform.Record, full bool) (relevant []platform.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := boottime.Now()
	announced := map[string]bool{}
	for _, r := range records {
		if len(r.Value) == 0 {
			relevant = append(relevant, r)
			if c.dir.RemoveTarget(now, r.Key) {
				c.cfg.Log.Info("target_gone", "target", r.Key, "offset", r.Offset)
			}
			continue
		}
		t, err := platform.DecodeTarget(r, now)
		if err != nil {
			c.cfg.Log.Warn("announcement_malformed", "target", r.Key, "offset", r.Offset, "err", err)
			announced[r.Key] = c.dir.Snapshot().Targets[r.Key] != nil
			continue
		}
		announced[r.Key] = true
		if c.dir.PutTarget(t) {
			relevant = append(relevant, r)
			c.cfg.Log.Info("target", "target", t.ID, "workload", t.Workload, "domain", t.Domain, "address", t.Address,
				"leaving", t.Leaving, "cold_ms", max(0, t.ColdUntil-now).Milliseconds(), "offset", r.Offset)
		}
	}
	if full {
		for _, id := range c.dir.RemoveUnannounced(now, announced) {
			c.cfg.Log.Info("target_gone", "target", id, "reason", "not announced")
		}
	}
	c.publish()
	return relevant
}

// expireEvery is the period in which lapsed targets are given up.
const expireEvery = 50 * time.Millisecond

// serveExpire tells the directory whether the store answers, and gives up
// targets that stay away.
func (c *Coordinator) serveExpire(ctx context.Context) error {
	away := false
	for sleep(ctx, expireEvery) {
		now := boottime.Now()
		c.mu.Lock()
		if stale := c.targets.age(now) > awayFor; stale != away {
			away = stale
			if away {
				c.dir.MarkStoreUnreachable()
				c.cfg.Log.Warn("store_lost", "age_ms", c.targets.age(now).Milliseconds())
			} else {
				c.dir.MarkStoreReachable(c.targets.backAt())
				c.cfg.Log.Info("store_regained")
			}
		}
		for _, id := range c.dir.RemoveExpired(now) {
			c.cfg.Log.Info("target_gone", "target", id, "reason", "not announced after the store's return")
		}
		c.publish()
		c.mu.Unlock()
	}
	return ctx.Err()
}

// sleep waits and reports whether the context is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// jitter returns a random time below d.
func jitter(d time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(d) + 1)) }
