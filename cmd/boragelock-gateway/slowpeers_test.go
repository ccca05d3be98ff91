package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"github.com/boragelock/boragelock/platform/standin"
)

const (
	// smallestMB is the memory of the smallest host.
	smallestMB = 144
	// slowPeers is the number of callers, or of requests to targets, that are slow at a time.
	slowPeers = 300
	// slowTime is how long callers read at 1 kB/s before they leave.
	slowTime = 6 * time.Second
	// slowRequestPath is the path of requests that the target reads slowly.
	slowRequestPath = "/o/slow"
)

// slowTarget is a transferTarget that reads some requests at 40 kB/s.
type slowTarget struct{ transferTarget }

// ServeHTTP implements http.Handler.
func (x slowTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == slowRequestPath {
		for piece := make([]byte, 4<<10); ; time.Sleep(100 * time.Millisecond) {
			if _, err := io.ReadFull(r.Body, piece); err != nil {
				break
			}
		}
	}
	x.transferTarget.ServeHTTP(w, r)
}

// readResponseSlowly asks for a response of the given size and reads it at 1 kB/s. It returns
// its status, or 0 without one.
func readResponseSlowly(address, id string, size int) int {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) // a larger one is slower to show progress
		})
	}}
	nc, err := d.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer func() { _ = nc.Close() }()
	if _, err := fmt.Fprintf(nc, "GET %s?%d HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 20000\r\n\r\n", largeAnswerPath, size, standin.HeaderRequestID, id, standin.HeaderDeadline); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(nc, 1<<10), nil)
	if err != nil {
		return 0
	}
	for end := time.Now().Add(slowTime); time.Now().Before(end); time.Sleep(time.Second) {
		if _, err := io.CopyN(io.Discard, resp.Body, 1<<10); err != nil {
			break
		}
	}
	return resp.StatusCode
}

// TestSlowPeersOfTheProcess guards against callers that read slowly, and targets that do,
// which together take more memory than the smallest host has or delay the requests of others.
func TestSlowPeersOfTheProcess(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and starts processes")
	}
	binary := filepath.Join(t.TempDir(), "boragelock-gateway")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, x := range []struct {
		name  string
		bytes int
		run   func(address, id string, bytes int) int
	}{
		{"callers that read responses of 10 kB at 1 kB/s", 10 << 10, readResponseSlowly},
		{"callers that read responses of 3 MB at 1 kB/s", 3 << 20, readResponseSlowly},
		{"requests of 30 kB that the target reads slowly", 30 << 10, sendSlowRequest},
		{"requests of 300 kB that the target reads slowly", 300 << 10, sendSlowRequest},
	} {
		Convey(fmt.Sprint("Given ", slowPeers, " ", x.name), t, func() {
			address, memoryMB, process := startProcessWith(t, binary, smallestMB, slowTarget{transferTarget{standin.NewTarget("t-w", 1000, false)}})
			stop := make(chan struct{})
			var sent, answered int64
			var slowest time.Duration
			var small, slow sync.WaitGroup
			small.Go(func() { sent, answered, slowest = smallRequests(address, stop) })
			statuses := make([]int, slowPeers)
			for i := range slowPeers {
				slow.Go(func() {
					statuses[i] = x.run(address, fmt.Sprint("slow-", i), x.bytes)
				})
			}
			slow.Wait()
			close(stop)
			small.Wait()
			counts := map[int]int{}
			for _, status := range statuses {
				counts[status]++
			}
			peak := peakMemoryMB(t, process)
			t.Logf("%s: peak %d MiB of %d; statuses %v; small requests %d of %d answered, the slowest after %v",
				x.name, peak, memoryMB, counts, answered, sent, slowest.Round(time.Millisecond))
			So(peak, ShouldBeLessThan, memoryMB)
			So(counts[http.StatusOK]+counts[http.StatusServiceUnavailable], ShouldEqual, slowPeers)
			So(counts[http.StatusOK], ShouldBeGreaterThan, 0)
			So(answered, ShouldEqual, sent)
		})
	}
}

// sendSlowRequest sends a request that the target reads slowly, and returns its status.
func sendSlowRequest(address, id string, bytes int) int {
	return transfers{bytes: int64(bytes), path: slowRequestPath}.run(address, id)
}
