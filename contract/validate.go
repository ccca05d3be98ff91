package contract

import (
	"fmt"
	"net/netip"
)

// MaxShards limits the number of shards of one workload.
const MaxShards = 1 << 17

// MaxCredentials limits the credentials of a contract: the one in use, and a
// second one during a rotation.
const MaxCredentials = 2

// Validate checks a deployment. It returns *InvalidError for the first invalid
// field.
func (d Deployment) Validate() error {
	if d.Name == "" {
		return &InvalidError{Field: "name", Value: "", Allowed: "a name"}
	}
	if d.IsolatedServeMS < -1 {
		return &InvalidError{Field: "isolated_serve_ms", Value: fmt.Sprint(d.IsolatedServeMS), Allowed: "-1 or more"}
	}
	domains, err := d.validateDomains()
	if err != nil {
		return err
	}
	workloads := map[string]Workload{}
	for i, w := range d.Workloads {
		path := fmt.Sprintf("workloads[%d]", i)
		if _, dup := workloads[w.Name]; dup {
			return &InvalidError{Field: path + ".name", Value: w.Name, Allowed: "each name once"}
		}
		if err := w.validate(path); err != nil {
			return err
		}
		workloads[w.Name] = w
	}
	seen := map[string]bool{}
	for i, t := range d.Targets {
		path := fmt.Sprintf("targets[%d]", i)
		if seen[t.Name] {
			return &InvalidError{Field: path + ".name", Value: t.Name, Allowed: "each name once"}
		}
		seen[t.Name] = true
		if err := t.validate(path, domains, workloads); err != nil {
			return err
		}
	}
	customers := map[string]bool{}
	for i, c := range d.Contracts {
		path := fmt.Sprintf("contracts[%d]", i)
		if customers[c.Customer] {
			return &InvalidError{Field: path + ".customer", Value: c.Customer, Allowed: "each customer once"}
		}
		customers[c.Customer] = true
		if err := c.validate(path, workloads); err != nil {
			return err
		}
	}
	return nil
}

func (d Deployment) validateDomains() (map[string]Domain, error) {
	if len(d.Domains) == 0 {
		return nil, &InvalidError{Field: "domains", Value: "[]", Allowed: "at least one domain"}
	}
	domains := map[string]Domain{}
	for i, x := range d.Domains {
		path := fmt.Sprintf("domains[%d].name", i)
		if _, dup := domains[x.Name]; dup || x.Name == "" {
			return nil, &InvalidError{Field: path, Value: x.Name, Allowed: "a name, each once"}
		}
		domains[x.Name] = x
	}
	return domains, nil
}

func (w Workload) validate(path string) error {
	if w.Name == "" {
		return &InvalidError{Field: path + ".name", Value: "", Allowed: "a name"}
	}
	if w.Keyed && (w.Shards < 1 || w.Shards > MaxShards) {
		return &InvalidError{Field: path + ".shards", Value: fmt.Sprint(w.Shards), Allowed: fmt.Sprintf("1 to %d", MaxShards)}
	}
	if w.MaxBodyBytes < 0 {
		return &InvalidError{Field: path + ".max_body_bytes", Value: fmt.Sprint(w.MaxBodyBytes), Allowed: "0 or more"}
	}
	if w.DeadlineMS < 0 {
		return &InvalidError{Field: path + ".deadline_ms", Value: fmt.Sprint(w.DeadlineMS), Allowed: "0 or more"}
	}
	return nil
}

func (t Target) validate(path string, domains map[string]Domain, workloads map[string]Workload) error {
	if t.Name == "" {
		return &InvalidError{Field: path + ".name", Value: "", Allowed: "a name"}
	}
	if _, ok := domains[t.Domain]; !ok {
		return &InvalidError{Field: path + ".domain", Value: t.Domain, Allowed: "a known domain"}
	}
	if _, ok := workloads[t.Workload]; !ok {
		return &InvalidError{Field: path + ".workload", Value: t.Workload, Allowed: "a known workload"}
	}
	if _, err := netip.ParseAddrPort(t.Addr); err != nil {
		return &InvalidError{Field: path + ".addr", Value: t.Addr, Allowed: "IP number and port"}
	}
	if t.Slots < 1 {
		return &InvalidError{Field: path + ".slots", Value: fmt.Sprint(t.Slots), Allowed: "1 or more"}
	}
	if t.MaxConnections < t.Slots {
		return &InvalidError{Field: path + ".connections", Value: fmt.Sprint(t.MaxConnections), Allowed: "slots or more"}
	}
	if t.ColdSlots < 0 || t.ColdSlots > t.Slots {
		return &InvalidError{Field: path + ".cold_slots", Value: fmt.Sprint(t.ColdSlots), Allowed: "0 to slots"}
	}
	if t.RampMS < 0 {
		return &InvalidError{Field: path + ".ramp_ms", Value: fmt.Sprint(t.RampMS), Allowed: "0 or more"}
	}
	return nil
}

func (c Contract) validate(path string, workloads map[string]Workload) error {
	if c.Customer == "" {
		return &InvalidError{Field: path + ".customer", Value: "", Allowed: "a name"}
	}
	if !c.Ended && len(c.CredentialHashes) == 0 {
		return &InvalidError{Field: path + ".credential_hashes", Value: "[]", Allowed: "at least one SHA-256 hash"}
	}
	if len(c.CredentialHashes) > MaxCredentials {
		return &InvalidError{Field: path + ".credential_hashes", Value: fmt.Sprintf("%d hashes", len(c.CredentialHashes)), Allowed: fmt.Sprintf("at most %d", MaxCredentials)}
	}
	for i, h := range c.CredentialHashes {
		if !isSHA256Hex(h) {
			return &InvalidError{Field: fmt.Sprintf("%s.credential_hashes[%d]", path, i), Value: "(hidden)", Allowed: "64 lower-case hexadecimal digits"}
		}
	}
	for i, w := range c.Workloads {
		if _, ok := workloads[w]; !ok {
			return &InvalidError{Field: fmt.Sprintf("%s.workloads[%d]", path, i), Value: w, Allowed: "a known workload"}
		}
	}
	positive := []struct {
		name  string
		value float64
	}{{"rate_per_second", c.RatePerSecond}, {"burst", c.Burst}, {"concurrency", float64(c.Concurrency)}, {"weight", c.Weight}}
	for _, p := range positive {
		if !(p.value > 0) {
			return &InvalidError{Field: path + "." + p.name, Value: fmt.Sprint(p.value), Allowed: "more than 0"}
		}
	}
	return nil
}

func (s SetState) validate(path string) error {
	switch s.State {
	case "", StateIn, StateOut, StateLost:
		return nil
	}
	return &InvalidError{Field: path + ".state", Value: string(s.State), Allowed: "in, out or lost"}
}

// validateInOrOut checks the state of a target or host. Only a whole domain can
// be declared lost, since the declaration releases only the leases that the
// domain's granters issued.
func (s SetState) validateInOrOut(path string) error {
	if s.Name == "" {
		return &InvalidError{Field: path + ".name", Value: "", Allowed: "a name"}
	}
	if s.State == StateLost {
		return &InvalidError{Field: path + ".state", Value: string(s.State), Allowed: "in or out"}
	}
	return s.validate(path)
}

func isSHA256Hex(h string) bool {
	if len(h) != 64 {
		return false
	}
	for _, r := range h {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') {
			return false
		}
	}
	return true
}
