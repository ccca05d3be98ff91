// Package guard bounds a panic to the request, message or record that caused it,
// so that one malformed input does not end the process with all work in it.
//
// # Contract
//
//   - Call returns a *PanicError when the function panics and nil otherwise; it
//     never panics itself.
//   - Each panic is counted by task in the expvar map "panics".
//
// The caller restores its state and logs the error. The function must release its
// locks by defer.
package guard

import (
	"expvar"
	"fmt"
	"runtime/debug"
)

// panics counts panics by task.
var panics = expvar.NewMap("panics")

// maxStack bounds the recorded part of a panic's stack, in bytes.
const maxStack = 2 << 10

// PanicError is a recovered panic.
type PanicError struct {
	// Task names the work that panicked.
	Task  string
	Value any
	// Stack is the beginning of the stack, at most 2 KiB.
	Stack string
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic in %s: %v", e.Task, e.Value) }

// Call runs a function and returns its panic, if any, as *PanicError.
func Call(task string, fn func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			panics.Add(task, 1)
			stack := debug.Stack()
			err = &PanicError{Task: task, Value: v, Stack: string(stack[:min(len(stack), maxStack)])}
		}
	}()
	fn()
	return nil
}

// PanicCount returns the number of panics of a task since the start of the process.
func PanicCount(task string) int64 {
	if n, ok := panics.Get(task).(*expvar.Int); ok {
		return n.Value()
	}
	return 0
}
