package forward

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/provider"
	"github.com/boragelock/boragelock/retry"
)

// call is a request in progress at one entry host.
type call struct {
	id       string
	customer string
	weight   float64
	workload string
	keyed    bool
	// fencing is true when the workload's targets check epochs.
	fencing bool
	// key is the key of a keyed workload; for others it is the path after the
	// workload.
	key    string
	method string
	query  string
	// header holds the caller's headers for the target.
	header     http.Header
	body       *body
	idempotent bool
	// target is the target tried last, for the log.
	target string
	// issuerChecked is true when the identifier is invalid or its issuer has
	// checked it, so that the outcome of an error is exact.
	issuerChecked bool
	// deadline is on the boot-time clock.
	deadline time.Duration
	// routeDeadline is when waiting for a route ends, on the boot-time clock.
	routeDeadline time.Duration
}

// route is the destination of a call.
type route struct {
	target string
	shard  int32
	epoch  uint64
	// homeAddr is the HTTP address of the target's home; empty for this host.
	homeAddr string
	homeHost string
}

func (c *call) remaining() time.Duration { return c.deadline - boottime.Now() }

// isIdempotent reports whether a workload's method may be run more than once.
func isIdempotent(w contract.Workload, method string) bool {
	if len(w.IdempotentMethods) > 0 {
		return slices.Contains(w.IdempotentMethods, method)
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// newRequest builds the request for one hop, or returns false when the body can
// no longer be sent. net/http never sends it twice: GetBody is nil, and an
// attempt refuses replays.
func (c *call) newRequest(ctx context.Context, addr, prefix string, r route, left time.Duration) (*http.Request, bool) {
	rd, length, ok := c.body.newReader()
	if !ok {
		return nil, false
	}
	escaped := url.PathEscape(c.key)
	req := &http.Request{
		Method: c.method, Host: addr,
		URL: &url.URL{Scheme: "http", Host: addr, Path: prefix + c.key, RawPath: prefix + escaped, RawQuery: c.query},
		// A separate map, since Transport and later attempts change it.
		Header: make(http.Header, len(c.header)+12), Body: rd, ContentLength: length,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	for name, values := range c.header {
		req.Header[name] = values
	}
	h := req.Header
	h[provider.HeaderWorkload] = []string{c.workload}
	h[provider.HeaderCustomer] = []string{c.customer}
	h[provider.HeaderRequestID] = []string{c.id}
	h[provider.HeaderDeadlineMS] = []string{formatMilliseconds(left)}
	if c.keyed {
		h[provider.HeaderKey] = []string{escaped}
		h[provider.HeaderShard] = []string{strconv.Itoa(int(r.shard))}
		h[provider.HeaderEpoch] = []string{strconv.FormatUint(r.epoch, 10)}
	}
	injectTrace(ctx, h)
	return req, true
}

// retryable reports whether the call may be sent again after e, by the rule of
// package retry. The callers check budget and deadline separately.
func (s *Server) retryable(c *call, e *retry.Error) bool {
	a := retry.Attempt{Idempotent: c.idempotent || s.cfg.DisableRetryRule, AnyByteSent: true, ReportedOutcome: e.Outcome}
	return a.Retryable() && c.body.canResend()
}
