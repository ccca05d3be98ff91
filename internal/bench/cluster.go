package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"
	"golang.org/x/sync/errgroup"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/standin"
	"github.com/boragelock/boragelock/provider"
)

// Policy is the router under test.
type Policy string

// Policies.
const (
	PolicyBoragelock Policy = "boragelock"
	// PolicyBaseline is round robin for unkeyed requests, hash modulo for keyed
	// ones, fixed limits and no hedging.
	PolicyBaseline Policy = "baseline"
)

// domainPlatform is the domain of the log and the host list.
const domainPlatform = "platform"

// hostsLag is the lag of the platform's host list.
const hostsLag = 2 * time.Second

// maxStartAttempts limits the attempts to start a process on free ports.
const maxStartAttempts = 3

// balancerDelayMS is how long a stopping entry host keeps serving, in
// milliseconds. The bench's load balancer detects an unready host well within
// this time.
const balancerDelayMS = 1000

// ClusterConfig configures a Cluster.
type ClusterConfig struct {
	Plan     *Plan
	Policy   Policy
	Binaries Binaries
	// Dir holds logs, settings and records.
	Dir string
	// DisabledSafeguard is the name of a safeguard to switch off, or empty.
	Break string
	// LeaseMS is the key lease of targets in milliseconds; 0 means the default.
	LeaseMS int64
	Seed    uint64
	Logger  hclog.Logger
}

// targetNode is one target process behind its proxy.
type targetNode struct {
	contract.Target
	proc  *process
	admin string
	link  *link
}

// entryNode is one entry host process behind its proxies.
type entryNode struct {
	EntryPlan
	proc                   *process
	operator               string
	callers, forward, peer *link
}

// Cluster holds the processes and proxies of one scenario.
type Cluster struct {
	cfg          ClusterConfig
	classifier   *classifier
	network      *network
	log          *process
	hostList     *process
	logAddr      addresses
	hostListAddr addresses
	targets      map[string]*targetNode
	entries      map[string]*entryNode
	stop         context.CancelFunc
	stopped      <-chan error
}

// StartCluster starts stand-ins, proxies and entry hosts. On an error it stops
// everything that it has started.
func StartCluster(ctx context.Context, cfg ClusterConfig) (*Cluster, error) {
	ctx, cancel := context.WithCancel(ctx)
	sup := suture.New("bench", suture.Spec{EventHook: func(e suture.Event) {
		cfg.Logger.Debug("supervisor", "event", e.String())
	}})
	c := &Cluster{
		cfg: cfg, classifier: newClassifier(), targets: map[string]*targetNode{}, entries: map[string]*entryNode{},
		stop: cancel, stopped: sup.ServeBackground(ctx),
	}
	c.network = newNetwork(cfg.Plan, c.classifier, sup)
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.startPlatform(); err != nil {
		return err
	}
	if err := c.startTargets(); err != nil {
		return err
	}
	if err := c.startEntries(); err != nil {
		return err
	}
	return ctx.Err()
}

func (c *Cluster) path(name string) string { return filepath.Join(c.cfg.Dir, name) }

func (c *Cluster) startPlatform() error {
	var hosts []provider.Host
	for _, t := range c.cfg.Plan.Deployment.Targets {
		hosts = append(hosts, provider.Host{Name: t.Name, Domain: t.Domain, State: provider.HostLive})
	}
	for _, e := range c.cfg.Plan.Entries {
		hosts = append(hosts, provider.Host{Name: e.Name, Domain: e.Domain, State: provider.HostLive})
	}
	list, err := json.Marshal(hosts)
	if err != nil {
		return &RunError{Op: "encode the host list", Err: err}
	}
	c.log = newProcess("log", c.path("log.log"), c.cfg.Binaries.Standin, "log")
	c.hostList = newProcess("hosts", c.path("hosts.log"), c.cfg.Binaries.Standin, "hosts", "-lag", hostsLag.String(), "-hosts", string(list))
	if c.logAddr, err = c.log.startServing(); err != nil {
		return err
	}
	if c.hostListAddr, err = c.hostList.startServing(); err != nil {
		return err
	}
	for _, d := range c.cfg.Plan.Deployment.Domains {
		for _, x := range []struct{ kind, addr string }{{linkLog, c.logAddr.Addr}, {linkHosts, c.hostListAddr.Addr}} {
			if _, err := c.network.addLink(x.kind, d.Name, domainPlatform, "", x.addr); err != nil {
				return err
			}
		}
	}
	return nil
}

// targetConfig returns the configuration of a target's stand-in.
func (c *Cluster) targetConfig(i int, t contract.Target, startCold bool) standin.TargetConfig {
	w := c.cfg.Plan.Workloads[t.Workload]
	return standin.TargetConfig{
		Name: t.Name, Workload: t.Workload, Domain: t.Domain, Keyed: w.Keyed, Shards: w.Shards,
		// The baseline sends no grants. When the fence safeguard is switched off,
		// the targets must not compensate for it by fencing themselves.
		Fencing: w.Fencing && c.cfg.Policy == PolicyBoragelock && c.cfg.Break != "fence",
		Slots:   t.Slots, Connections: t.MaxConnections, ServiceMS: w.ServiceMS, SigmaLog: w.SigmaLog,
		StartCold: startCold, ColdSlots: t.ColdSlots, RampMS: t.RampMS,
		FallOverSheds: 10 * t.Slots, FallOverMS: 3000, Seed: c.cfg.Seed*1000 + uint64(i),
	}
}

func (c *Cluster) startTargets() error {
	var group errgroup.Group
	nodes := make([]*targetNode, len(c.cfg.Plan.Deployment.Targets))
	for i, t := range c.cfg.Plan.Deployment.Targets {
		group.Go(func() error {
			var err error
			// Another program may bind a free port before the target does.
			for range maxStartAttempts {
				if nodes[i], err = c.startTarget(i, t); err == nil {
					return nil
				}
			}
			return err
		})
	}
	err := group.Wait()
	for _, n := range nodes {
		if n != nil {
			c.targets[n.Name] = n
		}
	}
	if err != nil {
		return err
	}
	for i := range c.cfg.Plan.Deployment.Targets {
		t := &c.cfg.Plan.Deployment.Targets[i]
		n := c.targets[t.Name]
		if n.link, err = c.network.addLink(linkTarget, "", t.Domain, t.Name, n.proc.args[3]); err != nil {
			return err
		}
		t.Addr = n.link.proxy.Addr()
	}
	return nil
}

func (c *Cluster) startTarget(i int, t contract.Target) (*targetNode, error) {
	ports, err := freePorts(2)
	if err != nil {
		return nil, err
	}
	args, err := c.targetArgs(c.targetConfig(i, t, false), ports)
	if err != nil {
		return nil, err
	}
	n := &targetNode{Target: t, proc: newProcess(t.Name, c.path(t.Name+".log"), args...), admin: ports[1]}
	if _, err := n.proc.startServing(); err != nil {
		n.proc.kill()
		return nil, err
	}
	return n, nil
}

func (c *Cluster) targetArgs(cfg standin.TargetConfig, ports []string) ([]string, error) {
	raw, err := json.Marshal(cfg)
	if err != nil {
		return nil, &RunError{Op: "encode the configuration of " + cfg.Name, Err: err}
	}
	return []string{c.cfg.Binaries.Standin, "target", "-addr", ports[0], "-admin", ports[1],
		"-config", string(raw), "-records", c.recordsPath(cfg.Name)}, nil
}

func (c *Cluster) recordsPath(target string) string { return c.path(target + ".jsonl") }

// restartTarget restarts a killed target, which is then cold.
func (c *Cluster) restartTarget(name string) error {
	n := c.targets[name]
	for i, t := range c.cfg.Plan.Deployment.Targets {
		if t.Name != name {
			continue
		}
		args, err := c.targetArgs(c.targetConfig(i, t, true), []string{n.proc.args[3], n.admin})
		if err != nil {
			return err
		}
		n.proc.args = args
	}
	if _, err := n.proc.startServing(); err != nil {
		return err
	}
	return n.link.proxy.RefuseConnections(false)
}

func (c *Cluster) startEntries() error {
	var seeds []string
	for _, e := range c.cfg.Plan.Entries {
		n, err := c.prepareEntry(e)
		if err != nil {
			return err
		}
		c.entries[e.Name] = n
		seeds = append(seeds, n.peer.proxy.Addr())
	}
	for _, e := range c.cfg.Plan.Entries {
		if err := c.writeSettings(c.entries[e.Name], seeds); err != nil {
			return err
		}
	}
	for _, e := range c.cfg.Plan.Entries {
		if err := c.startEntry(e.Name); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) prepareEntry(e EntryPlan) (*entryNode, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	n := &entryNode{EntryPlan: e, operator: ports[3]}
	args := []string{c.cfg.Binaries.Daemon, "-settings", c.path(e.Name + ".json")}
	if c.cfg.Policy == PolicyBaseline {
		args = []string{c.cfg.Binaries.Bench, "-baseline-router", c.path(e.Name + ".json")}
	}
	n.proc = newProcess(e.Name, c.path(e.Name+".log"), args...)
	for i, x := range []struct {
		kind string
		link **link
	}{{linkCallers, &n.callers}, {linkForward, &n.forward}, {linkPeer, &n.peer}} {
		if *x.link, err = c.network.addLink(x.kind, "", e.Domain, e.Name, ports[i]); err != nil {
			return nil, err
		}
	}
	return n, nil
}

func (c *Cluster) writeSettings(n *entryNode, seeds []string) error {
	var v any
	if c.cfg.Policy == PolicyBaseline {
		v = BaselineConfig{
			Listen: n.callers.upstream, Operator: n.operator, Deployment: c.cfg.Plan.Deployment, Routers: len(c.cfg.Plan.Entries),
		}
	} else {
		v = c.settings(n, seeds)
	}
	raw, err := json.MarshalIndent(v, "", " ")
	if err == nil {
		err = os.WriteFile(c.path(n.Name+".json"), raw, 0o600)
	}
	if err != nil {
		return &RunError{Op: "write the settings of " + n.Name, Err: err}
	}
	return nil
}

// settings returns the settings of an entry host in the format that
// docs/settings.md describes.
func (c *Cluster) settings(n *entryNode, seeds []string) map[string]any {
	v := map[string]any{
		"name": n.Name, "domain": n.Domain,
		"http": map[string]any{
			"listen": n.callers.upstream, "forward_listen": n.forward.upstream, "advertise": n.forward.proxy.Addr(),
		},
		"peer":          map[string]any{"listen": n.peer.upstream, "advertise": n.peer.proxy.Addr()},
		"operator":      map[string]any{"listen": n.operator},
		"log_urls":      []string{"http://" + c.network.findLink(linkLog, n.Domain).proxy.Addr()},
		"host_list_url": "http://" + c.network.findLink(linkHosts, n.Domain).proxy.Addr(),
		"seed_peers":    seeds,
		"timings":       map[string]any{"balancer_delay_ms": balancerDelayMS},
		"deployment":    c.cfg.Plan.Deployment,
	}
	if c.cfg.LeaseMS > 0 {
		v["timings"] = map[string]any{"balancer_delay_ms": balancerDelayMS, "lease_ms": c.cfg.LeaseMS}
	}
	if c.cfg.Break != "" {
		v["unsafe_disable"] = []string{c.cfg.Break}
	}
	return v
}

// startEntry starts an entry host or restarts it after it was stopped or killed.
func (c *Cluster) startEntry(name string) error {
	n := c.entries[name]
	if err := n.proc.startLogged(); err != nil {
		return err
	}
	c.classifier.setDomain(n.proc.pid(), n.Domain)
	for _, l := range []*link{n.callers, n.forward, n.peer} {
		if err := l.proxy.RefuseConnections(false); err != nil {
			return &RunError{Op: "open the links of " + name, Err: err}
		}
	}
	return nil
}

// refuseEntry makes the links of an entry host refuse connections, as the
// address of an exited process does.
func (c *Cluster) refuseEntry(name string) {
	n := c.entries[name]
	for _, l := range []*link{n.callers, n.forward, n.peer} {
		_ = l.proxy.RefuseConnections(true)
	}
}

// Close kills all processes and stops all proxies.
func (c *Cluster) Close() {
	for _, n := range c.entries {
		n.proc.kill()
	}
	for _, n := range c.targets {
		n.proc.kill()
	}
	for _, p := range []*process{c.log, c.hostList} {
		if p != nil {
			p.kill()
		}
	}
	c.stop()
	<-c.stopped
}

// Processes get ports below the ephemeral range of the system. An outgoing
// connection could otherwise take a port before its process starts or while it
// restarts.
const (
	firstPort = 10000
	lastPort  = 32000
)

// assignedPorts holds the addresses that freePorts has returned, since a process
// binds its address only some time later.
var assignedPorts = struct {
	sync.Mutex
	addrs map[string]bool
}{addrs: map[string]bool{}}

// freePorts returns n addresses on the loopback interface that are free now and
// were not returned before.
func freePorts(n int) ([]string, error) {
	assignedPorts.Lock()
	defer assignedPorts.Unlock()
	var out []string
	for tries := 0; len(out) < n; tries++ {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		ln, err := net.Listen("tcp", addr)
		if err == nil && assignedPorts.addrs[addr] {
			_ = ln.Close()
			continue
		}
		if err != nil {
			if tries > 1000 {
				return nil, &RunError{Op: "find a free port", Err: err}
			}
			continue
		}
		defer ln.Close()
		assignedPorts.addrs[addr] = true
		out = append(out, addr)
	}
	return out, nil
}

// readTargetRecords reads the records of all targets.
func (c *Cluster) readTargetRecords() ([]TargetRecord, error) {
	var out []TargetRecord
	for name := range c.targets {
		records, err := readRecords(c.recordsPath(name))
		if err != nil {
			return nil, err
		}
		out = append(out, records...)
	}
	return out, nil
}

// readRecords reads one file of records. Only the last line may be incomplete,
// because the process may be killed while it writes a record.
func readRecords(path string) ([]TargetRecord, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &RunError{Op: "read records", Err: err}
	}
	var out []TargetRecord
	for n := 1; len(data) > 0; n++ {
		line := data
		if i := bytes.IndexByte(data, '\n'); i >= 0 {
			line, data = data[:i], data[i+1:]
		} else {
			data = nil
		}
		var r TargetRecord
		if err := json.Unmarshal(line, &r); err != nil {
			if len(data) == 0 {
				break
			}
			return nil, &RunError{Op: fmt.Sprintf("decode record %d of %s", n, path), Err: err}
		}
		out = append(out, r)
	}
	return out, nil
}
