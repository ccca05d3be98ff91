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
	// rerouteWait and maxRerouteWait bound the wait for a newer view after a
	// request was refused because of its route. The refusal may also pass
	// without a newer view, for example when a late renewal arrives.
	rerouteWait    = 10 * time.Millisecond
	maxRerouteWait = 160 * time.Millisecond
	// avoidFor is how long an unkeyed target is avoided after a request could
	// not be sent to it.
	avoidFor = time.Second
	// hintLife is how long the word of a home about its queue is used.
	hintLife = time.Second
)

// targetLoad is what this host knows of a target's load.
type targetLoad struct {
	sent atomic.Int64
	hint atomic.Pointer[timedHint]
	// avoidUntil is when a target that failed is chosen again, in nanoseconds
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

// run sends a call until it has an answer or a final error.
func (s *Server) run(ctx context.Context, c *call) (*answer, *retry.Error) {
	outcome, avoid := retry.NotRun, ""
	for n := 1; ; n++ {
		r, changed, e := s.resolve(ctx, c, avoid)
		if e == nil {
			c.target = r.target
			var ans *answer
			if ans, e = s.sendRoute(ctx, c, r); e == nil {
				s.succeeded(c, n)
				return ans, nil
			}
		}
		outcome = retry.CombineOutcomes(outcome, e.Outcome)
		if changed == nil || !s.again(ctx, c, e, changed, n) {
			return nil, e.WithOutcome(outcome)
		}
		avoid = r.target
	}
}

// again decides whether a call is sent again after e, and waits as needed.
func (s *Server) again(ctx context.Context, c *call, e *retry.Error, changed <-chan struct{}, n int) bool {
	if ctx.Err() != nil || c.left() <= 0 || !s.retryable(c, e) {
		return false
	}
	switch e.Code {
	case retry.CodeNotOwner, retry.CodeNotHome, retry.CodeLeaving, retry.CodeConnection, CodeHomeUnreachable:
		s.m.rerouted.Add(string(e.Code), 1)
		return s.awaitRoute(ctx, c, changed, n)
	case retry.CodeShed, retry.CodeQueueFull:
		// The other targets of an unkeyed workload may have room.
		return !c.keyed && n == 1 && s.takeRetry(c)
	case retry.CodeResponseLost, CodeSilentConnection, retry.CodeTargetFailed:
		wait, ok := retry.Backoff{}.Next(boottime.Now(), n, 0, rand.Float64(), c.deadline, time.Millisecond)
		return ok && s.takeRetry(c) && pause(ctx, wait)
	}
	return false
}

// awaitRoute waits for a newer view. The first refusal of an unkeyed request
// needs none, since another target can take it.
func (s *Server) awaitRoute(ctx context.Context, c *call, changed <-chan struct{}, n int) bool {
	if !c.keyed && n == 1 {
		return true
	}
	if !s.hold() {
		return false
	}
	defer s.unhold()
	longest := min(rerouteWait<<min(n-1, 8), maxRerouteWait)
	return s.await(ctx, c, changed, longest) == nil
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) succeeded(c *call, n int) {
	if n > 1 {
		return
	}
	s.budgetMu.Lock()
	s.budget.RecordSuccess(boottime.Now(), c.customer)
	s.budgetMu.Unlock()
}

// sendRoute sends a call on a route, with a hedge where that is permitted.
func (s *Server) sendRoute(ctx context.Context, c *call, r route) (*answer, *retry.Error) {
	if c.keyed || !c.idempotent || !c.body.kept {
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

// sendOne sends a call once on a route and keeps the home's word about the
// target's load.
func (s *Server) sendOne(ctx context.Context, c *call, r route) (*answer, *retry.Error) {
	l := s.loadOf(r.target)
	l.sent.Add(1)
	defer l.sent.Add(-1)
	var ans *answer
	var e *retry.Error
	if r.home == "" {
		ans, e = s.serveHome(ctx, c, r)
		if h := s.opened(r.target); e != nil && h != nil {
			l.hint.Store(&timedHint{h.hint(), time.Now()})
		}
	} else {
		ans, e = s.sendPeer(ctx, c, r, PathForward)
	}
	if e == nil && ans.loaded {
		l.hint.Store(&timedHint{ans.load, time.Now()})
	}
	if e != nil && !c.keyed && (e.Code == retry.CodeConnection || e.Code == CodeHomeUnreachable || e.Code == retry.CodeLeaving) {
		l.avoidUntil.Store(sinceStart() + int64(avoidFor))
	}
	if e != nil && e.Code == retry.CodeNotHome {
		s.cfg.Source.Report(view.Event{Kind: view.EventNotHome, Target: r.target, Host: r.homeHost})
	}
	return ans, e
}

// result is the end of one of two parallel attempts.
type result struct {
	ans *answer
	e   *retry.Error
	// hedge says that the attempt was the second one.
	hedge  bool
	cancel context.CancelFunc
}

// hedged sends a call, and once more to another target when there is no answer
// after delay. The first answer wins and the other attempt is cancelled.
func (s *Server) hedged(ctx context.Context, c *call, r route, delay time.Duration) (*answer, *retry.Error) {
	results := make(chan result, 2)
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
				s.settle(res, first, second, running, results)
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

func (s *Server) launch(ctx context.Context, c *call, r route, hedge bool, results chan<- result) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		ans, e := s.sendOne(ctx, c, r)
		results <- result{ans: ans, e: e, hedge: hedge, cancel: cancel}
	}()
	return cancel
}

func (s *Server) launchHedge(ctx context.Context, c *call, r route, results chan<- result) context.CancelFunc {
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

// settle cancels the attempt that lost and keeps the winner's context until
// its answer has been passed on.
func (s *Server) settle(won result, first, second context.CancelFunc, running int, results <-chan result) {
	won.ans.then(func(bool) { won.cancel() })
	if won.hedge {
		s.m.hedgesWon.Add(1)
		first()
	} else if second != nil {
		second()
	}
	if running == 0 {
		return
	}
	go func() {
		if lost := <-results; lost.ans != nil {
			lost.ans.discard()
		}
	}()
}
