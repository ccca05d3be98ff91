package slots

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragelock/boragelock/fleet"
)

// MinObjective is the least latency objective of all routes with which slots are shared:
// a question to another host takes a few milliseconds, which is a large part of a shorter
// one.
const MinObjective = 600 * time.Millisecond

// Enabled reports whether the hosts share slots under a desired state: it has a route of
// priority 0, whose requests are to go first on all hosts, and objectives that leave time
// for a question to another host. Since it depends on the desired state only, all hosts
// decide alike.
func Enabled(d *fleet.DesiredState) bool {
	if d == nil {
		return false
	}
	urgent := false
	for i := range d.Routes {
		r := &d.Routes[i]
		if r.Objective > 0 && r.Objective < MinObjective {
			return false
		}
		urgent = urgent || r.Priority == 0
	}
	return urgent
}

// PoolOf returns the name of the pool of a target of a workload.
func PoolOf(workload, target string, keyed bool) string {
	if keyed {
		return workload + "/" + target
	}
	return workload
}

// Host is a host that may coordinate pools.
type Host struct {
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Cores is the processor share of the host, in cores.
	Cores float64 `json:"cores"`
}

// CoordinatorOf returns the address of the host that coordinates a pool, by weighted
// rendezvous hashing over the hosts, or "" if there are none. With a domain, hosts of
// other domains are selected only if it has none.
func CoordinatorOf(pool, domain string, hosts []Host) string {
	best, bestScore, bestLocal := "", 0.0, false
	for _, h := range hosts {
		local := domain != "" && h.Domain == domain
		if bestLocal && !local {
			continue
		}
		score := rendezvousScore(pool, h)
		if best == "" || local && !bestLocal || score > bestScore || score == bestScore && h.Address < best {
			best, bestScore, bestLocal = h.Address, score, local
		}
	}
	return best
}

// minCores and maxCores bound the processor share that counts. The upper bound is that of the
// setting; without it a host that states nonsense would coordinate all pools.
const minCores, maxCores = 0.01, 1024

// rendezvousScore returns the score of a host for a pool. The weight is the square of the
// processor share: a small host also needs longer for each answer.
func rendezvousScore(pool string, h Host) float64 {
	d := xxhash.New()
	_, _ = d.WriteString(pool)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(h.Address)
	u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	cores := min(max(h.Cores, minCores), maxCores)
	return cores * cores / -math.Log(u)
}
