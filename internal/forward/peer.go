package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/provider"
	"github.com/boragelock/boragelock/retry"
)

// Paths between entry hosts.
const (
	// PathForward is followed by the key; the sender acts as front.
	PathForward = "/internal/v1/forward/"
	// PathForwardToIssuer is followed by the key; the receiver issued the
	// request's identifier and acts as front.
	PathForwardToIssuer = "/internal/v1/issued/"
	// PathPing responds with status 200 immediately.
	PathPing = "/internal/v1/ping"
)

const (
	// hopMargin is how much earlier the next hop's deadline is, so that its
	// response, which has the outcome, arrives before this host's deadline.
	hopMargin = 5 * time.Millisecond
	// responseGrace is how long after the deadline this host waits for the next
	// hop's response with the outcome.
	responseGrace = 50 * time.Millisecond
	// peerSilenceTimeout is the time without data after which an entry host is
	// probed; the other side sends an interim response every heartbeatInterval.
	peerSilenceTimeout = 150 * time.Millisecond
	heartbeatInterval  = 50 * time.Millisecond
)

// peerPool returns the connections to another entry host.
func (s *Server) peerPool(addr string) *pool {
	s.peersMu.RLock()
	p := s.peers[addr]
	s.peersMu.RUnlock()
	if p != nil {
		return p
	}
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	if p = s.peers[addr]; p == nil {
		p = newPool(poolConfig{
			addr: addr, maxConnections: s.cfg.PeerConnections, maxDials: 4 * s.cfg.MaxDials,
			dialTimeout: s.cfg.DialTimeout, tls: s.cfg.PeerTLS, probePath: PathPing,
		}, s.m)
		s.peers[addr] = p
	}
	return p
}

// sendPeer sends a request to another entry host. prefix is PathForward or
// PathForwardToIssuer.
func (s *Server) sendPeer(ctx context.Context, c *call, r route, prefix string) (*answer, *retry.Error) {
	left := c.remaining()
	if left <= 0 {
		return nil, newError(retry.CodeDeadline)
	}
	p := s.peerPool(r.homeAddr)
	attemptCtx, cancel := context.WithTimeout(ctx, left+responseGrace)
	req, ok := c.newRequest(attemptCtx, r.homeAddr, prefix, r, left-min(hopMargin, left/10))
	if !ok {
		cancel()
		return nil, newError(CodeHomeUnreachable).WithCause("body cannot be sent again", nil)
	}
	req.Header[headerTarget] = []string{r.target}
	req.Header[headerWeight] = []string{strconv.FormatFloat(c.weight, 'g', -1, 64)}
	if c.idempotent {
		req.Header[headerIdempotent] = []string{"1"}
	}
	a := &attempt{
		ctx: attemptCtx, cancel: cancel, silenceTimeout: peerSilenceTimeout, bodySilenceTimeout: s.cfg.BodyStallTimeout, m: s.m,
		probe: func(ctx context.Context) error { _, err := p.probe(ctx); return err },
	}
	if c.idempotent {
		a.canReroute = func() bool { return s.canReroute(c, r) }
	} else {
		a.silenceTimeout *= nonIdempotentSilenceFactor
	}
	resp, failure := a.roundTrip(p.transport, req)
	if failure != nil {
		return nil, s.peerFailure(ctx, attemptCtx, c, r, failure)
	}
	return s.peerResponse(ctx, c, r, resp, a)
}

// canReroute reports whether a request whose home does not respond can be sent
// elsewhere: to another target, or to a new home of its target.
func (s *Server) canReroute(c *call, r route) bool {
	if !c.keyed {
		return true
	}
	current, code := s.locate(s.cfg.Source.View(), c, "")
	return code == "" && current.homeHost != r.homeHost
}

// peerFailure converts the failure of an attempt to reach an entry host into the
// caller's error.
func (s *Server) peerFailure(ctx, attemptCtx context.Context, c *call, r route, f *attemptError) *retry.Error {
	if e := c.body.callerErr(); e != nil {
		return e.WithOutcome(outcomeOf(f.wrote))
	}
	for _, waitCtx := range []context.Context{ctx, attemptCtx} {
		if e := contextError(waitCtx, f.wrote); e != nil && (waitCtx == ctx || errors.Is(f.err, context.DeadlineExceeded)) {
			return e.WithCause("home", f.err)
		}
	}
	// Only a refused connection proves that the process is gone. A host that does
	// not respond may be paused and still have requests in progress.
	if refusedConnection(f.err) {
		s.cfg.Source.Report(view.Event{Kind: view.EventPeerDown, Host: r.homeHost})
	}
	if !f.wrote {
		return newError(CodeHomeUnreachable).WithCause("home", f.err)
	}
	if f.err == errSilent {
		s.m.silentConnections.Add(1)
	}
	return newError(retry.CodeResponseLost).WithCause("home", f.err)
}

// peerResponse reads the response of an entry host: the target's, or an error.
func (s *Server) peerResponse(ctx context.Context, c *call, r route, resp *http.Response, a *attempt) (*answer, *retry.Error) {
	hop := resp.Header.Get(headerHop)
	if hop == hopError {
		// A home that refuses a request reports its load, so that the next unkeyed
		// request goes elsewhere.
		if hint, ok := parseLoadHint(resp.Header); ok {
			s.loadOf(r.target).hint.Store(&timedHint{hint, time.Now()})
		}
		return nil, peerError(resp, a)
	}
	if hop != hopTarget || resp.Header.Get(provider.HeaderRequestID) != c.id {
		a.abort(errMismatchedResponse)
		_ = resp.Body.Close()
		s.m.crossedAnswers.Add(1)
		return nil, newError(retry.CodeResponseLost).WithCause("home", errMismatchedResponse)
	}
	ans, err := newAnswer(c, resp, a)
	if err != nil {
		return nil, s.responseError(ctx, err)
	}
	ans.load, ans.hasLoad = parseLoadHint(resp.Header)
	return ans, nil
}

func setLoadHint(h http.Header, l loadHint) {
	h[headerQueued] = []string{strconv.Itoa(l.queued)}
	h[headerLatencyUS] = []string{strconv.FormatInt(l.latency.Microseconds(), 10)}
}

func parseLoadHint(h http.Header) (loadHint, bool) {
	queued, err1 := strconv.Atoi(h.Get(headerQueued))
	us, err2 := strconv.ParseInt(h.Get(headerLatencyUS), 10, 64)
	return loadHint{queued: queued, latency: time.Duration(us) * time.Microsecond}, err1 == nil && err2 == nil
}

// maxErrorBytes limits the body of an error.
const maxErrorBytes = 4 << 10

// peerError returns the error in the response of an entry host. The response to a
// HEAD request has no body, so the header holds the code as well.
func peerError(resp *http.Response, a *attempt) *retry.Error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	_ = resp.Body.Close()
	a.finish(err == nil)
	if e, ok := retry.ParseError(data); ok && err == nil {
		return e.WithCause("reported by the other host", &peerReportedError{})
	}
	e := newError(retry.Code(resp.Header.Get(HeaderCode)))
	if o := retry.Outcome(resp.Header.Get(HeaderOutcome)); o.Valid() {
		e.Outcome = o
		return e.WithCause("reported by the other host", &peerReportedError{})
	}
	return e.WithOutcome(retry.MayHaveRun)
}

// peerReportedError marks an Error that another entry host returned.
type peerReportedError struct{}

// Error implements error.
func (*peerReportedError) Error() string { return "reported by an entry host" }
