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

// loadTime is the length of the load of one proof.
const loadTime = 6 * time.Second

// proof is one test: faults, and the violations that must not occur.
type proof struct {
	name       string
	deployment string
	seed       uint64
	scale      float64
	// steps are the faults; when there are none, scenario names a scenario of
	// the bench.
	steps    []bench.Step
	scenario string
	// length of the load; 0 means loadTime.
	length time.Duration
	// must lists the kinds that the checker has to have judged, so that a
	// proof cannot pass because nothing was looked at.
	must []bench.ViolationKind
	// broken switches a safeguard off; the first kind in must has to be found.
	broken string
}

// always are the kinds that every run judges.
var always = []bench.ViolationKind{
	bench.DualOwner, bench.DoubleRun, bench.FalseNotRun, bench.LostAcknowledged, bench.WrongAnswer, bench.OverLimit,
}

var binaries bench.Binaries

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the programs once for all proofs.
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

// play runs a proof and fails the test on any violation.
func (p proof) play(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("real processes are started")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	o := bench.Options{
		Deployment: p.deployment, Seed: p.seed, Scale: p.scale, Duration: loadTime, DisabledSafeguard: p.broken, Binaries: binaries, Scenario: p.scenario,
		Logger: hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(os.Getenv("BORAGELOCK_TEST_LOG"))}),
	}
	if p.scenario == "" {
		o.CustomScenario = bench.Scenario{Name: p.name, Description: p.name, Steps: p.steps}
	}
	if p.length != 0 {
		o.Duration = p.length
	}
	r, err := bench.RunScenario(ctx, o, bench.PolicyBoragelock)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed=%d requests=%d ok=%d not_run=%d may_have_run=%d violations=%v", p.seed, r.Requests, r.OK, r.NotRun, r.MayHaveRun, r.Violations)
	for _, kind := range append(p.must, always...) {
		if _, judged := r.Violations[kind]; !judged {
			t.Errorf("%s was not judged", kind)
		}
	}
	if r.OK == 0 {
		t.Error("no request succeeded, so nothing was proved")
	}
	if p.broken != "" {
		if r.Violations[p.must[0]] == 0 {
			t.Errorf("safeguard %s is off, but no %s was found", p.broken, p.must[0])
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
