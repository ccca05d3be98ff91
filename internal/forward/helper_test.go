package forward

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/retry"
)

const token = "secret"

// Discards the log of net/http, which reports each surplus response; some tests
// send hundreds of them.
func init() { log.SetOutput(io.Discard) }

// testSource is a view.Source whose view and permits are set by the test.
type testSource struct {
	mu      sync.Mutex
	view    *view.View
	changed chan struct{}
	permits map[string]time.Duration
	events  []view.Event
}

func (s *testSource) View() *view.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *testSource) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *testSource) Permit(t string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permits[t]
}

func (s *testSource) Report(e view.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
}

func (s *testSource) reported(kind view.EventKind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.events {
		if e.Kind == kind {
			return true
		}
	}
	return false
}

// update publishes a changed copy of the view.
func (s *testSource) update(f func(*view.View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := *s.view
	v.State = v.State.Clone()
	f(&v)
	s.view = &v
	close(s.changed)
	s.changed = make(chan struct{})
}

func hashOf(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// newSource returns a source for host e1 with workloads "keyed" (fenced), "bare"
// (not fenced) and "free" (unkeyed); the targets "k", "b" and "f1", "f2" are
// all served at addr and at home on e1.
func newSource(t testing.TB, addr string) *testSource {
	t.Helper()
	target := func(name, workload string) contract.Target {
		return contract.Target{Name: name, Workload: workload, Domain: "d", Addr: addr, Slots: 8, MaxConnections: 100}
	}
	d := contract.Deployment{
		Name: "test", Domains: []contract.Domain{{Name: "d"}},
		Workloads: []contract.Workload{
			{Name: "keyed", Keyed: true, Shards: 4, Fencing: true, MaxBodyBytes: 1 << 20},
			{Name: "bare", Keyed: true, Shards: 1},
			{Name: "free"},
		},
		Targets: []contract.Target{target("k", "keyed"), target("b", "bare"), target("f1", "free"), target("f2", "free")},
		Contracts: []contract.Contract{
			{Customer: "c", CredentialHashes: []string{hashOf(token)}, Workloads: []string{"keyed", "bare", "free"},
				RatePerSecond: 1e6, Burst: 1e6, Concurrency: 10000, Weight: 1},
			{Customer: "slow", CredentialHashes: []string{hashOf(token)}, Workloads: []string{"keyed"},
				RatePerSecond: 1, Burst: 1, Concurrency: 10, Weight: 1},
			{Customer: "past", CredentialHashes: []string{hashOf(token)}, Workloads: []string{"keyed"},
				RatePerSecond: 1, Burst: 1, Concurrency: 10, Weight: 1, Ended: true},
		},
	}
	cfg, err := contract.NewState(d)
	if err != nil {
		t.Fatal(err)
	}
	st := journal.NewState()
	st.Config = cfg
	var moves []ownership.MoveShard
	for w, n := range map[string]int32{"keyed": 4, "bare": 1} {
		st.Table.AddWorkload(w, n)
		for i := range n {
			moves = append(moves, ownership.MoveShard{ID: ownership.ID{Workload: w, Shard: i}, To: w[:1]})
		}
	}
	st.Table.ApplyMove(ownership.Move{Shards: moves})
	s := &testSource{
		changed: make(chan struct{}), permits: map[string]time.Duration{},
		view: &view.View{
			Self: view.Self{Name: "e1", Domain: "d", Incarnation: "i1"}, State: st,
			Homes: map[string]view.Home{}, Targets: map[string]view.Target{}, Peers: map[string]view.Peer{},
		},
	}
	for _, x := range d.Targets {
		s.view.Homes[x.Name] = view.Home{Host: "e1", Epoch: 1}
		s.view.Targets[x.Name] = view.Target{Fit: true}
		s.permits[x.Name] = time.Minute
	}
	return s
}

// testHost is one entry host in front of one target address.
type testHost struct {
	source *testSource
	server *Server
	front  *httptest.Server
	client *http.Client
}

func newTestHost(t testing.TB, addr string, change func(*Config)) *testHost {
	t.Helper()
	s := &testHost{source: newSource(t, addr), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	cfg := Config{Source: s.source, RouteTimeout: 300 * time.Millisecond, MinSilenceTimeout: 60 * time.Millisecond}
	if change != nil {
		change(&cfg)
	}
	s.server = New(cfg)
	s.front = httptest.NewServer(s.server.CallerHandler())
	t.Cleanup(func() {
		s.client.CloseIdleConnections()
		s.front.CloseClientConnections()
		s.front.Close()
	})
	return s
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	// err is set when the response did not arrive completely.
	err error
	// e is the decoded error body, if it is one.
	e *retry.Error
}

func (s *testHost) do(method, path string, body io.Reader, header ...string) callerResponse {
	req, err := http.NewRequest(method, s.front.URL+path, body)
	if err != nil {
		return callerResponse{err: err}
	}
	req.Header.Set("Boragelock-Customer", "c")
	req.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r := callerResponse{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/json") {
		e := &retry.Error{}
		if json.Unmarshal(data, e) == nil && e.Code != "" {
			r.e = e
		}
	}
	return r
}

// rawTarget is a target that handles each connection with a script.
type rawTarget struct {
	ln    net.Listener
	conns sync.WaitGroup
}

// newRawTarget runs script for each connection in a goroutine; n counts
// connections from 1.
func newRawTarget(t testing.TB, script func(n int, c net.Conn)) *rawTarget {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rawTarget{ln: ln}
	go func() {
		for n := 1; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.conns.Go(func() {
				defer c.Close()
				script(n, c)
			})
		}
	}()
	t.Cleanup(func() { _ = ln.Close() })
	return r
}

func (r *rawTarget) addr() string { return r.ln.Addr().String() }

// readRequest reads up to the end of a request header and returns what it read, or
// the empty string when the connection ends.
func readRequest(c net.Conn) string {
	var got []byte
	buf := make([]byte, 4096)
	for !strings.Contains(string(got), "\r\n\r\n") {
		n, err := c.Read(buf)
		if err != nil {
			return ""
		}
		got = append(got, buf[:n]...)
	}
	return string(got)
}

// answerProbe responds to a probe, and reports whether head was one.
func answerProbe(c net.Conn, head string) bool {
	if !strings.HasPrefix(head, "GET /v1/load ") {
		return false
	}
	_, _ = io.WriteString(c, ok(`{"state":"serving","in_flight":0}`))
	return true
}

func ok(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	data, _ := json.Marshal(n)
	return string(data)
}
