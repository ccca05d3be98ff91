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

// maxDisplayBytes limits how much of an invalid value an error shows.
const maxDisplayBytes = 80

// maxDepth limits the nesting of a file; the deepest field is at depth 4.
const maxDepth = 8

// InvalidError reports an invalid field.
type InvalidError struct {
	// Field is the path of the field, for example "timings.lease_ms"; empty
	// for the whole file.
	Field string
	// Value is the invalid value as JSON, shortened.
	Value string
	// Allowed describes the allowed values.
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

// Parse decodes and validates the settings in a file. It fails with
// *InvalidError.
func Parse(data []byte) (Settings, error) {
	s := Default()
	if err := decodeFile(data, reflect.ValueOf(&s).Elem()); err != nil {
		return Settings{}, err
	}
	s.setAdvertiseDefaults()
	if err := s.validate(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// ParseDeployment decodes and validates the deployment in a file. It fails with
// *InvalidError.
func ParseDeployment(data []byte) (contract.Deployment, error) {
	var d contract.Deployment
	if err := decodeFile(data, reflect.ValueOf(&d).Elem()); err != nil {
		return contract.Deployment{}, err
	}
	return d, validateDeployment("", d)
}

// IsDeployment reports whether a file holds a deployment rather than the
// settings of an entry host: it has targets or workloads at its top level.
func IsDeployment(data []byte) bool {
	var top map[string]json.RawMessage
	if json.Unmarshal(data, &top) != nil {
		return false
	}
	_, targets := top["targets"]
	_, workloads := top["workloads"]
	return targets || workloads
}

func decodeFile(data []byte, dst reflect.Value) error {
	var raw json.RawMessage
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&raw); err != nil {
		return &InvalidError{Value: displayValue(data), Allowed: "a JSON object (" + err.Error() + ")"}
	}
	if _, err := dec.Token(); err != io.EOF {
		return &InvalidError{Value: displayValue(data), Allowed: "one JSON object and nothing after it"}
	}
	return decode("", raw, dst, 0)
}

var deploymentType = reflect.TypeFor[Deployment]()

// decode decodes raw into dst and reports the path of the first invalid value.
// encoding/json does not report the path of an unknown field, and it accepts
// repeated fields.
func decode(path string, raw json.RawMessage, dst reflect.Value, depth int) error {
	if depth > maxDepth {
		return &InvalidError{Field: path, Value: displayValue(raw), Allowed: fmt.Sprintf("at most %d levels", maxDepth)}
	}
	if bytes.Equal(bytes.TrimSpace(raw), []byte("null")) {
		return &InvalidError{Field: path, Value: "null", Allowed: describeType(dst.Type())}
	}
	if dst.Type() == deploymentType {
		return decodeDeployment(path, raw, dst, depth)
	}
	switch dst.Kind() {
	case reflect.Struct:
		return decodeObject(path, raw, dst, depth)
	case reflect.Slice:
		return decodeArray(path, raw, dst, depth)
	}
	if err := json.Unmarshal(raw, dst.Addr().Interface()); err != nil {
		return &InvalidError{Field: path, Value: redactedValue(path, raw), Allowed: describeType(dst.Type())}
	}
	return nil
}

func decodeDeployment(path string, raw json.RawMessage, dst reflect.Value, depth int) error {
	d := dst.Addr().Interface().(*Deployment)
	if json.Unmarshal(raw, &d.Path) == nil {
		return nil
	}
	d.Path, d.Inline = "", &contract.Deployment{}
	return decode(path, raw, reflect.ValueOf(d.Inline).Elem(), depth)
}

func decodeObject(path string, raw json.RawMessage, dst reflect.Value, depth int) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return &InvalidError{Field: path, Value: displayValue(raw), Allowed: "an object"}
	}
	fields := fieldIndexes(dst.Type())
	seen := map[string]bool{}
	for dec.More() {
		t, err := dec.Token()
		name, ok := t.(string)
		if err != nil || !ok {
			return &InvalidError{Field: path, Value: displayValue(raw), Allowed: "an object"}
		}
		fieldPath := joinPath(path, name)
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return &InvalidError{Field: fieldPath, Value: displayValue(raw), Allowed: "JSON"}
		}
		index, known := fields[name]
		if !known {
			return &InvalidError{Field: fieldPath, Value: displayValue(value), Allowed: "no such field; known: " + strings.Join(jsonNames(dst.Type()), ", ")}
		}
		if seen[name] {
			return &InvalidError{Field: fieldPath, Value: displayValue(value), Allowed: "each field once"}
		}
		seen[name] = true
		if err := decode(fieldPath, value, dst.Field(index), depth+1); err != nil {
			return err
		}
	}
	return nil
}

func decodeArray(path string, raw json.RawMessage, dst reflect.Value, depth int) error {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		return &InvalidError{Field: path, Value: displayValue(raw), Allowed: "an array"}
	}
	out := reflect.MakeSlice(dst.Type(), len(items), len(items))
	for i, item := range items {
		if err := decode(fmt.Sprintf("%s[%d]", path, i), item, out.Index(i), depth+1); err != nil {
			return err
		}
	}
	dst.Set(out)
	return nil
}

// fieldIndexes maps JSON names to field indexes.
func fieldIndexes(t reflect.Type) map[string]int {
	out := make(map[string]int, t.NumField())
	for i, name := range jsonNames(t) {
		out[name] = i
	}
	return out
}

func jsonNames(t reflect.Type) []string {
	out := make([]string, t.NumField())
	for i := range out {
		out[i], _, _ = strings.Cut(t.Field(i).Tag.Get("json"), ",")
	}
	return out
}

func describeType(t reflect.Type) string {
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

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func displayValue(raw []byte) string {
	s := strings.ToValidUTF8(string(bytes.TrimSpace(raw)), "?")
	if len(s) > maxDisplayBytes {
		s = strings.ToValidUTF8(s[:maxDisplayBytes], "") + "..."
	}
	if s == "" {
		return "empty"
	}
	return s
}

// redactedValue hides the values of fields that hold credential hashes.
func redactedValue(path string, raw []byte) string {
	if strings.Contains(path, "credential") {
		return "(hidden)"
	}
	return displayValue(raw)
}
