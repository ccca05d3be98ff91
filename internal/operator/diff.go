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
	// identifies the entry.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Field is empty when the whole entry was added or removed.
	Field string `json:"field,omitempty"`
	// From and To are JSON values, empty when absent. Credential hashes are
	// shortened.
	From string `json:"from"`
	To   string `json:"to"`
}

// String formats the difference as one line.
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

// shortHashDigits is the number of digits of a shortened credential hash.
const shortHashDigits = 8

// ShortHash shortens a credential hash to a prefix for display.
func ShortHash(h string) string {
	if len(h) <= shortHashDigits {
		return h
	}
	return h[:shortHashDigits] + "..."
}

// Diff returns the differences from a to b, grouped by kind and sorted by name.
func Diff(a, b *contract.State) []Difference {
	out := diffEntry("deployment", b.Name, map[string]any{"isolated_serve_ms": a.IsolatedServeMS}, map[string]any{"isolated_serve_ms": b.IsolatedServeMS})
	out = append(out, diffMaps("domain", a.Domains, b.Domains)...)
	out = append(out, diffMaps("workload", a.Workloads, b.Workloads)...)
	out = append(out, diffMaps("target", a.Targets, b.Targets)...)
	out = append(out, diffMaps("contract", a.Contracts, b.Contracts)...)
	return append(out, diffMaps("host", hostStateEntries(a.HostStates), hostStateEntries(b.HostStates))...)
}

func hostStateEntries(hosts map[string]contract.OperatorState) map[string]contract.SetState {
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
			out = append(out, Difference{Kind: kind, Name: name, To: jsonText(jsonFields(y))})
		case !inB:
			out = append(out, Difference{Kind: kind, Name: name, From: jsonText(jsonFields(x))})
		default:
			out = append(out, diffEntry(kind, name, jsonFields(x), jsonFields(y))...)
		}
	}
	return out
}

func diffEntry(kind, name string, a, b map[string]any) []Difference {
	all := maps.Clone(a)
	maps.Copy(all, b)
	var out []Difference
	for _, f := range slices.Sorted(maps.Keys(all)) {
		from, to := fieldText(a, f), fieldText(b, f)
		if from != to {
			out = append(out, Difference{Kind: kind, Name: name, Field: f, From: from, To: to})
		}
	}
	return out
}

func fieldText(m map[string]any, f string) string {
	v, ok := m[f]
	if !ok {
		return ""
	}
	return jsonText(v)
}

// jsonFields returns the JSON fields of an entry, with shortened hashes.
func jsonFields(v any) map[string]any {
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

func jsonText(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	return string(data)
}
