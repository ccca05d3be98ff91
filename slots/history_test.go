package slots

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/boragelock/boragelock/placement"
)

// history is a random history of one coordinator, with what it has answered.
type history struct {
	t    *testing.T
	c    *Coordinator
	rng  *rand.Rand
	now  time.Duration
	list []placement.Target
	// slots has the slots of each target, by its latest incarnation.
	slots map[string]int
	// open has the deadline of each ask without an answer, leased the lease of each granted
	// one until it ends.
	open   map[askKey]time.Duration
	leased map[askKey]*grantedLease
	nextID uint64
}

type grantedLease struct {
	target   string
	born     int64
	deadline time.Duration
	// endsBy is when the lease ends at the latest.
	endsBy time.Duration
}

func (h *history) apply(answers []Answer) {
	h.t.Helper()
	for _, a := range answers {
		key := askKey{a.Host, a.ID}
		deadline, ok := h.open[key]
		if !ok {
			h.t.Fatalf("at %v: an answer to %v, which does not wait", h.now, key)
		}
		delete(h.open, key)
		switch a.Decision.Action {
		case placement.Send:
			h.leased[key] = &grantedLease{target: a.Decision.Target, born: h.born(a.Decision.Target), deadline: deadline, endsBy: deadline + leaseSlack}
		case placement.Refuse:
			if a.Decision.Reason == "" || a.Decision.RetryAfter < 0 {
				h.t.Fatalf("at %v: refusal %+v", h.now, a.Decision)
			}
		default:
			h.t.Fatalf("at %v: answer %+v", h.now, a.Decision)
		}
	}
	h.checkSlots()
}

func (h *history) born(id string) int64 {
	for _, t := range h.list {
		if t.ID == id {
			return t.Incarnation.Born
		}
	}
	h.t.Fatalf("at %v: a slot of %s, which is not listed", h.now, id)
	return 0
}

// checkSlots checks that no process of a target has more leases than slots.
func (h *history) checkSlots() {
	h.t.Helper()
	type process struct {
		target string
		born   int64
	}
	count := map[process]int{}
	for _, l := range h.leased {
		p := process{l.target, l.born}
		if count[p]++; count[p] > h.slots[l.target] {
			h.t.Fatalf("at %v: %d leases of %v with %d slots", h.now, count[p], p, h.slots[l.target])
		}
	}
}

// anyKey returns the oldest ask that has a lease or waits, or an unknown one.
func (h *history) anyKey(host string, leased bool) askKey {
	var keys []askKey
	if leased {
		for k := range h.leased {
			keys = append(keys, k)
		}
	} else {
		for k := range h.open {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return askKey{host, 1 << 40}
	}
	// The order of a map is random beyond the seed, so that the least one is taken.
	least := keys[0]
	for _, k := range keys {
		if k.id < least.id {
			least = k
		}
	}
	return least
}

func (h *history) step() {
	h.now += time.Duration(h.rng.IntN(30)) * time.Millisecond
	host := fmt.Sprint("h", h.rng.IntN(4))
	switch x := h.rng.IntN(100); {
	case x < 45:
		h.nextID++
		r := placement.Request{Workload: "w", Route: "r", Priority: h.rng.IntN(3), Deadline: h.now + time.Duration(h.rng.IntN(3000)-100)*time.Millisecond, Random: h.rng.Float64()}
		if h.rng.IntN(2) == 0 {
			r.Objective, r.ObjectiveDeadline = time.Second, h.now+time.Duration(h.rng.IntN(1000))*time.Millisecond
		}
		if h.rng.IntN(3) == 0 {
			r.Workload, r.Target = "", fmt.Sprint("t", h.rng.IntN(len(h.slots)))
		} else if h.rng.IntN(4) == 0 {
			r.TriedTargets = []string{"t0"}
		}
		key := askKey{host, h.nextID}
		h.open[key] = r.Deadline
		h.apply(h.c.Ask(h.now, Ask{Host: host, ID: h.nextID, Request: r}))
		if _, open := h.open[key]; open && h.rng.IntN(10) == 0 {
			h.apply(h.c.Ask(h.now, Ask{Host: host, ID: h.nextID, Request: r}))
		}
	case x < 75:
		key := h.anyKey(host, true)
		delete(h.leased, key)
		h.apply(h.c.End(h.now, key.host, key.id, placement.Outcome{
			ResponseTime: time.Duration(h.rng.IntN(300)) * time.Millisecond, ColdRemaining: -1, Failed: h.rng.IntN(20) == 0, Shed: h.rng.IntN(20) == 0,
		}))
	case x < 82:
		key := h.anyKey(host, h.rng.IntN(2) == 0)
		delete(h.leased, key)
		delete(h.open, key)
		h.apply(h.c.Withdraw(h.now, key.host, key.id))
	case x < 84:
		for key := range h.open {
			if key.host == host {
				delete(h.open, key)
			}
		}
		for key, l := range h.leased {
			if key.host == host {
				l.endsBy = min(l.endsBy, h.now+lostHostLease)
			}
		}
		h.c.DropHost(h.now, host)
	case x < 87:
		h.changeTargets()
	default:
		h.tick()
	}
}

// changeTargets replaces a process, or leaves a target out until the next change.
func (h *history) changeTargets() {
	list := testTargets(len(h.slots), 0)
	for i := range list {
		list[i].Slots = h.slots[list[i].ID]
		for _, t := range h.list {
			if t.ID == list[i].ID {
				list[i].Incarnation = t.Incarnation
			}
		}
	}
	i := h.rng.IntN(len(list))
	switch h.rng.IntN(3) {
	case 0:
		h.nextID++
		list[i].Incarnation.Born = int64(h.nextID)
	case 1:
		list = append(list[:i], list[i+1:]...)
	}
	h.list = list
	h.c.SetTargets(list)
}

// tick ends what is due, as the coordinator must have.
func (h *history) tick() {
	answers := append([]Answer(nil), h.c.Tick(h.now)...)
	for key, l := range h.leased {
		if _, held := h.c.leases[key]; !held {
			if h.now < l.endsBy {
				h.t.Fatalf("at %v: the lease of %v ended before %v", h.now, key, l.endsBy)
			}
			delete(h.leased, key)
		} else if h.now >= l.endsBy+100*time.Millisecond { // the interval of the checks
			h.t.Fatalf("at %v: the lease of %v should have ended at %v", h.now, key, l.endsBy)
		}
	}
	h.apply(answers)
}

// TestHistories guards, over random histories, against a target with more leases than slots,
// an ask without an answer, a lease that outlives its deadline and the slack, and anything that
// is kept in the end.
func TestHistories(t *testing.T) {
	for seed := range uint64(300) {
		h := &history{t: t, c: NewCoordinator(testConfig), rng: rand.New(rand.NewPCG(seed, 1)), now: start, slots: map[string]int{}, open: map[askKey]time.Duration{}, leased: map[askKey]*grantedLease{}}
		for i := range 1 + h.rng.IntN(4) {
			h.slots[fmt.Sprint("t", i)] = 1 + h.rng.IntN(4)
		}
		h.changeTargets()
		for range 600 {
			h.step()
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
		// Hosts end what they were granted, and time passes.
		for end := h.now + 5*time.Second; h.now < end; h.now += 20 * time.Millisecond {
			h.tick()
		}
		if len(h.open) > 0 {
			t.Fatalf("seed %d: %d asks have no answer", seed, len(h.open))
		}
		c := h.c
		h.now += connectionMemory + sweepInterval
		h.tick()
		if n := len(c.leases) + len(c.waiting) + len(c.asks) + len(c.waitingOf) + len(c.connections) + c.scheduler.QueueLength(); n > 0 {
			t.Fatalf("seed %d: %d entries are left: %+v", seed, n, c.Stats())
		}
	}
}
