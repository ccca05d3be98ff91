package operator

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/boragelock/boragelock/contract"
)

// Difference is one field that differs between two configurations.
type Difference struct {
	// Kind is deployment, domain, workload, target, contract or host; Name
	// names the entry.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Field is empty when the whole entry is new or gone.
	Field string `json:"field,omitempty"`
	// From and To are JSON values; empty for an absent one. Credential hashes
	// are shortened.
	From string `json:"from"`
	To   string `json:"to"`
}

// String returns one line.
func (d Difference) String() string {
	name := d.Kind + " " + d.Name
	if d.Field != "" {
		name += " " + d.Field
	}
	return fmt.Sprintf("%s: %s -> %s", name, orNone(d.From), orNone(d.To))
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// hashShown is the number of digits of a credential hash that are shown.
const hashShown = 8

// ShortHash returns the part of a credential hash that tells it from others.
func ShortHash(h string) string {
	if len(h) <= hashShown {
		return h
	}
	return h[:hashShown] + "..."
}

// Diff returns what differs between two configurations, in order of kind and
// name.
func Diff(a, b *contract.State) []Difference {
	out := diffEntry("deployment", b.Name, map[string]any{"isolated_serve_ms": a.IsolatedServeMS}, map[string]any{"isolated_serve_ms": b.IsolatedServeMS})
	out = append(out, diffMaps("domain", a.Domains, b.Domains)...)
	out = append(out, diffMaps("workload", a.Workloads, b.Workloads)...)
	out = append(out, diffMaps("target", a.Targets, b.Targets)...)
	out = append(out, diffMaps("contract", a.Contracts, b.Contracts)...)
	return append(out, diffMaps("host", states(a.HostStates), states(b.HostStates))...)
}

func states(hosts map[string]contract.OperatorState) map[string]contract.SetState {
	out := make(map[string]contract.SetState, len(hosts))
	for name, s := range hosts {
		out[name] = contract.SetState{Name: name, State: s}
	}
	return out
}

func diffMaps[T any](kind string, a, b map[string]T) []Difference {
	names := maps.Clone(a)
	if names == nil {
		names = map[string]T{}
	}
	maps.Copy(names, b)
	var out []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		x, inA := a[name]
		y, inB := b[name]
		switch {
		case !inA:
			out = append(out, Difference{Kind: kind, Name: name, To: text(fields(y))})
		case !inB:
			out = append(out, Difference{Kind: kind, Name: name, From: text(fields(x))})
		default:
			out = append(out, diffEntry(kind, name, fields(x), fields(y))...)
		}
	}
	return out
}

func diffEntry(kind, name string, a, b map[string]any) []Difference {
	all := maps.Clone(a)
	maps.Copy(all, b)
	var out []Difference
	for _, f := range slices.Sorted(maps.Keys(all)) {
		from, to := value(a, f), value(b, f)
		if from != to {
			out = append(out, Difference{Kind: kind, Name: name, Field: f, From: from, To: to})
		}
	}
	return out
}

func value(m map[string]any, f string) string {
	v, ok := m[f]
	if !ok {
		return ""
	}
	return text(v)
}

// fields returns an entry as its JSON fields, with shortened hashes.
func fields(v any) map[string]any {
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	m := map[string]any{}
	if err := json.Unmarshal(data, &m); err != nil {
		return nil
	}
	if hashes, ok := m["credential_hashes"].([]any); ok {
		for i, h := range hashes {
			hashes[i] = ShortHash(fmt.Sprint(h))
		}
	}
	return m
}

func text(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	return string(data)
}
