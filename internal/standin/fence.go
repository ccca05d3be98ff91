package standin

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragelock/boragelock/provider"
)

// maxNoncesPerGranter is how many nonces of a granter stay valid, so that one
// lost response does not cost a renewal.
const maxNoncesPerGranter = 4

type shardKey struct {
	workload string
	shard    int32
}

type hotKey struct{ workload, key string }

type issuedNonce struct {
	nonce    string
	issuedAt time.Duration
}

// fence tracks the shards and the lease that a target holds. The target's mutex
// guards it.
type fence struct {
	incarnation string
	shards      int32

	nonces       map[string][]issuedNonce
	noncesIssued int64
	version      uint64
	hasShards    bool
	ownedEpochs  map[shardKey]uint64
	hotKeyShards map[hotKey]int32
	leaseEnd     time.Duration
	// leasePeriod numbers the periods of uninterrupted lease. A run of an
	// earlier period must not take effect, because its shard may have had
	// another owner in between.
	leasePeriod int64
}

func newFence(incarnation string, shards int32) *fence {
	return &fence{
		incarnation: incarnation, shards: shards, nonces: map[string][]issuedNonce{},
		ownedEpochs: map[shardKey]uint64{}, hotKeyShards: map[hotKey]int32{},
	}
}

func (f *fence) issueNonce(granter string, now time.Duration) string {
	f.noncesIssued++
	n := fmt.Sprintf("%s-%d", f.incarnation, f.noncesIssued)
	list := append(f.nonces[granter], issuedNonce{nonce: n, issuedAt: now})
	if len(list) > maxNoncesPerGranter {
		list = list[len(list)-maxNoncesPerGranter:]
	}
	f.nonces[granter] = list
	return n
}

func (f *fence) nonceIssuedAt(granter, nonce string) (time.Duration, bool) {
	for _, n := range f.nonces[granter] {
		if n.nonce == nonce {
			return n.issuedAt, true
		}
	}
	return 0, false
}

// applyGrant applies a grant by the rules of docs/platform.md.
func (f *fence) applyGrant(g provider.Grant, now time.Duration) provider.GrantResult {
	at, ok := f.nonceIssuedAt(g.Granter, g.Nonce)
	end := at + time.Duration(g.LeaseMS)*time.Millisecond
	switch {
	case !ok || end <= now:
		return provider.GrantNonceRejected
	case g.Version < f.version:
		return provider.GrantStaleVersion
	case !g.HasShards && (g.Version != f.version || !f.hasShards):
		return provider.GrantNeedShards
	}
	if now >= f.leaseEnd {
		f.leasePeriod++
		f.leaseEnd = end
	}
	f.leaseEnd = max(f.leaseEnd, end)
	f.version = g.Version
	if g.HasShards {
		f.setShards(g)
	}
	return provider.GrantAccepted
}

func (f *fence) setShards(g provider.Grant) {
	f.hasShards = true
	f.ownedEpochs = make(map[shardKey]uint64, len(g.Shards))
	for _, s := range g.Shards {
		f.ownedEpochs[shardKey{s.Workload, s.Shard}] = s.Epoch
	}
	f.hotKeyShards = make(map[hotKey]int32, len(g.HotKeys))
	for _, h := range g.HotKeys {
		f.hotKeyShards[hotKey{h.Workload, h.Key}] = h.Shard
	}
}

// shardFor returns the shard that a key belongs to.
func (f *fence) shardFor(workload, key string) int32 {
	if s, ok := f.hotKeyShards[hotKey{workload, key}]; ok {
		return s
	}
	return int32(xxhash.Sum64String(key) % uint64(f.shards))
}

// mayStart reports whether a request may start: the target owns its key at its
// epoch under a valid lease.
func (f *fence) mayStart(r *run, now time.Duration) bool {
	epoch, ok := f.ownedEpochs[shardKey{r.workload, r.shard}]
	return ok && epoch == r.epoch && now < f.leaseEnd && f.shardFor(r.workload, r.key) == r.shard
}

// mayTakeEffect reports whether a run may take effect: its lease period still
// lasts. If its shard was dropped since, the shard is draining and the granter
// waits for the run.
func (f *fence) mayTakeEffect(r *run, now time.Duration) bool {
	return r.leasePeriod == f.leasePeriod && now < f.leaseEnd
}

// draining lists the shards of running requests that the target no longer owns
// at their epoch.
func (f *fence) draining(running map[*run]struct{}) []provider.ShardEpoch {
	var out []provider.ShardEpoch
	for r := range running {
		if !r.fenced || r.leasePeriod != f.leasePeriod {
			continue
		}
		if e, ok := f.ownedEpochs[shardKey{r.workload, r.shard}]; ok && e == r.epoch {
			continue
		}
		se := provider.ShardEpoch{Workload: r.workload, Shard: r.shard, Epoch: r.epoch}
		if !slices.Contains(out, se) {
			out = append(out, se)
		}
	}
	return out
}
