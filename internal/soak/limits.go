package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/faultproxy"
	"github.com/boragelock/boragelock/platform/standin"
)

// The users' rule on limits of targets: from limitSettleTime after a target first stated
// one, it gets at most 1.5 times the limit, and limitSlack requests, in limitWindow.
const (
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitSlack      = 5
)

// Durations of the times in which a target states a limit, and between them.
const (
	minLimitTime, maxLimitTime = 5 * time.Second, 10 * time.Second
	maxLimitGap                = 2 * time.Second
)

// statedLimits are the limits that targets state, in requests per second of all hosts.
var statedLimits = []float64{0.5, 2, 10}

// limitEpisode is a time in which an incarnation of a target states a limit.
type limitEpisode struct {
	target      *target
	incarnation *standin.Target
	perSecond   float64
	from, to    time.Time
}

// disturbances records what excuses requests beyond a limit, or to a target that ends.
type disturbances struct {
	mu sync.Mutex
	// running counts the processes of hosts. withoutHost holds when the last one ended.
	running     int
	withoutHost []time.Time
	// hostsBegan holds when a host started or was resumed. It does not know the limits
	// of targets yet, or sends what it had permission for.
	hostsBegan []time.Time
	// held holds the times in which a proxy delayed requests, which then arrive together.
	held map[*faultproxy.Proxy][][2]time.Time
}

func (d *disturbances) noteHostBegan() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hostsBegan = append(d.hostsBegan, time.Now())
}

// noteProcessStarted and noteProcessEnded count the processes of hosts.
func (d *disturbances) noteProcessStarted() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running++
}

func (d *disturbances) noteProcessEnded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running--; d.running == 0 {
		d.withoutHost = append(d.withoutHost, time.Now())
	}
}

// timesWithoutHost returns when the last running host ended, in ascending order.
func (d *disturbances) timesWithoutHost() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.withoutHost)
}

func (d *disturbances) noteHeld(p *faultproxy.Proxy, from, to time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.held == nil {
		d.held = map[*faultproxy.Proxy][][2]time.Time{}
	}
	d.held[p] = append(d.held[p], [2]time.Time{from, to})
}

// hostsBeganBetween returns how many hosts started or were resumed between two times.
func (d *disturbances) hostsBeganBetween(from, to time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, at := range d.hostsBegan {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// heldBetween reports whether a proxy delayed requests between two times.
func (d *disturbances) heldBetween(p *faultproxy.Proxy, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range d.held[p] {
		if x[0].Before(to) && x[1].After(from) {
			return true
		}
	}
	return false
}

// limitTargets makes some of the targets state limits by turns until the context ends.
func (w *testbed) limitTargets(ctx context.Context, targets []*target, rnd *rand.Rand) {
	for sleep(ctx, time.Duration(rnd.Int64N(int64(maxLimitGap)))) {
		w.limitTarget(ctx, targets[rnd.IntN(len(targets))], statedLimits[rnd.IntN(len(statedLimits))],
			minLimitTime+time.Duration(rnd.Int64N(int64(maxLimitTime-minLimitTime))))
	}
}

// limitTarget makes the current incarnation of a target state a limit for some time.
func (w *testbed) limitTarget(ctx context.Context, t *target, perSecond float64, d time.Duration) {
	w.logEvent("%s states a limit of %v a second for %v", t.id, perSecond, d.Round(time.Millisecond))
	x := t.current()
	e := limitEpisode{target: t, incarnation: x, perSecond: perSecond, from: time.Now()}
	x.SetBehaviour(t.behaviour(fmt.Sprint(perSecond)))
	sleep(ctx, d)
	e.to = time.Now()
	x.SetBehaviour(t.behaviour(""))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limitEpisodes = append(w.limitEpisodes, e)
}

// checkLimits checks that no target got more requests than its limit allows. It returns
// the number of checked windows.
func (w *testbed) checkLimits() (windows int) {
	for _, e := range w.limitEpisodes {
		windows += w.checkLimit(e)
	}
	return windows
}

func (w *testbed) checkLimit(e limitEpisode) (windows int) {
	arrivals := e.incarnation.Arrivals()
	stated := firstNotBefore(arrivals, e.from)
	if stated == len(arrivals) {
		return 0
	}
	settled := arrivals[stated].Add(targetServiceTime + limitSettleTime)
	for i := firstNotBefore(arrivals, settled); i < len(arrivals) && arrivals[i].Before(e.to); i++ {
		from, to := arrivals[i], arrivals[i].Add(limitWindow)
		if to.After(e.to) {
			to = e.to
		}
		if w.disturbances.heldBetween(e.target.proxy, from.Add(-requestTimeout), to) {
			continue
		}
		windows++
		// Each caller of a host that does not know the limit has one request in flight.
		unaware := w.cfg.Callers * w.disturbances.hostsBeganBetween(from.Add(-requestTimeout), to)
		allowed := limitFactor*e.perSecond*limitWindow.Seconds() + limitSlack + float64(unaware)
		if n := firstNotBefore(arrivals, to) - i; float64(n) > allowed {
			w.reportViolation("%s with a limit of %v a second got %d requests from %.2f to %.2f s, allowed %.0f",
				e.target.id, e.perSecond, n, from.Sub(w.startedAt).Seconds(), to.Sub(w.startedAt).Seconds(), allowed)
			return windows
		}
	}
	return windows
}

// firstNotBefore returns the index of the first time that is not before at.
func firstNotBefore(times []time.Time, at time.Time) int {
	i, _ := slices.BinarySearchFunc(times, at, time.Time.Compare)
	return i
}
