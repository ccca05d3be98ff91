package forward

import (
	"context"
	"slices"
	"time"

	"github.com/boragelock/boragelock/admission"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/limits"
)

const (
	// upkeepInterval is how often homes are compared with the view. A home refuses
	// requests as soon as its permit ends, without waiting for this.
	upkeepInterval = 100 * time.Millisecond
	// warmInterval is how often missing connections are opened.
	warmInterval = 2 * time.Second
	// pollInterval is how often a home polls its target's load, fastPollInterval
	// while requests of the former home count against the limit.
	pollInterval     = time.Second
	fastPollInterval = 100 * time.Millisecond
)

// Upkeep is the service that opens and closes homes, passes the targets' reports
// to their limiters, and keeps connections open. It implements suture.Service.
type Upkeep struct{ s *Server }

// String names the service in logs.
func (*Upkeep) String() string { return "forward-upkeep" }

// Serve runs until ctx ends.
func (u *Upkeep) Serve(ctx context.Context) error {
	tick := time.NewTicker(upkeepInterval)
	defer tick.Stop()
	var warmed time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		v := u.s.cfg.Source.View()
		if v == nil || v.State.Config == nil {
			continue
		}
		u.s.applyView(v)
		u.openHomes(v)
		u.updateHomes(v)
		u.pollTargets(ctx)
		u.closeGonePeers(v)
		u.s.updateSlowTargets(v)
		if time.Since(warmed) >= warmInterval {
			warmed = time.Now()
			u.openConnections(ctx, v)
		}
	}
}

func (u *Upkeep) openHomes(v *view.View) {
	for target, h := range v.Homes {
		if h.Host == v.Self.Name {
			u.s.ensureHome(target)
		}
	}
}

// updateHomes drains the homes that this host has lost, applies changes of the
// targets to the others, and removes drained homes.
func (u *Upkeep) updateHomes(v *view.View) {
	s := u.s
	s.homesMu.Lock()
	defer s.homesMu.Unlock()
	for target, h := range s.homes {
		t := v.State.Config.Targets[target]
		lost := !s.cfg.DisableFence && s.cfg.Source.Permit(target) <= 0
		if lost || t.Addr != h.target.Addr || t.MaxConnections != h.target.MaxConnections {
			h.drain()
			delete(s.homes, target)
			s.drainingHomes[target] = append(s.drainingHomes[target], h)
			s.cfg.Log.Info("home closed", "target", target, "in_flight", h.inFlight())
			continue
		}
		h.observe(v.Targets[target])
		if t.Slots != h.target.Slots || t.ColdSlots != h.target.ColdSlots || t.RampMS != h.target.RampMS {
			h.setLimits(admission.Limits{Slots: t.Slots, ColdSlots: t.ColdSlots, Ramp: time.Duration(t.RampMS) * time.Millisecond})
			h.target = t
		}
	}
	for target, homes := range s.drainingHomes {
		homes = slices.DeleteFunc(homes, func(h *home) bool {
			if h.inFlight() > 0 {
				return false
			}
			h.pool.close()
			return true
		})
		if s.drainingHomes[target] = homes; len(homes) == 0 {
			delete(s.drainingHomes, target)
		}
	}
}

// closeGonePeers closes the connections to entry hosts that are gone.
func (u *Upkeep) closeGonePeers(v *view.View) {
	known := map[string]bool{}
	for _, p := range v.Peers {
		known[p.HTTPAddr] = true
	}
	for _, h := range v.Homes {
		known[h.HTTPAddr] = true
	}
	u.s.peersMu.Lock()
	defer u.s.peersMu.Unlock()
	for addr, p := range u.s.peers {
		if !known[addr] {
			p.close()
			delete(u.s.peers, addr)
		}
	}
}

// pollTargets polls the loads of the targets concurrently.
func (u *Upkeep) pollTargets(ctx context.Context) {
	u.s.homesMu.RLock()
	defer u.s.homesMu.RUnlock()
	for target, h := range u.s.homes {
		if !h.claimPoll() {
			continue
		}
		go func() {
			if h.poll(ctx) {
				u.s.cfg.Source.Report(view.Event{Kind: view.EventTargetLeaving, Target: target})
			}
		}()
	}
}

func (h *home) setLimits(l admission.Limits) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The contract package has checked the values.
	notices, _ := h.limiter.SetLimits(boottime.Now(), l)
	h.deliver(notices)
}

func (u *Upkeep) openConnections(ctx context.Context, v *view.View) {
	u.s.homesMu.RLock()
	defer u.s.homesMu.RUnlock()
	for target, h := range u.s.homes {
		if v.Targets[target].Fit && h.inFlight() == 0 {
			go h.pool.openIdle(ctx, min(u.s.cfg.WarmConnections, h.target.Slots))
		}
	}
}

// Borrower is the service that borrows shares of contracts. It implements
// suture.Service.
type Borrower struct{ s *Server }

// String names the service in logs.
func (*Borrower) String() string { return "forward-borrower" }

// borrowInterval is how often due borrow requests are sent; limits.Enforcer makes
// at most one every 50 ms for a customer.
const borrowInterval = 50 * time.Millisecond

// Serve runs until ctx ends.
func (b *Borrower) Serve(ctx context.Context) error {
	tick := time.NewTicker(borrowInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		b.borrowDue(ctx)
	}
}

// dueBorrows returns the borrow requests to send now and the name of this host.
func (s *Server) dueBorrows() (due []limits.BorrowRequest, self string) {
	s.enforcerMu.Lock()
	defer s.enforcerMu.Unlock()
	if s.enforcer == nil {
		return nil, ""
	}
	return s.enforcer.DueBorrowRequests(boottime.Now()), s.enforcerHosts.Self
}

// applyLoan applies the response to a borrow request.
func (s *Server) applyLoan(b limits.BorrowRequest, l limits.Loan) {
	s.enforcerMu.Lock()
	defer s.enforcerMu.Unlock()
	s.enforcer.ApplyLoan(boottime.Now(), b, l)
}

// borrowDue sends the due borrow requests concurrently.
func (b *Borrower) borrowDue(ctx context.Context) {
	s := b.s
	due, self := s.dueBorrows()
	for _, req := range due {
		if req.Lender == self {
			s.applyLoan(req, s.Lend(req))
			continue
		}
		if s.cfg.Borrow == nil {
			continue
		}
		select {
		case s.borrowSlots <- struct{}{}:
			go s.borrow(ctx, req)
		default:
			// The next round sends it again.
			s.m.borrowsFailed.Add(1)
		}
	}
}
