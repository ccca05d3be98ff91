package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/boragelock/boragelock/internal/faultproxy"
	"github.com/boragelock/boragelock/platform/standin"
)

// fault is one kind of fault. It acts, and returns when it is over.
type fault struct {
	name string
	play func(w *world, ctx context.Context, d dice)
}

// dice are the random numbers of one fault, drawn before it starts so that the
// order in which faults run does not change them.
type dice struct {
	host, target int
	length       time.Duration
	way          int
}

// faults are drawn with equal chance.
var faults = []fault{
	{"pause host", func(w *world, ctx context.Context, d dice) {
		h := w.hosts[d.host]
		h.signal(syscall.SIGSTOP)
		every(ctx, d.length)
		h.signal(syscall.SIGCONT)
	}},
	{"kill host", func(w *world, ctx context.Context, d dice) {
		w.replace(ctx, w.hosts[d.host], syscall.SIGKILL, d.length/2)
	}},
	{"stop host", func(w *world, ctx context.Context, d dice) {
		w.replace(ctx, w.hosts[d.host], syscall.SIGTERM, d.length/4)
	}},
	{"reload host", func(w *world, _ context.Context, d dice) { w.hosts[d.host].signal(syscall.SIGHUP) }},
	{"cut host from store", func(w *world, ctx context.Context, d dice) {
		during(ctx, w.hosts[d.host].store, cutOf(d.way), d.length)
	}},
	{"store misbehaves", func(w *world, ctx context.Context, d dice) {
		w.store.SetFault([]standin.Fault{standin.Unavailable, standin.Silent, standin.LostResponses}[d.way%3])
		every(ctx, d.length)
		w.store.SetFault(standin.NoFault)
	}},
	{"cut target", func(w *world, ctx context.Context, d dice) {
		during(ctx, w.targets[d.target].proxy, cutOf(d.way), d.length)
	}},
	{"delay target", func(w *world, ctx context.Context, d dice) {
		// Within the transit time that holds are counted with.
		during(ctx, w.targets[d.target].proxy, faultproxy.Faults{UpDelay: 120 * time.Millisecond, DownDelay: 120 * time.Millisecond}, d.length)
	}},
	{"lose answers of target", func(w *world, ctx context.Context, d dice) {
		during(ctx, w.targets[d.target].proxy, faultproxy.Faults{LoseAnswers: 5 + d.way}, d.length)
	}},
	{"silence connections of target", func(w *world, _ context.Context, d dice) { w.targets[d.target].proxy.Silence() }},
	{"restart target", func(w *world, _ context.Context, d dice) { w.restart(w.targets[d.target]) }},
	{"change desired state", func(w *world, _ context.Context, _ dice) { w.change() }},
}

func cutOf(way int) faultproxy.Faults {
	return faultproxy.Faults{Cut: []faultproxy.Cut{faultproxy.CutReset, faultproxy.CutBoth, faultproxy.CutUp, faultproxy.CutDown}[way%4]}
}

// during sets the faults of a proxy for a while.
func during(ctx context.Context, p *faultproxy.Proxy, f faultproxy.Faults, d time.Duration) {
	p.SetFaults("", f)
	every(ctx, d)
	p.SetFaults("", faultproxy.Faults{})
}

// replace ends the process of a host and starts another one. Two faults that want
// to replace the same host follow each other.
func (w *world) replace(ctx context.Context, h *host, s syscall.Signal, pause time.Duration) {
	w.replacing[h].Lock()
	defer w.replacing[h].Unlock()
	h.signal(s)
	// A paused process does not stop by itself.
	if !h.wait((stopLimit+2)*time.Second + longest) {
		w.broken("%s did not end after signal %v", h.name, s)
		h.kill()
	}
	every(ctx, pause)
	if err := w.start(h); err != nil {
		w.broken("%s cannot be started again: %v", h.name, err)
	}
}

const (
	// shortest and longest bound the length of a fault; an outage of the store is
	// to be borne for 9 s.
	shortest, longest = 300 * time.Millisecond, 6 * time.Second
	// gap is the longest pause between the starts of two faults, so that some
	// overlap.
	gap = 1500 * time.Millisecond
)

// playFaults draws and plays faults until the context ends, and waits for those
// under way.
func (w *world) playFaults(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		f := faults[w.rnd.IntN(len(faults))]
		d := dice{
			host: w.rnd.IntN(len(w.hosts)), target: w.rnd.IntN(len(w.targets)), way: w.rnd.IntN(12),
			length: shortest + time.Duration(w.rnd.Int64N(int64(longest-shortest))),
		}
		if !every(ctx, time.Duration(w.rnd.Int64N(int64(gap)))) {
			return
		}
		w.faults++
		w.note("%s, host %d, target %d, way %d, %v", f.name, d.host, d.target, d.way, d.length.Round(time.Millisecond))
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.play(w, ctx, d)
		}()
	}
}
