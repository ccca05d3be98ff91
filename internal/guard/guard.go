// Package guard bounds a panic to the request, message or record that caused it,
// so that one malformed input does not end the process with all work in it.
//
// # Contract
//
//   - Call returns a *PanicError when the function panics and nil otherwise; it
//     never panics itself.
//   - Each panic is counted by duty in the expvar map "panics".
//
// The caller brings its state back to order and logs the error; locks that the
// function took must be released by defer.
package guard

import (
	"expvar"
	"fmt"
	"runtime/debug"
)

// panics counts panics by duty.
var panics = expvar.NewMap("panics")

// maxStack bounds the stack that is kept of a panic, in bytes.
const maxStack = 2 << 10

// PanicError is a panic that was caught.
type PanicError struct {
	// Task names what panicked.
	Task  string
	Value any
	// Stack is the beginning of the stack, at most 2 KiB.
	Stack string
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic in %s: %v", e.Task, e.Value) }

// Call runs a function and returns its panic, if any, as *PanicError.
func Call(duty string, fn func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			panics.Add(duty, 1)
			stack := debug.Stack()
			err = &PanicError{Task: duty, Value: v, Stack: string(stack[:min(len(stack), maxStack)])}
		}
	}()
	fn()
	return nil
}

// PanicCount returns the number of panics of a duty since the start of the process.
func PanicCount(duty string) int64 {
	if n, ok := panics.Get(duty).(*expvar.Int); ok {
		return n.Value()
	}
	return 0
}
