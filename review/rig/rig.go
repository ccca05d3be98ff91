//go:build review

// Package rig starts a small deployment on loopback addresses for the cases of the review: entry
// hosts as processes, the stand-in of the platform's store, and the record of a run.
package rig

import (
	"bytes"
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
	"syscall"
	"time"

	"github.com/boragelock/boragelock/platform"
	"github.com/boragelock/boragelock/platform/standin"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Trouble reports whether the disruption of the case is to be brought about.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the record of a run.
type Record struct {
	mu     sync.Mutex
	start  time.Time
	text   bytes.Buffer
	broken int
}

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{start: time.Now()} }

// Note adds a line.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.text, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Break adds a line that says how the rule was broken.
func (r *Record) Break(format string, args ...any) {
	r.Note("BROKEN "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
}

// Broken returns how often the rule was broken.
func (r *Record) Broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

// Write writes the record to a file.
func (r *Record) Write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, r.text.Bytes(), 0o644)
}

// Host is an entry host.
type Host struct {
	Name, Callers, Ready string
	settings, log        string
	cmd                  *exec.Cmd
	done                 chan struct{}
}

// Deployment is a small deployment.
type Deployment struct {
	Store  *standin.Store
	Record *Record
	Hosts  []*Host
	dir    string
	store  net.Listener
	// pid ends the announcements when it is closed.
	stop chan struct{}
	used map[int]bool
	mu   sync.Mutex
}

// New starts the store. Close ends all that the deployment started.
func New(record *Record) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "boragelock-review-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Store: standin.NewStore(), Record: record, dir: dir, store: l, stop: make(chan struct{}), used: map[int]bool{}}
	go func() { _ = http.Serve(l, d.Store) }()
	return d, nil
}

// SetState writes a desired state.
func (d *Deployment) SetState(state string) {
	d.Store.Put(platform.TopicOperator, "config", []byte(state))
}

// beatInterval is the interval of announcements in the deployments' settings.
const beatInterval = 1500 * time.Millisecond

// Announce announces an instance until the deployment is closed or the function that it
// returns is called.
func (d *Deployment) Announce(id, service, address string, slots int) (end func()) {
	ended := make(chan struct{})
	born := time.Now().UnixMilli()
	put := func(seq int) {
		d.Store.Put(platform.TopicTargets, id, map[string]any{
			"service": service, "address": address, "zone": "z0", "version": "v1", "slots": slots, "state": "ready",
			"cold-left-s": 0, "seq": seq, "born": born,
		})
	}
	put(1)
	go func() {
		tick := time.NewTicker(beatInterval)
		defer tick.Stop()
		for seq := 2; ; seq++ {
			select {
			case <-d.stop:
				return
			case <-ended:
				return
			case <-tick.C:
				put(seq)
			}
		}
	}()
	return sync.OnceFunc(func() { close(ended) })
}

// Ports of hosts lie below those of outgoing connections.
const firstPort, lastPort = 10000, 32000

func (d *Deployment) freeAddress() (string, int, error) {
	for range 200 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if d.used[port] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		d.used[port] = true
		return address, port, l.Close()
	}
	return "", 0, fmt.Errorf("no free port")
}

// AddHost starts an entry host with settings of a small deployment.
func (d *Deployment) AddHost() (*Host, error) {
	var addresses [4]string
	var ports [4]int
	for i := range addresses {
		var err error
		if addresses[i], ports[i], err = d.freeAddress(); err != nil {
			return nil, err
		}
	}
	h := &Host{Name: fmt.Sprintf("front-%d", len(d.Hosts)), Callers: addresses[0], Ready: addresses[1]}
	b, err := json.Marshal(map[string]any{
		"host": h.Name, "domain": "z0", "fleet": d.store.Addr().String(), "ip": "127.0.0.1", "callers": h.Callers, "ready": h.Ready,
		"peer_port": ports[2], "metrics_port": ports[3], "store": d.store.Addr().String(), "cpu_share": 0.32, "link_mbps": 1000.0,
		"memory_mb": 284, "max_fds": 4100, "stop_limit_s": 6, "retry_ratio": 0.2, "retry_extra": 60, "retry_window_s": 10,
		"max_hold_s": 10, "log_level": "info",
	})
	if err != nil {
		return nil, err
	}
	h.settings, h.log = filepath.Join(d.dir, h.Name+".json"), filepath.Join(d.dir, h.Name+".log")
	if err := os.WriteFile(h.settings, b, 0o600); err != nil {
		return nil, err
	}
	d.Hosts = append(d.Hosts, h)
	return h, h.Start()
}

// Start starts the process of a host.
func (h *Host) Start() error {
	log, err := os.OpenFile(h.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.cmd = exec.Command("target/boragelock-gateway")
	h.cmd.Env = []string{"BORAGELOCK_NODE_FILE=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.done = done
	cmd := h.cmd
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

// Signal sends a signal to the process of a host.
func (h *Host) Signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// Ended returns a channel that is closed when the process has ended.
func (h *Host) Ended() <-chan struct{} { return h.done }

// Log returns what the processes of a host wrote.
func (h *Host) Log() string {
	b, _ := os.ReadFile(h.log)
	return string(b)
}

// IsReady asks the host whether it is ready, as the platform does.
func (h *Host) IsReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + h.Ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all hosts are ready.
func (d *Deployment) AwaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, h := range d.Hosts {
		for !h.IsReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready:\n%s", h.Name, h.Log())
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all processes and removes the folder of the deployment.
func (d *Deployment) Close() {
	close(d.stop)
	for _, h := range d.Hosts {
		if h.cmd == nil || h.cmd.Process == nil {
			continue
		}
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.done
	}
	_ = d.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
}

// Run runs a case and exits with its code. f fails when the case could not run.
func Run(folder string, f func(d *Deployment) error) {
	record := NewRecord()
	code := func() int {
		d, err := New(record)
		if err == nil {
			defer d.Close()
			err = f(d)
		}
		if err != nil {
			record.Note("the case could not run: %v", err)
			fmt.Println(err)
			return ExitNotRun
		}
		if record.Broken() > 0 {
			return ExitBroken
		}
		return ExitHeld
	}()
	record.Note("trouble %v, rule broken %d times, exit %d", Trouble(), record.Broken(), code)
	if err := record.Write(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Println(err)
		code = ExitNotRun
	}
	fmt.Printf("%s: trouble %v, rule broken %d times, exit %d\n", folder, Trouble(), record.Broken(), code)
	os.Exit(code)
}

// Length of a disruption in the site files, and the pause before it comes again.
const (
	episodeLength = 5500 * time.Millisecond
	episodePause  = 500 * time.Millisecond
)

// InEpisode reports whether a disruption that comes again and again lasts, after a time since
// the first one began.
func InEpisode(since time.Duration) bool {
	return since >= 0 && since%(episodeLength+episodePause) < episodeLength
}
