package standin

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/httpplatform"
	"github.com/boragelock/boragelock/provider"
)

// maxWorkBytes limits the body size of a work request.
const maxWorkBytes = 16 << 20

// run is one execution of a work request.
type run struct {
	requestID, tag, method  string
	workload, key, customer string
	shard                   int32
	epoch                   uint64
	fenced                  bool
	leasePeriod             int64
	incarnation             string
	start                   time.Duration
	startWall               time.Time
	runningAtStart          int
	deadline                time.Duration
	bodyBytes               int
	bodyHash                uint64
}

// Answer is the body of the response to a work request. A caller detects
// crossed or truncated responses by comparing it with its request.
type Answer struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	Workload    string `json:"workload"`
	Key         string `json:"key"`
	Tag         string `json:"tag"`
	RequestID   string `json:"request_id"`
	// BodyBytes and BodyHash (xxhash64, hex) describe the received body.
	BodyBytes int    `json:"body_bytes"`
	BodyHash  string `json:"body_hash"`
	// End is always "end"; a response without it was truncated.
	End string `json:"end"`
}

// parseRun reads a work request. When the request is malformed, it responds with
// 400 and returns nil.
func (t *Target) parseRun(w http.ResponseWriter, r *http.Request) *run {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxWorkBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, "body_cut")
		return nil
	}
	h := r.Header
	out := &run{
		requestID: h.Get(provider.HeaderRequestID), tag: r.URL.Query().Get("tag"), method: r.Method,
		workload: h.Get(provider.HeaderWorkload), customer: h.Get(provider.HeaderCustomer),
		fenced: t.cfg.Keyed && t.cfg.Fencing, deadline: math.MaxInt64,
		bodyBytes: len(body), bodyHash: xxhash.Sum64(body),
	}
	if out.key, err = url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), httpplatform.PathWork)); err != nil {
		refuse(w, http.StatusBadRequest, "malformed_key")
		return nil
	}
	if keyHeader := h.Get(provider.HeaderKey); keyHeader != "" {
		if k, err := url.PathUnescape(keyHeader); err != nil || (t.cfg.Keyed && k != out.key) {
			refuse(w, http.StatusBadRequest, "key_differs_from_path")
			return nil
		}
	}
	shard, err1 := strconv.ParseInt(orZero(h.Get(provider.HeaderShard)), 10, 32)
	epoch, err2 := strconv.ParseUint(orZero(h.Get(provider.HeaderEpoch)), 10, 64)
	deadlineMS, err3 := strconv.ParseInt(orZero(h.Get(provider.HeaderDeadlineMS)), 10, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		refuse(w, http.StatusBadRequest, "malformed_header")
		return nil
	}
	out.shard, out.epoch = int32(shard), epoch
	if h.Get(provider.HeaderDeadlineMS) != "" {
		out.deadline = boottime.Now() + time.Duration(deadlineMS)*time.Millisecond
	}
	return out
}

func orZero(s string) string {
	if s == "" {
		return "0"
	}
	return s
}

func (t *Target) serveWork(w http.ResponseWriter, r *http.Request) {
	x := t.parseRun(w, r)
	if x == nil {
		return
	}
	t.awaitThaw()
	service, status, code := t.admit(x)
	if status != 0 {
		refuse(w, status, code)
		return
	}
	outcome := t.execute(r.Context(), x, service)
	t.awaitThaw()
	outcome = t.finish(r.Context(), x, outcome)
	switch outcome {
	case RunEffect:
		t.writeResponse(w, x)
	case RunNotOwner:
		refuse(w, http.StatusConflict, provider.RefusalNotOwner)
	case RunDeadline:
		refuse(w, http.StatusServiceUnavailable, provider.RefusalDeadline)
	default:
		cutConnection(w)
	}
}

// admit takes a slot and returns the service time, or the status and the code of
// the refusal.
func (t *Target) admit(x *run) (time.Duration, int, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := boottime.Now()
	switch {
	case now < t.fallenUntil:
		return 0, http.StatusServiceUnavailable, provider.RefusalShed
	case t.switches.Leaving && t.switches.RefuseLeaving:
		t.event(EventRefusedLeaving)
		return 0, http.StatusServiceUnavailable, provider.RefusalLeaving
	case now >= x.deadline:
		return 0, http.StatusServiceUnavailable, provider.RefusalDeadline
	case x.fenced && !t.fence.mayStart(x, now):
		t.event(EventNotOwner)
		return 0, http.StatusConflict, provider.RefusalNotOwner
	case len(t.running) >= t.capacity():
		t.recordShed(now)
		return 0, http.StatusServiceUnavailable, provider.RefusalShed
	}
	t.running[x] = struct{}{}
	x.start, x.startWall, x.runningAtStart, x.leasePeriod = now, time.Now(), len(t.running), t.fence.leasePeriod
	x.incarnation = t.fence.incarnation
	t.sampleLoad()
	return t.drawServiceTime(), 0, ""
}

// recordShed records a shed request. A cold target that sheds too many requests
// within a second falls over. The mutex is held.
func (t *Target) recordShed(now time.Duration) {
	if !t.cold {
		t.event(EventShed)
		return
	}
	t.event(EventShedCold)
	t.recentColdSheds = append(t.recentColdSheds, now)
	for len(t.recentColdSheds) > 0 && t.recentColdSheds[0] < now-time.Second {
		t.recentColdSheds = t.recentColdSheds[1:]
	}
	if t.cfg.FallOverSheds > 0 && len(t.recentColdSheds) >= t.cfg.FallOverSheds {
		t.fallenUntil = now + time.Duration(t.cfg.FallOverMS)*time.Millisecond
		t.recentColdSheds = nil
		t.event(EventFallOver)
	}
}

func (t *Target) drawServiceTime() time.Duration {
	ms := t.cfg.ServiceMS * math.Exp(t.cfg.SigmaLog*t.rng.NormFloat64())
	if f := t.switches.SlowFactor; f > 0 {
		ms *= f
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// execute waits for the service time, the deadline or the end of the context.
func (t *Target) execute(ctx context.Context, x *run, service time.Duration) RunOutcome {
	remaining := x.deadline - x.start
	sleep(ctx, min(service, remaining))
	switch {
	case ctx.Err() != nil:
		return RunCancelled
	case remaining < service:
		return RunDeadline
	}
	return RunEffect
}

// finish checks ownership again, frees the slot and records the run. The end
// time of the record is the time of the check.
func (t *Target) finish(ctx context.Context, x *run, outcome RunOutcome) RunOutcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := boottime.Now()
	if outcome == RunEffect {
		switch {
		case ctx.Err() != nil, x.incarnation != t.fence.incarnation:
			outcome = RunCancelled
		case x.fenced && !t.fence.mayTakeEffect(x, now):
			outcome = RunNotOwner
		case now >= x.deadline:
			outcome = RunDeadline
		}
	}
	delete(t.running, x)
	t.addWarmup(now - x.start)
	t.sampleLoad()
	t.recorder.Add(Record{
		Target: t.cfg.Name, Incarnation: x.incarnation, Outcome: outcome,
		RequestID: x.requestID, Tag: x.tag, Method: x.method, Workload: x.workload, Key: x.key,
		Shard: x.shard, Epoch: x.epoch, Customer: x.customer, Running: x.runningAtStart,
		StartMono: int64(x.start), EndMono: int64(now), StartWall: x.startWall,
	})
	return outcome
}

func (t *Target) writeResponse(w http.ResponseWriter, x *run) {
	body, err := json.Marshal(Answer{
		Target: t.cfg.Name, Incarnation: x.incarnation, Workload: x.workload, Key: x.key, Tag: x.tag,
		RequestID: x.requestID, BodyBytes: x.bodyBytes, BodyHash: strconv.FormatUint(x.bodyHash, 16), End: "end",
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
