package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/boragelock/boragelock/platform/standin"
)

// restoreStream is the random stream of the restores of the store, which leaves the faults
// of a seed as they are.
const restoreStream = 20

// endStream is the random stream that decides whether all hosts end with a restore.
const endStream = 21

// Timing of restores.
const (
	// maxCopyAge bounds the age of the copy from which the store returns.
	maxCopyAge = 8 * time.Second
	// maxRestoreOutage bounds the time for which the store is away before it.
	maxRestoreOutage = 2 * time.Second
	// maxRewriteDelay bounds the time until others have written again what was lost.
	maxRewriteDelay = 2 * time.Second
)

// restoreStore returns the store to older copies until the context ends. Half of the
// restores follow shortly on the one before.
func (w *testbed) restoreStore(ctx context.Context, rnd, ends *rand.Rand) {
	upTo := func(d time.Duration) time.Duration { return time.Duration(rnd.Int64N(int64(d))) }
	for {
		c := w.store.Copy()
		age, outage, delay, again := upTo(maxCopyAge), upTo(maxRestoreOutage), upTo(maxRewriteDelay), rnd.IntN(2) == 0
		if !sleep(ctx, age) {
			return
		}
		ended := func() {}
		if w.cfg.AllHostsEnd && ends.IntN(4) == 0 {
			ended = w.killAllHosts(ctx)
		}
		w.restoreOnce(c, age, outage, delay)
		if again {
			w.restoreOnce(c, age+outage, outage/4, delay)
		}
		ended()
	}
}

// killAllHosts kills the processes of all hosts, which start again. The returned function
// waits until they have.
func (w *testbed) killAllHosts(ctx context.Context) (wait func()) {
	w.logEvent("kill all hosts")
	var wg sync.WaitGroup
	for _, h := range w.hosts {
		wg.Go(func() { w.replaceProcess(ctx, h, syscall.SIGKILL, 0) })
	}
	return wg.Wait
}

// restoreOnce returns the store to a copy after an outage. The desired state and the
// announcements are written again after a delay.
func (w *testbed) restoreOnce(c standin.Copy, age, outage, delay time.Duration) {
	w.logEvent("restore to a copy of %v ago after an outage of %v, written again after %v",
		age.Round(time.Millisecond), outage.Round(time.Millisecond), delay.Round(time.Millisecond))
	w.store.SetFault(standin.Unavailable)
	time.Sleep(outage)
	w.store.Restore(c)
	w.store.SetFault(standin.NoFault)
	time.Sleep(delay)
	w.writeDesiredState()
	for _, t := range w.targets {
		w.announce(t)
	}
}
