package slotpeer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
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
	coordinators map[string]string
	links        map[string]*link
	// lostUntil is the end of the pause after a coordinator was lost.
	lostUntil map[string]time.Duration
	local     *localHost
	// contended has the keyed targets whose slots are shared, nil for all of them.
	contended map[string]bool
}

// New returns a Peer without hosts.
func New(cfg Config) *Peer {
	m := newMetrics()
	p := &Peer{
		cfg: cfg, server: newServer(m), metrics: m, coordinators: map[string]string{}, links: map[string]*link{},
		lostUntil: map[string]time.Duration{}, tasks: make(chan *link, 64),
	}
	p.server.log = cfg.Log
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
	p.cfg.Log.Info("slot_hosts", "hosts", len(hosts))
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
	address, ok := p.coordinators[pool]
	if !ok {
		address = slots.CoordinatorOf(pool, domain, p.hosts)
		p.coordinators[pool] = address
	}
	if now < p.lostUntil[address] {
		return ""
	}
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
// answered is false when there was none: the caller then decides by itself, unless its
// context has ended. The lease is nil unless the decision is to send.
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
		return p.acquireFrom(ctx, w, p.local)
	}
	k := p.links[address]
	if k == nil {
		k = newLink(address)
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
	return p.acquireFrom(ctx, w, k)
}

// source is where a host asks for slots.
type source interface {
	add(wireAsk) chan placement.Decision
	remove(id uint64) bool
	queue(outgoing)
}

func (p *Peer) acquireFrom(ctx context.Context, w wireAsk, from source) (placement.Decision, *Lease, bool) {
	answer := from.add(w)
	if answer == nil {
		p.metrics.answers.Add("no_link", 1)
		return placement.Decision{}, nil, false
	}
	start := boottime.Now()
	select {
	case d, ok := <-answer:
		p.metrics.recordWait(boottime.Now() - start)
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
	}
	p.metrics.answers.Add("withdrawn", 1)
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
	err := k.serve(ctx, p.cfg.Domain)
	if ctx.Err() == nil {
		p.cfg.Log.Info("slot_coordinator_lost", "address", k.address, "err", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[k.address] == k {
		delete(p.links, k.address)
	}
	p.lostUntil[k.address] = boottime.Now() + reconnectPause
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
	h.host = &remoteHost{domain: p.cfg.Domain, deliver: h.deliver, heartbeat: func() {}, close: func() {}}
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

func (h *localHost) queue(o outgoing) {
	var m askMessage
	m.add([]outgoing{o})
	h.p.server.handle(h.host, m)
}
