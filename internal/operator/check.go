package operator

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/view"
)

//go:embed contract.schema.json
var contractSchema []byte

const schemaName = "contract.schema.json"

var compiledSchema = sync.OnceValues(func() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(contractSchema))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaName, doc); err != nil {
		return nil, err
	}
	return c.Compile(schemaName)
})

// ParseContract decodes a contract and checks it against the schema. It fails
// with *contract.InvalidError.
func ParseContract(data []byte) (contract.Contract, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return contract.Contract{}, &contract.InvalidError{Field: "contract", Value: "(not JSON)", Allowed: "a JSON object"}
	}
	schema, err := compiledSchema()
	if err != nil {
		return contract.Contract{}, err
	}
	if err := schema.Validate(doc); err != nil {
		return contract.Contract{}, firstSchemaError(err, doc)
	}
	var c contract.Contract
	if err := json.Unmarshal(data, &c); err != nil {
		return contract.Contract{}, &contract.InvalidError{Field: "contract", Value: "(not decoded)", Allowed: err.Error()}
	}
	return c, nil
}

// CheckContract validates a contract before it comes into force. It fails with
// *contract.InvalidError.
func CheckContract(c contract.Contract) error {
	if len(c.CredentialHashes) == 0 {
		return &contract.InvalidError{Field: "contract.credential_hashes", Value: "[]", Allowed: "a credential, given or generated"}
	}
	data, err := json.Marshal(c)
	if err != nil {
		return &contract.InvalidError{Field: "contract", Value: fmt.Sprint(c.RatePerSecond), Allowed: "finite numbers"}
	}
	_, err = ParseContract(data)
	return err
}

// firstSchemaError returns the first violation that the schema reports.
func firstSchemaError(err error, doc any) error {
	var ve *jsonschema.ValidationError
	if !errors.As(err, &ve) {
		return &contract.InvalidError{Field: "contract", Value: "(unchecked)", Allowed: err.Error()}
	}
	for len(ve.Causes) > 0 {
		ve = ve.Causes[0]
	}
	allowed := ve.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	field := strings.Join(append([]string{"contract"}, ve.InstanceLocation...), ".")
	if slices.Contains(ve.InstanceLocation, "credential_hashes") {
		return &contract.InvalidError{Field: field, Value: "(hidden)", Allowed: "at most two different hashes of 64 lower-case hexadecimal digits"}
	}
	v := "(object)"
	if len(ve.InstanceLocation) > 0 {
		v = jsonText(lookup(doc, ve.InstanceLocation))
	}
	return &contract.InvalidError{Field: field, Value: v, Allowed: allowed}
}

func lookup(doc any, path []string) any {
	for _, p := range path {
		switch x := doc.(type) {
		case map[string]any:
			doc = x[p]
		case []any:
			i, err := strconv.Atoi(p)
			if err != nil || i < 0 || i >= len(x) {
				return nil
			}
			doc = x[i]
		}
	}
	return doc
}

// checkSharedCredentials refuses a configuration in which two customers share a
// credential, since a credential identifies one customer.
func checkSharedCredentials(s *contract.State) error {
	owner := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(s.Contracts)) {
		for i, h := range s.Contracts[name].CredentialHashes {
			if other, used := owner[h]; used && other != name {
				return &contract.InvalidError{
					Field: fmt.Sprintf("contract %s credential_hashes[%d]", name, i), Value: ShortHash(h),
					Allowed: "a credential that no other customer uses; customer " + other + " uses this one",
				}
			}
			owner[h] = name
		}
	}
	return nil
}

// checkCapacity refuses a change that takes targets out of service when the
// remaining ones have too few slots for the load of their workload.
func checkCapacity(v *view.View, next *contract.State) *Failure {
	current := v.State.Config
	for _, workload := range slices.Sorted(maps.Keys(next.Workloads)) {
		slots, load, leaving := 0, 0, 0
		for name, t := range next.Targets {
			if t.Workload != workload || !current.TargetInService(name) {
				continue
			}
			status := v.Targets[name]
			load += status.Load.InFlight + status.Load.Queued
			switch {
			case !next.TargetInService(name):
				leaving++
			case status.Fit:
				slots += t.Slots
			}
		}
		if leaving > 0 && slots < max(load, 1) {
			return &Failure{Code: CodeRefused, Message: fmt.Sprintf(
				"workload %s: the remaining fit targets have %d slots, %d requests are running or queued; use -force to override", workload, slots, load)}
		}
	}
	return nil
}
