package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/boragelock/boragelock/internal/faultproxy"
	"github.com/boragelock/boragelock/platform/standin"
)

// fault is one kind of fault. inject returns when the fault is over.
type fault struct {
	name   string
	inject func(w *testbed, ctx context.Context, d faultParams)
}

// faultParams are the random parameters of one fault. injectFaults draws them
// before the fault starts, so that they do not depend on the order in which
// faults run.
type faultParams struct {
	host, target int
	duration     time.Duration
	variant      int
}

// faults lists the kinds of faults. Each has the same probability.
var faults = []fault{
	{"pause host", func(w *testbed, ctx context.Context, d faultParams) {
		h := w.hosts[d.host]
		h.signal(syscall.SIGSTOP)
		sleep(ctx, d.duration)
		h.signal(syscall.SIGCONT)
		w.disturbances.noteHostBegan()
	}},
	{"kill host", func(w *testbed, ctx context.Context, d faultParams) {
		w.replaceProcess(ctx, w.hosts[d.host], syscall.SIGKILL, d.duration/2)
	}},
	{"stop host", func(w *testbed, ctx context.Context, d faultParams) {
		w.replaceProcess(ctx, w.hosts[d.host], syscall.SIGTERM, d.duration/4)
	}},
	{"reload host", func(w *testbed, _ context.Context, d faultParams) { w.hosts[d.host].signal(syscall.SIGHUP) }},
	{"cut host from store", func(w *testbed, ctx context.Context, d faultParams) {
		withFaults(ctx, w.hosts[d.host].storeProxy, cutFault(d.variant), d.duration)
	}},
	{"store outage", func(w *testbed, ctx context.Context, d faultParams) {
		w.store.SetFault([]standin.Fault{standin.Unavailable, standin.Silent, standin.LostResponses}[d.variant%3])
		sleep(ctx, d.duration)
		w.store.SetFault(standin.NoFault)
	}},
	{"cut target", func(w *testbed, ctx context.Context, d faultParams) {
		w.holdRequests(ctx, w.targets[d.target].proxy, cutFault(d.variant), d.duration)
	}},
	{"delay target", func(w *testbed, ctx context.Context, d faultParams) {
		// The delay is within the transit time that key leases allow for.
		w.holdRequests(ctx, w.targets[d.target].proxy, faultproxy.Faults{UpDelay: 120 * time.Millisecond, DownDelay: 120 * time.Millisecond}, d.duration)
	}},
	{"lose responses of target", func(w *testbed, ctx context.Context, d faultParams) {
		withFaults(ctx, w.targets[d.target].proxy, faultproxy.Faults{LoseAnswers: 5 + d.variant}, d.duration)
	}},
	{"silence connections of target", func(w *testbed, _ context.Context, d faultParams) { w.targets[d.target].proxy.Silence() }},
	{"restart target", func(w *testbed, _ context.Context, d faultParams) { w.restartTarget(w.targets[d.target]) }},
	{"change desired state", func(w *testbed, _ context.Context, _ faultParams) { w.writeDesiredState() }},
}

func cutFault(variant int) faultproxy.Faults {
	return faultproxy.Faults{Cut: []faultproxy.Cut{faultproxy.CutReset, faultproxy.CutBoth, faultproxy.CutUp, faultproxy.CutDown}[variant%4]}
}

// withFaults sets the faults of a proxy for the duration d.
func withFaults(ctx context.Context, p *faultproxy.Proxy, f faultproxy.Faults, d time.Duration) {
	p.SetFaults("", f)
	sleep(ctx, d)
	p.SetFaults("", faultproxy.Faults{})
}

// holdRequests sets faults of the proxy of a target that delay requests to it.
func (w *testbed) holdRequests(ctx context.Context, p *faultproxy.Proxy, f faultproxy.Faults, d time.Duration) {
	from := time.Now()
	withFaults(ctx, p, f, d)
	w.disturbances.noteHeld(p, from, time.Now())
}

// replaceProcess stops the process of a host with a signal and starts another one
// after a pause. Concurrent replacements of the same host run one after the other.
func (w *testbed) replaceProcess(ctx context.Context, h *host, s syscall.Signal, pause time.Duration) {
	w.replaceLocks[h].Lock()
	defer w.replaceLocks[h].Unlock()
	h.signal(s)
	// A process that another fault paused stops only after it is resumed.
	if !h.waitForExit((stopLimit+2)*time.Second + maxFaultTime) {
		w.reportViolation("%s did not exit after signal %v", h.name, s)
		h.kill()
	}
	sleep(ctx, pause)
	if err := w.start(h); err != nil {
		w.reportViolation("%s failed to restart: %v", h.name, err)
	}
}

const (
	// minFaultTime and maxFaultTime bound the duration of a fault. The system
	// must tolerate an outage of the store for 9 s.
	minFaultTime, maxFaultTime = 300 * time.Millisecond, 6 * time.Second
	// maxStartGap limits the pause between the starts of two faults, so that some
	// faults overlap.
	maxStartGap = 1500 * time.Millisecond
)

// injectFaults injects random faults until the context ends, and waits for the
// active ones.
func (w *testbed) injectFaults(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		f := faults[w.faultRand.IntN(len(faults))]
		d := faultParams{
			host: w.faultRand.IntN(len(w.hosts)), target: w.faultRand.IntN(len(w.targets)), variant: w.faultRand.IntN(12),
			duration: minFaultTime + time.Duration(w.faultRand.Int64N(int64(maxFaultTime-minFaultTime))),
		}
		if !sleep(ctx, time.Duration(w.faultRand.Int64N(int64(maxStartGap)))) {
			return
		}
		w.faultCount++
		w.logEvent("%s, host %d, target %d, variant %d, %v", f.name, d.host, d.target, d.variant, d.duration.Round(time.Millisecond))
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.inject(w, ctx, d)
		}()
	}
}
