package coordinator

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/delta"
	"github.com/boragelock/boragelock/internal/guard"
	"github.com/boragelock/boragelock/internal/listener"
	"github.com/boragelock/boragelock/internal/peer"
	"github.com/boragelock/boragelock/lease"
)

// RPC methods between hosts. All but hello, clock, permits, allot and run are notifications.
const (
	methodHello     = "hello"
	methodRelay     = "relay"
	methodPositions = "fresh"
	methodRanges    = "ranges"
	methodCounts    = "counts"
	// methodClock asks the leader for its boot-time clock.
	methodClock = "clock"
	// methodRequestRanges asks the leader for all key ranges of a workload.
	methodRequestRanges = "want"
	// methodPacked wraps a message of another method with long parameters.
	methodPacked = "packed"
	// methodLeaving is sent in both directions.
	methodLeaving = "leaving"
	// methodLimits reports request limits that targets state; it is sent in both
	// directions.
	methodLimits = "limits"
	// methodPermits asks the leader for permits for requests to limited targets.
	methodPermits = "permits"
	// methodAllot asks the leader for tokens of customers' allotments.
	methodAllot = "allot"
	// methodSuspects sends the leader's list of suspected requests, methodObservations
	// what a host observed of such requests to the leader.
	methodSuspects     = "suspects"
	methodObservations = "observations"
	// methodRun asks the leader whether a copy of a suspected request may be sent.
	methodRun = "run"
	// methodTables sends the leader tables of owners that the store has lost.
	methodTables = "tables"
	// methodHosts tells which hosts are live.
	methodHosts = "hosts"
	// methodContended tells which keyed targets are contended.
	methodContended = "contended"
	// methodOffer asks a host to succeed the leader.
	methodOffer = "offer"
)

// protocolVersion is the version of the messages between hosts. A leader does not serve
// hosts with an earlier version, which read the store themselves.
const protocolVersion = 3

// helloMessage asks a host whether it leads the given term.
type helloMessage struct {
	Host string `json:"host"`
	Term uint64 `json:"term"`
	// Protocol is the version of the messages that the host understands.
	Protocol int `json:"protocol"`
	// Positions has the position of the host in each topic where it is known.
	Positions map[string]topicPosition `json:"positions,omitempty"`
	// Leader is the latest leader that the host knows.
	Leader leaderRecord `json:"leader"`
	// Lost is how far the host had read the control topic before the last restore, and
	// LostHosts the number of hosts that it remembers.
	Lost      topicPosition `json:"lost"`
	LostHosts int           `json:"lost_hosts,omitempty"`
	// Address is where the host listens for other hosts.
	Address string `json:"address,omitempty"`
	// Room is the part that the host has of the resources that suffice to lead.
	Room float64 `json:"room,omitempty"`
	// Domain is the failure domain of the host, Cores its processor share, or 0 if it does
	// not share slots.
	Domain string  `json:"domain,omitempty"`
	Cores  float64 `json:"cores,omitempty"`
	processState
}

// helloReply reports whether the host leads, and which process responds.
type helloReply struct {
	Leading bool `json:"leads"`
	// Leader is the latest leader that the responding host knows.
	Leader leaderRecord `json:"leader"`
	// Lost is the position of the leader's tables before the last restore.
	Lost topicPosition `json:"lost"`
	clockReading
	processState
}

// clockReading is the boot-time clock of the sender, in microseconds.
type clockReading struct {
	ClockUS int64 `json:"clock_us"`
}

// readClock returns the current time of this host's clock.
func readClock() clockReading { return clockAt(boottime.Now()) }

// clockAt returns the reading of this host's clock at a time.
func clockAt(at time.Duration) clockReading { return clockReading{ClockUS: at.Microseconds()} }

// time returns the reading as a duration since the boot of its host.
func (r clockReading) time() time.Duration { return time.Duration(r.ClockUS) * time.Microsecond }

// processState is what a process reports about itself and the last term that it led.
type processState struct {
	// Fleet is the fleet of the process; earlier releases do not state it.
	Fleet       string `json:"fleet,omitempty"`
	Incarnation string `json:"incarnation"`
	// UptimeMS is the time in milliseconds since the start of the process.
	UptimeMS int64 `json:"up_ms"`
	// EndedTerm is the last term that the process has stopped leading, EndedAgoMS the
	// time in milliseconds since then.
	EndedTerm  uint64 `json:"ended,omitempty"`
	EndedAgoMS int64  `json:"ended_ms,omitempty"`
}

// belongsTo reports whether the process may belong to a fleet.
func (p processState) belongsTo(fleet string) bool {
	return p.Fleet == "" || fleet == "" || p.Fleet == fleet
}

// leaderEnded returns the least time since the leader of a term stopped, as reported by
// the process at its address, or false when the leader may still lead.
func (p processState) leaderEnded(l leaderRecord) (ago time.Duration, ok bool) {
	switch {
	case p.Incarnation != l.Incarnation:
		return time.Duration(p.UptimeMS) * time.Millisecond, true
	case p.EndedTerm >= l.Term && l.Term > 0:
		return time.Duration(p.EndedAgoMS) * time.Millisecond, true
	}
	return 0, false
}

// processState returns what this process reports about itself.
func (c *Coordinator) processState() processState {
	now := boottime.Now()
	p := processState{Fleet: c.cfg.Fleet, Incarnation: c.incarnation, UptimeMS: (now - c.startedAt).Milliseconds()}
	if e := c.endedTerm.Load(); e != nil {
		p.EndedTerm, p.EndedAgoMS = e.term, (now - e.at).Milliseconds()
	}
	return p
}

// relayMessage relays the records of a topic between two offsets.
type relayMessage struct {
	// clockReading is the leader's clock when the message was made.
	clockReading
	Topic string `json:"topic"`
	// Era is the era of the store in which From, Next and the records have their offsets.
	Era  uint64 `json:"era,omitempty"`
	From int64  `json:"from"`
	Next int64  `json:"next"`
	// AgeMS is the time in milliseconds from when the topic was last known to end at Next
	// until the message was made.
	AgeMS int64 `json:"age_ms"`
	// Full means that the records are those of all keys; From has no meaning then.
	Full    bool            `json:"full,omitempty"`
	Records []relayedRecord `json:"records"`
}

// positionsMessage reports up to which offset, and how long ago, the leader had read
// each topic to its end.
type positionsMessage struct {
	// clockReading is the leader's clock when the message was made.
	clockReading
	Topics map[string]topicPosition `json:"topics"`
	// Hosts is the number of hosts that follow the leader, itself included.
	Hosts int `json:"hosts"`
}

// topicPosition is the offset of the next record of a topic in an era of the store.
// Offsets of different eras cannot be compared.
type topicPosition struct {
	Era  uint64 `json:"era,omitempty"`
	Next int64  `json:"next"`
	// AgeMS is the time in milliseconds since the topic was known to end there.
	AgeMS int64 `json:"age_ms,omitempty"`
}

// rangesMessage reports the owners of key ranges. Its ranges replace the parts of earlier
// ranges that they overlap, or all earlier ones if Full is set.
type rangesMessage struct {
	// clockReading is the leader's clock as of which the ranges are stated; their times
	// count from it.
	clockReading
	Workload string            `json:"workload"`
	Full     bool              `json:"full,omitempty"`
	Ranges   []lease.RangeView `json:"runs,omitempty"`
	// Digest is the digest of all ranges after the changes, or 0 when it is not sent.
	// A host whose ranges have another digest requests all of them.
	Digest uint64 `json:"digest,omitempty"`
}

// rangesRequest requests all key ranges of a workload.
type rangesRequest struct {
	Workload string `json:"workload"`
}

// countsMessage reports the keyed requests of one host since its last report.
type countsMessage struct {
	Workload string        `json:"workload"`
	Keys     []KeyCount    `json:"keys"`
	Targets  []TargetStats `json:"targets,omitempty"`
}

// Timing and limits of the connections between hosts.
const (
	peerDialTimeout = 400 * time.Millisecond
	// positionsEvery is the interval of the leader's position messages; the leader
	// counts as silent after silentAfter without a message.
	positionsEvery = 250 * time.Millisecond
	silentAfter    = 900 * time.Millisecond
	// countsEvery is the interval of key counts: the leader must see a hot key range
	// within half a second.
	countsEvery = 250 * time.Millisecond
	// outboxSize bounds the messages queued for one peer; a peer that does not read
	// them is disconnected and reads the store itself.
	outboxSize = 256
)

// discardLog keeps the library from logging the end of each connection; this package
// logs those that matter.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// peerConn is the leader's side of a connection.
type peerConn struct {
	// nc is closed to drop the connection.
	nc     net.Conn
	outbox chan peerMessage
	// host and room are the name and resources of the host, as its hello states them; the
	// mutex of peerSet guards them.
	host string
	room float64
	// address, domain and cores are the host's peer address, failure domain and processor
	// share, guarded likewise.
	address, domain string
	cores           float64
}

// peerMessage is an encoded message. innerMethod is its method before it was packed.
type peerMessage struct {
	innerMethod, method string
	params              json.RawMessage
	// encoded is the whole message as it is sent, which each peer would encode again.
	encoded []byte
}

// newPeerMessage returns a message with encoded parameters.
func newPeerMessage(innerMethod, method string, params json.RawMessage) peerMessage {
	encoded := marshal(method, &jsonrpc2.Request{Method: method, Params: &params, Notif: true})
	return peerMessage{innerMethod: innerMethod, method: method, params: params, encoded: append(encoded, '\n')}
}

// peerSet is the set of connections of hosts that follow this one.
type peerSet struct {
	mu    sync.Mutex
	conns map[*peerConn]bool
	// sentBytes counts the bytes of the parameters of the messages that were sent.
	sentBytes atomic.Int64
}

func (p *peerSet) init() { p.conns = map[*peerConn]bool{} }

// send queues a message for all peers and returns its bytes for all of them. It is encoded
// once.
func (p *peerSet) send(method string, params any) (sentBytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) == 0 {
		return 0
	}
	m := encode(method, params)
	for pc := range p.conns {
		pc.enqueue(m)
	}
	return len(p.conns) * len(m.params)
}

// minPackedBytes is the least size in bytes of parameters that are packed.
const minPackedBytes = 4 << 10

// packedMessage wraps a message with long parameters.
type packedMessage struct {
	Method string `json:"method"`
	// Params holds the parameters as a zstd frame.
	Params []byte `json:"params"`
}

// encode encodes a message, and packs it when its parameters are long.
func encode(method string, params any) peerMessage {
	raw := marshal(method, params)
	if len(raw) < minPackedBytes {
		return newPeerMessage(method, method, raw)
	}
	packed, err := delta.Make(nil, raw)
	if err != nil {
		return newPeerMessage(method, method, raw) // packing only saves bytes
	}
	return newPeerMessage(method, methodPacked, marshal(method, packedMessage{Method: method, Params: packed}))
}

// marshal encodes parameters.
func marshal(method string, params any) json.RawMessage {
	b, err := json.Marshal(params)
	if err != nil {
		panic("message " + method + ": " + err.Error()) // structs of plain values
	}
	return b
}

// enqueue queues a message. It disconnects a peer whose queue is full.
func (pc *peerConn) enqueue(m peerMessage) {
	select {
	case pc.outbox <- m:
	default:
		_ = pc.nc.Close() // the peer does not read; it will see the connection end
	}
}

func (p *peerSet) add(pc *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[pc] = true
}

// describe notes what the host of a connection states of itself.
func (p *peerSet) describe(pc *peerConn, m helloMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pc.host, pc.room = m.Host, m.Room
	pc.address, pc.domain, pc.cores = m.Address, m.Domain, m.Cores
}

func (p *peerSet) remove(pc *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, pc)
}

// closeAll closes all connections, so that the other hosts look for the new leader.
func (p *peerSet) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pc := range p.conns {
		_ = pc.nc.Close() // the connection is no longer used
	}
}

func (p *peerSet) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// longestQueue returns the most messages that are queued for one peer.
func (p *peerSet) longestQueue() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := 0
	for pc := range p.conns {
		longest = max(longest, len(pc.outbox))
	}
	return longest
}

// servePeers accepts connections from other hosts.
func (c *Coordinator) servePeers(ctx context.Context) error {
	l, err := listener.Listen(c.cfg.Peer)
	if err != nil {
		return err
	}
	l.OnAcceptError(func(err error, pause time.Duration) {
		c.cfg.Log.Warn("accept_failed", "address", c.cfg.Peer, "err", err, "pause_ms", pause.Milliseconds())
	})
	defer func() { _ = l.Close() }() // the task ends
	go func() {
		<-ctx.Done()
		_ = l.Close() // ends Accept
	}()
	for {
		nc, err := l.Accept()
		if err != nil {
			return err
		}
		go c.servePeer(ctx, nc)
	}
}

// servePeer serves one host that connected.
func (c *Coordinator) servePeer(ctx context.Context, nc net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pc := &peerConn{nc: nc, outbox: make(chan peerMessage, outboxSize)}
	handler := jsonrpc2.HandlerWithError(func(_ context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		switch r.Method {
		case methodSlotsAsk:
			if c.cfg.Slots == nil {
				break
			}
			return nil, c.cfg.Slots.HandleAsk(nc, conn, r.Params)
		case methodHello:
			return c.handleHello(pc, r)
		case methodCounts:
			var m countsMessage
			if err := unmarshalParams(r, &m); err != nil {
				return nil, err
			}
			c.leadership.addCounts(m)
			return nil, nil
		case methodLeaving:
			return nil, c.handleLeaving(r)
		case methodTables:
			return nil, c.handleLostTables(r)
		case methodLimits:
			return nil, c.handleLimits(r)
		case methodRun:
			return c.handleRun(r)
		case methodObservations:
			return nil, c.handleObservations(r)
		case methodPermits:
			return c.handlePermits(r)
		case methodAllot:
			return c.handleAllot(r)
		case methodRequestRanges:
			return nil, c.sendAllRanges(pc, r)
		case methodClock:
			return readClock(), nil
		}
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	})
	stream := peer.NewStream(nc)
	conn := jsonrpc2.NewConn(ctx, stream, c.recoverPanics(handler), discardLog)
	defer func() { c.peers.remove(pc); c.roster.leave(boottime.Now(), pc) }()
	for {
		select {
		case <-conn.DisconnectNotify():
			return
		case <-ctx.Done():
			_ = conn.Close() // the host stops
			return
		case m := <-pc.outbox:
			if err := writeMessage(nc, stream, m); err != nil {
				_ = conn.Close() // the peer is gone
				return
			}
			c.peers.sentBytes.Add(int64(len(m.params)))
			c.metrics.peerBytes.Add(m.innerMethod, int64(len(m.params)))
		}
	}
}

// writeMessage sends an encoded message within the time after which a connection counts as
// silent.
func writeMessage(nc net.Conn, stream *peer.Stream, m peerMessage) error {
	if err := nc.SetWriteDeadline(time.Now().Add(silentAfter)); err != nil {
		return err
	}
	return stream.WriteEncoded(m.encoded)
}

func unmarshalParams(r *jsonrpc2.Request, v any) error {
	if r.Params == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no params"}
	}
	if err := json.Unmarshal(*r.Params, v); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}

// sendAllRanges sends all key ranges of a workload to a peer that requested them.
func (c *Coordinator) sendAllRanges(pc *peerConn, r *jsonrpc2.Request) error {
	var m rangesRequest
	if err := unmarshalParams(r, &m); err != nil {
		return err
	}
	if x := c.RangeMap(m.Workload); x != nil {
		pc.enqueue(x.message(m.Workload))
	}
	return nil
}

// handleLeaving handles another host's message about targets that are stopping.
func (c *Coordinator) handleLeaving(r *jsonrpc2.Request) error {
	var m leavingMessage
	if err := unmarshalParams(r, &m); err != nil {
		return err
	}
	c.markTargetsLeaving(m.Targets, false)
	return nil
}

// recoverPanics keeps a panic in the handling of a message from ending the process.
func (c *Coordinator) recoverPanics(h jsonrpc2.Handler) jsonrpc2.Handler {
	return recoveringHandler{h, c.cfg.Log}
}

type recoveringHandler struct {
	jsonrpc2.Handler
	log hclog.Logger
}

// Handle implements jsonrpc2.Handler. After a panic it closes the connection, since it
// is unknown what the message has changed; a new connection starts with the full state.
func (h recoveringHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if err := guard.Call("peer message", func() { h.Handler.Handle(ctx, conn, r) }); err != nil {
		h.log.Error("panic", "duty", "peer message", "method", r.Method, "err", err)
		_ = conn.Close() // the connection is no longer used
	}
}

// handleHello registers a follower when this host leads.
func (c *Coordinator) handleHello(pc *peerConn, r *jsonrpc2.Request) (any, error) {
	var m helloMessage
	if err := unmarshalParams(r, &m); err != nil {
		return nil, err
	}
	if !m.belongsTo(c.cfg.Fleet) {
		c.cfg.Log.Warn("other_fleet", "host", m.Host, "fleet", m.Fleet)
		return helloReply{clockReading: readClock(), processState: c.processState()}, nil
	}
	c.adoptLeader(m.Leader)
	if !c.Leading() || m.Protocol < protocolVersion {
		return helloReply{Leader: c.leadership.current(), clockReading: readClock(), processState: c.processState()}, nil
	}
	c.leadership.noteHello(m)
	c.witnesses.addHost(m.Host, m.Lost, m.LostHosts)
	c.peers.describe(pc, m)
	c.notePeer(pc, m)
	// The peer receives messages to all peers from here on, so that it misses nothing between
	// them and the state that is queued below.
	c.peers.add(pc)
	for _, f := range c.followers() {
		from, ok := m.Positions[f.topic]
		if !ok {
			from = topicPosition{Next: unknownOffset}
		}
		f.sendMissed(pc, from)
	}
	for w, r := range *c.rangeMaps.Load() {
		pc.enqueue(r.message(w))
	}
	pc.enqueue(encode(methodPositions, c.topicPositions()))
	c.sendSlotState(pc)
	if incarnations := c.leavingTargets(false); len(incarnations) > 0 {
		pc.enqueue(encode(methodLeaving, leavingMessage{Targets: incarnations}))
	}
	if stated := c.limits.all(); len(stated) > 0 {
		pc.enqueue(encode(methodLimits, newLimitsMessage(stated)))
	}
	if m, ok := c.suspectsState(); ok {
		pc.enqueue(encode(methodSuspects, m))
	}
	return helloReply{Leading: true, Leader: c.leadership.current(), Lost: c.witnesses.position(), clockReading: readClock(), processState: c.processState()}, nil
}

// topicPositions returns a message with the leader's position in each topic.
func (c *Coordinator) topicPositions() positionsMessage {
	now := boottime.Now()
	m := positionsMessage{clockReading: readClock(), Topics: map[string]topicPosition{}, Hosts: c.peers.size() + 1}
	c.setHostCount(now, m.Hosts)
	for _, f := range c.followers() {
		m.Topics[f.topic] = f.report(now)
	}
	return m
}
