package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/boragelock/boragelock/contract"
)

// maxResponseBytes limits a response; the list of assignments is the largest.
const maxResponseBytes = 64 << 20

// Timeouts of a request. An append may wait several seconds for the log.
const (
	requestTimeout = 20 * time.Second
	dialTimeout    = 2 * time.Second
)

// Client calls the operator interface of entry hosts.
type Client struct {
	addrs  []string
	scheme string
	http   *http.Client
}

// NewClient returns a client that tries the operator addresses (IP:port) of
// entry hosts in order. It uses plain HTTP when config is nil.
func NewClient(addrs []string, config *tls.Config) *Client {
	c := &Client{addrs: addrs, scheme: "http", http: &http.Client{
		Timeout: requestTimeout,
		Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, TLSClientConfig: config,
			TLSHandshakeTimeout: dialTimeout,
		},
	}}
	if config != nil {
		c.scheme = "https"
	}
	return c
}

// Status returns the status that one entry host reports. All methods fail with
// *Failure.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.get(ctx, PathStatus, nil, &s)
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (*contract.State, error) {
	var a ConfigResponse
	if err := c.get(ctx, PathConfig, nil, &a); err != nil {
		return nil, err
	}
	if a.Config == nil {
		return nil, &Failure{Code: CodeNoState, Message: "response holds no configuration"}
	}
	return a.Config, nil
}

// Assignments returns the assigned shards, filtered by workload and target when
// these are not empty.
func (c *Client) Assignments(ctx context.Context, workload, target string) ([]Assignment, error) {
	var out []Assignment
	return out, c.get(ctx, PathAssignments, url.Values{"workload": {workload}, "target": {target}}, &out)
}

// History returns the change records of one customer, or all of them when
// customer is empty.
func (c *Client) History(ctx context.Context, customer string) ([]ChangeRecord, error) {
	var out []ChangeRecord
	return out, c.get(ctx, PathHistory, url.Values{"customer": {customer}}, &out)
}

// Change requests a change. When the response is lost it fails with
// CodeUnknownOutcome and tries no other host.
func (c *Client) Change(ctx context.Context, req ChangeRequest) (ChangeResponse, error) {
	var a ChangeResponse
	body, err := json.Marshal(req)
	if err != nil {
		return a, &Failure{Code: CodeInvalid, Message: err.Error()}
	}
	return a, c.tryHosts(func(addr string) (bool, error) { return c.do(ctx, http.MethodPost, addr, PathChanges, body, &a) })
}

func (c *Client) get(ctx context.Context, path string, q url.Values, out any) error {
	if len(q) > 0 {
		path += "?" + q.Encode()
	}
	return c.tryHosts(func(addr string) (bool, error) { return c.do(ctx, http.MethodGet, addr, path, nil, out) })
}

// tryHosts calls f for the addresses in order until it succeeds or returns
// next == false.
func (c *Client) tryHosts(f func(addr string) (next bool, err error)) error {
	var err error = &Failure{Code: CodeUnreachable, Message: "no entry host given"}
	for _, addr := range c.addrs {
		tryNext := false
		if tryNext, err = f(addr); err == nil || !tryNext {
			return err
		}
	}
	return err
}

// do sends one request. tryNext reports that the request had no effect and that
// another host may succeed.
func (c *Client) do(ctx context.Context, method, addr, path string, body []byte, out any) (tryNext bool, err error) {
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return false, &Failure{Code: CodeInvalid, Message: "address " + addr + " is not IP:port", Field: "entry", Value: addr, Allowed: "IP:port"}
	}
	// Without GetBody the transport cannot resend a change.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return transportFailure(method, addr, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return transportFailure(method, addr, err)
	}
	if resp.StatusCode != http.StatusOK {
		return responseFailure(method, addr, resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return transportFailure(method, addr, err)
	}
	return false, nil
}

func transportFailure(method, addr string, err error) (bool, error) {
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	if method == http.MethodGet || dialFailed {
		return true, &Failure{Code: CodeUnreachable, Message: fmt.Sprintf("entry host %s: %v", addr, err)}
	}
	return false, &Failure{Code: CodeUnknownOutcome, Message: fmt.Sprintf("entry host %s sent no valid response; the change may still come into force: %v", addr, err)}
}

func responseFailure(method, addr string, status int, data []byte) (bool, error) {
	var fail Failure
	if err := json.Unmarshal(data, &fail); err != nil || fail.Code == "" {
		if method == http.MethodPost && status >= http.StatusInternalServerError {
			return false, &Failure{Code: CodeUnknownOutcome, Message: fmt.Sprintf("entry host %s responded with status %d; the change may still come into force", addr, status)}
		}
		return false, &Failure{Code: CodeUnreachable, Message: fmt.Sprintf("%s is not the operator address of an entry host: status %d", addr, status)}
	}
	return fail.Code == CodeNoState || fail.Code == CodeNotAccepted, &fail
}
