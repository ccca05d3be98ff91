package forward

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/provider"
	"github.com/boragelock/boragelock/retry"
)

// servePeer handles requests of other entry hosts.
func (s *Server) servePeer(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == PathPing:
		writeStatus(w, true)
	case strings.HasPrefix(r.URL.Path, PathForward):
		s.serveInner(w, r, PathForward)
	case strings.HasPrefix(r.URL.Path, PathForwardToIssuer):
		s.serveInner(w, r, PathForwardToIssuer)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Server) serveInner(w http.ResponseWriter, r *http.Request, prefix string) {
	id := r.Header.Get(provider.HeaderRequestID)
	beat := startHeartbeat(w)
	// Longest time that the sender waits; the queue and the target keep the
	// request's own deadline.
	ctx, cancel := context.WithTimeout(r.Context(), s.cfg.MaxDeadline+answerGrace)
	defer cancel()
	ans, b, e := s.inner(ctx, r, prefix, beat)
	defer b.close()
	beat.stop()
	h := w.Header()
	h[provider.HeaderRequestID] = []string{id}
	if e != nil {
		s.cfg.Log.Debug("request of a peer failed", "request_id", id, "code", e.Code, "outcome", e.Outcome, "detail", e.Detail, "error", e.Err)
		h[headerHop] = []string{hopError}
		if home := s.opened(r.Header.Get(headerTarget)); home != nil {
			setHint(h, home.hint())
		}
		writeError(w, e)
		return
	}
	copyResponseHeader(h, ans.header)
	h[headerHop] = []string{hopTarget}
	if ans.loaded {
		setHint(h, ans.load)
	}
	if e := ans.relay(w, s.cfg.BodyStallTimeout); e != nil {
		s.m.aborted.Add(1)
		s.cfg.Log.Info("response to a peer was cut", "request_id", id, "error", e.Err)
		panic(http.ErrAbortHandler)
	}
}

// checkedBySender is the limit of a body that the front has limited already.
const checkedBySender = math.MaxInt64

// inner runs a request of another entry host. The returned body, which may be
// nil, is in use until the answer has been passed on.
func (s *Server) inner(ctx context.Context, r *http.Request, prefix string, beat *beat) (*answer, *body, *retry.Error) {
	v := s.cfg.Source.View()
	if v == nil || v.State == nil || v.State.Config == nil {
		return nil, nil, newError(retry.CodeNotReady)
	}
	c, rt, e := s.innerCall(r, v, prefix)
	if e != nil {
		return nil, nil, e
	}
	if c.body, e = newBody(beat, r, checkedBySender, s.cfg.BodyStallTimeout); e != nil {
		return nil, c.body, e
	}
	ctx, span := s.startSpan(ctx, "inner", r.Header)
	defer endSpan(span, nil)
	if prefix == PathForwardToIssuer {
		s.sync(v)
		ans, e := s.once(ctx, v.Self, c, c.id)
		return ans, c.body, e
	}
	if e := s.checkRoute(ctx, c, rt); e != nil {
		return nil, c.body, e
	}
	ans, e := s.serveHome(ctx, c, rt)
	return ans, c.body, e
}

// checkRoute waits until this host's view is as new as the sender's.
func (s *Server) checkRoute(ctx context.Context, c *call, rt route) *retry.Error {
	if !c.keyed || c.fencing || s.cfg.DisableFence {
		return nil
	}
	for {
		changed := s.cfg.Source.Changed()
		shard, ok := shardOf(s.cfg.Source.View(), c.workload, rt.shard)
		switch {
		case ok && shard.Epoch == rt.epoch && shard.Active():
			return nil
		case ok && shard.Epoch > rt.epoch:
			return newError(retry.CodeNotOwner)
		}
		if e := s.await(ctx, c, changed, s.cfg.RouteTimeout); e != nil {
			return newError(retry.CodeNotOwner)
		}
	}
}

// innerCall reads what the sender says of a request.
func (s *Server) innerCall(r *http.Request, v *view.View, prefix string) (*call, route, *retry.Error) {
	h := r.Header
	ms, err := strconv.ParseInt(h.Get(provider.HeaderDeadlineMS), 10, 64)
	wl, ok := v.State.Config.Workloads[h.Get(provider.HeaderWorkload)]
	if err != nil || !ok {
		return nil, route{}, newError(retry.CodeUnknownWorkload)
	}
	weight, _ := strconv.ParseFloat(h.Get(headerWeight), 64)
	now := boottime.Now()
	left := time.Duration(ms) * time.Millisecond
	c := &call{
		id: h.Get(provider.HeaderRequestID), customer: h.Get(provider.HeaderCustomer), weight: weight,
		workload: wl.Name, keyed: wl.Keyed, fencing: wl.Fencing, key: strings.TrimPrefix(r.URL.Path, prefix),
		method: r.Method, query: r.URL.RawQuery, header: make(http.Header, len(h)),
		idempotent: h.Get(headerIdempotent) == "1",
		deadline:   now + left, holdUntil: now + min(left, s.cfg.RouteTimeout),
	}
	copyRequestHeader(c.header, h)
	rt := route{target: h.Get(headerTarget)}
	if wl.Keyed {
		n, err1 := strconv.ParseInt(h.Get(provider.HeaderShard), 10, 32)
		epoch, err2 := strconv.ParseUint(h.Get(provider.HeaderEpoch), 10, 64)
		if err1 != nil || err2 != nil {
			return nil, route{}, newError(retry.CodeBadRequest)
		}
		rt.shard, rt.epoch = int32(n), epoch
	}
	return c, rt, nil
}

// beat sends interim responses while a request waits or runs, so that the
// sender can tell a slow target from a silent connection. It stands in for the
// ResponseWriter until stop.
type beat struct {
	http.ResponseWriter
	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

func startHeartbeat(w http.ResponseWriter) *beat {
	b := &beat{ResponseWriter: w}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = time.AfterFunc(heartbeat, b.send)
	return b
}

// Unwrap serves http.ResponseController.
func (b *beat) Unwrap() http.ResponseWriter { return b.ResponseWriter }

func (b *beat) send() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return
	}
	b.ResponseWriter.WriteHeader(http.StatusProcessing)
	b.timer.Reset(heartbeat)
}

// stop returns when no interim response is being sent. The ResponseWriter may
// be used after it.
func (b *beat) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	b.timer.Stop()
}
