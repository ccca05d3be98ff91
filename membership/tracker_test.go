package membership

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/provider"
)

const ms = time.Millisecond

func target(name string) Node { return Node{KindTarget, name} }

// watchedTracker returns a tracker whose n targets and two peers responded at 1 ms.
func watchedTracker(n int) *Tracker {
	t := New(DefaultConfig())
	w := Watch{Hosts: []string{"h1", "h2"}}
	for i := range n {
		w.Targets = append(w.Targets, fmt.Sprint("t", i))
	}
	t.Step(1*ms, w)
	for _, name := range w.Targets {
		t.Step(1*ms, Responded{Node: target(name), Incarnation: "a"})
	}
	for _, name := range w.Hosts {
		t.Step(1*ms, Responded{Node: Node{KindHost, name}, Incarnation: "a"})
	}
	return t
}

// failTwice makes two attempts on new connections fail and then advances the time.
func failTwice(t *Tracker, from time.Duration, names ...string) {
	for _, at := range []time.Duration{from, from + 100*ms, from + 400*ms} {
		for _, n := range names {
			if at < from+400*ms {
				t.Step(at, AttemptFailed{Node: target(n), NewConnection: true})
			}
		}
		t.Step(at, Tick{})
	}
}

// TestDeadConnectionIsNotADeadTarget guards against a healthy target that loses
// its shards because an open connection to it is dead.
func TestDeadConnectionIsNotADeadTarget(t *testing.T) {
	Convey("failures on an open connection only ask for a new one", t, func() {
		tr := watchedTracker(4)
		for i := range 5 {
			got := tr.Step(time.Duration(200+100*i)*ms, AttemptFailed{Node: target("t0")})
			So(got, ShouldContain, Redial{target("t0")})
		}
		So(tr.Get(target("t0")).State, ShouldEqual, Suspect)
		got := tr.Step(700*ms, Responded{Node: target("t0"), NewConnection: true, Incarnation: "a"})
		So(got, ShouldContain, DeadConnection{target("t0")})
		So(tr.Get(target("t0")).MayReceiveShards(700*ms), ShouldBeTrue)
	})
	Convey("two failures on new connections make it lost", t, func() {
		tr := watchedTracker(4)
		failTwice(tr, 200*ms, "t0")
		So(tr.Get(target("t0")).State, ShouldEqual, Lost)
		So(tr.Get(target("t1")).State, ShouldEqual, Healthy)
	})
}

// TestFaultOnOwnSide guards against a granter that loses its own network and then
// moves the shards of its whole domain.
func TestFaultOnOwnSide(t *testing.T) {
	Convey("when most targets fail together", t, func() {
		tr := watchedTracker(4)
		failTwice(tr, 200*ms, "t0", "t1", "t2")
		So(tr.LocalFaultAssumed(), ShouldBeTrue)
		So(tr.Get(target("t0")).State, ShouldEqual, Suspect)
		Convey("another granter's confirmation counts, for that target", func() {
			tr.Step(650*ms, PeerReported{Node: target("t0"), Peer: "h1", At: 640 * ms})
			So(tr.Get(target("t0")).State, ShouldEqual, Lost)
			So(tr.Get(target("t1")).State, ShouldEqual, Suspect)
		})
		Convey("another granter that reaches the target outweighs a good endpoint", func() {
			tr.Step(650*ms, PeerReported{Node: target("t0"), Peer: "h1", Reachable: true, At: 640 * ms})
			tr.Step(660*ms, EndpointResponded{SentAt: 650 * ms})
			So(tr.Get(target("t0")).State, ShouldEqual, Suspect)
			So(tr.Get(target("t1")).State, ShouldEqual, Lost)
		})
		Convey("an answer to a request from before the failures shows nothing", func() {
			tr.Step(650*ms, EndpointResponded{SentAt: 150 * ms})
			So(tr.Get(target("t1")).State, ShouldEqual, Suspect)
		})
	})
	Convey("when all peers fail together, a target is not blamed", t, func() {
		tr := watchedTracker(4)
		for _, h := range []string{"h1", "h2"} {
			tr.Step(200*ms, AttemptFailed{Node: Node{KindHost, h}, NewConnection: true})
		}
		failTwice(tr, 200*ms, "t0")
		So(tr.Get(target("t0")).State, ShouldEqual, Suspect)
	})
}

// TestPlatformList guards against a late list of the platform that makes a healthy
// node lost or that delays the detection of a leaving one.
func TestPlatformList(t *testing.T) {
	Convey("the list alone makes nothing lost, but leaving is believed", t, func() {
		tr := watchedTracker(4)
		tr.Step(10*ms, HostsListed{Hosts: []provider.Host{{Name: "t0", State: provider.HostLeaving}}})
		So(tr.Get(target("t0")).State, ShouldEqual, Leaving)
		So(tr.Get(target("t1")).State, ShouldEqual, Healthy)
		So(tr.MayDeclareGone(20*ms, "h1"), ShouldBeFalse)
		tr.Step(30*ms, AnnouncedLeaving{target("t1")})
		tr.Step(31*ms, Responded{Node: target("t1"), Incarnation: "a", TargetState: provider.TargetServing})
		So(tr.Get(target("t1")).State, ShouldEqual, Leaving)
		tr.Step(40*ms, Responded{Node: target("t1"), Incarnation: "b", TargetState: provider.TargetCold})
		So(tr.Get(target("t1")).State, ShouldEqual, Healthy)
	})
}

// TestFlapDamping guards against a target that restarts or returns repeatedly and
// receives shards each time.
func TestFlapDamping(t *testing.T) {
	Convey("the delay doubles from 30 s to 10 min and is forgotten in time", t, func() {
		tr := watchedTracker(4)
		now := time.Second
		var delays []time.Duration
		for i := range 7 {
			tr.Step(now, Responded{Node: target("t0"), Incarnation: fmt.Sprint(i)})
			delays = append(delays, tr.Get(target("t0")).ReadyAt-now)
			now += time.Second
		}
		s := time.Second
		So(delays, ShouldResemble, []time.Duration{30 * s, 60 * s, 120 * s, 240 * s, 480 * s, 600 * s, 600 * s})
		So(tr.Get(target("t0")).MayReceiveShards(now), ShouldBeFalse)
		now += 20 * time.Minute
		tr.Step(now, Responded{Node: target("t0"), Incarnation: "x"})
		So(tr.Get(target("t0")).ReadyAt-now, ShouldEqual, 30*s)
	})
}

// A target that stops responding is lost after two failed attempts on new
// connections.
func ExampleTracker() {
	t := New(DefaultConfig())
	t.Step(0, Watch{Targets: []string{"t1", "t2", "t3"}})
	for _, name := range []string{"t1", "t2", "t3"} {
		t.Step(1*ms, Responded{Node: target(name), Incarnation: "a"})
	}
	t.Step(200*ms, AttemptFailed{Node: target("t1"), NewConnection: true})
	t.Step(250*ms, AttemptFailed{Node: target("t1"), NewConnection: true})
	for _, c := range t.Step(450*ms, Tick{}) {
		fmt.Printf("%+v\n", c)
	}
	// Output:
	// {Node:{Kind:target Name:t1} From:suspect To:lost Reason:failed_attempts}
}
