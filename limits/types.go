package limits

import (
	"fmt"
	"time"
)

// Config holds the settings of Enforcer and Lender. A zero field takes its
// default. All hosts must have the same Lease and ClockRateBound.
type Config struct {
	// Lease is how long a borrowed share is valid. Default: 2 s.
	Lease time.Duration
	// Renew is the interval between two borrow requests of a customer in use.
	// Default: 500 ms.
	Renew time.Duration
	// ClockRateBound is the highest relative difference of two hosts' clock
	// rates, without unit. Default: 0.001.
	ClockRateBound float64
	// IdleReturn is how long a customer must be unused on a host before its
	// share is returned. Default: 1 s.
	IdleReturn time.Duration
	// MinRetryAfter and MaxRetryAfter bound the retry hint. Defaults: 5 ms, 5 s.
	MinRetryAfter, MaxRetryAfter time.Duration
}

func (c Config) withDefaults() Config {
	set := func(p *time.Duration, v time.Duration) {
		if *p <= 0 {
			*p = v
		}
	}
	set(&c.Lease, 2*time.Second)
	set(&c.Renew, 500*time.Millisecond)
	set(&c.IdleReturn, time.Second)
	set(&c.MinRetryAfter, 5*time.Millisecond)
	set(&c.MaxRetryAfter, 5*time.Second)
	if !(c.ClockRateBound > 0) {
		c.ClockRateBound = 0.001
	}
	return c
}

// Hosts is what a host knows of the entry hosts.
type Hosts struct {
	// Self is this host.
	Self string
	// Configured are the names of all entry hosts, with Self, whether they are
	// alive or not. The even part is divided by their number.
	Configured []string
	// Live are those that answer, with Self. Shares are lent only by a host
	// that sees more than half of Configured alive, and borrowed from the
	// customer's first live host in rendezvous order.
	Live []string
}

// Demand is what a host wants of a customer's lent part, or has.
type Demand struct {
	// Rate in requests per second.
	Rate float64 `json:"rate"`
	// Concurrency in requests in flight.
	Concurrency int `json:"concurrency"`
}

// BorrowRequest asks the lender for a share. It is the request of the peer method
// limits.borrow.
type BorrowRequest struct {
	Customer string `json:"customer"`
	// Host and Incarnation name the borrower.
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// Lender is the host that is asked.
	Lender string `json:"lender"`
	// Want is what the host could use beyond its even part. The zero Demand
	// returns the share.
	Want Demand `json:"want"`
	// Lent is the number of the last Loan of this lender that the borrower
	// uses, 0 when there is none. Loans before it are no longer used. Uses and
	// UsesMS are its share and for how much longer it is valid: a lender that
	// has restarted does not know it.
	Lent uint64 `json:"lent"`
	// LenderIncarnation is that of the lender which gave the loan Lent.
	LenderIncarnation string `json:"lender_incarnation,omitempty"`
	Uses              Demand `json:"uses"`
	UsesMS            int64  `json:"uses_ms,omitempty"`
	// Holds is what the borrower still uses from another lender.
	Holds Demand `json:"holds"`
	// HoldsMS is for how much longer Holds is valid, in milliseconds.
	HoldsMS int64 `json:"holds_ms,omitempty"`
	// InUse is the number of requests in flight beyond the even part.
	InUse int `json:"in_use"`
	// SentAt is when the request was sent, on the borrower's clock; the
	// caller hands it back to Enforcer.ApplyLoan.
	SentAt time.Duration `json:"-"`
}

// Loan is the lender's answer.
type Loan struct {
	Customer string `json:"customer"`
	// Lender and Incarnation name the lender.
	Lender      string `json:"lender"`
	Incarnation string `json:"incarnation"`
	// Number grows with each loan of a lender, also over its restarts until
	// its host is rebooted, which takes longer than a lease.
	Number uint64 `json:"number"`
	// Share is what the borrower may use beyond its even part.
	Share Demand `json:"share"`
	// LeaseMS is how long the share is valid from the sending of the request.
	LeaseMS int64 `json:"lease_ms"`
	// Refused says why nothing was lent; empty when Share holds.
	Refused Refusal `json:"refused,omitempty"`
}

// Refusal says why a lender lends nothing.
type Refusal string

// Refusals.
const (
	// RefusedNotLender: the host does not lend to this customer.
	RefusedNotLender Refusal = "not_lender"
	// RefusedMinority: the host sees at most half of the entry hosts.
	RefusedMinority Refusal = "minority"
	// RefusedUnknown: the host knows no contract of this customer.
	RefusedUnknownCustomer Refusal = "unknown_customer"
)

// RefusalCode says why an Enforcer refuses a request.
type RefusalCode string

// Refusal codes.
const (
	CodeUnknownCustomer      RefusalCode = "unknown_customer"
	CodeContractEnded        RefusalCode = "contract_ended"
	CodeWorkloadNotPermitted RefusalCode = "workload"
	CodeBodyTooLarge         RefusalCode = "body"
	CodeRateLimited          RefusalCode = "rate"
	CodeConcurrencyLimited   RefusalCode = "concurrency"
)

// Decision is the answer to a request.
type Decision struct {
	// Admitted requests are ended with Enforcer.Done.
	Admitted bool
	// Code is set when the request is not admitted.
	Code RefusalCode
	// RetryAfter estimates when the request would be admitted; set for
	// CodeRate and CodeConcurrency.
	RetryAfter time.Duration
	// BorrowNow says that a borrow request should be sent now rather than at the
	// next renewal; Enforcer.DueBorrowRequests returns it.
	BorrowNow bool
}

// Error is a refusal as an error.
type Error struct {
	Code RefusalCode
	// RetryAfter is as in Decision.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("contract: %s: retry after %s", e.Code, e.RetryAfter)
}

// Err returns the refusal as an *Error, or nil when the request is admitted.
func (d Decision) Err() error {
	if d.Admitted {
		return nil
	}
	return &Error{Code: d.Code, RetryAfter: d.RetryAfter}
}

// GateStats is a picture of one customer at an Enforcer.
type GateStats struct {
	// Even and Lent are the host's parts at present.
	Even, Lent Demand
	// InFlight is the number of admitted requests that have not ended.
	InFlight int
	// Admitted and Refused count requests since the start.
	Admitted, Refused uint64
}
