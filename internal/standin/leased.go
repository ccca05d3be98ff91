package standin

import "github.com/boragelock/boragelock/internal/boottime"

// HoldsLease reports whether the target owns shards under a valid lease.
func (t *Target) HoldsLease() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.fence.ownedEpochs) > 0 && boottime.Now() < t.fence.leaseEnd
}
