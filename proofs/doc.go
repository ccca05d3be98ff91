// Package proofs holds integration tests that bring about the failures the
// system is meant for, with real processes and a fault-injecting proxy between
// them, and judge the promises by what targets and callers recorded.
//
// docs/proofs.md lists each promise with its tests and the state of its proof.
package proofs
