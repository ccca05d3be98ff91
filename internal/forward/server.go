package forward

import (
	"context"
	"crypto/rand"
	"expvar"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/limits"
	"github.com/boragelock/boragelock/retry"
)

// Server is the request path of one entry host. Its methods are safe for
// concurrent use.
type Server struct {
	cfg Config
	m   *metrics

	homesMu       sync.RWMutex
	homes         map[string]*home
	drainingHomes map[string][]*home // closed homes that still have requests in flight

	peersMu sync.RWMutex
	peers   map[string]*pool

	enforcerMu    sync.Mutex
	enforcer      *limits.Enforcer
	lender        *limits.Lender
	enforcerHosts limits.Hosts
	appliedConfig *contract.State
	credentials   atomic.Pointer[limits.Credentials]
	appliedView   atomic.Pointer[view.View]
	borrowSlots   chan struct{}

	budgetMu sync.Mutex
	budget   *retry.Budget
	hedgeMu  sync.Mutex
	hedgers  map[string]*retry.Hedger

	issuer atomic.Pointer[issuer]

	loads      sync.Map // target name to *targetLoad
	candidates atomic.Pointer[candidates]
	// slowTargets are the targets that unkeyed requests avoid.
	slowTargets  atomic.Pointer[map[string]bool]
	routeWaiters atomic.Int64
	requestSeq   atomic.Uint64
	unready      atomic.Bool
}

// maxBorrows limits the borrow requests in flight; further ones are sent in the
// next round.
const maxBorrows = 16

// New returns a Server.
func New(cfg Config) *Server {
	return &Server{
		cfg: cfg.withDefaults(), m: newMetrics(),
		homes: map[string]*home{}, drainingHomes: map[string][]*home{}, peers: map[string]*pool{},
		budget: retry.NewBudget(retry.BudgetConfig{}, boottime.Now()), hedgers: map[string]*retry.Hedger{},
		borrowSlots: make(chan struct{}, maxBorrows),
	}
}

// Vars returns the counters of the server.
func (s *Server) Vars() *expvar.Map { return s.m.vars }

// Upkeep returns the service that maintains homes and connections.
func (s *Server) Upkeep() *Upkeep { return &Upkeep{s} }

// Borrower returns the service that borrows shares of contracts.
func (s *Server) Borrower() *Borrower { return &Borrower{s} }

// SetUnready makes /readyz return status 503; requests are still served.
func (s *Server) SetUnready() { s.unready.Store(true) }

// InFlight returns the number of callers' requests in progress.
func (s *Server) InFlight() int64 { return s.m.inFlight.Value() }

// ready reports whether callers should be sent to this host.
func (s *Server) ready() bool {
	v := s.cfg.Source.View()
	return !s.unready.Load() && v != nil && v.State != nil && v.State.Config != nil
}

// CallerHandler returns the handler for callers.
func (s *Server) CallerHandler() http.Handler { return http.HandlerFunc(s.serveCaller) }

// PeerHandler returns the handler for other entry hosts. Their sender has
// authenticated the requests.
func (s *Server) PeerHandler() http.Handler { return http.HandlerFunc(s.servePeer) }

// applyView updates contracts and hosts to those of a view.
func (s *Server) applyView(v *view.View) {
	if s.appliedView.Load() == v {
		return
	}
	s.enforcerMu.Lock()
	defer s.enforcerMu.Unlock()
	if s.appliedView.Load() == v {
		return
	}
	hosts := s.hostsOf(v)
	now := boottime.Now()
	if s.enforcer == nil {
		s.enforcer = limits.NewEnforcer(limits.Config{}, hosts, v.Self.Incarnation)
		s.lender = limits.NewLender(limits.Config{}, hosts, v.Self.Incarnation)
		s.enforcerHosts = hosts
	}
	if !slices.Equal(hosts.Live, s.enforcerHosts.Live) || !slices.Equal(hosts.Configured, s.enforcerHosts.Configured) {
		s.enforcer.SetHosts(now, hosts)
		s.lender.SetHosts(hosts)
		s.enforcerHosts = hosts
	}
	if s.appliedConfig != v.State.Config {
		s.appliedConfig = v.State.Config
		s.enforcer.SetContracts(now, s.appliedConfig.Contracts)
		s.lender.SetContracts(s.appliedConfig.Contracts)
		s.credentials.Store(limits.NewCredentials(withEnded(s.appliedConfig.Contracts)))
	}
	s.appliedView.Store(v)
}

// withEnded returns the contracts with ended ones marked as in force, so that
// their customers are authenticated before they receive contract_ended.
func withEnded(in map[string]contract.Contract) map[string]contract.Contract {
	out := make(map[string]contract.Contract, len(in))
	for name, c := range in {
		c.Ended = false
		out[name] = c
	}
	return out
}

func (s *Server) hostsOf(v *view.View) limits.Hosts {
	self := v.Self.Name
	h := limits.Hosts{Self: self, Configured: []string{self}, Live: []string{self}}
	if s.cfg.DisableLimitShare {
		return h
	}
	for name, e := range v.State.EntryHosts {
		if name != self && !e.Stopped {
			h.Configured = append(h.Configured, name)
		}
	}
	for name, p := range v.Peers {
		if name != self && p.Alive {
			h.Live = append(h.Live, name)
		}
	}
	slices.Sort(h.Configured)
	slices.Sort(h.Live)
	return h
}

// Lend handles another host's request to borrow a share of a contract.
func (s *Server) Lend(b limits.BorrowRequest) limits.Loan {
	s.enforcerMu.Lock()
	defer s.enforcerMu.Unlock()
	if s.lender == nil {
		return limits.Loan{Customer: b.Customer, Lender: b.Lender, Refused: limits.RefusedUnknownCustomer}
	}
	return s.lender.Lend(boottime.Now(), b)
}

// borrow sends one borrow request.
func (s *Server) borrow(ctx context.Context, b limits.BorrowRequest) {
	defer func() { <-s.borrowSlots }()
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	loan, err := s.cfg.Borrow(ctx, b)
	if err != nil {
		s.m.borrowsFailed.Add(1)
		return
	}
	s.applyLoan(b, loan)
}

// hedger returns the hedging policy of a workload; s.hedgeMu is held.
func (s *Server) hedger(workload string) *retry.Hedger {
	h := s.hedgers[workload]
	if h == nil {
		h = retry.NewHedger(retry.HedgeConfig{})
		s.hedgers[workload] = h
	}
	return h
}

func newIssuerKey() []byte {
	key := make([]byte, 32)
	// crypto/rand.Read never fails; it ends the process instead.
	_, _ = rand.Read(key)
	return key
}
