package bench

import (
	"context"
	"encoding/json"
	"syscall"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/standin"
	"github.com/boragelock/boragelock/provider"
)

// stopTimeout limits a planned stop of an entry host.
const stopTimeout = 30 * time.Second

// resolveStep returns the targets, entry hosts and domain that a step names.
func (r *scenarioRun) resolveStep(s Step) AppliedStep {
	out := AppliedStep{Step: s}
	p := r.cluster.cfg.Plan
	switch s.Action {
	case ActPauseEntry, ActKillEntry, ActStopEntry:
		out.Entries = []string{p.Entries[s.Index%len(p.Entries)].Name}
	case ActDomainOut, ActCutDomain, ActCutDomainOneWay:
		out.Domain = p.Deployment.Domains[s.Index%len(p.Deployment.Domains)].Name
		for _, t := range p.Deployment.Targets {
			if t.Domain == out.Domain {
				out.Targets = append(out.Targets, t.Name)
			}
		}
	default:
		out.Targets = pickTargets(p.Targets(s.Role), s)
	}
	return out
}

func pickTargets(names []string, s Step) []string {
	if len(names) == 0 {
		return nil
	}
	if s.Every == 0 {
		return []string{names[s.Index%len(names)]}
	}
	var out []string
	for i := s.Index % len(names); i < len(names); i += s.Every {
		out = append(out, names[i])
	}
	return out
}

// apply performs a step. It returns a function that undoes the step, or nil when
// there is nothing to undo.
func (r *scenarioRun) apply(ctx context.Context, a *AppliedStep) (undo func() error, err error) {
	s := a.Step
	switch s.Action {
	case ActKillTarget, ActFreezeTarget, ActSlowTarget, ActFalseLoad, ActLateLoad, ActCoolTarget, ActLeaveTarget, ActSilenceConnections, ActLoseAnswers, ActCutTarget:
		return r.applyToTargets(ctx, a)
	case ActPauseEntry, ActKillEntry, ActStopEntry:
		return r.applyToEntry(a)
	case ActDomainOut:
		return r.takeDomainOut(ctx, a)
	case ActCutDomain, ActCutDomainOneWay:
		r.cluster.network.domainCuts[a.Domain] = s.Action
		r.cluster.network.applyFaults()
		return func() error {
			delete(r.cluster.network.domainCuts, a.Domain)
			r.cluster.network.applyFaults()
			return nil
		}, nil
	case ActLogDown:
		return r.switchLog(ctx, standin.LogSwitches{Down: standin.DownRefuse})
	case ActLogSilent:
		return r.switchLog(ctx, standin.LogSwitches{Down: standin.DownSilent})
	case ActLogLoseAnswers:
		return r.switchLog(ctx, standin.LogSwitches{LoseAfterEffect: s.Count})
	case ActChangeConfig, ActRaceConfig:
		return nil, r.changeConfig(ctx, max(1, s.Count))
	case ActLoad:
		r.load.setFactor(s.Factor)
		return func() error { r.load.setFactor(r.scenario.loadFactor()); return nil }, nil
	case ActFlood:
		r.load.setFlood(s.Factor)
		return func() error { r.load.setFlood(1); return nil }, nil
	case ActShiftKeys:
		r.load.keyShifts.Add(1)
		return nil, nil
	}
	return nil, &RunError{Op: "step", Err: &UnknownScenarioError{Name: string(s.Action)}}
}

func (r *scenarioRun) applyToTargets(ctx context.Context, a *AppliedStep) (func() error, error) {
	var undos []func() error
	for _, name := range a.Targets {
		undo, err := r.applyToTarget(ctx, a.Step, r.cluster.targets[name])
		if err != nil {
			return nil, err
		}
		if undo != nil {
			undos = append(undos, undo)
		}
	}
	return func() error {
		for _, undo := range undos {
			if err := undo(); err != nil {
				return err
			}
		}
		return nil
	}, nil
}

func (r *scenarioRun) applyToTarget(ctx context.Context, s Step, n *targetNode) (func() error, error) {
	switch s.Action {
	case ActKillTarget:
		n.proc.kill()
		if err := n.link.proxy.RefuseConnections(true); err != nil {
			return nil, &RunError{Op: "make the proxy refuse connections", Err: err}
		}
		return func() error { return r.cluster.restartTarget(n.Name) }, nil
	case ActFreezeTarget:
		n.proc.signal(syscall.SIGSTOP)
		return func() error { n.proc.signal(syscall.SIGCONT); return nil }, nil
	case ActSlowTarget:
		return r.switchTarget(ctx, n, map[string]any{"slow_factor": s.Factor}, map[string]any{"slow_factor": 1})
	case ActFalseLoad:
		idle := provider.LoadReport{State: provider.TargetServing, Capacity: n.Slots}
		return r.switchTarget(ctx, n, map[string]any{"false_load": idle}, map[string]any{"false_load": nil})
	case ActLateLoad:
		return r.switchTarget(ctx, n, map[string]any{"load_lag_ms": s.Count}, map[string]any{"load_lag_ms": 0})
	case ActCoolTarget:
		return nil, post(ctx, "http://"+n.admin+"/admin/cool", nil)
	case ActLeaveTarget:
		host := provider.Host{Name: n.Name, Domain: n.Domain, State: provider.HostLeaving}
		if err := r.setHost(ctx, host); err != nil {
			return nil, err
		}
		return r.switchTarget(ctx, n, map[string]any{"leaving": true}, map[string]any{"leaving": false})
	case ActSilenceConnections:
		n.link.proxy.Silence()
		return nil, nil
	case ActLoseAnswers:
		n.link.loseAnswers = s.Count
		r.cluster.network.applyLinkFaults(n.link)
		n.link.loseAnswers = 0
		return nil, nil
	case ActCutTarget:
		n.link.cutFrom = n.Domain
		r.cluster.network.countCuts()
		r.cluster.network.applyLinkFaults(n.link)
		return func() error {
			n.link.cutFrom = ""
			r.cluster.network.countCuts()
			r.cluster.network.applyLinkFaults(n.link)
			return nil
		}, nil
	}
	return nil, nil
}

func (r *scenarioRun) switchTarget(ctx context.Context, n *targetNode, on, off any) (func() error, error) {
	set := func(v any) error {
		raw, err := json.Marshal(v)
		if err != nil {
			return err
		}
		return post(ctx, "http://"+n.admin+"/admin/switches", raw)
	}
	return func() error { return set(off) }, set(on)
}

func (r *scenarioRun) setHost(ctx context.Context, h provider.Host) error {
	raw, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return post(ctx, "http://"+r.cluster.hostListAddr.Admin+"/admin/host", raw)
}

func (r *scenarioRun) switchLog(ctx context.Context, s standin.LogSwitches) (func() error, error) {
	return func() error { return r.cluster.SwitchLog(ctx, standin.LogSwitches{}) }, r.cluster.SwitchLog(ctx, s)
}

func (r *scenarioRun) applyToEntry(a *AppliedStep) (func() error, error) {
	name := a.Entries[0]
	n := r.cluster.entries[name]
	switch a.Step.Action {
	case ActPauseEntry:
		n.proc.signal(syscall.SIGSTOP)
		return func() error { n.proc.signal(syscall.SIGCONT); return nil }, nil
	case ActKillEntry:
		n.proc.kill()
		r.cluster.refuseEntry(name)
	case ActStopEntry:
		n.proc.signal(syscall.SIGTERM)
		r.background.Go(func() {
			if n.proc.wait(stopTimeout) {
				r.cluster.refuseEntry(name)
			}
		})
	}
	return func() error {
		if !n.proc.wait(stopTimeout) {
			return &RunError{Op: "stop " + name, Err: &TimeoutError{What: "exit of the process"}}
		}
		return r.cluster.startEntry(name)
	}, nil
}

func (r *scenarioRun) takeDomainOut(ctx context.Context, a *AppliedStep) (func() error, error) {
	set := func(s contract.OperatorState) error {
		return r.configurer.change(ctx, contract.Item{Domain: &contract.SetState{Name: a.Domain, State: s}})
	}
	return func() error { return set(contract.StateIn) }, set(contract.StateOut)
}

// changeConfig makes the next change of the probe customer's contract. When n is
// above 1, it appends n competing changes from the same version.
func (r *scenarioRun) changeConfig(ctx context.Context, n int) error {
	item := r.cluster.cfg.Plan.probeChange(r.probe.beginChange())
	var err error
	if racer, ok := r.configurer.(*logConfigurer); ok && n > 1 {
		_, err = racer.appendCompeting(ctx, n, item)
	} else {
		err = r.configurer.change(ctx, item)
	}
	if err == nil {
		r.probe.acceptChange(boottime.Now())
	}
	return err
}
