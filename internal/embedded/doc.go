// Package embedded runs a whole system in one process on loopback: stand-ins
// for the log, the list of hosts and the targets, and one entry host in each of
// two domains. It is for trying boragelock out and for tests.
package embedded
