package coordinator

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/delta"
	"github.com/boragelock/boragelock/internal/guard"
	"github.com/boragelock/boragelock/internal/peer"
	"github.com/boragelock/boragelock/lease"
)

// Methods between hosts. All but hello and clock are notifications.
const (
	methodHello  = "hello"
	methodRelay  = "relay"
	methodFresh  = "fresh"
	methodRanges = "ranges"
	methodCounts = "counts"
	// methodClock asks the leader what its clock shows.
	methodClock = "clock"
	// methodWant asks the leader for all runs of a workload.
	methodWant = "want"
	// methodPacked holds one of the others that is long.
	methodPacked = "packed"
	// methodLeaving goes both ways.
	methodLeaving = "leaving"
)

// protocol is the version of the messages between hosts. A leader does not serve hosts
// of earlier ones, which read the store by themselves.
const protocol = 2

// helloMessage asks a host whether it leads the given term.
type helloMessage struct {
	Host string `json:"host"`
	Term uint64 `json:"term"`
	// Protocol is the version of the messages that the host understands.
	Protocol int `json:"protocol"`
	// Next is the offset of the next record of each topic; a topic of which nothing is
	// known is left out.
	Next map[string]int64 `json:"next,omitempty"`
	// Leader is the latest leader that the host knows.
	Leader leaderRecord `json:"leader"`
	processState
}

// helloReply says whether the host leads, and which process answered.
type helloReply struct {
	Leads bool `json:"leads"`
	// Leader is the latest leader that the host that answers knows.
	Leader leaderRecord `json:"leader"`
	clockReply
	processState
}

// clockReply tells what the boot-time clock of the host that answers shows, in
// microseconds.
type clockReply struct {
	ClockUS int64 `json:"clock_us"`
}

// readClock returns what this host's clock shows.
func readClock() clockReply { return clockAt(boottime.Now()) }

// clockAt returns what this host's clock showed at a time.
func clockAt(at time.Duration) clockReply { return clockReply{ClockUS: at.Microseconds()} }

// time returns what the clock showed.
func (r clockReply) time() time.Duration { return time.Duration(r.ClockUS) * time.Microsecond }

// processState is what a process says of itself and of terms that it led.
type processState struct {
	Incarnation string `json:"incarnation"`
	// UpMS is the time in milliseconds since the start of the process.
	UpMS int64 `json:"up_ms"`
	// Ended is the last term that the process led and no longer does, EndedMS the
	// time in milliseconds since its end.
	Ended   uint64 `json:"ended,omitempty"`
	EndedMS int64  `json:"ended_ms,omitempty"`
}

// ended returns how long ago the leader of a term had stopped at the latest, as
// the process at its address says; false when it may still lead.
func (p processState) ended(l leaderRecord) (ago time.Duration, ok bool) {
	switch {
	case p.Incarnation != l.Incarnation:
		return time.Duration(p.UpMS) * time.Millisecond, true
	case p.Ended >= l.Term && l.Term > 0:
		return time.Duration(p.EndedMS) * time.Millisecond, true
	}
	return 0, false
}

// state returns what this process says of itself.
func (c *Coordinator) state() processState {
	now := boottime.Now()
	p := processState{Incarnation: c.incarnation, UpMS: (now - c.started).Milliseconds()}
	if e := c.endedTerm.Load(); e != nil {
		p.Ended, p.EndedMS = e.term, (now - e.at).Milliseconds()
	}
	return p
}

// relayMessage passes on records of a topic between two offsets.
type relayMessage struct {
	// clockReply is the leader's clock when the message was made.
	clockReply
	Topic string `json:"topic"`
	From  int64  `json:"from"`
	Next  int64  `json:"next"`
	// AgeMS is how long before the message was made the topic ended at Next, in
	// milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Full says that the records are those of all keys; From has no meaning then.
	Full    bool            `json:"full,omitempty"`
	Records []relayedRecord `json:"records"`
}

// freshMessage says up to which offset, and how long ago, the leader had read
// each topic.
type freshMessage struct {
	// clockReply is the leader's clock when the message was made.
	clockReply
	Topics map[string]topicAge `json:"topics"`
	// Hosts is the number of hosts that follow the leader, itself included.
	Hosts int `json:"hosts"`
}

type topicAge struct {
	Next  int64 `json:"next"`
	AgeMS int64 `json:"age_ms"`
}

// rangesMessage says who holds keys. Changes replace what they cover unless
// Full is set.
type rangesMessage struct {
	// clockReply is the leader's clock when the runs were so; their times count from it.
	clockReply
	Workload string            `json:"workload"`
	Full     bool              `json:"full,omitempty"`
	Runs     []lease.RangeView `json:"runs,omitempty"`
	// Digest is that of all runs after the changes, 0 when the message does not say.
	// A host whose runs have another one asks for all.
	Digest uint64 `json:"digest,omitempty"`
}

// wantMessage asks for all runs of a workload.
type wantMessage struct {
	Workload string `json:"workload"`
}

// countsMessage reports the keyed requests of one host since its last report.
type countsMessage struct {
	Workload string        `json:"workload"`
	Keys     []KeyCount    `json:"keys"`
	Targets  []TargetStats `json:"targets,omitempty"`
}

// Times of the connections between hosts.
const (
	peerDialTimeout = 400 * time.Millisecond
	// freshEvery is the period of the leader's freshness messages; the leader
	// counts as silent after silentAfter.
	freshEvery  = 250 * time.Millisecond
	silentAfter = 900 * time.Millisecond
	// countsEvery is the period of key counts: a hot run of keys is to be seen
	// within half a second.
	countsEvery = 250 * time.Millisecond
	// outboxSize bounds the messages that wait for one peer; a peer that does
	// not read loses its connection and reads the store by itself.
	outboxSize = 256
)

// quiet keeps the library from logging each end of a connection; this package
// logs those that matter.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// peerConn is the leader's side of a connection.
type peerConn struct {
	// nc is closed to give the connection up.
	nc     net.Conn
	outbox chan peerMessage
}

// peerMessage is an encoded message. kind is its method before it was packed.
type peerMessage struct {
	kind, method string
	params       json.RawMessage
}

// peerSet is the set of hosts that follow this one.
type peerSet struct {
	mu    sync.Mutex
	conns map[*peerConn]bool
}

func (p *peerSet) init() { p.conns = map[*peerConn]bool{} }

// send queues a message for all peers. It is encoded once.
func (p *peerSet) send(method string, params any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) == 0 {
		return
	}
	m := encode(method, params)
	for pc := range p.conns {
		pc.post(m)
	}
}

// packFrom is the least size in bytes of the parameters that go packed.
const packFrom = 4 << 10

// packedMessage holds a message with long parameters.
type packedMessage struct {
	Method string `json:"method"`
	// Params is a zstd frame.
	Params []byte `json:"params"`
}

// encode encodes a message, packed when it is long.
func encode(method string, params any) peerMessage {
	m := peerMessage{kind: method, method: method, params: marshal(method, params)}
	if len(m.params) < packFrom {
		return m
	}
	packed, err := delta.Make(nil, m.params)
	if err != nil {
		return m // it only saves bytes
	}
	return peerMessage{kind: method, method: methodPacked, params: marshal(method, packedMessage{Method: method, Params: packed})}
}

// marshal encodes parameters.
func marshal(method string, params any) json.RawMessage {
	b, err := json.Marshal(params)
	if err != nil {
		panic("message " + method + ": " + err.Error()) // structs of plain values
	}
	return b
}

// post queues a message; a peer whose queue is full is disconnected.
func (pc *peerConn) post(m peerMessage) {
	select {
	case pc.outbox <- m:
	default:
		_ = pc.nc.Close() // the peer does not read; it will see the end
	}
}

func (p *peerSet) add(pc *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[pc] = true
}

func (p *peerSet) remove(pc *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, pc)
}

// closeAll ends all connections, so that the others look for the new leader.
func (p *peerSet) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pc := range p.conns {
		_ = pc.nc.Close() // the connection is given up
	}
}

func (p *peerSet) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// servePeers accepts connections of other hosts.
func (c *Coordinator) servePeers(ctx context.Context) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.cfg.Peer)
	if err != nil {
		return err
	}
	defer func() { _ = l.Close() }() // the duty ends
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
	handler := jsonrpc2.HandlerWithError(func(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		switch r.Method {
		case methodHello:
			return c.hello(pc, r)
		case methodCounts:
			var m countsMessage
			if err := unmarshalParams(r, &m); err != nil {
				return nil, err
			}
			c.lead.addCounts(m)
			return nil, nil
		case methodLeaving:
			return nil, c.heardLeaving(r)
		case methodWant:
			return nil, c.tellAll(pc, r)
		case methodClock:
			return readClock(), nil
		}
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	})
	conn := jsonrpc2.NewConn(ctx, peer.NewStream(nc), c.bounded(handler), quiet)
	defer c.peers.remove(pc)
	for {
		select {
		case <-conn.DisconnectNotify():
			return
		case <-ctx.Done():
			_ = conn.Close() // the host stops
			return
		case m := <-pc.outbox:
			if err := notify(ctx, nc, conn, m.method, m.params); err != nil {
				_ = conn.Close() // the peer is gone
				return
			}
			c.m.peerBytes.Add(m.kind, int64(len(m.params)))
		}
	}
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

// tellAll sends all runs of a workload to a peer that asked for them.
func (c *Coordinator) tellAll(pc *peerConn, r *jsonrpc2.Request) error {
	var m wantMessage
	if err := unmarshalParams(r, &m); err != nil {
		return err
	}
	if x := c.RangeMap(m.Workload); x != nil {
		pc.post(x.message(m.Workload))
	}
	return nil
}

// heardLeaving takes another host's word about targets that stop.
func (c *Coordinator) heardLeaving(r *jsonrpc2.Request) error {
	var m leavingMessage
	if err := unmarshalParams(r, &m); err != nil {
		return err
	}
	c.targetsLeave(m.Runs, false)
	return nil
}

// bounded keeps a panic in the handling of one message from ending the process.
func (c *Coordinator) bounded(h jsonrpc2.Handler) jsonrpc2.Handler {
	return boundedHandler{h, c.cfg.Log}
}

type boundedHandler struct {
	jsonrpc2.Handler
	log hclog.Logger
}

// Handle implements jsonrpc2.Handler. After a panic the connection is closed, since
// what the message should have changed is unknown; a new one begins with all state.
func (h boundedHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if err := guard.Call("peer message", func() { h.Handler.Handle(ctx, conn, r) }); err != nil {
		h.log.Error("panic", "duty", "peer message", "method", r.Method, "err", err)
		_ = conn.Close() // given up
	}
}

// hello registers a follower when this host leads.
func (c *Coordinator) hello(pc *peerConn, r *jsonrpc2.Request) (any, error) {
	var m helloMessage
	if err := unmarshalParams(r, &m); err != nil {
		return nil, err
	}
	c.hearOfLeader(m.Leader)
	if !c.Leading() || m.Protocol < protocol {
		return helloReply{Leader: c.lead.current(), clockReply: readClock(), processState: c.state()}, nil
	}
	c.lead.heard(m)
	// Messages to all are posted from here on, so that nothing is missed between them
	// and what follows.
	c.peers.add(pc)
	for _, f := range c.followers() {
		if next, ok := m.Next[f.topic]; ok {
			f.catchUp(pc, next)
		}
	}
	for w, r := range *c.ranges.Load() {
		pc.post(r.message(w))
	}
	pc.post(encode(methodFresh, c.freshness()))
	if runs := c.leavingTargets(false); len(runs) > 0 {
		pc.post(encode(methodLeaving, leavingMessage{Runs: runs}))
	}
	return helloReply{Leads: true, Leader: c.lead.current(), clockReply: readClock(), processState: c.state()}, nil
}

// freshness says how old the leader's knowledge is.
func (c *Coordinator) freshness() freshMessage {
	now := boottime.Now()
	m := freshMessage{clockReply: readClock(), Topics: map[string]topicAge{}, Hosts: c.peers.size() + 1}
	c.hosts.Store(int64(m.Hosts))
	for _, f := range c.followers() {
		m.Topics[f.topic] = topicAge{Next: f.position(), AgeMS: f.age(now).Milliseconds()}
	}
	return m
}
