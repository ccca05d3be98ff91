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
	// inForcePoll is the pause between two requests that ask a host whether a
	// change is in force; the measured times are too long by up to this pause
	// and one answer.
	inForcePoll = 20 * time.Millisecond
	// inForceLimit is when a change counts as missed by a host.
	inForceLimit = 10 * time.Second
	// maxMissed ends a series, since each missed change takes the whole limit.
	maxMissed = 5
	// changeGap is the longest random pause between two changes, longer than a
	// granter's wait for records, so that changes meet all phases of it.
	changeGap = 300 * time.Millisecond
	// faultSettle is the pause between a fault's beginning and the changes.
	faultSettle = 2 * time.Second
)

// LogCondition is the state of the log while changes are made.
type LogCondition string

// Log conditions.
const (
	LogReachable   LogCondition = "log_reachable"
	LogCut         LogCondition = "one_domain_cut_from_log"
	LogAnswersLost LogCondition = "append_answers_lost"
)

// logConditions are measured in this order, idle and under load.
var logConditions = []LogCondition{LogReachable, LogCut, LogAnswersLost}

// Spread is a distribution of times in milliseconds.
type Spread struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// newSpread returns the distribution of times, by nearest rank.
func newSpread(times []time.Duration) *Spread {
	if len(times) == 0 {
		return nil
	}
	sorted := slices.Sorted(slices.Values(times))
	at := func(percent int) float64 { return ms(sorted[(len(sorted)*percent+99)/100-1]) }
	return &Spread{P50: at(50), P99: at(99), Max: at(100)}
}

// InForcePoint is what changes took under one condition.
type InForcePoint struct {
	Condition LogCondition `json:"condition"`
	// Load says that requests were offered at the deployment's usual rate.
	Load  bool `json:"load"`
	Hosts int  `json:"hosts"`
	// Changes is the number of changes made, fewer than asked for after five
	// missed ones; Missed the number that some host
	// did not show within 10 s, Unanswered those without a success answer.
	Changes    int `json:"changes"`
	Missed     int `json:"missed"`
	Unanswered int `json:"unanswered"`
	// ConfigInForceMS is the time from when the operator's request was sent,
	// which is before acceptance, until the last host acted by the change.
	ConfigInForceMS *Spread `json:"config_in_force_ms,omitempty"`
	// AnswerMS is the time until the operator had the answer.
	AnswerMS *Spread `json:"answer_ms,omitempty"`
	// LoadAverage is that of the machine over one minute at the end.
	LoadAverage float64 `json:"load_average"`
}

// inForceRun measures on one cluster.
type inForceRun struct {
	cluster *Cluster
	rng     *rand.Rand
	client  *http.Client
	// operators holds a client for each operator address.
	operators map[string]*operator.Client
}

// MeasureInForce makes changes through the operators' interface of a deployment
// at full size and measures, by requests with a new credential for each, when
// the last entry host acts by it. It does so for each
// condition of the log without load and with it, as loads says, and calls
// report after each.
func MeasureInForce(ctx context.Context, o Options, changes int, loads []bool, report func(InForcePoint) error) error {
	plan, err := NewPlan(o.Deployment, o.Scale)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "in-force-")
	if err != nil {
		return &RunError{Op: "make a directory", Err: err}
	}
	defer os.RemoveAll(dir)
	c, err := StartCluster(ctx, ClusterConfig{Plan: plan, Policy: PolicyBoragelock, Binaries: o.Binaries, Dir: dir, Seed: o.Seed, Logger: o.Logger})
	if err != nil {
		return err
	}
	defer c.Close()
	m := &inForceRun{cluster: c, rng: rand.New(rand.NewPCG(o.Seed, 0)), client: &http.Client{
		Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1},
	}, operators: map[string]*operator.Client{}}
	for _, addr := range c.OperatorAddrs() {
		m.operators[addr] = operator.NewClient([]string{addr}, nil)
	}
	defer m.client.CloseIdleConnections()
	r := &run{opts: o, scenario: Scenario{}, cluster: c, balancer: newBalancer(c)}
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
			p, err := m.series(ctx, cond, changes, o.Logger)
			if err != nil {
				return err
			}
			p.Load = loaded
			if err := report(p); err != nil {
				return err
			}
		}
	}
	return nil
}

// set begins or ends a condition.
func (m *inForceRun) set(ctx context.Context, cond LogCondition, on bool) error {
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

// cutDomain is the domain that is cut off from the log.
func (m *inForceRun) cutDomain() string { return m.cluster.cfg.Plan.Deployment.Domains[0].Name }

// series makes changes under one condition.
func (m *inForceRun) series(ctx context.Context, cond LogCondition, changes int, log hclog.Logger) (InForcePoint, error) {
	p := InForcePoint{Condition: cond, Hosts: len(m.cluster.cfg.Plan.Entries)}
	if err := m.set(ctx, cond, true); err != nil {
		return p, err
	}
	sleepUntil(ctx, boottime.Now()+faultSettle)
	var inForce, answers []time.Duration
	for p.Changes < changes && p.Missed < maxMissed && ctx.Err() == nil {
		took, answered, err := m.change(ctx, m.operatorFor(cond, p.Changes))
		p.Changes++
		if err != nil {
			p.Unanswered++
			log.Warn("change without a success answer", "error", err)
		}
		if took < 0 {
			p.Missed++
		} else {
			inForce = append(inForce, took)
		}
		answers = append(answers, answered)
		sleepUntil(ctx, boottime.Now()+time.Duration(m.rng.Int64N(int64(changeGap))))
	}
	p.ConfigInForceMS, p.AnswerMS, p.LoadAverage = newSpread(inForce), newSpread(answers), loadAverage()
	if ctx.Err() != nil {
		return p, ctx.Err()
	}
	return p, m.set(ctx, cond, false)
}

// operatorFor returns the entry host that change number n is sent to. A host
// that is cut off from the log cannot append.
func (m *inForceRun) operatorFor(cond LogCondition, n int) string {
	var addrs []string
	for i, e := range m.cluster.cfg.Plan.Entries {
		if cond != LogCut || e.Domain != m.cutDomain() {
			addrs = append(addrs, m.cluster.OperatorAddrs()[i])
		}
	}
	return addrs[n%len(addrs)]
}

// change gives the probe customer a new credential, which a host accepts only
// once this very change is in force there. It returns when the last host did,
// -1 when one did not, and when the answer came.
func (m *inForceRun) change(ctx context.Context, addr string) (took, answered time.Duration, err error) {
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
	go func() { watch <- m.lastHost(ctx, token) }()
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

// lastHost returns when the last host was seen to accept a credential of the
// probe customer, or -1 when one was not within the limit.
func (m *inForceRun) lastHost(ctx context.Context, token string) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	seen := make([]time.Duration, len(m.cluster.CallerAddrs()))
	var hosts errgroup.Group
	for i, addr := range m.cluster.CallerAddrs() {
		hosts.Go(func() error {
			h := &balancedHost{addr: addr}
			for {
				admitted, ok := askProbe(ctx, m.client, h, token)
				seen[i] = boottime.Now()
				if ok && admitted {
					return nil
				}
				if !sleepUntil(ctx, seen[i]+inForcePoll) {
					return &TimeoutError{What: fmt.Sprintf("change at %s", addr)}
				}
			}
		})
	}
	if hosts.Wait() != nil {
		return -1
	}
	return slices.Max(seen)
}
