package gateway

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
)

const (
	// maxOwnerWait is the longest wait for the owner of a key.
	maxOwnerWait = 2 * time.Second
	// expectedHandover is the expected remaining time of a handover of keys between
	// two targets that both respond: requests in flight for the keys finish first.
	expectedHandover = 150 * time.Millisecond
	// lapsedOwnerPause is how long a host without a leader sends no request for the keys of a
	// range to an owner that refused one: only a leader can grant the keys again.
	lapsedOwnerPause = time.Second
)

// owner returns the target that owns the request's key. It waits while the key
// is handed over, if the handover can finish before the deadline.
func (c *call) owner(ctx context.Context) (string, *Failure) {
	for start := boottime.Now(); ; {
		changed := c.g.cfg.Deployment.Changed()
		snap := c.g.syncSnapshot()
		if failure := c.checkQuarantine(); failure != nil {
			return "", failure
		}
		now := boottime.Now()
		ownerReadyAt := now + expectedHandover
		if r := c.g.cfg.Deployment.RangeMap(c.workload); r != nil {
			id, ready, readyAt := r.Owner(c.req.Key)
			c.ownership = ownedRange{workload: c.workload, owner: id}
			if x, ok := r.RangeOf(c.req.Key); ok {
				c.ownership.from = x.From
			}
			lapsedUntil := c.lapsedUntil(now)
			if t := snap.Targets[id]; ready && t != nil && snap.Usable(t) && now >= lapsedUntil {
				return id, nil
			}
			if !ready {
				ownerReadyAt = max(readyAt, ownerReadyAt)
			}
			ownerReadyAt = max(ownerReadyAt, lapsedUntil)
		}
		latestReady := c.deadline - c.g.serviceTime(now, c.route.Name)/2
		if now-start >= maxOwnerWait || ownerReadyAt > latestReady {
			c.g.metrics.refusals.Add(string(CodeNoOwner), 1)
			c.g.cfg.Log.Request("no_owner", c.req.ID, "workload", c.workload, "key", c.req.Key,
				"waited_ms", (now - start).Milliseconds(), "back_ms", (ownerReadyAt - now).Milliseconds())
			return "", newRefusal(CodeNoOwner, ownerReadyAt-now)
		}
		// Until then a handover could still finish in time.
		timer := time.NewTimer(min(start+maxOwnerWait, latestReady-expectedHandover+time.Millisecond) - now)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return "", &Failure{Code: CodeTimeout, Status: http.StatusGatewayTimeout, Err: ctx.Err()}
		}
		timer.Stop()
	}
}

// ownedRange identifies a key range and its owner.
type ownedRange struct {
	workload, owner string
	from            int
}

// lapsedUntil returns until when requests for keys are not sent to their owner, since it
// does not hold them and nobody can grant them.
func (c *call) lapsedUntil(now time.Duration) time.Duration {
	if c.g.cfg.Deployment.HasLeader() {
		return now
	}
	return c.g.lapsedOwners.until(now, c.ownership)
}

// lapsedOwners holds the ranges of which a request was refused by their owner while the host
// had no leader. A host may have none for as long as the leader reaches the targets, so that
// they are asked again.
type lapsedOwners struct {
	mu        sync.Mutex
	pauseEnds map[ownedRange]time.Duration
}

// note records that an owner refused a request for keys of a range.
func (l *lapsedOwners) note(now time.Duration, r ownedRange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.pauseEnds, func(_ ownedRange, until time.Duration) bool { return now >= until })
	if l.pauseEnds == nil {
		l.pauseEnds = map[ownedRange]time.Duration{}
	}
	l.pauseEnds[r] = now + lapsedOwnerPause
}

// until returns the end of the pause of a range, or now.
func (l *lapsedOwners) until(now time.Duration, r ownedRange) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(now, l.pauseEnds[r])
}
