package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/httpplatform"
	"github.com/boragelock/boragelock/provider"
)

// TargetConfig describes a target.
type TargetConfig struct {
	Name     string `json:"name"`
	Workload string `json:"workload"`
	Domain   string `json:"domain"`
	// Keyed and Shards describe the workload. With Fencing, the target checks
	// grants and epochs.
	Keyed   bool  `json:"keyed"`
	Shards  int32 `json:"shards"`
	Fencing bool  `json:"fencing"`
	// Slots is the maximum number of concurrent requests. Default 2.
	Slots int `json:"slots"`
	// Connections is the maximum number of open connections. Default 130.
	Connections int `json:"connections"`
	// ServiceMS is the median service time in milliseconds; default 5.
	// SigmaLog is the standard deviation of its logarithm; 0 means constant.
	ServiceMS float64 `json:"service_ms"`
	SigmaLog  float64 `json:"sigma_log"`
	// StartCold makes the target cold at its start. Its capacity then rises
	// from ColdSlots to Slots over RampMS milliseconds of work.
	StartCold bool  `json:"start_cold"`
	ColdSlots int   `json:"cold_slots"`
	RampMS    int64 `json:"ramp_ms"`
	// A target that sheds FallOverSheds requests within a second while cold
	// refuses everything for FallOverMS milliseconds; 0 means never.
	FallOverSheds int   `json:"fall_over_sheds"`
	FallOverMS    int64 `json:"fall_over_ms"`
	// Seed seeds the random service times.
	Seed uint64 `json:"seed"`
}

func (c TargetConfig) withDefaults() TargetConfig {
	if c.Slots <= 0 {
		c.Slots = 2
	}
	if c.Connections <= 0 {
		c.Connections = 130
	}
	if c.ServiceMS <= 0 {
		c.ServiceMS = 5
	}
	if c.ColdSlots <= 0 || c.ColdSlots > c.Slots {
		c.ColdSlots = max(1, c.Slots/2)
	}
	if c.RampMS <= 0 {
		c.RampMS = 1000
	}
	if c.FallOverMS <= 0 {
		c.FallOverMS = 3000
	}
	if c.Shards <= 0 {
		c.Shards = 256
	}
	return c
}

// TargetSwitches inject failures and state changes into a target.
type TargetSwitches struct {
	// SlowFactor multiplies service times; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// Frozen stops everything but the admin handler.
	Frozen bool `json:"frozen"`
	// Leaving announces that the target leaves. With RefuseLeaving, a leaving
	// target also refuses new work.
	Leaving       bool `json:"leaving"`
	RefuseLeaving bool `json:"refuse_leaving"`
	// LoadLagMS is the age of load reports, in milliseconds.
	LoadLagMS int64 `json:"load_lag_ms"`
	// FalseLoad, unless nil, replaces the load in reports.
	FalseLoad *provider.LoadReport `json:"false_load"`
	// Down simulates an outage of everything but the admin handler.
	Down Down `json:"down"`
}

// loadSample is the load at a point in time.
type loadSample struct {
	at   time.Duration
	load provider.LoadReport
}

// maxLoadSamples limits the load history.
const maxLoadSamples = 4096

// Target is a stand-in for a target.
type Target struct {
	cfg      TargetConfig
	recorder *Recorder
	mux      *http.ServeMux

	mu              sync.Mutex
	switches        TargetSwitches
	thaw            chan struct{}
	fence           *fence
	running         map[*run]struct{}
	rng             *rand.Rand
	loadHistory     []loadSample
	cold            bool
	warmupDone      time.Duration
	recentColdSheds []time.Duration
	fallenUntil     time.Duration
	openConns       int
}

// NewTarget returns a target that owns no shards.
func NewTarget(cfg TargetConfig, rec *Recorder) *Target {
	cfg = cfg.withDefaults()
	t := &Target{
		cfg: cfg, recorder: rec, mux: http.NewServeMux(), thaw: make(chan struct{}),
		running: map[*run]struct{}{}, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15)),
	}
	t.mux.HandleFunc("POST "+httpplatform.PathGrant, t.serveGrant)
	t.mux.HandleFunc("GET "+httpplatform.PathLoad, t.serveLoad)
	t.restart(cfg.StartCold)
	return t
}

// Config returns the configuration with its defaults filled in.
func (t *Target) Config() TargetConfig { return t.cfg }

// Restart starts a new incarnation that is cold and has no grants. Runs of the
// old incarnation take no effect.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restart(true)
}

func (t *Target) restart(cold bool) {
	session := int64(0)
	if t.fence != nil {
		session = t.fence.leasePeriod + 1
	}
	t.fence = newFence(fmt.Sprintf("%s-%x", t.cfg.Name, uint64(boottime.Now())), t.cfg.Shards)
	t.fence.leasePeriod = session
	t.running = map[*run]struct{}{}
	t.cold, t.warmupDone, t.fallenUntil = cold, 0, 0
	t.event(EventStart)
	if cold {
		t.event(EventCold)
	}
	t.sampleLoad()
}

// Switches returns the current switches.
func (t *Target) Switches() TargetSwitches {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.switches
}

// SetSwitches sets the switches.
func (t *Target) SetSwitches(s TargetSwitches) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.switches.Frozen && !s.Frozen {
		close(t.thaw)
		t.thaw = make(chan struct{})
	}
	if s.Leaving && !t.switches.Leaving {
		t.event(EventLeaving)
	}
	t.switches = s
	t.sampleLoad()
}

// Cool makes the target cold without a restart. Only its load reports show the
// change.
func (t *Target) Cool() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cold, t.warmupDone = true, 0
	t.event(EventCold)
	t.sampleLoad()
}

// event records an event. The mutex is held.
func (t *Target) event(k EventKind) {
	now := int64(boottime.Now())
	t.recorder.Add(Record{Target: t.cfg.Name, Incarnation: t.fence.incarnation, Event: k,
		StartMono: now, EndMono: now, StartWall: time.Now()})
}

// capacity returns the current maximum of concurrent requests. The mutex is held.
func (t *Target) capacity() int {
	if !t.cold {
		return t.cfg.Slots
	}
	ramp := time.Duration(t.cfg.RampMS) * time.Millisecond
	return t.cfg.ColdSlots + int(int64(t.cfg.Slots-t.cfg.ColdSlots)*int64(t.warmupDone)/int64(ramp))
}

// addWarmup adds service time to the warm-up of a cold target. The mutex is held.
func (t *Target) addWarmup(d time.Duration) {
	if !t.cold {
		return
	}
	t.warmupDone += d
	if t.warmupDone >= time.Duration(t.cfg.RampMS)*time.Millisecond {
		t.cold = false
	}
}

// currentLoad returns the actual load. The mutex is held.
func (t *Target) currentLoad() provider.LoadReport {
	l := provider.LoadReport{State: provider.TargetServing, Incarnation: t.fence.incarnation, InFlight: len(t.running), Capacity: t.capacity()}
	switch {
	case t.switches.Leaving:
		l.State = provider.TargetLeaving
	case t.cold:
		l.State = provider.TargetCold
	}
	return l
}

// sampleLoad adds the load to the history, from which reportedLoad takes late
// reports. The mutex is held.
func (t *Target) sampleLoad() {
	if len(t.loadHistory) >= maxLoadSamples {
		t.loadHistory = append(t.loadHistory[:0], t.loadHistory[maxLoadSamples/2:]...)
	}
	t.loadHistory = append(t.loadHistory, loadSample{at: boottime.Now(), load: t.currentLoad()})
}

// reportedLoad returns the load as the target reports it. The mutex is held.
func (t *Target) reportedLoad() provider.LoadReport {
	if t.switches.FalseLoad != nil {
		return *t.switches.FalseLoad
	}
	if t.switches.LoadLagMS <= 0 {
		return t.currentLoad()
	}
	asOf := boottime.Now() - time.Duration(t.switches.LoadLagMS)*time.Millisecond
	l := t.loadHistory[0].load
	for _, s := range t.loadHistory {
		if s.at > asOf {
			break
		}
		l = s.load
	}
	return l
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.awaitThaw()
	switch t.Switches().Down {
	case DownRefuse:
		refuse(w, http.StatusServiceUnavailable, provider.RefusalShed)
	case DownCut:
		cutConnection(w)
	case DownSilent:
		<-r.Context().Done()
		cutConnection(w)
	default:
		// The mux would redirect keys that contain "//" or "..".
		if strings.HasPrefix(r.URL.EscapedPath(), httpplatform.PathWork) {
			t.serveWork(w, r)
			return
		}
		t.mux.ServeHTTP(w, r)
	}
}

// awaitThaw blocks while the target is frozen.
func (t *Target) awaitThaw() {
	for {
		t.mu.Lock()
		frozen, thaw := t.switches.Frozen, t.thaw
		t.mu.Unlock()
		if !frozen {
			return
		}
		<-thaw
	}
}

func (t *Target) serveGrant(w http.ResponseWriter, r *http.Request) {
	var g provider.Grant
	body, err := io.ReadAll(io.LimitReader(r.Body, 16<<20))
	if err == nil {
		err = json.Unmarshal(body, &g)
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, "malformed")
		return
	}
	t.awaitThaw()
	reply, ok := t.Grant(g)
	if !ok {
		refuse(w, http.StatusServiceUnavailable, provider.RefusalShed)
		return
	}
	writeJSON(w, reply)
}

// Grant applies a grant and returns the reply. It returns false while the target
// has fallen over.
func (t *Target) Grant(g provider.Grant) (provider.GrantReply, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := boottime.Now()
	if now < t.fallenUntil {
		return provider.GrantReply{}, false
	}
	res := provider.GrantAccepted
	if t.cfg.Fencing {
		res = t.fence.applyGrant(g, now)
	} else {
		t.fence.version = g.Version
	}
	reply := provider.GrantReply{
		Result: res, Nonce: t.fence.issueNonce(g.Granter, now), Version: t.fence.version,
		Incarnation: t.fence.incarnation, Load: t.reportedLoad(),
	}
	if t.cfg.Fencing {
		reply.Draining = t.fence.draining(t.running)
	}
	return reply, true
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	l, fallenOver := t.reportedLoad(), boottime.Now() < t.fallenUntil
	t.mu.Unlock()
	if fallenOver {
		refuse(w, http.StatusServiceUnavailable, provider.RefusalShed)
		return
	}
	writeJSON(w, l)
}
