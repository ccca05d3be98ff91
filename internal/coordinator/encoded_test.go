package coordinator

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/internal/peer"
)

// TestEncodedMessages guards against messages to all hosts that differ from those that the
// library would send, or that each connection encodes again.
func TestEncodedMessages(t *testing.T) {
	Convey("a message that was encoded once is a notification with the same parameters", t, func() {
		near, far := net.Pipe()
		got := make(chan *jsonrpc2.Request, 1)
		conn := jsonrpc2.NewConn(context.Background(), peer.NewStream(far), jsonrpc2.HandlerWithError(func(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
			got <- r
			return nil, nil
		}), discardLog)
		defer func() { _ = conn.Close() }()
		for _, name := range []string{"host \"1\" <&>", string(make([]byte, 2*minPackedBytes))} {
			m := encode(methodOffer, map[string]string{"name": name})
			So(writeMessage(near, peer.NewStream(near), m), ShouldBeNil)
			select {
			case r := <-got:
				So(r.Notif, ShouldBeTrue)
				So(r.Method, ShouldEqual, m.method)
				So(string(*r.Params), ShouldEqual, string(m.params))
			case <-time.After(time.Second):
				t.Fatal("the message did not arrive")
			}
		}
	})
	Convey("sending it again allocates nothing that grows with it", t, func() {
		near, far := net.Pipe()
		go func() {
			b := make([]byte, 1<<16)
			for {
				if _, err := far.Read(b); err != nil {
					return
				}
			}
		}()
		stream, m := peer.NewStream(near), encode(methodRelay, make([]int, minPackedBytes/4))
		So(testing.AllocsPerRun(100, func() { _ = writeMessage(near, stream, m) }), ShouldBeLessThan, 10)
	})
}
