package limits

import (
	"slices"

	"github.com/boragelock/boragelock/contract"
	"github.com/cespare/xxhash/v2"
)

// LenderOf returns the lender of a customer: the live host that is first in
// rendezvous order, or "" when there is none.
func LenderOf(customer string, live []string) string {
	best, score := "", uint64(0)
	for _, h := range live {
		d := xxhash.New()
		_, _ = d.WriteString(customer)
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(h)
		if s := d.Sum64(); best == "" || s > score || s == score && h < best {
			best, score = h, s
		}
	}
	return best
}

// EvenPart returns the part of a contract that each of n hosts has without
// borrowing.
func EvenPart(c contract.Contract, n int) Demand {
	n = max(n, 1)
	return Demand{Rate: c.RatePerSecond / 2 / float64(n), Concurrency: c.Concurrency / 2 / n}
}

// LentPart returns the part of a contract that is lent among n hosts.
func LentPart(c contract.Contract, n int) Demand {
	n = max(n, 1)
	return Demand{Rate: c.RatePerSecond / 2, Concurrency: c.Concurrency - n*EvenPart(c, n).Concurrency}
}

// majority reports whether more than half of the configured hosts are live.
func (h Hosts) majority() bool {
	n := 0
	for _, x := range h.Configured {
		if slices.Contains(h.Live, x) {
			n++
		}
	}
	return 2*n > len(h.Configured)
}
