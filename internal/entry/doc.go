// Package entry assembles an entry host: control plane, request path, peer
// server and operator listener. Suture supervises each service.
//
// New opens all listeners, so that a host that cannot serve fails at once.
// Serve runs until its context ends. Stop is the planned stop: until its context
// ends, it interrupts no request in flight.
package entry
