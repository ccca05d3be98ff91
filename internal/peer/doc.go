// Package peer carries control messages between entry hosts as JSON-RPC 2.0
// over TCP, with mutual TLS where configured.
//
// A Server dispatches methods to handlers. A Client keeps one connection to
// each address. A call that times out closes its connection, so that the next
// call opens a new one: a connection that has gone silent is replaced, and is
// told apart from a host that does not answer on a new connection either.
package peer
