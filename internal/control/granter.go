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

// domainSet holds the lease.Granters of this host: one for its own domain, and
// one as an observer for each other domain.
type domainSet struct {
	c     *Control
	mu    sync.Mutex
	cores map[string]*domainCore
	// workers holds the worker that sends the grants of each target.
	workers map[string]*grantWorker
	now     func() time.Duration
	// actions is bounded. While it is full, step blocks, which delays renewals
	// but loses no action.
	actions chan domainAction
	fitness *fitnessTracker
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
		c: c, cores: map[string]*domainCore{}, workers: map[string]*grantWorker{},
		now: c.cfg.Now, actions: make(chan domainAction, 4096), fitness: newFitnessTracker(c.cfg),
	}
}

func (d *domainSet) config() lease.Config {
	cfg := lease.DefaultConfig()
	cfg.Lease, cfg.Authority = d.c.cfg.Timing.LeaseDuration, d.c.cfg.Timing.AuthorityDuration
	cfg.UnsafeNoLeaseWait = d.c.cfg.SkipLeaseWait
	cfg.RenewEvery, cfg.PermitFor = d.c.cfg.Timing.RenewInterval, d.c.cfg.Timing.PermitDuration
	// While the log has no new records, the age of the last complete read reaches
	// twice the wait. Requests for consent below that age would cost four calls
	// for each read and each other granter. The rest of the authority leaves time
	// for the responses.
	cfg.ConsentAfter = max(2*d.c.cfg.Timing.ReadWait, cfg.Authority*7/10)
	return cfg
}

// core returns the core of a domain and creates it when needed.
func (d *domainSet) core(domain string) *domainCore {
	d.mu.Lock()
	defer d.mu.Unlock()
	dc := d.cores[domain]
	if dc == nil {
		self := lease.Self{Host: d.c.cfg.Self.Name, Incarnation: d.c.cfg.Self.Incarnation, Domain: domain}
		dc = &domainCore{core: lease.New(d.config(), self)}
		d.cores[domain] = dc
	}
	return dc
}

func (d *domainSet) ownCore() *domainCore { return d.core(d.c.cfg.Self.Domain) }

// step passes an event to a domain's core and queues the actions.
func (d *domainSet) step(domain string, ev lease.Event) {
	dc := d.core(domain)
	dc.mu.Lock()
	actions := dc.core.Step(d.now(), ev)
	dc.mu.Unlock()
	for _, a := range actions {
		d.actions <- domainAction{domain, a}
	}
}

func (d *domainSet) domainNames() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]string, 0, len(d.cores))
	for name := range d.cores {
		out = append(out, name)
	}
	return out
}

// publish passes a state to the cores. Only the leader of its own domain
// observes other domains.
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
	for _, name := range d.domainNames() {
		d.step(name, lease.LogRead{Start: asOf, End: end})
	}
}

// leads reports whether this host is the leader of its domain: the first
// granter of the list.
func (c *Control) leads(st *journal.State) bool {
	m := st.Granters[c.cfg.Self.Domain].Members
	return len(m) > 0 && m[0].Host == c.cfg.Self.Name && m[0].Incarnation == c.cfg.Self.Incarnation
}

// serveGranter sends ticks to the cores and executes their actions.
func (c *Control) serveGranter(ctx context.Context) error {
	tick := time.NewTicker(c.domains.config().TickEvery)
	defer tick.Stop()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case a := <-c.domains.actions:
				c.execute(ctx, a)
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
	// ticksPerFitnessStep and ticksPerIdleStep are the numbers of ticks between
	// two steps of the fitness tracker and, on hosts that are not granters, of the
	// cores.
	ticksPerFitnessStep = 2
	ticksPerIdleStep    = 10
)

// tick advances the time of the fitness tracker and the cores. A host that is
// not a granter neither renews leases nor assesses targets, so it does this less
// often.
func (c *Control) tick(n int) {
	st := c.state()
	idle := st == nil || !c.isGranter(st)
	if idle && n%ticksPerIdleStep != 0 {
		return
	}
	if idle || n%ticksPerFitnessStep == 0 {
		c.domains.fitness.step(membership.Tick{})
	}
	for _, name := range c.domains.domainNames() {
		c.domains.step(name, lease.Tick{})
	}
}

// handlesReleases reports whether this host helps to release shards of a domain:
// as one of its granters, or as the leader of another domain. If all hosts of a
// large domain did, one lost target would cost its granters thousands of calls
// per second.
func (c *Control) handlesReleases(domain string) bool {
	st := c.state()
	return domain != c.cfg.Self.Domain || st != nil && c.isGranter(st)
}

func (c *Control) execute(ctx context.Context, da domainAction) {
	switch da.action.(type) {
	case lease.SendStopRenew, lease.AppendReleased:
		if !c.handlesReleases(da.domain) {
			return
		}
	}
	switch a := da.action.(type) {
	case lease.SendGrant:
		c.domains.queueGrant(ctx, da.domain, a)
	case lease.AskConsent:
		go callGranter(c, ctx, a.To, methodConsent, a.Request, func(ans lease.ConsentAnswer, _ time.Duration) lease.Event {
			return lease.ConsentAnswered{From: a.To, Answer: ans}
		}, da.domain)
	case lease.SendLogRegained:
		go callGranter(c, ctx, a.To, methodLogRegained, a.Notice, func(struct{}, time.Duration) lease.Event {
			return lease.LogRegainedAcked{From: a.To, Seq: a.Notice.Seq}
		}, da.domain)
	case lease.SendStopRenew:
		go callGranter(c, ctx, a.To, methodStop, a.Request, func(ans lease.StopRenewAnswer, sent time.Duration) lease.Event {
			return lease.StopRenewAnswered{From: a.To, SentAt: sent, Answer: ans}
		}, da.domain)
	case lease.AppendReleased:
		go c.appendReleased(ctx, a)
	case lease.AuthorityChanged:
		c.log.Info("authority changed", "domain", da.domain, "from", a.From, "to", a.To)
	}
}

// callTimeout limits a call to another host.
const callTimeout = 300 * time.Millisecond

// callGranter calls a granter and passes its response to the domain's core.
func callGranter[R any](c *Control, ctx context.Context, to journal.Member, method string, req any, event func(R, time.Duration) lease.Event, domain string) {
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
		c.log.Debug("failed to call a granter", "host", to.Host, "error", err)
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

// Handlers of calls from other granters.

func (c *Control) consent(_ context.Context, req lease.ConsentRequest) (lease.ConsentAnswer, error) {
	dc := c.domains.core(req.Domain)
	dc.mu.Lock()
	defer dc.mu.Unlock()
	return dc.core.Consent(c.cfg.Now(), req), nil
}

func (c *Control) logRegained(_ context.Context, n lease.LogRegainedNotice) (struct{}, error) {
	dc := c.domains.core(n.Domain)
	dc.mu.Lock()
	defer dc.mu.Unlock()
	dc.core.HandleLogRegained(c.cfg.Now(), n)
	return struct{}{}, nil
}

// StopRefusedError says that this host refused lease.stop_renew, since it does
// not know the target in the domain yet.
type StopRefusedError struct{ Domain string }

// Error implements error.
func (e *StopRefusedError) Error() string { return "target not known yet in domain " + e.Domain }

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

// grantWorker sends the grants of one target, one at a time.
type grantWorker struct {
	addr   string
	client provider.Target
	// connected is true when the target answered the last grant, so that the next
	// one uses the same connection.
	connected bool
	// queue holds at most one grant. While it is full, new grants are refused,
	// since a renewal that has waited is of no use.
	queue chan domainGrant
}

type domainGrant struct {
	domain string
	grant  lease.SendGrant
}

// queueGrant passes a grant to the target's worker, which it starts when needed.
func (d *domainSet) queueGrant(ctx context.Context, domain string, a lease.SendGrant) {
	st := d.c.state()
	tgt, ok := st.Config.Targets[a.Target]
	if !ok {
		return
	}
	d.mu.Lock()
	w := d.workers[a.Target]
	if w == nil || w.addr != tgt.Addr {
		w = &grantWorker{addr: tgt.Addr, client: d.c.cfg.NewTargetClient(tgt.Addr), queue: make(chan domainGrant, 1)}
		d.workers[a.Target] = w
		go d.runWorker(ctx, w)
	}
	d.mu.Unlock()
	select {
	case w.queue <- domainGrant{domain, a}:
	default:
		grantsTotal.Add("refused_queue_full", 1)
		// queueGrant runs in the consumer of the actions, which must not block on
		// a full channel of actions.
		go d.step(domain, lease.GrantFailed{Target: a.Target, Seq: a.Seq})
	}
}

func (d *domainSet) runWorker(ctx context.Context, w *grantWorker) {
	for {
		select {
		case <-ctx.Done():
			return
		case g := <-w.queue:
			d.sendGrant(ctx, w, g)
		}
	}
}

func (d *domainSet) sendGrant(ctx context.Context, w *grantWorker, g domainGrant) {
	ctx, cancel := context.WithTimeout(ctx, d.c.cfg.Timing.GrantTimeout)
	defer cancel()
	dc := d.core(g.domain)
	dc.mu.Lock()
	mayRenew := dc.core.MayRenew(d.now(), g.grant)
	dc.mu.Unlock()
	if !mayRenew {
		grantsTotal.Add("no_authority", 1)
		d.step(g.domain, lease.GrantFailed{Target: g.grant.Target, Seq: g.grant.Seq})
		return
	}
	newConnection := !w.connected
	start := d.c.stalls.awake()
	reply, err := w.client.Grant(ctx, g.grant.Grant)
	w.connected = err == nil
	if err != nil {
		grantsTotal.Add("failed", 1)
		d.c.reportFailure(targetNode(g.grant.Target), newConnection, start, d.c.cfg.Timing.GrantTimeout, isConnectionFailure(err))
		d.step(g.domain, lease.GrantFailed{Target: g.grant.Target, Seq: g.grant.Seq})
		return
	}
	grantsTotal.Add(string(reply.Result), 1)
	d.fitness.handleGrantReply(g.grant.Target, newConnection, reply)
	d.step(g.domain, lease.GrantAnswer{Target: g.grant.Target, Seq: g.grant.Seq, Reply: reply})
}

// minAwakeShare is the share of an attempt's timeout for which this process must
// have run for the failure to count against the node.
const minAwakeShare = 0.6

// reportFailure counts a failed attempt against a node. It does not when this
// process ran for less than minAwakeShare of the timeout, since a stall of this
// process may be the cause. start is a time of stallMeter.awake. A refused
// connection always counts, since it is a response.
func (c *Control) reportFailure(n membership.Node, newConnection bool, start, timeout time.Duration, refused bool) {
	if !refused && c.stalls.awake()-start < time.Duration(minAwakeShare*float64(timeout)) {
		grantsTotal.Add("failed_while_stalled", 1)
		return
	}
	c.domains.fitness.step(membership.AttemptFailed{Node: n, NewConnection: newConnection})
}

// isConnectionFailure reports whether the error proves that nothing listens at
// the target's address, or that the connection broke.
func isConnectionFailure(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF)
}

// isRefused reports whether the peer's kernel refused the connection of a call.
func isRefused(err error) bool {
	var ce *peer.CallError
	return errors.As(err, &ce) && ce.Code == peer.CodeRefused
}
