package settings

import (
	"encoding/json"
	"time"

	"github.com/boragelock/boragelock/contract"
)

// Settings are the settings of one entry host.
type Settings struct {
	// Name is the host's unique name, as in the platform's list of hosts.
	Name string `json:"name"`
	// Domain is the failure domain of the host.
	Domain string `json:"domain"`
	// HTTP holds the addresses of the request path.
	HTTP HTTP `json:"http"`
	// Peer holds the addresses of the JSON-RPC interface between entry hosts.
	Peer Peer `json:"peer"`
	// Operator holds the address of the operator interface.
	Operator Operator `json:"operator"`
	// LogURLs are the addresses of the platform's log.
	LogURLs []string `json:"log_urls"`
	// HostListURL is the address of the platform's list of hosts.
	HostListURL string `json:"host_list_url"`
	// SeedPeers are the peer addresses that a host asks for state while it has
	// none.
	SeedPeers []string `json:"seed_peers"`
	// Timings holds all durations.
	Timings Timings `json:"timings"`
	// Limits bound what a caller may send and what the host keeps.
	Limits Limits `json:"limits"`
	// Tracing configures OpenTelemetry.
	Tracing Tracing `json:"tracing"`
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string `json:"log_level"`
	// TLS names the files for mutual TLS between entry hosts.
	TLS TLS `json:"tls"`
	// UnsafeDisable lists disabled safeguards, for tests only.
	UnsafeDisable []Safeguard `json:"unsafe_disable"`
	// Deployment is appended to an empty log as its bootstrap record.
	Deployment Deployment `json:"deployment"`
}

// HTTP holds the addresses of the request path.
type HTTP struct {
	// Listen is the address for callers, IP:port.
	Listen string `json:"listen"`
	// ForwardListen is the address for requests from other entry hosts,
	// IP:port. It must not be reachable by callers.
	ForwardListen string `json:"forward_listen"`
	// Advertise is the address at which other entry hosts reach ForwardListen,
	// IP:port. The default is ForwardListen.
	Advertise string `json:"advertise"`
}

// Peer holds the addresses of the JSON-RPC interface.
type Peer struct {
	// Listen is the address for other entry hosts, IP:port.
	Listen string `json:"listen"`
	// Advertise is the address at which other entry hosts reach Listen,
	// IP:port. The default is Listen.
	Advertise string `json:"advertise"`
}

// Operator holds the address of the operator interface.
type Operator struct {
	// Listen is the address for operators and metrics, IP:port.
	Listen string `json:"listen"`
}

// Timings are durations in milliseconds.
type Timings struct {
	// LeaseMS is the duration of a target's lease.
	LeaseMS int64 `json:"lease_ms"`
	// RenewMS is the interval of lease renewals.
	RenewMS int64 `json:"renew_ms"`
	// AuthorityMS is how long a granter may renew after a complete log read.
	AuthorityMS int64 `json:"authority_ms"`
	// PermitMS is the duration of a home's lease.
	PermitMS int64 `json:"permit_ms"`
	// RouteTimeoutMS is how long a request waits for a usable route while its
	// shard changes owners.
	RouteTimeoutMS int64 `json:"hold_ms"`
	// BalancerDelayMS is how long a host that reports not ready keeps serving,
	// so that the platform's load balancer can stop sending to it.
	BalancerDelayMS int64 `json:"balancer_delay_ms"`
	// StopLimitMS is the maximum duration of a planned stop.
	StopLimitMS int64 `json:"stop_limit_ms"`
	// DeadlineMS is the deadline of a request when neither the caller nor the
	// workload sets one.
	DeadlineMS int64 `json:"deadline_ms"`
	// MaxDeadlineMS is the longest deadline that a caller may request.
	MaxDeadlineMS int64 `json:"max_deadline_ms"`
	// DialMS is the timeout for opening a connection to a target or an entry
	// host.
	DialMS int64 `json:"dial_ms"`
	// ReadHeaderMS limits how long a caller may take to send its header.
	ReadHeaderMS int64 `json:"read_header_ms"`
	// ReadBodyMS limits how long a caller may pause while it sends its body.
	ReadBodyMS int64 `json:"read_body_ms"`
	// IdleMS is how long an idle connection of a caller stays open.
	IdleMS int64 `json:"idle_ms"`
	// SilentMinMS is the shortest time without a response after which a
	// connection may be suspected to be silent.
	SilentMinMS int64 `json:"silent_min_ms"`
}

// Limits bound sizes and counts.
type Limits struct {
	// MaxKeyBytes limits a key.
	MaxKeyBytes int `json:"max_key_bytes"`
	// MaxHeaderBytes limits the header of a request.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// MaxBodyBytes limits a body when neither the workload nor the contract does.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxRouteWaiters limits the requests that wait for a route.
	MaxRouteWaiters int `json:"max_held"`
	// MaxDials limits concurrent dials to targets.
	MaxDials int `json:"max_dials"`
	// WarmConnections is the number of idle connections kept for each target.
	WarmConnections int `json:"warm_connections"`
	// MaxQueue limits the requests that wait for one target at its home.
	MaxQueue int `json:"max_queue"`
	// PeerConnections limits connections to each other entry host.
	PeerConnections int `json:"peer_connections"`
}

// Tracing configures OpenTelemetry.
type Tracing struct {
	// Enabled turns tracing spans on.
	Enabled bool `json:"enabled"`
	// Exporter is the span exporter; only stdout is supported.
	Exporter string `json:"exporter"`
	// SampleRatio is the fraction of traces that are recorded, 0 to 1.
	SampleRatio float64 `json:"sample_ratio"`
}

// TLS names PEM files. Either all of them are set or none.
type TLS struct {
	// Cert is the certificate of this host.
	Cert string `json:"cert"`
	// Key is the private key of Cert.
	Key string `json:"key"`
	// CA is the certificate authority that signs the certificates of all entry
	// hosts.
	CA string `json:"ca"`
}

// Safeguard names a safeguard that a test can disable to verify that the checker
// detects its absence.
type Safeguard string

// Safeguards.
const (
	// SafeguardFence is the check of the home's permit and the shard's epoch
	// before a write.
	SafeguardFence Safeguard = "fence"
	// SafeguardLeaseWait is the wait until a lease has expired for certain
	// before a takeover.
	SafeguardLeaseWait Safeguard = "lease-wait"
	// SafeguardRetryRule is the rule that a non-idempotent request is sent once.
	SafeguardRetryRule Safeguard = "retry-rule"
	// SafeguardLimitShare is the division of limits among entry hosts.
	SafeguardLimitShare Safeguard = "limit-share"
)

// Deployment is set as the path of a file or inline.
type Deployment struct {
	// Path is the file to read, or empty.
	Path string
	// Inline is the deployment when it is set inline, or nil.
	Inline *contract.Deployment
}

// MarshalJSON writes the format that Parse reads.
func (d Deployment) MarshalJSON() ([]byte, error) {
	if d.Inline != nil {
		return json.Marshal(d.Inline)
	}
	return json.Marshal(d.Path)
}

// Disabled reports whether a safeguard is disabled.
func (s *Settings) Disabled(g Safeguard) bool {
	for _, x := range s.UnsafeDisable {
		if x == g {
			return true
		}
	}
	return false
}

// MS converts milliseconds to a duration.
func MS(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Default returns the values of settings that a file does not set.
func Default() Settings {
	return Settings{
		Timings: Timings{
			LeaseMS: 800, RenewMS: 200, AuthorityMS: 500, PermitMS: 700, RouteTimeoutMS: 1000,
			BalancerDelayMS: 3000, StopLimitMS: 30_000, DeadlineMS: 5000, MaxDeadlineMS: 60_000,
			DialMS: 250, ReadHeaderMS: 5000, ReadBodyMS: 10_000, IdleMS: 60_000, SilentMinMS: 150,
		},
		Limits: Limits{
			MaxKeyBytes: 1024, MaxHeaderBytes: 16 << 10, MaxBodyBytes: 8 << 20, MaxRouteWaiters: 2048,
			MaxDials: 4, WarmConnections: 2, MaxQueue: 256, PeerConnections: 256,
		},
		Tracing:  Tracing{Exporter: "stdout", SampleRatio: 1},
		LogLevel: "info",
	}
}
