package contract

// Deployment is the complete configuration of one installation. It is the body
// of a bootstrap record and the content of the files in examples/.
type Deployment struct {
	// Name identifies the installation in logs and metrics.
	Name string `json:"name"`
	// Domains are the failure domains, in the order in which ties are broken.
	Domains []Domain `json:"domains"`
	// Workloads are the kinds of work that targets do.
	Workloads []Workload `json:"workloads"`
	// Targets are the backend instances.
	Targets []Target `json:"targets"`
	// Contracts are the customers' limits.
	Contracts []Contract `json:"contracts"`
	// IsolatedServeMS is how long a domain that is cut off from the log and
	// from its peers continues to serve its keyed workloads, in milliseconds;
	// -1 means without limit. Other domains take over the keys of its targets
	// only after this time.
	IsolatedServeMS int64 `json:"isolated_serve_ms"`
}

// OperatorState is the state that operators set for a domain, host or target.
type OperatorState string

// States set by operators.
const (
	// StateIn means in service. The empty string means the same.
	StateIn OperatorState = "in"
	// StateOut means that no new work may be sent.
	StateOut OperatorState = "out"
	// StateLost is an operator's declaration that a whole domain has stopped:
	// none of its hosts and targets acts any more.
	StateLost OperatorState = "lost"
)

// InService reports whether new work may be sent.
func (s OperatorState) InService() bool { return s == "" || s == StateIn }

// Domain is a failure domain.
type Domain struct {
	Name string `json:"name"`
	// Region groups domains that are near each other.
	Region string        `json:"region,omitempty"`
	State  OperatorState `json:"state,omitempty"`
}

// Workload is one kind of work.
type Workload struct {
	Name string `json:"name"`
	// Keyed workloads have one owning target for each key; requests of other
	// workloads may go to any eligible target.
	Keyed bool `json:"keyed"`
	// Shards is the number of shards of a keyed workload. It is immutable.
	Shards int32 `json:"shards,omitempty"`
	// Fencing is set when the workload's targets check grants and epochs.
	Fencing bool `json:"fencing"`
	// IdempotentMethods are the HTTP methods that may be sent more than once.
	// The default is GET, HEAD, OPTIONS.
	IdempotentMethods []string `json:"idempotent_methods,omitempty"`
	// MaxBodyBytes limits a request body.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// DeadlineMS is the deadline of a request that sets none, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
}

// Target is one backend instance.
type Target struct {
	Name     string `json:"name"`
	Workload string `json:"workload"`
	Domain   string `json:"domain"`
	// Addr is host:port, the host as an IP address.
	Addr string `json:"addr"`
	// Slots is the number of requests that the target runs at once.
	Slots int `json:"slots"`
	// MaxConnections is the number of open connections that the target supports.
	MaxConnections int `json:"connections"`
	// ColdSlots is the number of requests that it can run at once when cold.
	ColdSlots int `json:"cold_slots,omitempty"`
	// RampMS is the time from cold to warm under load, in milliseconds.
	RampMS int64         `json:"ramp_ms,omitempty"`
	State  OperatorState `json:"state,omitempty"`
}

// Contract is what one customer may use.
type Contract struct {
	Customer string `json:"customer"`
	// CredentialHashes are SHA-256 hashes (hex) of the accepted credentials;
	// two during a rotation.
	CredentialHashes []string `json:"credential_hashes"`
	// Workloads that the customer may use.
	Workloads []string `json:"workloads"`
	// RatePerSecond and Burst limit requests across all entry hosts.
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         float64 `json:"burst"`
	// Concurrency limits requests in flight across all entry hosts.
	Concurrency int `json:"concurrency"`
	// Weight is the share under contention, relative to the other customers.
	Weight float64 `json:"weight"`
	// MaxBodyBytes limits a request body; 0 means the workload's limit.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// Ended contracts admit nothing.
	Ended bool `json:"ended,omitempty"`
}
