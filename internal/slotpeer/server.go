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
	"github.com/boragelock/boragelock/pace"
	"github.com/boragelock/boragelock/placement"
	"github.com/boragelock/boragelock/slots"
)

// Timing of the connections.
const (
	tickInterval      = 20 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	// outboxSize bounds the answers that wait for one host. A host that does not read
	// them is disconnected.
	outboxSize = 1024
	// maxBatch bounds the entries of one message.
	maxBatch = 128
)

// server is the coordinator's side.
type server struct {
	mu          sync.Mutex
	coordinator *slots.Coordinator
	hosts       map[string]*remoteHost
	byConn      map[*jsonrpc2.Conn]*remoteHost
	nextHost    uint64
	metrics     *metrics
	paces       pace.Reporter
	// log is nil in tests.
	log hclog.Logger
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

func newServer(m *metrics) *server {
	return &server{
		coordinator: slots.NewCoordinator(placement.Config{
			MaxRequestsPerSlot: 1, WaitWhenLate: true, MaxQueueLength: maxQueueLength, AdaptivePace: true, ColdRateShare: coldRateShare,
		}),
		hosts: map[string]*remoteHost{}, byConn: map[*jsonrpc2.Conn]*remoteHost{}, metrics: m,
	}
}

// maxQueueLength bounds the asks that wait at a coordinator. Beyond it asks are refused.
const maxQueueLength = 4096

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
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coordinator.SetTargets(list)
	s.paces.Keep(func(id string) bool { return snap.Targets[id] != nil })
}

// addHost registers a host.
func (s *server) addHost(h *remoteHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextHost++
	h.key = strconv.FormatUint(s.nextHost, 36)
	s.hosts[h.key] = h
}

// dropHost handles the end of a host's connection.
func (s *server) dropHost(h *remoteHost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hosts, h.key)
	s.coordinator.DropHost(boottime.Now(), h.key)
}

// handle applies a message of a host.
func (s *server) handle(h *remoteHost, m askMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	for _, id := range m.Unsent {
		s.deliver(s.coordinator.Withdraw(now, h.key, id))
	}
	for _, e := range m.Ends {
		target, route := s.coordinator.LeaseOf(h.key, e.ID)
		s.deliver(s.coordinator.End(now, h.key, e.ID, e.outcome()))
		s.logPace(now, target, route)
	}
	for _, a := range m.Asks {
		s.deliver(s.coordinator.Ask(now, a.ask(now, h.key, h.domain, rand.Float64())))
	}
	s.metrics.asked.Add(int64(len(m.Asks)))
}

// logPace logs and counts a change of a target's pace by half or more; s.mu is held.
func (s *server) logPace(now time.Duration, target, route string) {
	state, ok := s.coordinator.Pace(now, target, route)
	if !ok || !s.paces.Due(now, target, state) {
		return
	}
	s.metrics.paceChanges.Add(string(state.Reason), 1)
	if s.log != nil {
		s.log.Info("pace", "target", target, "limit", math.Round(state.Limit*10)/10, "rate_per_s", math.Round(state.Rate*10)/10, "reason", string(state.Reason))
	}
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
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	nextHeartbeat := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		now := boottime.Now()
		s.mu.Lock()
		s.deliver(s.coordinator.Tick(now))
		if now >= nextHeartbeat {
			nextHeartbeat = now + heartbeatInterval
			for key, h := range s.hosts {
				if s.coordinator.HasWaiting(key) {
					h.heartbeat()
				}
			}
		}
		s.metrics.setStats(s.coordinator.Stats(), s.coordinator.PaceStats())
		s.mu.Unlock()
	}
}

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
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "too many entries in one message"}
	}
	h := p.hostOf(nc, conn)
	if m.Domain != "" {
		h.domain = m.Domain
	}
	p.server.handle(h, m)
	return nil
}

// hostOf returns the host of a connection, which it registers if it is new.
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
	s.addHost(h)
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
