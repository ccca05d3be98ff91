package proofs

import (
	"cmp"
	"testing"
	"time"

	"github.com/boragelock/boragelock/internal/bench"
)

// Two owners could act when a target resumes after its keys were reassigned, or
// when the granter that renewed its lease was paused meanwhile.
func TestOneOwnerWhileTargetsAndGrantersFreeze(t *testing.T) {
	proof{name: "one-owner", deployment: "andaimes", seed: 11, scale: 0.2, steps: []bench.Step{
		{At: 0.15, Action: bench.ActFreezeTarget, Role: bench.RoleRead, Index: 0, ForMS: 1500},
		{At: 0.20, Action: bench.ActPauseEntry, Index: 0, ForMS: 1200},
		{At: 0.50, Action: bench.ActFreezeTarget, Role: bench.RoleWrite, Index: 0, ForMS: 900},
		{At: 0.70, Action: bench.ActPauseEntry, Index: 1, ForMS: 700},
	}}.run(t)
}

// A partitioned failure domain continues to serve; no other target may act for its
// keys.
func TestOneOwnerWhileADomainIsCutOff(t *testing.T) {
	proof{name: "cut-off", deployment: "toise", seed: 12, scale: 0.2, steps: []bench.Step{
		{At: 0.20, Action: bench.ActCutDomain, Index: 1, ForFraction: 0.3},
		{At: 0.60, Action: bench.ActCutDomainOneWay, Index: 0, ForFraction: 0.2},
	}}.run(t)
}

// An acknowledged assignment must survive the loss of the hosts that made it, also
// when responses of the log are lost.
func TestAssignmentsSurviveLostHostsAndAnswers(t *testing.T) {
	proof{name: "acknowledged", deployment: "andaimes", seed: 13, scale: 0.2, steps: []bench.Step{
		{At: 0.15, Action: bench.ActLogLoseAnswers, Count: 4},
		{At: 0.16, Action: bench.ActKillTarget, Role: bench.RoleRead, Index: 1, ForFraction: 0.4},
		{At: 0.30, Action: bench.ActKillEntry, Index: 0, ForMS: 1500},
		{At: 0.35, Action: bench.ActKillEntry, Index: 1, ForMS: 1500},
	}}.run(t)
}

// A cold target must not receive more requests than its cold capacity, also when it
// became cold without an announcement.
func TestColdTargetsAreNotOverloaded(t *testing.T) {
	proof{name: "cold", deployment: "toise", seed: 14, scale: 0.2, steps: []bench.Step{
		{At: 0.10, Action: bench.ActKillTarget, Role: bench.RoleRead, Index: 0, ForMS: 700},
		{At: 0.15, Action: bench.ActKillTarget, Role: bench.RolePlain, Index: 0, ForMS: 700},
		{At: 0.50, Action: bench.ActCoolTarget, Role: bench.RolePlain, Index: 1},
		{At: 0.50, Action: bench.ActCoolTarget, Role: bench.RoleRead, Index: 1},
		{At: 0.60, Action: bench.ActLoad, Factor: 3, ForFraction: 0.3},
	}}.run(t)
}

// A failure domain that operators take out of service must receive no new requests
// after a few seconds.
func TestDomainOutGetsNoNewWork(t *testing.T) {
	proof{name: "domain-out", deployment: "andaimes", seed: 15, scale: 0.2, mustJudge: []bench.ViolationKind{bench.LateNewWork}, steps: []bench.Step{
		{At: 0.10, Action: bench.ActDomainOut, Index: 1},
	}}.run(t)
}

// A late, truncated or crossed response must never reach a caller as a complete one.
func TestAnswersAreWholeAndTheCallersOwn(t *testing.T) {
	proof{name: "answers", deployment: "toise", seed: 16, scale: 0.2, steps: []bench.Step{
		{At: 0.10, Action: bench.ActLoseAnswers, Role: bench.RoleRead, Index: 0, Count: 20},
		{At: 0.25, Action: bench.ActSilenceConnections, Role: bench.RoleRead, Index: 1},
		{At: 0.40, Action: bench.ActFreezeTarget, Role: bench.RoleRead, Index: 2, ForMS: 600},
		{At: 0.60, Action: bench.ActKillTarget, Role: bench.RolePlain, Index: 0, ForMS: 1000},
		{At: 0.70, Action: bench.ActLoseAnswers, Role: bench.RolePlain, Index: 1, Count: 20},
	}}.run(t)
}

// A caller repeats a non-idempotent request after a lost response. The request must
// still run at most once, and a request reported as not run must not have run.
func TestRegistrationsRunAtMostOnce(t *testing.T) {
	proof{name: "at-most-once", deployment: "andaimes", seed: 17, scale: 0.2, steps: []bench.Step{
		{At: 0.10, Action: bench.ActLoseAnswers, Role: bench.RoleWrite, Index: 0, Count: 15},
		{At: 0.25, Action: bench.ActSilenceConnections, Role: bench.RoleWrite, Index: 1},
		{At: 0.40, Action: bench.ActKillEntry, Index: 1, ForMS: 1000},
		{At: 0.55, Action: bench.ActFreezeTarget, Role: bench.RoleWrite, Index: 0, ForMS: 1500},
		{At: 0.60, Action: bench.ActPauseEntry, Index: 0, ForMS: 1000},
	}}.run(t)
}

// A leaving target must receive no new requests after a few seconds.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	proof{name: "leaving", deployment: "toise", seed: 18, scale: 0.2, mustJudge: []bench.ViolationKind{bench.LateNewWork}, steps: []bench.Step{
		{At: 0.10, Action: bench.ActLeaveTarget, Role: bench.RoleRead, Index: 0},
		{At: 0.12, Action: bench.ActLeaveTarget, Role: bench.RolePlain, Index: 0},
	}}.run(t)
}

// A planned stop of an entry host must not cut off requests in flight.
func TestPlannedStopCutsNothing(t *testing.T) {
	proof{name: "planned-stop", deployment: "andaimes", seed: 19, scale: 0.2, mustJudge: []bench.ViolationKind{bench.CutInFlight}, steps: []bench.Step{
		{At: 0.15, Action: bench.ActStopEntry, Index: 0, ForMS: 2500},
		{At: 0.55, Action: bench.ActStopEntry, Index: 2},
	}}.run(t)
}

// An accepted configuration change must take effect on all hosts and never revert,
// also when operators race and a host returns with an older state.
func TestChangesComeIntoForceAndNeverRevert(t *testing.T) {
	proof{name: "changes", deployment: "toise", seed: 20, scale: 0.2, mustJudge: []bench.ViolationKind{bench.ConfigReverted}, steps: []bench.Step{
		{At: 0.10, Action: bench.ActPauseEntry, Index: 1, ForMS: 1500},
		{At: 0.15, Action: bench.ActChangeConfig},
		{At: 0.30, Action: bench.ActRaceConfig, Count: 4},
		{At: 0.45, Action: bench.ActLogLoseAnswers, Count: 2},
		{At: 0.46, Action: bench.ActChangeConfig},
	}}.run(t)
}

// The guarantees hold when the log is down, silent or loses responses while targets
// and hosts fail.
func TestLogOutageWithOtherFaults(t *testing.T) {
	proof{name: "log-outage", deployment: "andaimes", seed: 21, scale: 0.2, steps: []bench.Step{
		{At: 0.10, Action: bench.ActLogDown, ForFraction: 0.3},
		{At: 0.15, Action: bench.ActPauseEntry, Index: 0, ForMS: 900},
		{At: 0.20, Action: bench.ActFreezeTarget, Role: bench.RoleRead, Index: 0, ForMS: 1000},
		{At: 0.55, Action: bench.ActLogSilent, ForFraction: 0.15},
		{At: 0.75, Action: bench.ActLogLoseAnswers, Count: 3},
		{At: 0.76, Action: bench.ActKillTarget, Role: bench.RoleWrite, Index: 1},
	}}.run(t)
}

// Silent connections, and links that are cut only within the failure domain of the
// target, must not cause a second owner or a second run.
func TestSilentConnectionsAndCutLinks(t *testing.T) {
	proof{name: "links", deployment: "toise", seed: 22, scale: 0.2, steps: []bench.Step{
		{At: 0.10, Action: bench.ActSilenceConnections, Role: bench.RoleWrite, Index: 0},
		{At: 0.30, Action: bench.ActCutTarget, Role: bench.RoleWrite, Index: 1, ForMS: 1500},
		{At: 0.60, Action: bench.ActSilenceConnections, Role: bench.RolePlain, Index: 0},
		{At: 0.70, Action: bench.ActCutTarget, Role: bench.RoleRead, Index: 0, ForMS: 1000},
	}}.run(t)
}

// The checker must find a violation of each guarantee whose safeguard is disabled.
// Otherwise its other results prove nothing.
func TestCheckerFindsMissingSafeguards(t *testing.T) {
	for _, p := range []proof{
		{name: "fence", disabledSafeguard: "fence", scenario: "target-freeze", mustJudge: []bench.ViolationKind{bench.DualOwner}},
		{name: "lease-wait", disabledSafeguard: "lease-wait", scenario: "target-cut", deployment: "toise", loadTime: 12 * time.Second, mustJudge: []bench.ViolationKind{bench.DualOwner}},
		{name: "retry-rule", disabledSafeguard: "retry-rule", scenario: "target-loss", mustJudge: []bench.ViolationKind{bench.DoubleRun}},
		{name: "limit-share", disabledSafeguard: "limit-share", scenario: "overload", mustJudge: []bench.ViolationKind{bench.OverLimit}},
	} {
		t.Run(p.name, func(t *testing.T) {
			p.seed, p.scale = 1, 0.2
			p.deployment, p.loadTime = cmp.Or(p.deployment, "andaimes"), cmp.Or(p.loadTime, 10*time.Second)
			p.run(t)
		})
	}
}
