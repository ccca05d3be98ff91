// Package provider defines the interfaces through which boragelock meets the
// platform it runs on: the append-only log, the list of hosts, and the targets.
//
// The package holds types and interfaces only. The HTTP form of these
// interfaces is implemented in internal/httpplatform; a user with another
// platform implements the interfaces directly.
//
// All methods take a context and must return when it ends. All errors are
// *Error values, so that a caller can tell an operation that certainly had no
// effect from one whose outcome is unknown.
package provider
