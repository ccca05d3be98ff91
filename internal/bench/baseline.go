package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/thejerf/suture/v4"
	"golang.org/x/time/rate"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/httpplatform"
	"github.com/boragelock/boragelock/internal/standin"
	"github.com/boragelock/boragelock/provider"
)

const (
	// baselineCheckInterval is the interval of health checks, baselineFailures
	// the number of consecutive failures after which a target is unhealthy.
	baselineCheckInterval = 250 * time.Millisecond
	baselineFailures      = 2
	// baselineMaxAttempts limits the attempts that get no response.
	baselineMaxAttempts = 3
	// baselineBackoff is the mean backoff before the next attempt.
	baselineBackoff = 10 * time.Millisecond
	// baselineDeadline applies when a caller sets no deadline.
	baselineDeadline = 5 * time.Second
	// maxBaselineBody limits a request body, in bytes.
	maxBaselineBody = 16 << 20
)

// BaselineConfig configures a baseline router process.
type BaselineConfig struct {
	Listen     string              `json:"listen"`
	Operator   string              `json:"operator"`
	Deployment contract.Deployment `json:"deployment"`
	// Routers is the number of routers; each enforces an equal share of the
	// limits.
	Routers int `json:"routers"`
}

// baselineTarget is the baseline router's state of one target.
type baselineTarget struct {
	contract.Target
	control  *httpplatform.Target
	slots    chan struct{}
	healthy  atomic.Bool
	failures int
}

// baseline is a simple router for comparison: round robin for unkeyed requests,
// hash modulo the number of healthy targets for keyed ones, a fixed limit for
// each target and customer, no hedging, no leases.
type baseline struct {
	cfg        BaselineConfig
	byWorkload map[string][]*baselineTarget
	next       atomic.Uint64
	lastID     atomic.Uint64
	client     *http.Client
	limiters   map[string]*rate.Limiter

	mu    sync.Mutex
	state *contract.State
}

// RunBaseline runs a baseline router with the configuration in the file at path
// until the context ends.
func RunBaseline(ctx context.Context, path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return &RunError{Op: "read baseline configuration", Err: err}
	}
	var cfg BaselineConfig
	if err := json.Unmarshal(raw, &cfg); err != nil {
		return &RunError{Op: "decode baseline configuration", Err: err}
	}
	b, err := newBaseline(cfg)
	if err != nil {
		return err
	}
	sup := suture.NewSimple("baseline")
	for addr, h := range map[string]http.Handler{cfg.Listen: b, cfg.Operator: b.operator()} {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return &RunError{Op: "listen", Err: err}
		}
		sup.Add(&standin.Server{Name: addr, Listener: ln, Handler: h})
	}
	for _, list := range b.byWorkload {
		for _, t := range list {
			sup.Add(&baselineHealth{t: t})
		}
	}
	_ = sup.Serve(ctx)
	return nil
}

func newBaseline(cfg BaselineConfig) (*baseline, error) {
	st, err := contract.NewState(cfg.Deployment)
	if err != nil {
		return nil, &RunError{Op: "validate the deployment", Err: err}
	}
	b := &baseline{
		cfg: cfg, byWorkload: map[string][]*baselineTarget{}, limiters: map[string]*rate.Limiter{}, state: st,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, MaxConnsPerHost: 8, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: baselineCheckInterval}).DialContext}},
	}
	for _, t := range cfg.Deployment.Targets {
		bt := &baselineTarget{Target: t, control: httpplatform.NewTarget(t.Addr, httpplatform.Options{}),
			slots: make(chan struct{}, max(1, t.Slots/cfg.Routers))}
		bt.healthy.Store(true)
		b.byWorkload[t.Workload] = append(b.byWorkload[t.Workload], bt)
	}
	for _, c := range cfg.Deployment.Contracts {
		n := float64(cfg.Routers)
		b.limiters[c.Customer] = rate.NewLimiter(rate.Limit(c.RatePerSecond/n), max(1, int(c.Burst/n)))
	}
	return b, nil
}

// baselineHealth checks the health of one target.
type baselineHealth struct{ t *baselineTarget }

// Serve implements suture.Service.
func (h *baselineHealth) Serve(ctx context.Context) error {
	tick := time.NewTicker(baselineCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return suture.ErrDoNotRestart
		case <-tick.C:
		}
		limit, cancel := context.WithTimeout(ctx, baselineCheckInterval)
		load, err := h.t.control.Load(limit)
		cancel()
		if err == nil && load.State != provider.TargetLeaving {
			h.t.failures = 0
		} else {
			h.t.failures++
		}
		h.t.healthy.Store(h.t.failures < baselineFailures)
	}
}

func (b *baseline) config() *contract.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}

// operator returns the handler for configuration changes: POST /change with a
// contract.Change, whose FromVersion it ignores.
func (b *baseline) operator() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /change", func(w http.ResponseWriter, r *http.Request) {
		var ch contract.Change
		if err := json.NewDecoder(r.Body).Decode(&ch); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		ch.FromVersion = b.state.Version
		next, err := b.state.Apply(ch)
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		b.state = next
	})
	return mux
}

// callerError writes an error response in the format of the caller API.
func callerError(w http.ResponseWriter, status int, code, outcome string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	writeTo(w, routerError{Code: code, Outcome: outcome, Message: code})
}

// writeTo writes v as JSON. It ignores a write error, which only means that the
// caller has disconnected.
func writeTo(w io.Writer, v any) { _ = json.NewEncoder(w).Encode(v) }

// ServeHTTP implements http.Handler.
func (b *baseline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pathReady {
		return
	}
	st := b.config()
	customer := r.Header.Get(provider.HeaderCustomer)
	c, ok := st.Contracts[customer]
	sum := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
	if !ok || c.Ended || !slices.Contains(c.CredentialHashes, hex.EncodeToString(sum[:])) {
		callerError(w, http.StatusForbidden, "forbidden", "not_run")
		return
	}
	if r.URL.Path == pathRequestIDs {
		b.serveIDs(w)
		return
	}
	name, key, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/v1/"), "/")
	wl, ok := st.Workloads[name]
	if !ok {
		callerError(w, http.StatusNotFound, "unknown_workload", "not_run")
		return
	}
	if !b.limiters[customer].Allow() {
		callerError(w, http.StatusTooManyRequests, "rate", "not_run")
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBaselineBody))
	if err != nil {
		callerError(w, http.StatusBadRequest, "body", "not_run")
		return
	}
	b.forward(w, r, st, wl, key, body)
}

func (b *baseline) serveIDs(w http.ResponseWriter) {
	ids := make([]string, idBatch)
	for i := range ids {
		ids[i] = fmt.Sprintf("%s-%d", b.cfg.Listen, b.lastID.Add(1))
	}
	writeTo(w, idsResponse{IDs: ids})
}

// pick returns the target for a request, or nil when none is healthy and in
// service.
func (b *baseline) pick(st *contract.State, w contract.Workload, key string) *baselineTarget {
	var available []*baselineTarget
	for _, t := range b.byWorkload[w.Name] {
		if t.healthy.Load() && st.TargetInService(t.Name) {
			available = append(available, t)
		}
	}
	if len(available) == 0 {
		return nil
	}
	if !w.Keyed {
		return available[b.next.Add(1)%uint64(len(available))]
	}
	plain, err := url.PathUnescape(key)
	if err != nil {
		plain = key
	}
	return available[xxhash.Sum64String(plain)%uint64(len(available))]
}

// forward sends a request until it gets a response, its deadline passes, or a
// retry is not allowed.
func (b *baseline) forward(w http.ResponseWriter, r *http.Request, st *contract.State, wl contract.Workload, key string, body []byte) {
	limit := baselineDeadline
	if ms, err := strconv.ParseInt(r.Header.Get(provider.HeaderDeadlineMS), 10, 64); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	idempotent := slices.Contains(wl.IdempotentMethods, r.Method)
	for lost := 0; ctx.Err() == nil; {
		t := b.pick(st, wl, key)
		if t == nil {
			callerError(w, http.StatusServiceUnavailable, "no_target", "not_run")
			return
		}
		resp, data, sent, err := b.send(ctx, t, r, wl, key, body)
		switch {
		case err == nil && resp.Header.Get(provider.HeaderOutcome) != "not_run":
			w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
			w.WriteHeader(resp.StatusCode)
			_, _ = w.Write(data)
			return
		case err != nil && sent && !idempotent:
			callerError(w, http.StatusBadGateway, "lost", "may_have_run")
			return
		case err != nil:
			if lost++; lost >= baselineMaxAttempts {
				callerError(w, http.StatusBadGateway, "lost", outcomeOf(sent))
				return
			}
		}
		backoff := time.Duration(rand.Int64N(int64(2 * baselineBackoff)))
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
		}
	}
	callerError(w, http.StatusServiceUnavailable, "deadline", "may_have_run")
}

func outcomeOf(sent bool) string {
	if sent {
		return "may_have_run"
	}
	return "not_run"
}

// send makes one attempt. The bool result reports whether a byte may have
// reached the target.
func (b *baseline) send(ctx context.Context, t *baselineTarget, r *http.Request, wl contract.Workload, key string, body []byte) (*http.Response, []byte, bool, error) {
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-ctx.Done():
		return nil, nil, false, ctx.Err()
	}
	target := "http://" + t.Addr + httpplatform.PathWork + key
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, target, strings.NewReader(string(body)))
	if err != nil {
		return nil, nil, false, err
	}
	req.GetBody = nil
	req.Header.Set(provider.HeaderWorkload, wl.Name)
	req.Header.Set(provider.HeaderCustomer, r.Header.Get(provider.HeaderCustomer))
	req.Header.Set(provider.HeaderRequestID, r.Header.Get(provider.HeaderRequestID))
	if at, ok := ctx.Deadline(); ok {
		req.Header.Set(provider.HeaderDeadlineMS, strconv.FormatInt(time.Until(at).Milliseconds(), 10))
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return nil, nil, !isDialError(err), err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, data, true, err
}
