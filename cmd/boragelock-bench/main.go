// Command boragelock-bench runs a fault scenario against real entry hosts and
// checks the results for violations. docs/testing.md describes scenarios and
// results.
//
// It exits with 0 when the first policy that it ran (boragelock, unless
// -baseline-only is set) had no violation, with 1 when it had one, and with 2 on
// invalid flags or when the scenario could not be run.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/boragelock/boragelock/internal/bench"
)

// Exit codes.
const (
	exitOK       = 0
	exitViolated = 1
	exitFailed   = 2
)

// UsageError reports a flag with an invalid value.
type UsageError struct{ Flag, Value, Allowed string }

// Error implements error.
func (e *UsageError) Error() string {
	return fmt.Sprintf("-%s is %q; allowed: %s", e.Flag, e.Value, e.Allowed)
}

type config struct {
	opts            bench.Options
	compare         bool
	baselineOnly    bool
	jsonPath        string
	baselineConfig  string
	measureCapacity bool
	// dimensions lists the dimensions of a capacity measurement, separated by
	// commas; empty means all.
	dimensions string
	// configChanges is the number of configuration changes for each condition of
	// the log; 0 means that this measurement is not run.
	configChanges int
	// configLoad says whether these changes are made without load (idle), under
	// load (loaded), or both.
	configLoad string
	verbose    bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code, err := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) (int, error) {
	cfg, err := parse(args, stderr)
	if err != nil {
		return exitFailed, err
	}
	if cfg.baselineConfig != "" {
		if err := bench.RunBaseline(ctx, cfg.baselineConfig); err != nil {
			return exitFailed, err
		}
		return exitOK, nil
	}
	level := hclog.Warn
	if cfg.verbose {
		level = hclog.Info
	}
	cfg.opts.Logger = hclog.New(&hclog.LoggerOptions{Name: "bench", Output: stderr, Level: level})
	if cfg.measureCapacity {
		return exitOK, runCapacity(ctx, cfg, stdout)
	}
	if cfg.configChanges > 0 {
		return exitOK, runInForce(ctx, cfg, stdout)
	}
	results, err := runPolicies(ctx, cfg)
	if err != nil {
		return exitFailed, err
	}
	if err := writeResults(cfg, results, stdout); err != nil {
		return exitFailed, err
	}
	if results[0].Violated() {
		return exitViolated, nil
	}
	return exitOK, nil
}

func parse(args []string, stderr io.Writer) (config, error) {
	var cfg config
	fs := flag.NewFlagSet("boragelock-bench", flag.ContinueOnError)
	fs.SetOutput(stderr)
	o := &cfg.opts
	fs.StringVar(&o.Deployment, "deployment", "andaimes", "andaimes or toise")
	fs.StringVar(&o.Scenario, "scenario", "", "name of the scenario (default steady, or with -break the one that best shows the violations without the safeguard)")
	fs.Uint64Var(&o.Seed, "seed", 1, "seed of all random numbers")
	fs.DurationVar(&o.Duration, "duration", 60*time.Second, "duration of the load")
	fs.Float64Var(&o.Scale, "scale", 1, "fraction of the deployment's full size, above 0 and at most 1")
	fs.StringVar(&o.DisabledSafeguard, "break", "", "safeguard to switch off: fence, lease-wait, retry-rule or limit-share")
	fs.StringVar(&o.KeepDir, "keep", "", "directory in which logs and records are kept")
	fs.BoolVar(&cfg.compare, "compare", false, "also run the baseline policies")
	fs.BoolVar(&cfg.baselineOnly, "baseline-only", false, "run the baseline policies only")
	fs.StringVar(&cfg.jsonPath, "json", "", "file for the results as JSON; - means standard output")
	fs.BoolVar(&cfg.verbose, "verbose", false, "log the steps")
	fs.StringVar(&cfg.baselineConfig, "baseline-router", "", "run as a baseline router with this configuration (used by the bench itself)")
	fs.BoolVar(&cfg.measureCapacity, "capacity", false, "measure the resource usage of idle entry hosts at several sizes; one JSON line each")
	fs.StringVar(&cfg.dimensions, "capacity-dimensions", "", "dimensions to measure, separated by commas: targets, hosts, domains, shards, contracts; empty means all")
	fs.IntVar(&cfg.configChanges, "config-changes", 0, "measure how long `N` configuration changes take to be in force on all entry hosts, for each condition of the log, idle and under load; one JSON line each")
	fs.StringVar(&cfg.configLoad, "config-load", "both", "with -config-changes: idle, loaded or both")
	if err := fs.Parse(args); err != nil {
		return cfg, err
	}
	if o.Scenario == "" {
		if o.Scenario = bench.SafeguardScenarios[o.DisabledSafeguard]; o.Scenario == "" {
			o.Scenario = "steady"
		}
	}
	return cfg, cfg.validate()
}

func (c config) validate() error {
	o := c.opts
	switch {
	case c.baselineConfig != "" || c.measureCapacity:
		return nil
	case configLoads[c.configLoad] == nil:
		return &UsageError{Flag: "config-load", Value: c.configLoad, Allowed: "idle, loaded, both"}
	case o.Deployment != "andaimes" && o.Deployment != "toise":
		return &UsageError{Flag: "deployment", Value: o.Deployment, Allowed: "andaimes, toise"}
	case !(o.Scale > 0 && o.Scale <= 1):
		return &UsageError{Flag: "scale", Value: fmt.Sprint(o.Scale), Allowed: "above 0, at most 1"}
	case o.Duration < 5*time.Second:
		return &UsageError{Flag: "duration", Value: o.Duration.String(), Allowed: "5s or more"}
	}
	if _, ok := bench.SafeguardScenarios[o.DisabledSafeguard]; !ok && o.DisabledSafeguard != "" {
		return &UsageError{Flag: "break", Value: o.DisabledSafeguard, Allowed: "fence, lease-wait, retry-rule, limit-share"}
	}
	if _, ok := bench.Scenarios[o.Scenario]; !ok {
		return &bench.UnknownScenarioError{Name: o.Scenario}
	}
	return nil
}

// runPolicies runs the scenario under each selected policy, boragelock first.
func runPolicies(ctx context.Context, cfg config) ([]bench.Result, error) {
	dir, err := os.MkdirTemp("", "boragelock-bench-")
	if err != nil {
		return nil, &bench.RunError{Op: "create a directory", Err: err}
	}
	defer os.RemoveAll(dir)
	if cfg.opts.Binaries, err = bench.FindBinaries(ctx, dir); err != nil {
		return nil, err
	}
	policies := []bench.Policy{bench.PolicyBoragelock}
	if cfg.compare {
		policies = append(policies, bench.PolicyBaseline)
	}
	if cfg.baselineOnly {
		policies = []bench.Policy{bench.PolicyBaseline}
	}
	var out []bench.Result
	for _, p := range policies {
		res, err := bench.RunScenario(ctx, cfg.opts, p)
		if err != nil {
			return nil, &bench.RunError{Op: "policy " + string(p), Err: err}
		}
		out = append(out, res)
	}
	return out, nil
}

// writeResults writes the results as a table, or with -json as JSON. With a file
// name it writes the JSON to the file and the table to stdout.
func writeResults(cfg config, results []bench.Result, stdout io.Writer) error {
	raw, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	raw = append(raw, '\n')
	switch cfg.jsonPath {
	case "":
		return writeTable(results, stdout)
	case "-":
		_, err = stdout.Write(raw)
		return err
	}
	if err := os.WriteFile(cfg.jsonPath, raw, 0o644); err != nil {
		return &bench.RunError{Op: "write results", Err: err}
	}
	return writeTable(results, stdout)
}

func writeTable(results []bench.Result, w io.Writer) error {
	for _, r := range results {
		if _, err := fmt.Fprintf(w, "%s %s %s: requests=%d ok=%d not_run=%d (limited %d) may_have_run=%d p50=%.1f ms p99=%.1f ms violations=%v\n",
			r.Deployment, r.Scenario, r.Policy, r.Requests, r.OK, r.NotRun, r.Limited, r.MayHaveRun, r.P50, r.P99, r.Violations); err != nil {
			return err
		}
		for _, x := range r.Examples {
			if _, err := fmt.Fprintln(w, "  "+x); err != nil {
				return err
			}
		}
	}
	return nil
}
