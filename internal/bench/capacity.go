package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/boottime"
)

const (
	// settleTime is how long no record must have been appended before the
	// measurement, so that the first assignment and the opening of connections
	// are not counted.
	settleTime = 4 * time.Second
	// capacityTime is the length of the measurement.
	capacityTime = 6 * time.Second
)

// Size is one point of a capacity measurement.
type Size struct {
	Domains          int   `json:"domains"`
	HostsPerDomain   int   `json:"hosts_per_domain"`
	TargetsPerDomain int   `json:"targets_per_domain"`
	Shards           int32 `json:"shards"`
	Contracts        int   `json:"contracts"`
}

// RoleUse is what the entry hosts of one role use on average, without load.
type RoleUse struct {
	Hosts      int     `json:"hosts"`
	CPUPercent float64 `json:"cpu_percent"`
	MemoryMB   float64 `json:"memory_mb"`
	// PeerBytes is the traffic with other entry hosts, PlatformBytes that with
	// the log, the list of hosts and targets, both directions, in bytes per second.
	PeerBytes     float64 `json:"peer_bytes_per_s"`
	PlatformBytes float64 `json:"platform_bytes_per_s"`
	LogReads      float64 `json:"log_reads_per_s"`
	// Calls counts the calls to other entry hosts by method, Grants those to
	// targets, per second.
	Calls  map[string]float64 `json:"peer_calls_per_s,omitempty"`
	Grants float64            `json:"grants_per_s"`
}

// CapacityPoint is the use of each role at one size. The roles are leader,
// granter and plain.
type CapacityPoint struct {
	Size
	Roles   map[string]RoleUse `json:"roles,omitempty"`
	Appends float64            `json:"log_appends_per_s"`
	// Ready is the time from the start of the entry hosts to readiness of all,
	// in seconds.
	Ready float64 `json:"ready_s"`
	// Load is the machine's load average over one minute after the measurement.
	Load float64 `json:"load_average"`
	// Error says why there is no measurement at this size.
	Error string `json:"error,omitempty"`
}

// baseSize is the size that each dimension is varied from.
var baseSize = Size{Domains: 1, HostsPerDomain: 4, TargetsPerDomain: 8, Shards: 1024, Contracts: 3}

// Dimension is one quantity of a Size with the values that it is measured at.
type Dimension struct {
	Name   string
	values []int
	set    func(*Size, int)
}

// Dimensions are the quantities that a capacity measurement varies one at a
// time.
var Dimensions = []Dimension{
	{"targets", []int{8, 24, 48, 90}, func(s *Size, n int) { s.TargetsPerDomain = n }},
	{"hosts", []int{4, 10, 20, 40}, func(s *Size, n int) { s.HostsPerDomain = n }},
	{"domains", []int{1, 3, 6, 13}, func(s *Size, n int) { s.Domains = n }},
	{"shards", []int{1024, 16384, 65536}, func(s *Size, n int) { s.Shards = int32(n) }},
	{"contracts", []int{3, 1000, 10000}, func(s *Size, n int) { s.Contracts = n }},
}

// Sizes returns the sizes at which the dimension is measured.
func (d Dimension) Sizes() []Size {
	out := make([]Size, len(d.values))
	for i, n := range d.values {
		out[i] = baseSize
		d.set(&out[i], n)
	}
	return out
}

// readyLimitFor returns how long a deployment of a size may take until all its
// entry hosts are ready: the processes start side by side on one machine.
func readyLimitFor(size Size) time.Duration {
	processes := size.Domains * (size.HostsPerDomain + size.TargetsPerDomain)
	records := int(size.Shards)/4096 + size.Contracts/1000
	return readyLimit + time.Duration(processes)*time.Second/4 + time.Duration(records)*time.Second
}

// MeasureCapacity starts a deployment of one size and measures what its entry
// hosts use without load.
func MeasureCapacity(ctx context.Context, size Size, bin Binaries, log hclog.Logger) (CapacityPoint, error) {
	dir, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return CapacityPoint{}, &RunError{Op: "make a directory", Err: err}
	}
	defer os.RemoveAll(dir)
	plan := sizedPlan(size)
	c, err := StartCluster(ctx, ClusterConfig{Plan: plan, Policy: PolicyOwn, Binaries: bin, Dir: dir, Seed: 1, Logger: log})
	if err != nil {
		return CapacityPoint{}, err
	}
	defer c.Close()
	b := newBalancer(c)
	bctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go b.run(bctx)
	started := boottime.Now()
	for deadline := started + readyLimitFor(size); !b.allUp(); {
		if boottime.Now() > deadline {
			return CapacityPoint{}, &TimeoutError{What: "readiness of all entry hosts"}
		}
		if !sleepUntil(ctx, boottime.Now()+20*time.Millisecond) {
			return CapacityPoint{}, ctx.Err()
		}
	}
	ready := boottime.Now() - started
	if err := addContracts(ctx, newLogConfigurer(c.logAddr.Addr), size); err != nil {
		return CapacityPoint{}, err
	}
	if err := c.settle(ctx, started+2*readyLimitFor(size)); err != nil {
		return CapacityPoint{}, err
	}
	point, err := c.measureRoles(ctx, size)
	point.Ready, point.Load = ready.Seconds(), loadAverage()
	return point, err
}

// settle waits until no record has been appended for settleTime, so that the
// first assignment is not measured, or until a limit.
func (c *Cluster) settle(ctx context.Context, limit time.Duration) error {
	for last := -1.0; ; {
		samples, err := c.samples(ctx)
		if err != nil {
			return err
		}
		appends := 0.0
		for _, s := range samples {
			appends += s.appends
		}
		if appends == last {
			return nil
		}
		last = appends
		if boottime.Now() > limit {
			return &TimeoutError{What: "end of the first assignment"}
		}
		if !sleepUntil(ctx, boottime.Now()+settleTime) {
			return ctx.Err()
		}
	}
}

// loadAverage returns the machine's load average over one minute, or 0 when it
// cannot be read.
func loadAverage() float64 {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	var load float64
	_, _ = fmt.Sscan(string(raw), &load)
	return load
}

// sizedPlan returns a deployment with one keyed workload.
func sizedPlan(size Size) *Plan {
	w := contract.Workload{Name: "lookups", Keyed: true, Shards: size.Shards, Fencing: true}
	p := &Plan{
		Name: "capacity", Workloads: map[string]WorkloadPlan{}, Utilization: utilization,
		Deployment: contract.Deployment{Name: "capacity", IsolatedServeMS: -1, Workloads: []contract.Workload{w}},
	}
	p.Workloads[w.Name] = WorkloadPlan{Workload: w, Role: RoleRead, ServiceMS: 10, Keys: 1000, Slots: 2}
	for d := range size.Domains {
		name := fmt.Sprintf("d%02d", d)
		p.Deployment.Domains = append(p.Deployment.Domains, contract.Domain{Name: name})
		for i := range size.TargetsPerDomain {
			p.Deployment.Targets = append(p.Deployment.Targets, contract.Target{
				Name: fmt.Sprintf("%s-t%03d", name, i), Workload: w.Name, Domain: name, Addr: "127.0.0.1:1", Slots: 2, MaxConnections: 130,
			})
		}
		for i := range size.HostsPerDomain {
			p.Entries = append(p.Entries, EntryPlan{Name: fmt.Sprintf("%s-e%03d", name, i), Domain: name})
		}
	}
	for i := range min(size.Contracts, contractsPerRecord) {
		p.Deployment.Contracts = append(p.Deployment.Contracts, sizedContract(i))
	}
	return p
}

// contractsPerRecord keeps records below the log's limit of 1 MiB. The first
// configuration is one record, so the other contracts follow as changes.
const contractsPerRecord = 2000

func sizedContract(i int) contract.Contract {
	return contract.Contract{
		Customer: fmt.Sprintf("customer-%05d", i), CredentialHashes: []string{fmt.Sprintf("%064x", i)},
		Workloads: []string{"lookups"}, RatePerSecond: 100, Burst: 100, Concurrency: 10, Weight: 1,
	}
}

// addContracts adds those that the first configuration does not hold.
func addContracts(ctx context.Context, to configurer, size Size) error {
	for from := contractsPerRecord; from < size.Contracts; from += contractsPerRecord {
		var items []contract.Item
		for i := from; i < min(from+contractsPerRecord, size.Contracts); i++ {
			c := sizedContract(i)
			items = append(items, contract.Item{Contract: &c})
		}
		if err := to.change(ctx, items...); err != nil {
			return err
		}
	}
	return nil
}

// hostSample is what one entry host had used at a time.
type hostSample struct {
	cpu                            time.Duration
	memory                         int64
	peer, platform, reads, appends float64
	grants                         float64
	calls                          map[string]float64
	rank                           int
}

func (c *Cluster) measureRoles(ctx context.Context, size Size) (CapacityPoint, error) {
	before, err := c.samples(ctx)
	if err != nil {
		return CapacityPoint{}, err
	}
	start := boottime.Now()
	sleepUntil(ctx, start+capacityTime)
	after, err := c.samples(ctx)
	if err != nil {
		return CapacityPoint{}, err
	}
	seconds := (boottime.Now() - start).Seconds()
	point := CapacityPoint{Size: size, Roles: map[string]RoleUse{}}
	for name, a := range after {
		b := before[name]
		role := [...]string{"plain", "leader", "granter", "granter"}[min(a.rank+1, 3)]
		u := point.Roles[role]
		u.Hosts++
		u.CPUPercent += 100 * (a.cpu - b.cpu).Seconds() / seconds
		u.MemoryMB += float64(a.memory) / (1 << 20)
		u.PeerBytes += (a.peer - b.peer) / seconds
		u.PlatformBytes += (a.platform - b.platform) / seconds
		u.LogReads += (a.reads - b.reads) / seconds
		u.Grants += (a.grants - b.grants) / seconds
		if u.Calls == nil {
			u.Calls = map[string]float64{}
		}
		for method, n := range a.calls {
			u.Calls[method] += (n - b.calls[method]) / seconds
		}
		point.Appends += (a.appends - b.appends) / seconds
		point.Roles[role] = u
	}
	for role, u := range point.Roles {
		n := float64(u.Hosts)
		u.CPUPercent, u.MemoryMB, u.PeerBytes, u.PlatformBytes = u.CPUPercent/n, u.MemoryMB/n, u.PeerBytes/n, u.PlatformBytes/n
		u.LogReads, u.Grants = u.LogReads/n, u.Grants/n
		for method := range u.Calls {
			u.Calls[method] /= n
		}
		point.Roles[role] = u
	}
	return point, nil
}

func (c *Cluster) samples(ctx context.Context) (map[string]hostSample, error) {
	out := map[string]hostSample{}
	for name, n := range c.entries {
		s, err := n.sample(ctx)
		if err != nil {
			return nil, err
		}
		out[name] = s
	}
	return out, nil
}

// sample reads the metrics of an entry host.
func (n *entryNode) sample(ctx context.Context) (hostSample, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.operator+"/debug/vars", nil)
	if err != nil {
		return hostSample{}, &RunError{Op: "read the metrics of " + n.Name, Err: err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return hostSample{}, &RunError{Op: "read the metrics of " + n.Name, Err: err}
	}
	defer resp.Body.Close()
	var v struct {
		PeerIn      float64            `json:"peer_received_bytes"`
		PeerOut     float64            `json:"peer_sent_bytes"`
		PlatformIn  float64            `json:"platform_received_bytes"`
		PlatformOut float64            `json:"platform_sent_bytes"`
		Reads       float64            `json:"log_reads_count"`
		Appends     map[string]float64 `json:"log_appends_count"`
		Rank        map[string]int     `json:"granter_rank"`
		Calls       map[string]float64 `json:"peer_calls_count"`
		Grants      map[string]float64 `json:"grants_count"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&v); err != nil {
		return hostSample{}, &RunError{Op: "decode the metrics of " + n.Name, Err: err}
	}
	s := hostSample{
		cpu: n.proc.cpu(), memory: n.proc.memory(), peer: v.PeerIn + v.PeerOut,
		platform: v.PlatformIn + v.PlatformOut, reads: v.Reads, rank: v.Rank[n.Name],
	}
	s.calls = v.Calls
	for _, count := range v.Grants {
		s.grants += count
	}
	for kind, count := range v.Appends {
		if kind != "failed" {
			s.appends += count
		}
	}
	return s, nil
}
