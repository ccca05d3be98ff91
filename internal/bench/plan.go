package bench

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/examples"
)

// Role is the kind of a workload. Scenarios refer to workloads by role.
type Role string

// Roles of workloads.
const (
	// RoleRead is keyed and idempotent.
	RoleRead Role = "read"
	// RoleWrite is keyed and not idempotent.
	RoleWrite Role = "write"
	// RolePlain is unkeyed.
	RolePlain Role = "plain"
)

// WorkloadPlan is a workload with the parameters of its simulated load.
type WorkloadPlan struct {
	contract.Workload
	Role Role
	// ServiceMS is the median service time in milliseconds, SigmaLog the
	// standard deviation of its logarithm.
	ServiceMS, SigmaLog float64
	// Keys is the number of different keys.
	Keys int
	// PostShare is the share of requests with a method that is not idempotent.
	PostShare float64
	// Slots is the total number of slots of the workload's targets.
	Slots int
}

// EntryPlan is one entry host.
type EntryPlan struct{ Name, Domain string }

// CustomerPlan is one customer and its share of the load.
type CustomerPlan struct {
	contract.Contract
	Token string
	Share float64
}

// Plan is a deployment at one scale with the parameters that the bench adds.
type Plan struct {
	Name       string
	Deployment contract.Deployment
	Workloads  map[string]WorkloadPlan
	Entries    []EntryPlan
	Customers  []CustomerPlan
	// DomainRTT and CallerRTT are the round-trip times between domains and from
	// the callers to the entry hosts; ConnectDelay delays each new connection.
	DomainRTT, CallerRTT, ConnectDelay time.Duration
	// Utilization is the fraction of all slots that the load uses at factor 1.
	Utilization float64
}

// deploymentExtra holds parameters that the example deployments do not define.
type deploymentExtra struct {
	entries   int
	callerRTT time.Duration
	workloads map[string]WorkloadPlan
}

var deploymentExtras = map[string]deploymentExtra{
	"andaimes": {entries: 11, callerRTT: time.Millisecond, workloads: map[string]WorkloadPlan{
		"lookups":       {Role: RoleRead, ServiceMS: 10, SigmaLog: 0.3, Keys: 20000},
		"registrations": {Role: RoleWrite, ServiceMS: 25, SigmaLog: 0.3, Keys: 20000, PostShare: 1},
		"archive":       {Role: RolePlain, ServiceMS: 60, SigmaLog: 0.3, Keys: 5000, PostShare: 0.2},
	}},
	"toise": {entries: 10, callerRTT: 8 * time.Millisecond, workloads: map[string]WorkloadPlan{
		"templates": {Role: RoleRead, ServiceMS: 25, SigmaLog: 0.3, Keys: 20000},
		"orders":    {Role: RoleWrite, ServiceMS: 40, SigmaLog: 0.3, Keys: 20000, PostShare: 1},
		"proofs":    {Role: RolePlain, ServiceMS: 120, SigmaLog: 0.3, Keys: 5000, PostShare: 0.2},
	}},
}

const (
	// minTargets and minEntriesPerDomain ensure that a scaled deployment can lose
	// one of each.
	minTargets          = 3
	minEntriesPerDomain = 2
	// utilization leaves capacity for the loss of a quarter of the targets.
	utilization = 0.5
	// ProbeCustomer is a customer whose contract only configuration changes use.
	ProbeCustomer = "bench-probe"
	probeToken    = "example-token-bench-probe"
)

// NewPlan returns the plan of an example deployment at a scale in (0, 1]. It
// multiplies the numbers of targets and entry hosts and the contracts' rates and
// bursts by the scale, down to a minimum for targets, entry hosts and bursts.
func NewPlan(name string, scale float64) (*Plan, error) {
	d, err := examples.Load(name)
	if err != nil {
		return nil, err
	}
	x := deploymentExtras[name]
	p := &Plan{
		Name: name, Deployment: d, Workloads: map[string]WorkloadPlan{},
		DomainRTT: 1500 * time.Microsecond, CallerRTT: x.callerRTT, ConnectDelay: time.Millisecond,
		Utilization: utilization,
	}
	p.scaleTargets(scale)
	p.addWorkloads(x)
	p.addEntries(int(math.Round(float64(x.entries)*scale)), x.entries)
	p.addCustomers(scale)
	return p, nil
}

func (p *Plan) scaleTargets(scale float64) {
	count, kept := map[string]int{}, []contract.Target{}
	total := map[string]int{}
	for _, t := range p.Deployment.Targets {
		total[t.Workload]++
	}
	for _, t := range p.Deployment.Targets {
		limit := min(total[t.Workload], max(minTargets, int(math.Round(float64(total[t.Workload])*scale))))
		if count[t.Workload] < limit {
			count[t.Workload]++
			kept = append(kept, t)
		}
	}
	p.Deployment.Targets = kept
}

func (p *Plan) addWorkloads(x deploymentExtra) {
	for _, w := range p.Deployment.Workloads {
		wp := x.workloads[w.Name]
		wp.Workload = w
		for _, t := range p.Deployment.Targets {
			if t.Workload == w.Name {
				wp.Slots += t.Slots
			}
		}
		p.Workloads[w.Name] = wp
	}
}

func (p *Plan) addEntries(want, full int) {
	domains := p.Deployment.Domains
	n := min(full, max(want, minEntriesPerDomain*len(domains)))
	for i := range n {
		p.Entries = append(p.Entries, EntryPlan{Name: fmt.Sprintf("entry%02d", i+1), Domain: domains[i%len(domains)].Name})
	}
}

// addCustomers scales the rates of the contracts, but not their concurrency
// limits: at a small scale one target holds a large share of the requests, so
// the loss of a target would exceed a scaled limit and cause refusals.
func (p *Plan) addCustomers(scale float64) {
	shares := []float64{0.5, 0.35, 0.15}
	for i := range p.Deployment.Contracts {
		c := &p.Deployment.Contracts[i]
		c.RatePerSecond *= scale
		c.Burst = max(20, c.Burst*scale)
		p.Customers = append(p.Customers, CustomerPlan{Contract: *c, Token: examples.TokenPrefix + c.Customer, Share: shares[min(i, len(shares)-1)]})
	}
	sum := sha256.Sum256([]byte(probeToken))
	p.Deployment.Contracts = append(p.Deployment.Contracts, contract.Contract{
		Customer: ProbeCustomer, CredentialHashes: []string{hex.EncodeToString(sum[:])},
		Workloads: []string{p.Workload(RolePlain).Name}, RatePerSecond: 1000, Burst: 1000, Concurrency: 100, Weight: 1,
	})
}

// limitLastCustomer sets the rate of the last customer's contract to a multiple
// of its load at factor 1. A multiple of 0 changes nothing.
func (p *Plan) limitLastCustomer(multiple float64) {
	if multiple == 0 {
		return
	}
	last := &p.Customers[len(p.Customers)-1]
	baseRate := 0.0
	for _, w := range p.Workloads {
		allowed, total := false, 0.0
		for _, c := range p.Customers {
			if slices.Contains(c.Workloads, w.Name) {
				total += c.Share
				allowed = allowed || c.Customer == last.Customer
			}
		}
		if allowed {
			baseRate += p.Rate(w) * last.Share / total
		}
	}
	last.RatePerSecond = multiple * baseRate
	last.Burst = max(20, last.RatePerSecond/4)
	for i := range p.Deployment.Contracts {
		if p.Deployment.Contracts[i].Customer == last.Customer {
			p.Deployment.Contracts[i] = last.Contract
		}
	}
}

// Workload returns the workload with a role, or a zero WorkloadPlan.
func (p *Plan) Workload(r Role) WorkloadPlan {
	for _, w := range p.Workloads {
		if w.Role == r {
			return w
		}
	}
	return WorkloadPlan{}
}

// Targets returns the names of the targets of a role, in deployment order.
func (p *Plan) Targets(r Role) []string {
	var out []string
	for _, t := range p.Deployment.Targets {
		if p.Workloads[t.Workload].Role == r {
			out = append(out, t.Name)
		}
	}
	return out
}

// DomainOf returns the domain of a target or entry host.
func (p *Plan) DomainOf(name string) string {
	for _, t := range p.Deployment.Targets {
		if t.Name == name {
			return t.Domain
		}
	}
	for _, e := range p.Entries {
		if e.Name == name {
			return e.Domain
		}
	}
	return ""
}

// Capacity returns the requests per second that a workload's targets can serve.
func (p *Plan) Capacity(w WorkloadPlan) float64 {
	mean := w.ServiceMS * math.Exp(w.SigmaLog*w.SigmaLog/2) / 1000
	return float64(w.Slots) / mean
}

// Rate returns the requests per second of a workload at load factor 1.
func (p *Plan) Rate(w WorkloadPlan) float64 { return p.Utilization * p.Capacity(w) }

// Idempotent reports whether a method of a workload is idempotent.
func (w WorkloadPlan) Idempotent(method string) bool {
	return slices.Contains(w.IdempotentMethods, method)
}
