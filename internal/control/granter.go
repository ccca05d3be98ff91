package control

import (
	"context"
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/boragelock/boragelock/internal/peer"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/lease"
	"github.com/boragelock/boragelock/membership"
	"github.com/boragelock/boragelock/provider"
)

// domainSet holds the lease cores of this host: one for its own domain, and
// one as an observer for each other domain.
type domainSet struct {
	c   *Control
	mu  sync.Mutex
	set map[string]*domainCore
	// targets holds the goroutine of each target that is granted to.
	targets map[string]*grantWorker
	now     func() time.Duration
	// actions is bounded; a full one blocks the step, which delays renewals
	// but loses nothing.
	actions chan domainAction
	fitness *fitness
}

type domainCore struct {
	mu   sync.Mutex
	core *lease.Granter
}

type domainAction struct {
	domain string
	action lease.Action
}

func newDomainSet(c *Control) *domainSet {
	return &domainSet{
		c: c, set: map[string]*domainCore{}, targets: map[string]*grantWorker{},
		now: c.cfg.Now, actions: make(chan domainAction, 4096), fitness: newFitness(c.cfg),
	}
}

func (d *domainSet) config() lease.Config {
	cfg := lease.DefaultConfig()
	cfg.Lease, cfg.Authority = d.c.cfg.Timing.LeaseDuration, d.c.cfg.Timing.AuthorityDuration
	cfg.UnsafeNoLeaseWait = d.c.cfg.SkipLeaseWait
	cfg.RenewEvery, cfg.PermitFor = d.c.cfg.Timing.RenewInterval, d.c.cfg.Timing.PermitDuration
	// Between two reads of a log without news, the age of the last complete
	// read reaches twice the wait. Consent that is asked for below that age
	// costs four calls for each read and each other granter; the rest of the
	// authority leaves time for the answers.
	cfg.ConsentAfter = max(2*d.c.cfg.Timing.ReadWait, cfg.Authority*7/10)
	return cfg
}

// core returns the lease core of a domain, creating it when needed.
func (d *domainSet) core(domain string) *domainCore {
	d.mu.Lock()
	defer d.mu.Unlock()
	dc := d.set[domain]
	if dc == nil {
		self := lease.Self{Host: d.c.cfg.Self.Name, Incarnation: d.c.cfg.Self.Incarnation, Domain: domain}
		dc = &domainCore{core: lease.New(d.config(), self)}
		d.set[domain] = dc
	}
	return dc
}

func (d *domainSet) own() *domainCore { return d.core(d.c.cfg.Self.Domain) }

// step gives an event to a domain's core and queues its actions.
func (d *domainSet) step(domain string, ev lease.Event) {
	dc := d.core(domain)
	dc.mu.Lock()
	actions := dc.core.Step(d.now(), ev)
	dc.mu.Unlock()
	for _, a := range actions {
		d.actions <- domainAction{domain, a}
	}
}

func (d *domainSet) all() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]string, 0, len(d.set))
	for name := range d.set {
		out = append(out, name)
	}
	return out
}

// publish hands a state to the cores. Other domains are observed only by the
// host that leads its own domain.
func (d *domainSet) publish(st *journal.State) {
	if st.Config != nil {
		d.fitness.watch(st, d.c.cfg.Self, d.c.targets(st).all)
	}
	d.step(d.c.cfg.Self.Domain, lease.StatePublished{State: st})
	if st.Config == nil || !d.c.leads(st) {
		return
	}
	for _, name := range st.Config.DomainOrder {
		if name != d.c.cfg.Self.Domain {
			d.step(name, lease.StatePublished{State: st})
		}
	}
}

func (d *domainSet) logRead(asOf time.Duration, end int64) {
	for _, name := range d.all() {
		d.step(name, lease.LogRead{Start: asOf, End: end})
	}
}

// leads reports whether this host is the first granter of its domain.
func (c *Control) leads(st *journal.State) bool {
	m := st.Granters[c.cfg.Self.Domain].Members
	return len(m) > 0 && m[0].Host == c.cfg.Self.Name && m[0].Incarnation == c.cfg.Self.Incarnation
}

// serveGranter lets time pass for the cores and carries out their actions.
func (c *Control) serveGranter(ctx context.Context) error {
	tick := time.NewTicker(c.domains.config().TickEvery)
	defer tick.Stop()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case a := <-c.domains.actions:
				c.carryOut(ctx, a)
			}
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			c.tick(n)
		}
	}
}

const (
	// fitnessTicks and idleTicks are the numbers of ticks between two steps of
	// the judgement of targets and, on hosts that are no granters, of the
	// lease cores.
	fitnessTicks = 2
	idleTicks    = 10
)

// tick lets time pass. A host that is no granter renews nothing and judges no
// targets, so it steps less often.
func (c *Control) tick(n int) {
	st := c.state()
	idle := st == nil || !c.isGranter(st)
	if idle && n%idleTicks != 0 {
		return
	}
	if idle || n%fitnessTicks == 0 {
		c.domains.fitness.step(membership.Tick{})
	}
	for _, name := range c.domains.all() {
		c.domains.step(name, lease.Tick{})
	}
}

// releases reports whether this host takes part in the release of shards of a
// domain: as one of its granters, or as the leader of another one. If all hosts
// of a large domain did, one lost target would cost its granters thousands of
// calls a second.
func (c *Control) releases(domain string) bool {
	st := c.state()
	return domain != c.cfg.Self.Domain || st != nil && c.isGranter(st)
}

func (c *Control) carryOut(ctx context.Context, da domainAction) {
	switch da.action.(type) {
	case lease.SendStopRenew, lease.AppendReleased:
		if !c.releases(da.domain) {
			return
		}
	}
	switch a := da.action.(type) {
	case lease.SendGrant:
		c.domains.grant(ctx, da.domain, a)
	case lease.AskConsent:
		go callMemberFor(c, ctx, a.To, methodConsent, a.Request, func(ans lease.ConsentAnswer, _ time.Duration) lease.Event {
			return lease.ConsentAnswered{From: a.To, Answer: ans}
		}, da.domain)
	case lease.SendLogRegained:
		go callMemberFor(c, ctx, a.To, methodBack, a.Notice, func(struct{}, time.Duration) lease.Event {
			return lease.LogRegainedAcked{From: a.To, Seq: a.Notice.Seq}
		}, da.domain)
	case lease.SendStopRenew:
		go callMemberFor(c, ctx, a.To, methodStop, a.Request, func(ans lease.StopRenewAnswer, sent time.Duration) lease.Event {
			return lease.StopRenewAnswered{From: a.To, SentAt: sent, Answer: ans}
		}, da.domain)
	case lease.AppendReleased:
		go c.appendReleased(ctx, a)
	case lease.AuthorityChanged:
		c.log.Info("authority changed", "domain", da.domain, "from", a.From, "to", a.To)
	}
}

// callTimeout limits a call between granters.
const callTimeout = 300 * time.Millisecond

// callMemberFor calls a granter and gives its answer to the domain's core.
func callMemberFor[R any](c *Control, ctx context.Context, to journal.Member, method string, req any, event func(R, time.Duration) lease.Event, domain string) {
	st := c.state()
	if st == nil {
		return
	}
	e, ok := st.EntryHosts[to.Host]
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := c.cfg.Now()
	var ans R
	if err := c.cfg.Peers.Call(ctx, e.PeerAddr, method, req, &ans); err != nil {
		c.log.Debug("call failed", "host", to.Host, "error", err)
		return
	}
	c.domains.step(domain, event(ans, sent))
}

func (c *Control) appendReleased(ctx context.Context, a lease.AppendReleased) {
	res, err := c.Append(ctx, journal.KindReleased, a.Body)
	if err != nil {
		c.log.Warn("release not written", "target", a.Target, "error", err)
		return
	}
	c.log.Info("shards released", "target", a.Target, "shards", len(a.Body.Shards), "proof", a.Body.Proof, "outcome", res.Outcome)
}

// The answers to the other granters.

func (c *Control) consent(_ context.Context, req lease.ConsentRequest) (lease.ConsentAnswer, error) {
	dc := c.domains.core(req.Domain)
	dc.mu.Lock()
	defer dc.mu.Unlock()
	return dc.core.Consent(c.cfg.Now(), req), nil
}

func (c *Control) back(_ context.Context, n lease.LogRegainedNotice) (struct{}, error) {
	dc := c.domains.core(n.Domain)
	dc.mu.Lock()
	defer dc.mu.Unlock()
	dc.core.HandleLogRegained(c.cfg.Now(), n)
	return struct{}{}, nil
}

// StopRefusedError says that this host is no granter of the domain.
type StopRefusedError struct{ Domain string }

// Error implements error.
func (e *StopRefusedError) Error() string { return "no granter of domain " + e.Domain }

func (c *Control) stopRenew(_ context.Context, req lease.StopRenewRequest) (lease.StopRenewAnswer, error) {
	dc := c.domains.core(req.Domain)
	dc.mu.Lock()
	defer dc.mu.Unlock()
	ans, ok := dc.core.StopRenew(c.cfg.Now(), req)
	if !ok {
		return ans, &StopRefusedError{Domain: req.Domain}
	}
	return ans, nil
}

// grantWorker sends grants to one target, one at a time.
type grantWorker struct {
	addr   string
	client provider.Target
	// open says that the last grant was answered, so that the next one goes
	// over the same connection.
	open bool
	// queue holds at most one grant; a new one is refused while it is full,
	// since a renewal that has waited is of no use.
	queue chan domainGrant
}

type domainGrant struct {
	domain string
	grant  lease.SendGrant
}

// grant hands a grant to the target's goroutine.
func (d *domainSet) grant(ctx context.Context, domain string, a lease.SendGrant) {
	st := d.c.state()
	tgt, ok := st.Config.Targets[a.Target]
	if !ok {
		return
	}
	d.mu.Lock()
	w := d.targets[a.Target]
	if w == nil || w.addr != tgt.Addr {
		w = &grantWorker{addr: tgt.Addr, client: d.c.cfg.NewTargetClient(tgt.Addr), queue: make(chan domainGrant, 1)}
		d.targets[a.Target] = w
		go d.work(ctx, w)
	}
	d.mu.Unlock()
	select {
	case w.queue <- domainGrant{domain, a}:
	default:
		grantsTotal.Add("refused_queue_full", 1)
		// This runs in the consumer of the actions, which must not wait for
		// room among them.
		go d.step(domain, lease.GrantFailed{Target: a.Target, Seq: a.Seq})
	}
}

func (d *domainSet) work(ctx context.Context, w *grantWorker) {
	for {
		select {
		case <-ctx.Done():
			return
		case g := <-w.queue:
			d.send(ctx, w, g)
		}
	}
}

func (d *domainSet) send(ctx context.Context, w *grantWorker, g domainGrant) {
	ctx, cancel := context.WithTimeout(ctx, d.c.cfg.Timing.GrantTimeout)
	defer cancel()
	dc := d.core(g.domain)
	dc.mu.Lock()
	may := dc.core.MayRenew(d.now(), g.grant)
	dc.mu.Unlock()
	if !may {
		grantsTotal.Add("no_authority", 1)
		d.step(g.domain, lease.GrantFailed{Target: g.grant.Target, Seq: g.grant.Seq})
		return
	}
	fresh := !w.open
	start := d.c.stalls.awake()
	reply, err := w.client.Grant(ctx, g.grant.Grant)
	w.open = err == nil
	if err != nil {
		grantsTotal.Add("failed", 1)
		d.c.blame(targetNode(g.grant.Target), fresh, start, d.c.cfg.Timing.GrantTimeout, refusedByTarget(err))
		d.step(g.domain, lease.GrantFailed{Target: g.grant.Target, Seq: g.grant.Seq})
		return
	}
	grantsTotal.Add(string(reply.Result), 1)
	d.fitness.answered(g.grant.Target, fresh, reply)
	d.step(g.domain, lease.GrantAnswer{Target: g.grant.Target, Seq: g.grant.Seq, Reply: reply})
}

// blameShare is the share of an attempt's time limit for which this process
// must have run for the failure to be the other side's.
const blameShare = 0.6

// blame counts a failed attempt against a node, unless this host itself was
// stalled for much of it. start is on the clock that stands still in stalls. A
// refused connection is an answer, however long this host slept.
func (c *Control) blame(n membership.Node, fresh bool, start, limit time.Duration, refused bool) {
	if !refused && c.stalls.awake()-start < time.Duration(blameShare*float64(limit)) {
		grantsTotal.Add("failed_while_stalled", 1)
		return
	}
	c.domains.fitness.step(membership.AttemptFailed{Node: n, NewConnection: fresh})
}

// refusedByTarget reports whether the failure proves that nothing listens at
// the target's address, or that the connection broke.
func refusedByTarget(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF)
}

// isRefused reports whether a peer call was refused by the host's kernel.
func isRefused(err error) bool {
	var ce *peer.CallError
	return errors.As(err, &ce) && ce.Code == peer.CodeRefused
}
