package coordinator

import (
	"cmp"
	"encoding/json"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/slots"
)

// SlotService coordinates the slots of targets between hosts (package slotpeer).
type SlotService interface {
	// Enabled reports whether slots are shared.
	Enabled() bool
	// SetHosts replaces the live hosts.
	SetHosts([]slots.Host)
	// SetContended applies a change of the contended keyed targets; full means that added
	// holds all of them.
	SetContended(full bool, added, removed []string)
	// HandleAsk handles a message of another host on a connection.
	HandleAsk(nc net.Conn, conn *jsonrpc2.Conn, params *json.RawMessage) error
}

// methodSlotsAsk is slotpeer.MethodAsk.
const methodSlotsAsk = "slots.ask"

// hostsMessage tells all hosts which ones are live. The leader sends it when they change.
type hostsMessage struct {
	Hosts []slots.Host `json:"hosts"`
}

// hostsSettle is how long a new leader waits for hosts to connect before it tells which ones
// are live: each change moves the pools of some targets to another host.
const hostsSettle = time.Second

// self describes this host.
func (c *Coordinator) self() slots.Host {
	return slots.Host{Address: c.cfg.Peer, Domain: c.cfg.Domain, Cores: c.cfg.Cores}
}

// liveHosts returns the hosts that may coordinate slots: those that follow this one, and this
// one, in the order of their addresses. Hosts of earlier releases, and those that do not share
// slots, state no processor share and do not answer asks.
func (c *Coordinator) liveHosts() []slots.Host {
	list := []slots.Host{c.self()}
	c.peers.mu.Lock()
	for pc := range c.peers.conns {
		if pc.address != "" && pc.cores > 0 {
			list = append(list, slots.Host{Address: pc.address, Domain: pc.domain, Cores: pc.cores})
		}
	}
	c.peers.mu.Unlock()
	slices.SortFunc(list, func(a, b slots.Host) int {
		return cmp.Or(strings.Compare(a.Address, b.Address), strings.Compare(a.Domain, b.Domain), cmp.Compare(a.Cores, b.Cores))
	})
	return slices.CompactFunc(list, func(a, b slots.Host) bool { return a.Address == b.Address })
}

// sendHosts tells all hosts which ones are live, if that has changed.
func (t *term) sendHosts(now time.Duration) {
	c := t.c
	if c.cfg.Slots == nil || !c.cfg.Slots.Enabled() {
		return
	}
	hosts := c.liveHosts()
	if t.hostsSettledAt == 0 {
		t.hostsSettledAt = now + hostsSettle
	}
	told := c.toldHosts.Load()
	if told == nil && now < t.hostsSettledAt && len(hosts) < c.roster.size() || told != nil && slices.Equal(hosts, told.Hosts) {
		return
	}
	c.hostsTold.Store(true)
	c.cfg.Slots.SetHosts(hosts)
	c.toldMu.Lock()
	defer c.toldMu.Unlock()
	c.toldHosts.Store(&hostsMessage{hosts})
	c.peers.send(methodHosts, hostsMessage{hosts})
}

// sendSlotState sends a host that joins what the others were told of shared slots.
func (c *Coordinator) sendSlotState(pc *peerConn) {
	if c.cfg.Slots == nil || !c.cfg.Slots.Enabled() {
		return
	}
	c.toldMu.Lock()
	defer c.toldMu.Unlock()
	if m := c.toldHosts.Load(); m != nil {
		pc.enqueue(encode(methodHosts, *m))
	}
	if m := c.toldContended.Load(); m != nil {
		pc.enqueue(encode(methodContended, *m))
	}
}

// statedCores returns the processor share that this host states to the leader, 0 if it does not
// share slots.
func (c *Coordinator) statedCores() float64 {
	if c.cfg.Slots == nil {
		return 0
	}
	return c.cfg.Cores
}

// applyLiveHosts applies the leader's message.
func (c *Coordinator) applyLiveHosts(r *jsonrpc2.Request) error {
	var m hostsMessage
	if err := unmarshalParams(r, &m); err != nil {
		return err
	}
	if c.cfg.Slots != nil {
		c.hostsTold.Store(true)
		c.cfg.Slots.SetHosts(m.Hosts)
	}
	return nil
}
