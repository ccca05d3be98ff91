// Package slotpeer carries the requests for slots of package slots between hosts: JSON-RPC
// notifications on connections to the hosts' peer ports.
//
// A host keeps one connection to each coordinator that it asks. The coordinator answers
// each ask on the connection on which it came, and sends an empty answer every
// heartbeatInterval while one waits, so that a host can tell a long queue from a
// coordinator that is lost. A host that hears nothing for silenceTimeout gives up the
// connection; its requests are then placed by its own scheduler.
package slotpeer
