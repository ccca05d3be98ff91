package contract

import (
	"fmt"
	"maps"
	"slices"
)

// Change is a set of items that apply together. It is the body of a change
// record.
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

// SetState sets the operators' state of a domain, target or entry host.
type SetState struct {
	Name  string        `json:"name"`
	State OperatorState `json:"state"`
}

// Isolation sets Deployment.IsolatedServeMS.
type Isolation struct {
	ServeMS int64 `json:"serve_ms"`
}

// ConflictError says that a change was made from a version that is no longer
// in force.
type ConflictError struct {
	FromVersion, CurrentVersion int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change was made from version %d, version %d is in force", e.FromVersion, e.CurrentVersion)
}

// InvalidError says which field of a change or deployment is wrong.
type InvalidError struct {
	// Field is the path of the field, for example "items[0].contract.weight".
	Field string
	// Value is the refused value.
	Value string
	// Allowed says what is allowed.
	Allowed string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s is %q; allowed: %s", e.Field, e.Value, e.Allowed)
}

// State is the configuration in force at one version. Its maps must be
// treated as read-only once the state has been published.
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

// NewState returns the state at version 1 for a deployment.
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

// Clone returns a copy whose maps can be changed without changing s.
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
	for i, it := range ch.Items {
		if err := next.applyItem(fmt.Sprintf("items[%d]", i), it); err != nil {
			return nil, err
		}
	}
	next.Version++
	return next, nil
}

func (s *State) applyItem(path string, it Item) error {
	switch {
	case it.Contract != nil:
		if err := it.Contract.validate(path+".contract", s.Workloads); err != nil {
			return err
		}
		s.Contracts[it.Contract.Customer] = *it.Contract
	case it.Domain != nil:
		d, ok := s.Domains[it.Domain.Name]
		if !ok {
			return &InvalidError{Field: path + ".domain.name", Value: it.Domain.Name, Allowed: "a known domain"}
		}
		if err := it.Domain.validate(path + ".domain"); err != nil {
			return err
		}
		d.State = it.Domain.State
		s.Domains[d.Name] = d
	case it.Target != nil:
		t, ok := s.Targets[it.Target.Name]
		if !ok {
			return &InvalidError{Field: path + ".target.name", Value: it.Target.Name, Allowed: "a known target"}
		}
		if err := it.Target.validateInOut(path + ".target"); err != nil {
			return err
		}
		t.State = it.Target.State
		s.Targets[t.Name] = t
	case it.Host != nil:
		if err := it.Host.validateInOut(path + ".host"); err != nil {
			return err
		}
		s.HostStates[it.Host.Name] = it.Host.State
	case it.Workload != nil:
		if old, ok := s.Workloads[it.Workload.Name]; ok && (old.Shards != it.Workload.Shards || old.Keyed != it.Workload.Keyed) {
			return &InvalidError{Field: path + ".workload.shards", Value: fmt.Sprint(it.Workload.Shards), Allowed: "the number of shards is fixed when the workload is created"}
		}
		if err := it.Workload.validate(path + ".workload"); err != nil {
			return err
		}
		if old, ok := s.Workloads[it.Workload.Name]; ok && old.Fencing != it.Workload.Fencing {
			return &InvalidError{Field: path + ".workload.fencing", Value: fmt.Sprint(it.Workload.Fencing), Allowed: "the value with which the workload was created"}
		}
		s.Workloads[it.Workload.Name] = *it.Workload
	case it.AddTarget != nil:
		if err := it.AddTarget.validate(path+".add_target", s.Domains, s.Workloads); err != nil {
			return err
		}
		if old, ok := s.Targets[it.AddTarget.Name]; ok && !sameInstance(old, *it.AddTarget) {
			return &InvalidError{Field: path + ".add_target.name", Value: it.AddTarget.Name, Allowed: "a new name, or the domain, workload and address of the target with this name"}
		}
		s.Targets[it.AddTarget.Name] = *it.AddTarget
	case it.Isolation != nil:
		if it.Isolation.ServeMS < -1 {
			return &InvalidError{Field: path + ".isolation.serve_ms", Value: fmt.Sprint(it.Isolation.ServeMS), Allowed: "-1 or more"}
		}
		s.IsolatedServeMS = it.Isolation.ServeMS
	default:
		return &InvalidError{Field: path, Value: "{}", Allowed: "one of contract, domain, target, host, workload, add_target, isolation"}
	}
	return nil
}

// sameInstance reports whether two entries describe the same target. A target
// with another address is another instance, which could hold a lease beside
// the first one; in another domain it would have other granters.
func sameInstance(a, b Target) bool {
	return a.Domain == b.Domain && a.Workload == b.Workload && a.Addr == b.Addr
}

// TargetIn reports whether new work may be sent to a target as far as the
// operators are concerned.
func (s *State) TargetInService(name string) bool {
	t, ok := s.Targets[name]
	return ok && t.State.InService() && s.Domains[t.Domain].State.InService()
}
