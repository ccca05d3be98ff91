package fleet

import (
	"sort"
	"strings"
	"time"
)

// RouteKind tells whether a route's requests may run more than once.
type RouteKind uint8

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe RouteKind = iota
	// Safe requests may run more than once.
	Safe
	// Download requests are safe and have large responses.
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

// WeightedWorkload is a workload of a route and its share of the requests.
type WeightedWorkload struct {
	Workload string
	// Weight is relative to the weights of the route's other workloads.
	Weight float64
}

// Route maps requests for a host name and path prefix to workloads.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Workloads has one entry unless the route splits its requests.
	Workloads []WeightedWorkload
	// Timeout bounds the time until the response.
	Timeout time.Duration
	// Objective is the latency objective: a later response loses value.
	Objective time.Duration
	// Priority ranks the routes of a workload; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of targets that may receive one request.
	MaxAttempts int
	// Anonymous routes serve requests without a credential.
	Anonymous bool
}

// ChooseWorkload returns the workload for a request. random is a number from 0 to
// 1; values spread evenly over it yield the shares that the weights set.
func (r *Route) ChooseWorkload(random float64) string {
	total := 0.0
	for _, w := range r.Workloads {
		total += w.Weight
	}
	position := random * total
	for _, w := range r.Workloads {
		if position -= w.Weight; position < 0 {
			return w.Workload
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
	// ColdStart is how long a target stays cold after it starts.
	ColdStart time.Duration
	// ColdRate is the capacity of a cold target in requests per second.
	ColdRate float64
	// Keyed workloads divide their keys among their targets.
	Keyed bool
	// Warmup is how long requests for keys are slow at a target that received the
	// keys without a handover.
	Warmup time.Duration
}

// Limits bound the requests of callers.
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
	// Customers holds the customers, nil if the deployment has none and requests need no
	// credential.
	Customers *Customers

	routesByHost map[string][]*Route
}

// IndexRoutes builds the index for MatchRoute. Call it once, before the value is
// shared.
func (d *DesiredState) IndexRoutes() {
	d.routesByHost = map[string][]*Route{}
	for i := range d.Routes {
		r := &d.Routes[i]
		d.routesByHost[r.Host] = append(d.routesByHost[r.Host], r)
	}
	for _, list := range d.routesByHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
}

// MatchRoute returns the route of the host name whose prefix of the path is the
// longest, or nil if none matches.
func (d *DesiredState) MatchRoute(host, path string) *Route {
	for _, r := range d.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
