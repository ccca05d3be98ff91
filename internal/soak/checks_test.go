package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/boragelock/boragelock/platform/standin"
)

func serveRequest(x *standin.Target, path, id, body string) int {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set(standin.HeaderRequestID, id)
	r.Header.Set(standin.HeaderKey, "7")
	rec := httptest.NewRecorder()
	x.ServeHTTP(rec, r)
	return rec.Code
}

// TestChecksFindBreaks guards against checks that never report a violation.
func TestChecksFindBreaks(t *testing.T) {
	w := &testbed{cfg: Config{Dir: t.TempDir()}, startedAt: time.Now(), store: standin.NewStore()}
	for i := range 2 {
		x := &target{id: fmt.Sprint("t", i)}
		x.startIncarnation()
		w.targets = append(w.targets, x)
		if status := serveRequest(x.current(), standin.GrantPath, "g", `{"from":0,"to":100,"fence":1,"hold-s":5}`); status != http.StatusOK {
			t.Fatalf("grant: status %d", status)
		}
		for _, id := range []string{"twice", "refused"} {
			if status := serveRequest(x.current(), "/order/x", id, ""); status != http.StatusOK {
				t.Fatalf("request: status %d", status)
			}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	w.watchHolders(ctx)
	w.ledger.requests = []request{
		{id: "twice", nonIdempotent: true, status: http.StatusOK},
		{id: "refused", status: http.StatusServiceUnavailable},
		{id: "lost", status: http.StatusOK},
	}
	w.checkRequests()
	for _, want := range []string{"is held by", "non-idempotent request twice ran 2 times", "refused was refused but ran", "lost was answered but did not run"} {
		if !strings.Contains(strings.Join(w.violations, "\n"), want) {
			t.Errorf("%q was not found in %q", want, w.violations)
		}
	}
}

// TestLimitCheckFindsBreaks guards against a check of limits that never reports a
// violation, or that reports requests which are allowed.
func TestLimitCheckFindsBreaks(t *testing.T) {
	w := &testbed{cfg: Config{Callers: 3}, startedAt: time.Now()}
	x := &target{id: "t0"}
	x.startIncarnation()
	serve := func(n int) {
		for range n {
			if status := serveRequest(x.current(), "/order/x", "x", ""); status != http.StatusMisdirectedRequest && status != http.StatusOK {
				t.Fatalf("request: status %d", status)
			}
		}
	}
	if status := serveRequest(x.current(), standin.GrantPath, "g", `{"from":0,"to":100,"fence":1,"hold-s":5}`); status != http.StatusOK {
		t.Fatalf("grant: status %d", status)
	}
	e := limitEpisode{target: x, incarnation: x.current(), perSecond: 0.5, from: time.Now()}
	serve(1)
	time.Sleep(limitSettleTime + 2*targetServiceTime)
	serve(8)
	e.to = time.Now()
	if n := w.checkLimit(e); n != 8 || len(w.violations) > 0 {
		t.Errorf("8 requests in a moment are allowed at 0.5 a second: %d checks, %v", n, w.violations)
	}
	serve(1)
	e.to = time.Now()
	if w.checkLimit(e); len(w.violations) != 1 {
		t.Errorf("9 requests in a moment at 0.5 a second were not found: %v", w.violations)
	}
}

// TestFatalCheckFindsBreaks guards against a check of the ends under a request that never
// reports a violation, or that reports ends which are allowed.
func TestFatalCheckFindsBreaks(t *testing.T) {
	began := time.Now()
	check := func(withoutHost []time.Duration, ends ...time.Duration) []string {
		w := &testbed{startedAt: began}
		for _, at := range withoutHost {
			w.disturbances.withoutHost = append(w.disturbances.withoutHost, began.Add(at))
		}
		for _, at := range ends {
			w.fatal.ends = append(w.fatal.ends, began.Add(at))
		}
		if n := w.checkFatal(); n != len(ends) {
			t.Errorf("%d ends of %d were counted", n, len(ends))
		}
		return w.violations
	}
	const s = time.Second
	for _, c := range []struct {
		why         string
		withoutHost []time.Duration
		ends        []time.Duration
		broken      int
	}{
		{"two trials", nil, []time.Duration{1 * s, 2 * s, 3 * s, 10 * s, 20 * s}, 0},
		{"one end too many", nil, []time.Duration{1 * s, 2 * s, 3 * s, 10 * s, 20 * s, 21 * s}, 1},
		{"no host ran before the last three", []time.Duration{15 * s}, []time.Duration{1 * s, 2 * s, 3 * s, 20 * s, 21 * s, 22 * s}, 0},
		{"no host ran before the first", []time.Duration{s / 2}, []time.Duration{1 * s, 2 * s, 3 * s, 10 * s, 20 * s, 21 * s}, 1},
		{"one end too many after no host ran", []time.Duration{4 * s}, []time.Duration{1 * s, 2 * s, 3 * s, 5 * s, 6 * s, 7 * s, 10 * s, 11 * s, 12 * s}, 1},
	} {
		if got := check(c.withoutHost, c.ends...); len(got) != c.broken {
			t.Errorf("%s: %d violations are due, got %q", c.why, c.broken, got)
		}
	}
}

// TestNoHostRuns checks that the times in which no host ran are found.
func TestNoHostRuns(t *testing.T) {
	var d disturbances
	d.noteProcessStarted()
	d.noteProcessStarted()
	d.noteProcessEnded()
	if n := len(d.timesWithoutHost()); n != 0 {
		t.Errorf("a host runs, and %d times without one were found", n)
	}
	d.noteProcessEnded()
	d.noteProcessStarted()
	if n := len(d.timesWithoutHost()); n != 1 {
		t.Errorf("once no host ran, and %d such times were found", n)
	}
}
