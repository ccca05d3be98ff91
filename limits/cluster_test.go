package limits

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/boragelock/boragelock/contract"
)

const ms = time.Millisecond

// cluster simulates entry hosts with skewed clocks and messages that are
// delayed or lost.
type cluster struct {
	rnd      *rand.Rand
	cfg      Config
	contract contract.Contract
	hosts    []*simHost
	now      time.Duration
	mail     []simMail
	lost     float64
	delay    time.Duration
	admitted int
	// shares is what all hosts together may use at present.
	shares Demand
	// level is that of a leaky bucket of the contract's rate, worst its
	// highest value; worstUse is the most concurrency in use by shares.
	level, worst float64
	worstUse     int
}

type simHost struct {
	name     string
	gate     *Enforcer
	lender   *Lender
	up       bool
	offset   time.Duration
	rate     float64
	demand   float64 // requests a second
	hold     time.Duration
	ends     []time.Duration
	admitted int
	asked    int
	lives    int
	view     Hosts
}

type simMail struct {
	at     time.Duration
	to     int
	borrow BorrowRequest
	loan   *Loan
	life   int
}

// local returns the host's clock.
func (h *simHost) local(now time.Duration) time.Duration {
	return h.offset + time.Duration(float64(now)*h.rate)
}

func newCluster(seed uint64, n int, c contract.Contract) *cluster {
	s := &cluster{rnd: rand.New(rand.NewPCG(seed, 2)), contract: c, delay: 2 * ms}
	for i := range n {
		s.hosts = append(s.hosts, &simHost{
			name: fmt.Sprintf("h%d", i), up: true, hold: 20 * ms,
			offset: time.Duration(s.rnd.Int64N(int64(time.Hour))), rate: 1 + (s.rnd.Float64()-0.5)*0.001,
		})
	}
	for i := range s.hosts {
		s.start(i)
	}
	return s
}

func (s *cluster) hostsOf(i int, live func(int) bool) Hosts {
	v := Hosts{Self: s.hosts[i].name}
	for j, h := range s.hosts {
		v.Configured = append(v.Configured, h.name)
		if j == i || live(j) {
			v.Live = append(v.Live, h.name)
		}
	}
	return v
}

func (s *cluster) start(i int) {
	h := s.hosts[i]
	h.lives++
	h.up, h.ends = true, nil
	h.view = s.hostsOf(i, func(j int) bool { return s.hosts[j].up })
	inc := fmt.Sprint(h.lives)
	cs := map[string]contract.Contract{s.contract.Customer: s.contract}
	h.gate, h.lender = NewEnforcer(s.cfg, h.view, inc), NewLender(s.cfg, h.view, inc)
	h.gate.SetContracts(h.local(s.now), cs)
	h.lender.SetContracts(cs)
}

// see gives host i a new view of the live hosts.
func (s *cluster) see(i int, live func(int) bool) {
	h := s.hosts[i]
	h.view = s.hostsOf(i, live)
	h.gate.SetHosts(h.local(s.now), h.view)
	h.lender.SetHosts(h.view)
}

func (s *cluster) send(m simMail) {
	if s.rnd.Float64() >= s.lost {
		m.at = s.now + time.Duration(s.rnd.Int64N(int64(s.delay)))
		m.life = s.hosts[m.to].lives
		s.mail = append(s.mail, m)
	}
}

func (s *cluster) index(name string) int {
	for i, h := range s.hosts {
		if h.name == name {
			return i
		}
	}
	return -1
}

func (s *cluster) deliver() {
	rest := s.mail[:0:0]
	for _, m := range s.mail {
		h := s.hosts[m.to]
		switch {
		case m.at > s.now:
			rest = append(rest, m)
		case !h.up || m.life != h.lives:
		case m.loan != nil:
			h.gate.ApplyLoan(h.local(s.now), m.borrow, *m.loan)
		default:
			l := h.lender.Lend(h.local(s.now), m.borrow)
			s.mail, rest = rest, nil
			s.send(simMail{to: s.index(m.borrow.Host), borrow: m.borrow, loan: &l})
			rest = s.mail
		}
	}
	s.mail = rest
}

// run advances the cluster in steps of 5 ms; each calls back before each step.
func (s *cluster) run(until time.Duration, each func()) {
	const step = 5 * ms
	for ; s.now < until; s.now += step {
		if each != nil {
			each()
		}
		s.deliver()
		s.level = max(0, s.level-s.contract.RatePerSecond*step.Seconds())
		use := 0
		s.shares = Demand{}
		for _, h := range s.hosts {
			if h.up {
				use += s.step(h, step)
			}
		}
		s.worst, s.worstUse = max(s.worst, s.level), max(s.worstUse, use)
	}
}

func (s *cluster) step(h *simHost, step time.Duration) (use int) {
	now := h.local(s.now)
	for len(h.ends) > 0 && h.ends[0] <= s.now {
		h.ends = h.ends[1:]
		h.gate.Done(s.contract.Customer)
	}
	for n := h.demand*step.Seconds() + s.rnd.Float64(); n >= 1; n-- {
		h.asked++
		if h.gate.Admit(now, s.contract.Customer, "w", 0).Admitted {
			h.ends = append(h.ends, s.now+h.hold)
			s.admitted++
			h.admitted++
			s.level++
		}
	}
	for _, b := range h.gate.DueBorrowRequests(now) {
		s.send(simMail{to: s.index(b.Lender), borrow: b})
	}
	// A request that outlives the share it was admitted under does not count.
	a := h.gate.customers[s.contract.Customer]
	share := a.share(now)
	s.shares.Rate += share.Rate
	s.shares.Concurrency += share.Concurrency
	return min(len(h.ends), h.gate.concurrency(now, a, share))
}
