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

// Config configures a run.
type Config struct {
	// Gateway is the path of the boragelock-gateway binary.
	Gateway string
	// Dir is the directory for the settings, the logs and events.txt.
	Dir  string
	Seed uint64
	// Hosts, Targets and Callers are the numbers of hosts, targets and callers for
	// each host. Default: 3, 4, 3.
	Hosts, Targets, Callers int
	// FaultTime is how long faults are injected. Default: 15 s.
	FaultTime time.Duration
	// MinAnswered and MinFatalEnds are the load without which a run says little: faults go
	// on until so many requests were answered and, with Fatal, so many targets have ended
	// and sustainTime has passed since, but not beyond MaxFaultTime. Default: 0, FaultTime.
	MinAnswered, MinFatalEnds int
	MaxFaultTime              time.Duration
	// Restores makes the store return from older copies while faults are injected.
	Restores bool
	// AllHostsEnd makes all hosts end with a quarter of the restores.
	AllHostsEnd bool
	// Lapses lets the announcements of targets lapse during outages of the store.
	Lapses bool
	// Fatal lets a caller repeat a request that ends each target that runs it.
	Fatal bool
	// SharedQueues makes the desired state one for which hosts share the slots of targets.
	SharedQueues bool
}

// Result is the result of a run.
type Result struct {
	// Violations lists the first 20 violations.
	Violations []string
	// Faults, Requests and Answered are the numbers of injected faults, requests
	// and requests answered with 200.
	Faults, Requests, Answered int
	// LimitWindows is the number of times at which the requests to a target with a
	// limit were checked.
	LimitWindows int
	// FatalEnds is the number of targets that ended under the fatal request.
	FatalEnds int
}

// limitStream is the first random stream of the limits of targets. Streams of their own
// leave the faults of a seed as they are.
const limitStream = 10

// recoveryTimeout limits the time from the last fault until all hosts and keys are
// served: key leases and the term of an unreachable leader end within 14 s.
const recoveryTimeout = 16 * time.Second

// recoveryTimeoutRestored is the limit with restores: a leader that does not know all
// tables waits for the end of all leases from when it is elected, 4 s after the restore.
const recoveryTimeoutRestored = 20 * time.Second

// workload is the name of the keyed workload.
const workload = "w"

const desiredState = `{"version":"%08x","routes":[
{"name":"safe","host":"h","path-prefix":"/safe/","kind":"safe","timeout-s":1.5,"target-latency-s":0.5,"priority":1,"service":"w","max-attempts":2},
{"name":"order","host":"h","path-prefix":"/order/","kind":"unsafe","timeout-s":1.5,"target-latency-s":0.5,"priority":1,"service":"w","max-attempts":2}],
"services":[{"name":"w","health-path":"/health","max-conns":100,"cold-start-s":3,"cold-per-s":4,"sharded":true,"warmup-s":3}],
"limits":{"max-header-bytes":4096,"max-body-bytes":10000,"header-timeout-s":2,"idle-timeout-s":10}}`

// state returns a version of the desired state.
func (c Config) state(version int) string {
	s := fmt.Sprintf(desiredState, version)
	if c.SharedQueues {
		s = strings.Replace(s, `"priority":1`, `"priority":0`, 1)
		s = strings.ReplaceAll(s, `"target-latency-s":0.5`, `"target-latency-s":0.6`)
	}
	return s
}

// testbed is the system under test and the observations of one run.
type testbed struct {
	cfg          Config
	faultRand    *rand.Rand
	portRand     *rand.Rand
	startedAt    time.Time
	store        *standin.Store
	storeServer  *httptest.Server
	targets      []*target
	hosts        []*host
	replaceLocks map[*host]*sync.Mutex
	ledger       ledger
	closers      []func()

	// faultCount counts the injected faults. Only injectFaults accesses it while it
	// runs.
	faultCount int

	disturbances disturbances
	fatal        fatalRequest

	mu           sync.Mutex
	stateVersion int
	events       []string
	violations   []string
	// limitEpisodes are the times in which targets stated limits.
	limitEpisodes []limitEpisode
	// givenPorts are the ports that were given to hosts, which may not listen yet.
	givenPorts map[int]bool
}

// Run executes one run. It stops only the processes that it started.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	w := &testbed{
		cfg: cfg.withDefaults(), faultRand: rand.New(rand.NewPCG(cfg.Seed, 1)), portRand: rand.New(rand.NewPCG(cfg.Seed, 2)), startedAt: time.Now(), store: standin.NewStore(),
		replaceLocks: map[*host]*sync.Mutex{}, givenPorts: map[int]bool{},
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
	if !w.waitUntilServing(ctx, recoveryTimeout) {
		w.reportViolation("some keys or hosts are not served %v after the start", recoveryTimeout)
	}
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	var wg sync.WaitGroup
	start := func(f func(context.Context)) {
		wg.Add(1)
		go func() { defer wg.Done(); f(watchCtx) }()
	}
	start(w.watchHolders)
	for i, h := range w.hosts {
		start(func(ctx context.Context) { w.watchVersions(ctx, h) })
		for j := range w.cfg.Callers {
			rnd := rand.New(rand.NewPCG(cfg.Seed, uint64(100+10*i+j)))
			start(func(ctx context.Context) { w.runCaller(ctx, h, fmt.Sprintf("r%d-%d", i, j), rnd) })
		}
	}
	faultCtx, stopFaults := context.WithTimeout(ctx, w.cfg.MaxFaultTime)
	defer stopFaults()
	go func() { w.waitForLoad(faultCtx); stopFaults() }()
	var othersEnded sync.WaitGroup
	for i, targets := range [][]*target{w.targets[:len(w.targets)/2], w.targets[len(w.targets)/2:]} {
		rnd := rand.New(rand.NewPCG(cfg.Seed, limitStream+uint64(i)))
		othersEnded.Add(1)
		go func() { defer othersEnded.Done(); w.limitTargets(faultCtx, targets, rnd) }()
	}
	recovery := recoveryTimeout
	if w.cfg.Restores {
		recovery = recoveryTimeoutRestored
		othersEnded.Add(1)
		go func() {
			defer othersEnded.Done()
			w.restoreStore(faultCtx, rand.New(rand.NewPCG(cfg.Seed, restoreStream)), rand.New(rand.NewPCG(cfg.Seed, endStream)))
		}()
	}
	if w.cfg.Lapses {
		othersEnded.Add(1)
		go func() {
			defer othersEnded.Done()
			w.lapseAnnouncements(faultCtx, rand.New(rand.NewPCG(cfg.Seed, lapseStream)))
		}()
	}
	if w.cfg.Fatal {
		othersEnded.Add(1)
		go func() {
			defer othersEnded.Done()
			w.runFatalCaller(faultCtx, rand.New(rand.NewPCG(cfg.Seed, fatalStream)))
		}()
	}
	w.injectFaults(faultCtx)
	othersEnded.Wait()
	w.fatal.restarts.Wait()
	w.clearFaults()
	if !w.waitUntilServing(ctx, recovery) {
		w.reportViolation("some keys or hosts are not served %v after the last fault", recovery)
	}
	stopWatch()
	wg.Wait()
	r := &Result{FatalEnds: w.checkFatal(), Faults: w.faultCount, Requests: len(w.ledger.requests), Answered: w.checkRequests(), LimitWindows: w.checkLimits()}
	r.Violations = w.violations
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
	if c.FaultTime == 0 {
		c.FaultTime = 15 * time.Second
	}
	c.MaxFaultTime = max(c.MaxFaultTime, c.FaultTime)
	return c
}

// waitForLoad waits for FaultTime and until the run has the load that its configuration
// asks for.
func (w *testbed) waitForLoad(ctx context.Context) {
	ok := sleep(ctx, w.cfg.FaultTime)
	for ok && (w.ledger.answeredCount() < w.cfg.MinAnswered || w.cfg.Fatal && !w.fatal.sustained(w.cfg.MinFatalEnds)) {
		ok = sleep(ctx, 50*time.Millisecond)
	}
}

func (w *testbed) setUp(ctx context.Context) error {
	w.newStoreServer()
	w.writeDesiredState()
	for i := range w.cfg.Targets {
		if err := w.addTarget(ctx, i); err != nil {
			return err
		}
	}
	for i := range w.cfg.Hosts {
		if err := w.addHost(ctx, i); err != nil {
			return err
		}
		w.replaceLocks[w.hosts[i]] = &sync.Mutex{}
	}
	return nil
}

// writeDesiredState writes a new version of the desired state to the store.
func (w *testbed) writeDesiredState() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stateVersion++
	w.store.Put(platform.TopicOperator, "config", []byte(w.cfg.state(w.stateVersion)))
}

// clearFaults removes all faults of the store and the proxies.
func (w *testbed) clearFaults() {
	w.store.SetFault(standin.NoFault)
	for _, t := range w.targets {
		t.proxy.SetFaults("", faultproxy.Faults{})
	}
	for _, h := range w.hosts {
		h.storeProxy.SetFaults("", faultproxy.Faults{})
	}
	w.logEvent("all faults cleared")
}

// waitUntilServing waits until one target holds each key, and each host serves and
// has the newest desired state. It returns false after the limit.
func (w *testbed) waitUntilServing(ctx context.Context, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if w.eachKeyHasOneHolder() && w.allHostsServe(ctx) {
			return true
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return false
}

func (w *testbed) eachKeyHasOneHolder() bool {
	for key := 0; key < 65536; key += probeStep {
		if len(w.holders(key)) != 1 {
			return false
		}
	}
	return true
}

func (w *testbed) allHostsServe(ctx context.Context) bool {
	w.mu.Lock()
	version := uint64(w.stateVersion)
	w.mu.Unlock()
	for i, h := range w.hosts {
		if v, ok := h.desiredStateVersion(ctx); !ok || v != version {
			return false
		}
		for n := range 3 {
			if !w.probe(h, fmt.Sprintf("probe-%d-%d-%d", time.Since(w.startedAt), i, n), 65535/(n+1)) {
				return false
			}
		}
	}
	return true
}

// reportViolation logs a violated guarantee and adds it to the first 20 violations.
func (w *testbed) reportViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.logEvent("BROKEN: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) < 20 {
		w.violations = append(w.violations, fmt.Sprintf("%.2f s: %s", time.Since(w.startedAt).Seconds(), text))
	}
}

// logEvent adds a line to the events of the run.
func (w *testbed) logEvent(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, fmt.Sprintf("%8.3f ", time.Since(w.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// writeEvents writes the faults and the violations to events.txt.
func (w *testbed) writeEvents() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return os.WriteFile(filepath.Join(w.cfg.Dir, "events.txt"), []byte(strings.Join(w.events, "\n")+"\n"), 0o600)
}
