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

	homesMu sync.RWMutex
	homes   map[string]*home
	leaving map[string][]*home // homes that were given up with requests in flight

	peersMu sync.RWMutex
	peers   map[string]*pool

	gateMu    sync.Mutex
	gate      *limits.Enforcer
	lender    *limits.Lender
	gateHosts limits.Hosts
	config    *contract.State
	creds     atomic.Pointer[limits.Credentials]
	syncedTo  atomic.Pointer[view.View]
	borrows   chan struct{}

	budgetMu sync.Mutex
	budget   *retry.Budget
	hedgeMu  sync.Mutex
	hedgers  map[string]*retry.Hedger

	ids atomic.Pointer[issuer]

	loads      sync.Map // target name to *targetLoad
	candidates atomic.Pointer[candidates]
	// slow are the targets that unkeyed requests avoid.
	slow     atomic.Pointer[map[string]bool]
	heldNow  atomic.Int64
	sequence atomic.Uint64
	unready  atomic.Bool
}

// maxBorrows limits the borrow requests in flight; further ones are left to
// the next round.
const maxBorrows = 16

// New returns a Server.
func New(cfg Config) *Server {
	return &Server{
		cfg: cfg.withDefaults(), m: newMetrics(),
		homes: map[string]*home{}, leaving: map[string][]*home{}, peers: map[string]*pool{},
		budget: retry.NewBudget(retry.BudgetConfig{}, boottime.Now()), hedgers: map[string]*retry.Hedger{},
		borrows: make(chan struct{}, maxBorrows),
	}
}

// Vars returns the counters of the server.
func (s *Server) Vars() *expvar.Map { return s.m.all }

// Upkeep returns the duty that looks after homes and connections.
func (s *Server) Upkeep() *Upkeep { return &Upkeep{s} }

// Borrower returns the duty that borrows shares of contracts.
func (s *Server) Borrower() *Borrower { return &Borrower{s} }

// SetUnready makes /readyz answer 503; requests are served as before.
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

// PeerHandler returns the handler for other entry hosts. Requests on it have been
// authenticated by their sender.
func (s *Server) PeerHandler() http.Handler { return http.HandlerFunc(s.servePeer) }

// sync brings contracts and hosts up to a view.
func (s *Server) sync(v *view.View) {
	if s.syncedTo.Load() == v {
		return
	}
	s.gateMu.Lock()
	defer s.gateMu.Unlock()
	if s.syncedTo.Load() == v {
		return
	}
	hosts := s.hostsOf(v)
	now := boottime.Now()
	if s.gate == nil {
		s.gate = limits.NewEnforcer(limits.Config{}, hosts, v.Self.Incarnation)
		s.lender = limits.NewLender(limits.Config{}, hosts, v.Self.Incarnation)
		s.gateHosts = hosts
	}
	if !slices.Equal(hosts.Live, s.gateHosts.Live) || !slices.Equal(hosts.Configured, s.gateHosts.Configured) {
		s.gate.SetHosts(now, hosts)
		s.lender.SetHosts(hosts)
		s.gateHosts = hosts
	}
	if s.config != v.State.Config {
		s.config = v.State.Config
		s.gate.SetContracts(now, s.config.Contracts)
		s.lender.SetContracts(s.config.Contracts)
		s.creds.Store(limits.NewCredentials(withEnded(s.config.Contracts)))
	}
	s.syncedTo.Store(v)
}

// withEnded returns the contracts with the ended ones as if in force, so that
// their customers are authenticated before they learn that the contract ended.
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

// Lend answers another host's request for a share of a contract.
func (s *Server) Lend(b limits.BorrowRequest) limits.Loan {
	s.gateMu.Lock()
	defer s.gateMu.Unlock()
	if s.lender == nil {
		return limits.Loan{Customer: b.Customer, Lender: b.Lender, Refused: limits.RefusedUnknownCustomer}
	}
	return s.lender.Lend(boottime.Now(), b)
}

// borrow sends one borrow request.
func (s *Server) borrow(ctx context.Context, b limits.BorrowRequest) {
	defer func() { <-s.borrows }()
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	loan, err := s.cfg.Borrow(ctx, b)
	if err != nil {
		s.m.borrowsFailed.Add(1)
		return
	}
	s.lent(b, loan)
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

func newKey() []byte {
	key := make([]byte, 32)
	// crypto/rand.Read never fails; it ends the process instead.
	_, _ = rand.Read(key)
	return key
}
