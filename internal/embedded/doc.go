// Package embedded runs a complete system in one process on loopback: stand-ins
// for the log, the host list and the targets, and one entry host in each of two
// domains. It is for trying out boragelock and for tests.
package embedded
