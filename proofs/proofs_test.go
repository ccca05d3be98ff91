package proofs

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/boragelock/boragelock/internal/bench"
)

// defaultLoadTime is the default duration of the load of a proof.
const defaultLoadTime = 6 * time.Second

// proof is one test case: faults, and the violations that must not occur.
type proof struct {
	name       string
	deployment string
	seed       uint64
	scale      float64
	// steps are the faults. A proof without a scenario uses them; otherwise
	// scenario names a scenario of the benchmark.
	steps    []bench.Step
	scenario string
	// loadTime is the duration of the load; 0 means defaultLoadTime.
	loadTime time.Duration
	// mustJudge lists additional kinds of violations that the checker must judge,
	// so that a proof cannot pass without a check.
	mustJudge []bench.ViolationKind
	// disabledSafeguard names the safeguard to disable. The checker must then find
	// a violation of the first kind in mustJudge.
	disabledSafeguard string
}

// alwaysJudged lists the kinds of violations that every run judges.
var alwaysJudged = []bench.ViolationKind{
	bench.DualOwner, bench.DoubleRun, bench.FalseNotRun, bench.LostAcknowledged, bench.WrongAnswer, bench.OverLimit,
}

var binaries bench.Binaries

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the binaries once for all proofs and runs the tests.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proofs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if err := os.Chdir(".."); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if binaries, err = bench.FindBinaries(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// run runs a proof. It fails the test on any violation, or when a disabled safeguard
// causes none.
func (p proof) run(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts real processes")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	o := bench.Options{
		Deployment: p.deployment, Seed: p.seed, Scale: p.scale, Duration: defaultLoadTime, DisabledSafeguard: p.disabledSafeguard, Binaries: binaries, Scenario: p.scenario,
		Logger: hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(os.Getenv("BORAGELOCK_TEST_LOG"))}),
	}
	if p.scenario == "" {
		o.CustomScenario = bench.Scenario{Name: p.name, Description: p.name, Steps: p.steps}
	}
	if p.loadTime != 0 {
		o.Duration = p.loadTime
	}
	r, err := bench.RunScenario(ctx, o, bench.PolicyBoragelock)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed=%d requests=%d ok=%d not_run=%d may_have_run=%d violations=%v", p.seed, r.Requests, r.OK, r.NotRun, r.MayHaveRun, r.Violations)
	for _, kind := range append(p.mustJudge, alwaysJudged...) {
		if _, judged := r.Violations[kind]; !judged {
			t.Errorf("the checker did not judge %s", kind)
		}
	}
	if r.OK == 0 {
		t.Error("no request succeeded, so the proof is empty")
	}
	if p.disabledSafeguard != "" {
		if r.Violations[p.mustJudge[0]] == 0 {
			t.Errorf("safeguard %s is disabled, but the checker found no %s", p.disabledSafeguard, p.mustJudge[0])
		}
		return
	}
	if r.Violated() {
		t.Errorf("violations: %v", r.Violations)
		for _, e := range r.Examples {
			t.Log(e)
		}
	}
}
