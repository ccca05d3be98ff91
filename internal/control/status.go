package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/operator"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/lease"
	"github.com/boragelock/boragelock/ownership"
)

const (
	// maxReportCalls limits the concurrent calls for one status. A large
	// deployment has many hosts, and operators rarely request a status.
	maxReportCalls = 64
	// statusTimeout limits the time to collect one status, so that it is returned
	// even when many hosts are silent.
	statusTimeout = 2 * time.Second
	// unknownCount marks a number that no host has reported.
	unknownCount = -1
)

// TargetLoad holds a host's numbers of requests in progress for a target.
type TargetLoad struct {
	// InFlight counts the requests sent to the target, Queued those that wait.
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
}

// HostReport is a host's own part of the operators' status.
type HostReport struct {
	Incarnation   string `json:"incarnation"`
	ConfigVersion int64  `json:"config_version"`
	// Next is the offset of the next record the host will apply.
	Next         int64 `json:"next"`
	LogReachable bool  `json:"log_reachable"`
	// Authority is the authority of a granter, empty for other hosts.
	Authority lease.Authority `json:"authority,omitempty"`
	// Permits is the number of targets for which the host has a valid permit.
	Permits int `json:"permits"`
	// Loads holds the targets for which the host has queues or connections.
	Loads map[string]TargetLoad `json:"loads,omitempty"`
	// LeaseMS holds, for targets that this granter has renewed recently, the
	// remaining time of the lease in milliseconds.
	LeaseMS map[string]int64 `json:"lease_ms,omitempty"`
	// ReleaseBlockers lists, for each target with shards that wait for release,
	// the granters whose leases or missing promises delay the proof of the release.
	ReleaseBlockers map[string][]string `json:"missing_word,omitempty"`
}

// SetTargetLoads sets the function that returns the request path's load for each
// target. Call it before the services start. Without it, the status shows no
// requests.
func (c *Control) SetTargetLoads(f func() map[string]TargetLoad) { c.targetLoads = f }

// hostReport answers a host that collects a status.
func (c *Control) hostReport(_ context.Context, _ struct{}) (HostReport, error) {
	pos := c.follower.Position()
	rep := HostReport{
		Incarnation: c.cfg.Self.Incarnation, Next: pos.Next, LogReachable: pos.LogReachable, Permits: c.homes.heldCount(),
	}
	if c.targetLoads != nil {
		rep.Loads = c.targetLoads()
	}
	st := c.state()
	if st == nil || st.Config == nil {
		return rep, nil
	}
	rep.ConfigVersion = st.Config.Version
	if c.isGranter(st) {
		c.addLeaseStatus(&rep)
	}
	return rep, nil
}

// addLeaseStatus adds the fields of a report that only granters have.
func (c *Control) addLeaseStatus(rep *HostReport) {
	dc := c.domains.ownCore()
	dc.mu.Lock()
	now := c.cfg.Now()
	status, ages := dc.core.Status(now), dc.core.RenewalAges(now)
	dc.mu.Unlock()
	rep.Authority, rep.ReleaseBlockers = status.Authority, status.ReleaseBlockers
	rep.LeaseMS = map[string]int64{}
	for t, age := range ages {
		rep.LeaseMS[t] = max(c.cfg.Timing.LeaseDuration-age, 0).Milliseconds()
	}
}

// Status returns the status of all domains, as known to this host and to those
// that respond to it. It implements operator.Control and does not need the log.
func (c *Control) Status() operator.Status {
	v := c.View()
	if v == nil {
		return operator.Status{Host: c.cfg.Self.Name}
	}
	reports := c.collectReports(v.State)
	b := statusBuilder{v: v, reports: reports, shards: countShards(v.State.Table), next: c.follower.Position().Next}
	out := operator.Status{Host: c.cfg.Self.Name, Name: v.State.Config.Name, ConfigVersion: v.State.Config.Version}
	for _, name := range v.State.Config.DomainOrder {
		out.Domains = append(out.Domains, b.domain(name))
	}
	return out
}

// collectReports requests the reports of all entry hosts concurrently. Hosts that
// do not respond are missing from the result.
func (c *Control) collectReports(st *journal.State) map[string]HostReport {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	own, _ := c.hostReport(ctx, struct{}{})
	out := map[string]HostReport{c.cfg.Self.Name: own}
	var mu sync.Mutex
	var calls errgroup.Group
	calls.SetLimit(maxReportCalls)
	for name, e := range st.EntryHosts {
		if name == c.cfg.Self.Name || e.Stopped {
			continue
		}
		calls.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			var rep HostReport
			if err := c.cfg.Peers.Call(ctx, e.PeerAddr, methodHostReport, struct{}{}, &rep); err != nil {
				c.log.Debug("failed to collect a host's report", "host", name, "error", err)
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			out[name] = rep
			return nil
		})
	}
	_ = calls.Wait()
	return out
}

// shardCounts holds a target's numbers of shards: those assigned to it, those
// among them whose previous owner has not released them, and those that it has
// not released to the next owner.
type shardCounts struct{ owned, waiting, leaving int }

// countShards counts the shards of all targets.
func countShards(t *ownership.Table) map[string]shardCounts {
	out := map[string]shardCounts{}
	for _, w := range t.Workloads {
		for _, s := range w.Shards {
			if s.Owner == "" {
				continue
			}
			n := out[s.Owner]
			n.owned++
			if s.UnreleasedEpoch != 0 {
				n.waiting++
				previous := out[s.PreviousOwner]
				previous.leaving++
				out[s.PreviousOwner] = previous
			}
			out[s.Owner] = n
		}
	}
	return out
}

// statusBuilder builds a status from one view and the hosts' reports.
type statusBuilder struct {
	v       *view.View
	reports map[string]HostReport
	shards  map[string]shardCounts
	// next is the offset of the next record that this host will apply.
	next int64
}

func (b *statusBuilder) domain(name string) operator.DomainStatus {
	st := b.v.State
	out := operator.DomainStatus{
		Name: name, State: st.Config.Domains[name].State, Granters: memberNames(st.Granters[name].Members),
		RetiringGranters: memberNames(st.Granters[name].Retiring),
	}
	for _, h := range slices.Sorted(maps.Keys(st.EntryHosts)) {
		if st.EntryHosts[h].Domain == name {
			out.Hosts = append(out.Hosts, b.host(st.EntryHosts[h]))
		}
	}
	for _, t := range slices.Sorted(maps.Keys(st.Config.Targets)) {
		if st.Config.Targets[t].Domain == name {
			out.Targets = append(out.Targets, b.target(st.Config.Targets[t]))
		}
	}
	return out
}

func memberNames(members []journal.Member) []string {
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = m.Host
	}
	return out
}

func (b *statusBuilder) host(e journal.EntryHost) operator.HostStatus {
	rep, answered := b.reports[e.Name]
	out := operator.HostStatus{
		Name: e.Name, Incarnation: e.Incarnation, State: b.v.State.Config.HostStates[e.Name],
		Alive: answered || b.v.Peers[e.Name].Alive,
	}
	if !answered {
		return out
	}
	out.Incarnation, out.ConfigVersion, out.LogOffset = rep.Incarnation, rep.ConfigVersion, rep.Next
	out.LogReachable, out.Authority, out.Permits = rep.LogReachable, string(rep.Authority), rep.Permits
	out.Lag = max(b.next-rep.Next, 0)
	return out
}

func (b *statusBuilder) target(t contract.Target) operator.TargetStatus {
	target, counts := b.v.Targets[t.Name], b.shards[t.Name]
	out := operator.TargetStatus{
		Name: t.Name, Workload: t.Workload, State: t.State, ReportedState: string(target.State), Fit: target.Fit,
		Home: b.v.Homes[t.Name].Host, LeaseMS: b.leaseLeftMS(t), ReleaseBlockers: b.releaseBlockers(t),
		Shards: counts.owned, WaitingShards: counts.waiting, LeavingShards: counts.leaving,
	}
	out.InFlight, out.Queued = b.load(t.Name, out.Home)
	return out
}

// load adds up the requests of all hosts for a target, since a former home may
// still have some. The sums are unknown while the home does not respond.
func (b *statusBuilder) load(target, home string) (inFlight, queued int) {
	if _, answered := b.reports[home]; home != "" && !answered {
		return unknownCount, unknownCount
	}
	for _, rep := range b.reports {
		inFlight += rep.Loads[target].InFlight
		queued += rep.Loads[target].Queued
	}
	return inFlight, queued
}

// leaseLeftMS returns the longest remaining time of a target's lease that a
// granter reports, in milliseconds.
func (b *statusBuilder) leaseLeftMS(t contract.Target) int64 {
	longest := int64(unknownCount)
	for _, m := range b.v.State.Granters[t.Domain].Members {
		if ms, ok := b.reports[m.Host].LeaseMS[t.Name]; ok {
			longest = max(longest, ms)
		}
	}
	return longest
}

// releaseBlockers returns a target's blockers as reported by the first granter
// that responds, since that one proves releases.
func (b *statusBuilder) releaseBlockers(t contract.Target) []string {
	for _, m := range b.v.State.Granters[t.Domain].Members {
		if rep, ok := b.reports[m.Host]; ok {
			return rep.ReleaseBlockers[t.Name]
		}
	}
	return nil
}
