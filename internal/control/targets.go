package control

import (
	"slices"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/journal"
)

// domainTargets holds the targets of this host's domain in one configuration. It
// is cached, since each call between hosts needs it and a configuration has the
// targets of all domains.
type domainTargets struct {
	cfg *contract.State
	// all and leased are sorted names; leased has the targets that get leases.
	all, leased []string
	// probed maps the names of the other targets to their configuration.
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
			out.leased = append(out.leased, name)
		} else {
			out.probed[name] = t
		}
	}
	slices.Sort(out.all)
	slices.Sort(out.leased)
	return out
}
