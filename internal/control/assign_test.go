package control

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/view"
)

func someTargets(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("t%02d", i)
	}
	return out
}

// A target must have one sender at a time, so a home may change only when the
// former one has given up, has died or cannot hold a permit any more.
func TestAssignmentOfHomes(t *testing.T) {
	const now = 10 * time.Second
	at := func(until time.Duration, callers map[string]caller, alive ...string) []newHome {
		return assignment{
			targets: []string{"t0"}, homes: map[string]view.Home{"t0": {Host: "a", Epoch: 1}},
			expires: map[string]time.Duration{"t0": until}, callers: callers, alive: alive,
		}.choose(now)
	}
	Convey("the home of a target", t, func() {
		Convey("stays while its host is alive, also with an old permit", func() {
			So(at(now+time.Second, nil, "a", "b"), ShouldBeEmpty)
			So(at(now-time.Second, nil, "a", "b"), ShouldBeEmpty)
		})
		Convey("stays with a silent host until the permit has ended", func() {
			So(at(now+1, map[string]caller{"a": {}}, "b"), ShouldBeEmpty)
			So(at(now, map[string]caller{"a": {}}, "b"), ShouldResemble, []newHome{{"t0", "b"}})
		})
		Convey("leaves a dead host at once", func() {
			So(at(now+time.Second, map[string]caller{"a": {dead: true}}, "b"), ShouldResemble, []newHome{{"t0", "b"}})
		})
		Convey("leaves a host that gave it up", func() {
			So(at(0, map[string]caller{"a": {stopping: true}}, "b"), ShouldResemble, []newHome{{"t0", "b"}})
		})
	})
	Convey("targets without homes are spread evenly and the same way each time", t, func() {
		in := assignment{targets: someTargets(10), alive: []string{"a", "b", "c"}}
		first, load := in.choose(now), map[string]int{}
		for _, x := range first {
			load[x.host]++
		}
		So(len(first), ShouldEqual, 10)
		for _, host := range in.alive {
			So(load[host], ShouldBeBetweenOrEqual, 3, 4)
		}
		So(in.choose(now), ShouldResemble, first)
	})
}

// A new leader that assigns homes before it has heard all hosts could give a
// target a second sender.
func TestNewLeaderWaitsForAllHosts(t *testing.T) {
	Convey("each host must have called since, or be dead", t, func() {
		hosts := []string{"a", "b"}
		So(allHeard(hosts, map[string]caller{"a": {last: 5}}, 3), ShouldBeFalse)
		So(allHeard(hosts, map[string]caller{"a": {last: 5}, "b": {last: 3}}, 3), ShouldBeFalse)
		So(allHeard(hosts, map[string]caller{"a": {last: 5}, "b": {last: 4}}, 3), ShouldBeTrue)
		So(allHeard(hosts, map[string]caller{"a": {last: 5}, "b": {dead: true}}, 3), ShouldBeTrue)
	})
}

// A leader that was paused does not know the permits that others renewed
// meanwhile, and a host that was restarted would never get a target again.
func TestAssignmentAfterPausesAndRestarts(t *testing.T) {
	const now = 10 * time.Second
	Convey("an old permit of a silent host counts until a stalled leader's floor", t, func() {
		in := assignment{
			targets: []string{"t0"}, homes: map[string]view.Home{"t0": {Host: "a", Epoch: 1}},
			expires: map[string]time.Duration{"t0": now - time.Second}, alive: []string{"b"}, floor: now + time.Second,
		}
		So(in.choose(now), ShouldBeEmpty)
		So(in.choose(now+time.Second), ShouldResemble, []newHome{{"t0", "b"}})
		in.expires = map[string]time.Duration{}
		So(in.choose(now), ShouldResemble, []newHome{{"t0", "b"}})
	})
	Convey("a host with two targets less gets one", t, func() {
		in := assignment{targets: someTargets(4), homes: map[string]view.Home{}, alive: []string{"a", "b"}}
		for _, name := range in.targets {
			in.homes[name] = view.Home{Host: "a"}
		}
		first := in.yield()
		So(in.targets, ShouldContain, first)
		in.homes[first] = view.Home{Host: "b"}
		second := in.yield()
		So(second, ShouldNotBeBlank)
		in.homes[second] = view.Home{Host: "b"}
		So(in.yield(), ShouldBeBlank)
	})
}
