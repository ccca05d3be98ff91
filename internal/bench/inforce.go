package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/operator"
	"github.com/boragelock/boragelock/internal/standin"
)

const (
	// inForcePoll is the pause between two requests that check whether a change
	// is in force on a host. The measured times are too long by up to this pause
	// and one response.
	inForcePoll = 20 * time.Millisecond
	// inForceTimeout is the time after which a change counts as missed by a host.
	inForceTimeout = 10 * time.Second
	// maxMissed ends a series, since each missed change takes the whole timeout.
	maxMissed = 5
	// maxChangeGap limits the random pause between two changes. It is longer than
	// a granter's wait for records, so that changes occur at any phase of it.
	maxChangeGap = 300 * time.Millisecond
	// faultSettleTime is the pause between the start of a fault and the changes.
	faultSettleTime = 2 * time.Second
)

// LogCondition is the state of the log while changes are made.
type LogCondition string

// Log conditions.
const (
	LogReachable   LogCondition = "log_reachable"
	LogCut         LogCondition = "one_domain_cut_from_log"
	LogAnswersLost LogCondition = "append_answers_lost"
)

// logConditions is the order in which the conditions are measured.
var logConditions = []LogCondition{LogReachable, LogCut, LogAnswersLost}

// Distribution summarizes a set of times, in milliseconds.
type Distribution struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// newDistribution returns nearest-rank percentiles of times, or nil without
// times.
func newDistribution(times []time.Duration) *Distribution {
	if len(times) == 0 {
		return nil
	}
	sorted := slices.Sorted(slices.Values(times))
	at := func(percent int) float64 { return ms(sorted[(len(sorted)*percent+99)/100-1]) }
	return &Distribution{P50: at(50), P99: at(99), Max: at(100)}
}

// InForcePoint holds the times that changes took under one condition.
type InForcePoint struct {
	Condition LogCondition `json:"condition"`
	// Loaded reports that load was offered, at the rate of load factor 1.
	Loaded bool `json:"load"`
	Hosts  int  `json:"hosts"`
	// Changes is the number of changes made, fewer than requested after five
	// missed ones. Missed is the number that some host did not apply within 10 s,
	// Unanswered the number without a success response.
	Changes    int `json:"changes"`
	Missed     int `json:"missed"`
	Unanswered int `json:"unanswered"`
	// ConfigInForceMS is the time from when the operator sent the request, which
	// is before acceptance, until the last host had applied the change.
	ConfigInForceMS *Distribution `json:"config_in_force_ms,omitempty"`
	// ResponseMS is the time until the operator received the response.
	ResponseMS *Distribution `json:"answer_ms,omitempty"`
	// LoadAverage is the machine's one-minute load average at the end.
	LoadAverage float64 `json:"load_average"`
}

// inForceMeasurement measures changes on one cluster.
type inForceMeasurement struct {
	cluster *Cluster
	rng     *rand.Rand
	client  *http.Client
	// operators maps each operator address to its client.
	operators map[string]*operator.Client
}

// MeasureInForce makes configuration changes through the operator API of a
// deployment and measures when the last entry host applies each change. Each
// change sets a new credential, and MeasureInForce polls all hosts until they
// accept it. For each element of loads, which says whether to offer load, it
// measures every condition of the log and calls report after each.
func MeasureInForce(ctx context.Context, o Options, changes int, loads []bool, report func(InForcePoint) error) error {
	plan, err := NewPlan(o.Deployment, o.Scale)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "in-force-")
	if err != nil {
		return &RunError{Op: "create a directory", Err: err}
	}
	defer os.RemoveAll(dir)
	c, err := StartCluster(ctx, ClusterConfig{Plan: plan, Policy: PolicyBoragelock, Binaries: o.Binaries, Dir: dir, Seed: o.Seed, Logger: o.Logger})
	if err != nil {
		return err
	}
	defer c.Close()
	m := &inForceMeasurement{cluster: c, rng: rand.New(rand.NewPCG(o.Seed, 0)), client: &http.Client{
		Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1},
	}, operators: map[string]*operator.Client{}}
	for _, addr := range c.OperatorAddrs() {
		m.operators[addr] = operator.NewClient([]string{addr}, nil)
	}
	defer m.client.CloseIdleConnections()
	r := &scenarioRun{opts: o, scenario: Scenario{}, cluster: c, balancer: newBalancer(c)}
	r.caller = newCaller(plan, r.balancer)
	r.load = newLoad(plan, r.caller, r.scenario, o.Seed)
	ctx, cancel := context.WithCancel(ctx)
	defer r.background.Wait()
	defer cancel()
	r.background.Go(func() { r.balancer.run(ctx) })
	if err := r.awaitReady(ctx); err != nil {
		return err
	}
	for _, loaded := range loads {
		if loaded {
			r.background.Go(func() { r.load.run(ctx, ctx) })
		}
		for _, cond := range logConditions {
			p, err := m.measureSeries(ctx, cond, changes, o.Logger)
			if err != nil {
				return err
			}
			p.Loaded = loaded
			if err := report(p); err != nil {
				return err
			}
		}
	}
	return nil
}

// setCondition begins or ends a condition.
func (m *inForceMeasurement) setCondition(ctx context.Context, cond LogCondition, on bool) error {
	switch cond {
	case LogCut:
		m.cluster.CutLog(m.cutDomain(), on)
	case LogAnswersLost:
		s := standin.LogSwitches{}
		if on {
			s.LoseAfterEffect = -1
		}
		return m.cluster.SwitchLog(ctx, s)
	}
	return nil
}

// cutDomain returns the domain that LogCut cuts off from the log.
func (m *inForceMeasurement) cutDomain() string { return m.cluster.cfg.Plan.Deployment.Domains[0].Name }

// measureSeries makes changes under one condition and measures each.
func (m *inForceMeasurement) measureSeries(ctx context.Context, cond LogCondition, changes int, log hclog.Logger) (InForcePoint, error) {
	p := InForcePoint{Condition: cond, Hosts: len(m.cluster.cfg.Plan.Entries)}
	if err := m.setCondition(ctx, cond, true); err != nil {
		return p, err
	}
	sleepUntil(ctx, boottime.Now()+faultSettleTime)
	var inForce, responseTimes []time.Duration
	for p.Changes < changes && p.Missed < maxMissed && ctx.Err() == nil {
		took, answered, err := m.measureChange(ctx, m.operatorFor(cond, p.Changes))
		p.Changes++
		if err != nil {
			p.Unanswered++
			log.Warn("configuration change got no success response", "error", err)
		}
		if took < 0 {
			p.Missed++
		} else {
			inForce = append(inForce, took)
		}
		responseTimes = append(responseTimes, answered)
		sleepUntil(ctx, boottime.Now()+time.Duration(m.rng.Int64N(int64(maxChangeGap))))
	}
	p.ConfigInForceMS, p.ResponseMS, p.LoadAverage = newDistribution(inForce), newDistribution(responseTimes), loadAverage()
	if ctx.Err() != nil {
		return p, ctx.Err()
	}
	return p, m.setCondition(ctx, cond, false)
}

// operatorFor returns the operator address to which change number n is sent. It
// skips hosts that are cut off from the log, since they cannot append.
func (m *inForceMeasurement) operatorFor(cond LogCondition, n int) string {
	var addrs []string
	for i, e := range m.cluster.cfg.Plan.Entries {
		if cond != LogCut || e.Domain != m.cutDomain() {
			addrs = append(addrs, m.cluster.OperatorAddrs()[i])
		}
	}
	return addrs[n%len(addrs)]
}

// measureChange gives the probe customer a new credential, which a host accepts
// only once this change is in force there. took is the time until the last host
// accepted it, or -1 when one did not; answered is the time until the response.
func (m *inForceMeasurement) measureChange(ctx context.Context, addr string) (took, answered time.Duration, err error) {
	op := m.operators[addr]
	cfg, err := op.Config(ctx)
	if err != nil {
		return -1, 0, &RunError{Op: "read the configuration", Err: err}
	}
	item := m.cluster.cfg.Plan.probeChange(0)
	token := fmt.Sprintf("%s-%d", probeToken, cfg.Version)
	sum := sha256.Sum256([]byte(token))
	item.Contract.CredentialHashes = []string{hex.EncodeToString(sum[:])}
	sent := boottime.Now()
	watch := make(chan time.Duration, 1)
	go func() { watch <- m.awaitAllHosts(ctx, token) }()
	_, err = op.Change(ctx, operator.ChangeRequest{Change: contract.Change{
		FromVersion: cfg.Version, Operator: "bench", Items: []contract.Item{item},
	}})
	answered = boottime.Now() - sent
	last := <-watch
	if last < 0 {
		return -1, answered, err
	}
	return last - sent, answered, err
}

// awaitAllHosts returns when the last host first accepted a credential of the
// probe customer, or -1 when one did not within inForceTimeout.
func (m *inForceMeasurement) awaitAllHosts(ctx context.Context, token string) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	seen := make([]time.Duration, len(m.cluster.CallerAddrs()))
	var hosts errgroup.Group
	for i, addr := range m.cluster.CallerAddrs() {
		hosts.Go(func() error {
			h := &balancedHost{addr: addr}
			for {
				admitted, ok := probeHost(ctx, m.client, h, token)
				seen[i] = boottime.Now()
				if ok && admitted {
					return nil
				}
				if !sleepUntil(ctx, seen[i]+inForcePoll) {
					return &TimeoutError{What: fmt.Sprintf("configuration change on %s", addr)}
				}
			}
		})
	}
	if hosts.Wait() != nil {
		return -1
	}
	return slices.Max(seen)
}
