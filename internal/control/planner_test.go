package control

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/ownership"
)

// A new leader has received nothing from any target yet. It must not mistake the
// targets for leaving ones and plan to move their shards away.
func TestNewLeaderPlansNoMovesFromUnknownTargets(t *testing.T) {
	Convey("targets of which nothing is known keep their shards", t, func() {
		dep := contract.Deployment{
			Name: "test", Domains: []contract.Domain{{Name: "d0"}, {Name: "d1"}},
			Workloads: []contract.Workload{{Name: "lookups", Keyed: true, Shards: 8, Fencing: true}},
		}
		for _, name := range []string{"t0", "t1"} {
			dep.Targets = append(dep.Targets, contract.Target{Name: name, Workload: "lookups", Domain: "d" + name[1:], Addr: "127.0.0.1:1", Slots: 2, MaxConnections: 130})
		}
		st := journal.NewState()
		data, err := journal.Encode("1", journal.KindBootstrap, dep)
		So(err, ShouldBeNil)
		res, err := st.Apply(1, data)
		So(err, ShouldBeNil)
		So(res.Err, ShouldBeNil)
		for n := range st.Table.Workloads["lookups"].Shards {
			st.Table.Workloads["lookups"].Shards[n] = ownership.Shard{Owner: []string{"t0", "t1"}[n%2], Epoch: 1}
		}
		c := New(Config{Self: view.Self{Name: "e0", Domain: "d0", Incarnation: "1"}})
		targets := c.planTargets(st)
		for _, p := range targets {
			So(p.Unknown, ShouldBeTrue)
			So(p.Eligible || p.Lost, ShouldBeFalse)
		}
		// The other domain's target is known already.
		targets[1].Unknown, targets[1].Eligible, targets[1].Ready = false, true, true
		plan := ownership.MakePlan(ownership.DefaultPlanConfig(), ownership.PlanInput{Table: st.Table, Targets: targets})
		So(plan.Moves, ShouldBeEmpty)
	})
}
