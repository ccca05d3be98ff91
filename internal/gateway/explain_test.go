package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/thejerf/suture/v4"

	"github.com/boragelock/boragelock/internal/coordinator"
	"github.com/boragelock/boragelock/internal/eventlog"
	"github.com/boragelock/boragelock/platform"
	"github.com/boragelock/boragelock/platform/standin"
)

// logBuffer is a log output that tests can read while it is written.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// logLine is one logged event with its fields.
type logLine struct {
	event  string
	fields map[string]string
}

var (
	eventPattern = regexp.MustCompile(`(?m)^\[\w+\]\s+(\w+): (.*)$`)
	fieldPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)
)

func (b *logBuffer) lines() (out []logLine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range eventPattern.FindAllStringSubmatch(b.b.String(), -1) {
		l := logLine{event: m[1], fields: map[string]string{}}
		for _, f := range fieldPattern.FindAllStringSubmatch(m[2], -1) {
			l.fields[f[1]] = f[2]
		}
		out = append(out, l)
	}
	return out
}

// waitForLine waits up to 4 s for a line of an event whose fields have the given
// values.
func (b *logBuffer) waitForLine(event string, want map[string]string) (logLine, bool) {
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
	next:
		for _, l := range b.lines() {
			if l.event != event {
				continue
			}
			for k, v := range want {
				if l.fields[k] != v {
					continue next
				}
			}
			return l, true
		}
	}
	return logLine{}, false
}

// documentedEvents returns the events of the table in docs/OPERATIONS.md with their
// fields.
func documentedEvents(t *testing.T) map[string][]string {
	b, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	events := map[string][]string{}
	for _, row := range strings.Split(string(b), "\n") {
		cells := strings.Split(row, "|")
		if len(cells) < 5 || !strings.Contains(cells[1], "`") {
			continue
		}
		var fields []string
		for _, f := range strings.Split(cells[3], ",") {
			if f, _, _ = strings.Cut(strings.TrimSpace(f), " "); f != "" {
				fields = append(fields, f)
			}
		}
		for _, name := range regexp.MustCompile("`(\\w+)`").FindAllStringSubmatch(cells[1], -1) {
			events[name[1]] = fields
		}
	}
	return events
}

const explainDesired = `{"version":"00000001","routes":[
{"name":"keys","host":"h","path-prefix":"/k/","kind":"safe","timeout-s":1.5,"target-latency-s":0.5,"priority":1,"service":"w","max-attempts":2},
{"name":"orders","host":"h","path-prefix":"/o/","kind":"unsafe","timeout-s":0.6,"target-latency-s":0.5,"priority":1,"service":"w","max-attempts":2}],
"services":[{"name":"w","health-path":"/health","max-conns":100,"cold-start-s":3,"cold-per-s":4,"sharded":true,"warmup-s":3}],
"limits":{"max-header-bytes":4096,"max-body-bytes":10000,"header-timeout-s":1,"idle-timeout-s":2}}`

// newHost returns a complete host, with its coordinator, store and keyed targets,
// and the buffer that receives its log.
func newHost(t *testing.T, targets int) (*harness, *logBuffer) {
	t.Helper()
	return newHostOn(t, standin.NewStore(), targets)
}

// newHostOn is newHost with a store, and with changed settings of the gateway.
func newHostOn(t *testing.T, store *standin.Store, targets int, change ...func(*Config)) (*harness, *logBuffer) {
	t.Helper()
	store.Put(platform.TopicOperator, "config", []byte(explainDesired))
	r := &harness{}
	for i := range targets {
		x := standin.NewTarget(fmt.Sprint("t", i), 1, true)
		srv := httptest.NewServer(x)
		t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
		r.targets, r.servers = append(r.targets, x), append(r.servers, srv)
		store.Put(platform.TopicTargets, x.ID, map[string]any{
			"service": "w", "address": strings.TrimPrefix(srv.URL, "http://"), "zone": "d", "slots": 1, "state": "ready",
			"cold-left-s": 0, "seq": 1, "born": 1,
		})
	}
	storeServer := httptest.NewServer(store)
	t.Cleanup(func() { storeServer.CloseClientConnections(); storeServer.Close() })
	buf := &logBuffer{}
	log := eventlog.New(buf, "info")
	t.Cleanup(log.Close)
	coord := coordinator.New(coordinator.Config{
		Host: "host0", Fleet: storeServer.URL, Peer: "127.0.0.1:0", Store: platform.NewStore(strings.TrimPrefix(storeServer.URL, "http://")),
		Grants: platform.NewGrants(), Log: log, Cores: 1, LinkMbps: 1000,
	})
	cfg := Config{Domain: "d", Deployment: coord, Log: log, RetryRatio: 0.2, RetryExtra: 100, RetryWindow: 10 * time.Second}
	for _, f := range change {
		f(&cfg)
	}
	r.gw = New(cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	sup := suture.New("test", suture.Spec{EventHook: func(suture.Event) {}})
	sup.Add(r.gw)
	coord.AddTo(sup)
	done := sup.ServeBackground(ctx)
	go func() { _ = r.gw.ServeCallers(ctx, l) }() // ends with the context
	t.Cleanup(func() { cancel(); <-done })
	for end := time.Now().Add(8 * time.Second); !coord.Ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the host is not ready after 8 s")
		}
	}
	return r, buf
}

// requestKey sends a request for a key on a new connection and returns the status,
// or 0 if there was no response.
func (r *harness) requestKey(method, path, id string, key int) int {
	req, err := http.NewRequest(method, "http://"+r.address+path, nil)
	if err != nil {
		return 0
	}
	req.Host = "h"
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(standin.HeaderDeadline, "1500")
	req.Header.Set(standin.HeaderKey, fmt.Sprint(key))
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body) // only the status is checked
	return resp.StatusCode
}

// requestUntilStatus repeats a request for a key until it gets the given status, for
// up to 6 s, and returns the identifier of the last request.
func (r *harness) requestUntilStatus(status int, name string, key int) (string, bool) {
	for i, end := 0, time.Now().Add(6*time.Second); time.Now().Before(end); i++ {
		id := fmt.Sprint(name, i)
		if r.requestKey("GET", "/k/x", id, key) == status {
			return id, true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return "", false
}

// requestUntilNoOwnerLogged repeats a request for key 7 until the log shows a refusal
// because the key has no owner.
func requestUntilNoOwnerLogged(r *harness, log *logBuffer) bool {
	for i, end := 0, time.Now().Add(6*time.Second); time.Now().Before(end); i++ {
		r.requestKey("GET", "/k/x", fmt.Sprint("lost", i), 7)
		for _, l := range log.lines() {
			if l.event == "no_owner" && l.fields["key"] == "7" && l.fields["back_ms"] != "0" {
				return true
			}
		}
	}
	return false
}

// TestFailedRequestsAreExplained reproduces the three failed requests of
// docs/OPERATIONS.md. It guards against a page whose log lines or fields differ from
// those that the host writes.
func TestFailedRequestsAreExplained(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for real time")
	}
	Convey("Given a host with keyed targets", t, func() {
		r, log := newHost(t, 3)
		r.setBehaviour(standin.Behaviour{ServiceTime: 300 * time.Millisecond})
		_, ok := r.requestUntilStatus(200, "warm", 7)
		So(ok, ShouldBeTrue)
		served, ok := log.waitForLine("served", map[string]string{"key": "7"})
		So(ok, ShouldBeTrue)
		owner := served.fields["target"]
		var ownerIndex int
		for i, x := range r.targets {
			if x.ID == owner {
				ownerIndex = i
			}
		}
		Convey("a request refused while other targets were free names the owner of its key, the wait there and the time left", func() {
			var wg sync.WaitGroup
			statuses := make([]int, 12)
			for i := range statuses {
				wg.Add(1)
				go func() {
					defer wg.Done()
					statuses[i] = r.requestKey("GET", "/k/x", fmt.Sprint("full", i), 7)
				}()
				time.Sleep(30 * time.Millisecond)
			}
			wg.Wait()
			So(statuses, ShouldContain, 503)
			refused, ok := log.waitForLine("refused", map[string]string{"target": owner, "reason": "objective"})
			So(ok, ShouldBeTrue)
			So(refused.fields["retry_after_ms"], ShouldNotBeIn, "", "0")
			failed, ok := log.waitForLine("failed", map[string]string{"request": refused.fields["request"]})
			So(ok, ShouldBeTrue)
			So(failed.fields["code"], ShouldEqual, "overload")
			So(failed.fields["status"], ShouldEqual, "503")
		})
		Convey("an order that ended 504 names the target that got it and did not answer", func() {
			r.targets[ownerIndex].SetBehaviour(standin.Behaviour{NeverRespond: true})
			So(r.requestKey("POST", "/o/x", "order1", 7), ShouldEqual, 504)
			sent, ok := log.waitForLine("send_failed", map[string]string{"request": "order1", "target": owner, "sent": "true"})
			So(ok, ShouldBeTrue)
			So(sent.fields["reason"], ShouldEqual, `"no answer"`)
			failed, ok := log.waitForLine("failed", map[string]string{"request": "order1", "status": "504"})
			So(ok, ShouldBeTrue)
			So(failed.fields["code"], ShouldEqual, "timeout")
		})
		Convey("a key that nobody held leads to the failed grants of its owner and the move", func() {
			r.servers[ownerIndex].CloseClientConnections()
			So(r.servers[ownerIndex].Listener.Close(), ShouldBeNil)
			// The leader detects the loss of the owner after a missed renewal; until then
			// requests try to connect to it.
			So(requestUntilNoOwnerLogged(r, log), ShouldBeTrue)
			_, ok := log.waitForLine("send_failed", map[string]string{"target": owner, "sent": "false"})
			So(ok, ShouldBeTrue)
			_, ok = log.waitForLine("target_judged", map[string]string{"target": owner, "condition": "failing"})
			So(ok, ShouldBeTrue)
			_, ok = r.requestUntilStatus(200, "back", 7)
			So(ok, ShouldBeTrue)
			_, ok = log.waitForLine("grant_failed", map[string]string{"target": owner})
			So(ok, ShouldBeTrue)
			_, ok = log.waitForLine("move", map[string]string{"former": owner, "failing": "1"})
			So(ok, ShouldBeTrue)
		})
		documented := documentedEvents(t)
		for _, l := range log.lines() {
			fields, ok := documented[l.event]
			if !ok {
				t.Errorf("event %q is not in the table of docs/OPERATIONS.md", l.event)
			}
			for _, f := range fields {
				if _, ok := l.fields[f]; !ok {
					t.Errorf("event %q has no field %q: %v", l.event, f, l.fields)
				}
			}
		}
	})
}
