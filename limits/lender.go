package limits

import (
	"slices"
	"time"

	"github.com/boragelock/boragelock/contract"
)

// Lender lends the lent parts of the customers that hash to this host. It is
// not safe for concurrent use.
type Lender struct {
	cfg       Config
	hosts     Hosts
	majority  bool
	contracts map[string]contract.Contract
	books     map[string]*book
	number    uint64
}

// book holds the loans of one customer.
type book struct {
	borrowers map[string]*borrower
}

// borrower is a host that borrows.
type borrower struct {
	incarnation string
	want        Demand
	inUse       int
	loans       []booked
	seen        time.Duration
}

// booked is a loan that may be in use.
type booked struct {
	number uint64
	share  Demand
	until  time.Duration
}

// NewLender returns a lender without contracts.
func NewLender(cfg Config, hosts Hosts) *Lender {
	l := &Lender{cfg: cfg.withDefaults(), books: map[string]*book{}}
	l.hosts, l.majority = hosts, hosts.majority()
	return l
}

// SetContracts replaces the contracts; the map is kept and must not change.
func (l *Lender) SetContracts(contracts map[string]contract.Contract) { l.contracts = contracts }

// SetHosts replaces what is known of the entry hosts.
func (l *Lender) SetHosts(hosts Hosts) {
	l.hosts, l.majority = hosts, hosts.majority()
}

// Lend answers a borrow request.
func (l *Lender) Lend(now time.Duration, b Borrow) Loan {
	l.number++
	out := Loan{Customer: b.Customer, Lender: l.hosts.Self, Number: l.number, LeaseMS: l.cfg.Lease.Milliseconds()}
	c, ok := l.contracts[b.Customer]
	switch {
	case !ok || c.Ended:
		out.Refused = RefusedUnknown
	case !l.majority:
		out.Refused = RefusedMinority
	case b.Lender != l.hosts.Self || LenderOf(b.Customer, l.hosts.Live) != l.hosts.Self:
		out.Refused = RefusedNotLender
	}
	if out.Refused != "" {
		return out
	}
	bk := l.book(b.Customer)
	bk.expire(now)
	h := bk.update(now, b)
	part := LentPart(c, len(l.hosts.Configured))
	out.Share = bk.allot(now, b.Host, part)
	h.loans = append(h.loans, booked{number: out.Number, share: out.Share, until: now + l.bound(l.cfg.Lease)})
	return out
}

func (l *Lender) bound(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*2*l.cfg.ClockRateBound) + time.Millisecond
}

func (l *Lender) book(customer string) *book {
	bk, ok := l.books[customer]
	if !ok {
		bk = &book{borrowers: map[string]*borrower{}}
		l.books[customer] = bk
	}
	return bk
}

func (k *book) expire(now time.Duration) {
	for name, h := range k.borrowers {
		h.loans = slices.DeleteFunc(h.loans, func(x booked) bool { return now >= x.until })
		if len(h.loans) == 0 {
			delete(k.borrowers, name)
		}
	}
}

// update records what a borrower says, and drops the loans it no longer uses.
func (k *book) update(now time.Duration, b Borrow) *borrower {
	h, ok := k.borrowers[b.Host]
	if !ok {
		h = &borrower{}
		k.borrowers[b.Host] = h
	}
	if b.Incarnation != h.incarnation {
		// The former incarnation may still run on another address; its loans
		// stay booked until they lapse.
		h.incarnation = b.Incarnation
	} else {
		h.loans = slices.DeleteFunc(h.loans, func(x booked) bool { return x.number < b.Lent })
	}
	h.want, h.inUse, h.seen = b.Want, b.InUse, now
	if b.Want == (Demand{}) {
		h.loans = h.loans[:0]
	}
	return h
}

// held returns the highest share that a borrower may be using.
func (h *borrower) held() Demand {
	var d Demand
	for _, x := range h.loans {
		d.Rate = max(d.Rate, x.share.Rate)
		d.Concurrency = max(d.Concurrency, x.share.Concurrency)
	}
	d.Concurrency = max(d.Concurrency, h.inUse)
	return d
}

// allot returns the share of a borrower: its part of a max-min fair division
// by demand, as far as the other borrowers' loans leave room.
func (k *book) allot(now time.Duration, host string, part Demand) Demand {
	free := part
	var rates, slots []float64
	self := 0
	for name, h := range k.borrowers {
		if name == host {
			self = len(rates)
		} else {
			d := h.held()
			free.Rate -= d.Rate
			free.Concurrency -= d.Concurrency
		}
		rates = append(rates, h.want.Rate)
		slots = append(slots, float64(h.want.Concurrency))
	}
	return Demand{
		Rate:        max(0, min(fairShare(rates, self, part.Rate), free.Rate)),
		Concurrency: max(0, min(int(fairShare(slots, self, float64(part.Concurrency))+1e-9), free.Concurrency)),
	}
}

// fairShare returns the part of wants[self] in a max-min fair division of total.
func fairShare(wants []float64, self int, total float64) float64 {
	sorted := slices.Clone(wants)
	slices.Sort(sorted)
	for i, w := range sorted {
		level := total / float64(len(sorted)-i)
		if w > level {
			return min(wants[self], level)
		}
		total -= w
	}
	return wants[self]
}
