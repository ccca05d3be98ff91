package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragelock/boragelock/internal/view"
)

// assignment is the input for the choice of homes, which does not modify it.
type assignment struct {
	// targets are the names of the domain's targets, sorted.
	targets []string
	homes   map[string]view.Home
	// permitEnds holds the latest end of the last permit of each target's home.
	// A target whose home was given up has no entry.
	permitEnds map[string]time.Duration
	callers    map[string]caller
	// unknownPermitEnd is the latest end of permits that other granters may have
	// renewed without this host's knowledge while it was stalled.
	unknownPermitEnd time.Duration
	// alive lists the hosts that can be homes, at least one.
	alive []string
}

// homeChoice is the host chosen for one target.
type homeChoice struct{ target, host string }

// chooseHomes returns new homes for the targets that need one. It chooses the
// host with the fewest targets, and among equals the one with the highest
// rendezvous hash.
func (a assignment) chooseHomes(now time.Duration) []homeChoice {
	load := map[string]int{}
	var unassigned []string
	for _, t := range a.targets {
		home, ok := a.homes[t]
		switch {
		case ok && slices.Contains(a.alive, home.Host) && a.permitEnds[t] > 0:
			load[home.Host]++
		case ok && a.permitEnds[t] > 0 && max(a.permitEnds[t], a.unknownPermitEnd) > now && !a.callers[home.Host].dead:
			// The home no longer calls, but its permit may still be valid.
		default:
			unassigned = append(unassigned, t)
		}
	}
	out := make([]homeChoice, 0, len(unassigned))
	for _, t := range unassigned {
		best := slices.MinFunc(a.alive, func(x, y string) int {
			return cmp.Or(cmp.Compare(load[x], load[y]), cmp.Compare(rendezvousHash(t, y), rendezvousHash(t, x)))
		})
		load[best]++
		out = append(out, homeChoice{target: t, host: best})
	}
	return out
}

// targetToYield returns a target whose home should give it up because another
// host has at least two targets fewer, or "". In this way a restarted host,
// which has no targets, gets its share one by one.
func (a assignment) targetToYield() string {
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
	return slices.MaxFunc(held[most], func(x, y string) int { return cmp.Compare(rendezvousHash(x, least), rendezvousHash(y, least)) })
}

// rendezvousHash returns a host's weight for a target in rendezvous hashing.
func rendezvousHash(target, host string) uint64 { return xxhash.Sum64String(target + "\x00" + host) }

// allCalledSince reports whether each host is dead or has called since a time.
// Each call reports the targets that the caller is the home of.
func allCalledSince(hosts []string, callers map[string]caller, since time.Duration) bool {
	return !slices.ContainsFunc(hosts, func(name string) bool {
		k, ok := callers[name]
		return !ok || !(k.dead || k.lastCall > since)
	})
}
