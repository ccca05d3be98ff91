package contract

import (
	"fmt"
	"maps"
	"slices"
)

// Change is a set of items that are applied together. It is the body of a
// change record.
type Change struct {
	// FromVersion is the version that the change was made from.
	FromVersion int64 `json:"from_version"`
	// Operator names who made the change.
	Operator string `json:"operator"`
	Items    []Item `json:"items"`
}

// Item is one part of a change; exactly one pointer is set.
type Item struct {
	Contract  *Contract  `json:"contract,omitempty"`
	Domain    *SetState  `json:"domain,omitempty"`
	Target    *SetState  `json:"target,omitempty"`
	Host      *SetState  `json:"host,omitempty"`
	Workload  *Workload  `json:"workload,omitempty"`
	AddTarget *Target    `json:"add_target,omitempty"`
	Isolation *Isolation `json:"isolation,omitempty"`
}

// SetState sets the operator state of a domain, target or entry host.
type SetState struct {
	Name  string        `json:"name"`
	State OperatorState `json:"state"`
}

// Isolation sets Deployment.IsolatedServeMS.
type Isolation struct {
	ServeMS int64 `json:"serve_ms"`
}

// ConflictError reports that a change was not made from the version in force.
type ConflictError struct {
	FromVersion, CurrentVersion int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change was made from version %d, version %d is in force", e.FromVersion, e.CurrentVersion)
}

// InvalidError reports an invalid field of a change or deployment.
type InvalidError struct {
	// Field is the path of the field, for example "items[0].contract.weight".
	Field string
	// Value is the refused value.
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s is %q; allowed: %s", e.Field, e.Value, e.Allowed)
}

// State is the configuration at one version. Its maps are read-only once the
// state has been published.
type State struct {
	Name            string                   `json:"name"`
	Version         int64                    `json:"version"`
	IsolatedServeMS int64                    `json:"isolated_serve_ms"`
	DomainOrder     []string                 `json:"domain_order"`
	Domains         map[string]Domain        `json:"domains"`
	Workloads       map[string]Workload      `json:"workloads"`
	Targets         map[string]Target        `json:"targets"`
	Contracts       map[string]Contract      `json:"contracts"`
	HostStates      map[string]OperatorState `json:"hosts"`
}

// NewState returns the state at version 1 for a deployment. It fails with
// *InvalidError.
func NewState(d Deployment) (*State, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	s := &State{
		Name: d.Name, Version: 1, IsolatedServeMS: d.IsolatedServeMS,
		Domains: map[string]Domain{}, Workloads: map[string]Workload{},
		Targets: map[string]Target{}, Contracts: map[string]Contract{},
		HostStates: map[string]OperatorState{},
	}
	for _, x := range d.Domains {
		s.DomainOrder = append(s.DomainOrder, x.Name)
		s.Domains[x.Name] = x
	}
	for _, x := range d.Workloads {
		s.Workloads[x.Name] = x
	}
	for _, x := range d.Targets {
		s.Targets[x.Name] = x
	}
	for _, x := range d.Contracts {
		s.Contracts[x.Customer] = x
	}
	return s, nil
}

// Clone returns a copy whose maps can be modified without changing s.
func (s *State) Clone() *State {
	c := *s
	c.DomainOrder = slices.Clone(s.DomainOrder)
	c.Domains = maps.Clone(s.Domains)
	c.Workloads = maps.Clone(s.Workloads)
	c.Targets = maps.Clone(s.Targets)
	c.Contracts = maps.Clone(s.Contracts)
	c.HostStates = maps.Clone(s.HostStates)
	return &c
}

// Apply returns the state after a change; s is unchanged. It fails with
// *ConflictError or *InvalidError.
func (s *State) Apply(ch Change) (*State, error) {
	if ch.FromVersion != s.Version {
		return nil, &ConflictError{FromVersion: ch.FromVersion, CurrentVersion: s.Version}
	}
	if len(ch.Items) == 0 {
		return nil, &InvalidError{Field: "items", Value: "[]", Allowed: "at least one item"}
	}
	next := s.Clone()
	for i, item := range ch.Items {
		if err := next.applyItem(fmt.Sprintf("items[%d]", i), item); err != nil {
			return nil, err
		}
	}
	next.Version++
	return next, nil
}

func (s *State) applyItem(path string, item Item) error {
	switch {
	case item.Contract != nil:
		if err := item.Contract.validate(path+".contract", s.Workloads); err != nil {
			return err
		}
		s.Contracts[item.Contract.Customer] = *item.Contract
	case item.Domain != nil:
		d, ok := s.Domains[item.Domain.Name]
		if !ok {
			return &InvalidError{Field: path + ".domain.name", Value: item.Domain.Name, Allowed: "a known domain"}
		}
		if err := item.Domain.validate(path + ".domain"); err != nil {
			return err
		}
		d.State = item.Domain.State
		s.Domains[d.Name] = d
	case item.Target != nil:
		t, ok := s.Targets[item.Target.Name]
		if !ok {
			return &InvalidError{Field: path + ".target.name", Value: item.Target.Name, Allowed: "a known target"}
		}
		if err := item.Target.validateInOrOut(path + ".target"); err != nil {
			return err
		}
		t.State = item.Target.State
		s.Targets[t.Name] = t
	case item.Host != nil:
		if err := item.Host.validateInOrOut(path + ".host"); err != nil {
			return err
		}
		s.HostStates[item.Host.Name] = item.Host.State
	case item.Workload != nil:
		if old, ok := s.Workloads[item.Workload.Name]; ok && (old.Shards != item.Workload.Shards || old.Keyed != item.Workload.Keyed) {
			return &InvalidError{Field: path + ".workload.shards", Value: fmt.Sprint(item.Workload.Shards), Allowed: "the number of shards is fixed when the workload is created"}
		}
		if err := item.Workload.validate(path + ".workload"); err != nil {
			return err
		}
		if old, ok := s.Workloads[item.Workload.Name]; ok && old.Fencing != item.Workload.Fencing {
			return &InvalidError{Field: path + ".workload.fencing", Value: fmt.Sprint(item.Workload.Fencing), Allowed: "the value with which the workload was created"}
		}
		s.Workloads[item.Workload.Name] = *item.Workload
	case item.AddTarget != nil:
		if err := item.AddTarget.validate(path+".add_target", s.Domains, s.Workloads); err != nil {
			return err
		}
		if old, ok := s.Targets[item.AddTarget.Name]; ok && !sameInstance(old, *item.AddTarget) {
			return &InvalidError{Field: path + ".add_target.name", Value: item.AddTarget.Name, Allowed: "a new name, or the domain, workload and address of the target with this name"}
		}
		s.Targets[item.AddTarget.Name] = *item.AddTarget
	case item.Isolation != nil:
		if item.Isolation.ServeMS < -1 {
			return &InvalidError{Field: path + ".isolation.serve_ms", Value: fmt.Sprint(item.Isolation.ServeMS), Allowed: "-1 or more"}
		}
		s.IsolatedServeMS = item.Isolation.ServeMS
	default:
		return &InvalidError{Field: path, Value: "{}", Allowed: "one of contract, domain, target, host, workload, add_target, isolation"}
	}
	return nil
}

// sameInstance reports whether two entries describe the same target. A target
// with another address is another instance, which could hold a lease beside the
// first one; a target in another domain has other granters.
func sameInstance(a, b Target) bool {
	return a.Domain == b.Domain && a.Workload == b.Workload && a.Addr == b.Addr
}

// TargetInService reports whether the operator states of a target and its domain
// permit new work to be sent to it.
func (s *State) TargetInService(name string) bool {
	t, ok := s.Targets[name]
	return ok && t.State.InService() && s.Domains[t.Domain].State.InService()
}
