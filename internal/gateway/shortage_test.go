package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// useUpDescriptors takes all descriptors of the process until the returned function is
// called.
func useUpDescriptors() (giveBack func()) {
	const lowDescriptors = 512
	var old syscall.Rlimit
	So(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old), ShouldBeNil)
	limit := old
	limit.Cur = lowDescriptors
	So(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit), ShouldBeNil)
	var fill []*os.File
	for {
		f, err := os.Open(os.DevNull)
		if err != nil {
			break
		}
		fill = append(fill, f)
	}
	return func() {
		for _, f := range fill {
			_ = f.Close() // frees the descriptor
		}
		So(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old), ShouldBeNil)
	}
}

// TestShortageOfTheHostIsNotTheTargets guards against a host that takes its own lack of
// descriptors for targets that cannot be reached, and goes on without them.
func TestShortageOfTheHostIsNotTheTargets(t *testing.T) {
	const callers = 8
	Convey("Given a host without a descriptor for a connection to its target", t, func() {
		r := newHarness(t, 1)
		conns := make([]net.Conn, callers)
		for i := range conns {
			nc, err := net.Dial("tcp", r.address)
			So(err, ShouldBeNil)
			defer func() { _ = nc.Close() }()
			So(nc.SetDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
			conns[i] = nc
		}
		So(eventuallyTrue(func() bool { return r.gw.OpenConnections() == callers }), ShouldBeTrue)
		giveBack := useUpDescriptors()
		given := false
		defer func() {
			if !given {
				giveBack()
			}
		}()
		for i, nc := range conns {
			writeString(nc, rawRequest(fmt.Sprint("r", i), "/s/x"))
		}
		time.Sleep(400 * time.Millisecond)
		giveBack()
		given = true
		Convey("the requests are served once there are some again, and the target counts as sound", func() {
			for _, nc := range conns {
				resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
				So(err, ShouldBeNil)
				_, err = io.Copy(io.Discard, resp.Body)
				So(err, ShouldBeNil)
				So(resp.StatusCode, ShouldEqual, http.StatusOK)
			}
			So(r.gw.metrics.sends.Get("connect"), ShouldBeNil)
			So(r.gw.metrics.sends.Get("shortage"), ShouldNotBeNil)
		})
	})
}

func eventuallyTrue(f func() bool) bool {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}
