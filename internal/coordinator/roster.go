package coordinator

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/platform"
	"github.com/boragelock/boragelock/slots"
)

// The leader stores the addresses of the hosts that follow it. Hosts that start read from it
// how many share budgets. After a restore, a leader that has heard from each of them that it
// does not lead knows when the last lease of an earlier term ends: the process that listens
// on an address is the only one there.

// keyHosts is the key of the hosts' addresses in the control topic.
const keyHosts = "hosts"

// rosterMemory is how long a host that does not follow the leader stays in the roster.
const rosterMemory = time.Minute

// hostsRecord is the stored roster.
type hostsRecord struct {
	Addresses []string `json:"addresses"`
	// Hosts describes the hosts at these addresses while slots are shared, so that hosts that
	// start together know the coordinators before there is a leader.
	Hosts []slots.Host `json:"hosts,omitempty"`
}

// roster is what a host knows of the addresses of all hosts.
type roster struct {
	mu   sync.Mutex
	self string
	// stored are the addresses that a leader stored last.
	stored map[string]bool
	// connected has the hosts that follow this one while it leads, and seen is when a host was
	// last connected.
	connected map[*peerConn]string
	seen      map[string]time.Duration
	// stopped is the latest time at which a host can have led an earlier term, by the hosts'
	// own statements in this term and era.
	stopped map[string]time.Duration
	// described has what is known of the hosts, by address.
	described map[string]slots.Host
}

func (r *roster) init(self string) {
	r.self, r.stored, r.connected = self, map[string]bool{}, map[*peerConn]string{}
	r.seen, r.stopped = map[string]time.Duration{}, map[string]time.Duration{}
	r.described = map[string]slots.Host{}
}

// size returns the number of stored addresses.
func (r *roster) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.stored)
}

// listsSelf reports whether this host is among the stored addresses.
func (r *roster) listsSelf() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stored[r.self]
}

// setStored replaces the stored addresses. Those of a copy of the store are added to the known
// ones instead.
func (r *roster) setStored(addresses []string, ofCopy bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ofCopy {
		r.stored = map[string]bool{}
	}
	for _, address := range addresses {
		r.stored[address] = true
	}
}

// describe records what is known of hosts.
func (r *roster) describe(hosts ...slots.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range hosts {
		r.described[h.Address] = h
	}
}

// descriptions returns what is known of the hosts at addresses.
func (r *roster) descriptions(addresses []string) []slots.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []slots.Host
	for _, address := range addresses {
		if h, ok := r.described[address]; ok {
			out = append(out, h)
		}
	}
	maps.DeleteFunc(r.described, func(address string, _ slots.Host) bool { return !slices.Contains(addresses, address) })
	return out
}

// beginTerm begins a term of this host, which can have led an earlier one until stoppedAt.
// Hosts that no longer run leave the roster after rosterMemory.
func (r *roster) beginTerm(now time.Duration, stoppedAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address := range r.stored {
		r.seen[address] = now
	}
	r.connected = map[*peerConn]string{}
	r.stopped = map[string]time.Duration{r.self: stoppedAt}
}

// forgetStops forgets what hosts stated about earlier terms: the store lost records, perhaps
// those of a later term.
func (r *roster) forgetStops() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.stopped)
}

// join records that a host follows this one, and that it can have led until stoppedAt.
func (r *roster) join(pc *peerConn, address string, stoppedAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connected[pc] = address
	r.stopped[address] = max(r.stopped[address], stoppedAt)
}

// leave records that a connection of a host has ended.
func (r *roster) leave(now time.Duration, pc *peerConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if address, ok := r.connected[pc]; ok {
		r.seen[address] = now
		delete(r.connected, pc)
	}
}

// changed returns the addresses to store, and whether they differ from the stored ones.
func (r *roster) changed(now time.Duration) ([]string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.seen, func(_ string, at time.Duration) bool { return now-at >= rosterMemory })
	current := map[string]bool{r.self: true}
	for _, address := range r.connected {
		current[address] = true
	}
	for address := range r.seen {
		current[address] = true
	}
	return slices.Sorted(maps.Keys(current)), !maps.Equal(current, r.stored)
}

// allStopped returns the latest time at which a host of the roster can have led an earlier
// term, or false when not all of them have stated it.
func (r *roster) allStopped() (at time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address := range r.stored {
		if _, ok := r.stopped[address]; !ok {
			return 0, false
		}
	}
	for _, stopped := range r.stopped {
		at = max(at, stopped)
	}
	return at, len(r.stored) > 0
}

// lastLed returns the latest time at which the process that states p, or an earlier one on
// its host, can have led a term that it no longer leads.
func (p processState) lastLed(now time.Duration) time.Duration {
	ago := p.UptimeMS
	if p.EndedTerm > 0 {
		ago = p.EndedAgoMS
	}
	return now - time.Duration(ago)*time.Millisecond
}

// applyHosts applies a stored roster.
func (c *Coordinator) applyHosts(r platform.Record) {
	var m hostsRecord
	if err := json.Unmarshal(r.Value, &m); err != nil {
		c.cfg.Log.Error("hosts_record_malformed", "offset", r.Offset, "err", err)
		return
	}
	c.roster.describe(m.Hosts...)
	if len(m.Hosts) > 0 && c.cfg.Slots != nil && !c.hostsTold.Load() {
		c.cfg.Slots.SetHosts(m.Hosts)
	}
	c.roster.setStored(m.Addresses, recordsLost(c.leadership.current(), c.storeEra.Load()))
}

// rosterRecord returns the record of the roster, if it has to be stored.
func (c *Coordinator) rosterRecord(now time.Duration, always bool) []platform.Record {
	addresses, changed := c.roster.changed(now)
	if !changed && !always {
		return nil
	}
	m := hostsRecord{Addresses: addresses}
	if c.cfg.Slots != nil && c.cfg.Slots.Enabled() {
		c.roster.describe(c.self())
		m.Hosts = c.roster.descriptions(addresses)
	}
	value, err := json.Marshal(m)
	if err != nil {
		panic("hosts record: " + err.Error()) // a list of strings
	}
	return []platform.Record{{Key: keyHosts, Value: value}}
}

// noteEarlierStopped ends the wait for leaders of terms whose records are lost when all hosts
// have stated that they lead no earlier term.
func (t *term) noteEarlierStopped(now time.Duration) {
	if t.allStopped || t.lease.UnknownHoldersLeft(now) == 0 {
		return
	}
	at, ok := t.c.roster.allStopped()
	if !ok {
		return
	}
	t.allStopped = true
	t.lease.SetAllStopped(at)
	for _, g := range t.granters {
		g.ApplyPreviousStopped()
	}
	t.c.cfg.Log.Info("earlier_leaders_ended", "term", t.record.Term, "hosts", t.c.roster.size(), "ago_ms", (now - at).Milliseconds(),
		"unknown_ms", t.lease.UnknownHoldersLeft(now).Milliseconds())
}

// notePeer records that a host follows this one while it leads.
func (c *Coordinator) notePeer(pc *peerConn, m helloMessage) {
	if m.Address != "" {
		c.roster.join(pc, m.Address, m.lastLed(boottime.Now()))
		c.roster.describe(slots.Host{Address: m.Address, Domain: m.Domain, Cores: m.Cores})
	}
	if recordsLost(c.leadership.current(), c.storeEra.Load()) {
		c.cfg.Log.Info("host_state", "host", m.Host, "up_ms", m.UptimeMS, "ended", m.EndedTerm, "ended_ago_ms", m.EndedAgoMS)
	}
}
