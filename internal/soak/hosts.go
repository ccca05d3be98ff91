package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/boragelock/boragelock/internal/faultproxy"
)

// host is one entry host: a real process with its own proxy to the store.
type host struct {
	name, dir, gateway      string
	settingsFile            string
	callerAddr, metricsAddr string
	storeProxy              *faultproxy.Proxy

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// exitExpected is set when the process was sent SIGTERM or SIGKILL.
	exitExpected bool
	// startCount counts the started processes; stopSentAt is when SIGTERM was sent,
	// or zero.
	startCount int
	stopSentAt time.Time
	killed     bool
	// pausedInStop is set when the process was paused after SIGTERM.
	pausedInStop bool
}

// stopLimit limits the duration of a planned stop, in seconds.
const stopLimit = 6

// stopMargin is the time before stopLimit at which a process ends its requests.
const stopMargin = 400 * time.Millisecond

// The ports of hosts lie below the ephemeral port range. Otherwise an outgoing
// connection could take a port between two processes of a host.
const firstPort, lastPort = 10000, 32000

// freePort returns a random port on which no process listens. Concurrent runs
// with different seeds try ports in a different order.
func (w *testbed) freePort() (int, error) {
	for range 100 {
		port := firstPort + w.portRand.IntN(lastPort-firstPort)
		if w.givenPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue // in use
		}
		w.givenPorts[port] = true
		return port, l.Close()
	}
	return 0, &PortError{}
}

// PortError reports that no free port was found.
type PortError struct{}

// Error implements error.
func (*PortError) Error() string { return "no free port found in 100 attempts" }

// addHost starts an entry host.
func (w *testbed) addHost(ctx context.Context, i int) error {
	h := &host{name: fmt.Sprint("host", i), dir: w.cfg.Dir, gateway: w.cfg.Gateway}
	p, err := w.proxy(ctx, w.storeServer)
	if err != nil {
		return err
	}
	h.storeProxy = p
	ports := make([]int, 4)
	for j := range ports {
		if ports[j], err = w.freePort(); err != nil {
			return err
		}
	}
	address := func(j int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(ports[j])) }
	h.callerAddr, h.metricsAddr = address(0), address(3)
	b, err := json.Marshal(map[string]any{
		"host": h.name, "domain": "d0", "fleet": w.cfg.Dir, "ip": "127.0.0.1", "callers": address(0), "ready": address(1),
		"peer_port": ports[2], "metrics_port": ports[3], "store": p.Addr(), "cpu_share": 1, "link_mbps": 1000,
		"memory_mb": 128, "stop_limit_s": stopLimit, "retry_ratio": 0.2, "retry_extra": 100, "retry_window_s": 10,
		"max_hold_s": 10, "log_level": "info",
	})
	if err != nil {
		return err
	}
	h.settingsFile = filepath.Join(h.dir, h.name+".json")
	if err := os.WriteFile(h.settingsFile, b, 0o600); err != nil {
		return err
	}
	w.hosts = append(w.hosts, h)
	w.closers = append(w.closers, h.kill)
	return w.start(h)
}

// start starts the process of a host.
func (w *testbed) start(h *host) error {
	log, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(h.gateway, "-settings", h.settingsFile)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited, h.exitExpected, h.stopSentAt, h.killed, h.pausedInStop = cmd, done, false, time.Time{}, false, false
	h.startCount++
	h.mu.Unlock()
	w.disturbances.noteHostBegan()
	w.disturbances.noteProcessStarted()
	go func() {
		err := cmd.Wait()
		w.disturbances.noteProcessEnded()
		h.mu.Lock()
		expected := h.exitExpected
		h.mu.Unlock()
		if !expected {
			w.reportViolation("%s exited unexpectedly: %v", h.name, err)
		}
		close(done)
	}()
	return nil
}

// signal sends a signal to the process of a host. SIGKILL and SIGTERM mark its exit
// as expected.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch s {
	case syscall.SIGKILL:
		h.exitExpected, h.killed = true, true
	case syscall.SIGTERM:
		h.exitExpected, h.stopSentAt = true, time.Now()
	case syscall.SIGSTOP:
		h.pausedInStop = !h.stopSentAt.IsZero()
	}
	_ = h.cmd.Process.Signal(s) // it may have ended
}

// kill kills the process of a host, also when it is paused.
func (h *host) kill() {
	h.mu.Lock()
	started := h.cmd != nil
	h.mu.Unlock()
	if started {
		h.signal(syscall.SIGKILL)
		h.waitForExit(5 * time.Second)
	}
}

// waitForExit waits for the exit of the process and returns false after the limit.
func (h *host) waitForExit(limit time.Duration) bool {
	h.mu.Lock()
	done := h.exited
	h.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// processState returns the number of the current process, and whether the process
// is in a planned stop within stopLimit. A process that is paused past the limit
// must exit at once, so it is not in a planned stop any more. It ends its requests
// stopMargin before the limit, so that the same holds when the pause ends in between.
func (h *host) processState() (start int, planned bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := stopLimit * time.Second
	if h.pausedInStop {
		limit -= stopMargin
	}
	return h.startCount, !h.killed && !h.stopSentAt.IsZero() && time.Since(h.stopSentAt) < limit
}

// desiredStateVersion returns the version of the desired state that a host applies.
// It returns false when the host does not respond.
func (h *host) desiredStateVersion(ctx context.Context) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.metricsAddr+"/debug/vars", nil)
	if err != nil {
		return 0, false
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, false // paused, or not running
	}
	defer func() { _ = resp.Body.Close() }() // read to the end or abandoned
	var v struct {
		Control struct {
			Version uint64 `json:"desired_state_version"`
		} `json:"control"`
	}
	if json.NewDecoder(resp.Body).Decode(&v) != nil {
		return 0, false
	}
	return v.Control.Version, true
}

// watchVersions checks that no process reverts to an older desired state.
func (w *testbed) watchVersions(ctx context.Context, h *host) {
	last, lastStart := uint64(0), 0
	for sleep(ctx, 150*time.Millisecond) {
		before, _ := h.processState()
		v, ok := h.desiredStateVersion(ctx)
		after, _ := h.processState()
		if !ok || before != after {
			continue
		}
		if before == lastStart && v < last {
			w.reportViolation("%s reverted from desired state version %d to %d", h.name, last, v)
		}
		last, lastStart = v, before
	}
}

// newStoreServer serves the stand-in store.
func (w *testbed) newStoreServer() {
	w.storeServer = httptest.NewServer(w.store)
	w.closers = append(w.closers, func() { w.storeServer.CloseClientConnections(); w.storeServer.Close() })
}
