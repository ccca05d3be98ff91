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

// deadlyStream is the random stream of the caller of the request that ends targets.
const deadlyStream = 20

const (
	// deadlyPath is the path of the request that ends each target that runs it, and
	// deadlyKey its key.
	deadlyPath = "/safe/deadly"
	deadlyKey  = 4711
	// deadlyEvery is the mean time between two of its copies, downTime the time until a
	// target that ended runs again.
	deadlyEvery = 150 * time.Millisecond
	downTime    = time.Second
	// endsBefore is the number of targets that may end until the request is refused.
	// spreadTime is the time until all hosts know, and trials the number of targets that
	// end later: changes of the desired state cause trials, ten seconds apart.
	endsBefore = 3
	spreadTime = time.Second
	trials     = 2
)

// deadlyRequest observes the request that ends targets.
type deadlyRequest struct {
	restarts sync.WaitGroup

	mu   sync.Mutex
	ends []time.Time
}

// prepareDeadly makes the targets end under the deadly request.
func (w *testbed) prepareDeadly(ctx context.Context) {
	for _, t := range w.targets {
		t.mu.Lock()
		t.endsOn, t.end = deadlyPath, func() { w.endTarget(ctx, t) }
		t.mu.Unlock()
		w.restartTarget(t)
	}
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
	w.deadly.mu.Lock()
	w.deadly.ends = append(w.deadly.ends, time.Now())
	w.deadly.mu.Unlock()
	w.logEvent("%s ends under the deadly request", t.id)
	if err := t.proxy.RefuseConnections(true); err != nil {
		w.reportViolation("%s cannot stop listening: %v", t.id, err)
	}
	w.deadly.restarts.Go(func() {
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

// runDeadlyCaller sends copies of the deadly request to random hosts.
func (w *testbed) runDeadlyCaller(ctx context.Context, rnd *rand.Rand) {
	for n := 0; sleep(ctx, time.Duration(rnd.Int64N(int64(2*deadlyEvery)))); n++ {
		h := w.hosts[rnd.IntN(len(w.hosts))]
		nc, err := net.DialTimeout("tcp", h.callerAddr, time.Second)
		if err != nil {
			continue
		}
		w.sendTo(h, nc, bufio.NewReader(nc), request{id: fmt.Sprint("deadly-", n)}, deadlyPath, deadlyKey)
		_ = nc.Close() // one request only
	}
}

// checkDeadly checks that hosts stopped sending the deadly request on after the ends of
// endsBefore targets. It returns the number of ends.
func (w *testbed) checkDeadly() int {
	w.deadly.mu.Lock()
	defer w.deadly.mu.Unlock()
	if len(w.deadly.ends) < endsBefore {
		return len(w.deadly.ends)
	}
	late, known := 0, w.deadly.ends[endsBefore-1].Add(spreadTime)
	for _, at := range w.deadly.ends {
		if at.After(known) {
			late++
		}
	}
	if late > trials {
		w.reportViolation("%d targets ended under a request after %d had ended under it", late, endsBefore)
	}
	return len(w.deadly.ends)
}
