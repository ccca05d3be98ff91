package fleet

import (
	"crypto/sha256"
	"fmt"
	"strings"
)

// Customer is a customer of the deployment: whoever sends requests under one contract.
type Customer struct {
	Name string
	// Priority ranks the customer's requests, 0 is the most urgent. Without HasPriority the
	// priority of the route applies.
	Priority    int
	HasPriority bool
	// RatePerSecond and Burst are the customer's allotment over all hosts together, in
	// requests per second and requests. A rate of 0 means no limit.
	RatePerSecond float64
	Burst         float64
}

// InvalidCustomerError reports a customer, or one of its credentials, that a desired state
// cannot use. It never holds a credential.
type InvalidCustomerError struct {
	// Customer is the name of the customer, Index its position in the desired state.
	Customer string
	Index    int
	// Field is the field that is invalid.
	Field   string
	Problem string
}

// Error implements error.
func (e *InvalidCustomerError) Error() string {
	return fmt.Sprintf("customer %d (%q): %s: %s", e.Index, e.Customer, e.Field, e.Problem)
}

// Customers holds the customers of a desired state. It keeps credentials only as hashes. The
// zero value has no customers. It must not be changed once it is shared.
type Customers struct {
	list []*Customer
	// added counts the calls of Add, also for customers that were left out.
	added        int
	byName       map[string]*Customer
	byCredential map[[sha256.Size]byte]*Customer
}

// NewCustomers returns Customers to which Add adds some. Once a desired state has one,
// requests need a credential, also while the list is empty.
func NewCustomers() *Customers {
	return &Customers{byName: map[string]*Customer{}, byCredential: map[[sha256.Size]byte]*Customer{}}
}

// Add adds a customer with its credentials. It returns *InvalidCustomerError for each part
// that it leaves out: of two customers with the same name or credential, the first one has
// it.
func (s *Customers) Add(c Customer, credentials []string) (problems []*InvalidCustomerError) {
	index := s.added
	s.added++
	problem := func(field, text string) {
		problems = append(problems, &InvalidCustomerError{Customer: c.Name, Index: index, Field: field, Problem: text})
	}
	if !validName(c.Name) {
		problem("name", "empty, longer than 256 bytes, or with characters that a header cannot have")
		return problems
	}
	if s.byName[c.Name] != nil {
		problem("name", "used by an earlier customer")
		return problems
	}
	if !(c.RatePerSecond >= 0) || !(c.Burst >= 0) { // NaN fails both comparisons
		problem("rate", "negative")
		return problems
	}
	x := &c
	s.list = append(s.list, x)
	s.byName[c.Name] = x
	for _, credential := range credentials {
		hash := sha256.Sum256([]byte(credential))
		switch {
		case credential == "":
			problem("credentials", "empty")
		case s.byCredential[hash] != nil && s.byCredential[hash] != x:
			problem("credentials", "one is also used by "+s.byCredential[hash].Name)
		default:
			s.byCredential[hash] = x
		}
	}
	return problems
}

// maxCustomerName bounds the name of a customer, in bytes: it is sent with each request.
const maxCustomerName = 256

// validName reports whether a name can be the value of a header.
func validName(name string) bool {
	if name == "" || len(name) > maxCustomerName || strings.TrimSpace(name) != name {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r > '~' })
}

// All returns the customers in the order of the desired state. The caller must not change
// the list.
func (s *Customers) All() []*Customer { return s.list }

// ByName returns the customer with a name, or nil.
func (s *Customers) ByName(name string) *Customer { return s.byName[name] }

// ByCredential returns the customer that has a credential, or nil. The lookup is by the
// credential's hash, so that its time tells nothing about credentials that are similar.
func (s *Customers) ByCredential(credential string) *Customer {
	if credential == "" {
		return nil
	}
	return s.byCredential[sha256.Sum256([]byte(credential))]
}
