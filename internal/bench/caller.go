package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/standin"
	"github.com/boragelock/boragelock/provider"
	"github.com/boragelock/boragelock/retry"
)

const (
	// pathRequestIDs is the endpoint that issues request IDs for non-idempotent
	// requests.
	pathRequestIDs = "/v1/request-ids"
	// idBatch is the number of request IDs that a caller fetches at once.
	idBatch = 32
	// maxCallAttempts limits the attempts of one call.
	maxCallAttempts = 3
	// retryPause is the pause before a retry.
	retryPause = 100 * time.Millisecond
	// callDeadline is the deadline of each attempt.
	callDeadline = 2 * time.Second
	// callSlack is how long a caller waits beyond the deadline of an attempt.
	callSlack = 500 * time.Millisecond
	// dialTimeout limits the opening of a connection by a caller.
	dialTimeout = 500 * time.Millisecond
)

// retryCodes are the error codes after which a caller retries with the same
// request ID, because the outcome of the request is only known later.
var retryCodes = map[string]bool{string(retry.CodeDuplicate): true, "issuer_unreachable": true}

// routerError is the body of an error response of the caller API.
type routerError struct {
	Code         string `json:"code"`
	Outcome      string `json:"outcome"`
	Message      string `json:"message"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// idsRequest and idsResponse are the bodies of a call that fetches request IDs.
type idsRequest struct {
	Count int `json:"count"`
}

type idsResponse struct {
	IDs []string `json:"request_ids"`
}

// attempt is the result of sending a request once.
type attempt struct {
	outcome CallOutcome
	code    string
	status  int
	fault   string
	target  string
	// unsent reports that no connection could be opened, responseLost that no
	// complete response was received.
	unsent, responseLost bool
	cut                  *CutAttempt
}

// caller sends requests and retries them as a customer does.
type caller struct {
	plan     *Plan
	balancer *balancer
	client   *http.Client

	mu  sync.Mutex
	ids map[string][]string
	// lastOwners maps a workload and shard to the target that last responded.
	lastOwners map[shardName]string
}

type shardName struct {
	workload string
	shard    int32
}

func newCaller(p *Plan, b *balancer) *caller {
	return &caller{plan: p, balancer: b, ids: map[string][]string{}, lastOwners: map[shardName]string{},
		client: &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxIdleConnsPerHost: 512, DisableCompression: true,
		}},
	}
}

// request is one logical request; due is its scheduled send time.
type request struct {
	tag, key, method string
	workload         WorkloadPlan
	customer         CustomerPlan
	body             string
	due              time.Duration
}

// call sends a request and retries it where that is safe.
func (c *caller) call(ctx context.Context, r request) Call {
	out := Call{
		Tag: r.tag, Workload: r.workload.Name, Key: r.key, Method: r.method, Customer: r.customer.Customer,
		Idempotent: r.workload.Idempotent(r.method), Due: r.due,
	}
	if r.workload.Keyed {
		out.Shard = int32(xxhash.Sum64String(r.key) % uint64(r.workload.Shards))
	}
	id := ""
	if !out.Idempotent {
		id = c.takeID(ctx, r.customer)
	}
	// Attempts after one with a lost response use the same request ID; the
	// outcome is not_run only when no response was lost.
	lostBefore := false
	for out.Attempts < maxCallAttempts {
		out.Attempts++
		h := c.balancer.pick()
		a := c.attempt(ctx, h, r, id)
		out.Entry, out.Code, out.Status, out.Outcome = h.name, a.code, a.status, a.outcome
		out.ResponseFault, out.ResponseTarget = a.fault, a.target
		if a.cut != nil {
			out.Cuts = append(out.Cuts, *a.cut)
		}
		if a.code == string(retry.CodeIssuerGone) && !lostBefore {
			// The issuer of the request ID is gone; no request with this ID has run.
			c.dropIDs(r.customer)
			id = c.takeID(ctx, r.customer)
			continue
		}
		lostBefore = lostBefore || a.responseLost
		again := a.unsent || (!out.Idempotent && id != "" && (a.responseLost || retryCodes[a.code]))
		if !again {
			break
		}
		if !a.unsent {
			time.Sleep(retryPause)
		}
	}
	if lostBefore && out.Code == codeNoConnection {
		out.Outcome = CallMayHaveRun
	}
	out.End = boottime.Now()
	c.rememberOwner(out)
	return out
}

func (c *caller) rememberOwner(out Call) {
	if out.Outcome != CallOK || out.ResponseTarget == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastOwners[shardName{out.Workload, out.Shard}] = out.ResponseTarget
}

// observedOwners returns the target that last responded for each shard.
func (c *caller) observedOwners() map[shardName]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[shardName]string, len(c.lastOwners))
	for k, v := range c.lastOwners {
		out[k] = v
	}
	return out
}

// attempt sends a request once, to one entry host.
func (c *caller) attempt(ctx context.Context, h *balancedHost, r request, id string) attempt {
	ctx, cancel := context.WithTimeout(ctx, callDeadline+callSlack)
	defer cancel()
	target := "http://" + h.addr + "/v1/" + r.workload.Name + "/" + url.PathEscape(r.key) + "?tag=" + url.QueryEscape(r.tag)
	var body io.Reader
	if r.body != "" {
		body = strings.NewReader(r.body)
	}
	req, err := http.NewRequestWithContext(ctx, r.method, target, body)
	if err != nil {
		return attempt{outcome: CallNotRun, code: codeNoConnection, unsent: true}
	}
	authorize(req, r.customer.Customer, r.customer.Token)
	req.Header.Set(provider.HeaderDeadlineMS, strconv.FormatInt(callDeadline.Milliseconds(), 10))
	if id != "" {
		req.Header.Set(provider.HeaderRequestID, id)
	}
	// http.Transport retries a GET when its connection breaks, and reports only
	// the failure of the last connection. A request that got any connection may
	// have been sent.
	var connected atomic.Bool
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}))
	started := boottime.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return failedAttempt(h.name, started, connected.Load(), err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return failedAttempt(h.name, started, true, err)
	}
	return classifyResponse(r, resp.StatusCode, data)
}

func authorize(req *http.Request, customer, token string) {
	req.Header.Set(provider.HeaderCustomer, customer)
	req.Header.Set("Authorization", "Bearer "+token)
}

// failedAttempt classifies an attempt without a complete response.
func failedAttempt(entry string, started time.Duration, connected bool, err error) attempt {
	if isDialError(err) && !connected {
		return attempt{outcome: CallNotRun, code: codeNoConnection, unsent: true}
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return attempt{outcome: CallMayHaveRun, code: codeTimeout, responseLost: true}
	}
	return attempt{outcome: CallMayHaveRun, code: codeResponseLost, responseLost: true,
		cut: &CutAttempt{Entry: entry, Started: started, Ended: boottime.Now()}}
}

// isDialError reports whether no connection could be opened, so that nothing
// was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// classifyResponse classifies a complete response.
func classifyResponse(r request, status int, data []byte) attempt {
	if status >= 200 && status < 300 {
		fault, target := verifyResponse(r, data)
		return attempt{outcome: CallOK, status: status, fault: fault, target: target}
	}
	var e routerError
	if err := json.Unmarshal(data, &e); err != nil || e.Outcome == "" {
		return attempt{outcome: CallMayHaveRun, status: status, code: "status_" + strconv.Itoa(status), fault: "error response without an outcome"}
	}
	a := attempt{outcome: CallOutcome(e.Outcome), code: e.Code, status: status}
	if e.Outcome == string(retry.Ran) {
		a.outcome = CallOK
	}
	return a
}

// verifyResponse compares a success response with the request. It returns a
// description of the mismatch, or "", and the target named in the response.
func verifyResponse(r request, data []byte) (fault, target string) {
	var a standin.Answer
	if err := json.Unmarshal(data, &a); err != nil || a.End != "end" {
		return "response is truncated", ""
	}
	switch {
	case a.Tag != r.tag:
		return "response to " + a.Tag, a.Target
	case a.Workload != r.workload.Name || a.Key != r.key:
		return "response for " + a.Workload + "/" + a.Key, a.Target
	case a.BodyBytes != len(r.body) || a.BodyHash != strconv.FormatUint(xxhash.Sum64String(r.body), 16):
		return "the target received a different body", a.Target
	}
	return "", a.Target
}

// takeID returns a request ID, or "" when none can be fetched.
func (c *caller) takeID(ctx context.Context, cu CustomerPlan) string {
	c.mu.Lock()
	if list := c.ids[cu.Customer]; len(list) > 0 {
		c.ids[cu.Customer] = list[1:]
		c.mu.Unlock()
		return list[0]
	}
	c.mu.Unlock()
	for range maxCallAttempts {
		list, err := c.fetchIDs(ctx, cu)
		if err == nil && len(list) > 0 {
			c.mu.Lock()
			c.ids[cu.Customer] = append(c.ids[cu.Customer], list[1:]...)
			c.mu.Unlock()
			return list[0]
		}
	}
	return ""
}

func (c *caller) dropIDs(cu CustomerPlan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.ids, cu.Customer)
}

func (c *caller) fetchIDs(ctx context.Context, cu CustomerPlan) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	target := "http://" + c.balancer.pick().addr + pathRequestIDs
	req, err := newIDsRequest(ctx, target, idBatch)
	if err != nil {
		return nil, err
	}
	authorize(req, cu.Customer, cu.Token)
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{URL: target, Status: resp.StatusCode, Body: string(data)}
	}
	var out idsResponse
	err = json.Unmarshal(data, &out)
	return out.IDs, err
}

func newIDsRequest(ctx context.Context, target string, n int) (*http.Request, error) {
	body, err := json.Marshal(idsRequest{Count: n})
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
}
