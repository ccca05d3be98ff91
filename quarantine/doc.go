// Package quarantine decides which requests are refused because targets end while they
// run them.
//
// A request is identified by its content, since callers repeat it with new identifiers.
// Each end of a target names the requests that it had not answered. A request under which
// several targets have ended, and which no target answers, is refused. From time to time
// one copy of it is tried on one host.
//
// The package does no I/O. All times are on the boot-time clock of the host.
package quarantine
