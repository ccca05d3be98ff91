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

// home is the state that this host has for a target as its home: the queue, the
// count of requests in flight, and the connections.
type home struct {
	target contract.Target
	pool   *pool
	m      *metrics

	mu          sync.Mutex
	limiter     *admission.Limiter
	waiting     map[uint64]chan admission.Decision
	nextID      uint64
	expiryTimer *time.Timer
	latency     latencyEstimate
	report      admission.Report
	lastPoll    time.Time
	polling     bool
	// requestsByVersion counts the requests in progress by the target's version in
	// the view with which they began.
	requestsByVersion map[uint64]int
	// responsesSinceReport counts the responses since the service time was last
	// reported.
	responsesSinceReport int
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

// reservedConnections is the number of connections left for granters, probes and
// a change of the home: at most 3 granters use one connection each, a probe
// opens one, and the pool of a former home closes its connections while the new
// one opens.
const reservedConnections = 8

// poolLimit returns the maximum number of connections of the home's pool. Twice
// the slots suffices, since at most that many requests as slots are in flight
// and an abandoned connection is replaced.
func poolLimit(t contract.Target) int {
	return max(t.Slots, min(2*t.Slots+2, t.MaxConnections-reservedConnections))
}

func (s *Server) newHome(t contract.Target, reported view.Target, inFlightBefore int) (*home, error) {
	h := &home{target: t, m: s.m, waiting: map[uint64]chan admission.Decision{}, requestsByVersion: map[uint64]int{}, report: reportOf(reported)}
	limits := admission.Limits{Slots: t.Slots, ColdSlots: t.ColdSlots, Ramp: time.Duration(t.RampMS) * time.Millisecond}
	start := admission.InitialState{InFlight: max(reported.Load.InFlight, inFlightBefore), Warm: t.RampMS == 0 || reported.Warm, Report: h.report}
	lim, err := admission.New(admission.Config{MaxQueue: s.cfg.MaxQueue}, limits, boottime.Now(), start)
	if err != nil {
		return nil, err
	}
	h.limiter = lim
	h.pool = newPool(poolConfig{
		addr: t.Addr, maxConnections: poolLimit(t), maxDials: s.cfg.MaxDials, dialTimeout: s.cfg.DialTimeout, probePath: httpplatform.PathLoad,
	}, s.m)
	return h, nil
}

func reportOf(t view.Target) admission.Report {
	return admission.Report{
		Incarnation: t.Incarnation, Cold: t.State == provider.TargetCold,
		InFlight: t.Load.InFlight, Capacity: t.Load.Capacity,
	}
}

// acquire waits for a slot of the target and returns the request's ID, with
// which release must be called unless acquire fails.
func (h *home) acquire(ctx context.Context, c *call) (uint64, *retry.Error) {
	h.mu.Lock()
	now := boottime.Now()
	h.nextID++
	id := h.nextID
	d, notices := h.limiter.Arrive(now, admission.Request{ID: id, Customer: c.customer, Weight: c.weight, Deadline: c.deadline})
	h.deliver(notices)
	if d.Verdict != admission.Wait {
		h.mu.Unlock()
		return id, admissionError(d)
	}
	ch := make(chan admission.Decision, 1)
	h.waiting[id] = ch
	h.setExpiryTimer(now)
	h.mu.Unlock()
	start := time.Now()
	defer addSince(h.m.queueUS, start)
	select {
	case d = <-ch:
		return id, admissionError(d)
	case <-ctx.Done():
		return id, h.cancelWait(ctx, id, ch)
	}
}

// cancelWait removes a request from the queue, or ends it when it was started at
// the same time.
func (h *home) cancelWait(ctx context.Context, id uint64, ch chan admission.Decision) *retry.Error {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waiting, id)
	now := boottime.Now()
	if !h.limiter.Cancel(now, id) {
		if d := <-ch; d.Verdict == admission.Run {
			h.deliver(h.limiter.Done(now, id, admission.Sample{Outcome: admission.OutcomeCancelled}))
		}
	}
	return contextError(ctx, false)
}

// release ends a request that acquire admitted.
func (h *home) release(id uint64, s admission.Sample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Outcome == admission.OutcomeOK {
		h.latency.add(s.Latency)
		h.responsesSinceReport++
	}
	h.deliver(h.limiter.Done(boottime.Now(), id, s))
}

// deliver passes decisions to waiting requests; h.mu is held.
func (h *home) deliver(notices []admission.Notice) {
	for _, n := range notices {
		if ch, ok := h.waiting[n.ID]; ok {
			delete(h.waiting, n.ID)
			ch <- n.Decision
		}
	}
}

// setExpiryTimer sets the timer for the next expiry in the queue; h.mu is held.
func (h *home) setExpiryTimer(now time.Duration) {
	at, ok := h.limiter.NextExpiry()
	if !ok {
		return
	}
	d := max(at-now, time.Millisecond)
	if h.expiryTimer == nil {
		h.expiryTimer = time.AfterFunc(d, h.expire)
		return
	}
	h.expiryTimer.Reset(d)
}

func (h *home) expire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := boottime.Now()
	h.deliver(h.limiter.Expire(now))
	h.setExpiryTimer(now)
}

func admissionError(d admission.Decision) *retry.Error {
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

// hint returns the load of the target that the home reports to other hosts.
func (h *home) hint() loadHint {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.limiter.Stats(boottime.Now())
	return loadHint{queued: s.Queued + s.InFlight + s.FormerHomeInFlight, latency: s.MeanServiceTime}
}

// estimatedWait estimates how long a new request would wait in the queue.
func (h *home) estimatedWait() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.limiter.Stats(boottime.Now()).EstimatedWait
}

// silenceTimeout returns how long a connection may stay without data before the
// target is probed: at least minimum, and in proportion to the target's latency.
func (h *home) silenceTimeout(minimum time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Nearly all responses arrive within the mean plus four deviations; three
	// times that allows for a target that has just become slower.
	return max(minimum, 3*(h.latency.mean+4*h.latency.dev))
}

// inFlight returns the number of requests that this host has sent to the target
// and that have not ended.
func (h *home) inFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.limiter.Stats(boottime.Now()).InFlight
}

// stillRunningError indicates that the target reports at least as many requests
// as this host has sent, so the request may only be slow.
type stillRunningError struct{}

// Error implements error.
func (*stillRunningError) Error() string { return "target reports the request as running" }

// probeTarget requests the target's load over a new connection. It returns a
// *stillRunningError when the request may still run.
func (h *home) probeTarget(ctx context.Context) error {
	data, err := h.pool.probe(ctx)
	if err != nil {
		return err
	}
	var l provider.LoadReport
	if json.Unmarshal(data, &l) == nil && l.InFlight+l.Queued >= h.inFlight() {
		return &stillRunningError{}
	}
	return nil
}

// observe passes the target's incarnation, as the control plane reports it, to
// the limiter. The control plane's load figures lag, so poll reads those.
func (h *home) observe(reported view.Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if reported.Incarnation == h.report.Incarnation {
		return
	}
	h.report.Incarnation = reported.Incarnation
	h.deliver(h.limiter.Observe(boottime.Now(), h.report))
}

// claimPoll reports whether the target's load should be polled now, and if so
// marks the poll as in progress. The load is polled more often while requests of
// the former home count against the limit.
func (h *home) claimPoll() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	st := h.limiter.Stats(boottime.Now())
	interval := pollInterval
	if st.FormerHomeInFlight > 0 {
		interval = fastPollInterval
	}
	if h.polling || time.Since(h.lastPoll) < interval {
		return false
	}
	h.polling, h.lastPoll = true, time.Now()
	return true
}

// poll asks the target for its load and reports whether it is leaving.
func (h *home) poll(ctx context.Context) (leaving bool) {
	data, err := h.pool.fetch(ctx, h.pool.transport)
	var l provider.LoadReport
	ok := err == nil && json.Unmarshal(data, &l) == nil
	h.mu.Lock()
	defer h.mu.Unlock()
	h.polling = false
	if !ok {
		return false
	}
	h.report.Cold, h.report.InFlight, h.report.Capacity = l.State == provider.TargetCold, l.InFlight, l.Capacity
	h.deliver(h.limiter.Observe(boottime.Now(), h.report))
	return l.State == provider.TargetLeaving
}

// beginRequest counts a request that begins with a version of the target;
// endRequest ends it.
func (h *home) beginRequest(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requestsByVersion[version]++
}

func (h *home) endRequest(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.requestsByVersion[version]--; h.requestsByVersion[version] == 0 {
		delete(h.requestsByVersion, version)
	}
}

// DrainedVersion returns the highest version of a target, up to the given one,
// such that no request in progress here began with a lower one. Requests for
// shards that the target lost up to that version have therefore ended; the check
// before the write stops any that begins later with an older view.
func (s *Server) DrainedVersion(target string, version uint64) uint64 {
	s.homesMu.RLock()
	homes := slices.Clone(s.drainingHomes[target])
	if h := s.homes[target]; h != nil {
		homes = append(homes, h)
	}
	s.homesMu.RUnlock()
	for _, h := range homes {
		h.mu.Lock()
		for v := range h.requestsByVersion {
			version = min(version, v)
		}
		h.mu.Unlock()
	}
	return version
}

// minServiceSamples is the number of responses required to report a service time.
const minServiceSamples = 5

// ServiceTimes returns the mean service time of each target that this host is
// the home of and that has sent at least minServiceSamples responses since its
// service time was last returned.
func (s *Server) ServiceTimes() map[string]time.Duration {
	s.homesMu.RLock()
	defer s.homesMu.RUnlock()
	out := map[string]time.Duration{}
	for name, h := range s.homes {
		h.mu.Lock()
		if h.responsesSinceReport >= minServiceSamples {
			out[name] = h.limiter.Stats(boottime.Now()).MeanServiceTime
			h.responsesSinceReport = 0
		}
		h.mu.Unlock()
	}
	return out
}

// drain refuses all queued and new requests.
func (h *home) drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deliver(h.limiter.Drain(boottime.Now()))
}

// ensureHome returns the home of a target and opens it if needed. It returns nil
// when this host is not the target's home or the home cannot be opened.
func (s *Server) ensureHome(target string) *home {
	if !s.cfg.DisableFence && s.cfg.Source.Permit(target) <= 0 {
		return nil
	}
	if h := s.existingHome(target); h != nil {
		return h
	}
	return s.openHome(target)
}

// existingHome returns the home of a target if it is open here, else nil.
func (s *Server) existingHome(target string) *home {
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
	inFlightBefore := 0
	for _, old := range s.drainingHomes[target] {
		inFlightBefore += old.inFlight()
	}
	h, err := s.newHome(t, v.Targets[target], inFlightBefore)
	if err != nil {
		s.cfg.Log.Error("home cannot be opened", "target", target, "error", err)
		return nil
	}
	s.homes[target] = h
	s.cfg.Log.Info("home opened", "target", target, "in_flight_before", inFlightBefore)
	return h
}
