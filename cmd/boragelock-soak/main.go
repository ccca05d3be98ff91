// Command boragelock-soak injects random faults into a system with real entry hosts
// and checks the guarantees listed in package internal/soak:
//
//	boragelock-soak [-seeds N] [-first SEED] [-at-once N] [-length D] [-restores [-all-hosts-end]] [-fatal] [-lapses] [-dir DIR]
//
// It builds boragelock-gateway from the module in the working directory. The settings,
// logs and events of each seed that violated a guarantee stay in DIR. Exit codes: 0
// without violations, 1 otherwise, 2 on wrong arguments.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/boragelock/boragelock/internal/soak"
)

func main() {
	seeds := flag.Int("seeds", 10, "number of seeds")
	first := flag.Uint64("first", uint64(time.Now().Unix()), "first seed")
	atOnce := flag.Int("at-once", 2, "number of concurrent runs")
	hosts := flag.Int("hosts", 3, "number of entry hosts")
	targets := flag.Int("targets", 4, "number of targets")
	length := flag.Duration("length", 15*time.Second, "how long each run injects faults")
	allHostsEnd := flag.Bool("all-hosts-end", false, "let all hosts end with a quarter of the restores")
	restores := flag.Bool("restores", false, "let the store return from older copies")
	fatal := flag.Bool("fatal", false, "repeat a request that ends each target that runs it")
	lapses := flag.Bool("lapses", false, "let the announcements of targets lapse during outages of the store")
	shared := flag.Bool("shared", false, "let hosts share the slots of targets")
	dir := flag.String("dir", filepath.Join(os.TempDir(), "boragelock-soak"), "directory for settings, logs and events")
	flag.Parse()
	if flag.NArg() > 0 || *seeds < 1 || *atOnce < 1 {
		flag.Usage()
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	gateway, err := buildGateway(ctx, *dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	runOne := func(seed uint64) bool {
		return runSeed(ctx, soak.Config{
			Gateway: gateway, Dir: filepath.Join(*dir, fmt.Sprint("seed-", seed)), Seed: seed,
			Hosts: *hosts, Targets: *targets, FaultTime: *length, Restores: *restores, AllHostsEnd: *allHostsEnd, Fatal: *fatal, Lapses: *lapses, SharedQueues: *shared,
		})
	}
	if failed := runSeeds(ctx, *first, *seeds, *atOnce, runOne); failed > 0 {
		fmt.Printf("%d of %d seeds broke a promise\n", failed, *seeds)
		os.Exit(1)
	}
	fmt.Printf("%d seeds from %d on, nothing broken\n", *seeds, *first)
}

func buildGateway(ctx context.Context, dir string) (string, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	gateway := filepath.Join(dir, "boragelock-gateway")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", gateway, "github.com/boragelock/boragelock/cmd/boragelock-gateway")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build boragelock-gateway: %w\n%s", err, out)
	}
	return gateway, nil
}

// runSeeds runs n seeds, at most atOnce concurrently, and returns how many failed.
func runSeeds(ctx context.Context, first uint64, n, atOnce int, runOne func(uint64) bool) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	failed := 0
	slots := make(chan struct{}, atOnce)
	for i := range n {
		if ctx.Err() != nil {
			break
		}
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer func() { <-slots; wg.Done() }()
			if !runOne(first + uint64(i)) {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return failed
}

// runSeed runs one seed and prints the result. It removes the directory of the seed
// and returns true when no guarantee was violated.
func runSeed(ctx context.Context, cfg soak.Config) bool {
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		fmt.Printf("seed %d: %v\n", cfg.Seed, err)
		return false
	}
	r, err := soak.Run(ctx, cfg)
	if err != nil {
		fmt.Printf("seed %d: %v\n", cfg.Seed, err)
		return false
	}
	fmt.Printf("seed %d: %d faults, %d of %d requests answered, %d checks of limits, %d broken\n", cfg.Seed, r.Faults, r.Answered, r.Requests, r.LimitWindows, len(r.Violations))
	for _, b := range r.Violations {
		fmt.Printf("  %s\n", b)
	}
	if len(r.Violations) > 0 {
		return false
	}
	if err := os.RemoveAll(cfg.Dir); err != nil {
		fmt.Fprintf(os.Stderr, "seed %d: %v\n", cfg.Seed, err)
	}
	return true
}
