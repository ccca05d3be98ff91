package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/boragelock/boragelock/contract"
)

// maxShownBytes limits the part of a refused value that is shown.
const maxShownBytes = 80

// maxDepth limits the nesting of a file; the deepest field is at depth 4.
const maxDepth = 8

// InvalidError says which field is wrong.
type InvalidError struct {
	// Field is the path of the field, for example "timings.lease_ms"; empty
	// for the file as a whole.
	Field string
	// Value is the refused value as JSON, shortened.
	Value string
	// Allowed says what is allowed.
	Allowed string
}

// Error implements error.
func (e *InvalidError) Error() string {
	field := e.Field
	if field == "" {
		field = "(file)"
	}
	return fmt.Sprintf("setting %s is %s; allowed: %s", field, e.Value, e.Allowed)
}

// Parse returns the settings in a file. It fails with *InvalidError.
func Parse(data []byte) (Settings, error) {
	s := Default()
	if err := decodeFile(data, reflect.ValueOf(&s).Elem()); err != nil {
		return Settings{}, err
	}
	s.derive()
	if err := s.validate(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// ParseDeployment returns the deployment in a file. It fails with
// *InvalidError.
func ParseDeployment(data []byte) (contract.Deployment, error) {
	var d contract.Deployment
	if err := decodeFile(data, reflect.ValueOf(&d).Elem()); err != nil {
		return contract.Deployment{}, err
	}
	return d, validateDeployment("", d)
}

// IsDeployment reports whether a file holds a deployment rather than the
// settings of an entry host: it has targets or workloads at its top.
func IsDeployment(data []byte) bool {
	var top map[string]json.RawMessage
	if json.Unmarshal(data, &top) != nil {
		return false
	}
	_, targets := top["targets"]
	_, workloads := top["workloads"]
	return targets || workloads
}

func decodeFile(data []byte, into reflect.Value) error {
	var raw json.RawMessage
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&raw); err != nil {
		return &InvalidError{Value: shown(data), Allowed: "a JSON object (" + err.Error() + ")"}
	}
	if _, err := dec.Token(); err != io.EOF {
		return &InvalidError{Value: shown(data), Allowed: "one JSON object and nothing after it"}
	}
	return decode("", raw, into, 0)
}

var deploymentType = reflect.TypeFor[Deployment]()

// decode fills into from raw and names the path of the first value that does
// not fit. encoding/json alone names neither the path of an unknown field nor
// a repeated one.
func decode(path string, raw json.RawMessage, into reflect.Value, depth int) error {
	if depth > maxDepth {
		return &InvalidError{Field: path, Value: shown(raw), Allowed: fmt.Sprintf("at most %d levels", maxDepth)}
	}
	if bytes.Equal(bytes.TrimSpace(raw), []byte("null")) {
		return &InvalidError{Field: path, Value: "null", Allowed: kindName(into.Type())}
	}
	if into.Type() == deploymentType {
		return decodeDeployment(path, raw, into, depth)
	}
	switch into.Kind() {
	case reflect.Struct:
		return decodeObject(path, raw, into, depth)
	case reflect.Slice:
		return decodeArray(path, raw, into, depth)
	}
	if err := json.Unmarshal(raw, into.Addr().Interface()); err != nil {
		return &InvalidError{Field: path, Value: shownAt(path, raw), Allowed: kindName(into.Type())}
	}
	return nil
}

func decodeDeployment(path string, raw json.RawMessage, into reflect.Value, depth int) error {
	d := into.Addr().Interface().(*Deployment)
	if json.Unmarshal(raw, &d.Path) == nil {
		return nil
	}
	d.Path, d.Inline = "", &contract.Deployment{}
	return decode(path, raw, reflect.ValueOf(d.Inline).Elem(), depth)
}

func decodeObject(path string, raw json.RawMessage, into reflect.Value, depth int) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return &InvalidError{Field: path, Value: shown(raw), Allowed: "an object"}
	}
	fields := fieldsOf(into.Type())
	seen := map[string]bool{}
	for dec.More() {
		t, err := dec.Token()
		name, ok := t.(string)
		if err != nil || !ok {
			return &InvalidError{Field: path, Value: shown(raw), Allowed: "an object"}
		}
		at := join(path, name)
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return &InvalidError{Field: at, Value: shown(raw), Allowed: "JSON"}
		}
		index, known := fields[name]
		if !known {
			return &InvalidError{Field: at, Value: shown(value), Allowed: "no such field; known: " + strings.Join(names(into.Type()), ", ")}
		}
		if seen[name] {
			return &InvalidError{Field: at, Value: shown(value), Allowed: "each field once"}
		}
		seen[name] = true
		if err := decode(at, value, into.Field(index), depth+1); err != nil {
			return err
		}
	}
	return nil
}

func decodeArray(path string, raw json.RawMessage, into reflect.Value, depth int) error {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		return &InvalidError{Field: path, Value: shown(raw), Allowed: "an array"}
	}
	out := reflect.MakeSlice(into.Type(), len(items), len(items))
	for i, item := range items {
		if err := decode(fmt.Sprintf("%s[%d]", path, i), item, out.Index(i), depth+1); err != nil {
			return err
		}
	}
	into.Set(out)
	return nil
}

// fieldsOf maps JSON names to field numbers.
func fieldsOf(t reflect.Type) map[string]int {
	out := make(map[string]int, t.NumField())
	for i, name := range names(t) {
		out[name] = i
	}
	return out
}

func names(t reflect.Type) []string {
	out := make([]string, t.NumField())
	for i := range out {
		out[i], _, _ = strings.Cut(t.Field(i).Tag.Get("json"), ",")
	}
	return out
}

func kindName(t reflect.Type) string {
	if t == deploymentType {
		return "the path of a file or a deployment object"
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "an array"
	case reflect.Struct:
		return "an object"
	}
	return "a whole number"
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func shown(raw []byte) string {
	s := strings.ToValidUTF8(string(bytes.TrimSpace(raw)), "?")
	if len(s) > maxShownBytes {
		s = strings.ToValidUTF8(s[:maxShownBytes], "") + "..."
	}
	if s == "" {
		return "empty"
	}
	return s
}

// shownAt hides values of fields that hold hashes of credentials.
func shownAt(path string, raw []byte) string {
	if strings.Contains(path, "credential") {
		return "(hidden)"
	}
	return shown(raw)
}
