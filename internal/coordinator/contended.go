package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelock/boragelock/ownership"
)

// The slots of a keyed target are shared while it is contended. Below that a request rarely
// meets a full target (one in four at 0.7 of the capacity of six slots), and a question to
// another host would cost more than it saves.
const (
	contendedFrom  = 0.7
	contendedUntil = 0.5
	// ratesKnownAfter is how long a new leader counts requests before it says that a target
	// is not contended.
	ratesKnownAfter = 3 * time.Second
)

// contendedMessage tells all hosts which keyed targets are contended. The leader sends it when
// they change.
type contendedMessage struct {
	// Full means that Added holds all of them.
	Full    bool     `json:"full,omitempty"`
	Added   []string `json:"added,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

// contendedTargets is the set of contended targets by the leader's counts.
type contendedTargets struct {
	// set has the workload of each contended target.
	set map[string]string
	// told is what the hosts were told, nil for nothing yet.
	told map[string]bool
}

// update applies the utilization of the targets of a workload. Those that own no keys are not
// among them.
func (c *contendedTargets) update(workload string, utilizations map[string]float64) {
	if c.set == nil {
		c.set = map[string]string{}
	}
	maps.DeleteFunc(c.set, func(id, w string) bool {
		_, owns := utilizations[id]
		return w == workload && !owns
	})
	for id, u := range utilizations {
		switch {
		case u >= contendedFrom:
			c.set[id] = workload
		case u < contendedUntil:
			delete(c.set, id)
		}
	}
}

// changes returns the message that is due, or false.
func (c *contendedTargets) changes() (contendedMessage, bool) {
	if c.set == nil {
		return contendedMessage{}, false
	}
	m := contendedMessage{Full: c.told == nil}
	for id := range c.set {
		if !c.told[id] {
			m.Added = append(m.Added, id)
		}
	}
	for id := range c.told {
		if _, ok := c.set[id]; !ok {
			m.Removed = append(m.Removed, id)
		}
	}
	if !m.Full && len(m.Added)+len(m.Removed) == 0 {
		return contendedMessage{}, false
	}
	slices.Sort(m.Added)
	slices.Sort(m.Removed)
	c.told = make(map[string]bool, len(c.set))
	for id := range c.set {
		c.told[id] = true
	}
	return m, true
}

// retain forgets the targets of workloads that are gone.
func (c *contendedTargets) retain(exists func(workload string) bool) {
	maps.DeleteFunc(c.set, func(_, workload string) bool { return !exists(workload) })
}

// noteContention updates the contended targets of a workload.
func (t *term) noteContention(now time.Duration, workload string, table *ownership.RangeTable, targets []ownership.RangeTarget, rates []float32) {
	if t.c.cfg.Slots == nil || !t.c.cfg.Slots.Enabled() || now-t.beganAt < ratesKnownAfter {
		return
	}
	t.contended.update(workload, ownership.Utilizations(table, targets, rates))
}

// sendContended tells all hosts of changes of the contended targets.
func (t *term) sendContended() {
	if t.c.cfg.Slots == nil || !t.c.cfg.Slots.Enabled() {
		return
	}
	t.contended.retain(func(workload string) bool { return t.granters[workload] != nil })
	m, due := t.contended.changes()
	if !due {
		return
	}
	all := contendedMessage{Full: true, Added: slices.Sorted(maps.Keys(t.contended.set))}
	t.c.cfg.Slots.SetContended(m.Full, m.Added, m.Removed)
	t.c.toldMu.Lock()
	defer t.c.toldMu.Unlock()
	t.c.toldContended.Store(&all)
	t.c.peers.send(methodContended, m)
}

// applyContended applies the leader's message.
func (c *Coordinator) applyContended(r *jsonrpc2.Request) error {
	var m contendedMessage
	if err := unmarshalParams(r, &m); err != nil {
		return err
	}
	if c.cfg.Slots != nil {
		c.cfg.Slots.SetContended(m.Full, m.Added, m.Removed)
	}
	return nil
}
