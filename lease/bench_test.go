package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/provider"
)

// domainAtDesignScale returns a state of 1,200 targets and 65,536 shards, 93 of the
// targets in domain d0, and the leading granter of that domain.
func domainAtDesignScale() (*journal.State, *Granter) {
	st := journal.NewState()
	d := contract.Deployment{Name: "bench", IsolatedServeMS: -1, Workloads: []contract.Workload{{Name: "w", Keyed: true, Shards: 65536, Fencing: true}}}
	for i := range 13 {
		d.Domains = append(d.Domains, contract.Domain{Name: fmt.Sprint("d", i)})
	}
	m := ownership.Move{Reason: ownership.ReasonInitial}
	for i := range 1200 {
		d.Targets = append(d.Targets, contract.Target{Name: fmt.Sprintf("t%04d", i), Workload: "w", Domain: fmt.Sprint("d", i%13), Addr: "127.0.0.1:1", Slots: 1, MaxConnections: 1})
	}
	for n := range int32(65536) {
		m.Shards = append(m.Shards, ownership.MoveShard{ID: shardID(n), To: fmt.Sprintf("t%04d", n%1200)})
	}
	list := journal.Granters{Domain: "d0"}
	for _, h := range []string{"g1", "g2", "g3"} {
		list.Members = append(list.Members, journal.Member{Host: h, Incarnation: "1"})
	}
	for i, body := range []any{d, list, m} {
		data, _ := journal.Encode(fmt.Sprint("r", i), []journal.Kind{journal.KindBootstrap, journal.KindGranters, journal.KindMove}[i], body)
		if _, err := st.Apply(st.NextOffset, data); err != nil {
			panic(err)
		}
	}
	return st, New(DefaultConfig(), Self{Host: "g1", Incarnation: "1", Domain: "d0"})
}

// BenchmarkLeaderSecond simulates one second of a leading granter with 93 targets.
func BenchmarkLeaderSecond(b *testing.B) {
	st, g := domainAtDesignScale()
	g.Step(0, StatePublished{State: st})
	now, steps, grants := time.Duration(0), 0, 0
	var pending []SendGrant
	step := func(ev Event) {
		steps++
		for _, a := range g.Step(now, ev) {
			if s, ok := a.(SendGrant); ok {
				pending = append(pending, s)
			}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		for range 50 {
			now += 20 * time.Millisecond
			step(LogRead{Start: now - time.Millisecond, End: st.NextOffset})
			step(Tick{})
			for len(pending) > 0 {
				s := pending[0]
				pending = pending[1:]
				if !g.MayRenew(now, s) {
					b.Fatal("not allowed")
				}
				res := provider.GrantAccepted
				if s.Grant.Nonce == "" {
					res = provider.GrantNonceRejected
				}
				grants++
				step(GrantAnswer{Target: s.Target, Seq: s.Seq, Reply: provider.GrantReply{Result: res, Nonce: "n", Version: s.Grant.Version, Incarnation: "1"}})
			}
		}
	}
	b.ReportMetric(float64(grants)/float64(b.N), "grants/op")
	b.ReportMetric(float64(steps)/float64(b.N), "steps/op")
}

// BenchmarkPublish measures the cost of a new table.
func BenchmarkPublish(b *testing.B) {
	st, g := domainAtDesignScale()
	b.ReportAllocs()
	for b.Loop() {
		g.indexedVersion = -1
		g.Step(0, StatePublished{State: st})
	}
}
