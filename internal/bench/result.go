package bench

// ViolationKind names a violation of an invariant.
type ViolationKind string

// Violations.
const (
	// DualOwner: two targets served one key at the same time, or the owner of an
	// earlier epoch served it after the owner of a later one.
	DualOwner ViolationKind = "dual_owner"
	// DoubleRun: a non-idempotent request took effect more than once.
	DoubleRun ViolationKind = "double_run"
	// FalseNotRun: a caller received not_run, but the request took effect.
	FalseNotRun ViolationKind = "false_not_run"
	// LostAcknowledged: a caller received a success response, but the request
	// had no effect.
	LostAcknowledged ViolationKind = "lost_acknowledged"
	// WrongAnswer: a response was truncated or belongs to another request.
	WrongAnswer ViolationKind = "wrong_or_partial_answer"
	// OverLimit: a contract's or a target's limit was exceeded.
	OverLimit ViolationKind = "over_limit"
	// LateNewWork: an execution started too long after its target started to
	// leave or its domain was taken out.
	LateNewWork ViolationKind = "late_new_work"
	// CutInFlight: a planned stop interrupted a request.
	CutInFlight ViolationKind = "cut_in_flight"
	// ConfigReverted: a host applied an earlier configuration after a later one.
	ConfigReverted ViolationKind = "config_reverted"
)

// Quantiles of a set of durations, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Unavailable holds quantiles of the unavailable time per shard.
type Unavailable struct {
	Affected   *Quantiles `json:"affected,omitempty"`
	Unaffected *Quantiles `json:"unaffected,omitempty"`
}

// Latency of successful requests in milliseconds, measured from their scheduled
// send time.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
}

// WorkloadResult is the part of a result for one workload.
type WorkloadResult struct {
	Requests int `json:"requests"`
	OK       int `json:"ok"`
	Latency
	Imbalance *float64 `json:"imbalance,omitempty"`
}

// Control is the mean cost of the control plane per entry host: CPU time in
// percent of a core, peer and log traffic, all before the load, and memory at
// the end of the load.
type Control struct {
	CPUPercent      float64 `json:"cpu_percent"`
	MemoryMB        float64 `json:"memory_mb"`
	PeerBytesPerSec float64 `json:"peer_bytes_per_s"`
	LogBytesPerSec  float64 `json:"log_bytes_per_s"`
}

// Result is the outcome of one scenario under one policy. It omits fields that
// the scenario does not measure.
type Result struct {
	Deployment string  `json:"deployment"`
	Scenario   string  `json:"scenario"`
	Seed       uint64  `json:"seed"`
	Policy     string  `json:"policy"`
	Scale      float64 `json:"scale"`
	DurationS  float64 `json:"duration_s"`
	Broken     string  `json:"broken,omitempty"`

	Requests   int `json:"requests"`
	OK         int `json:"ok"`
	NotRun     int `json:"not_run"`
	MayHaveRun int `json:"may_have_run"`
	// Limited counts the calls in NotRun and MayHaveRun whose last attempt
	// exceeded a contract.
	Limited int `json:"limited"`
	// Codes counts the error codes of calls that failed.
	Codes map[string]int `json:"codes,omitempty"`
	// Goodput is the number of successes per second of the measured time.
	Goodput float64 `json:"goodput_per_s"`

	Imbalance   *float64     `json:"imbalance,omitempty"`
	Churn       *float64     `json:"churn,omitempty"`
	Unavailable *Unavailable `json:"unavailable_ms,omitempty"`
	// DomainService is the share of requests within their contract that succeeded
	// while a domain was taken out or cut off, and shortly after.
	DomainService *float64 `json:"domain_service,omitempty"`
	Latency
	CPUPerRequest   *float64      `json:"cpu_us_per_request,omitempty"`
	ConfigInForceMS *Distribution `json:"config_in_force_ms,omitempty"`
	Control         *Control      `json:"control,omitempty"`
	// OtherCustomersP99 is the p99 latency of the other customers while one
	// customer floods.
	OtherCustomersP99 *float64                  `json:"other_customers_p99_ms,omitempty"`
	Workloads         map[string]WorkloadResult `json:"workloads"`
	Violations        map[ViolationKind]int     `json:"violations"`
	// Examples describe the first violations of each kind.
	Examples []string `json:"examples,omitempty"`
}

// Violated reports whether any violation was counted.
func (r Result) Violated() bool {
	for _, n := range r.Violations {
		if n != 0 {
			return true
		}
	}
	return false
}
