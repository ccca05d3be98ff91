package coordinator

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/internal/peer"
)

// TestRemoteClock guards against times of another host that look younger than they are.
func TestRemoteClock(t *testing.T) {
	Convey("nothing is told before the clock was learned", t, func() {
		_, ok := new(remoteClock).earliestLocal(time.Second, time.Second)
		So(ok, ShouldBeFalse)
	})
	Convey("a reply that was delayed makes times older by the way there at most", t, func() {
		var r remoteClock
		r.observe(10*time.Second, 100*time.Second+20*time.Millisecond) // 20 ms in transit
		at, _ := r.earliestLocal(10*time.Second, 101*time.Second)
		So(at, ShouldEqual, 10*time.Second+980*time.Millisecond)
		r.observe(11*time.Second, 101*time.Second+500*time.Millisecond) // a slower reply
		at, _ = r.earliestLocal(10*time.Second, 101*time.Second)
		So(at, ShouldEqual, 10*time.Second+980*time.Millisecond)
	})
	Convey("no time is placed later than it was, whatever the delays and the drift", t, func() {
		wrong := 0
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 0))
			offset := time.Duration(random.Int64N(int64(time.Hour)))
			rate := 1 + (2*random.Float64()-1)*maxClockDrift
			remote := func(now time.Duration) time.Duration { return offset + time.Duration(rate*float64(now)) }
			var r remoteClock
			for now := time.Duration(0); now < time.Hour; now += time.Duration(random.Int64N(int64(time.Minute))) {
				r.observe(now, remote(now+time.Duration(random.Int64N(int64(time.Second)))))
				later := now + time.Duration(random.Int64N(int64(10*time.Second)))
				at, ok := r.earliestLocal(later, remote(later))
				// A microsecond of rounding error is allowed.
				if !ok || at > later+time.Microsecond || at < later-2*time.Second {
					wrong++
				}
			}
		}
		So(wrong, ShouldEqual, 0)
	})
}

// TestCallsAfterAQuietTime guards against calls to the leader that fail on a host that has
// sent nothing for a while, because the deadline of its last notification has passed.
func TestCallsAfterAQuietTime(t *testing.T) {
	Convey("a host that sent a notification long ago can still read the leader's clock", t, func() {
		near, far := net.Pipe()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		reply := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { return readClock(), nil })
		jsonrpc2.NewConn(ctx, peer.NewStream(far), reply, discardLog)
		k := &leaderLink{nc: near, conn: jsonrpc2.NewConn(ctx, peer.NewStream(near), reply, discardLog)}
		So(notify(ctx, k.nc, k.conn, methodLeaving, leavingMessage{}), ShouldBeNil)
		time.Sleep(silentAfter + 100*time.Millisecond)
		var clock clockReading
		So(k.call(ctx, methodClock, struct{}{}, &clock), ShouldBeNil)
		So(clock.ClockUS, ShouldBeGreaterThan, 0)
	})
}
