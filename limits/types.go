package limits

import (
	"fmt"
	"time"
)

// Config holds the settings of Enforcer and Lender. A zero field takes its
// default. All hosts must have the same LeaseDuration and ClockRateBound.
type Config struct {
	// LeaseDuration is how long a borrowed share is valid. Default: 2 s.
	LeaseDuration time.Duration
	// RenewInterval is the interval between two borrow requests of a customer.
	// Default: 500 ms.
	RenewInterval time.Duration
	// ClockRateBound is the highest relative difference of two hosts' clock
	// rates, without unit. Default: 0.001.
	ClockRateBound float64
	// IdleTimeout is how long a host must have no request of a customer before it
	// returns the customer's share. Default: 1 s.
	IdleTimeout time.Duration
	// MinRetryAfter and MaxRetryAfter bound the retry hint. Defaults: 5 ms, 5 s.
	MinRetryAfter, MaxRetryAfter time.Duration
}

func (c Config) withDefaults() Config {
	set := func(p *time.Duration, v time.Duration) {
		if *p <= 0 {
			*p = v
		}
	}
	set(&c.LeaseDuration, 2*time.Second)
	set(&c.RenewInterval, 500*time.Millisecond)
	set(&c.IdleTimeout, time.Second)
	set(&c.MinRetryAfter, 5*time.Millisecond)
	set(&c.MaxRetryAfter, 5*time.Second)
	if !(c.ClockRateBound > 0) {
		c.ClockRateBound = 0.001
	}
	return c
}

// Hosts is one host's knowledge of the entry hosts.
type Hosts struct {
	// Self is this host.
	Self string
	// Configured are the names of all entry hosts, live or not, including Self.
	// Even shares are computed from their number.
	Configured []string
	// Live are the hosts that respond, including Self. A host lends and borrows
	// shares only if more than half of Configured are live, and borrows from the
	// customer's first live host in rendezvous order.
	Live []string
}

// Quota is an amount of a customer's contract that a host has, wants or lends.
type Quota struct {
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Concurrency is in requests in flight.
	Concurrency int `json:"concurrency"`
}

// BorrowRequest asks the lender for a share. It is the request of the peer method
// limits.borrow.
type BorrowRequest struct {
	Customer string `json:"customer"`
	// Host and Incarnation name the borrower.
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// Lender is the host that receives the request.
	Lender string `json:"lender"`
	// Want is what the host could use beyond its even share. The zero Quota
	// returns the loan.
	Want Quota `json:"want"`
	// CurrentLoanNumber is the number of the last Loan of this lender that the
	// borrower uses, 0 if there is none. It no longer uses earlier ones.
	// CurrentLoanShare and CurrentLoanMS are its share and its remaining validity
	// in milliseconds; a lender that has restarted does not know them.
	CurrentLoanNumber uint64 `json:"lent"`
	// LenderIncarnation is the incarnation of the lender that made this loan.
	LenderIncarnation string `json:"lender_incarnation,omitempty"`
	CurrentLoanShare  Quota  `json:"uses"`
	CurrentLoanMS     int64  `json:"uses_ms,omitempty"`
	// PreviousLoanShare is what the borrower still uses from another lender.
	PreviousLoanShare Quota `json:"holds"`
	// PreviousLoanMS is the remaining validity of that share in milliseconds.
	PreviousLoanMS int64 `json:"holds_ms,omitempty"`
	// ExcessInFlight is the number of requests in flight beyond the even share.
	ExcessInFlight int `json:"in_use"`
	// SentAt is when the request was sent, on the borrower's clock. The caller
	// passes it back to Enforcer.ApplyLoan.
	SentAt time.Duration `json:"-"`
}

// Loan is the lender's response to a BorrowRequest.
type Loan struct {
	Customer string `json:"customer"`
	// Lender and Incarnation name the lender.
	Lender      string `json:"lender"`
	Incarnation string `json:"incarnation"`
	// Number increases with each loan of a lender, also across process restarts.
	// Only a reboot of its host resets it, and that takes longer than a lease.
	Number uint64 `json:"number"`
	// Share is what the borrower may use beyond its even share.
	Share Quota `json:"share"`
	// LeaseMS is how long the share is valid after the request was sent, in
	// milliseconds.
	LeaseMS int64 `json:"lease_ms"`
	// Refused says why nothing was lent; empty when Share is valid.
	Refused LoanRefusal `json:"refused,omitempty"`
}

// LoanRefusal says why a lender lends nothing.
type LoanRefusal string

// Reasons why a lender lends nothing.
const (
	// RefusedNotLender: the host is not the customer's lender.
	RefusedNotLender LoanRefusal = "not_lender"
	// RefusedMinority: the host sees at most half of the entry hosts.
	RefusedMinority LoanRefusal = "minority"
	// RefusedUnknownCustomer: the host has no contract of this customer.
	RefusedUnknownCustomer LoanRefusal = "unknown_customer"
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

// Decision is the result of Enforcer.Admit.
type Decision struct {
	// Admitted says that the request may run; the caller ends it with
	// Enforcer.Done.
	Admitted bool
	// Code is set if the request is not admitted.
	Code RefusalCode
	// RetryAfter estimates when the request would be admitted; set for
	// CodeRateLimited and CodeConcurrencyLimited.
	RetryAfter time.Duration
	// BorrowNow says that a borrow request is due before the next renewal.
	// Enforcer.DueBorrowRequests returns it.
	BorrowNow bool
}

// Error is the error of a request that is not admitted.
type Error struct {
	Code RefusalCode
	// RetryAfter is as in Decision.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("contract: %s: retry after %s", e.Code, e.RetryAfter)
}

// Err returns an *Error, or nil if the request is admitted.
func (d Decision) Err() error {
	if d.Admitted {
		return nil
	}
	return &Error{Code: d.Code, RetryAfter: d.RetryAfter}
}

// CustomerStats are the statistics of one customer at an Enforcer.
type CustomerStats struct {
	// EvenShare and BorrowedShare are what the host may use now.
	EvenShare, BorrowedShare Quota
	// InFlight is the number of admitted requests that have not ended.
	InFlight int
	// Admitted and Refused count requests since the account was created.
	Admitted, Refused uint64
}
