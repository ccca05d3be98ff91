package limits

import (
	"slices"
	"strconv"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/cespare/xxhash/v2"
)

// Lender lends the lent parts of the customers that hash to this host. It is
// not safe for concurrent use.
type Lender struct {
	cfg         Config
	incarnation string
	hosts       Hosts
	majority    bool
	contracts   map[string]contract.Contract
	books       map[string]*book
	number      uint64
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
	// former is what the borrower still uses from another lender.
	former booked
}

// booked is a loan that may be in use.
type booked struct {
	number uint64
	share  Demand
	until  time.Duration
}

// NewLender returns a lender without contracts. The incarnation changes when
// the process restarts.
func NewLender(cfg Config, hosts Hosts, incarnation string) *Lender {
	l := &Lender{cfg: cfg.withDefaults(), incarnation: incarnation, books: map[string]*book{}}
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
func (l *Lender) Lend(now time.Duration, b BorrowRequest) Loan {
	// The boot-time clock keeps the numbers growing when the process restarts.
	l.number = max(l.number+1, uint64(now/time.Microsecond))
	out := Loan{Customer: b.Customer, Lender: l.hosts.Self, Incarnation: l.incarnation, Number: l.number, LeaseMS: l.cfg.Lease.Milliseconds()}
	c, ok := l.contracts[b.Customer]
	switch {
	case !ok || c.Ended:
		out.Refused = RefusedUnknownCustomer
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
	h := bk.update(b, l.incarnation, l.until(now, b.HoldsMS), l.until(now, b.UsesMS))
	if b.Want == (Demand{}) {
		return out
	}
	out.Share = bk.allot(b.Host, LentPart(c, len(l.hosts.Configured)), int64(now/l.cfg.Lease))
	h.loans = append(h.loans, booked{number: out.Number, share: out.Share, until: l.until(now, out.LeaseMS)})
	return out
}

// until returns when a lease of the given length has ended by any host's clock.
func (l *Lender) until(now time.Duration, ms int64) time.Duration {
	d := min(time.Duration(max(ms, 0))*time.Millisecond, l.cfg.Lease)
	return now + d + time.Duration(float64(d)*2*l.cfg.ClockRateBound) + time.Millisecond
}

func (l *Lender) book(customer string) *book {
	bk, ok := l.books[customer]
	if !ok {
		bk = &book{borrowers: map[string]*borrower{}}
		l.books[customer] = bk
	}
	return bk
}

// expire forgets lapsed loans, and borrowers that have none.
func (k *book) expire(now time.Duration) {
	lapsed := func(x booked) bool { return now >= x.until }
	for name, h := range k.borrowers {
		h.loans = slices.DeleteFunc(h.loans, lapsed)
		if lapsed(h.former) {
			h.former = booked{}
			if len(h.loans) == 0 {
				delete(k.borrowers, name)
			}
		}
	}
}

// update records what a borrower says, and drops the loans it no longer uses.
// An answer that is still on its way keeps its loan booked, since its number is
// above Lent.
func (k *book) update(b BorrowRequest, incarnation string, holdsUntil, usesUntil time.Duration) *borrower {
	h, ok := k.borrowers[b.Host]
	if !ok {
		h = &borrower{incarnation: b.Incarnation}
		k.borrowers[b.Host] = h
	}
	h.want, h.inUse = b.Want, b.InUse
	h.former = booked{share: b.Holds, until: holdsUntil}
	if b.Incarnation != h.incarnation {
		// The former incarnation may still be running; its loans stay booked
		// until they lapse.
		h.incarnation = b.Incarnation
		return h
	}
	if b.LenderIncarnation != incarnation {
		// The loan in use is from before a restart of this lender. It has no
		// number here, and ends with the first loan that the borrower uses.
		h.loans = slices.DeleteFunc(h.loans, func(x booked) bool { return x.number == 0 })
		if b.Uses != (Demand{}) {
			h.loans = append(h.loans, booked{share: b.Uses, until: usesUntil})
		}
		return h
	}
	returned := b.Want == (Demand{})
	h.loans = slices.DeleteFunc(h.loans, func(x booked) bool {
		return x.number < b.Lent || returned && x.number == b.Lent
	})
	return h
}

// held returns the most that a borrower may be using.
func (h *borrower) held() Demand {
	var d Demand
	for _, x := range h.loans {
		d.Rate = max(d.Rate, x.share.Rate)
		d.Concurrency = max(d.Concurrency, x.share.Concurrency)
	}
	d.Rate += h.former.share.Rate
	d.Concurrency = max(d.Concurrency+h.former.share.Concurrency, h.inUse)
	return d
}

// allot returns the share of a borrower: its part of a max-min fair division
// by demand, as far as the other borrowers' loans leave room, less what it
// still has of another lender.
func (k *book) allot(host string, part Demand, epoch int64) Demand {
	free := part
	rates := make([]float64, 0, len(k.borrowers))
	slots := make([]float64, 0, len(k.borrowers))
	self := k.borrowers[host]
	for name, h := range k.borrowers {
		rates = append(rates, h.want.Rate)
		slots = append(slots, float64(h.want.Concurrency))
		if name != host {
			d := h.held()
			free.Rate -= d.Rate
			free.Concurrency -= d.Concurrency
		}
	}
	return Demand{
		Rate:        max(0, min(fairShare(rates, self.want.Rate, part.Rate), free.Rate)-self.former.share.Rate),
		Concurrency: max(0, min(k.slots(host, slots, part.Concurrency, epoch), free.Concurrency)-self.former.share.Concurrency),
	}
}

// slots returns a borrower's part of a division of whole slots. The slots that
// remain after rounding go to some of the hosts that want more, others in each
// epoch, so that no host is left without one for long.
func (k *book) slots(host string, wants []float64, part int, epoch int64) int {
	want := k.borrowers[host].want.Concurrency
	whole := func(w int) int { return int(fairShare(wants, float64(w), float64(part)) + 1e-9) }
	n := whole(want)
	if n >= want {
		return n
	}
	rest, before := part, 0
	for name, h := range k.borrowers {
		w := whole(h.want.Concurrency)
		rest -= w
		if w < h.want.Concurrency && rotation(name, epoch) < rotation(host, epoch) {
			before++
		}
	}
	if before < rest {
		n++
	}
	return n
}

func rotation(host string, epoch int64) uint64 {
	return xxhash.Sum64String(strconv.FormatInt(epoch, 10) + host)
}

// fairShare returns what a want gets in a max-min fair division of total among
// wants.
func fairShare(wants []float64, want, total float64) float64 {
	sorted := slices.Clone(wants)
	slices.Sort(sorted)
	for i, w := range sorted {
		level := total / float64(len(sorted)-i)
		if w > level {
			return min(want, level)
		}
		total -= w
	}
	return want
}
