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
	// fencing says that the workload's targets check epochs.
	fencing bool
	// key of a keyed workload; the path behind the workload of another.
	key    string
	method string
	query  string
	// header holds what the caller sent for the target.
	header     http.Header
	body       *body
	idempotent bool
	// target is the one tried last, for the log.
	target string
	// decided says that the ledger of the issuer has spoken about the
	// identifier, so that the outcome of an error is exact.
	decided bool
	// deadline on the boot-time clock.
	deadline time.Duration
	// holdUntil is when waiting for an owner ends, on the boot-time clock.
	holdUntil time.Duration
}

// route is where a call is sent.
type route struct {
	target string
	shard  int32
	epoch  uint64
	// home is the HTTP address of the target's home; empty for this host.
	home     string
	homeHost string
}

func (c *call) left() time.Duration { return c.deadline - boottime.Now() }

// idempotent reports whether a workload's method may be run more than once.
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

// request builds the request of one hop. It is never sent twice by net/http:
// GetBody is nil, and an attempt refuses replays.
func (c *call) request(ctx context.Context, addr, prefix string, r route, left time.Duration) (*http.Request, bool) {
	rd, length, ok := c.body.next()
	if !ok {
		return nil, false
	}
	escaped := url.PathEscape(c.key)
	req := &http.Request{
		Method: c.method, Host: addr,
		URL: &url.URL{Scheme: "http", Host: addr, Path: prefix + c.key, RawPath: prefix + escaped, RawQuery: c.query},
		// A map of its own, since Transport and later attempts change it.
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
	h[provider.HeaderDeadlineMS] = []string{milliseconds(left)}
	if c.keyed {
		h[provider.HeaderKey] = []string{escaped}
		h[provider.HeaderShard] = []string{strconv.Itoa(int(r.shard))}
		h[provider.HeaderEpoch] = []string{strconv.FormatUint(r.epoch, 10)}
	}
	inject(ctx, h)
	return req, true
}

// retryable reports whether the call may be sent again after e, by the rule of
// package retry. Budget and deadline are checked apart from this.
func (s *Server) retryable(c *call, e *retry.Error) bool {
	a := retry.Attempt{Idempotent: c.idempotent || s.cfg.DisableRetryRule, AnyByteSent: true, ReportedOutcome: e.Outcome}
	return a.Retryable() && c.body.again()
}
