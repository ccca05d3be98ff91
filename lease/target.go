package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/provider"
)

// target is what is known about one target with a keyed workload.
type target struct {
	name    string
	fencing bool
	// version is the target's version in the state.
	version uint64
	// shards holds the active shards of the target in the state, hotKeys the split
	// keys that concern them.
	shards  []provider.ShardEpoch
	hotKeys []provider.HotKey
	// unreleased holds the shards that moved away and wait for release.
	unreleased []unreleasedShard
	// lost says that some of them were moved because the target was lost: since
	// lostAt, at version lostVersion, no granter that knows the state renews it.
	lost        bool
	lostAt      time.Duration
	lostVersion uint64
	// minVersion is the lowest version that may be granted.
	minVersion uint64
	// promises holds the answers of other granters to StopRenew.
	promises map[memberKey]promise
	// stopAskedAt is when StopRenew was last sent; stopAsked says that it was.
	stopAskedAt time.Duration
	stopAsked   bool
	// offeredAt holds the time at which each release was last returned by Step.
	offeredAt map[ownership.ReleasedShard]time.Duration
	// acknowledged holds the unreleased shards for which the target itself has
	// acknowledged that it no longer serves them.
	acknowledged map[ownership.ReleasedShard]bool

	renewal renewal
	// higherRankRenewedAt is the time of the last renewal that a granter of higher
	// rank reported.
	higherRankRenewedAt time.Duration
	// permits holds, per home, the last permit for a target without fencing.
	permits map[string]permit
}

// unreleasedShard is a shard that its previous owner has not released.
type unreleasedShard struct {
	shard ownership.ReleasedShard
	// since is when a state with the wait was first published here.
	since time.Duration
	// lost says that the shard was moved because the target was lost; lostAt is when
	// that was first published here, lostVersion the target's version then.
	lost        bool
	lostAt      time.Duration
	lostVersion uint64
}

// promise is another granter's promise to grant a target no version below this one.
type promise struct {
	version uint64
	// receivedAt is when the answer arrived, leasesEnd when the leases that it covers
	// have ended.
	receivedAt, leasesEnd time.Duration
	// drained is StopRenewAnswer.Drained.
	drained bool
}

// permit is a home's right to send to a target without fencing until a given time.
type permit struct {
	until          time.Duration
	drainedVersion uint64
}

// indexTargets rebuilds the shards of the targets when the table or the targets
// changed.
func (g *Granter) indexTargets(now time.Duration) {
	last := int64(0)
	for _, v := range g.state.TargetVersion {
		last = max(last, v)
	}
	for name, t := range g.state.Config.Targets {
		w := g.state.Config.Workloads[t.Workload]
		if t.Domain == g.self.Domain && w.Keyed && g.targets[name] == nil {
			g.targets[name] = &target{
				name: name, fencing: w.Fencing, higherRankRenewedAt: now,
				promises: map[memberKey]promise{}, offeredAt: map[ownership.ReleasedShard]time.Duration{},
				acknowledged: map[ownership.ReleasedShard]bool{},
				permits:      map[string]permit{}, renewal: renewal{nextAt: now},
			}
			g.indexedVersion = -1
		}
	}
	if last == g.indexedVersion {
		return
	}
	g.indexedVersion = last
	g.rebuildTargets(now)
}

func (g *Granter) rebuildTargets(now time.Duration) {
	old := map[ownership.ReleasedShard]unreleasedShard{}
	for _, t := range g.targets {
		for _, w := range t.unreleased {
			old[w.shard] = w
		}
		t.version = uint64(max(g.state.TargetVersion[t.name], 0))
		t.shards, t.hotKeys, t.unreleased = nil, nil, nil
	}
	for _, name := range slices.Sorted(maps.Keys(g.state.Table.Workloads)) {
		for n, s := range g.state.Table.Workloads[name].Shards {
			id := ownership.ID{Workload: name, Shard: int32(n)}
			if t := g.targets[s.Owner]; t != nil && s.Active() {
				t.shards = append(t.shards, provider.ShardEpoch{Workload: name, Shard: id.Shard, Epoch: s.Epoch})
			}
			if t := g.targets[s.PreviousOwner]; t != nil && s.UnreleasedEpoch != 0 {
				r := ownership.ReleasedShard{ID: id, Epoch: s.UnreleasedEpoch}
				t.unreleased = append(t.unreleased, old[r].update(now, r, s.PreviousLost, t.version))
			}
		}
	}
	g.sortedTargets, g.unreleasedTargets = g.sortedTargets[:0], g.unreleasedTargets[:0]
	for _, name := range slices.Sorted(maps.Keys(g.targets)) {
		t := g.targets[name]
		g.setHotKeys(t)
		t.updateLost()
		t.forgetReleased()
		g.sortedTargets = append(g.sortedTargets, t)
		if len(t.unreleased) > 0 {
			g.unreleasedTargets = append(g.unreleasedTargets, t)
		}
	}
}

// update returns the entry of a shard after a new state; w is the previous one or
// zero.
func (w unreleasedShard) update(now time.Duration, r ownership.ReleasedShard, lost bool, version uint64) unreleasedShard {
	if w.shard != r {
		w = unreleasedShard{shard: r, since: now}
	}
	if lost && !w.lost {
		w.lost, w.lostAt, w.lostVersion = true, now, version
	}
	return w
}

// updateLost finds since when the target has continuously had an unreleased shard
// that was moved because the target was lost. A shard that still waits has done so in
// all states since lostAt; waits that ended do not count, because granters may have
// renewed since.
func (t *target) updateLost() {
	t.lost = false
	for _, w := range t.unreleased {
		if w.lost && (!t.lost || w.lostAt < t.lostAt) {
			t.lost, t.lostAt, t.lostVersion = true, w.lostAt, w.lostVersion
		}
	}
}

// forgetReleased drops what is recorded for shards that no longer wait.
func (t *target) forgetReleased() {
	waits := make(map[ownership.ReleasedShard]bool, len(t.unreleased))
	for _, w := range t.unreleased {
		waits[w.shard] = true
	}
	maps.DeleteFunc(t.offeredAt, func(r ownership.ReleasedShard, _ time.Duration) bool { return !waits[r] })
	maps.DeleteFunc(t.acknowledged, func(r ownership.ReleasedShard, _ bool) bool { return !waits[r] })
}

// setHotKeys lists the split keys whose own or parent shard belongs to the target.
func (g *Granter) setHotKeys(t *target) {
	owned := map[ownership.ID]bool{}
	for _, s := range t.shards {
		if len(g.state.Table.Workloads[s.Workload].HotKeys) > 0 {
			owned[ownership.ID{Workload: s.Workload, Shard: s.Shard}] = true
		}
	}
	if len(owned) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(g.state.Table.Workloads)) {
		w := g.state.Table.Workloads[name]
		for _, key := range slices.Sorted(maps.Keys(w.HotKeys)) {
			n := w.HotKeys[key]
			if owned[ownership.ID{Workload: name, Shard: n}] || owned[ownership.ID{Workload: name, Shard: w.HashShard(key)}] {
				t.hotKeys = append(t.hotKeys, provider.HotKey{Workload: name, Key: key, Shard: n})
			}
		}
	}
}
