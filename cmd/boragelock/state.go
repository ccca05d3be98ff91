package main

import (
	"flag"
	"fmt"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/operator"
)

// stateCommands returns the commands that list domains, hosts and targets and set
// their operator states.
func stateCommands() []command {
	out := []command{
		statusCommand("domain list", "the failure domains", printDomains),
		statusCommand("host list", "the entry hosts", printHosts),
		statusCommand("target list", "the targets", printTargets),
	}
	for _, kind := range []string{"domain", "host", "target"} {
		out = append(out,
			stateCommand(kind, contract.StateOut, "send no new work to the "+kind),
			stateCommand(kind, contract.StateIn, "send new work to the "+kind+" again"))
	}
	return append(out, stateCommand("domain", contract.StateLost,
		"declare that nothing in the domain runs any more; if a target still does, two targets serve the same keys"))
}

func stateCommand(kind string, state contract.OperatorState, help string) command {
	return command{name: kind + " " + string(state), args: "NAME", help: help,
		define: func(fs *flag.FlagSet) func(*env, []string) error {
			var c changeFlags
			c.define(fs)
			if state == contract.StateOut {
				c.defineOutFlags(fs)
			}
			return func(e *env, names []string) error {
				item := stateItem(kind, &contract.SetState{Name: names[0], State: state})
				err := c.apply(e, func(*contract.State) ([]contract.Item, error) { return []contract.Item{item}, nil })
				if err != nil || state != contract.StateOut {
					return err
				}
				return c.waitUntilDrained(e, func(s operator.Status) (int, int) { return remainingWork(s, kind, names[0]) })
			}
		}}
}

func stateItem(kind string, set *contract.SetState) contract.Item {
	switch kind {
	case "domain":
		return contract.Item{Domain: set}
	case "target":
		return contract.Item{Target: set}
	}
	return contract.Item{Host: set}
}

// remainingWork returns the remaining shards and requests of a domain, target or
// host. For a host, each target that it is home of counts as a shard.
func remainingWork(s operator.Status, kind, name string) (shards, requests int) {
	for _, d := range s.Domains {
		for _, h := range d.Hosts {
			if kind == "host" && h.Name == name {
				shards += h.Permits
			}
		}
		for _, t := range d.Targets {
			if (kind == "domain" && d.Name == name) || (kind == "target" && t.Name == name) {
				shards += t.Shards + t.LeavingShards
				requests += requestCount(t)
			}
		}
	}
	return shards, requests
}

// requestCount returns the requests of a target. An unknown number counts as one,
// so that a wait does not end before the home has responded.
func requestCount(t operator.TargetStatus) int {
	if t.InFlight < 0 || t.Queued < 0 {
		return 1
	}
	return t.InFlight + t.Queued
}

// statusCommand returns a command that prints the status with show.
func statusCommand(name, help string, show func(*table, operator.Status)) command {
	return command{name: name, help: "show " + help,
		define: func(fs *flag.FlagSet) func(*env, []string) error {
			var c clientFlags
			c.define(fs)
			return func(e *env, _ []string) error {
				client, err := c.client()
				if err != nil {
					return err
				}
				s, err := client.Status(e.ctx)
				if err != nil {
					return err
				}
				if c.asJSON {
					return e.printJSON(s)
				}
				t := newTable(e.stdout)
				show(t, s)
				return t.flush()
			}
		}}
}

func printDomains(t *table, s operator.Status) {
	t.row("domain", "state", "granters", "retiring", "hosts", "targets", "shards", "waiting")
	for _, d := range s.Domains {
		shards, waiting := 0, 0
		for _, x := range d.Targets {
			shards, waiting = shards+x.Shards, waiting+x.WaitingShards
		}
		t.row(d.Name, stateName(d.State), joinOrNone(d.Granters), joinOrNone(d.RetiringGranters), len(d.Hosts), len(d.Targets), shards, waiting)
	}
}

func printHosts(t *table, s operator.Status) {
	t.row("host", "domain", "state", "alive", "incarnation", "config", "offset", "lag", "log_reachable", "authority", "permits")
	for _, d := range s.Domains {
		for _, h := range d.Hosts {
			t.row(h.Name, d.Name, stateName(h.State), h.Alive, orNone(h.Incarnation), h.ConfigVersion, h.LogOffset, h.Lag, h.LogReachable, orNone(h.Authority), h.Permits)
		}
	}
}

func printTargets(t *table, s operator.Status) {
	t.row("target", "domain", "workload", "state", "reported", "fit", "home", "lease_ms", "shards", "waiting", "leaving", "in_flight", "queued", "missing_word")
	for _, d := range s.Domains {
		for _, x := range d.Targets {
			lease := fmt.Sprint(x.LeaseMS)
			if x.LeaseMS < 0 {
				lease = "unknown"
			}
			t.row(x.Name, d.Name, x.Workload, stateName(x.State), orNone(x.ReportedState), x.Fit, orNone(x.Home), lease, x.Shards, x.WaitingShards, x.LeavingShards, x.InFlight, x.Queued, joinOrNone(x.ReleaseBlockers))
		}
	}
}
