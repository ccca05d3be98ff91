package bench

import "fmt"

// RunError says that a run itself failed, as opposed to the router under test.
type RunError struct {
	// Op says what was tried.
	Op  string
	Err error
}

// Error implements error.
func (e *RunError) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *RunError) Unwrap() error { return e.Err }

// TimeoutError says that something did not happen in time.
type TimeoutError struct{ What string }

// Error implements error.
func (e *TimeoutError) Error() string { return "not in time: " + e.What }

// StatusError is an HTTP answer that was not expected.
type StatusError struct {
	URL    string
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.URL, e.Status, e.Body)
}

// PortTakenError says that a process could not bind a port that had been free.
type PortTakenError struct{ Detail string }

// Error implements error.
func (e *PortTakenError) Error() string { return "port was taken: " + e.Detail }
