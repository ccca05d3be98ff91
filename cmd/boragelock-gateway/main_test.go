package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/eventlog"
	"github.com/boragelock/boragelock/internal/fleetsettings"
	"github.com/boragelock/boragelock/platform"
	"github.com/boragelock/boragelock/platform/standin"
)

const desiredState = `{"version":"00000001","routes":[
{"name":"orders","host":"h","path-prefix":"/o/","kind":"unsafe","timeout-s":0.8,"target-latency-s":0.4,"priority":1,"service":"w","max-attempts":1},
{"name":"silent","host":"h","path-prefix":"/silent/","kind":"unsafe","timeout-s":0.5,"target-latency-s":0.4,"priority":1,"service":"silent","max-attempts":1}],
"services":[{"name":"w","health-path":"/health","max-conns":1000,"cold-start-s":0,"cold-per-s":100,"warmup-s":0},
{"name":"silent","health-path":"/health","max-conns":1000,"cold-start-s":0,"cold-per-s":100,"warmup-s":0}],
"limits":{"max-header-bytes":4096,"max-body-bytes":10000,"header-timeout-s":1,"idle-timeout-s":2}}`

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // the daemon listens there next
	return l.Addr().String()
}

// announceTarget serves a target and writes its record.
func announceTarget(t *testing.T, store *standin.Store, workload, id string, target http.Handler) {
	t.Helper()
	srv := httptest.NewServer(target)
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	store.Put(platform.TopicTargets, id, map[string]any{
		"service": workload, "address": strings.TrimPrefix(srv.URL, "http://"), "zone": "d", "slots": 1000, "state": "ready",
		"cold-left-s": 0, "seq": 1, "born": 1,
	})
}

// hostSettings serves the store and returns the settings of a host.
func hostSettings(t *testing.T, store *standin.Store) *fleetsettings.Settings {
	t.Helper()
	storeServer := httptest.NewServer(store)
	t.Cleanup(func() { storeServer.CloseClientConnections(); storeServer.Close() })
	port := func() int {
		_, p, _ := net.SplitHostPort(freeAddress(t))
		n, _ := strconv.Atoi(p)
		return n
	}
	return &fleetsettings.Settings{
		Host: "host0", Domain: "d", CallerAddress: freeAddress(t), ReadyAddress: freeAddress(t), IP: "127.0.0.1",
		PeerPort: port(), MetricsPort: port(), StoreAddress: strings.TrimPrefix(storeServer.URL, "http://"),
		CPUShare: 1, LinkMbps: 1000, MemoryMB: 184, StopLimitSeconds: 3,
		RetryRatio: 0.2, RetryExtra: 60, RetryWindowSeconds: 10, MaxKeyLeaseSeconds: 10, LogLevel: "info",
	}
}

// startDaemon runs a host with one target for each workload of the desired state.
func startDaemon(t *testing.T, stopLimit time.Duration) (address string, targets []*standin.Target, signals chan os.Signal, stopped chan time.Time) {
	t.Helper()
	store := standin.NewStore()
	store.Put(platform.TopicOperator, "config", []byte(desiredState))
	for _, workload := range []string{"w", "silent"} {
		x := standin.NewTarget("t-"+workload, 1000, false)
		targets = append(targets, x)
		announceTarget(t, store, workload, x.ID, x)
	}
	s := hostSettings(t, store)
	s.StopLimitSeconds = stopLimit.Seconds()
	log := eventlog.New(io.Discard, s.LogLevel)
	t.Cleanup(log.Close)
	d := newDaemon(s, "", log)
	signals, stopped = make(chan os.Signal, 1), make(chan time.Time, 1)
	go func() {
		if err := d.run(signals); err != nil {
			t.Error(err)
		}
		stopped <- time.Now() // the process ends
	}()
	for end := time.Now().Add(10 * time.Second); !d.gw.Ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the host is not ready after 10 s")
		}
	}
	return s.CallerAddress, targets, signals, stopped
}

// TestStopAnswersWhatItTook guards against a planned stop that passes requests on late in
// its grace and ends before they are answered.
func TestStopAnswersWhatItTook(t *testing.T) {
	const (
		stopLimit   = 3 * time.Second
		serviceTime = 300 * time.Millisecond
		sendEvery   = 10 * time.Millisecond
		timeLimit   = 2 * time.Second // of callers, above the routes' timeouts
	)
	Convey("Given a host that is told to stop, and orders that come until it ends", t, func() {
		address, targets, signals, stopped := startDaemon(t, stopLimit)
		targets[0].SetBehaviour(standin.Behaviour{ServiceTime: serviceTime})
		targets[1].SetBehaviour(standin.Behaviour{NeverRespond: true})
		var mu sync.Mutex
		answeredAt := map[string]time.Time{}
		var wg sync.WaitGroup
		order := func(id, path string) {
			defer wg.Done()
			nc, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				return // the host has ended
			}
			defer func() { _ = nc.Close() }()
			if nc.SetDeadline(time.Now().Add(2*timeLimit)) != nil {
				return
			}
			_, err = fmt.Fprintf(nc, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n%s: %s\r\n%s: %d\r\n\r\nx", path,
				standin.HeaderRequestID, id, standin.HeaderDeadline, timeLimit.Milliseconds())
			if err != nil {
				return
			}
			resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answeredAt[id] = time.Now()
		}
		signals <- syscall.SIGTERM
		begin, sent := time.Now(), 0
		for time.Since(begin) < stopLimit {
			for _, path := range []string{"/o/x", "/silent/x"} {
				wg.Add(1)
				go order(fmt.Sprint("r", sent), path)
				sent++
			}
			time.Sleep(sendEvery)
		}
		ended := <-stopped
		wg.Wait()
		So(ended, ShouldHappenBefore, begin.Add(stopLimit))
		ran, cut := 0, 0
		for i := range sent {
			id := fmt.Sprint("r", i)
			if targets[0].RunCount(id)+targets[1].RunCount(id) == 0 {
				continue
			}
			ran++
			if at, ok := answeredAt[id]; !ok || at.After(ended) {
				cut++
			}
		}
		t.Logf("%d orders sent, %d ran, %d of these were cut off", sent, ran, cut)
		So(ran, ShouldBeGreaterThan, sent/4)
		So(cut, ShouldEqual, 0)
	})
}
