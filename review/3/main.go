//go:build review

// Command 3 stops the hosts in turn, as planned, while consumers send further safe requests
// before the earlier ones are answered. It exits with 1 if a request that a stopping host had
// passed on to an instance ended without an answer.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/boragelock/boragelock/platform"
	"github.com/boragelock/boragelock/platform/standin"
	"github.com/boragelock/boragelock/review/kit"
)

const (
	hosts     = 3
	instances = 16
	slots     = 6
	// connections are kept open to each host; requests are sent on each in the mean every
	// sendEvery, at most pipelined before the first is answered.
	connections = 20
	sendEvery   = 250 * time.Millisecond
	pipelined   = 4
	// linkDelay is the delay to consumers, one way.
	linkDelay = 8 * time.Millisecond
	// The share of downloads is that of the requests to the service `epreuves`: 54.3 of 142.7
	// a second.
	downloadShare = 0.38
	downloadBytes = 300 << 10
	lookupBytes   = 400
	timeLimit     = 1500 * time.Millisecond
	stopGap       = time.Second
	length        = 95 * time.Second
	// graceLimit is grace-s, after which the platform kills a process.
	graceLimit = 6 * time.Second
	// A run with less load or fewer stops does not count.
	minSent  = 12000
	minStops = 10
)

const desiredState = `{"version":"00000001","routes":[
{"name":"lookup","host":"h.example","path-prefix":"/lookup/","kind":"safe","timeout-s":1.0,"target-latency-s":0.4,"priority":2,"service":"proofs","max-attempts":2},
{"name":"download","host":"h.example","path-prefix":"/download/","kind":"download","timeout-s":1.5,"target-latency-s":0.4,"priority":2,"service":"proofs","max-attempts":2}],
"services":[{"name":"proofs","health-path":"/health","max-conns":120,"cold-start-s":3,"cold-per-s":15}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}`

type script struct {
	rec   *kit.Record
	fleet *kit.Fleet
	stop  chan struct{}

	sent, served, unread, other, lost atomic.Int64

	mu sync.Mutex
	// stoppedAt is when SIGTERM was sent to the current process of a host.
	stoppedAt map[*kit.Host]time.Time
}

func main() {
	gateway := flag.String("gateway", "target/boragelock-gateway", "program of a host")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*gateway, *record, os.Getenv("TROUBLE") != "0"))
}

func work() time.Duration { return time.Duration(60+rand.IntN(70)) * time.Millisecond }

func run(gateway, recordFile string, trouble bool) int {
	fail := func(err error) int { fmt.Fprintln(os.Stderr, err); return 2 }
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return fail(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	rec, err := kit.NewRecord(recordFile)
	if err != nil {
		return fail(err)
	}
	store := standin.NewStore()
	address, err := kit.ServeStore(store)
	if err != nil {
		return fail(err)
	}
	store.Put(platform.TopicOperator, "config", []byte(desiredState))
	fleet := kit.NewFleet("proofs", store, rec, work)
	fleet.Unkeyed = true
	lookup, download := strings.Repeat("l", lookupBytes), strings.Repeat("d", downloadBytes)
	fleet.Answer = func(path string) string {
		if strings.HasPrefix(path, "/download/") {
			return download
		}
		return lookup
	}
	for i := range instances {
		if _, err := fleet.Start(fmt.Sprintf("i-%04d", i+1), "zone-a", slots); err != nil {
			return fail(err)
		}
	}
	var hs []*kit.Host
	for i := range hosts {
		h, err := kit.NewHost(gateway, dir, fmt.Sprint("front-", i+1), "zone-a", address)
		if err != nil {
			return fail(err)
		}
		if err := h.Start(); err != nil {
			return fail(err)
		}
		defer h.Kill()
		hs = append(hs, h)
	}
	if err := kit.WaitReady(hs, 20*time.Second); err != nil {
		return fail(err)
	}
	rec.Add("all hosts are ready")
	s := &script{rec: rec, fleet: fleet, stop: make(chan struct{}), stoppedAt: map[*kit.Host]time.Time{}}
	b := kit.NewBalancer(hs, 1, s.stop)
	var wg sync.WaitGroup
	for i := range connections * hosts {
		wg.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-s.stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				s.connection(b.Pick(0), fmt.Sprintf("%02x%04x", i, k))
			}
		})
	}
	stops := 0
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		time.Sleep(stopGap)
		if !trouble {
			continue
		}
		h := hs[i%hosts]
		s.mu.Lock()
		s.stoppedAt[h] = time.Now()
		s.mu.Unlock()
		rec.Add("SIGTERM to %s", h.Name)
		h.Signal(syscall.SIGTERM)
		stops++
		kill := time.AfterFunc(graceLimit, func() { h.Signal(syscall.SIGKILL) })
		h.Wait()
		kill.Stop()
		rec.Add("%s ended", h.Name)
		s.mu.Lock()
		delete(s.stoppedAt, h)
		s.mu.Unlock()
		if err := h.Start(); err != nil {
			return fail(err)
		}
		if err := kit.WaitReady(hs, 20*time.Second); err != nil {
			return fail(err)
		}
	}
	close(s.stop)
	wg.Wait()
	line := fmt.Sprintf("trouble %v: %d planned stops; %d requests sent, %d served, %d not passed on, %d without a complete answer for other reasons, %d passed on and without a complete answer in a planned stop",
		trouble, stops, s.sent.Load(), s.served.Load(), s.unread.Load(), s.other.Load(), s.lost.Load())
	rec.Add("%s", line)
	fmt.Println(line)
	if s.sent.Load() < minSent || s.served.Load()*10 < s.sent.Load()*8 || trouble && stops < minStops {
		return fail(fmt.Errorf("too little load, or too few stops"))
	}
	if s.lost.Load() > 0 {
		return 1
	}
	return 0
}

// request is one request on a connection.
type request struct {
	id     string
	sentAt time.Time
}

// connection sends requests over one connection until the host closes it or says that it
// will.
func (s *script) connection(h *kit.Host, name string) {
	nc, err := kit.Dial(h.Callers, linkDelay)
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }()
	queue, closing := make(chan request, pipelined), make(chan struct{})
	go func() {
		defer close(queue)
		for k := 0; ; k++ {
			select {
			case <-s.stop:
				return
			case <-closing:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() * float64(sendEvery))):
			}
			path := "/lookup/a"
			if rand.Float64() < downloadShare {
				path = "/download/a"
			}
			r := request{id: fmt.Sprintf("%s%04x", name, k), sentAt: time.Now()}
			select {
			case <-closing:
				return
			case queue <- r:
			}
			s.rec.Add("%s sent to %s, GET %s", r.id, h.Name, path)
			s.sent.Add(1)
			_, err := fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\n\r\n", path,
				standin.HeaderRequestID, r.id, standin.HeaderDeadline, timeLimit.Milliseconds())
			if err != nil {
				return
			}
		}
	}()
	br := bufio.NewReader(nc)
	ended := false
	for r := range queue {
		if ended {
			s.judge(h, r, "behind an answer that closed the connection or was not complete")
			continue
		}
		var complete bool
		if complete, ended = s.readAnswer(nc, br, r, closing); !complete {
			s.judge(h, r, "its answer is missing or not complete")
		}
	}
}

// readAnswer reads one answer and reports whether it is complete, and whether it is the last
// one of the connection.
func (s *script) readAnswer(nc interface{ SetReadDeadline(time.Time) error }, br *bufio.Reader, r request, closing chan struct{}) (complete, last bool) {
	_ = nc.SetReadDeadline(r.sentAt.Add(4 * time.Second))
	resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodGet})
	if err != nil {
		s.rec.Add("%s: connection ended without an answer: %v", r.id, err)
		close(closing)
		return false, true
	}
	if resp.Close {
		close(closing) // the consumer sends nothing more
	}
	n, err := io.Copy(io.Discard, resp.Body)
	s.rec.Add("%s: %d, %d bytes, close %v, %v", r.id, resp.StatusCode, n, resp.Close, err)
	if err != nil {
		if !resp.Close {
			close(closing)
		}
		return false, true
	}
	if resp.StatusCode == http.StatusOK {
		s.served.Add(1)
	}
	return true, resp.Close
}

// judge counts a request without a complete answer: it is lost if the host had passed it on
// to an instance, during a planned stop and before its time limit.
func (s *script) judge(h *kit.Host, r request, why string) {
	took := time.Since(r.sentAt)
	s.mu.Lock()
	stoppedAt, stopping := s.stoppedAt[h]
	s.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	switch {
	case s.fleet.Runs(r.id) == 0:
		s.unread.Add(1)
	case !stopping || took > timeLimit*7/10:
		s.other.Add(1)
		s.rec.Add("%s ran and has no complete answer after %v; host stopping: %v", r.id, took.Round(time.Millisecond), stopping)
	default:
		s.lost.Add(1)
		s.rec.Add("LOST: %s, sent %v after SIGTERM to %s, ran on an instance; %v after it was sent, the connection ended: %s",
			r.id, r.sentAt.Sub(stoppedAt).Round(time.Millisecond), h.Name, took.Round(time.Millisecond), why)
	}
}
