package slots

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
)

func testHosts(n int) []Host {
	list := make([]Host, n)
	for i := range list {
		list[i] = Host{Address: fmt.Sprint("10.0.0.", i, ":7"), Domain: fmt.Sprint("d", i%3), Cores: 0.16}
	}
	return list
}

// TestCoordinatorOf guards against hosts that ask different coordinators, and against a host
// that leaves and moves the pools of others.
func TestCoordinatorOf(t *testing.T) {
	const pools = 3000
	pool := func(i int) string { return fmt.Sprint("w/t", i) }
	Convey("Given 30 hosts in three domains", t, func() {
		hosts := testHosts(30)
		Convey("the order of the list has no effect", func() {
			reversed := make([]Host, len(hosts))
			for i, h := range hosts {
				reversed[len(hosts)-1-i] = h
			}
			for i := range pools {
				for _, domain := range []string{"", "d1", "none"} {
					if a, b := CoordinatorOf(pool(i), domain, hosts), CoordinatorOf(pool(i), domain, reversed); a != b || a == "" {
						t.Fatalf("pool %d: %q and %q", i, a, b)
					}
				}
			}
		})
		Convey("hosts of the target's domain go first", func() {
			domains := map[string]string{}
			for _, h := range hosts {
				domains[h.Address] = h.Domain
			}
			for i := range pools {
				if address := CoordinatorOf(pool(i), "d1", hosts); domains[address] != "d1" {
					t.Fatalf("pool %d: %s", i, address)
				}
			}
		})
		Convey("only the pools of a host that goes move", func() {
			gone := hosts[7]
			rest := append(append([]Host{}, hosts[:7]...), hosts[8:]...)
			moved := 0
			for i := range pools {
				before, after := CoordinatorOf(pool(i), "", hosts), CoordinatorOf(pool(i), "", rest)
				if before == gone.Address {
					moved++
				} else if before != after {
					t.Fatalf("pool %d moved from %s to %s", i, before, after)
				}
			}
			So(moved, ShouldBeBetween, 0, 2*pools/len(hosts))
		})
		Convey("a host with twice the processor share has about four times the pools", func() {
			hosts[3].Cores *= 2
			n := 0
			for i := range pools {
				if CoordinatorOf(pool(i), "", hosts) == hosts[3].Address {
					n++
				}
			}
			expected := 4.0 / 33 * pools
			So(float64(n), ShouldBeBetween, 0.75*expected, 1.25*expected)
		})
		Convey("a host that states an impossible share takes no more than a large host", func() {
			hosts[3].Cores, hosts[4].Cores = 1e300, -1
			hosts[5].Cores = maxCores
			n := map[string]int{}
			for i := range pools {
				n[CoordinatorOf(pool(i), "", hosts)]++
			}
			So(n[hosts[5].Address], ShouldBeGreaterThan, pools/3)
		})
	})
	Convey("Without hosts there is none", t, func() {
		So(CoordinatorOf("w", "d", nil), ShouldBeEmpty)
	})
}

// TestEnabled guards against shared queues in deployments whose objectives leave no time for
// them.
func TestEnabled(t *testing.T) {
	state := func(routes ...fleet.Route) *fleet.DesiredState { return &fleet.DesiredState{Routes: routes} }
	urgent := fleet.Route{Priority: 0, Objective: time.Second}
	Convey("They need a route of priority 0 and objectives of at least 600 ms", t, func() {
		So(Enabled(nil), ShouldBeFalse)
		So(Enabled(state()), ShouldBeFalse)
		So(Enabled(state(urgent)), ShouldBeTrue)
		So(Enabled(state(fleet.Route{Priority: 1, Objective: time.Second})), ShouldBeFalse)
		So(Enabled(state(urgent, fleet.Route{Priority: 1, Objective: MinObjective})), ShouldBeTrue)
		So(Enabled(state(urgent, fleet.Route{Priority: 1, Objective: MinObjective - 1})), ShouldBeFalse)
	})
}
