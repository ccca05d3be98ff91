package lease_test

import (
	"fmt"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/lease"
	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/provider"
)

// The only granter of a domain gets a nonce from a target, then grants it the shard
// that the log assigns to it.
func Example() {
	state := journal.NewState()
	for i, r := range []struct {
		kind journal.Kind
		body any
	}{
		{journal.KindBootstrap, contract.Deployment{
			Name: "demo", IsolatedServeMS: -1,
			Domains:   []contract.Domain{{Name: "d1"}},
			Workloads: []contract.Workload{{Name: "lookups", Keyed: true, Shards: 1, Fencing: true}},
			Targets:   []contract.Target{{Name: "t1", Workload: "lookups", Domain: "d1", Addr: "127.0.0.1:9000", Slots: 2, MaxConnections: 8}},
		}},
		{journal.KindGranters, journal.Granters{Domain: "d1", Members: []journal.Member{{Host: "h1", Incarnation: "i1"}}}},
		{journal.KindMove, ownership.Move{Reason: ownership.ReasonInitial, Shards: []ownership.MoveShard{
			{ID: ownership.ID{Workload: "lookups"}, To: "t1"}}}},
	} {
		data, _ := journal.Encode(fmt.Sprint("r", i), r.kind, r.body)
		_, _ = state.Apply(journal.FirstOffset+int64(i), data)
	}

	g := lease.New(lease.DefaultConfig(), lease.Self{Host: "h1", Incarnation: "i1", Domain: "d1"})
	show := func(actions []lease.Action) (last lease.SendGrant) {
		for _, a := range actions {
			if s, ok := a.(lease.SendGrant); ok {
				fmt.Printf("grant to %s: nonce %q, version %d, shards %v\n", s.Target, s.Grant.Nonce, s.Grant.Version, s.Grant.Shards)
				last = s
			}
		}
		return last
	}
	g.Step(0, lease.StatePublished{State: state})
	first := show(g.Step(0, lease.LogRead{Start: 0, End: state.NextOffset}))
	g.Step(1*time.Millisecond, lease.GrantAnswer{Target: "t1", Seq: first.Seq, Reply: provider.GrantReply{
		Result: provider.GrantNonceRejected, Nonce: "n1", Incarnation: "x"}})
	// The log is read again, since this incarnation is new to the granter.
	second := show(g.Step(3*time.Millisecond, lease.LogRead{Start: 2 * time.Millisecond, End: state.NextOffset}))
	fmt.Println("may write:", g.MayRenew(4*time.Millisecond, second))
	fmt.Println("after a pause:", g.MayRenew(600*time.Millisecond, second))
	// Output:
	// grant to t1: nonce "", version 3, shards []
	// grant to t1: nonce "n1", version 3, shards [{lookups 0 1}]
	// may write: true
	// after a pause: false
}
