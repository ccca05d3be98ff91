// Package entry assembles an entry host: control plane, request path, peer
// server and operator listener, each duty supervised by suture.
//
// New opens all listeners, so that a host that cannot serve fails at once.
// Serve runs until its context ends. Stop is the planned stop: it interrupts no
// request in flight as long as its context allows.
package entry
