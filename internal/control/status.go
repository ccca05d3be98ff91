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
	// reportCalls limits the calls in progress for one status. A large
	// installation has many hosts, and operators ask seldom.
	reportCalls = 64
	// reportLimit limits collecting one status, so that it is answered while
	// many hosts are silent.
	reportLimit = 2 * time.Second
	// unknownCount stands for a number that no host has reported.
	unknownCount = -1
)

// TargetLoad is what a host has in progress for a target.
type TargetLoad struct {
	// InFlight requests have been sent to the target, Queued ones wait.
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
}

// HostReport is what a host says of itself for the operators' status.
type HostReport struct {
	Incarnation   string `json:"incarnation"`
	ConfigVersion int64  `json:"config_version"`
	// Next is the offset of the next record the host will apply.
	Next         int64 `json:"next"`
	LogReachable bool  `json:"log_reachable"`
	// Authority is that of a granter, empty for other hosts.
	Authority lease.Authority `json:"authority,omitempty"`
	// Permits is the number of targets that the host is home of.
	Permits int `json:"permits"`
	// Loads holds the targets for which the host has queues or connections.
	Loads map[string]TargetLoad `json:"loads,omitempty"`
	// LeaseMS holds, for targets that this granter has renewed lately, what is
	// left of the lease in milliseconds.
	LeaseMS map[string]int64 `json:"lease_ms,omitempty"`
	// MissingWord holds, for each target with shards that wait for release,
	// the granters that keep the release from being proven.
	MissingWord map[string][]string `json:"missing_word,omitempty"`
}

// SetTargetLoads sets how the control plane learns what the request path has
// in progress for each target. Call it before the services are started.
// Without it the status shows no requests.
func (c *Control) SetTargetLoads(f func() map[string]TargetLoad) { c.targetLoads = f }

// report answers another host that collects a status.
func (c *Control) report(_ context.Context, _ struct{}) (HostReport, error) {
	pos := c.follower.Position()
	rep := HostReport{
		Incarnation: c.cfg.Self.Incarnation, Next: pos.Next, LogReachable: pos.LogReachable, Permits: c.homes.held(),
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
		c.reportLeases(&rep)
	}
	return rep, nil
}

// reportLeases adds what only a granter knows.
func (c *Control) reportLeases(rep *HostReport) {
	dc := c.domains.own()
	dc.mu.Lock()
	now := c.cfg.Now()
	s, renewed := dc.core.Status(now), dc.core.RenewalAges(now)
	dc.mu.Unlock()
	rep.Authority, rep.MissingWord = s.Authority, s.ReleaseBlockers
	rep.LeaseMS = map[string]int64{}
	for t, age := range renewed {
		rep.LeaseMS[t] = max(c.cfg.Timing.LeaseDuration-age, 0).Milliseconds()
	}
}

// Status returns what this host and those that answer it know of all domains.
// It implements operator.Control and does not need the log.
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

// collectReports asks all entry hosts side by side. Those that do not answer
// are missing from the result.
func (c *Control) collectReports(st *journal.State) map[string]HostReport {
	ctx, cancel := context.WithTimeout(context.Background(), reportLimit)
	defer cancel()
	own, _ := c.report(ctx, struct{}{})
	out := map[string]HostReport{c.cfg.Self.Name: own}
	var mu sync.Mutex
	var calls errgroup.Group
	calls.SetLimit(reportCalls)
	for name, e := range st.EntryHosts {
		if name == c.cfg.Self.Name || e.Stopped {
			continue
		}
		calls.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			var rep HostReport
			if err := c.cfg.Peers.Call(ctx, e.PeerAddr, methodReport, struct{}{}, &rep); err != nil {
				c.log.Debug("no report for the status", "host", name, "error", err)
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

// shardCounts are the numbers of shards of one target.
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
				former := out[s.PreviousOwner]
				former.leaving++
				out[s.PreviousOwner] = former
			}
			out[s.Owner] = n
		}
	}
	return out
}

// statusBuilder puts a status together from one view and the hosts' reports.
type statusBuilder struct {
	v       *view.View
	reports map[string]HostReport
	shards  map[string]shardCounts
	// next is the offset of the next record that the answering host applies.
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
	seen, n := b.v.Targets[t.Name], b.shards[t.Name]
	out := operator.TargetStatus{
		Name: t.Name, Workload: t.Workload, State: t.State, ReportedState: string(seen.State), Fit: seen.Fit,
		Home: b.v.Homes[t.Name].Host, LeaseMS: b.leaseMS(t), ReleaseBlockers: b.missingWord(t),
		Shards: n.owned, WaitingShards: n.waiting, LeavingShards: n.leaving,
	}
	out.InFlight, out.Queued = b.load(t.Name, out.Home)
	return out
}

// load sums up what all hosts have in progress for a target; a former home may
// still have requests. The sum is unknown while the home does not answer.
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

// leaseMS returns the longest rest of a lease that a granter reports.
func (b *statusBuilder) leaseMS(t contract.Target) int64 {
	left := int64(unknownCount)
	for _, m := range b.v.State.Granters[t.Domain].Members {
		if ms, ok := b.reports[m.Host].LeaseMS[t.Name]; ok {
			left = max(left, ms)
		}
	}
	return left
}

// missingWord returns the word of the first granter that answers, since it is
// the one that proves releases.
func (b *statusBuilder) missingWord(t contract.Target) []string {
	for _, m := range b.v.State.Granters[t.Domain].Members {
		if rep, ok := b.reports[m.Host]; ok {
			return rep.MissingWord[t.Name]
		}
	}
	return nil
}
