package peer

import "fmt"

// Code classifies a failed call.
type Code string

// Codes of failed calls.
const (
	// CodeRefused: the address refused the connection, so no process listens there.
	CodeRefused Code = "refused"
	// CodeUnreachable: no connection could be opened in time.
	CodeUnreachable Code = "unreachable"
	// CodeTimeout: the connection was open and no response arrived in time.
	CodeTimeout Code = "timeout"
	// CodeClosed: the connection broke during the call.
	CodeClosed Code = "closed"
	// CodeRemote: the peer responded with an error.
	CodeRemote Code = "remote"
	// CodeMalformed: the result could not be decoded.
	CodeMalformed Code = "malformed"
)

// CallError describes a failed call.
type CallError struct {
	Addr   string
	Method string
	Code   Code
	Err    error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s at %s: %s: %v", e.Method, e.Addr, e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }
