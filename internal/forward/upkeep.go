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
	// upkeepInterval is how often homes are compared with the view. A home
	// whose permit has ended refuses requests before that by itself.
	upkeepInterval = 100 * time.Millisecond
	// warmInterval is how often missing connections are opened.
	warmInterval = 2 * time.Second
	// pollInterval is how often a home asks its target for the load, pollFast
	// while the count of requests depends on it.
	pollInterval = time.Second
	pollFast     = 100 * time.Millisecond
)

// Upkeep is the duty that opens and closes homes, passes the targets' reports
// to the queues, and keeps connections warm. It implements suture.Service.
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
		u.s.sync(v)
		u.openHomes(v)
		u.reviewHomes(v)
		u.poll(ctx)
		u.forgetPeers(v)
		u.s.findSlow(v)
		if time.Since(warmed) >= warmInterval {
			warmed = time.Now()
			u.warm(ctx, v)
		}
	}
}

func (u *Upkeep) openHomes(v *view.View) {
	for target, h := range v.Homes {
		if h.Host == v.Self.Name {
			u.s.home(target)
		}
	}
}

// reviewHomes drains the homes that this host has lost.
func (u *Upkeep) reviewHomes(v *view.View) {
	s := u.s
	s.homesMu.Lock()
	defer s.homesMu.Unlock()
	for target, h := range s.homes {
		t := v.State.Config.Targets[target]
		lost := !s.cfg.DisableFence && s.cfg.Source.Permit(target) <= 0
		if lost || t.Addr != h.target.Addr || t.MaxConnections != h.target.MaxConnections {
			h.drain()
			delete(s.homes, target)
			s.leaving[target] = append(s.leaving[target], h)
			s.cfg.Log.Info("home closed", "target", target, "in_flight", h.running())
			continue
		}
		h.observe(v.Targets[target])
		if t.Slots != h.target.Slots || t.ColdSlots != h.target.ColdSlots || t.RampMS != h.target.RampMS {
			h.setLimits(admission.Limits{Slots: t.Slots, ColdSlots: t.ColdSlots, Ramp: time.Duration(t.RampMS) * time.Millisecond})
			h.target = t
		}
	}
	for target, homes := range s.leaving {
		homes = slices.DeleteFunc(homes, func(h *home) bool {
			if h.running() > 0 {
				return false
			}
			h.pool.close()
			return true
		})
		if s.leaving[target] = homes; len(homes) == 0 {
			delete(s.leaving, target)
		}
	}
}

// forgetPeers closes the connections to entry hosts that are gone.
func (u *Upkeep) forgetPeers(v *view.View) {
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

// poll asks the targets for their load, side by side.
func (u *Upkeep) poll(ctx context.Context) {
	u.s.homesMu.RLock()
	defer u.s.homesMu.RUnlock()
	for target, h := range u.s.homes {
		if !h.pollDue() {
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
	notices, _ := h.lim.SetLimits(boottime.Now(), l)
	h.deliver(notices)
}

func (u *Upkeep) warm(ctx context.Context, v *view.View) {
	u.s.homesMu.RLock()
	defer u.s.homesMu.RUnlock()
	for target, h := range u.s.homes {
		if v.Targets[target].Fit && h.running() == 0 {
			go h.pool.warm(ctx, min(u.s.cfg.WarmConnections, h.target.Slots))
		}
	}
}

// Borrower is the duty that borrows shares of contracts. It implements
// suture.Service.
type Borrower struct{ s *Server }

// String names the service in logs.
func (*Borrower) String() string { return "forward-borrower" }

// borrowInterval is how often due requests are looked for; limits.Gate makes
// none more often than every 50 ms for a customer.
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
		b.round(ctx)
	}
}

// due returns the borrow requests to send now.
func (s *Server) due() (due []limits.BorrowRequest, self string) {
	s.gateMu.Lock()
	defer s.gateMu.Unlock()
	if s.gate == nil {
		return nil, ""
	}
	return s.gate.DueBorrowRequests(boottime.Now()), s.gateHosts.Self
}

// lent passes the answer to a borrow request on.
func (s *Server) lent(b limits.BorrowRequest, l limits.Loan) {
	s.gateMu.Lock()
	defer s.gateMu.Unlock()
	s.gate.ApplyLoan(boottime.Now(), b, l)
}

// round sends the due requests side by side.
func (b *Borrower) round(ctx context.Context) {
	s := b.s
	due, self := s.due()
	for _, req := range due {
		if req.Lender == self {
			s.lent(req, s.Lend(req))
			continue
		}
		if s.cfg.Borrow == nil {
			continue
		}
		select {
		case s.borrows <- struct{}{}:
			go s.borrow(ctx, req)
		default:
			// The next round asks again.
			s.m.borrowsFailed.Add(1)
		}
	}
}
