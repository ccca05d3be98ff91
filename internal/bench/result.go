package bench

// ViolationKind names a violation of an invariant.
type ViolationKind string

// Violations.
const (
	// DualOwner: two targets acted for one key at the same time, or the owner
	// of an earlier epoch acted after that of a later one.
	DualOwner ViolationKind = "dual_owner"
	// DoubleRun: a non-idempotent request took effect more than once.
	DoubleRun ViolationKind = "double_run"
	// FalseNotRun: a caller was told not_run, but the request took effect.
	FalseNotRun ViolationKind = "false_not_run"
	// LostAcknowledged: a caller got an answer of success without an effect.
	LostAcknowledged ViolationKind = "lost_acknowledged"
	// WrongAnswer: an answer was cut or belongs to another request.
	WrongAnswer ViolationKind = "wrong_or_partial_answer"
	// OverLimit: a contract's or a target's limit was exceeded.
	OverLimit ViolationKind = "over_limit"
	// LateNewWork: a run started too long after its target started to leave or
	// its domain was taken out.
	LateNewWork ViolationKind = "late_new_work"
	// CutInFlight: a planned stop interrupted a request.
	CutInFlight ViolationKind = "cut_in_flight"
	// ConfigReverted: a host applied an earlier configuration after a later one.
	ConfigReverted ViolationKind = "config_reverted"
)

// Quantiles of a duration in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Unavailable is the unavailable time of shards, each shard once.
type Unavailable struct {
	Affected   *Quantiles `json:"affected,omitempty"`
	Unaffected *Quantiles `json:"unaffected,omitempty"`
}

// Latency of successful requests in milliseconds, counted from when they were
// due, not from when they could be sent.
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

// Control is the cost of the control plane of one entry host: the CPU time in
// percent of a core without load, its memory, and its peer and log traffic.
type Control struct {
	CPUPercent      float64 `json:"cpu_percent"`
	MemoryMB        float64 `json:"memory_mb"`
	PeerBytesPerSec float64 `json:"peer_bytes_per_s"`
	LogBytesPerSec  float64 `json:"log_bytes_per_s"`
}

// Result is the outcome of one scenario under one policy. Fields that the
// scenario does not measure are absent.
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
	// Limited is the part of NotRun and MayHaveRun whose last attempt exceeded a
	// contract.
	Limited int `json:"limited"`
	// Codes counts the error codes of calls that failed.
	Codes map[string]int `json:"codes,omitempty"`
	// Goodput is the number of successes per second of the measured time.
	Goodput float64 `json:"goodput_per_s"`

	Imbalance   *float64     `json:"imbalance,omitempty"`
	Churn       *float64     `json:"churn,omitempty"`
	Unavailable *Unavailable `json:"unavailable_ms,omitempty"`
	// DomainService is the share of requests within their contract that
	// succeeded while a domain was out or cut off and shortly after.
	DomainService *float64 `json:"domain_service,omitempty"`
	Latency
	CPUPerRequest   *float64 `json:"cpu_us_per_request,omitempty"`
	ConfigInForceMS *Spread  `json:"config_in_force_ms,omitempty"`
	Control         *Control `json:"control,omitempty"`
	// OtherCustomersP99 is the p99 of the customers that kept to their
	// contract while another one exceeded its own.
	OtherCustomersP99 *float64                  `json:"other_customers_p99_ms,omitempty"`
	Workloads         map[string]WorkloadResult `json:"workloads"`
	Violations        map[ViolationKind]int     `json:"violations"`
	// Examples show the first violations of each kind.
	Examples []string `json:"examples,omitempty"`
}

// Violated reports whether any count is not zero.
func (r Result) Violated() bool {
	for _, n := range r.Violations {
		if n != 0 {
			return true
		}
	}
	return false
}
