package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/boragelock/boragelock/hotkeys"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/ownership"
)

const (
	// loadInterval is the interval at which homes report the load of their
	// shards. The hottest keys change within minutes, so seconds suffice.
	loadInterval = 2 * time.Second
	// loadLife is how long a report counts.
	loadLife = 3 * loadInterval
	// topKeys is the number of keys of a workload in one report.
	topKeys = 32
	// topKeysMerged is the number of keys that a leader passes on.
	topKeysMerged = 128
)

// LoadReport is the load that one host, or the leader of a domain for all its
// hosts, has seen.
type LoadReport struct {
	// From is the host, or "domain/NAME".
	From string `json:"from"`
	// PeriodMS is the time over which requests were counted, in milliseconds.
	PeriodMS int64          `json:"period_ms"`
	Counts   hotkeys.Report `json:"counts"`
}

// loadTable holds the reports that the planner balances by.
type loadTable struct {
	now     func() time.Duration
	counter *hotkeys.Counter

	mu      sync.Mutex
	reports map[string]timedReport
}

type timedReport struct {
	LoadReport
	at time.Duration
}

func newLoadTable(now func() time.Duration) *loadTable {
	return &loadTable{now: now, counter: hotkeys.New(hotkeys.Config{}), reports: map[string]timedReport{}}
}

func (l *loadTable) take(r LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[r.From] = timedReport{r, l.now()}
}

// plan returns the loads, in requests a second, in the form that the planner
// takes.
func (l *loadTable) plan() (map[ownership.ID]float64, []ownership.KeyLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	shards := map[ownership.ID]float64{}
	keys := map[[2]string]float64{}
	for from, r := range l.reports {
		if l.now()-r.at > loadLife {
			delete(l.reports, from)
			continue
		}
		perSecond := 1000 / float64(max(r.PeriodMS, 1))
		for _, s := range r.Counts.Shards {
			shards[s.ID] += float64(s.Count) * perSecond
		}
		for _, k := range r.Counts.Keys {
			keys[[2]string{k.Workload, k.Key}] += float64(k.Count-k.Error) * perSecond
		}
	}
	hot := make([]ownership.KeyLoad, 0, len(keys))
	for k, load := range keys {
		hot = append(hot, ownership.KeyLoad{Workload: k[0], Key: k[1], Load: load})
	}
	slices.SortFunc(hot, func(a, b ownership.KeyLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Key, b.Key))
	})
	return shards, hot
}

// merged returns all reports as one with the counts of one second.
func (l *loadTable) merged(from string) LoadReport {
	shards, hot := l.plan()
	r := LoadReport{From: from, PeriodMS: 1000}
	for id, load := range shards {
		r.Counts.Shards = append(r.Counts.Shards, hotkeys.ShardCount{ID: id, Count: uint64(load)})
	}
	for _, k := range hot[:min(len(hot), topKeysMerged)] {
		r.Counts.Keys = append(r.Counts.Keys, hotkeys.KeyCount{Workload: k.Workload, Key: k.Key, Count: uint64(k.Load)})
	}
	return r
}

// Observe counts a request that this host handles as the home of its target.
// It implements view.HotKeyObserver.
func (c *Control) Observe(workload, key string, shard int32) {
	c.loads.counter.Observe(workload, key, shard)
}

// serveLoads reports the load of this host's targets to the leader of its
// domain, and a leader the load of its domain to the coordinator.
func (c *Control) serveLoads(ctx context.Context) error {
	tick := time.NewTicker(loadInterval)
	defer tick.Stop()
	last := c.cfg.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		now := c.cfg.Now()
		own := LoadReport{From: c.cfg.Self.Name, PeriodMS: (now - last).Milliseconds(), Counts: c.loads.counter.Take(topKeys)}
		last = now
		st := c.state()
		if st == nil || st.Config == nil {
			continue
		}
		if !c.leads(st) {
			c.sendLoad(ctx, st, c.cfg.Self.Domain, own)
			continue
		}
		c.loads.take(own)
		if first := c.coordinatorDomain(st); first != "" && first != c.cfg.Self.Domain {
			c.sendLoad(ctx, st, first, c.loads.merged("domain/"+c.cfg.Self.Domain))
		}
	}
}

// sendLoad sends a report to the leader of a domain. A report that is lost is
// not repeated, since the next one follows soon.
func (c *Control) sendLoad(ctx context.Context, st *journal.State, domain string, r LoadReport) {
	members := st.Granters[domain].Members
	if len(members) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.cfg.Peers.Call(ctx, st.Entries[members[0].Host].PeerAddr, methodHot, r, nil); err != nil {
		c.log.Debug("load not reported", "domain", domain, "error", err)
	}
}

func (c *Control) hotReport(_ context.Context, r LoadReport) (struct{}, error) {
	c.loads.take(r)
	return struct{}{}, nil
}
