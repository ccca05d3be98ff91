package forward

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/boragelock/boragelock/admission"
	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/httpplatform"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/provider"
	"github.com/boragelock/boragelock/retry"
)

// home is what this host holds of a target as its home: the queue, the count
// of requests in flight, and the connections.
type home struct {
	target contract.Target
	pool   *pool
	m      *metrics

	mu      sync.Mutex
	lim     *admission.Limiter
	waits   map[uint64]chan admission.Decision
	nextID  uint64
	timer   *time.Timer
	latency latencyEstimate
	report  admission.Report
	polled  time.Time
	polling bool
	// versions counts the requests in progress by the target's version in the
	// view with which they began.
	versions map[uint64]int
	// done counts the answers since the service time was last reported.
	done int
}

// latencyEstimate is a moving mean and mean deviation of response times, with
// weights 1/8 and 1/4 as in TCP's retransmission timer (RFC 6298).
type latencyEstimate struct{ mean, dev time.Duration }

func (l *latencyEstimate) add(d time.Duration) {
	if l.mean == 0 {
		l.mean, l.dev = d, d/2
		return
	}
	diff := d - l.mean
	l.mean += diff / 8
	l.dev += (max(diff, -diff) - l.dev) / 4
}

// reserveConnections are left for granters and probes: at most 3 granters hold
// one connection each, a probe opens one, and the pool of a former home closes
// its own while the new one opens.
const reserveConnections = 8

// poolLimit returns the number of connections of the home's pool. Twice the
// slots suffices, since no more requests than slots are in flight and a
// connection that is given up is replaced.
func poolLimit(t contract.Target) int {
	return max(t.Slots, min(2*t.Slots+2, t.MaxConnections-reserveConnections))
}

func (s *Server) newHome(t contract.Target, seen view.Target, before int) (*home, error) {
	h := &home{target: t, m: s.m, waits: map[uint64]chan admission.Decision{}, versions: map[uint64]int{}, report: reportOf(seen)}
	limits := admission.Limits{Slots: t.Slots, ColdSlots: t.ColdSlots, Ramp: time.Duration(t.RampMS) * time.Millisecond}
	start := admission.InitialState{InFlight: max(seen.Load.InFlight, before), Warm: t.RampMS == 0 || seen.Warm, Report: h.report}
	lim, err := admission.New(admission.Config{MaxQueue: s.cfg.MaxQueue}, limits, boottime.Now(), start)
	if err != nil {
		return nil, err
	}
	h.lim = lim
	h.pool = newPool(poolConfig{
		addr: t.Addr, limit: poolLimit(t), dials: s.cfg.MaxDials, timeout: s.cfg.DialTimeout, probePath: httpplatform.PathLoad,
	}, s.m)
	return h, nil
}

func reportOf(t view.Target) admission.Report {
	return admission.Report{
		Incarnation: t.Incarnation, Cold: t.State == provider.TargetCold,
		InFlight: t.Load.InFlight, Capacity: t.Load.Capacity,
	}
}

// acquire waits for a slot of the target. The request is ended with release.
func (h *home) acquire(ctx context.Context, c *call) (uint64, *retry.Error) {
	h.mu.Lock()
	now := boottime.Now()
	h.nextID++
	id := h.nextID
	d, notices := h.lim.Arrive(now, admission.Request{ID: id, Customer: c.customer, Weight: c.weight, Deadline: c.deadline})
	h.deliver(notices)
	if d.Verdict != admission.Wait {
		h.mu.Unlock()
		return id, shedError(d)
	}
	ch := make(chan admission.Decision, 1)
	h.waits[id] = ch
	h.arm(now)
	h.mu.Unlock()
	start := time.Now()
	defer addSince(h.m.queueUS, start)
	select {
	case d = <-ch:
		return id, shedError(d)
	case <-ctx.Done():
		return id, h.abandon(ctx, id, ch)
	}
}

// abandon takes a request out of the queue, or ends it when it was started at
// the same moment.
func (h *home) abandon(ctx context.Context, id uint64, ch chan admission.Decision) *retry.Error {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waits, id)
	now := boottime.Now()
	if !h.lim.Cancel(now, id) {
		if d := <-ch; d.Verdict == admission.Run {
			h.deliver(h.lim.Done(now, id, admission.Sample{Outcome: admission.OutcomeCancelled}))
		}
	}
	return ended(ctx, false)
}

// release ends a request that acquire let run.
func (h *home) release(id uint64, s admission.Sample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Outcome == admission.OutcomeOK {
		h.latency.add(s.Latency)
		h.done++
	}
	h.deliver(h.lim.Done(boottime.Now(), id, s))
}

// deliver passes decisions to waiting requests; h.mu is held.
func (h *home) deliver(notices []admission.Notice) {
	for _, n := range notices {
		if ch, ok := h.waits[n.ID]; ok {
			delete(h.waits, n.ID)
			ch <- n.Decision
		}
	}
}

// arm sets the timer for the next expiry in the queue; h.mu is held.
func (h *home) arm(now time.Duration) {
	at, ok := h.lim.NextExpiry()
	if !ok {
		return
	}
	d := max(at-now, time.Millisecond)
	if h.timer == nil {
		h.timer = time.AfterFunc(d, h.expire)
		return
	}
	h.timer.Reset(d)
}

func (h *home) expire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := boottime.Now()
	h.deliver(h.lim.Expire(now))
	h.arm(now)
}

func shedError(d admission.Decision) *retry.Error {
	if d.Verdict == admission.Run {
		return nil
	}
	code := retry.CodeShed
	switch d.Reason {
	case admission.ReasonQueueFull:
		code = retry.CodeQueueFull
	case admission.ReasonDeadline:
		code = retry.CodeDeadline
	case admission.ReasonDraining:
		code = retry.CodeNotHome
	case admission.ReasonDuplicate:
		code = retry.CodeInternal
	}
	return newError(code).WithOutcome(retry.NotRun).WithRetryAfter(d.RetryAfter)
}

// hint returns what the home says of its target.
func (h *home) hint() loadHint {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.lim.Stats(boottime.Now())
	return loadHint{queued: s.Queued + s.InFlight + s.FormerHomeInFlight, latency: s.MeanServiceTime}
}

// wait estimates how long a new request would wait here.
func (h *home) wait() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lim.Stats(boottime.Now()).EstimatedWait
}

// silentAfter returns how long a connection may stay without data before it is
// tested, relative to the target's latency.
func (h *home) silentAfter(least time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Mean plus four deviations is above nearly all responses; three times
	// that leaves room for a target that has just become slower.
	return max(least, 3*(h.latency.mean+4*h.latency.dev))
}

// running returns the number of requests that this host has sent.
func (h *home) running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lim.Stats(boottime.Now()).InFlight
}

// stillRunningError says that the target reports as many requests in flight as
// were sent to it, so the connection may only be slow.
type stillRunningError struct{}

// Error implements error.
func (*stillRunningError) Error() string { return "target reports the request as running" }

// test opens a new connection and asks the target for its load.
func (h *home) test(ctx context.Context) error {
	data, err := h.pool.probe(ctx)
	if err != nil {
		return err
	}
	var l provider.LoadReport
	if json.Unmarshal(data, &l) == nil && l.InFlight+l.Queued >= h.running() {
		return &stillRunningError{}
	}
	return nil
}

// observe takes the control plane's word about the target into account. Its
// numbers are old, so only the incarnation is used; poll reads the numbers.
func (h *home) observe(seen view.Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if seen.Incarnation == h.report.Incarnation {
		return
	}
	h.report.Incarnation = seen.Incarnation
	h.deliver(h.lim.Observe(boottime.Now(), h.report))
}

// pollDue reports whether the target should be asked for its load, and claims
// the poll. It is asked often while requests of the former home count against
// the limit.
func (h *home) pollDue() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	st := h.lim.Stats(boottime.Now())
	interval := pollInterval
	if st.FormerHomeInFlight > 0 {
		interval = pollFast
	}
	if h.polling || time.Since(h.polled) < interval {
		return false
	}
	h.polling, h.polled = true, time.Now()
	return true
}

// poll asks the target for its load and reports whether it is leaving.
func (h *home) poll(ctx context.Context) (leaving bool) {
	data, err := h.pool.get(ctx, h.pool.tr)
	var l provider.LoadReport
	ok := err == nil && json.Unmarshal(data, &l) == nil
	h.mu.Lock()
	defer h.mu.Unlock()
	h.polling = false
	if !ok {
		return false
	}
	h.report.Cold, h.report.InFlight, h.report.Capacity = l.State == provider.TargetCold, l.InFlight, l.Capacity
	h.deliver(h.lim.Observe(boottime.Now(), h.report))
	return l.State == provider.TargetLeaving
}

// enter counts a request that begins with a version of the target; leave ends it.
func (h *home) enter(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions[version]++
}

func (h *home) leave(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.versions[version]--; h.versions[version] == 0 {
		delete(h.versions, version)
	}
}

// DrainedVersion returns the highest version of a target, up to the given one, such
// that no request in progress here began with a lower one. Requests for shards
// that the target lost up to that version have therefore ended; one that
// begins later with an older view is stopped by the check before the write.
func (s *Server) DrainedVersion(target string, version uint64) uint64 {
	s.homesMu.RLock()
	homes := slices.Clone(s.leaving[target])
	if h := s.homes[target]; h != nil {
		homes = append(homes, h)
	}
	s.homesMu.RUnlock()
	for _, h := range homes {
		h.mu.Lock()
		for v := range h.versions {
			version = min(version, v)
		}
		h.mu.Unlock()
	}
	return version
}

// leastAnswers is the number of answers from which a service time is reported.
const leastAnswers = 5

// ServiceTimes returns the mean service time of each target that this host is
// the home of and that has answered often enough since the last call.
func (s *Server) ServiceTimes() map[string]time.Duration {
	s.homesMu.RLock()
	defer s.homesMu.RUnlock()
	out := map[string]time.Duration{}
	for name, h := range s.homes {
		h.mu.Lock()
		if h.done >= leastAnswers {
			out[name] = h.lim.Stats(boottime.Now()).MeanServiceTime
			h.done = 0
		}
		h.mu.Unlock()
	}
	return out
}

// drain sheds the queue and refuses new requests.
func (h *home) drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deliver(h.lim.Drain(boottime.Now()))
}

// home returns what this host holds of a target, or nil when it is not the
// target's home.
func (s *Server) home(target string) *home {
	if !s.cfg.DisableFence && s.cfg.Source.Permit(target) <= 0 {
		return nil
	}
	if h := s.opened(target); h != nil {
		return h
	}
	return s.openHome(target)
}

// opened returns the home of a target if it is open here.
func (s *Server) opened(target string) *home {
	s.homesMu.RLock()
	defer s.homesMu.RUnlock()
	return s.homes[target]
}

func (s *Server) openHome(target string) *home {
	v := s.cfg.Source.View()
	t, ok := v.State.Config.Targets[target]
	if !ok {
		return nil
	}
	s.homesMu.Lock()
	defer s.homesMu.Unlock()
	if h := s.homes[target]; h != nil {
		return h
	}
	before := 0
	for _, old := range s.leaving[target] {
		before += old.running()
	}
	h, err := s.newHome(t, v.Targets[target], before)
	if err != nil {
		s.cfg.Log.Error("home cannot be opened", "target", target, "error", err)
		return nil
	}
	s.homes[target] = h
	s.cfg.Log.Info("home opened", "target", target, "in_flight_before", before)
	return h
}
