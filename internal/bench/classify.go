package bench

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
)

// classCaller is the class of connections that no entry host opened.
const classCaller = "caller"

// classifier finds the domain of the process that opened a connection. All
// processes share the loopback address, so it cannot use the remote IP; it finds
// the process that owns the socket through /proc.
type classifier struct {
	mu          sync.Mutex
	domainByPID map[int]string
	scan        *socketScan
}

// socketScan is one pass over /proc, shared by all connections that were
// accepted before it starts.
type socketScan struct {
	done         chan struct{}
	domainByPort map[string]string
}

func newClassifier() *classifier { return &classifier{domainByPID: map[int]string{}} }

// setDomain sets the domain of a process.
func (c *classifier) setDomain(pid int, domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.domainByPID[pid] = domain
}

// classify returns the domain of the process that owns the remote end.
func (c *classifier) classify(remote net.Addr) string {
	ta, ok := remote.(*net.TCPAddr)
	if !ok {
		return classCaller
	}
	s := c.nextScan()
	if d, ok := s.domainByPort[strconv.Itoa(ta.Port)]; ok {
		return d
	}
	return classCaller
}

// nextScan returns a scan that started after the call.
func (c *classifier) nextScan() *socketScan {
	c.mu.Lock()
	running := c.scan
	c.mu.Unlock()
	if running != nil {
		<-running.done
	}
	c.mu.Lock()
	if c.scan != nil && c.scan != running {
		s := c.scan
		c.mu.Unlock()
		<-s.done
		return s
	}
	s := &socketScan{done: make(chan struct{}), domainByPort: map[string]string{}}
	c.scan = s
	pids := make(map[int]string, len(c.domainByPID))
	for pid, d := range c.domainByPID {
		pids[pid] = d
	}
	c.mu.Unlock()
	s.run(pids)
	close(s.done)
	c.mu.Lock()
	if c.scan == s {
		c.scan = nil
	}
	c.mu.Unlock()
	return s
}

// run maps the local ports of the processes' sockets to domains.
func (s *socketScan) run(pids map[int]string) {
	owners := map[string]string{}
	for pid, domain := range pids {
		dir := fmt.Sprintf("/proc/%d/fd", pid)
		entries, err := os.ReadDir(dir)
		if err != nil {
			continue
		}
		for _, e := range entries {
			link, err := os.Readlink(dir + "/" + e.Name())
			if inode, ok := strings.CutPrefix(link, "socket:["); err == nil && ok {
				owners[strings.TrimSuffix(inode, "]")] = domain
			}
		}
	}
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		// Fields: number, local address, remote address, ..., inode (10th).
		fields := strings.Fields(lines.Text())
		if len(fields) < 10 {
			continue
		}
		domain, ok := owners[fields[9]]
		if !ok {
			continue
		}
		_, hexPort, _ := strings.Cut(fields[1], ":")
		if port, err := strconv.ParseUint(hexPort, 16, 16); err == nil {
			s.domainByPort[strconv.FormatUint(port, 10)] = domain
		}
	}
}
