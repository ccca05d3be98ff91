// Package soak plays random faults against real entry hosts and checks the
// promises of the system while it runs.
//
// Each run starts processes of boragelock-gateway, and stand-ins of the store and
// of targets with a fault proxy before each of them. Callers keep their connections
// open until a host's process is gone. Faults come from outside the processes:
// signals, the proxies, the stand-in store, targets that start anew. They overlap,
// and follow from the seed. Checked are:
//
//   - no key is held by two targets at a time;
//   - a request that must not be repeated runs at most once, one that was refused
//     with 503 has not run, and one that was answered 200 has;
//   - no host goes back to an older desired state;
//   - no request under way is cut off by a planned stop;
//   - no process ends by itself;
//   - after the faults each key is held, each host serves, and has the newest
//     desired state.
package soak
