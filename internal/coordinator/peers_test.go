package coordinator

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"
)

// TestLeadEndsWhileHostsConnect guards against a race at the end of a term with a
// connection whose hello is handled before its setup has ended (race detector).
func TestLeadEndsWhileHostsConnect(t *testing.T) {
	Convey("all connections are given up at any moment of their set-up", t, func() {
		c := New(Config{Host: "h", Log: hclog.NewNullLogger()})
		c.leading.Store(true)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var hosts sync.WaitGroup
		for range 200 {
			near, far := net.Pipe()
			hosts.Go(func() { c.servePeer(ctx, far) })
			hosts.Go(func() {
				m := map[string]any{"jsonrpc": "2.0", "id": 1, "method": methodHello, "params": helloMessage{Host: "x", Protocol: protocolVersion}}
				_ = json.NewEncoder(near).Encode(m) // the leader may have closed the connection
				c.peers.closeAll()
				_ = near.Close() // the host leaves
			})
		}
		hosts.Wait()
		So(c.peers.size(), ShouldEqual, 0)
	})
}
