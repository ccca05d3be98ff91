package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/faultproxy"
	"github.com/boragelock/boragelock/platform"
	"github.com/boragelock/boragelock/platform/standin"
)

// probeStep is the distance of the keys at which holders are compared.
const probeStep = 499

// target is a stand-in target behind a fault proxy. It may start anew under its
// identifier, and then has forgotten its grants.
type target struct {
	id     string
	proxy  *faultproxy.Proxy
	server *httptest.Server

	mu sync.Mutex
	// runs are the instances; the last one answers.
	runs []*standin.Target
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.now().ServeHTTP(w, r) }

func (t *target) now() *standin.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[len(t.runs)-1]
}

// ran returns how often a request ran on any instance.
func (t *target) ran(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, x := range t.runs {
		n += x.RunCount(id)
	}
	return n
}

func (t *target) startInstance(work time.Duration) {
	x := standin.NewTarget(t.id, targetSlots, true)
	x.SetBehaviour(standin.Behaviour{ServiceTime: work})
	t.mu.Lock()
	t.runs = append(t.runs, x)
	t.mu.Unlock()
}

const (
	targetSlots = 4
	// targetWork is the time of a request at a target.
	targetWork = 15 * time.Millisecond
)

// addTarget starts a target and announces it.
func (w *world) addTarget(ctx context.Context, i int) error {
	t := &target{id: fmt.Sprint("t", i)}
	t.startInstance(targetWork)
	t.server = httptest.NewServer(t)
	w.closers = append(w.closers, func() { t.server.CloseClientConnections(); t.server.Close() })
	p, err := w.proxy(ctx, t.server)
	if err != nil {
		return err
	}
	t.proxy = p
	w.targets = append(w.targets, t)
	w.announce(t)
	return nil
}

// announce writes the record of a target's present instance.
func (w *world) announce(t *target) {
	t.mu.Lock()
	born := len(t.runs)
	t.mu.Unlock()
	w.store.Put(platform.TopicTargets, t.id, map[string]any{
		"service": workload, "address": t.proxy.Addr(), "zone": "d0", "slots": targetSlots, "state": "ready",
		"cold-left-s": 0, "seq": born, "born": born,
	})
}

// restart replaces the instance of a target; its connections end.
func (w *world) restart(t *target) {
	t.startInstance(targetWork)
	t.server.CloseClientConnections()
	w.announce(t)
}

// proxy starts a fault proxy before a server.
func (w *world) proxy(ctx context.Context, s *httptest.Server) (*faultproxy.Proxy, error) {
	p, err := faultproxy.New(faultproxy.Options{Upstream: strings.TrimPrefix(s.URL, "http://"), DropOnReset: true})
	if err != nil {
		return nil, err
	}
	go func() { _ = p.Serve(ctx) }() // ends with the context
	return p, nil
}

// holders returns the targets that hold a key.
func (w *world) holders(key int) (ids []string) {
	for _, t := range w.targets {
		if t.now().Holds(key) {
			ids = append(ids, t.id)
		}
	}
	return ids
}

// watchHolders checks that no key is held twice.
func (w *world) watchHolders(ctx context.Context) {
	for every(ctx, 10*time.Millisecond) {
		for key := 0; key < 65536; key += probeStep {
			if ids := w.holders(key); len(ids) > 1 {
				w.broken("key %d is held by %v", key, ids)
			}
		}
	}
}

// every waits for a period and reports whether the context goes on.
func every(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
