package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/platform/standin"
)

// slowZeros yields zeros at a limited rate.
type slowZeros struct{ pause time.Duration }

func (z slowZeros) Read(p []byte) (int, error) {
	time.Sleep(z.pause)
	return min(len(p), 256<<10), nil
}

// allowLargeBodies raises the limit of bodies to that of the users' deployments.
func (r *harness) allowLargeBodies() {
	d := *r.deployment.Snapshot().DesiredState
	d.Version++
	d.Limits.MaxBodyBytes, d.Limits.IdleTimeout = 64<<20, 15*time.Second
	d.IndexRoutes()
	r.deployment.mu.Lock()
	defer r.deployment.mu.Unlock()
	r.deployment.directory.PutDesiredState(&d)
}

// addSink adds a target that reads each request at the given pace and answers it.
func (r *harness) addSink(t *testing.T, pause time.Duration) {
	r.announceTarget(fleet.Target{ID: "sink", Workload: "w", Domain: "d", Slots: 100, Address: rawTarget(t, func(nc net.Conn, _, _ int, req *http.Request) {
		buffer := make([]byte, 256<<10)
		for {
			_, err := req.Body.Read(buffer)
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return
			}
			time.Sleep(pause)
		}
		writeString(nc, rawResponse(okStatus, req.Header.Get(standin.HeaderRequestID), signedHeader, "ok"))
	})})
}

// upload sends an order with a body of n bytes and returns the status, or 0 without a
// response.
func (r *harness) upload(id string, n int64, pause time.Duration, chunked bool) int {
	nc, err := net.Dial("tcp", r.address)
	if err != nil {
		return 0
	}
	defer func() { _ = nc.Close() }()
	if nc.SetDeadline(time.Now().Add(20*time.Second)) != nil {
		return 0
	}
	req, err := http.NewRequest(http.MethodPost, "http://h/o/x", io.LimitReader(slowZeros{pause}, n))
	if err != nil {
		return 0
	}
	req.ContentLength = n
	if chunked {
		req.ContentLength = -1
	}
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(standin.HeaderDeadline, "20000")
	go func() { _ = req.Write(nc) }() // a refusal comes before the body was read
	resp, err := http.ReadResponse(bufio.NewReader(nc), req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body) // the status counts
	return resp.StatusCode
}

// watchHeap returns a function that returns the highest use of heap and stacks, in MiB.
func watchHeap() (peak func() uint64) {
	runtime.GC()
	var highest atomic.Uint64
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for tick := time.NewTicker(5 * time.Millisecond); ; {
			select {
			case <-stop:
				return
			case <-tick.C:
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				highest.Store(max(highest.Load(), m.HeapInuse+m.StackInuse))
			}
		}
	}()
	return func() uint64 {
		close(stop)
		<-stopped
		return highest.Load() >> 20
	}
}

// TestLargeRequestBodies guards against large requests, each within the limit of callers,
// that together exceed the memory of the process, and against small ones that wait for
// them.
func TestLargeRequestBodies(t *testing.T) {
	for _, c := range []struct {
		bodies          int
		megabytes       int64
		sendPause, read time.Duration
		chunked         bool
	}{
		{bodies: 1, megabytes: 60},
		{bodies: 8, megabytes: 20},
		{bodies: 8, megabytes: 20, sendPause: 5 * time.Millisecond},
		{bodies: 8, megabytes: 20, read: 2 * time.Millisecond},
		{bodies: 4, megabytes: 20, chunked: true},
		{bodies: 60, megabytes: 20},
	} {
		Convey(fmt.Sprintf("Given %d bodies of %d MB at once, chunked %v", c.bodies, c.megabytes, c.chunked), t, func() {
			r := newHarness(t, 0)
			r.allowLargeBodies()
			r.addSink(t, c.read)
			peak := watchHeap()
			var wg sync.WaitGroup
			statuses := make([]int, c.bodies)
			for i := range statuses {
				wg.Go(func() {
					statuses[i] = r.upload(fmt.Sprint("large", i), c.megabytes<<20, c.sendPause, c.chunked)
				})
			}
			slowest, small := time.Duration(0), 0
			for i := range 20 {
				start := time.Now()
				resp, _, err := r.sendRequest("POST", "/o/x", fmt.Sprint("small", i), strings.Repeat("x", 1200), 1500)
				if err == nil && resp.StatusCode == http.StatusOK {
					small++
				}
				slowest = max(slowest, time.Since(start))
				time.Sleep(10 * time.Millisecond)
			}
			wg.Wait()
			counts := map[int]int{}
			for _, s := range statuses {
				counts[s]++
			}
			highest := peak()
			t.Logf("%d x %d MB, pauses %v and %v, chunked %v: peak %d MiB, statuses %v, slowest small request %v",
				c.bodies, c.megabytes, c.sendPause, c.read, c.chunked, highest, counts, slowest.Round(time.Millisecond))
			So(highest, ShouldBeLessThan, defaultMemoryMB)
			So(counts[http.StatusOK]+counts[http.StatusServiceUnavailable], ShouldEqual, c.bodies)
			So(counts[http.StatusOK], ShouldBeGreaterThan, 0)
			So(small, ShouldEqual, 20)
			released := func() bool {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				for _, p := range []*bodyPool{&r.gw.bodyMemory.small, &r.gw.bodyMemory.large} {
					release, err := p.acquire(ctx, p.bytes)
					if err != nil {
						return false
					}
					release()
				}
				return true
			}
			So(released(), ShouldBeTrue)
		})
	}
	Convey("A chunked body over the limit is refused", t, func() {
		r := newHarness(t, 1)
		So(r.upload("a", 200<<10, 0, true), ShouldEqual, http.StatusRequestEntityTooLarge)
		So(r.upload("b", 5000, 0, true), ShouldEqual, http.StatusOK)
	})
}
