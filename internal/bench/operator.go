package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/httpplatform"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/provider"
)

const (
	// changeTimeout limits one configuration change with its retries.
	changeTimeout = 10 * time.Second
	// changeRetryPause is the pause before a failed change is retried.
	changeRetryPause = 50 * time.Millisecond
)

// configurer changes the configuration as an operator does. change returns once
// the change is accepted.
type configurer interface {
	change(ctx context.Context, items ...contract.Item) error
}

// logConfigurer appends change records to the log.
type logConfigurer struct {
	log *httpplatform.Log

	mu          sync.Mutex
	state       *journal.State
	changeCount int
}

func newLogConfigurer(addr string) *logConfigurer {
	return &logConfigurer{log: httpplatform.NewLog(addr, httpplatform.Options{}), state: journal.NewState()}
}

// catchUp applies all records up to the end of the log.
func (c *logConfigurer) catchUp(ctx context.Context) error {
	for {
		b, err := c.log.Read(ctx, max(1, c.state.NextOffset), 1000, 0)
		if err != nil {
			return err
		}
		for _, r := range b.Records {
			if _, err := c.state.Apply(r.Offset, r.Data); err != nil {
				return err
			}
		}
		if c.state.NextOffset >= b.EndOffset || len(b.Records) == 0 {
			return nil
		}
	}
}

// change implements configurer. After a conflict it retries from the new version.
func (c *logConfigurer) change(ctx context.Context, items ...contract.Item) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for {
		won, err := c.appendCompeting(ctx, 1, items...)
		if err != nil || won {
			return err
		}
	}
}

// appendCompeting appends n changes from the same version and reports whether
// one was accepted.
func (c *logConfigurer) appendCompeting(ctx context.Context, n int, items ...contract.Item) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.catchUp(ctx); err != nil {
		return false, &RunError{Op: "read the log", Err: err}
	}
	if c.state.Config == nil {
		return false, &RunError{Op: "change the configuration", Err: &TimeoutError{What: "initial configuration"}}
	}
	before := c.state.Config.Version
	for range n {
		c.changeCount++
		ch := contract.Change{FromVersion: before, Operator: fmt.Sprintf("bench-%d", c.changeCount), Items: items}
		data, err := journal.Encode(fmt.Sprintf("bench-%d-%d", c.changeCount, boottime.Now()), journal.KindChange, ch)
		if err != nil {
			return false, err
		}
		if err := c.append(ctx, data); err != nil {
			return false, &RunError{Op: "append a change", Err: err}
		}
	}
	if err := c.catchUp(ctx); err != nil {
		return false, &RunError{Op: "read the log", Err: err}
	}
	return c.state.Config.Version > before, nil
}

// append appends a record and retries while the response is lost. Readers ignore
// a second copy with the same ID.
func (c *logConfigurer) append(ctx context.Context, data []byte) error {
	for {
		_, err := c.log.Append(ctx, data)
		var lost *provider.Error
		if err == nil || !errors.As(err, &lost) || lost.Code != provider.CodeUnknownOutcome || ctx.Err() != nil {
			return err
		}
		sleepUntil(ctx, boottime.Now()+changeRetryPause)
	}
}

// baselineConfigurer sends changes to all baseline routers and retries each until
// it succeeds. A change counts as accepted once one router has applied it.
type baselineConfigurer struct{ operators []string }

// change implements configurer.
func (c *baselineConfigurer) change(ctx context.Context, items ...contract.Item) error {
	raw, err := json.Marshal(contract.Change{Items: items})
	if err != nil {
		return err
	}
	first := make(chan error, len(c.operators))
	for _, addr := range c.operators {
		go func() { first <- postUntil(ctx, "http://"+addr+"/change", raw) }()
	}
	return <-first
}

// postUntil retries a request until it succeeds or changeTimeout passes.
func postUntil(ctx context.Context, url string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for {
		err := post(ctx, url, body)
		if err == nil || !sleepUntil(ctx, boottime.Now()+changeRetryPause) {
			return err
		}
	}
}

// post sends a JSON body and expects status 200.
func post(ctx context.Context, url string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return &StatusError{URL: url, Status: resp.StatusCode, Body: string(data)}
	}
	return nil
}

// probeChange returns change number n of the probe customer's contract: odd
// changes end the contract, even ones restore it.
func (p *Plan) probeChange(n int) contract.Item {
	for _, c := range p.Deployment.Contracts {
		if c.Customer == ProbeCustomer {
			c.Ended = n%2 == 1
			return contract.Item{Contract: &c}
		}
	}
	return contract.Item{}
}
