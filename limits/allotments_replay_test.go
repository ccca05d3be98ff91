package limits

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/tokenbucket"
)

// replay sends the requests of one customer at random through some hosts for a minute, at a
// part of its allotment, and returns the part that is refused and the number of messages to
// the leader for each request. With prefetch, a host asks for that many further tokens, which
// are valid for a time; otherwise Allotments decides how many it gets.
func replay(l Allotment, hosts int, load float64, prefetch int, valid time.Duration) (refused, messages float64) {
	r := rand.New(rand.NewPCG(1, 2))
	now := time.Hour
	leader := NewAllotments(now-time.Minute, now)
	bucket := tokenbucket.Bucket{Tokens: l.Burst + spareBurst, RefilledAt: now}
	shares := make([]*AllotmentShare, hosts)
	tokens, until := make([]int, hosts), make([]time.Duration, hosts)
	for i := range shares {
		shares[i] = NewAllotmentShare(now)
	}
	total, n, asked := 0, 0, 0
	for end := now + time.Minute; now < end; now += time.Duration(r.ExpFloat64() / (load * l.PerSecond) * float64(time.Second)) {
		total++
		i := r.IntN(hosts)
		if prefetch == 0 {
			p, decided := shares[i].Take(now, "c", l)
			if !decided {
				asked++
				granted, spares, refused := leader.Take(now, "c", l, 1, 1, shares[i].Demand(now, "c"))
				shares[i].RecordTokens(now, now, "c", granted, spares)
				if p = refused; granted == 1 {
					p = Permit{Granted: true}
				} else {
					shares[i].RecordRefused(now, "c", refused)
				}
			}
			if !p.Granted {
				n++
			}
			continue
		}
		if now >= until[i] {
			tokens[i] = 0
		}
		if tokens[i] == 0 {
			asked++
			bucket.Refill(now, l.PerSecond, l.Burst+spareBurst)
			for ; tokens[i] <= prefetch && bucket.Tokens >= tokenbucket.Whole; tokens[i]++ {
				bucket.Tokens--
			}
			until[i] = now + valid
		}
		if tokens[i] == 0 {
			n++
		} else {
			tokens[i]--
		}
	}
	return float64(n) / float64(total), float64(asked) / float64(total)
}

// TestPrefetchedTokensOfManyHosts guards against customers that are refused within their
// allotment because tokens lie on other hosts, and shows why hosts ask for each request of a
// customer that comes through many hosts.
func TestPrefetchedTokensOfManyHosts(t *testing.T) {
	Convey("With 30 requests per second and a burst of 12", t, func() {
		l := Allotment{30, 12}
		for _, load := range []float64{0.5, 0.7, 0.8, 0.9} {
			for _, hosts := range []int{1, 8, 85} {
				refused, messages := replay(l, hosts, load, 0, 0)
				one, oneMessages := replay(l, hosts, load, 1, time.Second)
				three, threeMessages := replay(l, hosts, load, 3, time.Second)
				t.Logf("load %.1f, %2d hosts: asking %.4f refused, %.2f messages a request; 1 prefetched for 1 s %.4f, %.2f; 3 %.4f, %.2f",
					load, hosts, refused, messages, one, oneMessages, three, threeMessages)
				So(refused, ShouldBeLessThan, 0.001)
				if hosts == 85 && load >= 0.8 {
					So(one, ShouldBeGreaterThan, 0.05)
				}
			}
		}
	})
}
