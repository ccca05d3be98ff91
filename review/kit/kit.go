//go:build review

// Package kit holds the stand-ins and the process control that the review's scripts
// share: instances that speak the published protocol on plain TCP connections, the
// platform's store, hosts as separate processes, and consumers.
package kit

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/boragelock/boragelock/platform/standin"
)

// Record is the file in which a script notes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{f: f, start: time.Now()}, nil
}

// Add writes one line with the time since the start in seconds.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// ServeStore serves the project's stand-in of the platform's store on a loopback address.
func ServeStore(s *standin.Store) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, s) }()
	return l.Addr().String(), nil
}

// Host is one process of boragelock-gateway.
type Host struct {
	Name, Callers, Ready, Metrics, Peer string
	// Descriptors is the number of descriptors that the process may have, 0 for as many as
	// the script.
	Descriptors int

	program, settings, log string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// The ports of hosts lie below the range from which the kernel takes those of outgoing
// connections; one of these could otherwise hold the port of a host that starts again.
const firstPort, lastPort = 10000, 32000

// FreeAddress returns a loopback address with a port that is free now.
func FreeAddress() (string, error) {
	var err error
	for range 100 {
		var l net.Listener
		l, err = net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort))))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", err
}

// NewHost writes the settings of a host, as deploy/settings.json.tmpl names them.
func NewHost(program, dir, name, zone, store string) (*Host, error) {
	var a [4]string
	for i := range a {
		var err error
		if a[i], err = FreeAddress(); err != nil {
			return nil, err
		}
	}
	port := func(address string) json.Number {
		_, p, _ := net.SplitHostPort(address)
		return json.Number(p)
	}
	h := &Host{
		Name: name, Callers: a[0], Ready: a[1], Peer: a[2], Metrics: a[3], program: program,
		settings: filepath.Join(dir, name+".json"), log: filepath.Join(dir, name+".log"),
	}
	b, err := json.Marshal(map[string]any{
		"host": name, "domain": zone, "fleet": store, "ip": "127.0.0.1", "callers": h.Callers, "ready": h.Ready,
		"peer_port": port(h.Peer), "metrics_port": port(h.Metrics), "store": store, "cpu_share": 0.32, "link_mbps": 1000,
		"memory_mb": 284, "stop_limit_s": 6, "retry_ratio": 0.2, "retry_extra": 62, "retry_window_s": 10,
		"max_hold_s": 10, "log_level": "info",
	})
	if err != nil {
		return nil, err
	}
	return h, os.WriteFile(h.settings, b, 0o600)
}

// Start starts the process with the command of the deploy file.
func (h *Host) Start() error {
	log, err := os.OpenFile(h.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(h.program)
	if h.Descriptors > 0 {
		cmd = exec.Command("sh", "-c", `ulimit -n "$1" && exec "$0"`, h.program, strconv.Itoa(h.Descriptors))
	}
	cmd.Env = append(os.Environ(), "BORAGELOCK_NODE_FILE="+h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd = cmd
	return cmd.Start()
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// Wait waits for the end of the process.
func (h *Host) Wait() { _ = h.cmd.Wait() }

// Kill ends the process.
func (h *Host) Kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
	}
}

// OpenDescriptors returns the number of descriptors of the process.
func (h *Host) OpenDescriptors() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(l)
}

// memory returns the resident memory of the process in MB.
func (h *Host) memory() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(b), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize()) >> 20
}

// restartDelay is the short delay after which the platform restarts a process.
const restartDelay = 500 * time.Millisecond

// WatchMemory does as the platform does: a process that exceeds its memory is killed, and
// starts again after a short delay.
func WatchMemory(h *Host, limitMB int64, stop <-chan struct{}, peak *atomic.Int64, onKill func(mb int64)) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		mb := h.memory()
		for old := peak.Load(); mb > old && !peak.CompareAndSwap(old, mb); old = peak.Load() {
		}
		if mb <= limitMB {
			continue
		}
		onKill(mb)
		h.Kill()
		time.Sleep(restartDelay)
		if h.Start() != nil {
			return
		}
	}
}

// WaitReady waits until all hosts are ready.
func WaitReady(hosts []*Host, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range hosts {
			if h.IsReady() {
				ready++
			}
		}
		if ready == len(hosts) {
			return nil
		}
	}
	return fmt.Errorf("the hosts were not ready after %v", limit)
}

// IsReady asks as the platform's balancer does.
func (h *Host) IsReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + h.Ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
