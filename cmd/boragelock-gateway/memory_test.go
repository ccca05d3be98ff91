package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/platform"
	"github.com/boragelock/boragelock/platform/standin"
)

// allTransfers makes TestMemoryOfTheProcess play all its cases, which takes minutes.
var allTransfers = flag.Bool("all-transfers", false, "play all cases of TestMemoryOfTheProcess")

const (
	// largeAnswerPath is the path of requests for an answer of the size in the query.
	largeAnswerPath = "/o/answer"
	// transferTimeout is the deadline of large requests.
	transferTimeout = 20 * time.Second
	// transferChunk is the size of the reads and writes of a paced transfer, in bytes.
	transferChunk = 256 << 10
	// smallCallers is the number of callers of small requests.
	smallCallers = 4
)

const transferDesiredState = `{"version":"00000001","routes":[
{"name":"orders","host":"h","path-prefix":"/o/","kind":"unsafe","timeout-s":20,"target-latency-s":0.4,"priority":1,"service":"w","max-attempts":1}],
"services":[{"name":"w","health-path":"/health","max-conns":1000,"cold-start-s":0,"cold-per-s":1000,"warmup-s":0}],
"limits":{"max-header-bytes":4096,"max-body-bytes":67108864,"header-timeout-s":1,"idle-timeout-s":20}}`

// transferTarget is a target that reads large bodies, and answers with large ones.
type transferTarget struct{ *standin.Target }

// ServeHTTP implements http.Handler.
func (x transferTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/o/") {
		x.Target.ServeHTTP(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the host sees it
	}
	id := r.Header.Get(standin.HeaderRequestID)
	w.Header().Set(standin.HeaderRequestID, id)
	w.Header().Set(standin.HeaderSignature, x.ID+"."+id)
	n := int64(2)
	if r.URL.Path == largeAnswerPath {
		n, _ = strconv.ParseInt(r.URL.RawQuery, 10, 64)
	}
	w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	_, _ = io.CopyN(w, zeros{}, n) // the host may be gone
}

// zeros yields zeros, each read after a pause.
type zeros struct{ pause time.Duration }

func (z zeros) Read(p []byte) (int, error) {
	time.Sleep(z.pause)
	n := min(len(p), transferChunk)
	clear(p[:n])
	return n, nil
}

// transfers are large requests or answers at the same time.
type transfers struct {
	number int
	// bytes is the size of each body.
	bytes int64
	// pause is the caller's pause after each chunk that it sends or reads.
	pause time.Duration
	// answers says that the answers are large, not the requests.
	answers bool
	// short is set for the cases that are always played.
	short bool
	// path is the path of requests, "/o/x" if it is empty.
	path string
}

// run sends a request and returns its status, or 0 without a whole response.
func (x transfers) run(address, id string) int {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer func() { _ = nc.Close() }()
	if nc.SetDeadline(time.Now().Add(2*transferTimeout)) != nil {
		return 0
	}
	path, body := "/o/x", x.bytes
	if x.path != "" {
		path = x.path
	}
	if x.answers {
		path, body = fmt.Sprint(largeAnswerPath, "?", x.bytes), 0
	}
	req, err := http.NewRequest(http.MethodPost, "http://h"+path, io.LimitReader(zeros{x.pause}, body))
	if err != nil {
		return 0
	}
	req.ContentLength = body
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(standin.HeaderDeadline, strconv.FormatInt(transferTimeout.Milliseconds(), 10))
	go func() { _ = req.Write(nc) }() // a refusal comes before the body was read
	resp, err := http.ReadResponse(bufio.NewReader(nc), req)
	if err != nil {
		return 0
	}
	for chunk := make([]byte, transferChunk); ; time.Sleep(x.pause) {
		if _, err := io.ReadFull(resp.Body, chunk); err != nil {
			if err != io.EOF && err != io.ErrUnexpectedEOF {
				return 0
			}
			return resp.StatusCode
		}
	}
}

// smallRequests sends small requests until stop is closed. It returns the numbers of those
// sent and of those answered with 200, and the longest time.
func smallRequests(address string, stop chan struct{}) (sent, answered int64, slowest time.Duration) {
	var nSent, nAnswered, longest atomic.Int64
	var wg sync.WaitGroup
	for i := range smallCallers {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				start := time.Now()
				nSent.Add(1)
				if (transfers{bytes: 1200}).run(address, fmt.Sprint("small-", i, "-", n)) == http.StatusOK {
					nAnswered.Add(1)
				}
				took := int64(time.Since(start))
				for old := longest.Load(); took > old && !longest.CompareAndSwap(old, took); old = longest.Load() {
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return nSent.Load(), nAnswered.Load(), time.Duration(longest.Load())
}

// startProcess starts a host as a process of its own, and waits until it serves.
func startProcess(t *testing.T, binary string) (address string, memoryMB int, process *os.Process) {
	t.Helper()
	return startProcessWith(t, binary, 0, transferTarget{standin.NewTarget("t-w", 1000, false)})
}

// startProcessWith starts a host with the given memory, or that of hostSettings for 0, and
// target.
func startProcessWith(t *testing.T, binary string, mb int, target http.Handler) (address string, memoryMB int, process *os.Process) {
	t.Helper()
	store := standin.NewStore()
	store.Put(platform.TopicOperator, "config", []byte(transferDesiredState))
	announceTarget(t, store, "w", "t-w", target)
	s := hostSettings(t, store)
	if mb > 0 {
		s.MemoryMB = mb
	}
	s.Fleet = t.TempDir()
	b, err := json.Marshal(s)
	So(err, ShouldBeNil)
	file := filepath.Join(t.TempDir(), "host.json")
	So(os.WriteFile(file, b, 0o600), ShouldBeNil)
	cmd := exec.Command(binary, "-settings", file)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	So(cmd.Start(), ShouldBeNil)
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended
		_ = cmd.Wait()         // killed
	})
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if (transfers{bytes: 1}).run(s.CallerAddress, "probe") == http.StatusOK {
			return s.CallerAddress, s.MemoryMB, cmd.Process
		}
		if time.Now().After(end) {
			t.Fatal("the host does not serve after 10 s")
		}
	}
}

// peakMemoryMB returns the most memory that a process had so far, in MiB.
func peakMemoryMB(t *testing.T, p *os.Process) int {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid))
	So(err, ShouldBeNil)
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	var kB int
	_, err = fmt.Sscanf(rest, "%d", &kB)
	So(err, ShouldBeNil)
	return kB >> 10
}

// TestMemoryOfTheProcess guards against large requests or answers that together take more
// memory than the host has, with slow senders and slow readers too.
func TestMemoryOfTheProcess(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and starts processes")
	}
	binary := filepath.Join(t.TempDir(), "boragelock-gateway")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	const mb = 1 << 20
	for _, x := range []transfers{
		{number: 0, short: true},
		{number: 1, bytes: 20 * mb},
		{number: 8, bytes: 20 * mb},
		{number: 60, bytes: 20 * mb},
		{number: 1, bytes: 60 * mb},
		{number: 8, bytes: 60 * mb, short: true},
		{number: 60, bytes: 60 * mb},
		{number: 8, bytes: 20 * mb, pause: 10 * time.Millisecond},
		{number: 60, bytes: 20 * mb, pause: 10 * time.Millisecond},
		{number: 8, bytes: 60 * mb, answers: true},
		{number: 60, bytes: 60 * mb, answers: true},
		{number: 60, bytes: 20 * mb, pause: 10 * time.Millisecond, answers: true, short: true},
	} {
		if !x.short && !*allTransfers {
			continue
		}
		Convey(fmt.Sprintf("Given %d bodies of %d MB at once, pauses of %v, of answers %v", x.number, x.bytes/mb, x.pause, x.answers), t, func() {
			address, memoryMB, process := startProcess(t, binary)
			stop := make(chan struct{})
			var sent, answered int64
			var slowest time.Duration
			var small, large sync.WaitGroup
			start := time.Now()
			small.Go(func() { sent, answered, slowest = smallRequests(address, stop) })
			statuses := make([]int, x.number)
			for i := range statuses {
				large.Go(func() { statuses[i] = x.run(address, fmt.Sprint("large-", i)) })
			}
			large.Wait()
			time.Sleep(max(0, 2*time.Second-time.Since(start)))
			close(stop)
			small.Wait()
			took := time.Since(start)
			counts := map[int]int{}
			for _, s := range statuses {
				counts[s]++
			}
			peak := peakMemoryMB(t, process)
			t.Logf("%d x %d MB, pauses %v, of answers %v: peak %d MiB of %d, statuses %v, %.0f small requests a second, %d of %d answered, the slowest after %v",
				x.number, x.bytes/mb, x.pause, x.answers, peak, memoryMB, counts, float64(answered)/took.Seconds(), answered, sent, slowest.Round(time.Millisecond))
			So(peak, ShouldBeLessThan, memoryMB)
			So(counts[http.StatusOK]+counts[http.StatusServiceUnavailable], ShouldEqual, x.number)
			if x.number > 0 {
				So(counts[http.StatusOK], ShouldBeGreaterThan, 0)
			}
			So(answered, ShouldEqual, sent)
		})
	}
}
