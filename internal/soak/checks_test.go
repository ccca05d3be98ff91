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
