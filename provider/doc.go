// Package provider defines the interfaces through which boragelock uses the
// platform it runs on: the append-only log, the list of hosts, and the targets.
//
// The package contains types and interfaces only. Package internal/httpplatform
// implements the interfaces over HTTP; users of another platform implement them
// directly.
//
// All methods take a context and must return when it ends. All errors are
// *Error values, so that a caller can distinguish an operation that certainly
// had no effect from one whose outcome is unknown.
package provider
