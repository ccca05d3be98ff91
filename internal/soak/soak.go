package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/faultproxy"
	"github.com/boragelock/boragelock/platform"
	"github.com/boragelock/boragelock/platform/standin"
)

// Config holds the settings of a run.
type Config struct {
	// Gateway is the program of an entry host.
	Gateway string
	// Dir gets the settings, the logs and the list of faults.
	Dir  string
	Seed uint64
	// Hosts, Targets and Callers (of each host) are numbers. Default: 3, 4, 3.
	Hosts, Targets, Callers int
	// Length is the time with faults. Default: 15 s.
	Length time.Duration
}

// Result is what a run found.
type Result struct {
	// Broken lists broken promises, the first of each text.
	Broken []string
	// Faults, Requests and Answered are numbers.
	Faults, Requests, Answered int
}

// recoverLimit is the time after the last fault until all is served again: holds
// and the authority of a leader that cannot be asked end within 14 s.
const recoverLimit = 16 * time.Second

// workload is the name of the keyed workload.
const workload = "w"

const desiredState = `{"version":"%08x","routes":[
{"name":"safe","host":"h","path-prefix":"/safe/","kind":"safe","timeout-s":1.5,"target-latency-s":0.5,"priority":1,"service":"w","max-attempts":2},
{"name":"order","host":"h","path-prefix":"/order/","kind":"unsafe","timeout-s":1.5,"target-latency-s":0.5,"priority":1,"service":"w","max-attempts":2}],
"services":[{"name":"w","health-path":"/health","max-conns":100,"cold-start-s":3,"cold-per-s":4,"sharded":true,"warmup-s":3}],
"limits":{"max-header-bytes":4096,"max-body-bytes":10000,"header-timeout-s":2,"idle-timeout-s":10}}`

// world is one run.
type world struct {
	cfg         Config
	rnd         *rand.Rand
	ports       *rand.Rand
	began       time.Time
	store       *standin.Store
	storeServer *httptest.Server
	targets     []*target
	hosts       []*host
	replacing   map[*host]*sync.Mutex
	ledger      ledger
	closers     []func()

	// faults counts those played; only playFaults uses it while it runs.
	faults int

	mu      sync.Mutex
	version int
	events  []string
	breaks  []string
}

// Run plays one run. It ends only the processes that it started.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	w := &world{
		cfg: cfg.withDefaults(), rnd: rand.New(rand.NewPCG(cfg.Seed, 1)), ports: rand.New(rand.NewPCG(cfg.Seed, 2)), began: time.Now(), store: standin.NewStore(),
		replacing: map[*host]*sync.Mutex{},
	}
	defer func() {
		for i := len(w.closers) - 1; i >= 0; i-- {
			w.closers[i]()
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := w.setUp(ctx); err != nil {
		return nil, err
	}
	if !w.served(ctx, recoverLimit) {
		w.broken("not served %v after the start", recoverLimit)
	}
	watch, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	var wg sync.WaitGroup
	run := func(f func(context.Context)) {
		wg.Add(1)
		go func() { defer wg.Done(); f(watch) }()
	}
	run(w.watchHolders)
	for i, h := range w.hosts {
		run(func(ctx context.Context) { w.watchVersions(ctx, h) })
		for j := range w.cfg.Callers {
			rnd := rand.New(rand.NewPCG(cfg.Seed, uint64(100+10*i+j)))
			run(func(ctx context.Context) { w.call(ctx, h, fmt.Sprintf("r%d-%d", i, j), rnd) })
		}
	}
	faulty, stopFaults := context.WithTimeout(ctx, w.cfg.Length)
	w.playFaults(faulty)
	stopFaults()
	w.heal()
	if !w.served(ctx, recoverLimit) {
		w.broken("not served %v after the last fault", recoverLimit)
	}
	stopWatch()
	wg.Wait()
	r := &Result{Faults: w.faults, Requests: len(w.ledger.requests), Answered: w.checkRequests()}
	r.Broken = w.breaks
	return r, w.writeEvents()
}

func (c Config) withDefaults() Config {
	set := func(p *int, v int) {
		if *p == 0 {
			*p = v
		}
	}
	set(&c.Hosts, 3)
	set(&c.Targets, 4)
	set(&c.Callers, 3)
	if c.Length == 0 {
		c.Length = 15 * time.Second
	}
	return c
}

func (w *world) setUp(ctx context.Context) error {
	w.newStoreServer()
	w.change()
	for i := range w.cfg.Targets {
		if err := w.addTarget(ctx, i); err != nil {
			return err
		}
	}
	for i := range w.cfg.Hosts {
		if err := w.addHost(ctx, i); err != nil {
			return err
		}
		w.replacing[w.hosts[i]] = &sync.Mutex{}
	}
	return nil
}

// change writes a new desired state.
func (w *world) change() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.store.Put(platform.TopicOperator, "config", []byte(fmt.Sprintf(desiredState, w.version)))
}

// heal ends what is left of faults.
func (w *world) heal() {
	w.store.SetFault(standin.NoFault)
	for _, t := range w.targets {
		t.proxy.SetFaults("", faultproxy.Faults{})
	}
	for _, h := range w.hosts {
		h.store.SetFaults("", faultproxy.Faults{})
	}
	w.note("faults end")
}

// served waits until each key is held by one target and each host has the newest
// desired state and serves.
func (w *world) served(ctx context.Context, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if w.allHeld() && w.allServe(ctx) {
			return true
		}
		every(ctx, 100*time.Millisecond)
	}
	return false
}

func (w *world) allHeld() bool {
	for key := 0; key < 65536; key += probeStep {
		if len(w.holders(key)) != 1 {
			return false
		}
	}
	return true
}

func (w *world) allServe(ctx context.Context) bool {
	w.mu.Lock()
	version := uint64(w.version)
	w.mu.Unlock()
	for i, h := range w.hosts {
		if v, ok := h.version(ctx); !ok || v != version {
			return false
		}
		for n := range 3 {
			if !w.probe(h, fmt.Sprintf("probe-%d-%d-%d", time.Since(w.began), i, n), 65535/(n+1)) {
				return false
			}
		}
	}
	return true
}

// broken notes a broken promise. The same one is noted once a second at most.
func (w *world) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.note("BROKEN: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.breaks) < 20 {
		w.breaks = append(w.breaks, fmt.Sprintf("%.2f s: %s", time.Since(w.began).Seconds(), text))
	}
}

// note adds a line to the list of events.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, fmt.Sprintf("%8.3f ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

// writeEvents writes the list of faults and breaks beside the logs.
func (w *world) writeEvents() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return os.WriteFile(filepath.Join(w.cfg.Dir, "events.txt"), []byte(strings.Join(w.events, "\n")+"\n"), 0o600)
}
