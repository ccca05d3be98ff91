package limits

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"github.com/boragelock/boragelock/contract"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func ana(rate, burst float64, concurrency int) contract.Contract {
	return contract.Contract{Customer: "ana", Workloads: []string{"w"}, RatePerSecond: rate, Burst: burst, Concurrency: concurrency, Weight: 1}
}

// TestPropertyOvershoot guards against shares that are lent twice, so that a
// customer exceeds its contract, while messages are lost and hosts restart.
func TestPropertyOvershoot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 7).Draw(t, "hosts")
		c := ana(float64(rapid.IntRange(20, 400).Draw(t, "rate")), float64(rapid.IntRange(1, 50).Draw(t, "burst")), rapid.IntRange(1, 60).Draw(t, "concurrency"))
		s := newCluster(rapid.Uint64().Draw(t, "seed"), n, c)
		s.lossRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "lost")
		s.delay = rapid.SampledFrom([]time.Duration{2 * ms, 300 * ms}).Draw(t, "delay")
		changes := rapid.IntRange(0, 2).Draw(t, "changes")
		// Hosts learn of a change at different times within span.
		const span = 400 * ms
		seenAt := make([]time.Duration, n)
		down, nextChange, changesDone := -1, 2*time.Second, 0
		lease, lent := s.hosts[0].enforcer.cfg.LeaseDuration, LendingPool(c, n)
		changed := -time.Hour
		s.run(8*time.Second, func() {
			lentAgain := 0.0
			if s.now <= changed+lease+span+10*ms {
				lentAgain = float64(changesDone)
			}
			if s.shares.Rate > (c.RatePerSecond+lentAgain*lent.Rate)*1.000001 {
				t.Fatalf("shares of %.1f/s at %v, %v after a change", s.shares.Rate, s.now, s.now-changed)
			}
			if float64(s.shares.Concurrency) > float64(c.Concurrency)+lentAgain*float64(lent.Concurrency) {
				t.Fatalf("shares of %d in flight at %v, %v after a change", s.shares.Concurrency, s.now, s.now-changed)
			}
			if s.now%(500*ms) == 0 {
				for _, h := range s.hosts {
					h.demand = c.RatePerSecond * s.rnd.Float64() * float64(s.rnd.IntN(3))
					h.serviceTime = time.Duration(1+s.rnd.IntN(200)) * ms
				}
			}
			if changesDone < changes && s.now >= nextChange {
				changesDone++
				changed = s.now
				nextChange = s.now + 2*time.Second
				if down < 0 {
					down = s.rnd.IntN(n)
					s.hosts[down].up = false
				} else {
					s.start(down)
					down = -1
				}
				for i := range seenAt {
					seenAt[i] = s.now + time.Duration(s.rnd.Int64N(int64(span)))
				}
			}
			for i, at := range seenAt {
				if at > 0 && s.now >= at && s.hosts[i].up {
					seenAt[i] = 0
					s.setLive(i, func(j int) bool { return j != down })
				}
			}
		})
		bound := 2*c.Burst + float64(n) + float64(changes)*lent.Rate*(lease+span).Seconds() +
			0.001*c.RatePerSecond*8 + 1
		// A restarted host has its burst again. While two hosts lend, the burst
		// for the lending pool exists twice.
		bound += float64(changes) * (1 + c.Burst)
		if s.maxLevel > bound {
			t.Fatalf("overshoot of %.1f requests, bound %.1f", s.maxLevel, bound)
		}
		isolated := 0
		if EvenShare(c, n).Concurrency == 0 {
			isolated = n // each host may be without a response for a lease
		}
		if limit := c.Concurrency + isolated + changes*lent.Concurrency; s.maxInUse > limit {
			t.Fatalf("%d in use by shares, bound %d", s.maxInUse, limit)
		}
	})
}

// TestLending guards against lost rate when a customer's callers use few hosts,
// and against loans that exceed the contract.
func TestLending(t *testing.T) {
	Convey("with demand on all hosts the whole rate is usable, and no more", t, func() {
		s := newCluster(1, 10, ana(200, 20, 100))
		for i, h := range s.hosts {
			h.demand = 10 + float64(i)*10
		}
		s.run(20*time.Second, nil)
		So(float64(s.admitted)/20, ShouldBeBetween, 185, 203)
		So(float64(s.hosts[0].admitted)/float64(s.hosts[0].requested), ShouldBeGreaterThan, 0.85)
	})
	Convey("with demand on one host its even part and the lent half are usable", t, func() {
		s := newCluster(2, 10, ana(200, 20, 100))
		s.hosts[3].demand = 400
		s.run(20*time.Second, nil)
		So(float64(s.admitted)/20, ShouldBeBetween, 0.95*110, 1.02*110)
	})
	Convey("a returned share is used by another host within its renewal", t, func() {
		s := newCluster(3, 5, ana(200, 5, 100))
		s.hosts[0].demand = 300
		s.run(5*time.Second, nil)
		s.hosts[0].demand, s.hosts[1].demand = 0, 300
		s.run(8*time.Second, nil)
		before := s.admitted
		s.run(10*time.Second, nil)
		So(float64(s.admitted-before)/2, ShouldBeGreaterThan, 0.95*120)
	})
	Convey("a lost borrower's share is lent again only after its lease", t, func() {
		s := newCluster(4, 5, ana(200, 5, 100))
		lender := s.index(LenderOf("ana", s.hosts[0].knownHosts.Live))
		a, b := (lender+1)%5, (lender+2)%5
		s.hosts[a].demand = 300
		s.run(5*time.Second, nil)
		s.hosts[a].up = false
		s.hosts[b].demand = 300
		s.run(6400*ms, nil)
		st, _ := s.hosts[b].enforcer.Stats(s.hosts[b].local(s.now), "ana")
		So(st.BorrowedShare.Rate, ShouldEqual, 0)
		s.run(8*time.Second, nil)
		st, _ = s.hosts[b].enforcer.Stats(s.hosts[b].local(s.now), "ana")
		So(st.BorrowedShare.Rate, ShouldEqual, 100)
	})
	Convey("after the lender is lost and seen to be, another one lends", t, func() {
		s := newCluster(5, 5, ana(200, 5, 100))
		lender := s.index(LenderOf("ana", s.hosts[0].knownHosts.Live))
		a := (lender + 1) % 5
		s.hosts[a].demand = 300
		s.run(5*time.Second, nil)
		s.hosts[lender].up = false
		s.run(8*time.Second, nil)
		st, _ := s.hosts[a].enforcer.Stats(s.hosts[a].local(s.now), "ana")
		So(st.BorrowedShare, ShouldResemble, Quota{})
		for i := range s.hosts {
			s.setLive(i, func(j int) bool { return j != lender })
		}
		s.run(9*time.Second, nil)
		st, _ = s.hosts[a].enforcer.Stats(s.hosts[a].local(s.now), "ana")
		So(st.BorrowedShare.Rate, ShouldEqual, 100)
	})
	Convey("a host that is cut off has its even part, and at least one slot", t, func() {
		s := newCluster(6, 5, ana(200, 5, 4))
		s.hosts[0].demand = 300
		s.setLive(0, func(int) bool { return false })
		s.run(10*time.Second, nil)
		So(float64(s.admitted)/10, ShouldBeBetween, 0.9*20, 1.1*20)
		So(s.maxInUse, ShouldEqual, 1)
	})
	Convey("hosts that want the last slots get them in turn", t, func() {
		s := newCluster(7, 5, ana(1e6, 1000, 2))
		for _, h := range s.hosts {
			h.demand = 100
		}
		s.run(60*time.Second, nil)
		for _, h := range s.hosts {
			So(h.admitted, ShouldBeGreaterThan, 100)
		}
		So(s.maxInUse, ShouldBeLessThanOrEqualTo, 2)
	})
	Convey("a new lender does not lend what a host still holds of the former one", t, func() {
		h := Hosts{Self: "h", Configured: []string{"h"}, Live: []string{"h"}}
		l := NewLender(Config{}, h, "1")
		l.SetContracts(map[string]contract.Contract{"ana": ana(100, 1, 10)})
		borrow := func(now time.Duration, host string, holds float64) float64 {
			b := BorrowRequest{Customer: "ana", Host: host, Lender: "h", Want: Quota{Rate: 50}, LenderIncarnation: "0", CurrentLoanNumber: 9}
			b.PreviousLoanShare.Rate, b.PreviousLoanMS = holds, 1000
			return l.Lend(now, b).Share.Rate
		}
		So(borrow(0, "a", 30), ShouldEqual, 20)
		So(borrow(0, "b", 0), ShouldEqual, 0)
		So(borrow(1500*ms, "a", 0), ShouldEqual, 25)
	})
	Convey("a lender that restarted does not lend what its former self lent", t, func() {
		h := Hosts{Self: "h", Configured: []string{"h"}, Live: []string{"h"}}
		l := NewLender(Config{}, h, "1")
		l.SetContracts(map[string]contract.Contract{"ana": ana(100, 1, 10)})
		b := BorrowRequest{Customer: "ana", Lender: "h", Host: "a", Want: Quota{Rate: 10}, CurrentLoanNumber: 7, LenderIncarnation: "0", CurrentLoanShare: Quota{Rate: 50}, CurrentLoanMS: 1000}
		So(l.Lend(time.Second, b).Share.Rate, ShouldEqual, 10)
		b = BorrowRequest{Customer: "ana", Lender: "h", Host: "b", Want: Quota{Rate: 50}}
		So(l.Lend(time.Second, b).Share.Rate, ShouldEqual, 0)
	})
	Convey("an old return does not release a newer loan", t, func() {
		h := Hosts{Self: "h", Configured: []string{"h"}, Live: []string{"h"}}
		l := NewLender(Config{}, h, "1")
		l.SetContracts(map[string]contract.Contract{"ana": ana(100, 1, 10)})
		borrow := func(host string, b BorrowRequest) Loan {
			b.Customer, b.Host, b.Lender = "ana", host, "h"
			return l.Lend(0, b)
		}
		first := borrow("a", BorrowRequest{Want: Quota{Rate: 50}})
		second := borrow("a", BorrowRequest{Want: Quota{Rate: 50}, LenderIncarnation: "1", CurrentLoanNumber: first.Number})
		So(second.Share.Rate, ShouldEqual, 50)
		borrow("a", BorrowRequest{LenderIncarnation: "1", CurrentLoanNumber: first.Number})
		So(borrow("b", BorrowRequest{Want: Quota{Rate: 50}}).Share.Rate, ShouldEqual, 0)
		borrow("a", BorrowRequest{LenderIncarnation: "1", CurrentLoanNumber: second.Number})
		So(borrow("b", BorrowRequest{Want: Quota{Rate: 50}}).Share.Rate, ShouldEqual, 50)
	})
}

// TestAdmit guards against requests outside the contract that reach a target.
func TestAdmit(t *testing.T) {
	Convey("workload, body, end and rate of the contract are enforced", t, func() {
		h := Hosts{Self: "h", Configured: []string{"h"}, Live: []string{"h"}}
		e := NewEnforcer(Config{}, h, "1")
		c := ana(10, 2, 2)
		// The host's even share is half of the rate; its burst is twice half of the
		// contract's burst.
		c.MaxBodyBytes = 100
		e.SetContracts(0, map[string]contract.Contract{"ana": c})
		So(e.Admit(0, "bo", "w", 0).Code, ShouldEqual, CodeUnknownCustomer)
		So(e.Admit(0, "ana", "x", 0).Code, ShouldEqual, CodeWorkloadNotPermitted)
		So(e.Admit(0, "ana", "w", 101).Code, ShouldEqual, CodeBodyTooLarge)
		So(e.Admit(0, "ana", "w", -1).Err(), ShouldBeNil)
		d := e.Admit(0, "ana", "w", 0)
		So(d.Code, ShouldEqual, CodeConcurrencyLimited)
		So(d.BorrowNow, ShouldBeTrue)
		e.Done("ana")
		So(e.Admit(0, "ana", "w", 0).Admitted, ShouldBeTrue)
		e.Done("ana")
		d = e.Admit(0, "ana", "w", 0)
		So(d.Code, ShouldEqual, CodeRateLimited)
		So(d.RetryAfter, ShouldEqual, 200*ms)
		So(d.Err(), ShouldHaveSameTypeAs, &Error{})
		So(e.Admit(200*ms, "ana", "w", 0).Admitted, ShouldBeTrue)
		e.SetContracts(0, nil)
		So(e.Admit(time.Second, "ana", "w", 0).Code, ShouldEqual, CodeContractEnded)
		e.Done("ana")
		So(e.Admit(time.Second, "ana", "w", 0).Code, ShouldEqual, CodeUnknownCustomer)
	})
	Convey("only the customer's own credentials are accepted", t, func() {
		hash := func(s string) string {
			h := sha256.Sum256([]byte(s))
			return hex.EncodeToString(h[:])
		}
		credentials := NewCredentials(map[string]contract.Contract{
			"ana": {CredentialHashes: []string{hash("old"), hash("new")}},
			"bo":  {CredentialHashes: []string{hash("bo")}},
			"end": {CredentialHashes: []string{hash("x")}, Ended: true},
		})
		for _, ok := range [][2]string{{"ana", "old"}, {"ana", "new"}, {"bo", "bo"}} {
			So(credentials.Check(ok[0], ok[1]), ShouldBeTrue)
		}
		for _, bad := range [][2]string{{"ana", "bo"}, {"ana", ""}, {"nobody", "old"}, {"end", "x"}} {
			So(credentials.Check(bad[0], bad[1]), ShouldBeFalse)
		}
	})
}

// BenchmarkAdmit measures admitting and ending a request, with 100 customers.
func BenchmarkAdmit(b *testing.B) {
	h := Hosts{Self: "h", Configured: []string{"h"}, Live: []string{"h"}}
	e := NewEnforcer(Config{}, h, "1")
	contracts := map[string]contract.Contract{}
	for i := range 100 {
		c := ana(1e9, 1e9, 100)
		c.Customer = fmt.Sprint("customer", i)
		contracts[c.Customer] = c
	}
	e.SetContracts(0, contracts)
	b.ReportAllocs()
	for i := range b.N {
		if !e.Admit(time.Duration(i)*time.Microsecond, "customer7", "w", 0).Admitted {
			b.Fatal("refused")
		}
		e.Done("customer7")
	}
}

// BenchmarkCheck measures a credential check with two hashes.
func BenchmarkCheck(b *testing.B) {
	h := sha256.Sum256([]byte("secret"))
	x := hex.EncodeToString(h[:])
	credentials := NewCredentials(map[string]contract.Contract{"ana": {CredentialHashes: []string{x, x}}})
	b.ReportAllocs()
	for range b.N {
		credentials.Check("ana", "secret")
	}
}
