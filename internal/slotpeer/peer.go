package slotpeer

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/guard"
	"github.com/boragelock/boragelock/placement"
	"github.com/boragelock/boragelock/slots"
)

// Deployment is what a Peer needs to know of the deployment.
type Deployment interface {
	Snapshot() *fleet.Snapshot
	Changed() <-chan struct{}
}

// Config holds the settings of a Peer.
type Config struct {
	// Address is the host's peer address, Domain its failure domain.
	Address, Domain string
	Log             hclog.Logger
	// AdaptivePace makes the coordinator use package pace.
	AdaptivePace bool
}

// Peer asks coordinators for slots and coordinates the pools of this host.
type Peer struct {
	cfg     Config
	server  *server
	metrics *metrics
	enabled atomic.Bool
	nextID  atomic.Uint64
	// tasks holds links to serve.
	tasks chan *link

	mu    sync.Mutex
	hosts []slots.Host
	// coordinators caches the coordinator of each pool for hosts.
	coordinators map[poolAt]string
	links        map[string]*link
	// lost has the coordinators that were lost and not heard of since.
	lost  map[string]lostCoordinator
	local *localHost
	// contended has the keyed targets whose slots are shared, nil for all of them.
	contended map[string]bool
}

// poolAt is a pool and the domain of its target. The domain is empty while the target is
// unknown, which must not fix the coordinator.
type poolAt struct{ pool, domain string }

// lostCoordinator is the pause until the next attempt to reach a coordinator.
type lostCoordinator struct{ until, pause time.Duration }

// New returns a Peer without hosts.
func New(cfg Config) *Peer {
	m := newMetrics()
	p := &Peer{
		cfg: cfg, server: newServer(m, cfg), metrics: m, coordinators: map[poolAt]string{}, links: map[string]*link{},
		lost: map[string]lostCoordinator{}, tasks: make(chan *link, 64),
	}
	m.publishQueues(p.server)
	p.local = newLocalHost(p)
	return p
}

// AddTo adds the tasks of the Peer to a supervisor.
func (p *Peer) AddTo(s *suture.Supervisor, d Deployment) {
	s.Add(&task{"slot coordinator", p.server.serve})
	s.Add(&task{"slot targets", func(ctx context.Context) error { return p.followDeployment(ctx, d) }})
	s.Add(&task{"slot links", p.serveLinks})
}

// task is a supervised goroutine.
type task struct {
	name string
	run  func(context.Context) error
}

// Serve implements suture.Service.
func (t *task) Serve(ctx context.Context) error { return t.run(ctx) }

// String implements fmt.Stringer for the supervisor's messages.
func (t *task) String() string { return t.name }

// followDeployment applies changes of the deployment.
func (p *Peer) followDeployment(ctx context.Context, d Deployment) error {
	var last *fleet.Snapshot
	for {
		changed := d.Changed()
		if snap := d.Snapshot(); snap != last {
			last = snap
			if on := slots.Enabled(snap.DesiredState); p.enabled.Swap(on) != on {
				p.cfg.Log.Info("shared_queues", "enabled", on)
			}
			if p.enabled.Load() {
				p.server.setSnapshot(snap)
			} else {
				p.server.clearTargets() // asks of hosts that still share slots are refused
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Enabled reports whether slots are shared under the current desired state.
func (p *Peer) Enabled() bool { return p.enabled.Load() }

// SetHosts replaces the hosts that may coordinate pools.
func (p *Peer) SetHosts(hosts []slots.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Equal(p.hosts, hosts) {
		return
	}
	p.hosts = hosts
	clear(p.coordinators)
	for address, k := range p.links {
		k.retired.Store(!p.isLive(address))
	}
	maps.DeleteFunc(p.lost, func(address string, _ lostCoordinator) bool { return !p.isLive(address) })
	p.cfg.Log.Info("slot_hosts", "hosts", len(hosts))
}

// isLive reports whether a host is among the live ones; p.mu is held.
func (p *Peer) isLive(address string) bool {
	return slices.ContainsFunc(p.hosts, func(h slots.Host) bool { return h.Address == address })
}

// SetContended applies a change of the keyed targets that are contended. Until the first
// call all are.
func (p *Peer) SetContended(full bool, added, removed []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if full {
		p.contended = map[string]bool{}
	}
	if p.contended == nil {
		return // all are, and the leader did not say which ones remain
	}
	for _, id := range removed {
		delete(p.contended, id)
	}
	for _, id := range added {
		p.contended[id] = true
	}
	p.metrics.contended.Set(int64(len(p.contended)))
}

// Shares reports whether a request takes a shared slot: one for any target of its workload,
// or for the key of a contended target.
func (p *Peer) Shares(r placement.Request) bool {
	if !p.Enabled() {
		return false
	}
	if r.Target == "" {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.contended == nil || p.contended[r.Target]
}

// coordinatorOf returns the address of the coordinator of a pool, or "" if none is known or
// it was lost lately; p.mu is held.
func (p *Peer) coordinatorOf(now time.Duration, pool, domain string) string {
	address, ok := p.coordinators[poolAt{pool, domain}]
	if !ok {
		address = slots.CoordinatorOf(pool, domain, p.hosts)
		p.coordinators[poolAt{pool, domain}] = address
	}
	if now >= p.lost[address].until {
		return address
	}
	return p.substituteOf(now, pool, domain, address)
}

// suspectedFrom is the number of lost coordinators of a failure domain from which the host
// takes the domain for unreachable.
const suspectedFrom = 2

// substituteOf returns the coordinator of a pool while the domain of its coordinator is
// unreachable, or "" if it is reachable: among the hosts of the other domains, so that the hosts
// on this side of a network partition agree on one. p.mu is held.
func (p *Peer) substituteOf(now time.Duration, pool, domain, lost string) string {
	unreachable := map[string]int{}
	lostDomain := ""
	for _, h := range p.hosts {
		if now < p.lost[h.Address].until && h.Domain != p.cfg.Domain {
			unreachable[h.Domain]++
		}
		if h.Address == lost {
			lostDomain = h.Domain
		}
	}
	if unreachable[lostDomain] < suspectedFrom {
		return ""
	}
	var reachable []slots.Host
	for _, h := range p.hosts {
		if unreachable[h.Domain] < suspectedFrom {
			reachable = append(reachable, h)
		}
	}
	address := slots.CoordinatorOf(pool, domain, reachable)
	if now < p.lost[address].until {
		return ""
	}
	p.metrics.answers.Add("substitute", 1)
	return address
}

// Lease is a slot that a coordinator granted. Its methods may be called on nil, and only the
// first call of one has an effect.
type Lease struct {
	mu   sync.Mutex
	send func(outgoing)
	id   uint64
}

// End reports the outcome of the request that used the slot.
func (l *Lease) End(o placement.Outcome) {
	if send := l.take(); send != nil {
		e := newWireEnd(l.id, o)
		send(outgoing{end: &e})
	}
}

// Release reports that the request was not sent.
func (l *Lease) Release() {
	if send := l.take(); send != nil {
		send(outgoing{unsent: l.id})
	}
}

func (l *Lease) take() func(outgoing) {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	send := l.send
	l.send = nil
	return send
}

// Acquire asks the coordinator of a request's pool for a slot and waits for the answer.
// answered is false when there was none before the deadline of the request: the caller then
// decides by itself, unless its context has ended. The lease is nil unless the decision is to send.
func (p *Peer) Acquire(ctx context.Context, r placement.Request, targetDomain string) (d placement.Decision, l *Lease, answered bool) {
	now := boottime.Now()
	pool := slots.PoolOf(r.Workload, r.Target, r.Target != "")
	w := newWireAsk(now, p.nextID.Add(1), pool, r)
	p.mu.Lock()
	address := p.coordinatorOf(now, pool, targetDomain)
	if address == "" {
		p.mu.Unlock()
		p.metrics.answers.Add("no_coordinator", 1)
		return placement.Decision{}, nil, false
	}
	if address == p.cfg.Address {
		p.mu.Unlock()
		return p.acquireFrom(ctx, w, r.Deadline, p.local)
	}
	k := p.links[address]
	if k == nil {
		k = newLink(address, func() { p.noteFound(address) })
		select {
		case p.tasks <- k:
			p.links[address] = k
		default:
			p.mu.Unlock()
			p.metrics.answers.Add("no_link", 1)
			return placement.Decision{}, nil, false
		}
	}
	p.mu.Unlock()
	return p.acquireFrom(ctx, w, r.Deadline, k)
}

// source is where a host asks for slots.
type source interface {
	add(wireAsk) chan placement.Decision
	remove(id uint64) bool
	queue(outgoing)
	noteWait(now, waited time.Duration)
}

func (p *Peer) acquireFrom(ctx context.Context, w wireAsk, deadline time.Duration, from source) (placement.Decision, *Lease, bool) {
	answer := from.add(w)
	if answer == nil {
		p.metrics.answers.Add("no_link", 1)
		return placement.Decision{}, nil, false
	}
	start := boottime.Now()
	// A coordinator that sends heartbeats may have lost the ask, for example as a part of a
	// message that its release cannot read.
	overdue := time.NewTimer(deadline - start)
	defer overdue.Stop()
	end := "withdrawn"
	select {
	case d, ok := <-answer:
		now := boottime.Now()
		p.metrics.recordWait(now - start)
		from.noteWait(now, now-start)
		if !ok {
			p.metrics.answers.Add("lost", 1)
			return placement.Decision{}, nil, false
		}
		if d.Action != placement.Send {
			p.metrics.answers.Add("refused_"+string(d.Reason), 1)
			return d, nil, true
		}
		p.metrics.answers.Add("granted", 1)
		return d, &Lease{send: from.queue, id: w.ID}, true
	case <-ctx.Done():
	case <-overdue.C:
		end = "overdue"
	}
	p.metrics.answers.Add(end, 1)
	from.remove(w.ID)
	from.queue(outgoing{unsent: w.ID})
	return placement.Decision{}, nil, false
}

// serveLinks serves the connections to coordinators.
func (p *Peer) serveLinks(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case k := <-p.tasks:
			go p.serveLink(ctx, k)
		}
	}
}

func (p *Peer) serveLink(ctx context.Context, k *link) {
	var err error
	if panicked := guard.Call("slot link", func() { err = k.serve(ctx, p.cfg.Domain, p.cfg.Log) }); panicked != nil {
		p.cfg.Log.Error("panic", "duty", "slot link", "err", panicked)
		err = panicked
	}
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[k.address] == k {
		delete(p.links, k.address)
	}
	var ended *LinkError
	if !p.isLive(k.address) || errors.As(err, &ended) && ended.Code == CodeRetired {
		return
	}
	l, known := p.lost[k.address]
	l.pause = min(max(2*l.pause, reconnectPause), maxReconnectPause)
	l.until = boottime.Now() + l.pause
	p.lost[k.address] = l
	if !known {
		p.cfg.Log.Info("slot_coordinator_lost", "address", k.address, "heard", k.wasHeard(), "err", err)
	}
}

// noteFound notes a message of a coordinator.
func (p *Peer) noteFound(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, lost := p.lost[address]; lost {
		delete(p.lost, address)
		p.cfg.Log.Info("slot_coordinator_found", "address", address)
	}
}

// localHost asks the coordinator of its own process.
type localHost struct {
	p    *Peer
	host *remoteHost

	mu      sync.Mutex
	waiting map[uint64]waitingAsk
}

func newLocalHost(p *Peer) *localHost {
	h := &localHost{p: p, waiting: map[uint64]waitingAsk{}}
	h.host = &remoteHost{domain: p.cfg.Domain, deliver: h.deliver, heartbeat: func() {}, close: h.giveUp}
	p.server.addHost(h.host)
	return h
}

// deliver passes an answer on. The coordinator's mutex is held, so that a lease of an ask
// that was given up is returned later.
func (h *localHost) deliver(a wireAnswer) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w, ok := h.waiting[a.ID]; ok {
		delete(h.waiting, a.ID)
		w.answer <- a.decision(w.target)
	} else {
		go h.queue(outgoing{unsent: a.ID})
	}
	return true
}

// giveUp leaves the waiting asks without an answer.
func (h *localHost) giveUp() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, w := range h.waiting {
		delete(h.waiting, id)
		close(w.answer)
	}
}

func (h *localHost) add(a wireAsk) chan placement.Decision {
	answer := make(chan placement.Decision, 1)
	h.mu.Lock()
	h.waiting[a.ID] = waitingAsk{answer, a.Target}
	h.mu.Unlock()
	h.queue(outgoing{ask: &a})
	return answer
}

func (h *localHost) remove(id uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.waiting[id]
	delete(h.waiting, id)
	return ok
}

func (h *localHost) noteWait(time.Duration, time.Duration) {}

func (h *localHost) queue(o outgoing) {
	var m askMessage
	m.add([]outgoing{o})
	h.p.server.handle(h.host, m)
}
