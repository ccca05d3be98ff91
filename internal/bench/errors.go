package bench

import "fmt"

// RunError reports a failure of the bench itself, as opposed to the router under
// test.
type RunError struct {
	// Op is the operation that failed.
	Op  string
	Err error
}

// Error implements error.
func (e *RunError) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *RunError) Unwrap() error { return e.Err }

// TimeoutError reports that something did not happen in time.
type TimeoutError struct{ What string }

// Error implements error.
func (e *TimeoutError) Error() string { return "timed out waiting for: " + e.What }

// StatusError reports an HTTP response with an unexpected status.
type StatusError struct {
	URL    string
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s returned status %d: %s", e.URL, e.Status, e.Body)
}

// PortTakenError reports that a process could not bind a port that had been
// free.
type PortTakenError struct{ Detail string }

// Error implements error.
func (e *PortTakenError) Error() string { return "port is already in use: " + e.Detail }
