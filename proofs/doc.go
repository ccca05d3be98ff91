// Package proofs contains integration tests that inject the failures which the
// system must tolerate. They run real processes with fault proxies between them
// and check the guarantees against the records of targets and callers.
//
// docs/proofs.md lists each guarantee with its tests and the state of its proof.
package proofs
