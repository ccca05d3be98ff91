// Package peer carries control messages between entry hosts as JSON-RPC 2.0
// over TCP, with mutual TLS where configured.
//
// A Server dispatches methods to handlers. A Client keeps one connection to
// each address. A call that times out closes its connection, so that the next
// call opens a new one. This replaces a connection that has gone silent and
// distinguishes it from a host that does not respond on a new connection either.
package peer
