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
	// settleTime is how long the log must have had no appends before the
	// measurement, so that it excludes the initial assignment and the opening of
	// connections.
	settleTime = 4 * time.Second
	// capacityTime is the duration of the measurement.
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

// RoleUsage is the average resource usage of the entry hosts of one role,
// without load.
type RoleUsage struct {
	Hosts      int     `json:"hosts"`
	CPUPercent float64 `json:"cpu_percent"`
	MemoryMB   float64 `json:"memory_mb"`
	// PeerBytes is the traffic with other entry hosts, PlatformBytes the traffic
	// with the log, the host list and the targets, both directions, in bytes per
	// second.
	PeerBytes     float64 `json:"peer_bytes_per_s"`
	PlatformBytes float64 `json:"platform_bytes_per_s"`
	LogReads      float64 `json:"log_reads_per_s"`
	// Calls is the rate of calls to other entry hosts by method, Grants the rate
	// of grant calls to targets, per second.
	Calls  map[string]float64 `json:"peer_calls_per_s,omitempty"`
	Grants float64            `json:"grants_per_s"`
}

// CapacityPoint is the resource usage of each role at one size. The roles are
// leader, granter and plain.
type CapacityPoint struct {
	Size
	Roles   map[string]RoleUsage `json:"roles,omitempty"`
	Appends float64              `json:"log_appends_per_s"`
	// Ready is the time from the start of the entry hosts until all are ready, in
	// seconds.
	Ready float64 `json:"ready_s"`
	// LoadAverage is the machine's one-minute load average after the measurement.
	LoadAverage float64 `json:"load_average"`
	// Error is the reason why there is no measurement at this size.
	Error string `json:"error,omitempty"`
}

// baseSize is the size from which each dimension is varied.
var baseSize = Size{Domains: 1, HostsPerDomain: 4, TargetsPerDomain: 8, Shards: 1024, Contracts: 3}

// Dimension is one quantity of a Size and the values at which it is measured.
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

// readyTimeoutFor returns how long a deployment of a size may take until all its
// entry hosts are ready. It grows with the number of processes, since all start
// at the same time on one machine.
func readyTimeoutFor(size Size) time.Duration {
	processes := size.Domains * (size.HostsPerDomain + size.TargetsPerDomain)
	records := int(size.Shards)/4096 + size.Contracts/1000
	return readyTimeout + time.Duration(processes)*time.Second/4 + time.Duration(records)*time.Second
}

// MeasureCapacity starts a deployment of one size and measures the resource
// usage of its entry hosts without load.
func MeasureCapacity(ctx context.Context, size Size, bin Binaries, log hclog.Logger) (CapacityPoint, error) {
	dir, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return CapacityPoint{}, &RunError{Op: "create a directory", Err: err}
	}
	defer os.RemoveAll(dir)
	plan := sizedPlan(size)
	c, err := StartCluster(ctx, ClusterConfig{Plan: plan, Policy: PolicyBoragelock, Binaries: bin, Dir: dir, Seed: 1, Logger: log})
	if err != nil {
		return CapacityPoint{}, err
	}
	defer c.Close()
	b := newBalancer(c)
	bctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go b.run(bctx)
	started := boottime.Now()
	for deadline := started + readyTimeoutFor(size); !b.allUp(); {
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
	if err := c.awaitNoAppends(ctx, started+2*readyTimeoutFor(size)); err != nil {
		return CapacityPoint{}, err
	}
	point, err := c.measureRoles(ctx, size)
	point.Ready, point.LoadAverage = ready.Seconds(), loadAverage()
	return point, err
}

// awaitNoAppends waits until the log has had no appends for settleTime, so that
// the measurement excludes the initial assignment. It fails after limit, a
// boot-time instant.
func (c *Cluster) awaitNoAppends(ctx context.Context, limit time.Duration) error {
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
			return &TimeoutError{What: "end of the initial assignment"}
		}
		if !sleepUntil(ctx, boottime.Now()+settleTime) {
			return ctx.Err()
		}
	}
}

// loadAverage returns the machine's one-minute load average, or 0 when it cannot
// be read.
func loadAverage() float64 {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	var load float64
	_, _ = fmt.Sscan(string(raw), &load)
	return load
}

// sizedPlan returns a deployment of the given size with one keyed workload.
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

// contractsPerRecord keeps records below the log's limit of 1 MiB. The initial
// configuration is one record, so further contracts are added by changes.
const contractsPerRecord = 2000

func sizedContract(i int) contract.Contract {
	return contract.Contract{
		Customer: fmt.Sprintf("customer-%05d", i), CredentialHashes: []string{fmt.Sprintf("%064x", i)},
		Workloads: []string{"lookups"}, RatePerSecond: 100, Burst: 100, Concurrency: 10, Weight: 1,
	}
}

// addContracts adds the contracts that do not fit in the initial configuration.
func addContracts(ctx context.Context, cfg configurer, size Size) error {
	for from := contractsPerRecord; from < size.Contracts; from += contractsPerRecord {
		var items []contract.Item
		for i := from; i < min(from+contractsPerRecord, size.Contracts); i++ {
			c := sizedContract(i)
			items = append(items, contract.Item{Contract: &c})
		}
		if err := cfg.change(ctx, items...); err != nil {
			return err
		}
	}
	return nil
}

// hostSample holds the usage counters of one entry host at one time.
type hostSample struct {
	cpu                                         time.Duration
	memory                                      int64
	peerBytes, platformBytes, logReads, appends float64
	grants                                      float64
	peerCalls                                   map[string]float64
	granterRank                                 int
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
	point := CapacityPoint{Size: size, Roles: map[string]RoleUsage{}}
	for name, a := range after {
		b := before[name]
		role := [...]string{"plain", "leader", "granter", "granter"}[min(a.granterRank+1, 3)]
		u := point.Roles[role]
		u.Hosts++
		u.CPUPercent += 100 * (a.cpu - b.cpu).Seconds() / seconds
		u.MemoryMB += float64(a.memory) / (1 << 20)
		u.PeerBytes += (a.peerBytes - b.peerBytes) / seconds
		u.PlatformBytes += (a.platformBytes - b.platformBytes) / seconds
		u.LogReads += (a.logReads - b.logReads) / seconds
		u.Grants += (a.grants - b.grants) / seconds
		if u.Calls == nil {
			u.Calls = map[string]float64{}
		}
		for method, n := range a.peerCalls {
			u.Calls[method] += (n - b.peerCalls[method]) / seconds
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
		cpu: n.proc.cpu(), memory: n.proc.memory(), peerBytes: v.PeerIn + v.PeerOut,
		platformBytes: v.PlatformIn + v.PlatformOut, logReads: v.Reads, granterRank: v.Rank[n.Name],
	}
	s.peerCalls = v.Calls
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
