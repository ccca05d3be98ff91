package slotpeer

import (
	"fmt"
	"io"
	"log"

	"github.com/sourcegraph/jsonrpc2"
)

// Code says why a connection to a coordinator ended.
type Code string

// Codes of LinkError.
const (
	CodeClosed Code = "closed"
	CodeSilent Code = "silent"
	// CodeRetired: the host at the other end no longer coordinates, and nothing was sent to
	// it for a while.
	CodeRetired Code = "retired"
)

// LinkError reports the end of a connection to a coordinator.
type LinkError struct {
	Address string
	Code    Code
}

// Error implements error.
func (e *LinkError) Error() string { return fmt.Sprintf("coordinator %s: %s", e.Address, e.Code) }

// discardLog keeps the library from logging the end of each connection; this package logs
// those that matter.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
