package forward

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/limits"
	"github.com/boragelock/boragelock/provider"
	"github.com/boragelock/boragelock/retry"
)

// Paths for callers and load balancers.
const (
	PathWork    = "/v1/"
	PathHealthy = "/healthz"
	PathReady   = "/readyz"
)

// serveCaller handles all requests of callers. It does not use http.ServeMux,
// which redirects paths with empty segments, and those occur in keys.
func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case PathHealthy:
		writeStatus(w, true)
		return
	case PathReady:
		writeStatus(w, s.ready())
		return
	}
	s.m.requests.Add(1)
	s.m.inFlight.Add(1)
	defer s.m.inFlight.Add(-1)
	start := time.Now()
	defer addSince(s.m.frontUS, start)
	if s.unready.Load() {
		// Callers reconnect through the load balancer, which sends them to
		// another host, so few idle connections remain when this one stops.
		w.Header().Set("Connection", "close")
	}
	id, target, e := s.serveFront(w, r)
	if id == "" {
		id = s.newID()
	}
	if e == nil {
		s.m.answers.Add(1)
		s.cfg.Log.Debug("request answered", "request_id", id, "method", r.Method, "target", target,
			"duration_ms", time.Since(start).Milliseconds())
		return
	}
	s.m.errors.Add(string(e.Code), 1)
	s.cfg.Log.Info("request failed", "request_id", id, "customer", r.Header.Get(provider.HeaderCustomer), "method", r.Method,
		"target", target, "code", e.Code, "outcome", e.Outcome, "duration_ms", time.Since(start).Milliseconds(), "detail", e.Detail, "error", e.Err)
	if e.Code == codeAborted {
		s.m.answersAborted.Add(1)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(provider.HeaderRequestID, id)
	writeError(w, e)
}

func writeStatus(w http.ResponseWriter, ok bool) {
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// codeAborted marks a response that was truncated after its header was sent. It
// is never sent: the connection to the caller is aborted instead.
const codeAborted retry.Code = "aborted"

// newID returns an identifier for logs and headers.
func (s *Server) newID() string {
	n := strconv.FormatUint(s.requestSeq.Add(1), 10)
	v := s.cfg.Source.View()
	if v == nil {
		return n
	}
	return v.Self.Name + "-" + v.Self.Incarnation + "-" + n
}

// serveFront handles one request and returns its identifier and the target
// tried last.
func (s *Server) serveFront(w http.ResponseWriter, r *http.Request) (id, target string, e *retry.Error) {
	v := s.cfg.Source.View()
	callerID := r.Header.Get(provider.HeaderRequestID)
	c, e := s.accept(w, r, v)
	if e == nil && c != nil {
		e = s.serveCall(w, r, v, c, callerID)
	}
	if c != nil {
		id, target = c.id, c.target
	}
	outcomeExact := idempotentByDefault(r.Method)
	if c != nil {
		outcomeExact = c.idempotent || c.issuerChecked
	}
	if e != nil && callerID != "" && !outcomeExact {
		e = s.exactOutcome(e, v, r.Header.Get(provider.HeaderCustomer), callerID)
	}
	return id, target, e
}

// idempotentByDefault reports whether a method is idempotent for workloads that
// do not list their idempotent methods.
func idempotentByDefault(method string) bool { return isIdempotent(contract.Workload{}, method) }

// accept checks a request and applies the contract. A call that is returned
// without an error has been admitted. For a request for identifiers, accept
// writes the response and returns neither a call nor an error.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, v *view.View) (*call, *retry.Error) {
	if v == nil || v.State == nil || v.State.Config == nil {
		return nil, newError(retry.CodeNotReady).WithRetryAfter(time.Second)
	}
	s.applyView(v)
	if headerSize(r.Header) > s.cfg.MaxHeaderBytes {
		return nil, newError(CodeHeaderTooLarge)
	}
	if r.URL.Path == PathRequestIDs {
		return nil, s.serveRequestIDs(w, r, v)
	}
	c, e := s.newCall(r, v)
	if e != nil {
		return nil, e
	}
	return c, s.admit(c, r.ContentLength)
}

// serveCall runs an admitted call and passes the response on.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request, v *view.View, c *call, callerID string) (e *retry.Error) {
	defer s.releaseAdmission(c)
	if c.body, e = newBody(w, r, s.maxBody(v, c), s.cfg.BodyStallTimeout); e != nil {
		return e
	}
	defer c.body.close()
	ctx, cancel := context.WithTimeout(r.Context(), c.remaining()+2*responseGrace)
	defer cancel()
	ctx, span := s.startSpan(ctx, "front", r.Header)
	ans, e := s.dispatch(ctx, v, c, callerID)
	describeSpan(span, c, route{})
	endSpan(span, e)
	if e != nil {
		return e
	}
	copyResponseHeader(w.Header(), ans.header)
	w.Header()[provider.HeaderRequestID] = []string{c.id}
	if e := ans.writeTo(w, s.cfg.BodyStallTimeout); e != nil {
		e.Code = codeAborted
		return e
	}
	return nil
}

// newCall checks the header of a request and returns its call.
func (s *Server) newCall(r *http.Request, v *view.View) (*call, *retry.Error) {
	customer, e := s.authenticate(r)
	if e != nil {
		return nil, e
	}
	workload, key, ok := splitPath(r.URL.Path)
	if !ok {
		return nil, newError(retry.CodeUnknownWorkload)
	}
	wl, known := v.State.Config.Workloads[workload]
	switch {
	case !known:
		return nil, newError(retry.CodeUnknownWorkload)
	case len(key) > s.cfg.MaxKeyBytes:
		return nil, newError(CodeKeyTooLong)
	case wl.Keyed && key == "":
		return nil, badRequest("the path has no key")
	}
	deadline, e := s.requestTimeout(r, wl)
	if e != nil {
		return nil, e
	}
	now := boottime.Now()
	c := &call{
		customer: customer, weight: v.State.Config.Contracts[customer].Weight,
		workload: workload, keyed: wl.Keyed, fencing: wl.Fencing, key: key,
		method: r.Method, query: r.URL.RawQuery, header: make(http.Header, len(r.Header)),
		idempotent: isIdempotent(wl, r.Method),
		deadline:   now + deadline, routeDeadline: now + min(deadline, s.cfg.RouteTimeout),
	}
	copyRequestHeader(c.header, r.Header)
	return c, nil
}

func badRequest(message string) *retry.Error {
	e := newError(retry.CodeBadRequest)
	e.Message = message
	return e
}

// splitPath splits /v1/{workload}/{key...}. The key is the unescaped rest of
// the path and may contain slashes.
func splitPath(path string) (workload, key string, ok bool) {
	rest, ok := strings.CutPrefix(path, PathWork)
	if !ok {
		return "", "", false
	}
	workload, key, _ = strings.Cut(rest, "/")
	return workload, key, workload != ""
}

// authenticate returns the customer of a request.
func (s *Server) authenticate(r *http.Request) (string, *retry.Error) {
	customer := r.Header.Get(provider.HeaderCustomer)
	credential, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !s.credentials.Load().Check(customer, credential) || !ok || customer == "" {
		return "", newError(retry.CodeUnauthenticated)
	}
	return customer, nil
}

func (s *Server) requestTimeout(r *http.Request, wl contract.Workload) (time.Duration, *retry.Error) {
	text := r.Header.Get(provider.HeaderDeadlineMS)
	if text == "" {
		if wl.DeadlineMS > 0 {
			return min(time.Duration(wl.DeadlineMS)*time.Millisecond, s.cfg.MaxDeadline), nil
		}
		return s.cfg.DefaultDeadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 {
		return 0, badRequest(provider.HeaderDeadlineMS + " is not a whole number of milliseconds from 1")
	}
	return time.Duration(min(ms, s.cfg.MaxDeadline.Milliseconds())) * time.Millisecond, nil
}

var refusalCodes = map[limits.RefusalCode]retry.Code{
	limits.CodeUnknownCustomer: retry.CodeUnauthenticated, limits.CodeContractEnded: CodeContractEnded,
	limits.CodeWorkloadNotPermitted: retry.CodeForbiddenWorkload, limits.CodeBodyTooLarge: retry.CodeBodyTooLarge,
	limits.CodeRateLimited: retry.CodeRateLimited, limits.CodeConcurrencyLimited: retry.CodeConcurrency,
}

// admit applies the customer's contract. An admitted call must be ended with
// releaseAdmission.
func (s *Server) admit(c *call, bodyBytes int64) *retry.Error {
	s.enforcerMu.Lock()
	d := s.enforcer.Admit(boottime.Now(), c.customer, c.workload, bodyBytes)
	s.enforcerMu.Unlock()
	if d.Admitted {
		return nil
	}
	return newError(refusalCodes[d.Code]).WithRetryAfter(d.RetryAfter)
}

func (s *Server) releaseAdmission(c *call) {
	s.enforcerMu.Lock()
	s.enforcer.Done(c.customer)
	s.enforcerMu.Unlock()
}

// maxBody returns the maximum size of a call's body in bytes.
func (s *Server) maxBody(v *view.View, c *call) int64 {
	limit := s.cfg.MaxBodyBytes
	if n := v.State.Config.Workloads[c.workload].MaxBodyBytes; n > 0 {
		limit = n
	}
	if n := v.State.Config.Contracts[c.customer].MaxBodyBytes; n > 0 {
		limit = min(limit, n)
	}
	return limit
}

// dispatch runs an idempotent call directly and any other call under its
// identifier, which is admitted once.
func (s *Server) dispatch(ctx context.Context, v *view.View, c *call, callerID string) (*answer, *retry.Error) {
	if !c.idempotent {
		return s.runOnce(ctx, v.Self, c, callerID)
	}
	c.id = callerID
	if !printableID(callerID) {
		c.id = s.newID()
	}
	return s.run(ctx, c)
}

// printableID reports whether an identifier that a caller chose for an
// idempotent request is accepted. Such identifiers appear only in logs and
// headers.
func printableID(id string) bool {
	if id == "" || len(id) > retry.MaxIDLength {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}
