package listener

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// serve answers each connection with one byte and returns the error of Accept.
func serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer func() { _ = c.Close() }()
			var b [1]byte
			if _, err := c.Read(b[:]); err == nil {
				_, _ = c.Write(b[:]) // the caller checks
			}
		}()
	}
}

// exchange sends a byte on a new connection. It reports whether the connection was
// made, and the first error after that.
func exchange(addr string) (connected bool, err error) {
	c, err := net.DialTimeout("tcp", addr, 3*time.Second)
	if err != nil {
		return false, err
	}
	defer func() { _ = c.Close() }()
	b := []byte{1}
	if _, err = c.Write(b); err == nil {
		if err = c.SetReadDeadline(time.Now().Add(3 * time.Second)); err == nil {
			_, err = c.Read(b)
		}
	}
	return true, err
}

// TestDrainResetsNoConnection guards against connections that are completed while
// the listener stops and reset without a response.
func TestDrainResetsNoConnection(t *testing.T) {
	Convey("while callers connect all the time, each connection that is made gets its response", t, func() {
		for range 4 {
			l, err := Listen("127.0.0.1:0")
			So(err, ShouldBeNil)
			served := make(chan error, 1)
			go func() { served <- serve(l) }()
			var made, failed atomic.Int64
			var wg sync.WaitGroup
			for range 32 {
				wg.Go(func() {
					for {
						connected, err := exchange(l.Addr().String())
						if !connected {
							return
						}
						made.Add(1)
						if err != nil {
							failed.Add(1)
							t.Log(err)
						}
					}
				})
			}
			time.Sleep(20 * time.Millisecond)
			So(l.Drain(), ShouldBeNil)
			wg.Wait()
			So(made.Load(), ShouldBeGreaterThan, 32)
			So(failed.Load(), ShouldEqual, 0)
			So(errors.Is(<-served, net.ErrClosed), ShouldBeTrue)
			<-l.Closed()
			_, err = exchange(l.Addr().String())
			So(err, ShouldNotBeNil)
		}
	})
}
