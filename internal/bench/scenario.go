package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Action is what a step does.
type Action string

// Actions. The effect of a step with ForMS or ForFraction ends after that time.
const (
	// ActKillTarget kills a target process and restarts it, cold, when the step
	// ends.
	ActKillTarget Action = "kill_target"
	// ActFreezeTarget suspends a target process.
	ActFreezeTarget Action = "freeze_target"
	// ActSlowTarget multiplies the service times of a target by Factor.
	ActSlowTarget Action = "slow_target"
	// ActFalseLoad makes a target report that it is idle.
	ActFalseLoad Action = "false_load"
	// ActLateLoad makes a target report its load Count milliseconds late.
	ActLateLoad Action = "late_load"
	// ActCoolTarget makes a target cold without an announcement.
	ActCoolTarget Action = "cool_target"
	// ActLeaveTarget makes a target leave: the target and the host list both
	// report it as leaving.
	ActLeaveTarget Action = "leave_target"
	// ActPauseEntry suspends an entry host process.
	ActPauseEntry Action = "pause_entry"
	// ActKillEntry kills an entry host and restarts it when the step ends.
	ActKillEntry Action = "kill_entry"
	// ActStopEntry performs a planned stop of an entry host and restarts it when
	// the step ends.
	ActStopEntry Action = "stop_entry"
	// ActDomainOut takes a domain out by configuration, and back in when the step
	// ends.
	ActDomainOut Action = "domain_out"
	// ActCutDomain cuts a domain off from the others and from the log.
	ActCutDomain Action = "cut_domain"
	// ActCutDomainOneWay holds only the bytes that leave the domain.
	ActCutDomainOneWay Action = "cut_domain_one_way"
	// ActCutTarget cuts the links between the entry hosts of a target's own
	// domain and that target, but not those of the other domains.
	ActCutTarget Action = "cut_target"
	// ActLogDown makes the log refuse requests.
	ActLogDown Action = "log_down"
	// ActLogSilent makes the log accept requests and never respond.
	ActLogSilent Action = "log_silent"
	// ActLogLoseAnswers loses the responses of Count appends that took effect.
	ActLogLoseAnswers Action = "log_lose"
	// ActSilenceConnections makes the open connections to a target silent
	// permanently.
	ActSilenceConnections Action = "silence"
	// ActLoseAnswers loses Count responses of a target whose requests took effect.
	ActLoseAnswers Action = "lose_answers"
	// ActChangeConfig makes a configuration change, which configProbe observes.
	ActChangeConfig Action = "config_change"
	// ActRaceConfig makes Count competing changes from the same version.
	ActRaceConfig Action = "config_race"
	// ActLoad sets the load factor of all customers.
	ActLoad Action = "load"
	// ActFlood multiplies the load of the last customer by Factor.
	ActFlood Action = "flood"
	// ActShiftKeys makes other keys popular.
	ActShiftKeys Action = "shift_keys"
)

// Step is one line of a scenario.
type Step struct {
	// At is the start time as a fraction of the duration, 0 to 1.
	At     float64
	Action Action
	// AfterMS is added to the start time, in milliseconds.
	AfterMS int64
	// Role and Index select a target; Index alone selects an entry host or a
	// domain, modulo their number. Every, if not 0, selects every Every-th target
	// from Index on.
	Role  Role
	Index int
	Every int
	// ForMS is how long the effect lasts, in milliseconds. The effect lasts to the
	// end of the load when ForMS and ForFraction are both 0.
	ForMS int64
	// ForFraction is a fraction of the duration that is added to ForMS.
	ForFraction float64
	Factor      float64
	Count       int
}

// Scenario is a table of steps with the parameters of the load.
type Scenario struct {
	Name        string
	Description string
	// LoadFactor multiplies the load; 0 means 1.
	LoadFactor float64
	// KeySkewV is the offset of the Zipf distribution of keys. A smaller offset
	// concentrates the requests on fewer keys. 0 means 10.
	KeySkewV float64
	// LeaseMS is the key lease of targets in milliseconds; 0 means the default.
	LeaseMS int64
	// LastCustomerRate is the rate of the last customer's contract as a multiple
	// of its load at factor 1; 0 means the rate of the example deployment.
	LastCustomerRate float64
	Steps            []Step
}

// Scenarios maps names to scenarios.
var Scenarios = scenariosByName([]Scenario{
	{Name: "steady", Description: "no faults"},
	{Name: "hot-keys", Description: "few keys carry much of the load and change", KeySkewV: 3, Steps: []Step{
		{At: 0.35, Action: ActShiftKeys},
		{At: 0.70, Action: ActShiftKeys},
	}},
	{Name: "target-loss", Description: "targets are killed and return cold; answers are lost", Steps: []Step{
		{At: 0.20, Action: ActKillTarget, Role: RoleRead, Index: 1, ForFraction: 0.4},
		{At: 0.40, Action: ActKillTarget, Role: RoleWrite, Index: 1, ForFraction: 0.3},
		{At: 0.60, Action: ActLoseAnswers, Role: RoleWrite, Index: 0, Count: 20},
		{At: 0.70, Action: ActKillTarget, Role: RolePlain, Index: 1},
		{At: 0.80, Action: ActLeaveTarget, Role: RoleRead, Index: 2},
	}},
	{Name: "target-freeze", Description: "targets freeze for several lengths and return; connections go silent", Steps: []Step{
		{At: 0.15, Action: ActFreezeTarget, Role: RoleRead, Index: 0, ForMS: 600},
		{At: 0.25, Action: ActFreezeTarget, Role: RoleWrite, Index: 0, ForMS: 650},
		{At: 0.35, Action: ActFreezeTarget, Role: RoleRead, Index: 1, ForMS: 700},
		{At: 0.45, Action: ActFreezeTarget, Role: RoleWrite, Index: 1, ForMS: 1200},
		{At: 0.55, Action: ActSilenceConnections, Role: RoleRead, Index: 2},
		{At: 0.60, Action: ActCutTarget, Role: RoleWrite, Index: 2, ForMS: 1500},
		{At: 0.70, Action: ActFreezeTarget, Role: RoleRead, Index: 2, ForMS: 3000},
		{At: 0.75, Action: ActFreezeTarget, Role: RolePlain, Index: 0, ForMS: 2000},
		{At: 0.85, Action: ActCoolTarget, Role: RolePlain, Index: 1},
	}},
	{Name: "entry-pause", Description: "entry hosts are paused, killed and stopped as planned", Steps: []Step{
		{At: 0.15, Action: ActPauseEntry, Index: 0, ForMS: 700},
		{At: 0.25, Action: ActPauseEntry, Index: 1, ForMS: 2500},
		{At: 0.45, Action: ActKillEntry, Index: 2, ForMS: 2000},
		{At: 0.60, Action: ActStopEntry, Index: 3, ForMS: 4000},
		{At: 0.80, Action: ActPauseEntry, Index: 0, ForMS: 1700},
	}},
	{Name: "domain-out-back", Description: "operators take a domain out and bring it back", Steps: []Step{
		{At: 0.25, Action: ActDomainOut, Index: 1, ForFraction: 0.4},
	}},
	{Name: "domain-partition", Description: "a domain is cut off in both directions, then in one", Steps: []Step{
		{At: 0.20, Action: ActCutDomain, Index: 1, ForFraction: 0.25},
		{At: 0.65, Action: ActCutDomainOneWay, Index: 0, ForFraction: 0.15},
	}},
	{Name: "log-outage", Description: "the log is down, silent, or loses answers", Steps: []Step{
		{At: 0.15, Action: ActLogDown, ForFraction: 0.35},
		{At: 0.60, Action: ActLogSilent, ForFraction: 0.15},
		{At: 0.80, Action: ActLogLoseAnswers, Count: 3},
		{At: 0.82, Action: ActKillTarget, Role: RoleRead, Index: 1},
	}},
	{Name: "slow-targets", Description: "one target in eight is ten times slower", Steps: []Step{
		{At: 0.10, Action: ActSlowTarget, Role: RoleRead, Index: 1, Every: 8, Factor: 10},
		{At: 0.10, Action: ActSlowTarget, Role: RoleWrite, Index: 1, Every: 8, Factor: 10},
		{At: 0.10, Action: ActSlowTarget, Role: RolePlain, Index: 1, Every: 8, Factor: 10},
		{At: 0.50, Action: ActFalseLoad, Role: RolePlain, Index: 1, Every: 8},
	}},
	{Name: "config-change", Description: "configuration changes, some made at the same time", Steps: []Step{
		{At: 0.15, Action: ActChangeConfig},
		{At: 0.30, Action: ActChangeConfig},
		{At: 0.45, Action: ActPauseEntry, Index: 1, ForFraction: 0.1},
		{At: 0.47, Action: ActChangeConfig},
		{At: 0.65, Action: ActRaceConfig, Count: 4},
		{At: 0.80, Action: ActChangeConfig},
	}},
	// At load factor 0.6 the targets have capacity for the flood, so that only the
	// contract limits it.
	{Name: "overload", Description: "one customer floods, then all load is twice the capacity", LoadFactor: 0.6, LastCustomerRate: 1.5, Steps: []Step{
		{At: 0.20, Action: ActFlood, Factor: 12, ForFraction: 0.3},
		{At: 0.60, Action: ActLoad, Factor: 4, ForFraction: 0.25},
	}},
	// The executions on a slow target outlast the detection of its loss, and the
	// long key lease lets them take effect long after it.
	{Name: "target-cut", Description: "slow targets are cut off from their own domain's entry hosts", LeaseMS: 3000, Steps: []Step{
		{At: 0.20, Action: ActSlowTarget, Role: RoleRead, Index: 0, Factor: 50, ForMS: 1500},
		{At: 0.20, Action: ActCutTarget, Role: RoleRead, Index: 0, AfterMS: 100, ForMS: 1500},
		{At: 0.40, Action: ActSlowTarget, Role: RoleWrite, Index: 0, Factor: 30, ForMS: 1500},
		{At: 0.40, Action: ActCutTarget, Role: RoleWrite, Index: 0, AfterMS: 100, ForMS: 1500},
		{At: 0.60, Action: ActSlowTarget, Role: RoleRead, Index: 1, Factor: 50, ForMS: 1500},
		{At: 0.60, Action: ActCutTarget, Role: RoleRead, Index: 1, AfterMS: 100, ForMS: 1500},
	}},
	{Name: "two-faults", Description: "faults at the same time", Steps: []Step{
		{At: 0.10, Action: ActLateLoad, Role: RoleRead, Every: 2, Count: 1000},
		{At: 0.15, Action: ActLogDown, ForFraction: 0.15},
		{At: 0.18, Action: ActFreezeTarget, Role: RoleWrite, Index: 0, ForMS: 1500},
		{At: 0.40, Action: ActPauseEntry, Index: 0, ForMS: 1800},
		{At: 0.40, Action: ActKillTarget, Role: RoleRead, Index: 0, ForFraction: 0.3},
		{At: 0.55, Action: ActCutDomain, Index: 1, ForFraction: 0.1},
		{At: 0.58, Action: ActLoseAnswers, Role: RoleWrite, Index: 0, Count: 20},
		{At: 0.75, Action: ActKillEntry, Index: 1, ForMS: 2000},
		{At: 0.75, Action: ActFreezeTarget, Role: RoleWrite, Index: 1, ForMS: 650},
	}},
})

// SafeguardScenarios maps each safeguard that can be switched off to the scenario
// that best shows the violations without it.
var SafeguardScenarios = map[string]string{
	"fence":       "target-freeze",
	"lease-wait":  "target-cut",
	"retry-rule":  "target-loss",
	"limit-share": "overload",
}

func scenariosByName(list []Scenario) map[string]Scenario {
	out := map[string]Scenario{}
	for _, s := range list {
		out[s.Name] = s
	}
	return out
}

// UnknownScenarioError reports that no scenario has the given name.
type UnknownScenarioError struct{ Name string }

// Error implements error.
func (e *UnknownScenarioError) Error() string {
	return fmt.Sprintf("no scenario %q; known: %s", e.Name, strings.Join(slices.Sorted(maps.Keys(Scenarios)), ", "))
}

func (s Scenario) loadFactor() float64 {
	if s.LoadFactor == 0 {
		return 1
	}
	return s.LoadFactor
}

// has reports whether a scenario has a step with one of the actions.
func (s Scenario) has(actions ...Action) bool {
	return slices.ContainsFunc(s.Steps, func(x Step) bool { return slices.Contains(actions, x.Action) })
}
