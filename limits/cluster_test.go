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
	messages []simMessage
	lossRate float64
	delay    time.Duration
	admitted int
	// shares is the quota of all running hosts together.
	shares Quota
	// level is the level of a leaky bucket with the contract's rate, maxLevel its
	// highest value. maxInUse is the highest concurrency in use within shares.
	level, maxLevel float64
	maxInUse        int
}

type simHost struct {
	name        string
	enforcer    *Enforcer
	lender      *Lender
	up          bool
	offset      time.Duration
	rate        float64
	demand      float64 // requests per second
	serviceTime time.Duration
	ends        []time.Duration
	admitted    int
	requested   int
	incarnation int
	knownHosts  Hosts
}

type simMessage struct {
	at          time.Duration
	to          int
	borrow      BorrowRequest
	loan        *Loan
	incarnation int
}

// local returns the time on the host's clock.
func (h *simHost) local(now time.Duration) time.Duration {
	return h.offset + time.Duration(float64(now)*h.rate)
}

func newCluster(seed uint64, n int, c contract.Contract) *cluster {
	s := &cluster{rnd: rand.New(rand.NewPCG(seed, 2)), contract: c, delay: 2 * ms}
	for i := range n {
		s.hosts = append(s.hosts, &simHost{
			name: fmt.Sprintf("h%d", i), up: true, serviceTime: 20 * ms,
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
	h.incarnation++
	h.up, h.ends = true, nil
	h.knownHosts = s.hostsOf(i, func(j int) bool { return s.hosts[j].up })
	incarnation := fmt.Sprint(h.incarnation)
	contracts := map[string]contract.Contract{s.contract.Customer: s.contract}
	h.enforcer, h.lender = NewEnforcer(s.cfg, h.knownHosts, incarnation), NewLender(s.cfg, h.knownHosts, incarnation)
	h.enforcer.SetContracts(h.local(s.now), contracts)
	h.lender.SetContracts(contracts)
}

// setLive changes which hosts host i considers live.
func (s *cluster) setLive(i int, live func(int) bool) {
	h := s.hosts[i]
	h.knownHosts = s.hostsOf(i, live)
	h.enforcer.SetHosts(h.local(s.now), h.knownHosts)
	h.lender.SetHosts(h.knownHosts)
}

func (s *cluster) send(m simMessage) {
	if s.rnd.Float64() >= s.lossRate {
		m.at = s.now + time.Duration(s.rnd.Int64N(int64(s.delay)))
		m.incarnation = s.hosts[m.to].incarnation
		s.messages = append(s.messages, m)
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
	rest := s.messages[:0:0]
	for _, m := range s.messages {
		h := s.hosts[m.to]
		switch {
		case m.at > s.now:
			rest = append(rest, m)
		case !h.up || m.incarnation != h.incarnation:
		case m.loan != nil:
			h.enforcer.ApplyLoan(h.local(s.now), m.borrow, *m.loan)
		default:
			l := h.lender.Lend(h.local(s.now), m.borrow)
			s.messages, rest = rest, nil
			s.send(simMessage{to: s.index(m.borrow.Host), borrow: m.borrow, loan: &l})
			rest = s.messages
		}
	}
	s.messages = rest
}

// run advances the cluster in steps of 5 ms and calls beforeStep before each.
func (s *cluster) run(until time.Duration, beforeStep func()) {
	const step = 5 * ms
	for ; s.now < until; s.now += step {
		if beforeStep != nil {
			beforeStep()
		}
		s.deliver()
		s.level = max(0, s.level-s.contract.RatePerSecond*step.Seconds())
		use := 0
		s.shares = Quota{}
		for _, h := range s.hosts {
			if h.up {
				use += s.step(h, step)
			}
		}
		s.maxLevel, s.maxInUse = max(s.maxLevel, s.level), max(s.maxInUse, use)
	}
}

func (s *cluster) step(h *simHost, step time.Duration) (use int) {
	now := h.local(s.now)
	for len(h.ends) > 0 && h.ends[0] <= s.now {
		h.ends = h.ends[1:]
		h.enforcer.Done(s.contract.Customer)
	}
	for n := h.demand*step.Seconds() + s.rnd.Float64(); n >= 1; n-- {
		h.requested++
		if h.enforcer.Admit(now, s.contract.Customer, "w", 0).Admitted {
			h.ends = append(h.ends, s.now+h.serviceTime)
			s.admitted++
			h.admitted++
			s.level++
		}
	}
	for _, b := range h.enforcer.DueBorrowRequests(now) {
		s.send(simMessage{to: s.index(b.Lender), borrow: b})
	}
	// A request does not count once the share that admitted it has expired.
	a := h.enforcer.customers[s.contract.Customer]
	share := a.share(now)
	s.shares.Rate += share.Rate
	s.shares.Concurrency += share.Concurrency
	return min(len(h.ends), h.enforcer.concurrencyLimit(now, a, share))
}
