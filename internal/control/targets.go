package control

import (
	"slices"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/journal"
)

// domainTargets are the targets of this host's domain in one configuration.
// They are read at each call between hosts, and a configuration holds the
// targets of all domains, so they are found once for each configuration.
type domainTargets struct {
	cfg *contract.State
	// all and granted are sorted names; granted are those that get leases.
	all, granted []string
	// probed are the others.
	probed map[string]contract.Target
}

// targets returns the targets of this host's domain. The configuration must
// not be nil.
func (c *Control) targets(st *journal.State) *domainTargets {
	if t := c.ownTargets.Load(); t != nil && t.cfg == st.Config {
		return t
	}
	t := findTargets(st.Config, c.cfg.Self.Domain)
	c.ownTargets.Store(t)
	return t
}

func findTargets(cfg *contract.State, domain string) *domainTargets {
	out := &domainTargets{cfg: cfg, probed: map[string]contract.Target{}}
	for name, t := range cfg.Targets {
		if t.Domain != domain {
			continue
		}
		out.all = append(out.all, name)
		if w := cfg.Workloads[t.Workload]; w.Keyed && w.Fencing {
			out.granted = append(out.granted, name)
		} else {
			out.probed[name] = t
		}
	}
	slices.Sort(out.all)
	slices.Sort(out.granted)
	return out
}
