package limits

import (
	"slices"

	"github.com/boragelock/boragelock/contract"
	"github.com/cespare/xxhash/v2"
)

// LenderOf returns the lender of a customer: the live host that is first in
// rendezvous order, or "" if there is none.
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

// EvenShare returns the share of a contract that each of n hosts has without
// borrowing.
func EvenShare(c contract.Contract, n int) Quota {
	n = max(n, 1)
	return Quota{Rate: c.RatePerSecond / 2 / float64(n), Concurrency: c.Concurrency / 2 / n}
}

// LendingPool returns the part of a contract that n hosts borrow from.
func LendingPool(c contract.Contract, n int) Quota {
	n = max(n, 1)
	return Quota{Rate: c.RatePerSecond / 2, Concurrency: c.Concurrency - n*EvenShare(c, n).Concurrency}
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
