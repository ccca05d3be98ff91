package forward

import (
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/boragelock/boragelock/admission"
	"github.com/boragelock/boragelock/internal/boottime"
)

// BenchmarkDecision measures the routing decision for one request: route,
// contract and admission. The goal is at most 2 µs and no allocation.
func BenchmarkDecision(b *testing.B) {
	s := New(Config{Source: newSource(b, "127.0.0.1:1")})
	v := s.cfg.Source.View()
	s.applyView(v)
	h := s.ensureHome("k")
	c := &call{customer: "c", workload: "keyed", keyed: true, key: "some-key", weight: 1, deadline: boottime.Now() + time.Hour}
	b.ReportAllocs()
	for b.Loop() {
		if e := s.admit(c, 0); e != nil {
			b.Fatal(e)
		}
		if _, code := s.locate(v, c, ""); code != "" {
			b.Fatal(code)
		}
		slot, e := h.acquire(b.Context(), c)
		if e != nil {
			b.Fatal(e)
		}
		h.release(slot, admission.Sample{Latency: time.Millisecond})
		s.releaseAdmission(c)
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// serviceTime returns a log-normal service time with a median of 5 ms.
func serviceTime() time.Duration {
	return time.Duration(5e6 * math.Exp(0.3*rand.NormFloat64()))
}

// sendLoad sends n requests from 8 callers and returns the latencies in µs and the
// CPU time of the whole process for each request.
func sendLoad(b *testing.B, n int, client *http.Client, request func() *http.Request) (*hdrhistogram.Histogram, time.Duration) {
	const callers = 8
	hist := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := cpuTime()
	for range callers {
		wg.Go(func() {
			for range n / callers {
				t := time.Now()
				resp, err := client.Do(request())
				if err != nil {
					b.Error(err)
					return
				}
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if err != nil || resp.StatusCode != http.StatusOK {
					b.Errorf("status %d, error %v", resp.StatusCode, err)
					return
				}
				mu.Lock()
				_ = hist.RecordValue(time.Since(t).Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return hist, (cpuTime() - start) / time.Duration(n)
}

// BenchmarkThrough compares requests through one entry host, which is the home
// of the target, with direct requests to the target. The CPU time of the entry
// host is the difference of the two, since callers and target run in the same
// process.
func BenchmarkThrough(b *testing.B) {
	for _, c := range []struct {
		name    string
		n       int
		service func()
	}{
		{"cpu", 40000, func() {}},
		{"service5ms", 8000, func() { time.Sleep(serviceTime()) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				c.service()
				_, _ = io.WriteString(w, "0123456789abcdef")
			}))
			defer target.Close()
			s := newTestHost(b, target.Listener.Addr().String(), nil)
			request := func(base, path string) func() *http.Request {
				return func() *http.Request {
					req, _ := http.NewRequest("GET", base+path, nil)
					req.Header.Set("Boragelock-Customer", "c")
					req.Header.Set("Authorization", "Bearer "+token)
					return req
				}
			}
			direct, through := request(target.URL, "/v1/work/a"), request(s.front.URL, "/v1/keyed/a")
			sendLoad(b, 800, s.client, direct)
			sendLoad(b, 800, s.client, through)
			for b.Loop() {
				d, dCPU := sendLoad(b, c.n, s.client, direct)
				t, tCPU := sendLoad(b, c.n, s.client, through)
				b.ReportMetric(float64(d.ValueAtQuantile(99)), "direct-p99-µs")
				b.ReportMetric(float64(t.ValueAtQuantile(99)), "through-p99-µs")
				b.ReportMetric(float64(t.ValueAtQuantile(50)-d.ValueAtQuantile(50)), "added-p50-µs")
				b.ReportMetric(float64((tCPU-dCPU).Nanoseconds())/1e3, "cpu-µs/request")
			}
		})
	}
}

// BenchmarkThroughHome measures requests with a body that are forwarded to the
// home on another entry host.
func BenchmarkThroughHome(b *testing.B) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	defer target.Close()
	e1, _ := twoHosts(b, target.Listener.Addr().String())
	body := strings.Repeat("x", 1000)
	b.ReportAllocs()
	for b.Loop() {
		if r := e1.do("POST", "/v1/keyed/a", strings.NewReader(body)); r.status != http.StatusOK {
			b.Fatal(r)
		}
	}
}
