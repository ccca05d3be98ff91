// Package soak injects random faults into a running system with real entry hosts
// and checks the guarantees of the system meanwhile.
//
// Each run starts boragelock-gateway processes and stand-ins for the store and the
// targets, with a fault proxy in front of each stand-in. Callers keep their
// connections open until the process of a host ends. Faults come from outside the
// processes: signals, the proxies, the stand-in store and restarts of targets. They
// overlap and are derived from the seed. Two targets at a time state limits. A run checks that
//
//   - no two targets hold the same key at the same time;
//   - a non-idempotent request runs at most once, a request refused with 503 does
//     not run, and a request answered with 200 runs;
//   - no process reverts to an older desired state;
//   - a planned stop cuts off no request in flight;
//   - a target that states a limit for all hosts together gets no more requests than
//     the users' rule allows, beyond those of hosts that have just begun;
//   - no process exits unexpectedly;
//   - after the faults a target holds each key, and each host serves and has the
//     newest desired state.
package soak
