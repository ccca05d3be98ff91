package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/provider"
)

// target is what is known of one target with keyed work.
type target struct {
	name    string
	fencing bool
	// version is the target's version in the state.
	version uint64
	// shards are those that it holds actively in the state, hot the split keys
	// that concern them.
	shards []provider.ShardEpoch
	hot    []provider.HotKey
	// waiting are the shards that moved away and wait for release.
	waiting []waitingShard
	// lost says that some of them were taken as lost: since lostAt, with the
	// version lostVersion, each granter that knows the state renews nothing.
	lost        bool
	lostAt      time.Duration
	lostVersion uint64
	// floor is the lowest version that may be granted.
	floor uint64
	// words holds the answers of other granters to StopRenew.
	words map[memberKey]word
	// askedAt is when StopRenew was last sent.
	askedAt time.Duration
	asked   bool
	// offered holds the releases that were handed out, with the time.
	offered map[ownership.ReleasedShard]time.Duration
	// acked holds the waiting shards that the target has given up itself.
	acked map[ownership.ReleasedShard]bool

	renewal renewal
	// otherAt is the last renewal that a granter of higher rank reported.
	otherAt time.Duration
	// permits holds, per home, the last permit for a target without fencing.
	permits map[string]permit
}

// waitingShard is a shard that waits for the release of its former owner.
type waitingShard struct {
	released ownership.ReleasedShard
	// since is when the wait was first published here.
	since time.Duration
	// lost says that the shard was taken as lost; lostAt is when that was first
	// published here, lostVersion the target's version then.
	lost        bool
	lostAt      time.Duration
	lostVersion uint64
}

// word is another granter's promise about a target.
type word struct {
	version uint64
	// at is when the answer arrived, bound when the leases that it speaks of
	// have ended.
	at, bound time.Duration
	// drained is StopRenewAnswer.Drained.
	drained bool
}

// permit is a home's right to send to a target without fencing.
type permit struct {
	until   time.Duration
	drained uint64
}

// index rebuilds what the targets hold when the table or the targets changed.
func (g *Granter) index(now time.Duration) {
	last := int64(0)
	for _, v := range g.state.TargetVersion {
		last = max(last, v)
	}
	for name, t := range g.state.Config.Targets {
		w := g.state.Config.Workloads[t.Workload]
		if t.Domain == g.self.Domain && w.Keyed && g.targets[name] == nil {
			g.targets[name] = &target{
				name: name, fencing: w.Fencing, otherAt: now,
				words: map[memberKey]word{}, offered: map[ownership.ReleasedShard]time.Duration{},
				acked:   map[ownership.ReleasedShard]bool{},
				permits: map[string]permit{}, renewal: renewal{nextAt: now},
			}
			g.indexed = -1
		}
	}
	if last == g.indexed {
		return
	}
	g.indexed = last
	g.rebuild(now)
}

func (g *Granter) rebuild(now time.Duration) {
	old := map[ownership.ReleasedShard]waitingShard{}
	for _, t := range g.targets {
		for _, w := range t.waiting {
			old[w.released] = w
		}
		t.version = uint64(max(g.state.TargetVersion[t.name], 0))
		t.shards, t.hot, t.waiting = nil, nil, nil
	}
	for _, name := range slices.Sorted(maps.Keys(g.state.Table.Workloads)) {
		for n, s := range g.state.Table.Workloads[name].Shards {
			id := ownership.ID{Workload: name, Shard: int32(n)}
			if t := g.targets[s.Owner]; t != nil && s.Active() {
				t.shards = append(t.shards, provider.ShardEpoch{Workload: name, Shard: id.Shard, Epoch: s.Epoch})
			}
			if t := g.targets[s.PreviousOwner]; t != nil && s.UnreleasedEpoch != 0 {
				r := ownership.ReleasedShard{ID: id, Epoch: s.UnreleasedEpoch}
				t.waiting = append(t.waiting, old[r].follow(now, r, s.PreviousLost, t.version))
			}
		}
	}
	g.order, g.waiting = g.order[:0], g.waiting[:0]
	for _, name := range slices.Sorted(maps.Keys(g.targets)) {
		t := g.targets[name]
		g.setHotKeys(t)
		t.setLost()
		t.forget()
		g.order = append(g.order, t)
		if len(t.waiting) > 0 {
			g.waiting = append(g.waiting, t)
		}
	}
}

// follow returns the wait of a shard after a new state; w is the one before or
// zero.
func (w waitingShard) follow(now time.Duration, r ownership.ReleasedShard, lost bool, version uint64) waitingShard {
	if w.released != r {
		w = waitingShard{released: r, since: now}
	}
	if lost && !w.lost {
		w.lost, w.lostAt, w.lostVersion = true, now, version
	}
	return w
}

// setLost finds since when the target has had a shard taken as lost without a
// break. A shard that still waits has done so in all states since lostAt; the
// waits that have ended say nothing, because granters may have renewed since.
func (t *target) setLost() {
	t.lost = false
	for _, w := range t.waiting {
		if w.lost && (!t.lost || w.lostAt < t.lostAt) {
			t.lost, t.lostAt, t.lostVersion = true, w.lostAt, w.lostVersion
		}
	}
}

// forget drops what is kept for shards that no longer wait.
func (t *target) forget() {
	waits := make(map[ownership.ReleasedShard]bool, len(t.waiting))
	for _, w := range t.waiting {
		waits[w.released] = true
	}
	maps.DeleteFunc(t.offered, func(r ownership.ReleasedShard, _ time.Duration) bool { return !waits[r] })
	maps.DeleteFunc(t.acked, func(r ownership.ReleasedShard, _ bool) bool { return !waits[r] })
}

// setHotKeys lists the split keys whose own or parent shard the target holds.
func (g *Granter) setHotKeys(t *target) {
	held := map[ownership.ID]bool{}
	for _, s := range t.shards {
		if len(g.state.Table.Workloads[s.Workload].HotKeys) > 0 {
			held[ownership.ID{Workload: s.Workload, Shard: s.Shard}] = true
		}
	}
	if len(held) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(g.state.Table.Workloads)) {
		w := g.state.Table.Workloads[name]
		for _, key := range slices.Sorted(maps.Keys(w.HotKeys)) {
			n := w.HotKeys[key]
			if held[ownership.ID{Workload: name, Shard: n}] || held[ownership.ID{Workload: name, Shard: w.HashShard(key)}] {
				t.hot = append(t.hot, provider.HotKey{Workload: name, Key: key, Shard: n})
			}
		}
	}
}
