package gateway

import (
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
