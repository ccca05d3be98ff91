package coordinator

import (
	"context"
	"fmt"
	"maps"
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
	"github.com/boragelock/boragelock/quarantine"
)

// Config holds the settings of a Coordinator.
type Config struct {
	// Host names the host.
	Host string
	// Fleet names the fleet: hosts that name different ones do not follow each other.
	// Default: not named, which fits any.
	Fleet string
	// Domain is the failure domain of the host.
	Domain string
	// Slots coordinates slots between hosts, nil for none.
	Slots SlotService
	// Peer is the address, "ip:port", on which this host accepts connections from
	// other hosts.
	Peer  string
	Store *platform.Store
	// Grants makes the grant and release calls to targets.
	Grants *platform.Grants
	// Cores and LinkMbps are the host's resources; hosts with more campaign sooner.
	Cores, LinkMbps float64
	Log             hclog.Logger
	// Ranges holds the timing of grants; zero fields take their defaults.
	Ranges lease.RangeConfig
	// Quarantine holds the rules for requests under which targets end; zero fields take
	// their defaults.
	Quarantine quarantine.Config
}

// Timing of following and leading.
const (
	// staleAfter is the age of a relayed topic from which a host reads it from the
	// store: half of the 2 s in which changes must be in force.
	staleAfter = 1 * time.Second
	// maxReadWait bounds the wait of a long-poll read. It bounds the age of what the
	// leader relays, and is below staleAfter to leave time for the relay.
	maxReadWait = 600 * time.Millisecond
	// minReadInterval is the least time between the starts of two reads of a topic. It
	// bounds the rate of calls while targets announce themselves continuously.
	minReadInterval = 250 * time.Millisecond
	// storeTimeout bounds a call to the store, not counting the wait of a read.
	storeTimeout = 1 * time.Second
	// retryPause is the least pause after a failed call.
	retryPause = 150 * time.Millisecond
	// storeLostAfter is the age of the last response from which the store counts as
	// unreachable for this host.
	storeLostAfter = 1 * time.Second
	// topicLostAfter is the age of a topic from which the host counts as cut off from
	// the store: a read that returns in time keeps the age below it.
	topicLostAfter = storeLostAfter + maxReadWait
	// maxSendAge is the age of the view of the targets up to which requests are sent by it:
	// 0.2 s before the 2 s in which changes must be in force, for the time until they arrive.
	maxSendAge = 1800 * time.Millisecond
)

// Coordinator is the control side of one entry host. Its read methods are safe
// for concurrent use.
type Coordinator struct {
	cfg Config
	// incarnation distinguishes this process from earlier ones on the host.
	incarnation string

	mu  sync.Mutex
	dir *fleet.Directory
	// announced has the last announcement of each target that was not deleted since.
	announced map[string]fleet.Target
	// reports tells which announcements of a target are outdated.
	reports   targetReports
	snapshot  atomic.Pointer[fleet.Snapshot]
	rangeMaps atomic.Pointer[map[string]*RangeMap]

	operator, targets, control *follower

	// changed is closed and replaced when the snapshot or the ranges change.
	changedMu sync.Mutex
	changed   chan struct{}

	leadership leadership
	// storeAnswers tells whether the store answers this host.
	storeAnswers storeAnswers
	// offered holds the term of a leader that asks this host to succeed it.
	offered chan uint64
	// unansweredTerm is a term whose append got no response; only serveLead uses it.
	unansweredTerm *wonTerm
	counts         requestCounts
	peers          peerSet
	leading        atomic.Bool
	// ran counts the time during which this process ran.
	ran runClock
	// startedAt is when the process started.
	startedAt time.Duration
	// endedTerm is the last term that this process has stopped leading.
	endedTerm atomic.Pointer[endedTerm]
	// roster holds the addresses of the hosts.
	roster roster
	// leavingReported wakes the connection to the leader when a target reports to this
	// host that it is stopping.
	leavingReported chan struct{}
	// limits holds the request limits that targets state; limitReported wakes the
	// connection to the leader when this host has heard one.
	limits        requestLimits
	limitReported chan struct{}
	// suspects holds the requests under which targets ended; suspectsReported wakes the
	// connection to the leader when this host has observed something.
	suspects         suspectedRequests
	suspectsReported chan struct{}
	// link is the connection to the leader, or nil.
	link atomic.Pointer[leaderLink]
	// permitAsks holds the requests for permits that wait for the leader.
	permitAsks chan *permitAsk
	// allotments is what this host knows of customers' allotments, allotAsks holds the
	// requests for tokens that wait for the leader.
	allotments allotments
	allotAsks  chan *allotAsk
	// storeEra is the highest era of the store that this host has seen.
	storeEra atomic.Uint64
	// eraSeenAt is when this host first saw the current era, as a time.Duration.
	eraSeenAt atomic.Int64
	// restoredAt is when this host saw the current era begin after an earlier one, as a
	// time.Duration.
	restoredAt atomic.Int64
	// retired is set when the host must not campaign any more.
	retired atomic.Bool
	// witnesses holds what this host and its peers know of the time before a restore.
	witnesses witnesses
	// toldMu orders changes of toldHosts and toldContended with the messages: a host that
	// joined between a change and its message got the earlier state after it.
	toldMu sync.Mutex
	// toldHosts is what this host last told the others as the leader of the live hosts, nil
	// if nothing in its term.
	toldHosts atomic.Pointer[hostsMessage]
	// hostsTold is set once a leader has told which hosts are live.
	hostsTold atomic.Bool
	// toldContended is likewise what it told of the contended targets.
	toldContended atomic.Pointer[contendedMessage]
	metrics       *metrics
}

// endedTerm is a term that this process led, with the time when it stopped leading.
type endedTerm struct {
	term uint64
	at   time.Duration
}

// New returns a coordinator.
func New(cfg Config) *Coordinator {
	cfg.Ranges.KeyLease = cfg.Ranges.KeyLease.WithDefaults()
	cfg.Ranges.TickEvery = leadTick
	c := &Coordinator{
		cfg: cfg, dir: fleet.NewDirectory(), announced: map[string]fleet.Target{}, reports: targetReports{}, changed: make(chan struct{}),
		leavingReported: make(chan struct{}, 1), limitReported: make(chan struct{}, 1),
		suspectsReported: make(chan struct{}, 1), offered: make(chan uint64, 1),
		permitAsks:  make(chan *permitAsk, permitAskQueue),
		allotAsks:   make(chan *allotAsk, permitAskQueue),
		incarnation: fmt.Sprintf("%016x", rand.Uint64()), startedAt: boottime.Now(),
	}
	c.restoredAt.Store(int64(neverCaughtUp))
	c.snapshot.Store(c.dir.Snapshot())
	c.rangeMaps.Store(&map[string]*RangeMap{})
	c.counts.init()
	c.peers.init()
	c.operator = newFollower(c, platform.TopicOperator, c.applyOperator)
	c.targets = newFollower(c, platform.TopicTargets, c.applyTargets)
	c.control = newFollower(c, platform.TopicControl, c.applyControl)
	c.leadership.init()
	c.limits.init(c.startedAt)
	c.allotments.init(c.startedAt)
	c.suspects.init(cfg.Quarantine)
	c.witnesses.init()
	c.roster.init(cfg.Peer)
	c.metrics = newMetrics(c)
	if cfg.Grants != nil {
		cfg.Grants.OnResponse(c.handleGrantResponse)
	}
	return c
}

// followers returns the followers of all topics.
func (c *Coordinator) followers() []*follower { return []*follower{c.operator, c.targets, c.control} }

// AddTo adds the coordinator's tasks to a supervisor.
func (c *Coordinator) AddTo(s *suture.Supervisor) {
	for _, f := range c.followers() {
		s.Add(f)
	}
	s.Add(&task{"expire", c.serveExpiry})
	s.Add(&task{"peer server", c.servePeers})
	s.Add(&task{"peer client", c.servePeerClient})
	s.Add(&task{"lead", c.serveLead})
}

// task is a supervised goroutine.
type task struct {
	name string
	run  func(context.Context) error
}

// Serve implements suture.Service.
func (d *task) Serve(ctx context.Context) error { return d.run(ctx) }

// String implements fmt.Stringer for the supervisor's messages.
func (d *task) String() string { return d.name }

// Snapshot returns the current snapshot of the deployment.
func (c *Coordinator) Snapshot() *fleet.Snapshot { return c.snapshot.Load() }

// Ready reports whether the host knows a desired state, the targets, and, for each keyed
// workload with targets, the owners of its keys.
func (c *Coordinator) Ready() bool {
	s := c.Snapshot()
	if s.DesiredState == nil || !c.targets.hasApplied() || !c.control.hasApplied() || c.awaitsLostRecords(boottime.Now()) {
		return false
	}
	r := *c.rangeMaps.Load()
	for name, w := range s.DesiredState.Workloads {
		if w.Keyed && r[name] == nil && len(s.TargetsOf(name)) > 0 {
			return false
		}
	}
	return true
}

// Leading reports whether this host leads.
func (c *Coordinator) Leading() bool { return c.leading.Load() }

// HasLeader reports whether this host leads or is connected to the leader.
func (c *Coordinator) HasLeader() bool { return c.Leading() || c.leadership.isConnected() }

// HostCount returns the number of hosts that share budgets, at least 1.
func (c *Coordinator) HostCount() int { return max(1, c.recentHosts(boottime.Now())) }

// UpToDate reports whether the host recently caught up with the end of the operators' topic.
func (c *Coordinator) UpToDate() bool { return c.operator.age(boottime.Now()) < 2*staleAfter }

// TargetsView returns the age of this host's view of the targets, and whether requests may be
// sent by it: it is new enough, or no newer one can be expected.
func (c *Coordinator) TargetsView() (age time.Duration, current bool) {
	age = c.targets.age(boottime.Now())
	return age, age <= maxSendAge || !c.targets.catchesUp()
}

// Retire makes this host resign if it leads, and keeps it from campaigning again.
// While the store does not respond, no other host can lead, so that this host
// resigns only when the store responds; Leading reports when it has resigned.
func (c *Coordinator) Retire() { c.retired.Store(true) }

// Changed returns a channel that is closed at the next change of the snapshot
// or the ranges.
func (c *Coordinator) Changed() <-chan struct{} {
	c.changedMu.Lock()
	defer c.changedMu.Unlock()
	return c.changed
}

func (c *Coordinator) signalChange() {
	c.changedMu.Lock()
	defer c.changedMu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}

// publish publishes a snapshot if the directory has changed; c.mu is held.
func (c *Coordinator) publish() {
	s := c.dir.Snapshot()
	if c.snapshot.Load() != s {
		c.snapshot.Store(s)
		c.signalChange()
	}
}

// applyOperator applies records of the operators' topic. full means that they are
// the newest records of all keys.
func (c *Coordinator) applyOperator(records []platform.Record, full bool) (relevant []platform.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	evacuations := map[string]bool{}
	for _, r := range records {
		if platform.IsDesiredState(r) && len(r.Value) > 0 {
			d, problems, err := platform.DecodeDesiredState(r.Value)
			if err != nil {
				c.cfg.Log.Error("desired_state_malformed", "offset", r.Offset, "err", err)
				continue
			}
			if c.dir.PutDesiredState(d) {
				c.cfg.Log.Info("desired_state", "version", d.Version, "routes", len(d.Routes), "offset", r.Offset)
				for _, p := range problems {
					c.cfg.Log.Error("customer_invalid", "version", d.Version, "customer", p.Customer, "index", p.Index, "field", p.Field, "problem", p.Problem)
				}
				c.retrySuspects(boottime.Now())
			}
		} else if domain, evacuated, ok := platform.DecodeEvacuation(r); ok {
			evacuations[domain] = evacuated
			c.dir.SetEvacuated(domain, evacuated)
			c.cfg.Log.Info("evacuation", "domain", domain, "evacuated", evacuated, "offset", r.Offset)
		}
	}
	if full {
		for domain := range c.snapshot.Load().Evacuated {
			if !evacuations[domain] {
				c.dir.SetEvacuated(domain, false)
			}
		}
	}
	c.publish()
	return records
}

// applyTargets applies records of the targets' topic and returns those to relay:
// deletions, and announcements that differ from the last record of their target. Whether
// they change anything here does not matter: other hosts may have dropped a target that
// this one kept.
func (c *Coordinator) applyTargets(records []platform.Record, full bool) (relevant []platform.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := boottime.Now()
	announced := map[string]bool{}
	for _, r := range records {
		if len(r.Value) == 0 {
			relevant = append(relevant, r)
			delete(c.announced, r.Key)
			c.reports.remove(now, r.Key)
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
		if born, number := platform.AnnouncementOrder(r); !c.reports.note(t.ID, born, number) {
			c.cfg.Log.Info("announcement_outdated", "target", t.ID, "leaving", t.Leaving, "offset", r.Offset)
			_, announced[t.ID] = c.announced[t.ID]
			continue
		}
		announced[t.ID] = true
		if c.isNewRelease(t) {
			c.retrySuspects(now)
		}
		if last, ok := c.announced[t.ID]; !ok || last != *t {
			c.announced[t.ID] = *t
			relevant = append(relevant, r)
		}
		if c.dir.PutTarget(t) {
			c.cfg.Log.Info("target", "target", t.ID, "workload", t.Workload, "domain", t.Domain, "address", t.Address,
				"leaving", t.Leaving, "cold_ms", max(0, t.ColdUntil-now).Milliseconds(), "offset", r.Offset)
		}
	}
	if full {
		maps.DeleteFunc(c.announced, func(id string, _ fleet.Target) bool {
			if !announced[id] {
				c.reports.remove(now, id)
			}
			return !announced[id]
		})
		for _, id := range c.dir.RemoveUnannounced(now, announced) {
			c.cfg.Log.Info("target_gone", "target", id, "reason", "not announced")
		}
	}
	c.publish()
	return relevant
}

// expireEvery is the interval at which lapsed targets are removed.
const expireEvery = 50 * time.Millisecond

// serveExpiry informs the directory whether the store is reachable, and removes
// targets that were not announced again after it became reachable.
func (c *Coordinator) serveExpiry(ctx context.Context) error {
	// A host that starts cannot tell whether the store was away before.
	c.mu.Lock()
	c.dir.MarkStoreUnreachable()
	c.mu.Unlock()
	storeLost := true
	for sleep(ctx, expireEvery) {
		now := boottime.Now()
		c.ran.tick(now)
		c.mu.Lock()
		if lost := c.targets.age(now) > topicLostAfter; lost != storeLost {
			storeLost = lost
			if storeLost {
				c.dir.MarkStoreUnreachable()
				c.cfg.Log.Warn("store_lost", "age_ms", c.targets.age(now).Milliseconds(), "answers", !c.targets.unanswered())
			} else {
				at, outage := c.targets.recovery()
				if outage {
					c.dir.MarkStoreReachable(at)
				} else {
					c.dir.WithdrawOutage()
				}
				c.cfg.Log.Info("store_regained", "outage", outage)
			}
		}
		for _, id := range c.dir.RemoveExpired(now) {
			c.cfg.Log.Info("target_gone", "target", id, "reason", "not announced since the store became reachable again")
		}
		c.publish()
		c.mu.Unlock()
		for _, f := range c.followers() {
			f.forgetExpired(now)
		}
		c.dropLimitsOfGoneTargets(now)
		c.tickAllotments(now)
		c.tickSuspects(now)
	}
	return ctx.Err()
}

// sleep waits for d or until the context is done, and reports whether it waited for d.
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

// jitter returns a random duration of at most d.
func jitter(d time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(d) + 1)) }
