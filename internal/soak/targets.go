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

// probeStep is the distance between the keys whose holders are checked.
const probeStep = 499

// target is a stand-in target behind a fault proxy. A restart starts a new
// incarnation with the same identifier and no grants.
type target struct {
	id     string
	proxy  *faultproxy.Proxy
	server *httptest.Server

	mu sync.Mutex
	// incarnations are all stand-ins so far; the last one serves.
	incarnations []*standin.Target
	// down is set while the target does not run.
	down bool
	// endsOn and end are those of the behaviour of each incarnation.
	endsOn string
	end    func()
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) { t.current().ServeHTTP(w, r) }

func (t *target) current() *standin.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incarnations[len(t.incarnations)-1]
}

// runCount returns how often a request ran on all incarnations.
func (t *target) runCount(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, x := range t.incarnations {
		n += x.RunCount(id)
	}
	return n
}

// behaviour returns the behaviour of a target that states a limit, or none.
func (t *target) behaviour(requestLimit string) standin.Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return standin.Behaviour{ServiceTime: targetServiceTime, EndsOn: t.endsOn, End: t.end, RequestLimit: requestLimit}
}

func (t *target) startIncarnation() {
	x := standin.NewTarget(t.id, targetSlots, true)
	x.SetBehaviour(t.behaviour(""))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.incarnations = append(t.incarnations, x)
}

const (
	targetSlots = 4
	// targetServiceTime is the service time of a request at a target.
	targetServiceTime = 15 * time.Millisecond
)

// addTarget starts a target and writes its record.
func (w *testbed) addTarget(ctx context.Context, i int) error {
	t := &target{id: fmt.Sprint("t", i)}
	if w.cfg.Fatal {
		t.endsOn, t.end = fatalPath, func() { w.endTarget(ctx, t) }
	}
	t.startIncarnation()
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

// announce writes the record of the current incarnation of a target to the store.
func (w *testbed) announce(t *target) {
	t.mu.Lock()
	born := len(t.incarnations)
	t.mu.Unlock()
	w.store.Put(platform.TopicTargets, t.id, map[string]any{
		"service": workload, "address": t.proxy.Addr(), "zone": "d0", "slots": targetSlots, "state": "ready",
		"cold-left-s": 0, "seq": born, "born": born,
	})
}

// restartTarget starts a new incarnation of a target and closes its connections.
func (w *testbed) restartTarget(t *target) {
	t.startIncarnation()
	t.server.CloseClientConnections()
	w.announce(t)
}

// proxy starts a fault proxy in front of a server.
func (w *testbed) proxy(ctx context.Context, s *httptest.Server) (*faultproxy.Proxy, error) {
	p, err := faultproxy.New(faultproxy.Options{Upstream: strings.TrimPrefix(s.URL, "http://"), DropOnReset: true})
	if err != nil {
		return nil, err
	}
	go func() { _ = p.Serve(ctx) }() // ends with the context
	return p, nil
}

// holders returns the targets that hold a key.
func (w *testbed) holders(key int) (ids []string) {
	for _, t := range w.targets {
		if t.current().Holds(key) {
			ids = append(ids, t.id)
		}
	}
	return ids
}

// watchHolders checks that no two targets hold the same key.
func (w *testbed) watchHolders(ctx context.Context) {
	for sleep(ctx, 10*time.Millisecond) {
		for key := 0; key < 65536; key += probeStep {
			if ids := w.holders(key); len(ids) > 1 {
				w.reportViolation("key %d is held by %v", key, ids)
			}
		}
	}
}

// sleep waits for d. It returns false when the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
