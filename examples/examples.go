// Package examples holds the configurations of the two example deployments.
package examples

import (
	"embed"
	"encoding/json"
	"fmt"

	"github.com/boragelock/boragelock/contract"
)

//go:embed andaimes.json toise.json
var files embed.FS

// TokenPrefix followed by a customer's name is the example token of the customer.
// The configurations contain its SHA-256 hash.
const TokenPrefix = "example-token-"

// UnknownError reports that no example has the given name.
type UnknownError struct{ Name string }

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("no example deployment %q; known: andaimes, toise", e.Name)
}

// Load returns the example deployment with the given name, andaimes or toise. It
// fails with *UnknownError for other names.
func Load(name string) (contract.Deployment, error) {
	data, err := files.ReadFile(name + ".json")
	if err != nil {
		return contract.Deployment{}, &UnknownError{Name: name}
	}
	var d contract.Deployment
	if err := json.Unmarshal(data, &d); err != nil {
		return contract.Deployment{}, err
	}
	return d, d.Validate()
}
