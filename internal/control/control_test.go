package control

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/httpplatform"
	"github.com/boragelock/boragelock/internal/peer"
	"github.com/boragelock/boragelock/internal/standin"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/provider"
)

// testSystem runs the control planes of entry hosts in one process against
// stand-ins on loopback.
type testSystem struct {
	t          *testing.T
	deployment contract.Deployment
	log        *standin.Log
	logAddr    string
	targets    map[string]*standin.Target
	servers    map[string]*httptest.Server
	hosts      map[string]*testHost
	fencing    bool
}

type testHost struct {
	*Control
	cancel context.CancelFunc
	done   <-chan error
	peers  *peer.Client
	logCut atomic.Bool
}

// cuttableLog is one host's client of the log; its calls fail while cut is set.
type cuttableLog struct {
	provider.Log
	cut *atomic.Bool
}

func (l *cuttableLog) Append(ctx context.Context, data []byte) (int64, error) {
	if l.cut.Load() {
		return 0, &provider.Error{Op: "log.append", Code: provider.CodeUnavailable, Detail: "cut"}
	}
	return l.Log.Append(ctx, data)
}

func (l *cuttableLog) Read(ctx context.Context, from int64, limit int, wait time.Duration) (provider.Batch, error) {
	if l.cut.Load() {
		return provider.Batch{}, &provider.Error{Op: "log.read", Code: provider.CodeUnavailable, Detail: "cut"}
	}
	return l.Log.Read(ctx, from, limit, wait)
}

const testShards = 32

// newTestSystem starts stand-ins for the log and for targets in each domain.
func newTestSystem(t *testing.T, domains, targetsEach int) *testSystem {
	t.Helper()
	return newTestSystemWithLog(t, domains, targetsEach, standin.LogConfig{})
}

func newTestSystemWithLog(t *testing.T, domains, targetsEach int, logCfg standin.LogConfig) *testSystem {
	t.Helper()
	return newTestSystemWith(t, domains, targetsEach, logCfg, true)
}

func newTestSystemWith(t *testing.T, domains, targetsEach int, logCfg standin.LogConfig, fencing bool) *testSystem {
	t.Helper()
	s := &testSystem{
		t: t, log: standin.NewLog(logCfg), targets: map[string]*standin.Target{},
		servers: map[string]*httptest.Server{}, hosts: map[string]*testHost{}, fencing: fencing,
	}
	ls := httptest.NewServer(s.log)
	t.Cleanup(ls.Close)
	s.logAddr = ls.Listener.Addr().String()
	s.deployment = contract.Deployment{
		Name: "test", IsolatedServeMS: -1,
		Workloads: []contract.Workload{{Name: "lookups", Keyed: true, Shards: testShards, Fencing: fencing}},
	}
	for d := range domains {
		domain := fmt.Sprintf("d%d", d)
		s.deployment.Domains = append(s.deployment.Domains, contract.Domain{Name: domain})
		for i := range targetsEach {
			s.addTarget(fmt.Sprintf("%s-t%d", domain, i), domain)
		}
	}
	return s
}

func (s *testSystem) addTarget(name, domain string) {
	tg := standin.NewTarget(standin.TargetConfig{
		Name: name, Workload: "lookups", Domain: domain, Keyed: true, Shards: testShards, Fencing: s.fencing,
	}, standin.NewRecorder(nil, true))
	srv := httptest.NewServer(tg)
	s.t.Cleanup(srv.Close)
	s.targets[name], s.servers[name] = tg, srv
	s.deployment.Targets = append(s.deployment.Targets, contract.Target{
		Name: name, Workload: "lookups", Domain: domain, Addr: srv.Listener.Addr().String(), Slots: 2, MaxConnections: 130,
	})
}

// start runs one entry host.
func (s *testSystem) start(name, domain, incarnation string) *testHost {
	s.t.Helper()
	return s.startWith(name, domain, incarnation, func(*Config) {})
}

func (s *testSystem) startWith(name, domain, incarnation string, adjust func(*Config)) *testHost {
	s.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	h := &testHost{peers: &peer.Client{}}
	cfg := Config{
		Self:      view.Self{Name: name, Domain: domain, Incarnation: incarnation, HTTPAddr: "127.0.0.1:1"},
		PeerAddr:  ln.Addr().String(),
		Bootstrap: &s.deployment, Peers: h.peers, Logger: testLogger(name),
		Log:             &cuttableLog{Log: httpplatform.NewLog(s.logAddr, httpplatform.Options{}), cut: &h.logCut},
		NewTargetClient: func(addr string) provider.Target { return httpplatform.NewTarget(addr, httpplatform.Options{}) },
	}
	adjust(&cfg)
	h.Control = New(cfg)
	// Without a request path no requests are in progress.
	h.SetDrainedVersion(func(_ string, version uint64) uint64 { return version })
	server := &peer.Server{Listener: ln}
	h.Register(server)
	sup := suture.New(name, suture.Spec{EventHook: func(suture.Event) {}})
	for _, svc := range h.Services() {
		sup.Add(svc)
	}
	sup.Add(server)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel, h.done = cancel, sup.ServeBackground(ctx)
	s.hosts[name] = h
	s.t.Cleanup(func() { s.kill(name) })
	return h
}

// testLogger logs to standard error at the level in BORAGELOCK_TEST_LOG, by
// default not at all.
func testLogger(name string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.LevelFromString(cmp.Or(os.Getenv("BORAGELOCK_TEST_LOG"), "off"))})
}

// kill stops a host without Control.Stop.
func (s *testSystem) kill(name string) {
	h := s.hosts[name]
	if h == nil {
		return
	}
	delete(s.hosts, name)
	h.cancel()
	<-h.done
	h.peers.Close()
}

// killTarget makes a target refuse connections.
func (s *testSystem) killTarget(name string) {
	s.servers[name].CloseClientConnections()
	s.servers[name].Listener.Close()
}

// eventually waits for a condition and returns how long it took.
func (s *testSystem) eventually(limit time.Duration, what string, cond func() bool) time.Duration {
	s.t.Helper()
	start := time.Now()
	for time.Since(start) < limit {
		if cond() {
			return time.Since(start)
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Fatalf("%s: not within %v", what, limit)
	return 0
}

// serving reports whether, in the view of a host, each shard is active at a
// target that is not excluded and that has a home with a permit.
func (s *testSystem) serving(h *testHost, excluded ...string) bool {
	v := h.View()
	if v == nil || v.State.Table.Workloads["lookups"] == nil {
		return false
	}
	for _, sh := range v.State.Table.Workloads["lookups"].Shards {
		if !sh.Active() || contains(excluded, sh.Owner) || !s.permitted(v, sh.Owner) {
			return false
		}
	}
	return true
}

func (s *testSystem) permitted(v *view.View, target string) bool {
	home, ok := s.hosts[v.Homes[target].Host]
	return ok && home.Permit(target) > 0
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func (s *testSystem) startAll(domains, each int) *testHost {
	var first *testHost
	for d := range domains {
		for i := range each {
			h := s.start(fmt.Sprintf("d%d-e%d", d, i), fmt.Sprintf("d%d", d), "1")
			if first == nil {
				first = h
			}
		}
	}
	s.eventually(10*time.Second, "all shards served", func() bool { return s.serving(first) })
	return first
}

// When a target dies, others must serve its shards within 2 s, and no other shard
// may move.
func TestLostTargetIsReplacedWithinTwoSeconds(t *testing.T) {
	s := newTestSystem(t, 2, 3)
	h := s.startAll(2, 2)
	before := h.View().State.Table.Clone()
	s.killTarget("d0-t1")
	took := s.eventually(5*time.Second, "shards of the lost target served", func() bool { return s.serving(h, "d0-t1") })
	t.Logf("served again after %v", took)
	if took > 2*time.Second {
		t.Errorf("served again after %v, want at most 2s", took)
	}
	after := h.View().State.Table
	for n, sh := range before.Workloads["lookups"].Shards {
		if now := after.Workloads["lookups"].Shards[n]; sh.Owner != "d0-t1" && now != sh {
			t.Errorf("shard %d of a living target moved: %+v to %+v", n, sh, now)
		}
	}
}

// An outage of the log must not end the leases of living targets.
func TestLogOutageKeepsLeases(t *testing.T) {
	s := newTestSystem(t, 1, 2)
	s.startAll(1, 3)
	s.log.SetSwitches(standin.LogSwitches{Down: standin.DownSilent})
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		for name, tg := range s.targets {
			if !leased(tg) {
				t.Fatalf("lease of %s ended while the log was down", name)
			}
		}
	}
}

// The other granters must keep renewing leases when the first one dies.
func TestLostGranterKeepsLeases(t *testing.T) {
	s := newTestSystem(t, 1, 2)
	s.startAll(1, 4)
	leader := s.hosts["d0-e1"].View().State.Granters["d0"].Members[0].Host
	s.kill(leader)
	var h *testHost
	for _, x := range s.hosts {
		h = x
	}
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		for name, tg := range s.targets {
			if !leased(tg) {
				t.Fatalf("lease of %s ended when the leading granter died", name)
			}
		}
	}
	s.eventually(5*time.Second, "homes moved off the dead host", func() bool { return s.serving(h) })
}

// leased reports whether a target has a valid lease on all shards that it was
// granted.
func leased(tg *standin.Target) bool { return tg.HoldsLease() }

// A host that starts after the log has dropped its first records must start from
// a snapshot: from the log or, while that is down, from a peer.
func TestNewHostStartsFromSnapshot(t *testing.T) {
	s := newTestSystemWithLog(t, 1, 2, standin.LogConfig{RetainRecords: 3})
	h := s.startAll(1, 2)
	if err := h.writeSnapshot(context.Background()); err != nil {
		t.Fatal(err)
	}
	late := s.start("d0-e7", "d0", "1")
	s.eventually(5*time.Second, "state from the log", func() bool { return s.serving(late) })

	s.log.SetSwitches(standin.LogSwitches{Down: standin.DownRefuse})
	seeds := []string{h.cfg.PeerAddr}
	other := s.startWith("d0-e8", "d0", "1", func(c *Config) { c.SeedPeers = seeds })
	s.eventually(5*time.Second, "state from a peer", func() bool { return s.serving(other) })
}

// An accepted change must reach hosts that cannot read the log, and a later change
// made from an older version must not undo it.
func TestChangeReachesHostsCutOffFromTheLog(t *testing.T) {
	s := newTestSystem(t, 2, 1)
	h := s.startAll(2, 1)
	other := s.hosts["d1-e0"]
	other.logCut.Store(true)
	ch := contract.Change{FromVersion: h.View().State.Config.Version, Operator: "test", Items: []contract.Item{{Isolation: &contract.Isolation{ServeMS: 5000}}}}
	start := time.Now()
	res, err := h.Append(context.Background(), journal.KindChange, ch)
	if err != nil || res.Outcome != journal.OutcomeApplied {
		t.Fatalf("change: %v %v", res, err)
	}
	s.eventually(4*time.Second, "change in force", func() bool { return other.View().State.Config.IsolatedServeMS == 5000 })
	t.Logf("in force through a peer after %v", time.Since(start))
	res, err = h.Append(context.Background(), journal.KindChange, ch)
	if err != nil || res.Outcome != journal.OutcomeRefused {
		t.Fatalf("second change from the same version: %v %v, want refused", res, err)
	}
}

// change appends a configuration change made from the version in force.
func (s *testSystem) change(h *testHost, items ...contract.Item) {
	s.t.Helper()
	ch := contract.Change{FromVersion: h.View().State.Config.Version, Operator: "test", Items: items}
	res, err := h.Append(context.Background(), journal.KindChange, ch)
	if err != nil || res.Outcome != journal.OutcomeApplied {
		s.t.Fatalf("change: %+v %v", res, err)
	}
}

func (s *testSystem) targetsOf(domain string) []string {
	var out []string
	for _, t := range s.deployment.Targets {
		if t.Domain == domain {
			out = append(out, t.Name)
		}
	}
	return out
}

// A domain that operators take out of service must hand over all its shards while
// its targets still respond.
func TestDomainOutHandsShardsOver(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing=%v", fencing), func(t *testing.T) {
			s := newTestSystemWith(t, 2, 2, standin.LogConfig{}, fencing)
			h := s.startAll(2, 2)
			s.change(h, contract.Item{Domain: &contract.SetState{Name: "d1", State: contract.StateOut}})
			out := s.targetsOf("d1")
			took := s.eventually(15*time.Second, "shards handed over", func() bool { return s.serving(h, out...) })
			t.Logf("handed over after %v", took)
		})
	}
}

// A domain that is lost as a whole must be taken over only when operators declare
// it lost.
func TestLostDomainIsTakenOverOnRequest(t *testing.T) {
	s := newTestSystem(t, 2, 2)
	h := s.startAll(2, 1)
	s.kill("d1-e0")
	dead := s.targetsOf("d1")
	for _, name := range dead {
		s.killTarget(name)
	}
	time.Sleep(2 * time.Second)
	for _, sh := range h.View().State.Table.Workloads["lookups"].Shards {
		if contains(dead, sh.Owner) && sh.Epoch > 1 {
			t.Fatalf("shard of a silent domain moved before operators declared the domain lost: %+v", sh)
		}
	}
	s.change(h, contract.Item{Domain: &contract.SetState{Name: "d1", State: contract.StateLost}})
	took := s.eventually(5*time.Second, "shards taken over", func() bool { return s.serving(h, dead...) })
	t.Logf("taken over after %v", took)
}

// A silent domain that may not serve in isolation must be taken over without an
// operator's request.
func TestSilentDomainIsTakenOverWhenIsolationIsLimited(t *testing.T) {
	s := newTestSystem(t, 2, 2)
	s.deployment.IsolatedServeMS = 0
	h := s.startAll(2, 1)
	s.kill("d1-e0")
	dead := s.targetsOf("d1")
	for _, name := range dead {
		s.killTarget(name)
	}
	took := s.eventually(10*time.Second, "shards taken over", func() bool { return s.serving(h, dead...) })
	t.Logf("taken over after %v", took)
}

// A target that reports that it is leaving must lose its shards while it still
// serves.
func TestLeavingTargetIsDrained(t *testing.T) {
	s := newTestSystem(t, 1, 3)
	h := s.startAll(1, 2)
	s.targets["d0-t1"].SetSwitches(standin.TargetSwitches{Leaving: true})
	took := s.eventually(15*time.Second, "shards handed over", func() bool { return s.serving(h, "d0-t1") })
	t.Logf("handed over after %v", took)
}

// A hot key must get its own shard, so that it can move without the other keys of
// its former shard.
func TestHotKeyIsSplit(t *testing.T) {
	s := newTestSystem(t, 1, 3)
	h := s.startAll(1, 2)
	stop := time.Now().Add(10 * time.Second)
	for time.Now().Before(stop) {
		for i := range 20 {
			h.Observe("lookups", "hot", h.View().State.Table.Workloads["lookups"].Locate("hot"))
			if i%4 == 0 {
				key := fmt.Sprintf("cold-%d", time.Now().UnixNano()%1000)
				h.Observe("lookups", key, h.View().State.Table.Workloads["lookups"].Locate(key))
			}
		}
		if _, ok := h.View().State.Table.Workloads["lookups"].HotKeys["hot"]; ok {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("hot key has no shard of its own")
}

// A limit for serving in isolation that is set later must lead to a takeover too.
// For this, the leader of another domain must learn that the silent domain's
// granters had read the limit.
func TestIsolationLimitSetLaterLeadsToTakeover(t *testing.T) {
	s := newTestSystem(t, 2, 1)
	h := s.startAll(2, 1)
	s.change(h, contract.Item{Isolation: &contract.Isolation{ServeMS: 0}})
	time.Sleep(2 * time.Second)
	s.kill("d1-e0")
	dead := s.targetsOf("d1")
	for _, name := range dead {
		s.killTarget(name)
	}
	took := s.eventually(10*time.Second, "shards taken over", func() bool { return s.serving(h, dead...) })
	t.Logf("taken over after %v", took)
}
