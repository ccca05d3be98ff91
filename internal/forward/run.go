package forward

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/retry"
)

const (
	// borrowTimeout limits a borrow request.
	borrowTimeout = 300 * time.Millisecond
	// minRerouteWait and maxRerouteWait bound the wait for a newer view after a
	// request was refused because of its route. A retry may also succeed without
	// a newer view, for example when a late renewal arrives.
	minRerouteWait = 10 * time.Millisecond
	maxRerouteWait = 160 * time.Millisecond
	// avoidDuration is how long an unkeyed target is avoided after a request could
	// not be sent to it.
	avoidDuration = time.Second
	// hintTTL is how long the load that a home reported is used.
	hintTTL = time.Second
)

// targetLoad is this host's estimate of a target's load.
type targetLoad struct {
	inFlight atomic.Int64
	hint     atomic.Pointer[timedHint]
	// avoidUntil is when a target that failed may be chosen again, in nanoseconds
	// since the start of the process.
	avoidUntil atomic.Int64
}

type timedHint struct {
	loadHint
	at time.Time
}

func (s *Server) loadOf(target string) *targetLoad {
	if l, ok := s.loads.Load(target); ok {
		return l.(*targetLoad)
	}
	l, _ := s.loads.LoadOrStore(target, &targetLoad{})
	return l.(*targetLoad)
}

// run sends a call until it has a response or a final error.
func (s *Server) run(ctx context.Context, c *call) (*answer, *retry.Error) {
	outcome, avoid := retry.NotRun, ""
	for n := 1; ; n++ {
		r, changed, e := s.resolveRoute(ctx, c, avoid)
		if e == nil {
			c.target = r.target
			var ans *answer
			if ans, e = s.sendRoute(ctx, c, r); e == nil {
				s.recordSuccess(c, n)
				return ans, nil
			}
		}
		outcome = retry.CombineOutcomes(outcome, e.Outcome)
		if changed == nil || !s.shouldRetry(ctx, c, e, changed, n) {
			return nil, e.WithOutcome(outcome)
		}
		avoid = r.target
	}
}

// shouldRetry reports whether the call is sent again after e, and waits before it
// if required. n is the number of attempts so far.
func (s *Server) shouldRetry(ctx context.Context, c *call, e *retry.Error, changed <-chan struct{}, n int) bool {
	if ctx.Err() != nil || c.remaining() <= 0 || !s.retryable(c, e) {
		return false
	}
	switch e.Code {
	case retry.CodeNotOwner, retry.CodeNotHome, retry.CodeLeaving, retry.CodeConnection, CodeHomeUnreachable:
		s.m.rerouted.Add(string(e.Code), 1)
		return s.awaitRoute(ctx, c, changed, n)
	case retry.CodeShed, retry.CodeQueueFull:
		// Other targets of an unkeyed workload may have capacity.
		return !c.keyed && n == 1 && s.takeRetry(c)
	case retry.CodeResponseLost, CodeSilentConnection, retry.CodeTargetFailed:
		wait, ok := retry.Backoff{}.Next(boottime.Now(), n, 0, rand.Float64(), c.deadline, time.Millisecond)
		return ok && s.takeRetry(c) && sleep(ctx, wait)
	}
	return false
}

// awaitRoute waits for a newer view. After the first refusal of an unkeyed
// request it does not wait, since another target can run it.
func (s *Server) awaitRoute(ctx context.Context, c *call, changed <-chan struct{}, n int) bool {
	if !c.keyed && n == 1 {
		return true
	}
	if !s.startRouteWait() {
		return false
	}
	defer s.endRouteWait()
	maxWait := min(minRerouteWait<<min(n-1, 8), maxRerouteWait)
	return s.awaitView(ctx, c, changed, maxWait) == nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) recordSuccess(c *call, n int) {
	if n > 1 {
		return
	}
	s.budgetMu.Lock()
	s.budget.RecordSuccess(boottime.Now(), c.customer)
	s.budgetMu.Unlock()
}

// sendRoute sends a call on a route, with a hedge where permitted.
func (s *Server) sendRoute(ctx context.Context, c *call, r route) (*answer, *retry.Error) {
	if c.keyed || !c.idempotent || !c.body.buffered {
		return s.sendOne(ctx, c, r)
	}
	s.hedgeMu.Lock()
	delay, ok := s.hedger(c.workload).StartRequest()
	s.hedgeMu.Unlock()
	start := time.Now()
	var ans *answer
	var e *retry.Error
	if ok {
		ans, e = s.hedged(ctx, c, r, delay)
	} else {
		ans, e = s.sendOne(ctx, c, r)
	}
	if e == nil {
		s.hedgeMu.Lock()
		s.hedger(c.workload).Observe(boottime.Now(), time.Since(start))
		s.hedgeMu.Unlock()
	}
	return ans, e
}

// sendOne sends a call once on a route and stores the target's load as its home
// reports it.
func (s *Server) sendOne(ctx context.Context, c *call, r route) (*answer, *retry.Error) {
	l := s.loadOf(r.target)
	l.inFlight.Add(1)
	defer l.inFlight.Add(-1)
	var ans *answer
	var e *retry.Error
	if r.homeAddr == "" {
		ans, e = s.serveHome(ctx, c, r)
		if h := s.existingHome(r.target); e != nil && h != nil {
			l.hint.Store(&timedHint{h.hint(), time.Now()})
		}
	} else {
		ans, e = s.sendPeer(ctx, c, r, PathForward)
	}
	if e == nil && ans.hasLoad {
		l.hint.Store(&timedHint{ans.load, time.Now()})
	}
	if e != nil && !c.keyed && (e.Code == retry.CodeConnection || e.Code == CodeHomeUnreachable || e.Code == retry.CodeLeaving) {
		l.avoidUntil.Store(sinceStart() + int64(avoidDuration))
	}
	if e != nil && e.Code == retry.CodeNotHome {
		s.cfg.Source.Report(view.Event{Kind: view.EventNotHome, Target: r.target, Host: r.homeHost})
	}
	return ans, e
}

// attemptResult is the result of one of two parallel attempts.
type attemptResult struct {
	ans *answer
	e   *retry.Error
	// hedge is true for the second attempt.
	hedge  bool
	cancel context.CancelFunc
}

// hedged sends a call, and sends it to another target as well when there is no
// response after delay. The first response wins; the other attempt is cancelled.
func (s *Server) hedged(ctx context.Context, c *call, r route, delay time.Duration) (*answer, *retry.Error) {
	results := make(chan attemptResult, 2)
	first := s.launch(ctx, c, r, false, results)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var second context.CancelFunc
	running, outcome := 1, retry.NotRun
	for {
		select {
		case <-timer.C:
			if second = s.launchHedge(ctx, c, r, results); second != nil {
				running++
			}
		case res := <-results:
			running--
			if res.e == nil {
				s.finishHedge(res, first, second, running, results)
				return res.ans, nil
			}
			outcome = retry.CombineOutcomes(outcome, res.e.Outcome)
			res.cancel()
			if running == 0 {
				return nil, res.e.WithOutcome(outcome)
			}
		}
	}
}

func (s *Server) launch(ctx context.Context, c *call, r route, hedge bool, results chan<- attemptResult) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ans, e := s.sendOne(ctx, c, r)
		results <- attemptResult{ans: ans, e: e, hedge: hedge, cancel: cancel}
	}()
	return cancel
}

func (s *Server) launchHedge(ctx context.Context, c *call, r route, results chan<- attemptResult) context.CancelFunc {
	other, code := s.locate(s.cfg.Source.View(), c, r.target)
	if code != "" || other.target == r.target {
		return nil
	}
	s.hedgeMu.Lock()
	ok := s.hedger(c.workload).Take()
	s.hedgeMu.Unlock()
	if !ok {
		return nil
	}
	s.m.hedges.Add(1)
	return s.launch(ctx, c, other, true, results)
}

// finishHedge cancels the losing attempt and keeps the winner's context until its
// response has been passed on.
func (s *Server) finishHedge(winner attemptResult, first, second context.CancelFunc, running int, results <-chan attemptResult) {
	winner.ans.onFinish(func(bool) { winner.cancel() })
	if winner.hedge {
		s.m.hedgesWon.Add(1)
		first()
	} else if second != nil {
		second()
	}
	if running == 0 {
		return
	}
	go func() {
		if loser := <-results; loser.ans != nil {
			loser.ans.discard()
		}
	}()
}
