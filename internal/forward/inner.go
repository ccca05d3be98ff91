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
		s.serveForwarded(w, r, PathForward)
	case strings.HasPrefix(r.URL.Path, PathForwardToIssuer):
		s.serveForwarded(w, r, PathForwardToIssuer)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Server) serveForwarded(w http.ResponseWriter, r *http.Request, prefix string) {
	id := r.Header.Get(provider.HeaderRequestID)
	beat := startHeartbeat(w)
	// The longest time that the sender waits; the queue and the target apply the
	// request's own deadline.
	ctx, cancel := context.WithTimeout(r.Context(), s.cfg.MaxDeadline+responseGrace)
	defer cancel()
	ans, b, e := s.handleForwarded(ctx, r, prefix, beat)
	defer b.close()
	beat.stop()
	h := w.Header()
	h[provider.HeaderRequestID] = []string{id}
	if e != nil {
		s.cfg.Log.Debug("request of a peer failed", "request_id", id, "code", e.Code, "outcome", e.Outcome, "detail", e.Detail, "error", e.Err)
		h[headerHop] = []string{hopError}
		if home := s.existingHome(r.Header.Get(headerTarget)); home != nil {
			setLoadHint(h, home.hint())
		}
		writeError(w, e)
		return
	}
	copyResponseHeader(h, ans.header)
	h[headerHop] = []string{hopTarget}
	if ans.hasLoad {
		setLoadHint(h, ans.load)
	}
	if e := ans.writeTo(w, s.cfg.BodyStallTimeout); e != nil {
		s.m.answersAborted.Add(1)
		s.cfg.Log.Info("response to a peer was truncated", "request_id", id, "error", e.Err)
		panic(http.ErrAbortHandler)
	}
}

// noBodyLimit is the limit of a body whose size the front has already limited.
const noBodyLimit = math.MaxInt64

// handleForwarded runs a request of another entry host. The returned body, which
// may be nil, is in use until the response has been passed on.
func (s *Server) handleForwarded(ctx context.Context, r *http.Request, prefix string, beat *heartbeatWriter) (*answer, *body, *retry.Error) {
	v := s.cfg.Source.View()
	if v == nil || v.State == nil || v.State.Config == nil {
		return nil, nil, newError(retry.CodeNotReady)
	}
	c, rt, e := s.forwardedCall(r, v, prefix)
	if e != nil {
		return nil, nil, e
	}
	if c.body, e = newBody(beat, r, noBodyLimit, s.cfg.BodyStallTimeout); e != nil {
		return nil, c.body, e
	}
	ctx, span := s.startSpan(ctx, "inner", r.Header)
	defer endSpan(span, nil)
	if prefix == PathForwardToIssuer {
		s.applyView(v)
		ans, e := s.runOnce(ctx, v.Self, c, c.id)
		return ans, c.body, e
	}
	if e := s.checkRoute(ctx, c, rt); e != nil {
		return nil, c.body, e
	}
	ans, e := s.serveHome(ctx, c, rt)
	return ans, c.body, e
}

// checkRoute waits until this host's view has the route's epoch, for targets that
// do not check epochs themselves. It fails when the view has a later epoch or
// the call's route deadline passes.
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
		if e := s.awaitView(ctx, c, changed, s.cfg.RouteTimeout); e != nil {
			return newError(retry.CodeNotOwner)
		}
	}
}

// forwardedCall reads the call and its route from a forwarded request.
func (s *Server) forwardedCall(r *http.Request, v *view.View, prefix string) (*call, route, *retry.Error) {
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
		deadline:   now + left, routeDeadline: now + min(left, s.cfg.RouteTimeout),
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

// heartbeatWriter sends interim responses while a request waits or runs, so that
// the sender can tell a slow target from a silent connection. It replaces the
// ResponseWriter until stop is called.
type heartbeatWriter struct {
	http.ResponseWriter
	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

func startHeartbeat(w http.ResponseWriter) *heartbeatWriter {
	b := &heartbeatWriter{ResponseWriter: w}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = time.AfterFunc(heartbeatInterval, b.send)
	return b
}

// Unwrap returns the ResponseWriter for http.ResponseController.
func (b *heartbeatWriter) Unwrap() http.ResponseWriter { return b.ResponseWriter }

func (b *heartbeatWriter) send() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return
	}
	b.ResponseWriter.WriteHeader(http.StatusProcessing)
	b.timer.Reset(heartbeatInterval)
}

// stop returns when no interim response is being sent and none will be. The
// ResponseWriter may be used after that.
func (b *heartbeatWriter) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	b.timer.Stop()
}
