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

// maxAnswerBytes limits an answer; that of the assignments is the largest.
const maxAnswerBytes = 64 << 20

// Limits of a request. An append may wait for the log for some seconds.
const (
	requestLimit = 20 * time.Second
	dialLimit    = 2 * time.Second
)

// Client calls the operators' interface of entry hosts.
type Client struct {
	addrs  []string
	scheme string
	http   *http.Client
}

// NewClient returns a client for the operator addresses (IP:port) of entry
// hosts, tried in order. Without a TLS configuration it uses plain HTTP.
func NewClient(addrs []string, config *tls.Config) *Client {
	c := &Client{addrs: addrs, scheme: "http", http: &http.Client{
		Timeout: requestLimit,
		Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialLimit}).DialContext, TLSClientConfig: config,
			TLSHandshakeTimeout: dialLimit,
		},
	}}
	if config != nil {
		c.scheme = "https"
	}
	return c
}

// Status returns the status as one entry host sees it. Errors of all methods
// are *Failure.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.get(ctx, PathStatus, nil, &s)
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (*contract.State, error) {
	var a ConfigAnswer
	if err := c.get(ctx, PathConfig, nil, &a); err != nil {
		return nil, err
	}
	if a.Config == nil {
		return nil, &Failure{Code: CodeNoState, Message: "answer holds no configuration"}
	}
	return a.Config, nil
}

// Assignments returns the assigned shards, of one workload or target when
// these are not empty.
func (c *Client) Assignments(ctx context.Context, workload, target string) ([]Assignment, error) {
	var out []Assignment
	return out, c.get(ctx, PathAssignments, url.Values{"workload": {workload}, "target": {target}}, &out)
}

// History returns the change records of one customer, or all.
func (c *Client) History(ctx context.Context, customer string) ([]ChangeRecord, error) {
	var out []ChangeRecord
	return out, c.get(ctx, PathHistory, url.Values{"customer": {customer}}, &out)
}

// Change asks for a change. After a lost answer it fails with
// CodeUnknownOutcome and tries no other host.
func (c *Client) Change(ctx context.Context, req ChangeRequest) (ChangeAnswer, error) {
	var a ChangeAnswer
	body, err := json.Marshal(req)
	if err != nil {
		return a, &Failure{Code: CodeInvalid, Message: err.Error()}
	}
	return a, c.each(func(addr string) (bool, error) { return c.do(ctx, http.MethodPost, addr, PathChanges, body, &a) })
}

func (c *Client) get(ctx context.Context, path string, q url.Values, out any) error {
	if len(q) > 0 {
		path += "?" + q.Encode()
	}
	return c.each(func(addr string) (bool, error) { return c.do(ctx, http.MethodGet, addr, path, nil, out) })
}

// each calls f for the addresses in order while f says that another may be
// tried.
func (c *Client) each(f func(addr string) (next bool, err error)) error {
	var err error = &Failure{Code: CodeUnreachable, Message: "no entry host given"}
	for _, addr := range c.addrs {
		next := false
		if next, err = f(addr); err == nil || !next {
			return err
		}
	}
	return err
}

// do sends one request. next reports that it had no effect and another host
// may succeed.
func (c *Client) do(ctx context.Context, method, addr, path string, body []byte, out any) (next bool, err error) {
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return false, &Failure{Code: CodeInvalid, Message: "address " + addr + " is not IP:port", Field: "entry", Value: addr, Allowed: "IP:port"}
	}
	// Without GetBody the transport never sends a change a second time.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return lostAnswer(method, addr, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return lostAnswer(method, addr, err)
	}
	if resp.StatusCode != http.StatusOK {
		return answered(method, addr, resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return lostAnswer(method, addr, err)
	}
	return false, nil
}

func lostAnswer(method, addr string, err error) (bool, error) {
	var op *net.OpError
	dial := errors.As(err, &op) && op.Op == "dial"
	if method == http.MethodGet || dial {
		return true, &Failure{Code: CodeUnreachable, Message: fmt.Sprintf("entry host %s: %v", addr, err)}
	}
	return false, &Failure{Code: CodeUnknownOutcome, Message: fmt.Sprintf("entry host %s gave no answer; the change may still come into force: %v", addr, err)}
}

func answered(method, addr string, status int, data []byte) (bool, error) {
	var fail Failure
	if err := json.Unmarshal(data, &fail); err != nil || fail.Code == "" {
		if method == http.MethodPost && status >= http.StatusInternalServerError {
			return false, &Failure{Code: CodeUnknownOutcome, Message: fmt.Sprintf("entry host %s answered with status %d; the change may still come into force", addr, status)}
		}
		return false, &Failure{Code: CodeUnreachable, Message: fmt.Sprintf("%s is not the operator address of an entry host: status %d", addr, status)}
	}
	return fail.Code == CodeNoState || fail.Code == CodeNotAccepted, &fail
}
