package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// fatalStream is the random stream of the caller of the request that ends targets.
const fatalStream = 20

const (
	// fatalPath is the path of the request that ends each target that runs it, and
	// fatalKey its key.
	fatalPath = "/safe/fatal"
	fatalKey  = 4711
	// fatalEvery is the mean time between two of its copies, downTime the time until a
	// target that ended runs again.
	fatalEvery = 150 * time.Millisecond
	downTime   = time.Second
	// endsBefore is the number of targets that may end until the request is refused.
	// spreadTime is the time until all hosts know, and trials the number of targets that
	// end later: changes of the desired state cause trials, ten seconds apart.
	endsBefore = 3
	spreadTime = time.Second
	trials     = 2
	// sustainTime is how long copies of the request go on after the ends that a run asks
	// for, so that a host which does not refuse them ends further targets.
	sustainTime = 3 * time.Second
)

// fatalRequest observes the request that ends targets.
type fatalRequest struct {
	restarts sync.WaitGroup

	mu   sync.Mutex
	ends []time.Time
}

// sustained reports whether n targets have ended, the last of them sustainTime ago.
func (f *fatalRequest) sustained(n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return n == 0 || len(f.ends) >= n && time.Since(f.ends[n-1]) >= sustainTime
}

// endTarget ends a target: it refuses connections until a new incarnation starts.
func (w *testbed) endTarget(ctx context.Context, t *target) {
	t.mu.Lock()
	ending := !t.down
	t.down = true
	t.mu.Unlock()
	if !ending {
		return
	}
	w.fatal.mu.Lock()
	w.fatal.ends = append(w.fatal.ends, time.Now())
	w.fatal.mu.Unlock()
	w.logEvent("%s ends under the fatal request", t.id)
	if err := t.proxy.RefuseConnections(true); err != nil {
		w.reportViolation("%s cannot stop listening: %v", t.id, err)
	}
	w.fatal.restarts.Go(func() {
		t.server.CloseClientConnections()
		sleep(ctx, downTime)
		if err := t.proxy.RefuseConnections(false); err != nil {
			w.reportViolation("%s cannot listen again: %v", t.id, err)
		}
		t.mu.Lock()
		t.down = false
		t.mu.Unlock()
		w.restartTarget(t)
	})
}

// runFatalCaller sends copies of the fatal request to random hosts.
func (w *testbed) runFatalCaller(ctx context.Context, rnd *rand.Rand) {
	for n := 0; sleep(ctx, time.Duration(rnd.Int64N(int64(2*fatalEvery)))); n++ {
		h := w.hosts[rnd.IntN(len(w.hosts))]
		nc, err := net.DialTimeout("tcp", h.callerAddr, time.Second)
		if err != nil {
			continue
		}
		w.sendTo(h, nc, bufio.NewReader(nc), request{id: fmt.Sprint("fatal-", n)}, fatalPath, fatalKey)
		_ = nc.Close() // one request only
	}
}

// checkFatal checks that hosts stopped sending the fatal request on after the ends of
// endsBefore targets. What they know is lost when no host runs (docs/fleet.md), so that
// the ends before and after such a time are counted apart. It returns the number of ends.
func (w *testbed) checkFatal() int {
	w.fatal.mu.Lock()
	defer w.fatal.mu.Unlock()
	rest := w.fatal.ends
	for _, at := range w.disturbances.timesWithoutHost() {
		n := firstNotBefore(rest, at)
		w.checkEnds(rest[:n])
		rest = rest[n:]
	}
	w.checkEnds(rest)
	return len(w.fatal.ends)
}

// checkEnds is checkFatal for ends between which a host ran at any time.
func (w *testbed) checkEnds(ends []time.Time) {
	if len(ends) < endsBefore {
		return
	}
	known := ends[endsBefore-1].Add(spreadTime)
	if late := len(ends) - firstNotBefore(ends, known); late > trials {
		w.reportViolation("%d targets ended under a request after %d had ended under it", late, endsBefore)
	}
}
