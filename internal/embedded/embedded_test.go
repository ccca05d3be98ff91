package embedded

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/examples"
	"github.com/boragelock/boragelock/internal/settings"
	"github.com/boragelock/boragelock/internal/standin"
)

func startSystem(t *testing.T, change func(*settings.Settings), target func(*standin.TargetConfig)) (*System, context.CancelFunc, <-chan error) {
	t.Helper()
	d, err := examples.Load("toise")
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(Config{Deployment: d, EditSettings: change, EditTarget: target})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	limit, stop := context.WithTimeout(ctx, 15*time.Second)
	defer stop()
	if !s.Ready(limit) {
		t.Fatal("system did not become ready")
	}
	return s, cancel, done
}

// responseError holds the body of a response whose status is not 200.
type responseError struct{ body string }

func (e *responseError) Error() string { return e.body }

// call sends one request and returns the status and the target's response.
func call(s *System, host int, method, path, body string) (int, standin.Answer, error) {
	req, err := http.NewRequest(method, "http://"+s.Hosts[host].CallerAddr()+path, strings.NewReader(body))
	if err != nil {
		return 0, standin.Answer{}, err
	}
	req.Header.Set("Boragelock-Customer", "imprimeries")
	req.Header.Set("Authorization", "Bearer "+examples.TokenPrefix+"imprimeries")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, standin.Answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	var a standin.Answer
	if err == nil && resp.StatusCode != http.StatusOK {
		return resp.StatusCode, a, &responseError{string(data)}
	}
	if err == nil {
		err = json.Unmarshal(data, &a)
	}
	return resp.StatusCode, a, err
}

// TestWholePath guards against entry hosts that disagree about the owner of a
// key: two targets would then serve it.
func TestWholePath(t *testing.T) {
	s, cancel, done := startSystem(t, nil, nil)
	Convey("both hosts reach the same owner for each key, and each kind of workload works", t, func() {
		for i := range 20 {
			path := fmt.Sprintf("/v1/orders/key-%d", i)
			s1, a1, err1 := call(s, 0, "POST", path, "body")
			s2, a2, err2 := call(s, 1, "POST", path, "body")
			So([]any{s1, s2, err1, err2}, ShouldResemble, []any{200, 200, nil, nil})
			So(a1.Target, ShouldEqual, a2.Target)
			So(a1.RequestID, ShouldNotEqual, a2.RequestID)
			So(a1.BodyBytes, ShouldEqual, 4)
		}
		for _, path := range []string{"/v1/templates/a", "/v1/proofs/b"} {
			status, _, err := call(s, 1, "GET", path, "")
			So(err, ShouldBeNil)
			So(status, ShouldEqual, 200)
		}
	})
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestPlannedStop guards against a planned stop that aborts requests, which
// breaks invariant 9.
func TestPlannedStop(t *testing.T) {
	s, cancel, done := startSystem(t, func(x *settings.Settings) { x.Timings.BalancerDelayMS = 300 },
		func(c *standin.TargetConfig) { c.ServiceMS = 30 })
	defer cancel()
	Convey("requests that are sent until the host stops listening all succeed", t, func() {
		var sent, failed atomic.Int64
		var stopped atomic.Bool
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				for n := 0; !stopped.Load(); n++ {
					status, _, err := call(s, 0, "POST", fmt.Sprintf("/v1/orders/k-%d-%d", i, n), "x")
					if err != nil && strings.Contains(err.Error(), "refused") {
						return
					}
					sent.Add(1)
					if err != nil || status != 200 {
						failed.Add(1)
						t.Logf("request %d-%d: status %d, error %v", i, n, status, err)
					}
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		limit, end := context.WithTimeout(context.Background(), 10*time.Second)
		defer end()
		s.Hosts[0].Stop(limit)
		So(limit.Err(), ShouldBeNil)
		stopped.Store(true)
		wg.Wait()
		So(sent.Load(), ShouldBeGreaterThan, 50)
		So(failed.Load(), ShouldEqual, 0)
	})
	cancel()
	<-done
}
