package standin

import "github.com/boragelock/boragelock/internal/boottime"

// Leased reports whether the target holds shards under a valid lease.
func (t *Target) Leased() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.fence.held) > 0 && boottime.Now() < t.fence.leaseEnd
}
