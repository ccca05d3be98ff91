// Package operator is the operators' interface of an entry host: an HTTP
// handler with JSON bodies, and its client.
//
// The handler reads the state in force through Control and changes it only by
// change records. A change names the configuration version that it was made
// from; when another change came first it is refused and the answer says what
// changed. A change whose outcome is not known is answered as such: it may
// still come into force, so the operator looks before repeating it.
//
// The handler has no authentication of its own: an entry host serves it with
// mutual TLS for certificates of the role operator, or on loopback only.
package operator
