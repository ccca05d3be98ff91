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
	name, dir, gateway string
	settings           string
	callers, metrics   string
	store              *faultproxy.Proxy

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// expected says that the process was told to end or killed.
	expected bool
	// starts counts processes; stopping is when SIGTERM was sent, zero before.
	starts   int
	stopping time.Time
	killed   bool
}

// stopLimit is the time of a planned stop, in seconds.
const stopLimit = 6

// Ports of hosts lie below those that the kernel gives to outgoing connections,
// which could take one between two processes of a host.
const firstPort, lastPort = 10000, 32000

// freePort returns a port on which nobody listens. Runs beside each other start at
// different places.
func (w *world) freePort() (int, error) {
	for range 100 {
		port := firstPort + w.ports.IntN(lastPort-firstPort)
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue // taken
		}
		return port, l.Close()
	}
	return 0, &PortError{}
}

// PortError says that no free port was found.
type PortError struct{}

// Error implements error.
func (*PortError) Error() string { return "no free port in 100 tries" }

// addHost starts an entry host.
func (w *world) addHost(ctx context.Context, i int) error {
	h := &host{name: fmt.Sprint("host", i), dir: w.cfg.Dir, gateway: w.cfg.Gateway}
	p, err := w.proxy(ctx, w.storeServer)
	if err != nil {
		return err
	}
	h.store = p
	ports := make([]int, 4)
	for j := range ports {
		if ports[j], err = w.freePort(); err != nil {
			return err
		}
	}
	address := func(j int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(ports[j])) }
	h.callers, h.metrics = address(0), address(3)
	b, err := json.Marshal(map[string]any{
		"host": h.name, "domain": "d0", "ip": "127.0.0.1", "callers": address(0), "ready": address(1),
		"peer_port": ports[2], "metrics_port": ports[3], "store": p.Addr(), "cpu_share": 1, "link_mbps": 1000,
		"memory_mb": 128, "stop_limit_s": stopLimit, "retry_ratio": 0.2, "retry_extra": 100, "retry_window_s": 10,
		"max_hold_s": 10, "log_level": "info",
	})
	if err != nil {
		return err
	}
	h.settings = filepath.Join(h.dir, h.name+".json")
	if err := os.WriteFile(h.settings, b, 0o600); err != nil {
		return err
	}
	w.hosts = append(w.hosts, h)
	w.closers = append(w.closers, h.kill)
	return w.start(h)
}

// start starts the process of a host.
func (w *world) start(h *host) error {
	log, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(h.gateway, "-settings", h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.done, h.expected, h.stopping, h.killed = cmd, done, false, time.Time{}, false
	h.starts++
	h.mu.Unlock()
	go func() {
		err := cmd.Wait()
		h.mu.Lock()
		expected := h.expected
		h.mu.Unlock()
		if !expected {
			w.broken("%s ended by itself: %v", h.name, err)
		}
		close(done)
	}()
	return nil
}

// signal sends a signal to the process of a host. Kill and terminate mark its end as
// expected.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch s {
	case syscall.SIGKILL:
		h.expected, h.killed = true, true
	case syscall.SIGTERM:
		h.expected, h.stopping = true, time.Now()
	}
	_ = h.cmd.Process.Signal(s) // it may have ended
}

// kill ends the process of a host, also when it is paused.
func (h *host) kill() {
	h.mu.Lock()
	started := h.cmd != nil
	h.mu.Unlock()
	if started {
		h.signal(syscall.SIGKILL)
		h.wait(5 * time.Second)
	}
}

// wait waits for the end of the process and reports whether it came in time.
func (h *host) wait(limit time.Duration) bool {
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// life names the present process, and says whether it is ending in a planned way
// and within the limit of a stop. One that is paused past the limit has to end at
// once.
func (h *host) life() (start int, planned bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts, !h.killed && !h.stopping.IsZero() && time.Since(h.stopping) < stopLimit*time.Second
}

// version returns the desired state in force on a host, or false.
func (h *host) version(ctx context.Context) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.metrics+"/debug/vars", nil)
	if err != nil {
		return 0, false
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, false // paused, or not running
	}
	defer func() { _ = resp.Body.Close() }() // read to its end or given up
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

// watchVersions checks that no process goes back to an older desired state.
func (w *world) watchVersions(ctx context.Context, h *host) {
	last, lastStart := uint64(0), 0
	for every(ctx, 150*time.Millisecond) {
		before, _ := h.life()
		v, ok := h.version(ctx)
		after, _ := h.life()
		if !ok || before != after {
			continue
		}
		if before == lastStart && v < last {
			w.broken("%s went back from version %d to %d", h.name, last, v)
		}
		last, lastStart = v, before
	}
}

// newStoreServer serves the stand-in store.
func (w *world) newStoreServer() {
	w.storeServer = httptest.NewServer(w.store)
	w.closers = append(w.closers, func() { w.storeServer.CloseClientConnections(); w.storeServer.Close() })
}
