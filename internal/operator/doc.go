// Package operator implements the operator interface of an entry host: an HTTP
// handler with JSON bodies, and its client.
//
// The handler reads the current state through Control and changes it only by
// appending change records. A change names the configuration version that it is
// based on; the handler refuses it when another change came first, and its
// response lists what changed. When the outcome of a change is unknown, the
// response says so: the change may still come into force, so the operator checks
// the configuration before repeating it.
//
// The handler does not authenticate: an entry host serves it with mutual TLS for
// certificates of the role operator, or on loopback only.
package operator
