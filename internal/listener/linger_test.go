package listener

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// connect returns both ends of a new connection.
func connect(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	a, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(); _ = a.Close() })
	return a.(*net.TCPConn), c.(*net.TCPConn)
}

// TestLingeringClose guards against a close that drops what the peer has not received,
// and against one that never ends.
func TestLingeringClose(t *testing.T) {
	const bytes = 300 << 10
	Convey("Given a connection", t, func() {
		near, far := connect(t)
		ended := make(chan Ending, 1)
		linger := func() { go func() { ended <- LingeringClose(near) }() }
		start := time.Now()

		Convey("it ends at once when the peer closes", func() {
			So(far.Close(), ShouldBeNil)
			linger()
			So(<-ended, ShouldEqual, ClosedByPeer)
			So(time.Since(start), ShouldBeLessThan, deliveredTimeout)
		})
		Convey("it waits for a peer that goes on sending and reads late", func() {
			So(far.SetReadBuffer(16<<10), ShouldBeNil)
			go func() { _, _ = near.Write(make([]byte, bytes)); linger() }()
			for range 20 {
				_, err := far.Write(make([]byte, 1000))
				So(err, ShouldBeNil)
				time.Sleep(50 * time.Millisecond)
			}
			n, err := io.Copy(io.Discard, far)
			So(err, ShouldBeNil)
			So(n, ShouldEqual, bytes)
			So(far.Close(), ShouldBeNil)
			So(<-ended, ShouldEqual, ClosedByPeer)
		})
		Convey("it ends soon when the peer has all bytes and stays silent", func() {
			_, err := near.Write([]byte("x"))
			So(err, ShouldBeNil)
			linger()
			So(<-ended, ShouldEqual, Delivered)
			So(time.Since(start), ShouldBeLessThan, lingerTimeout)
		})
		Convey("it ends when the peer neither reads nor closes", func() {
			So(far.SetReadBuffer(4<<10), ShouldBeNil)
			So(near.SetWriteDeadline(time.Now().Add(100*time.Millisecond)), ShouldBeNil)
			_, err := near.Write(make([]byte, 32<<20))
			So(err, ShouldNotBeNil) // the send buffer is full
			linger()
			So(<-ended, ShouldEqual, TimedOut)
			So(time.Since(start), ShouldBeLessThan, lingerTimeout+time.Second)
		})
		Convey("it reports a connection that had ended", func() {
			So(near.Close(), ShouldBeNil)
			So(LingeringClose(near), ShouldEqual, Broken)
		})
	})
}
