package slots

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/placement"
)

// start is the time at which the tests begin.
const start = time.Hour

// testConfig is the configuration of the daemon's coordinator.
var testConfig = placement.Config{MaxRequestsPerSlot: 1, WaitWhenLate: true, MaxQueueLength: 4096}

// testTargets returns targets of the unkeyed workload w.
func testTargets(n, slots int) []placement.Target {
	list := make([]placement.Target, n)
	for i := range list {
		id := fmt.Sprint("t", i)
		list[i] = placement.Target{ID: id, Incarnation: fleet.Incarnation{ID: id, Born: 1}, Workload: "w", Domain: "d", Slots: slots, Usable: true}
	}
	return list
}

func newTestCoordinator(targets, slots int) *Coordinator {
	c := NewCoordinator(testConfig)
	c.SetTargets(testTargets(targets, slots))
	return c
}

// ask returns an ask of host h with 10 s left.
func ask(now time.Duration, id uint64, priority int) Ask {
	return Ask{Host: "h", ID: id, Domain: "d", Request: placement.Request{Workload: "w", Route: "r", Priority: priority, Deadline: now + 10*time.Second}}
}

// ended is the outcome of a request that was served.
func ended() placement.Outcome {
	return placement.Outcome{ResponseTime: 100 * time.Millisecond, ColdRemaining: -1}
}

// ids returns the IDs of the answers that grant a slot.
func ids(answers []Answer) []uint64 {
	var list []uint64
	for _, a := range answers {
		if a.Decision.Action == placement.Send {
			list = append(list, a.ID)
		}
	}
	return list
}

// TestLeases guards against slots that are granted twice or never again.
func TestLeases(t *testing.T) {
	now := start
	Convey("Given a target with two slots", t, func() {
		c := newTestCoordinator(1, 2)
		So(ids(c.Ask(now, ask(now, 1, 1))), ShouldResemble, []uint64{1})
		So(ids(c.Ask(now, ask(now, 2, 1))), ShouldResemble, []uint64{2})
		So(c.Ask(now, ask(now, 3, 1)), ShouldBeEmpty)

		Convey("the next slot goes to the most urgent ask, then to the one with the earlier deadline", func() {
			So(c.Ask(now, ask(now, 4, 0)), ShouldBeEmpty)
			earlier := ask(now, 5, 1)
			earlier.Request.Deadline -= time.Second
			So(c.Ask(now, earlier), ShouldBeEmpty)
			So(ids(c.End(now, "h", 1, ended())), ShouldResemble, []uint64{4})
			So(ids(c.End(now, "h", 2, ended())), ShouldResemble, []uint64{5})
			So(ids(c.End(now, "h", 4, ended())), ShouldResemble, []uint64{3})
		})
		Convey("a duplicate of an ask or of an end has no effect", func() {
			So(c.Ask(now, ask(now, 1, 1)), ShouldBeEmpty)
			So(c.Ask(now, ask(now, 3, 1)), ShouldBeEmpty)
			So(c.Stats().Waiting, ShouldEqual, 1)
			So(ids(c.End(now, "h", 1, ended())), ShouldResemble, []uint64{3})
			So(c.Ask(now, ask(now, 4, 1)), ShouldBeEmpty)
			So(c.End(now, "h", 1, ended()), ShouldBeEmpty)
			So(c.Stats(), ShouldResemble, Stats{Granted: 3, Waiting: 1, Leased: 2})
		})
		Convey("an ask that is withdrawn is not granted, and leaves nothing behind", func() {
			So(c.HasWaiting("h"), ShouldBeTrue)
			So(c.Withdraw(now, "h", 3), ShouldBeEmpty)
			So(c.HasWaiting("h"), ShouldBeFalse)
			So(c.End(now, "h", 1, ended()), ShouldBeEmpty)
			So(c.waitingOf, ShouldBeEmpty)
			So(c.asks, ShouldBeEmpty)
		})
		Convey("a lease whose request was not sent passes on", func() {
			So(ids(c.Withdraw(now, "h", 1)), ShouldResemble, []uint64{3})
		})
		Convey("leases end by themselves within the slack after the deadline", func() {
			c.Withdraw(now, "h", 3)
			late := now + 10*time.Second + leaseSlack - time.Millisecond
			So(c.Tick(late), ShouldBeEmpty)
			So(c.Stats().Leased, ShouldEqual, 2)
			c.Tick(late + expiryInterval)
			So(c.Stats().Leased, ShouldEqual, 0)
			So(c.Stats().Expired, ShouldEqual, 2)
		})
		Convey("a host whose connection ended loses its asks at once and its leases soon", func() {
			other := ask(now, 1, 1)
			other.Host = "other"
			So(c.Ask(now, other), ShouldBeEmpty)
			c.DropHost(now, "h")
			So(c.Stats().Waiting, ShouldEqual, 1)
			So(c.Tick(now+lostHostLease-time.Millisecond), ShouldBeEmpty)
			granted := c.Tick(now + lostHostLease + expiryInterval)
			So(ids(granted), ShouldResemble, []uint64{1})
			So(granted[0].Host, ShouldEqual, "other")
		})
		Convey("an ask that can no longer end in time is refused, with a time to come back", func() {
			var refused []Answer
			for at := now; at < now+10*time.Second && len(refused) == 0; at += 20 * time.Millisecond {
				refused = append(refused, c.Tick(at)...)
			}
			So(refused, ShouldHaveLength, 1)
			So(refused[0].ID, ShouldEqual, 3)
			So(refused[0].Decision.Action, ShouldEqual, placement.Refuse)
			So(refused[0].Decision.RetryAfter, ShouldBeGreaterThan, 0)
			So(c.Refusals(), ShouldResemble, map[placement.Reason]uint64{placement.ReasonDeadline: 1})
		})
		Convey("the waiting asks are described", func() {
			So(c.Ask(now, ask(now, 4, 0)), ShouldBeEmpty)
			q := c.Queues(now+time.Second, 32)
			So(q, ShouldResemble, Queues{Longest: []PoolQueue{{"w", 2}}, ByPriority: map[int]int{0: 1, 1: 1}, OldestAge: time.Second})
			So(c.Queues(now, 0).Longest, ShouldBeEmpty)
		})
	})
	Convey("An ask of an unknown pool or target is refused for lack of a target", t, func() {
		c := newTestCoordinator(1, 2)
		for _, r := range []placement.Request{{Workload: "x"}, {Target: "x"}} {
			r.Deadline = now + time.Second
			answers := c.Ask(now, Ask{Host: "h", ID: 1, Request: r})
			So(answers, ShouldHaveLength, 1)
			So(answers[0].Decision.Reason, ShouldEqual, placement.ReasonNoTarget)
		}
	})
	Convey("An ask whose deadline has passed is refused", t, func() {
		c := newTestCoordinator(1, 1)
		c.Ask(now, ask(now, 1, 1))
		late := ask(now, 2, 1)
		late.Request.Deadline = now - time.Second
		So(c.Ask(now, late)[0].Decision.Action, ShouldEqual, placement.Refuse)
	})
}

// TestWaitingAsksOfOneHost guards against a host that fills the queue for all others.
func TestWaitingAsksOfOneHost(t *testing.T) {
	Convey("A host with too many waiting asks is refused more, others are not", t, func() {
		c := newTestCoordinator(1, 1)
		for id := range uint64(maxWaitingPerHost + 1) {
			a := ask(start, id, 1)
			a.Request.Deadline = start + time.Hour
			So(len(c.Ask(start, a)), ShouldBeLessThanOrEqualTo, 1)
		}
		So(c.Stats().Waiting, ShouldEqual, maxWaitingPerHost)
		a := ask(start, 1<<20, 0)
		answers := c.Ask(start, a)
		So(answers, ShouldHaveLength, 1)
		So(answers[0].Decision.Reason, ShouldEqual, placement.ReasonQueueFull)
		So(answers[0].Decision.RetryAfter, ShouldBeGreaterThan, 0)
		a.Host = "other"
		So(c.Ask(start, a), ShouldBeEmpty)
		So(c.HasWaiting("other"), ShouldBeTrue)
	})
}

// TestReplacedTarget guards against leases of a former process of a target: when they ended,
// the slots of the next process were granted once more, and when the target was missing from
// the list for a moment its slots were granted twice.
func TestReplacedTarget(t *testing.T) {
	now := start
	Convey("Given a target whose slots are leased", t, func() {
		c := newTestCoordinator(1, 2)
		c.Ask(now, ask(now, 1, 1))
		c.Ask(now, ask(now, 2, 1))

		Convey("the end of these leases does not free slots of the next process", func() {
			next := testTargets(1, 2)
			next[0].Incarnation.Born = 2
			c.SetTargets(next)
			So(ids(c.Ask(now, ask(now, 3, 1))), ShouldResemble, []uint64{3})
			So(ids(c.Ask(now, ask(now, 4, 1))), ShouldResemble, []uint64{4})
			So(c.Ask(now, ask(now, 5, 1)), ShouldBeEmpty)
			So(c.End(now, "h", 1, placement.Outcome{Failed: true, ColdRemaining: -1}), ShouldBeEmpty)
			So(c.Withdraw(now, "h", 2), ShouldBeEmpty)
			So(ids(c.End(now, "h", 3, ended())), ShouldResemble, []uint64{5})
		})
		Convey("they count again when the target comes back", func() {
			c.SetTargets(nil)
			c.SetTargets(testTargets(1, 2))
			So(c.Ask(now, ask(now, 3, 1)), ShouldBeEmpty)
			So(ids(c.End(now, "h", 1, ended())), ShouldResemble, []uint64{3})
		})
	})
}

// TestOtherSenders guards against two coordinators of a pool, after a change of the hosts, that
// do not see each other's requests.
func TestOtherSenders(t *testing.T) {
	now := start
	Convey("Given a target with four slots", t, func() {
		c := newTestCoordinator(1, 4)
		So(ids(c.Ask(now, ask(now, 1, 1))), ShouldResemble, []uint64{1})
		report := func(running int) {
			o := ended()
			o.Load = &placement.Load{Running: running, Slots: 4, Slowdown: 1}
			c.End(now, "h", 1, o)
		}
		Convey("requests of others that it reports take slots", func() {
			report(5) // the one that ends, the tolerated one, and three others
			So(ids(c.Ask(now, ask(now, 2, 1))), ShouldResemble, []uint64{2})
			So(c.Ask(now, ask(now, 3, 1)), ShouldBeEmpty)
		})
		Convey("one request more than is leased takes none", func() {
			report(2)
			for id := uint64(2); id < 6; id++ {
				So(ids(c.Ask(now, ask(now, id, 1))), ShouldResemble, []uint64{id})
			}
		})
	})
}
