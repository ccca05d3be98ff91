package bench

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// startTimeout is how long a process may take to print its addresses.
const startTimeout = 10 * time.Second

// clockTicksPerSecond converts CPU times in /proc to seconds; it is fixed on
// Linux.
const clockTicksPerSecond = 100

// process is one process that the bench starts, and may restart. The kernel
// kills it when the bench exits.
type process struct {
	name    string
	args    []string
	logPath string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// previousCPU is the CPU time of the incarnations that have exited.
	previousCPU time.Duration
}

func newProcess(name, log string, args ...string) *process {
	return &process{name: name, logPath: log, args: args}
}

// start starts the process and returns its standard output.
func (p *process) start() (io.ReadCloser, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, &RunError{Op: "open log of " + p.name, Err: err}
	}
	defer out.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stderr = out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r, w, err := os.Pipe()
	if err != nil {
		return nil, &RunError{Op: "open pipe to " + p.name, Err: err}
	}
	defer w.Close()
	cmd.Stdout = w
	if err := cmd.Start(); err != nil {
		_ = r.Close()
		return nil, &RunError{Op: "start " + p.name, Err: err}
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		p.mu.Lock()
		p.previousCPU += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		p.mu.Unlock()
		close(done)
	}()
	return r, nil
}

// addresses are the listen addresses that a stand-in prints once it serves.
type addresses struct {
	Addr  string `json:"addr"`
	Admin string `json:"admin"`
}

// startServing starts a stand-in and waits for its addresses.
func (p *process) startServing() (addresses, error) {
	out, err := p.start()
	if err != nil {
		return addresses{}, err
	}
	defer out.Close()
	var a addresses
	_ = out.(*os.File).SetReadDeadline(time.Now().Add(startTimeout))
	line, err := bufio.NewReader(out).ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &a)
	}
	if err != nil {
		return a, &RunError{Op: "wait for the addresses of " + p.name + " (log " + p.logPath + ")", Err: err}
	}
	return a, nil
}

// startLogged starts a process and copies its standard output to its log.
func (p *process) startLogged() error {
	out, err := p.start()
	if err != nil {
		return err
	}
	go func() {
		defer out.Close()
		f, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return
		}
		defer f.Close()
		_, _ = io.Copy(f, out)
	}()
	return nil
}

// pid returns the process ID, or 0 when the process is not running.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	select {
	case <-p.done:
		return 0
	default:
		return p.cmd.Process.Pid
	}
}

// signal sends a signal to the process, if it was started.
func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// wait waits for the process to exit. It returns false when limit passes first.
func (p *process) wait(limit time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill kills the process, even when it is suspended, and waits up to 5 s.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(5 * time.Second)
}

// cpu returns the CPU time of all incarnations so far.
func (p *process) cpu() time.Duration {
	p.mu.Lock()
	used := p.previousCPU
	p.mu.Unlock()
	pid := p.pid()
	if pid == 0 {
		return used
	}
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return used
	}
	// The first field after the name in parentheses is the third of the line; user
	// and system time are the 14th and 15th.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	if len(fields) < 13 {
		return used
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return used + time.Duration(user+system)*time.Second/clockTicksPerSecond
}

// memory returns the resident memory in bytes, or 0 when it cannot be read.
func (p *process) memory() int64 {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(p.pid()) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
