package slotpeer

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/guard"
	"github.com/boragelock/boragelock/pace"
	"github.com/boragelock/boragelock/placement"
	"github.com/boragelock/boragelock/slots"
)

// Timing of the connections.
const (
	tickInterval = 20 * time.Millisecond
	// idleInterval is the interval while no ask waits: most hosts coordinate few pools, and
	// each wake-up costs them processor time.
	idleInterval      = 250 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	// outboxSize bounds the answers that wait for one host. A host that does not read
	// them is disconnected.
	outboxSize = 256
	// maxBatch bounds the entries of one message.
	maxBatch = 128
)

// server is the coordinator's side.
type server struct {
	mu          sync.Mutex
	coordinator *slots.Coordinator
	targets     []placement.Target
	// routes has the routes of the desired state. Service times are learned by route, and
	// other processes must not add some.
	routes   map[string]bool
	hosts    map[string]*remoteHost
	byConn   map[*jsonrpc2.Conn]*remoteHost
	nextHost uint64
	// longQueue is set while more asks wait than longQueueFrom.
	longQueue bool
	metrics   *metrics
	paces     pace.Reporter
	log       hclog.Logger
	// asksWait wakes serve when asks begin to wait; idle is set while none does.
	idle     bool
	asksWait chan struct{}
	// adaptivePace is as in Config.
	adaptivePace bool
}

// remoteHost is a connected host.
type remoteHost struct {
	key    string
	domain string
	// deliver hands an answer over without blocking; false means that the host does not
	// keep up.
	deliver func(wireAnswer) bool
	// heartbeat tells the host that the coordinator runs.
	heartbeat func()
	close     func()
}

func newServer(m *metrics, cfg Config) *server {
	return &server{
		coordinator: newCoordinator(cfg.AdaptivePace), hosts: map[string]*remoteHost{}, byConn: map[*jsonrpc2.Conn]*remoteHost{},
		metrics: m, log: cfg.Log, asksWait: make(chan struct{}, 1), adaptivePace: cfg.AdaptivePace,
	}
}

func newCoordinator(adaptivePace bool) *slots.Coordinator {
	return slots.NewCoordinator(placement.Config{
		MaxRequestsPerSlot: 1, WaitWhenLate: true, MaxQueueLength: maxQueueLength, CrossDomainCost: crossDomainCost,
		AdaptivePace: adaptivePace, ColdRateShare: coldRateShare,
	})
}

const (
	// crossDomainCost is the cost of a request to another domain, expressed as time. The exact
	// counts of all targets always show one that is a little faster somewhere, while links
	// between domains are narrow.
	crossDomainCost = 40 * time.Millisecond
	// maxQueueLength bounds the asks that wait at a coordinator. Beyond it asks are refused.
	maxQueueLength = 4096
	// maxHosts bounds the connections of hosts: twice the 1,500 of the largest fleet, since a
	// host that reconnects counts twice for a while.
	maxHosts = 3000
	// A queue is logged when it is longer than longQueueFrom, a quarter of a second of the
	// load of the largest deployments, and again when it is shorter than longQueueUntil.
	longQueueFrom  = 500
	longQueueUntil = 250
)

// do runs a function with the mutex held. After a panic the state of the coordinator is
// unknown: it starts anew, and all hosts connect again.
func (s *server) do(f func(now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := guard.Call("slot coordinator", func() { f(boottime.Now()) })
	if err == nil {
		return
	}
	s.log.Error("panic", "duty", "slot coordinator", "err", err)
	s.coordinator = newCoordinator(s.adaptivePace)
	s.coordinator.SetTargets(s.targets)
	for _, h := range s.hosts {
		h.close()
	}
}

// coldRateShare is the part of a target's cold rate that its coordinator grants. Hosts that
// it does not reach send in addition (placement.Request.SharedPool); together they stay
// below the 1.5 times that a cold target bears.
const coldRateShare = 0.8

// setSnapshot applies the targets of a snapshot.
func (s *server) setSnapshot(snap *fleet.Snapshot) {
	list := make([]placement.Target, 0, len(snap.Targets))
	for _, t := range snap.Targets {
		x := placement.Target{
			ID: t.ID, Incarnation: t.Ident(), Domain: t.Domain, Slots: t.Slots, Usable: snap.Usable(t), ColdUntil: t.ColdUntil,
			RequestLimit: snap.RequestLimit(t),
		}
		keyed := false
		if snap.DesiredState != nil {
			if w := snap.DesiredState.Workloads[t.Workload]; w != nil {
				x.ColdRate, keyed = w.ColdRate, w.Keyed
			}
		}
		x.Workload = slots.PoolOf(t.Workload, t.ID, keyed)
		list = append(list, x)
	}
	routes := map[string]bool{}
	if snap.DesiredState != nil {
		for i := range snap.DesiredState.Routes {
			routes[snap.DesiredState.Routes[i].Name] = true
		}
	}
	s.setTargets(list, routes)
	s.do(func(time.Duration) { s.paces.Keep(func(id string) bool { return snap.Targets[id] != nil }) })
}

// clearTargets leaves the coordinator without targets, so that it refuses all asks.
func (s *server) clearTargets() { s.setTargets(nil, nil) }

func (s *server) setTargets(list []placement.Target, routes map[string]bool) {
	s.do(func(time.Duration) {
		s.targets, s.routes = list, routes
		s.coordinator.SetTargets(list)
	})
}

// addHost registers a host. It reports whether there was room.
func (s *server) addHost(h *remoteHost) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.hosts) >= maxHosts {
		return false
	}
	s.nextHost++
	h.key = strconv.FormatUint(s.nextHost, 36)
	s.hosts[h.key] = h
	return true
}

// dropHost handles the end of a host's connection.
func (s *server) dropHost(h *remoteHost) {
	s.do(func(now time.Duration) {
		delete(s.hosts, h.key)
		s.coordinator.DropHost(now, h.key)
	})
}

// handle applies a message of a host. One of a host that was dropped has no effect: nothing
// would end its leases.
func (s *server) handle(h *remoteHost, m askMessage) {
	s.metrics.asked.Add(int64(len(m.Asks)))
	s.do(func(now time.Duration) {
		if s.hosts[h.key] != h {
			return
		}
		if m.Domain != "" && len(m.Domain) <= maxNameBytes {
			h.domain = m.Domain
		}
		for _, id := range m.Unsent {
			s.deliver(s.coordinator.Withdraw(now, h.key, id))
		}
		for i := range m.Ends {
			target, route := s.coordinator.LeaseOf(h.key, m.Ends[i].ID)
			s.deliver(s.coordinator.End(now, h.key, m.Ends[i].ID, m.Ends[i].outcome()))
			s.logPace(now, target, route)
		}
		for i := range m.Asks {
			s.ask(now, h, &m.Asks[i])
		}
		if s.idle && s.coordinator.Stats().Waiting > 0 {
			s.idle = false
			select {
			case s.asksWait <- struct{}{}:
			default:
			}
		}
	})
}

// ask places the request of a host. One that cannot be read is refused for lack of a target, so
// that the host places it by itself; s.mu is held.
func (s *server) ask(now time.Duration, h *remoteHost, w *wireAsk) {
	if !w.valid() {
		d := placement.Decision{Action: placement.Refuse, Reason: placement.ReasonNoTarget}
		s.deliver([]slots.Answer{{Host: h.key, ID: w.ID, Decision: d}})
		return
	}
	a := w.ask(now, h.key, h.domain, rand.Float64())
	if !s.routes[a.Request.Route] {
		a.Request.Route = ""
	}
	s.deliver(s.coordinator.Ask(now, a))
}

// logPace logs and counts a change of a target's pace by half or more; s.mu is held.
func (s *server) logPace(now time.Duration, target, route string) {
	state, ok := s.coordinator.Pace(now, target, route)
	if !ok || !s.paces.Due(now, target, state) {
		return
	}
	s.metrics.paceChanges.Add(string(state.Reason), 1)
	s.log.Info("pace", "target", target, "limit", math.Round(state.Limit*10)/10, "rate_per_s", math.Round(state.Rate*10)/10, "reason", string(state.Reason))
}

// deliver hands answers to their hosts; s.mu is held.
func (s *server) deliver(answers []slots.Answer) {
	for _, a := range answers {
		if h := s.hosts[a.Host]; h != nil && !h.deliver(newWireAnswer(a)) {
			h.close()
		}
	}
}

// serve grants slots as leases and queues change, until the context ends.
func (s *server) serve(ctx context.Context) error {
	tick := time.NewTimer(tickInterval)
	defer tick.Stop()
	nextHeartbeat := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.asksWait:
		case <-tick.C:
		}
		interval := idleInterval
		s.do(func(now time.Duration) {
			s.deliver(s.coordinator.Tick(now))
			if now >= nextHeartbeat {
				nextHeartbeat = now + heartbeatInterval
				s.sendHeartbeats()
			}
			stats := s.coordinator.Stats()
			s.metrics.setStats(stats, s.coordinator.PaceStats())
			s.noteQueue(stats.Waiting)
			if s.idle = stats.Waiting == 0; !s.idle {
				interval = tickInterval
			}
		})
		tick.Reset(interval)
	}
}

// sendHeartbeats tells the hosts whose asks wait that the coordinator runs; s.mu is held.
func (s *server) sendHeartbeats() {
	for key, h := range s.hosts {
		if s.coordinator.HasWaiting(key) {
			h.heartbeat()
		}
	}
}

// noteQueue logs that the queue became long, or is no longer; s.mu is held.
func (s *server) noteQueue(waiting int) {
	long := waiting > longQueueFrom || s.longQueue && waiting >= longQueueUntil
	if long != s.longQueue {
		s.longQueue = long
		s.log.Info("slot_queue", "long", long, "waiting", waiting)
	}
}

// queues describes the waiting asks.
func (s *server) queues() (q slots.Queues) {
	s.do(func(now time.Duration) { q = s.coordinator.Queues(now, maxQueueMetrics) })
	return q
}

// refusals returns the refusals by reason.
func (s *server) refusals() (r map[placement.Reason]uint64) {
	s.do(func(time.Duration) { r = s.coordinator.Refusals() })
	return r
}

// errTooMany rejects a message with more entries than a batch has.
var errTooMany = &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "too many entries in one message"}

// HandleAsk handles a message of a host that came on a connection. The host is registered
// with its first message; when the connection ends it is dropped.
func (p *Peer) HandleAsk(nc net.Conn, conn *jsonrpc2.Conn, params *json.RawMessage) error {
	if params == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no params"}
	}
	var m askMessage
	if err := json.Unmarshal(*params, &m); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if len(m.Asks) > maxBatch || len(m.Ends) > maxBatch || len(m.Unsent) > maxBatch {
		return errTooMany
	}
	if h := p.hostOf(nc, conn); h != nil {
		p.server.handle(h, m)
	}
	return nil
}

// hostOf returns the host of a connection, which it registers if it is new. Without room it
// closes the connection and returns nil, so that the host places its requests by itself.
func (p *Peer) hostOf(nc net.Conn, conn *jsonrpc2.Conn) *remoteHost {
	s := p.server
	s.mu.Lock()
	h := s.byConn[conn]
	s.mu.Unlock()
	if h != nil {
		return h
	}
	outbox, beat := make(chan wireAnswer, outboxSize), make(chan struct{}, 1)
	h = &remoteHost{
		deliver: func(a wireAnswer) bool {
			select {
			case outbox <- a:
				return true
			default:
				return false
			}
		},
		heartbeat: func() {
			select {
			case beat <- struct{}{}:
			default:
			}
		},
		close: func() { _ = nc.Close() }, // the host sees the connection end
	}
	if !s.addHost(h) {
		h.close()
		return nil
	}
	s.mu.Lock()
	s.byConn[conn] = h
	s.mu.Unlock()
	go func() {
		writeAnswers(nc, conn, outbox, beat)
		_ = conn.Close() // the connection is no longer used
		s.mu.Lock()
		delete(s.byConn, conn)
		s.mu.Unlock()
		s.dropHost(h)
	}()
	return h
}

// writeAnswers sends answers and heartbeats until the connection ends.
func writeAnswers(nc net.Conn, conn *jsonrpc2.Conn, outbox <-chan wireAnswer, beat <-chan struct{}) {
	for {
		var m answerMessage
		select {
		case <-conn.DisconnectNotify():
			return
		case <-beat:
			m.Answers = drain(m.Answers, outbox)
		case a := <-outbox:
			m.Answers = drain(append(m.Answers, a), outbox)
		}
		if err := nc.SetWriteDeadline(time.Now().Add(silenceTimeout)); err != nil {
			return
		}
		if err := conn.Notify(context.Background(), MethodAnswer, m); err != nil {
			return
		}
	}
}

// drain appends what is queued, up to maxBatch entries.
func drain[T any](list []T, queue <-chan T) []T {
	for len(list) < maxBatch {
		select {
		case x := <-queue:
			list = append(list, x)
		default:
			return list
		}
	}
	return list
}
