package soak

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// seeds are the seeds of TestSoak: two that cover most faults, and each seed that
// ever failed, with its cause.
var seeds = []struct {
	seed  uint64
	cause string
	// restores makes the store return from older copies.
	restores bool
	// allHostsEnd makes all hosts end with some of the restores.
	allHostsEnd bool
	// fatal lets a request end each target that runs it.
	fatal bool
	// callers is the number of callers for each host, or 0 for the default.
	callers int
	// lapses lets announcements lapse during outages of the store.
	lapses bool
	// shared makes hosts share the slots of targets.
	shared bool
}{
	{seed: 1},
	{seed: 2},
	{seed: 3, restores: true},
	{seed: 4, restores: true},
	// Two targets state limits of 2 and 0.5 requests a second, two hosts are in planned stops
	// at once, and a target ends: few requests are answered, and few reach the fatal one's owner.
	{seed: 5, fatal: true, callers: 6},
	{seed: 6, lapses: true},
	{seed: 7, shared: true},
	// A host that was paused past its stop limit cut off requests that arrived during
	// the pause. This is allowed, and the check considers the limit.
	{seed: 1008, cause: "paused during a planned stop"},
	// A host that was paused from 2 s to 5.7 s after SIGTERM cut off requests that arrived
	// during the pause, in the last 0.4 s before its stop limit. This is allowed.
	{seed: 9, restores: true, cause: "paused during a planned stop until shortly before its limit"},
	// An append without a response won a term that no host led; the next leader waited
	// for that term to end.
	{seed: 1033, cause: "term without a leader"},
	// A host that was suspended during the first response of a route took its service time to
	// be longer than any caller has, and refused the route for good.
	{seed: 9015, restores: true, allHostsEnd: true, cause: "service time of a suspended host"},
}

// minAnswered is the number of answered requests without which a run says little.
const minAnswered = 500

// TestSoak checks the guarantees listed in the package comment under overlapping
// faults. cmd/boragelock-soak runs more seeds.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes and waits for real time")
	}
	gateway := filepath.Join(t.TempDir(), "boragelock-gateway")
	build := exec.Command("go", "build", "-o", gateway, "github.com/boragelock/boragelock/cmd/boragelock-gateway")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, s := range seeds {
		t.Run(fmt.Sprint("seed ", s.seed), func(t *testing.T) {
			t.Log(s.cause)
			r, err := Run(context.Background(), Config{Gateway: gateway, Dir: t.TempDir(), Seed: s.seed, FaultTime: 10 * time.Second, Restores: s.restores, AllHostsEnd: s.allHostsEnd, Callers: s.callers, Fatal: s.fatal, Lapses: s.lapses, SharedQueues: s.shared, MinAnswered: minAnswered, MinFatalEnds: endsBefore, MaxFaultTime: 40 * time.Second})
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range r.Violations {
				t.Error(b)
			}
			if r.Faults < 5 || r.Answered < minAnswered {
				t.Errorf("%d faults and %d answered requests are too few for a meaningful check", r.Faults, r.Answered)
			}
			if s.fatal && r.FatalEnds < endsBefore {
				t.Errorf("%d ends under the fatal request are too few for a meaningful check", r.FatalEnds)
			}
			t.Logf("%d faults, %d requests, %d answered, %d checks of limits, %d ends", r.Faults, r.Requests, r.Answered, r.LimitWindows, r.FatalEnds)
		})
	}
}
