package fleet

import (
	"sort"
	"strings"
	"time"
)

// RouteKind says what may be repeated on a route.
type RouteKind uint8

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe RouteKind = iota
	// Safe requests may run more than once.
	Safe
	// Download requests are safe and have large answers.
	Download
)

// Idempotent reports whether requests of the kind may run more than once.
func (k RouteKind) Idempotent() bool { return k != Unsafe }

// String returns the name of the kind in logs and metrics.
func (k RouteKind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Download:
		return "download"
	}
	return "unsafe"
}

// WeightedWorkload is one workload of a route and its share of the requests.
type WeightedWorkload struct {
	Workload string
	// Weight is the share in relation to the other parts.
	Weight float64
}

// Route sends requests of one host name and path prefix to workloads.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Workloads has one entry for a route without a split.
	Workloads []WeightedWorkload
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full value.
	Objective time.Duration
	// Priority is the rank among the routes of a workload; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of targets that one request may be sent to.
	MaxAttempts int
}

// ChooseWorkload returns the workload for a request, given a random number from 0 to 1.
func (r *Route) ChooseWorkload(random float64) string {
	total := 0.0
	for _, p := range r.Workloads {
		total += p.Weight
	}
	x := random * total
	for _, p := range r.Workloads {
		if x -= p.Weight; x < 0 {
			return p.Workload
		}
	}
	return r.Workloads[len(r.Workloads)-1].Workload
}

// Workload is a service whose targets serve requests.
type Workload struct {
	Name       string
	HealthPath string
	// MaxConns is the number of connections that a target accepts from all hosts.
	MaxConns int
	// ColdStart is how long a target is cold after a start.
	ColdStart time.Duration
	// ColdRate is the number of requests a second that a cold target bears.
	ColdRate float64
	// Keyed workloads are divided between their targets by key.
	Keyed bool
	// Warmup is how long keys are slow that arrive without a handover.
	Warmup time.Duration
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// DesiredState is one version of the operators' desired state.
type DesiredState struct {
	Version   uint64
	Routes    []Route
	Workloads map[string]*Workload
	Limits    Limits

	byHost map[string][]*Route
}

// IndexRoutes prepares route lookups; it is called once, before the value is shared.
func (d *DesiredState) IndexRoutes() {
	d.byHost = map[string][]*Route{}
	for i := range d.Routes {
		r := &d.Routes[i]
		d.byHost[r.Host] = append(d.byHost[r.Host], r)
	}
	for _, list := range d.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
}

// MatchRoute returns the route of a host name with the longest prefix of the path,
// or nil.
func (d *DesiredState) MatchRoute(host, path string) *Route {
	for _, r := range d.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
