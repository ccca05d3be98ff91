package listener

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// lowDescriptors is a limit of descriptors that a test uses up quickly.
const lowDescriptors = 256

// TestAcceptWithoutDescriptors guards against a listener that takes no connection any more
// after the process had used up its descriptors for a moment.
func TestAcceptWithoutDescriptors(t *testing.T) {
	Convey("Given a process without a descriptor left", t, func() {
		l, err := Listen("127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		var failures atomic.Int64
		l.OnAcceptError(func(err error, pause time.Duration) { failures.Add(1) })
		accepted := make(chan error, 1)
		caller, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer func() { _ = caller.Close() }()

		var old syscall.Rlimit
		So(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old), ShouldBeNil)
		limit := old
		limit.Cur = lowDescriptors
		So(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit), ShouldBeNil)
		restored := false
		restore := func() {
			if !restored {
				restored = true
				So(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old), ShouldBeNil)
			}
		}
		defer restore()
		var fill []*os.File
		for {
			f, err := os.Open("/dev/null")
			if err != nil {
				break
			}
			fill = append(fill, f)
		}
		go func() {
			c, err := l.Accept()
			if err == nil {
				err = c.Close()
			}
			accepted <- err
		}()
		time.Sleep(100 * time.Millisecond)
		count := failures.Load()
		for _, f := range fill {
			_ = f.Close() // frees the descriptors
		}
		restore()

		Convey("it accepts the connection once there is one", func() {
			So(count, ShouldBeGreaterThan, 0)
			So(count, ShouldBeLessThan, 20)
			select {
			case err := <-accepted:
				So(err, ShouldBeNil)
			case <-time.After(2 * maxAcceptPause):
				t.Fatal("the connection was not accepted")
			}
		})
	})
	Convey("The end of the listener does not pass", t, func() {
		So(Passes(syscall.EMFILE), ShouldBeTrue)
		So(Passes(&net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ECONNABORTED)}), ShouldBeTrue)
		So(Passes(net.ErrClosed), ShouldBeFalse)
		So(Passes(os.ErrDeadlineExceeded), ShouldBeFalse)
		So(Passes(syscall.EBADF), ShouldBeFalse)
	})
}
