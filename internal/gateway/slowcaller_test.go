package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/platform/standin"
)

const (
	// slowBufferBytes is the receive buffer of slow callers. A small one makes the kernel
	// announce room often, as on a link with small segments.
	slowBufferBytes = 4 << 10
	// unreadLimit is how long a target lets a response stay unread.
	unreadLimit = 2 * time.Second
)

// smallHostMB is the memory of the smallest host.
const smallHostMB = 144

// newSmallHarness returns a harness of a host with the memory of the smallest one.
func newSmallHarness(t *testing.T, prepare func(*Gateway)) *harness {
	return newHarnessWith(t, 0, func(s *fakeDeployment) Deployment { return s }, smallHostMB, prepare)
}

// patience counts what targets do with responses that callers read slowly.
type patience struct {
	// cut counts responses that were cut off, written the bytes of bodies that left a target.
	cut, written atomic.Int64
}

// patientTarget answers /s/BYTES and /o/BYTES with a body of that size. It cuts a response off of
// which nothing is read for unreadLimit. x counts these.
func (r *harness) patientTarget(t *testing.T, id string, x *patience) {
	r.announceTarget(fleet.Target{ID: id, Workload: "w", Domain: "d", Slots: 400, Address: rawTarget(t, func(nc net.Conn, _, _ int, req *http.Request) {
		_ = nc.(*net.TCPConn).SetWriteBuffer(16 << 10) // so that it notices what is not read
		var size int
		_, _ = fmt.Sscanf(req.URL.Path[len("/s/"):], "%d", &size) // 0 for other paths
		head := "HTTP/1.1 200 OK\r\n" + signedHeader + standin.HeaderRequestID + ": " + req.Header.Get(standin.HeaderRequestID) +
			fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n", size)
		writeString(nc, head)
		piece := strings.Repeat("x", 16<<10)
		for left := size; left > 0; left -= len(piece) {
			_ = nc.SetWriteDeadline(time.Now().Add(unreadLimit))
			n, err := io.WriteString(nc, piece[:min(left, len(piece))])
			x.written.Add(int64(n))
			if err != nil {
				if !errors.Is(err, net.ErrClosed) {
					x.cut.Add(1)
				}
				_ = nc.Close() // cuts the response off
				return
			}
		}
		_ = nc.SetWriteDeadline(time.Time{})
	})})
}

// slowCaller sends a request for size bytes.
func (r *harness) slowCaller(id string, size int) (net.Conn, error) {
	d := net.Dialer{Control: smallReceiveBuffer}
	nc, err := d.Dial("tcp", r.address)
	if err != nil {
		return nil, err
	}
	_, err = io.WriteString(nc, rawRequest(id, fmt.Sprint("/s/", size)))
	return nc, err
}

// readSlowly reads a response in pieces of n bytes with a pause after each, for at most
// limit. It returns the number of bytes of the body and the error that ended the reading.
func readSlowly(nc net.Conn, n int, pause, limit time.Duration) (int, error) {
	resp, err := http.ReadResponse(bufio.NewReaderSize(nc, 64), nil)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, &Failure{Status: resp.StatusCode}
	}
	total, piece := 0, make([]byte, n)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pause) {
		got, err := resp.Body.Read(piece)
		total += got
		if errors.Is(err, io.EOF) {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// Guards against a write timeout by total time, which cuts off a caller that reads slowly but
// steadily, and against one that never ends a caller that reads nothing.
func TestWriteTimeoutByProgress(t *testing.T) {
	Convey("Given a host that gives up writes without progress after a second", t, func() {
		r := newSmallHarness(t, func(g *Gateway) { g.writeStall = time.Second })
		var x patience
		r.patientTarget(t, "t", &x)

		Convey("a caller that reads for longer than that gets the whole response", func() {
			const size = 600 << 10
			nc, err := r.slowCaller("a", size)
			So(err, ShouldBeNil)
			defer func() { _ = nc.Close() }()
			start := time.Now()
			got, err := readSlowly(nc, 4<<10, 20*time.Millisecond, time.Minute)
			So(err, ShouldBeNil)
			So(got, ShouldEqual, size)
			So(time.Since(start), ShouldBeGreaterThan, 2*time.Second)
		})
		Convey("one that reads nothing ends, and its memory is given back", func() {
			nc, err := r.slowCaller("b", 900<<10)
			So(err, ShouldBeNil)
			defer func() { _ = nc.Close() }()
			total := r.gw.responseMemory.total
			So(eventually(time.Second, func() bool { return r.gw.responseMemory.free.Load() < total }), ShouldBeTrue)
			So(eventually(4*time.Second, func() bool { return r.gw.InFlight() == 0 }), ShouldBeTrue)
			So(r.gw.responseMemory.free.Load(), ShouldEqual, total)
			_, err = readSlowly(nc, 64<<10, 0, 10*time.Second)
			So(err, ShouldNotBeNil)
		})
	})
}

// Guards against slow callers that hold a target's connection until it cuts their responses
// off, and that take the memory for the small responses of others.
func TestSlowCallers(t *testing.T) {
	Convey("A response of a few MB to a slow caller is taken from the target before it cuts it off, and delivered late", t, func() {
		r := newSmallHarness(t, func(*Gateway) {})
		var x patience
		r.patientTarget(t, "t", &x)
		const size = 6 << 20
		nc, err := r.slowCaller("a", size)
		So(err, ShouldBeNil)
		defer func() { _ = nc.Close() }()
		resp, err := http.ReadResponse(bufio.NewReaderSize(nc, 64), nil)
		So(err, ShouldBeNil)
		time.Sleep(unreadLimit + time.Second)
		So(x.cut.Load(), ShouldEqual, 0)
		So(x.written.Load(), ShouldEqual, size)
		n, err := io.Copy(io.Discard, resp.Body)
		So(err, ShouldBeNil)
		So(n, ShouldEqual, size)
	})
	Convey("A response that the target cuts off is not complete for the caller", t, func() {
		r := newSmallHarness(t, func(g *Gateway) { g.responseMemory = newMemoryBudget(0) })
		var x patience
		r.patientTarget(t, "t", &x)
		nc, err := r.slowCaller("a", 1<<20)
		So(err, ShouldBeNil)
		defer func() { _ = nc.Close() }()
		So(eventually(unreadLimit+2*time.Second, func() bool { return x.cut.Load() == 1 }), ShouldBeTrue)
		_, err = readSlowly(nc, 4<<10, 0, 5*time.Second)
		So(err, ShouldNotBeNil)
	})
	for _, size := range []int{10 << 10, 200 << 10, 1 << 20, 3 << 20} {
		Convey(fmt.Sprintf("Given 300 callers that read 1 kB/s of responses of %d kB", size>>10), t, func() {
			r := newSmallHarness(t, func(*Gateway) {})
			var x patience
			r.patientTarget(t, "t", &x)
			peak := watchHeap()
			var wg sync.WaitGroup
			for i := range 16 { // sizes that the host has seen
				_, _, err := r.sendRequest("GET", fmt.Sprint("/s/", size), fmt.Sprint("first", i), "", 1500)
				So(err, ShouldBeNil)
			}
			x.written.Store(0)
			var broken, refused, read atomic.Int64
			for i := range 300 {
				wg.Go(func() {
					nc, err := r.slowCaller(fmt.Sprint("slow", i), size)
					if err != nil {
						broken.Add(1)
						return
					}
					defer func() { _ = nc.Close() }()
					got, err := readSlowly(nc, 1<<10, time.Second, 6*time.Second)
					read.Add(int64(got))
					switch {
					case errors.As(err, new(*Failure)):
						refused.Add(1)
					case err != nil:
						broken.Add(1)
					}
				})
				time.Sleep(5 * time.Millisecond)
			}
			time.Sleep(time.Second)
			slowest, whole := time.Duration(0), 0
			for i := range 40 {
				start := time.Now()
				resp, body, err := r.sendRequest("POST", "/o/10240", fmt.Sprint("small", i), "", 1500)
				if err == nil && resp.StatusCode == http.StatusOK && len(body) == 10240 {
					whole++
				}
				slowest = max(slowest, time.Since(start))
				time.Sleep(50 * time.Millisecond)
			}
			held := (x.written.Load() - int64(40*10240)) >> 20
			free := r.gw.responseMemory.free.Load()
			wg.Wait()
			highest := peak()
			t.Logf("%d kB: %d of 300 refused, %d broke off, %d cut off by the target, %d of 40 small ones whole, slowest %v; taken %d MiB, %d kB of the budget free, heap %d MiB",
				size>>10, refused.Load(), broken.Load(), x.cut.Load(), whole, slowest.Round(time.Millisecond), held, free>>10, highest)
			So(held+int64(highest), ShouldBeLessThan, smallHostMB)
			So(whole, ShouldEqual, 40)
		})
	}
}
