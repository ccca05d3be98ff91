package forward

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
)

// Unkeyed requests went to the slow target of the own domain for as long as it
// had room, with ten times the latency of the others.
func TestUnkeyedRequestsAvoidSlowTargets(t *testing.T) {
	Convey("a slow target is left out, tried again later, and never all of them", t, func() {
		s := &Server{}
		v := &view.View{State: journal.NewState()}
		v.State.Config = &contract.State{
			Workloads: map[string]contract.Workload{"w": {Name: "w"}}, Targets: map[string]contract.Target{},
		}
		all := &candidates{near: map[string][]string{"w": {"a"}}, far: map[string][]string{"w": {"b", "c"}}}
		hint := func(name string, latency, age time.Duration) {
			v.State.Config.Targets[name] = contract.Target{Name: name, Workload: "w"}
			s.loadOf(name).hint.Store(&timedHint{loadHint{latency: latency}, time.Now().Add(-age)})
		}
		avoided := func() bool {
			left := 0
			for range 100 {
				if len(s.withoutSlow(all, "w").near) == 0 {
					left++
				}
			}
			return left > 50
		}
		hint("a", time.Second, 0)
		hint("b", 100*time.Millisecond, 0)
		hint("c", 120*time.Millisecond, 0)
		s.findSlow(v)
		So(avoided(), ShouldBeTrue)

		hint("a", time.Second, 2*slowLife)
		So(avoided(), ShouldBeFalse)
		s.loadOf("a").sent.Add(1)
		So(avoided(), ShouldBeTrue)
		s.loadOf("a").sent.Add(-1)

		hint("a", 150*time.Millisecond, 0)
		s.findSlow(v)
		So(avoided(), ShouldBeFalse)
	})
}
