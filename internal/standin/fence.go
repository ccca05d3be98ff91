package standin

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragelock/boragelock/provider"
)

// keptNonces is how many nonces of a granter stay valid, so that one lost
// answer does not cost a renewal.
const keptNonces = 4

type shardKey struct {
	workload string
	shard    int32
}

type hotKey struct{ workload, key string }

type issuedNonce struct {
	nonce string
	at    time.Duration
}

// fence is the part of a target that decides what it holds. It is guarded by
// the target's mutex.
type fence struct {
	incarnation string
	shards      int32

	nonces   map[string][]issuedNonce
	count    int64
	version  uint64
	hasList  bool
	held     map[shardKey]uint64
	hot      map[hotKey]int32
	leaseEnd time.Duration
	// session counts the leases without interruption. A run of an earlier
	// session must not take effect, because its shard may have had another
	// owner in between.
	session int64
}

func newFence(incarnation string, shards int32) *fence {
	return &fence{
		incarnation: incarnation, shards: shards, nonces: map[string][]issuedNonce{},
		held: map[shardKey]uint64{}, hot: map[hotKey]int32{},
	}
}

func (f *fence) issue(granter string, now time.Duration) string {
	f.count++
	n := fmt.Sprintf("%s-%d", f.incarnation, f.count)
	list := append(f.nonces[granter], issuedNonce{nonce: n, at: now})
	if len(list) > keptNonces {
		list = list[len(list)-keptNonces:]
	}
	f.nonces[granter] = list
	return n
}

func (f *fence) issuedAt(granter, nonce string) (time.Duration, bool) {
	for _, n := range f.nonces[granter] {
		if n.nonce == nonce {
			return n.at, true
		}
	}
	return 0, false
}

// grant applies a grant by the rules of docs/platform.md.
func (f *fence) grant(g provider.Grant, now time.Duration) provider.GrantResult {
	at, ok := f.issuedAt(g.Granter, g.Nonce)
	end := at + time.Duration(g.LeaseMS)*time.Millisecond
	switch {
	case !ok || end <= now:
		return provider.GrantNonceRejected
	case g.Version < f.version:
		return provider.GrantStaleVersion
	case !g.HasShards && (g.Version != f.version || !f.hasList):
		return provider.GrantNeedShards
	}
	if now >= f.leaseEnd {
		f.session++
		f.leaseEnd = end
	}
	f.leaseEnd = max(f.leaseEnd, end)
	f.version = g.Version
	if g.HasShards {
		f.replace(g)
	}
	return provider.GrantAccepted
}

func (f *fence) replace(g provider.Grant) {
	f.hasList = true
	f.held = make(map[shardKey]uint64, len(g.Shards))
	for _, s := range g.Shards {
		f.held[shardKey{s.Workload, s.Shard}] = s.Epoch
	}
	f.hot = make(map[hotKey]int32, len(g.HotKeys))
	for _, h := range g.HotKeys {
		f.hot[hotKey{h.Workload, h.Key}] = h.Shard
	}
}

// locate returns the shard that a key belongs to.
func (f *fence) locate(workload, key string) int32 {
	if s, ok := f.hot[hotKey{workload, key}]; ok {
		return s
	}
	return int32(xxhash.Sum64String(key) % uint64(f.shards))
}

// mayStart reports whether a request may start to run.
func (f *fence) mayStart(r *run, now time.Duration) bool {
	epoch, ok := f.held[shardKey{r.workload, r.shard}]
	return ok && epoch == r.epoch && now < f.leaseEnd && f.locate(r.workload, r.key) == r.shard
}

// mayTakeEffect reports whether a run that started in a session may take
// effect. Its shard may have been dropped since: it is then draining, and the
// granter waits for it.
func (f *fence) mayTakeEffect(r *run, now time.Duration) bool {
	return r.session == f.session && now < f.leaseEnd
}

// draining lists the running shards that are not held at their epoch any more.
func (f *fence) draining(running map[*run]struct{}) []provider.ShardEpoch {
	var out []provider.ShardEpoch
	for r := range running {
		if !r.fenced || r.session != f.session {
			continue
		}
		if e, ok := f.held[shardKey{r.workload, r.shard}]; ok && e == r.epoch {
			continue
		}
		se := provider.ShardEpoch{Workload: r.workload, Shard: r.shard, Epoch: r.epoch}
		if !slices.Contains(out, se) {
			out = append(out, se)
		}
	}
	return out
}
