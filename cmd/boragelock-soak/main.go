// Command boragelock-soak plays random faults against real entry hosts and checks
// the promises of package internal/soak:
//
//	boragelock-soak [-seeds N] [-first SEED] [-at-once N] [-length D] [-dir DIR]
//
// It builds boragelock-gateway from the module in the working directory. Settings,
// logs and the list of faults of each seed that broke a promise stay in DIR. Exit
// codes: 0 when nothing was broken, 1 otherwise, 2 on wrong arguments.
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
	atOnce := flag.Int("at-once", 2, "runs at a time")
	hosts := flag.Int("hosts", 3, "entry hosts of a run")
	targets := flag.Int("targets", 4, "targets of a run")
	length := flag.Duration("length", 15*time.Second, "time with faults of a run")
	dir := flag.String("dir", filepath.Join(os.TempDir(), "boragelock-soak"), "directory for what is kept")
	flag.Parse()
	if flag.NArg() > 0 || *seeds < 1 || *atOnce < 1 {
		flag.Usage()
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	gateway, err := build(ctx, *dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	run := func(seed uint64) bool {
		return play(ctx, soak.Config{
			Gateway: gateway, Dir: filepath.Join(*dir, fmt.Sprint("seed-", seed)), Seed: seed,
			Hosts: *hosts, Targets: *targets, Length: *length,
		})
	}
	if broken := playAll(ctx, *first, *seeds, *atOnce, run); broken > 0 {
		fmt.Printf("%d of %d seeds broke a promise\n", broken, *seeds)
		os.Exit(1)
	}
	fmt.Printf("%d seeds from %d on, nothing broken\n", *seeds, *first)
}

func build(ctx context.Context, dir string) (string, error) {
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

// playAll plays seeds, some at a time, and returns how many broke a promise.
func playAll(ctx context.Context, first uint64, n, atOnce int, run func(uint64) bool) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	broken := 0
	slots := make(chan struct{}, atOnce)
	for i := range n {
		if ctx.Err() != nil {
			break
		}
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer func() { <-slots; wg.Done() }()
			if !run(first + uint64(i)) {
				mu.Lock()
				broken++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return broken
}

// play plays one seed, prints what it found and removes what it kept when nothing
// was broken.
func play(ctx context.Context, cfg soak.Config) bool {
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		fmt.Printf("seed %d: %v\n", cfg.Seed, err)
		return false
	}
	r, err := soak.Run(ctx, cfg)
	if err != nil {
		fmt.Printf("seed %d: %v\n", cfg.Seed, err)
		return false
	}
	fmt.Printf("seed %d: %d faults, %d of %d requests answered, %d broken\n", cfg.Seed, r.Faults, r.Answered, r.Requests, len(r.Broken))
	for _, b := range r.Broken {
		fmt.Printf("  %s\n", b)
	}
	if len(r.Broken) > 0 {
		return false
	}
	if err := os.RemoveAll(cfg.Dir); err != nil {
		fmt.Fprintf(os.Stderr, "seed %d: %v\n", cfg.Seed, err)
	}
	return true
}
