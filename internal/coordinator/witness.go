package coordinator

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/ownership"
)

// A leader that begins the first term after a restore has to know the tables by which keys
// were granted last. The leader before it relayed each table before it granted by it, so
// that the hosts that followed it know them. When at least half of them follow the new
// leader, it goes by the newest table that they know. A host counts only if it read tables
// that a leader had stored in the era; those of a copy are older.

const (
	// witnessesMin is how long a new leader collects tables at least, and witnessesMax how
	// long it waits for half of the hosts.
	witnessesMin = 200 * time.Millisecond
	witnessesMax = 2 * time.Second
)

// lostTables is what a host knows of the control topic as it was before a restore.
type lostTables struct {
	// Position is up to where the host had read the topic; its Next is unknownOffset on a
	// host that had not.
	Position topicPosition `json:"position"`
	// Tables has the encoded tables by workload.
	Tables map[string][]byte `json:"tables,omitempty"`
}

// known reports whether p is a position in an era that the store stated.
func (p topicPosition) known() bool { return p.Era != 0 && p.Next != unknownOffset }

// before reports whether a position is earlier than another one.
func (p topicPosition) before(o topicPosition) bool {
	if !p.known() || !o.known() {
		return o.known() && !p.known()
	}
	return p.Era < o.Era || p.Era == o.Era && p.Next < o.Next
}

// witnesses collects what hosts know of the time before a restore.
type witnesses struct {
	mu sync.Mutex
	// own is the position as of which this host knows the tables of an earlier era. followed
	// says that it had read them itself.
	own      topicPosition
	followed bool
	// hosts has those that follow this leader and had followed an earlier one.
	hosts map[string]bool
	// fleetSize is the highest number of hosts that one of them remembers.
	fleetSize int
}

func (w *witnesses) init() {
	w.own, w.hosts = topicPosition{Next: unknownOffset}, map[string]bool{}
}

// noteLost records how far this host had read the control topic when an era ended in which
// a leader had stored its tables.
func (w *witnesses) noteLost(p topicPosition) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.known() {
		w.own, w.followed = topicPosition{Era: p.Era, Next: p.Next}, true
		w.hosts, w.fleetSize = map[string]bool{}, 0
	}
}

func (w *witnesses) position() topicPosition {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.own
}

// addHost records that a host follows this leader, how far it had read, and how many hosts
// there were.
func (w *witnesses) addHost(host string, p topicPosition, fleetSize int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p.known() {
		w.hosts[host] = true
		w.fleetSize = max(w.fleetSize, fleetSize)
	}
}

// raise records that this host has tables as of a later position, and reports whether it is
// later than its own.
func (w *witnesses) raise(p topicPosition) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.own.before(p) {
		return false
	}
	w.own = p
	return true
}

// suffice reports whether at least half of the hosts remember the tables of an earlier era,
// where recent is the number of hosts that this one knows of.
func (w *witnesses) suffice(recent int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	remember := len(w.hosts)
	if w.followed {
		remember++
	}
	return w.own.known() && 2*remember >= max(recent, w.fleetSize)
}

// sendLostTables sends the leader the tables of this host if they are newer than its own.
func (k *leaderLink) sendLostTables(ctx context.Context, leaders topicPosition) error {
	own := k.c.witnesses.position()
	if !leaders.before(own) {
		return nil
	}
	m := lostTables{Position: own, Tables: map[string][]byte{}}
	for name, table := range k.c.leadership.allTables() {
		m.Tables[name] = table.Encode()
	}
	return notify(ctx, k.nc, k.conn, methodTables, m)
}

// handleLostTables takes over the tables of another host if they are newer.
func (c *Coordinator) handleLostTables(r *jsonrpc2.Request) error {
	var m lostTables
	if err := unmarshalParams(r, &m); err != nil {
		return err
	}
	tables := map[string]*ownership.RangeTable{}
	for name, encoded := range m.Tables {
		table, err := ownership.DecodeRangeTable(encoded)
		if err != nil {
			return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		tables[name] = table
	}
	if c.witnesses.raise(m.Position) {
		c.leadership.mu.Lock()
		maps.Copy(c.leadership.tables, tables)
		c.leadership.mu.Unlock()
		c.cfg.Log.Info("tables_recovered", "tables", len(tables), "era", m.Position.Era, "next", m.Position.Next)
	}
	return nil
}

// awaitsWitnesses reports whether the leader still collects the tables of an earlier era.
// When it ends, the leader either knows them or has to wait for the end of all leases.
func (t *term) awaitsWitnesses(now time.Duration) bool {
	if !t.collecting {
		return false
	}
	hosts := t.c.recentHosts(now)
	known := t.c.witnesses.suffice(hosts)
	if now < t.beganAt+witnessesMin || !known && !t.allStopped && now < t.beganAt+witnessesMax {
		return true
	}
	t.collecting, t.storeAllTables, t.nextConfirm = false, true, now
	if known {
		t.lease.SetTablesKnown()
	}
	t.c.cfg.Log.Info("tables_collected", "complete", known, "hosts", hosts, "unknown_ms", t.lease.UnknownHoldersLeft(now).Milliseconds())
	return false
}
