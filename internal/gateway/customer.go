package gateway

import (
	"context"
	"net/http"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/platform"
)

// authenticate finds the customer of a request by its credential, and replaces the credential
// by the customer's name in the headers for the target. A host whose view of the desired
// state is old refuses instead of denying: a newer one may have the credential.
func (c *call) authenticate(d *fleet.DesiredState, h http.Header) *Failure {
	credential := c.req.Credential
	c.req.Credential = ""
	if d.Customers != nil {
		c.customer = d.Customers.ByCredential(credential)
	}
	platform.SetCustomer(h, c.customerName())
	if d.Customers == nil || c.customer != nil || c.route.Anonymous {
		return nil
	}
	if !c.g.cfg.Deployment.UpToDate() {
		return newRefusal(CodeNotReady, notReadyRetryAfter)
	}
	return &Failure{Code: CodeCredential, Status: http.StatusUnauthorized}
}

// takeAllotment takes the request from its customer's allotment. It is called once, before the
// request is placed, so that a request that has run is never answered with 429.
func (c *call) takeAllotment(ctx context.Context) *Failure {
	if c.customer == nil || c.customer.RatePerSecond <= 0 {
		return nil
	}
	granted, after := c.g.cfg.Deployment.TakeAllotment(ctx, c.customer)
	if granted {
		return nil
	}
	return &Failure{Code: CodeAllotment, Status: http.StatusTooManyRequests, RetryAfter: max(after, minRetryAfter)}
}

// customerName returns the name of the request's customer, or "".
func (c *call) customerName() string {
	if c.customer == nil {
		return ""
	}
	return c.customer.Name
}

// priority returns the priority of the request: its customer's, or else its route's.
func (c *call) priority() int {
	if c.customer != nil && c.customer.HasPriority {
		return c.customer.Priority
	}
	return c.route.Priority
}
