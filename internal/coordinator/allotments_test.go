package coordinator

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/faultproxy"
	"github.com/boragelock/boragelock/platform"
)

// allotmentBound is the most requests of a customer in 5 s, over all hosts.
func allotmentBound(perSecond, burst float64) float64 { return (5*perSecond+burst)*1.1 + 20 }

// setLimit puts a desired state in which customer "n" has a limit, and waits until all hosts
// know it.
func (k *cluster) setLimit(version uint64, perSecond, burst float64, others ...*testHost) {
	k.store.Put(platform.TopicOperator, "config", []byte(strings.Replace(fmt.Sprintf(desiredJSON, version), `"limits":{}`,
		fmt.Sprintf(`"limits":{},"tenants":[{"name":"n","api-keys":["k"],"rate-per-s":%g,"burst":%g},{"name":"free","api-keys":["f"]}]`, perSecond, burst), 1)))
	for _, h := range append(others, k.hosts...) {
		So(eventually(3*time.Second, func() bool { return h.hasVersion(version) }), ShouldBeTrue)
	}
}

// customer returns the customer with a limit as a host knows it.
func (h *testHost) customer() *fleet.Customer {
	return h.c.Snapshot().DesiredState.Customers.ByName("n")
}

// allotmentLoad has hosts send requests of a customer.
type allotmentLoad struct {
	mu       sync.Mutex
	admitted []allotmentRequest
	refused  int
	longest  time.Duration
	stop     func()
}

type allotmentRequest struct {
	at   time.Time
	host *testHost
}

// load starts senders of requests on hosts, one each every interval.
func loadAllotment(interval time.Duration, hosts ...*testHost) *allotmentLoad {
	x := &allotmentLoad{}
	ctx, cancel := context.WithCancel(context.Background())
	var senders sync.WaitGroup
	for _, h := range hosts {
		senders.Go(func() {
			for ctx.Err() == nil {
				began := time.Now()
				granted, _ := h.c.TakeAllotment(ctx, h.customer())
				x.mu.Lock()
				if granted {
					x.admitted = append(x.admitted, allotmentRequest{time.Now(), h})
				} else {
					x.refused++
				}
				x.longest = max(x.longest, time.Since(began))
				x.mu.Unlock()
				sleep(ctx, interval)
			}
		})
	}
	x.stop = func() { cancel(); senders.Wait() }
	return x
}

// between returns how many requests of a host, or of all if it is nil, were admitted.
func (x *allotmentLoad) between(from, to time.Time, host *testHost) (n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range x.admitted {
		if !r.at.Before(from) && r.at.Before(to) && (host == nil || r.host == host) {
			n++
		}
	}
	return n
}

// mostIn5s returns the most requests that were admitted in 5 s.
func (x *allotmentLoad) mostIn5s() (most int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	first := 0
	for i, r := range x.admitted {
		for r.at.Sub(x.admitted[first].at) >= 5*time.Second {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

func startedCluster(t testing.TB, hosts int) *cluster {
	k := newCluster(t, hosts, 2)
	if !eventually(8*time.Second, func() bool {
		return k.leader() != nil && k.allHeldOnce() && (hosts == 1 || k.follower() != nil && k.follower().c.HostCount() == hosts)
	}) {
		t.Fatal("the hosts did not start")
	}
	return k
}

// TestAllotmentWithAHostCutOff guards against customers that exceed their allotment through
// a host that is cut off, and against such a host that refuses all of them.
func TestAllotmentWithAHostCutOff(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given four hosts, one of which is cut off while all send too many requests", t, func() {
		k := startedCluster(t, 3)
		late := newLaggingHost(t, k)
		const perSecond, burst = 40, 20
		k.setLimit(7, perSecond, burst, &late.testHost)
		So(eventually(3*time.Second, func() bool { return late.c.HostCount() == 4 && late.c.roster.listsSelf() }), ShouldBeTrue)
		x := loadAllotment(5*time.Millisecond, append(k.hosts, &late.testHost)...)
		time.Sleep(2 * time.Second)
		late.proxy.SetFaults("", faultproxy.Faults{Cut: faultproxy.CutBoth})
		cut := time.Now()
		time.Sleep(6 * time.Second)
		late.proxy.SetFaults("", faultproxy.Faults{})
		healed := time.Now()
		time.Sleep(3 * time.Second)
		x.stop()
		So(float64(x.mostIn5s()), ShouldBeLessThanOrEqualTo, allotmentBound(perSecond, burst))
		// From 2 s after the cut on, the host uses its quarter and the others the rest.
		n, own := x.between(cut.Add(2*time.Second), healed, nil), x.between(cut.Add(2*time.Second), healed, &late.testHost)
		seconds := healed.Sub(cut).Seconds() - 2
		t.Logf("at most %d in 5 s; %.1f a second while cut off, %.1f of them on that host; the longest wait %v", x.mostIn5s(), float64(n)/seconds, float64(own)/seconds, x.longest)
		So(float64(n), ShouldBeBetween, 0.8*perSecond*seconds, 1.1*perSecond*seconds+5)
		So(float64(own), ShouldBeBetween, 0.15*perSecond*seconds, 0.3*perSecond*seconds)
		So(x.longest, ShouldBeLessThan, 500*time.Millisecond)
	})
}

// TestAllotmentWhileTheLeaderChanges guards against a burst that is spent again at the next
// leader, and against customers that are refused for long.
func TestAllotmentWhileTheLeaderChanges(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given four hosts whose leader ends while a customer spends its burst", t, func() {
		k := startedCluster(t, 4)
		const perSecond, burst = 20, 100
		k.setLimit(7, perSecond, burst)
		time.Sleep(6 * time.Second) // until the burst has accumulated
		old := k.leader()
		var others []*testHost
		for _, h := range k.hosts {
			if h != old {
				others = append(others, h)
			}
		}
		x := loadAllotment(5*time.Millisecond, others...)
		time.Sleep(500 * time.Millisecond)
		So(x.between(time.Time{}, time.Now(), nil), ShouldBeGreaterThan, burst*0.9)
		old.stop()
		old.c.leading.Store(false)
		So(eventually(10*time.Second, func() bool { l := k.leader(); return l != nil && l != old }), ShouldBeTrue)
		time.Sleep(2 * time.Second)
		from := time.Now()
		time.Sleep(4 * time.Second)
		to := time.Now()
		x.stop()
		So(float64(x.mostIn5s()), ShouldBeLessThanOrEqualTo, allotmentBound(perSecond, burst))
		// The share of the host that ended is left to it for a while.
		n := float64(x.between(from, to, nil))
		t.Logf("at most %d in 5 s; %.1f a second at the next leader", x.mostIn5s(), n/to.Sub(from).Seconds())
		So(n, ShouldBeGreaterThanOrEqualTo, 0.8*0.75*perSecond*to.Sub(from).Seconds())
	})
}

// TestAllotmentOfACalmDay guards against refusals within an allotment, and against limits
// that stay in force after a change.
func TestAllotmentOfACalmDay(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given four hosts", t, func() {
		k := startedCluster(t, 4)
		Convey("customers without a limit cause no messages", func() {
			time.Sleep(time.Second)
			for _, h := range k.hosts {
				granted, _ := h.c.TakeAllotment(context.Background(), &fleet.Customer{Name: "free"})
				So(granted, ShouldBeTrue)
				So(h.c.metrics.allotments.String(), ShouldEqual, "{}")
			}
		})
		Convey("a customer within its allotment is not refused, and a lower limit is in force", func() {
			k.setLimit(7, 100, 20)
			time.Sleep(2 * time.Second)
			x := loadAllotment(50*time.Millisecond, k.hosts...) // up to 80 a second
			time.Sleep(4 * time.Second)
			x.stop()
			t.Logf("%d admitted, %d refused, the longest wait %v", len(x.admitted), x.refused, x.longest)
			So(len(x.admitted), ShouldBeGreaterThan, 200)
			So(x.refused, ShouldEqual, 0)
			k.setLimit(8, 10, 5)
			x = loadAllotment(10*time.Millisecond, k.hosts...)
			time.Sleep(5500 * time.Millisecond)
			x.stop()
			So(float64(x.mostIn5s()), ShouldBeLessThanOrEqualTo, allotmentBound(10, 5))
			So(x.mostIn5s(), ShouldBeGreaterThan, 40)
		})
	})
}

// TestHostThatNeverReachedALeader guards against hosts that admit as if they were alone since
// they have not heard of any other.
func TestHostThatNeverReachedALeader(t *testing.T) {
	Convey("a host without a leader and a roster admits almost nothing, and tells when to come back", t, func() {
		c := New(Config{Host: "h", Log: hclog.NewNullLogger()})
		admitted := 0
		for range 100 {
			granted, after := c.TakeAllotment(context.Background(), &fleet.Customer{Name: "n", RatePerSecond: 100, Burst: 100})
			if granted {
				admitted++
				continue
			}
			So(after, ShouldBeBetween, 0, maxLeaderWait+1)
		}
		So(admitted, ShouldBeLessThanOrEqualTo, 1)
	})
}

// TestMetricsOfCustomers guards against metrics and log lines that grow with the number of
// customers or refusals.
func TestMetricsOfCustomers(t *testing.T) {
	Convey("customers beyond the limit are summed, and a customer's first refusal is reported", t, func() {
		var a allotments
		a.init(0)
		now := time.Hour
		for i := range 300 {
			So(a.count(now, fmt.Sprint(i), true), ShouldBeFalse)
		}
		v := a.counts()
		So(len(v.ByName), ShouldEqual, maxCountedCustomers)
		So(v.Others.Admitted, ShouldEqual, 300-maxCountedCustomers)
		So(a.count(now, "0", false), ShouldBeTrue)
		So(a.count(now+time.Second, "0", false), ShouldBeFalse)
		So(a.count(now+2*time.Second+refusalsOver, "0", false), ShouldBeTrue)
		So(a.counts().ByName["0"].Refused, ShouldEqual, 3)
	})
}

// TestLateRequestsForTokens guards against tokens that are granted to requests which no
// longer wait, and against a host that counts as present by an old message.
func TestLateRequestsForTokens(t *testing.T) {
	Convey("Given a leader with a customer's burst", t, func() {
		c := New(Config{Host: "h", Log: hclog.NewNullLogger()})
		customers := fleet.NewCustomers()
		So(customers.Add(fleet.Customer{Name: "n", RatePerSecond: 1000, Burst: 100}, nil), ShouldBeEmpty)
		c.mu.Lock()
		c.dir.PutDesiredState(&fleet.DesiredState{Version: 1, Customers: customers})
		c.publish()
		c.mu.Unlock()
		c.leading.Store(true)
		c.tickAllotments(boottime.Now())
		c.allotments.beginTerm(boottime.Now(), 0)
		time.Sleep(100 * time.Millisecond) // until there are tokens
		ask := func(age time.Duration, customer string) allotReply {
			raw := json.RawMessage(marshal(methodAllot, allotMessage{
				Host: "other", SentUS: (boottime.Now() - age).Microseconds(), Present: true, Asks: []allotOfCustomer{{Customer: customer, Count: 2}},
			}))
			reply, err := c.handleAllot(&jsonrpc2.Request{Method: methodAllot, Params: &raw})
			So(err, ShouldBeNil)
			return reply.(allotReply)
		}
		Convey("a message that is on time gets tokens", func() {
			So(ask(time.Millisecond, "n").Answers, ShouldResemble, []allotAnswer{{Granted: 2}})
		})
		Convey("a late one gets none", func() {
			So(ask(time.Second, "n").Answers, ShouldBeEmpty)
		})
		Convey("a customer that the leader does not know is left to the hosts", func() {
			So(ask(time.Millisecond, "new").Answers, ShouldResemble, []allotAnswer{{Unknown: true}})
		})
		Convey("a host that does not lead answers none", func() {
			c.leading.Store(false)
			raw := json.RawMessage(`{}`)
			_, err := c.handleAllot(&jsonrpc2.Request{Method: methodAllot, Params: &raw})
			So(err, ShouldNotBeNil)
		})
	})
}

// BenchmarkTakeAllotment measures a token at hand, on the leader, with 1,000 customers.
func BenchmarkTakeAllotment(b *testing.B) {
	c := New(Config{Host: "h", Log: hclog.NewNullLogger()})
	c.leading.Store(true)
	c.tickAllotments(boottime.Now())
	c.allotments.beginTerm(boottime.Now(), 0)
	time.Sleep(100 * time.Millisecond) // until there are tokens
	customers := make([]*fleet.Customer, 1000)
	for i := range customers {
		customers[i] = &fleet.Customer{Name: fmt.Sprint("customer", i), RatePerSecond: 1e9, Burst: 1e9}
		c.TakeAllotment(context.Background(), customers[i])
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if granted, _ := c.TakeAllotment(context.Background(), customers[i%len(customers)]); !granted {
			b.Fatal("refused")
		}
	}
}

// BenchmarkAllotments measures tokens that a follower gets from the leader, with the processor
// time of both hosts and the messages for each token.
func BenchmarkAllotments(b *testing.B) {
	k := startedCluster(b, 2)
	k.store.Put(platform.TopicOperator, "config", []byte(strings.Replace(fmt.Sprintf(desiredJSON, 7), `"limits":{}`,
		`"limits":{},"tenants":[{"name":"n","api-keys":["k"],"rate-per-s":1e9,"burst":1}]`, 1)))
	h := k.follower()
	if !eventually(5*time.Second, func() bool { return h.hasVersion(7) && k.leader().hasVersion(7) }) {
		b.Fatal("no limit")
	}
	time.Sleep(2 * time.Second)
	messages := func() int64 {
		if n, ok := h.c.metrics.allotments.Get("answered").(*expvar.Int); ok {
			return n.Value()
		}
		return 0
	}
	before := messages()
	b.ResetTimer()
	for range b.N {
		h.c.TakeAllotment(context.Background(), h.customer())
	}
	b.ReportMetric(float64(messages()-before)/float64(b.N), "messages/op")
}
