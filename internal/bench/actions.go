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

// stopLimit is how long a planned stop of an entry host may take.
const stopLimit = 30 * time.Second

// hit returns the targets, entry hosts and domain that a step names.
func (r *run) hit(s Step) Applied {
	out := Applied{Step: s}
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

// apply performs a step. It returns what undoes it, or nil.
func (r *run) apply(ctx context.Context, a *Applied) (undo func() error, err error) {
	s := a.Step
	switch s.Action {
	case ActKillTarget, ActFreezeTarget, ActSlowTarget, ActFalseLoad, ActLateLoad, ActCoolTarget, ActLeaveTarget, ActSilence, ActLoseAnswers, ActCutTarget:
		return r.applyToTargets(ctx, a)
	case ActPauseEntry, ActKillEntry, ActStopEntry:
		return r.applyToEntry(a)
	case ActDomainOut:
		return r.domainOut(ctx, a)
	case ActCutDomain, ActCutDomainOneWay:
		r.cluster.net.cut[a.Domain] = s.Action
		r.cluster.net.apply()
		return func() error {
			delete(r.cluster.net.cut, a.Domain)
			r.cluster.net.apply()
			return nil
		}, nil
	case ActLogDown:
		return r.switchLog(ctx, standin.LogSwitches{Down: standin.DownRefuse})
	case ActLogSilent:
		return r.switchLog(ctx, standin.LogSwitches{Down: standin.DownSilent})
	case ActLogLose:
		return r.switchLog(ctx, standin.LogSwitches{LoseAfterEffect: s.Count})
	case ActConfig, ActRace:
		return nil, r.changeConfig(ctx, max(1, s.Count))
	case ActLoad:
		r.load.setFactor(s.Factor)
		return func() error { r.load.setFactor(r.scenario.loadFactor()); return nil }, nil
	case ActFlood:
		r.load.setFlood(s.Factor)
		return func() error { r.load.setFlood(1); return nil }, nil
	case ActShiftKeys:
		r.load.shift.Add(1)
		return nil, nil
	}
	return nil, &RunError{Op: "step", Err: &UnknownScenarioError{Name: string(s.Action)}}
}

func (r *run) applyToTargets(ctx context.Context, a *Applied) (func() error, error) {
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

func (r *run) applyToTarget(ctx context.Context, s Step, n *targetNode) (func() error, error) {
	switch s.Action {
	case ActKillTarget:
		n.proc.kill()
		if err := n.link.proxy.RefuseConnections(true); err != nil {
			return nil, &RunError{Op: "refuse connections", Err: err}
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
	case ActSilence:
		n.link.proxy.Silence()
		return nil, nil
	case ActLoseAnswers:
		n.link.loseAnswers = s.Count
		r.cluster.net.applyTo(n.link)
		n.link.loseAnswers = 0
		return nil, nil
	case ActCutTarget:
		n.link.cutFrom = n.Domain
		r.cluster.net.count()
		r.cluster.net.applyTo(n.link)
		return func() error {
			n.link.cutFrom = ""
			r.cluster.net.count()
			r.cluster.net.applyTo(n.link)
			return nil
		}, nil
	}
	return nil, nil
}

func (r *run) switchTarget(ctx context.Context, n *targetNode, on, off any) (func() error, error) {
	set := func(v any) error {
		raw, err := json.Marshal(v)
		if err != nil {
			return err
		}
		return post(ctx, "http://"+n.admin+"/admin/switches", raw)
	}
	return func() error { return set(off) }, set(on)
}

func (r *run) setHost(ctx context.Context, h provider.Host) error {
	raw, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return post(ctx, "http://"+r.cluster.hostAddr.Admin+"/admin/host", raw)
}

func (r *run) switchLog(ctx context.Context, s standin.LogSwitches) (func() error, error) {
	return func() error { return r.cluster.SwitchLog(ctx, standin.LogSwitches{}) }, r.cluster.SwitchLog(ctx, s)
}

func (r *run) applyToEntry(a *Applied) (func() error, error) {
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
			if n.proc.wait(stopLimit) {
				r.cluster.refuseEntry(name)
			}
		})
	}
	return func() error {
		if !n.proc.wait(stopLimit) {
			return &RunError{Op: "stop " + name, Err: &TimeoutError{What: "end of the process"}}
		}
		return r.cluster.startEntry(name)
	}, nil
}

func (r *run) domainOut(ctx context.Context, a *Applied) (func() error, error) {
	set := func(s contract.OperatorState) error {
		return r.config.change(ctx, contract.Item{Domain: &contract.SetState{Name: a.Domain, State: s}})
	}
	return func() error { return set(contract.StateIn) }, set(contract.StateOut)
}

// changeConfig makes the next probe change, n times at once from the same
// version when n is above 1.
func (r *run) changeConfig(ctx context.Context, n int) error {
	item := r.cluster.cfg.Plan.probeChange(r.probe.begin())
	var err error
	if racer, ok := r.config.(*logConfigurer); ok && n > 1 {
		_, err = racer.race(ctx, n, item)
	} else {
		err = r.config.change(ctx, item)
	}
	if err == nil {
		r.probe.accept(boottime.Now())
	}
	return err
}
