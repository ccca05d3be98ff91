package forward

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
)

// Guards against unkeyed requests that go to a slow target in this host's domain,
// with ten times the latency of the others, for as long as it has free slots.
func TestUnkeyedRequestsAvoidSlowTargets(t *testing.T) {
	Convey("a slow target is left out, tried again later, and never all of them", t, func() {
		s := &Server{}
		v := &view.View{State: journal.NewState()}
		v.State.Config = &contract.State{
			Workloads: map[string]contract.Workload{"w": {Name: "w"}}, Targets: map[string]contract.Target{},
		}
		all := &candidates{sameDomain: map[string][]string{"w": {"a"}}, otherDomains: map[string][]string{"w": {"b", "c"}}}
		hint := func(name string, latency, age time.Duration) {
			v.State.Config.Targets[name] = contract.Target{Name: name, Workload: "w"}
			s.loadOf(name).hint.Store(&timedHint{loadHint{latency: latency}, time.Now().Add(-age)})
		}
		avoided := func() bool {
			excluded := 0
			for range 100 {
				if len(s.excludeSlow(all, "w").sameDomain) == 0 {
					excluded++
				}
			}
			return excluded > 50
		}
		hint("a", time.Second, 0)
		hint("b", 100*time.Millisecond, 0)
		hint("c", 120*time.Millisecond, 0)
		s.updateSlowTargets(v)
		So(avoided(), ShouldBeTrue)

		hint("a", time.Second, 2*slowTTL)
		So(avoided(), ShouldBeFalse)
		s.loadOf("a").inFlight.Add(1)
		So(avoided(), ShouldBeTrue)
		s.loadOf("a").inFlight.Add(-1)

		hint("a", 150*time.Millisecond, 0)
		s.updateSlowTargets(v)
		So(avoided(), ShouldBeFalse)
	})
}
