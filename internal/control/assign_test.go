package control

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/view"
)

func targetNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("t%02d", i)
	}
	return out
}

// A target must have one sender at a time. So its home may change only when the
// former home has given it up, is dead or can no longer have a valid permit.
func TestAssignmentOfHomes(t *testing.T) {
	const now = 10 * time.Second
	choose := func(permitEnd time.Duration, callers map[string]caller, alive ...string) []homeChoice {
		return assignment{
			targets: []string{"t0"}, homes: map[string]view.Home{"t0": {Host: "a", Epoch: 1}},
			permitEnds: map[string]time.Duration{"t0": permitEnd}, callers: callers, alive: alive,
		}.chooseHomes(now)
	}
	Convey("the home of a target", t, func() {
		Convey("stays while its host is alive, also with an old permit", func() {
			So(choose(now+time.Second, nil, "a", "b"), ShouldBeEmpty)
			So(choose(now-time.Second, nil, "a", "b"), ShouldBeEmpty)
		})
		Convey("stays with a silent host until the permit has ended", func() {
			So(choose(now+1, map[string]caller{"a": {}}, "b"), ShouldBeEmpty)
			So(choose(now, map[string]caller{"a": {}}, "b"), ShouldResemble, []homeChoice{{"t0", "b"}})
		})
		Convey("leaves a dead host at once", func() {
			So(choose(now+time.Second, map[string]caller{"a": {dead: true}}, "b"), ShouldResemble, []homeChoice{{"t0", "b"}})
		})
		Convey("leaves a host that gave it up", func() {
			So(choose(0, map[string]caller{"a": {stopping: true}}, "b"), ShouldResemble, []homeChoice{{"t0", "b"}})
		})
	})
	Convey("targets without homes are spread evenly and the same way each time", t, func() {
		in := assignment{targets: targetNames(10), alive: []string{"a", "b", "c"}}
		first, load := in.chooseHomes(now), map[string]int{}
		for _, x := range first {
			load[x.host]++
		}
		So(len(first), ShouldEqual, 10)
		for _, host := range in.alive {
			So(load[host], ShouldBeBetweenOrEqual, 3, 4)
		}
		So(in.chooseHomes(now), ShouldResemble, first)
	})
}

// A new leader that assigns homes before all hosts have called it can give a
// target a second sender.
func TestNewLeaderWaitsForAllHosts(t *testing.T) {
	Convey("each host must have called since, or be dead", t, func() {
		hosts := []string{"a", "b"}
		So(allCalledSince(hosts, map[string]caller{"a": {lastCall: 5}}, 3), ShouldBeFalse)
		So(allCalledSince(hosts, map[string]caller{"a": {lastCall: 5}, "b": {lastCall: 3}}, 3), ShouldBeFalse)
		So(allCalledSince(hosts, map[string]caller{"a": {lastCall: 5}, "b": {lastCall: 4}}, 3), ShouldBeTrue)
		So(allCalledSince(hosts, map[string]caller{"a": {lastCall: 5}, "b": {dead: true}}, 3), ShouldBeTrue)
	})
}

// A leader that was paused does not know the permits that others renewed
// meanwhile. A host that was restarted must get targets again, although none of
// them needs a new home.
func TestAssignmentAfterPausesAndRestarts(t *testing.T) {
	const now = 10 * time.Second
	Convey("an old permit of a silent host counts until a stalled leader's floor", t, func() {
		in := assignment{
			targets: []string{"t0"}, homes: map[string]view.Home{"t0": {Host: "a", Epoch: 1}},
			permitEnds: map[string]time.Duration{"t0": now - time.Second}, alive: []string{"b"}, unknownPermitEnd: now + time.Second,
		}
		So(in.chooseHomes(now), ShouldBeEmpty)
		So(in.chooseHomes(now+time.Second), ShouldResemble, []homeChoice{{"t0", "b"}})
		in.permitEnds = map[string]time.Duration{}
		So(in.chooseHomes(now), ShouldResemble, []homeChoice{{"t0", "b"}})
	})
	Convey("a host with two targets less gets one", t, func() {
		in := assignment{targets: targetNames(4), homes: map[string]view.Home{}, alive: []string{"a", "b"}}
		for _, name := range in.targets {
			in.homes[name] = view.Home{Host: "a"}
		}
		first := in.targetToYield()
		So(in.targets, ShouldContain, first)
		in.homes[first] = view.Home{Host: "b"}
		second := in.targetToYield()
		So(second, ShouldNotBeBlank)
		in.homes[second] = view.Home{Host: "b"}
		So(in.targetToYield(), ShouldBeBlank)
	})
}
