package proofs

import (
	"cmp"
	"testing"
	"time"

	"github.com/boragelock/boragelock/internal/bench"
)

// Two owners would act when a target that was given up for lost wakes up, or
// when the granter that renewed it was paused in the meantime.
func TestOneOwnerWhileTargetsAndGrantersFreeze(t *testing.T) {
	proof{name: "one-owner", deployment: "andaimes", seed: 11, scale: 0.2, steps: []bench.Step{
		{At: 0.15, Action: bench.ActFreezeTarget, Role: bench.RoleRead, Index: 0, ForMS: 1500},
		{At: 0.20, Action: bench.ActPauseEntry, Index: 0, ForMS: 1200},
		{At: 0.50, Action: bench.ActFreezeTarget, Role: bench.RoleWrite, Index: 0, ForMS: 900},
		{At: 0.70, Action: bench.ActPauseEntry, Index: 1, ForMS: 700},
	}}.play(t)
}

// A domain that is cut off goes on serving; nobody else may act for its keys.
func TestOneOwnerWhileADomainIsCutOff(t *testing.T) {
	proof{name: "cut-off", deployment: "toise", seed: 12, scale: 0.2, steps: []bench.Step{
		{At: 0.20, Action: bench.ActCutDomain, Index: 1, ForFraction: 0.3},
		{At: 0.60, Action: bench.ActCutDomainOneWay, Index: 0, ForFraction: 0.2},
	}}.play(t)
}

// An assignment that was acknowledged must survive the loss of the hosts that
// made it, also when the log's answers were lost.
func TestAssignmentsSurviveLostHostsAndAnswers(t *testing.T) {
	proof{name: "acknowledged", deployment: "andaimes", seed: 13, scale: 0.2, steps: []bench.Step{
		{At: 0.15, Action: bench.ActLogLoseAnswers, Count: 4},
		{At: 0.16, Action: bench.ActKillTarget, Role: bench.RoleRead, Index: 1, ForFraction: 0.4},
		{At: 0.30, Action: bench.ActKillEntry, Index: 0, ForMS: 1500},
		{At: 0.35, Action: bench.ActKillEntry, Index: 1, ForMS: 1500},
	}}.play(t)
}

// A freshly started target must not get more than it bears cold, also when it
// turned cold without a word.
func TestColdTargetsAreNotOverloaded(t *testing.T) {
	proof{name: "cold", deployment: "toise", seed: 14, scale: 0.2, steps: []bench.Step{
		{At: 0.10, Action: bench.ActKillTarget, Role: bench.RoleRead, Index: 0, ForMS: 700},
		{At: 0.15, Action: bench.ActKillTarget, Role: bench.RolePlain, Index: 0, ForMS: 700},
		{At: 0.50, Action: bench.ActCoolTarget, Role: bench.RolePlain, Index: 1},
		{At: 0.50, Action: bench.ActCoolTarget, Role: bench.RoleRead, Index: 1},
		{At: 0.60, Action: bench.ActLoad, Factor: 3, ForFraction: 0.3},
	}}.play(t)
}

// A domain that operators take out must get no new work a few seconds later.
func TestDomainOutGetsNoNewWork(t *testing.T) {
	proof{name: "domain-out", deployment: "andaimes", seed: 15, scale: 0.2, must: []bench.ViolationKind{bench.LateNewWork}, steps: []bench.Step{
		{At: 0.10, Action: bench.ActDomainOut, Index: 1},
	}}.play(t)
}

// Answers that are late, cut or crossed must never reach a caller as whole.
func TestAnswersAreWholeAndTheCallersOwn(t *testing.T) {
	proof{name: "answers", deployment: "toise", seed: 16, scale: 0.2, steps: []bench.Step{
		{At: 0.10, Action: bench.ActLoseAnswers, Role: bench.RoleRead, Index: 0, Count: 20},
		{At: 0.25, Action: bench.ActSilenceConnections, Role: bench.RoleRead, Index: 1},
		{At: 0.40, Action: bench.ActFreezeTarget, Role: bench.RoleRead, Index: 2, ForMS: 600},
		{At: 0.60, Action: bench.ActKillTarget, Role: bench.RolePlain, Index: 0, ForMS: 1000},
		{At: 0.70, Action: bench.ActLoseAnswers, Role: bench.RolePlain, Index: 1, Count: 20},
	}}.play(t)
}

// A non-idempotent request whose answer was lost is repeated by its caller and
// must still run at most once, and "not run" must be true.
func TestRegistrationsRunAtMostOnce(t *testing.T) {
	proof{name: "at-most-once", deployment: "andaimes", seed: 17, scale: 0.2, steps: []bench.Step{
		{At: 0.10, Action: bench.ActLoseAnswers, Role: bench.RoleWrite, Index: 0, Count: 15},
		{At: 0.25, Action: bench.ActSilenceConnections, Role: bench.RoleWrite, Index: 1},
		{At: 0.40, Action: bench.ActKillEntry, Index: 1, ForMS: 1000},
		{At: 0.55, Action: bench.ActFreezeTarget, Role: bench.RoleWrite, Index: 0, ForMS: 1500},
		{At: 0.60, Action: bench.ActPauseEntry, Index: 0, ForMS: 1000},
	}}.play(t)
}

// A target that leaves must get no new work a few seconds later.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	proof{name: "leaving", deployment: "toise", seed: 18, scale: 0.2, must: []bench.ViolationKind{bench.LateNewWork}, steps: []bench.Step{
		{At: 0.10, Action: bench.ActLeaveTarget, Role: bench.RoleRead, Index: 0},
		{At: 0.12, Action: bench.ActLeaveTarget, Role: bench.RolePlain, Index: 0},
	}}.play(t)
}

// A planned stop of an entry host must cut no request in flight.
func TestPlannedStopCutsNothing(t *testing.T) {
	proof{name: "planned-stop", deployment: "andaimes", seed: 19, scale: 0.2, must: []bench.ViolationKind{bench.CutInFlight}, steps: []bench.Step{
		{At: 0.15, Action: bench.ActStopEntry, Index: 0, ForMS: 2500},
		{At: 0.55, Action: bench.ActStopEntry, Index: 2},
	}}.play(t)
}

// An accepted change must come into force everywhere and never be undone, with
// operators that race and a host that returns with an older state.
func TestChangesComeIntoForceAndNeverRevert(t *testing.T) {
	proof{name: "changes", deployment: "toise", seed: 20, scale: 0.2, must: []bench.ViolationKind{bench.ConfigReverted}, steps: []bench.Step{
		{At: 0.10, Action: bench.ActPauseEntry, Index: 1, ForMS: 1500},
		{At: 0.15, Action: bench.ActChangeConfig},
		{At: 0.30, Action: bench.ActRaceConfig, Count: 4},
		{At: 0.45, Action: bench.ActLogLoseAnswers, Count: 2},
		{At: 0.46, Action: bench.ActChangeConfig},
	}}.play(t)
}

// The log may be down, silent or lose answers while targets and hosts fail.
func TestLogOutageWithOtherFaults(t *testing.T) {
	proof{name: "log-outage", deployment: "andaimes", seed: 21, scale: 0.2, steps: []bench.Step{
		{At: 0.10, Action: bench.ActLogDown, ForFraction: 0.3},
		{At: 0.15, Action: bench.ActPauseEntry, Index: 0, ForMS: 900},
		{At: 0.20, Action: bench.ActFreezeTarget, Role: bench.RoleRead, Index: 0, ForMS: 1000},
		{At: 0.55, Action: bench.ActLogSilent, ForFraction: 0.15},
		{At: 0.75, Action: bench.ActLogLoseAnswers, Count: 3},
		{At: 0.76, Action: bench.ActKillTarget, Role: bench.RoleWrite, Index: 1},
	}}.play(t)
}

// Connections that go silent, and links that are cut for the own domain only,
// must not make a second owner or a second run.
func TestSilentConnectionsAndCutLinks(t *testing.T) {
	proof{name: "links", deployment: "toise", seed: 22, scale: 0.2, steps: []bench.Step{
		{At: 0.10, Action: bench.ActSilenceConnections, Role: bench.RoleWrite, Index: 0},
		{At: 0.30, Action: bench.ActCutTarget, Role: bench.RoleWrite, Index: 1, ForMS: 1500},
		{At: 0.60, Action: bench.ActSilenceConnections, Role: bench.RolePlain, Index: 0},
		{At: 0.70, Action: bench.ActCutTarget, Role: bench.RoleRead, Index: 0, ForMS: 1000},
	}}.play(t)
}

// Without its safeguard each promise must be found broken, or the checker
// proves nothing.
func TestCheckerFindsMissingSafeguards(t *testing.T) {
	for _, p := range []proof{
		{name: "fence", broken: "fence", scenario: "target-freeze", must: []bench.ViolationKind{bench.DualOwner}},
		{name: "lease-wait", broken: "lease-wait", scenario: "target-cut", deployment: "toise", length: 12 * time.Second, must: []bench.ViolationKind{bench.DualOwner}},
		{name: "retry-rule", broken: "retry-rule", scenario: "target-loss", must: []bench.ViolationKind{bench.DoubleRun}},
		{name: "limit-share", broken: "limit-share", scenario: "overload", must: []bench.ViolationKind{bench.OverLimit}},
	} {
		t.Run(p.name, func(t *testing.T) {
			p.seed, p.scale = 1, 0.2
			p.deployment, p.length = cmp.Or(p.deployment, "andaimes"), cmp.Or(p.length, 10*time.Second)
			p.play(t)
		})
	}
}
