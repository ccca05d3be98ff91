package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragelock/boragelock/internal/view"
)

// assignment is what the choice of homes depends on. Nothing in it is changed
// by the choice.
type assignment struct {
	// targets are the domain's, sorted.
	targets []string
	homes   map[string]view.Home
	// expires is when the last permit of each target's home ends at the
	// latest; a home that was given up has none.
	expires map[string]time.Duration
	callers map[string]caller
	// floor is a time before which permits may end that this host knows
	// nothing of, because it was stalled while other granters renewed them.
	floor time.Duration
	// alive are the hosts that can be homes; at least one.
	alive []string
}

// newHome is the choice of a host for one target.
type newHome struct{ target, host string }

// choose returns the new homes of the targets that need one. Each goes to the
// host with the fewest targets, and among those to the first by rendezvous
// hashing.
func (a assignment) choose(now time.Duration) []newHome {
	load := map[string]int{}
	var free []string
	for _, t := range a.targets {
		home, ok := a.homes[t]
		switch {
		case ok && slices.Contains(a.alive, home.Host) && a.expires[t] > 0:
			load[home.Host]++
		case ok && a.expires[t] > 0 && max(a.expires[t], a.floor) > now && !a.callers[home.Host].dead:
			// The permit of a host that does not call any more has yet to end.
		default:
			free = append(free, t)
		}
	}
	out := make([]newHome, 0, len(free))
	for _, t := range free {
		best := slices.MinFunc(a.alive, func(x, y string) int {
			return cmp.Or(cmp.Compare(load[x], load[y]), cmp.Compare(rank(t, y), rank(t, x)))
		})
		load[best]++
		out = append(out, newHome{target: t, host: best})
	}
	return out
}

// yield returns a target whose home should give it up because another host has
// at least two targets less, or "". A host that was restarted has none and gets
// its part this way, one target at a time.
func (a assignment) yield() string {
	held := map[string][]string{}
	for _, t := range a.targets {
		if home, ok := a.homes[t]; ok {
			held[home.Host] = append(held[home.Host], t)
		}
	}
	byLoad := func(x, y string) int { return cmp.Or(cmp.Compare(len(held[x]), len(held[y])), cmp.Compare(x, y)) }
	least, most := slices.MinFunc(a.alive, byLoad), slices.MaxFunc(a.alive, byLoad)
	if len(held[most])-len(held[least]) < 2 {
		return ""
	}
	return slices.MaxFunc(held[most], func(x, y string) int { return cmp.Compare(rank(x, least), rank(y, least)) })
}

// rank orders the hosts for one target by rendezvous hashing.
func rank(target, host string) uint64 { return xxhash.Sum64String(target + "\x00" + host) }

// allHeard reports whether each host has called since a time, and so has said
// which targets it is the home of, or is dead.
func allHeard(hosts []string, callers map[string]caller, since time.Duration) bool {
	return !slices.ContainsFunc(hosts, func(name string) bool {
		k, ok := callers[name]
		return !ok || !(k.dead || k.last > since)
	})
}
