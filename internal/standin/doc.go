// Package standin has stand-ins for the platform: an append-only log, a list
// of hosts, and targets. They serve the HTTP form of docs/platform.md and are
// used in-process as http.Handler values and as processes by
// cmd/boragelock-standin.
//
// Each stand-in has switches that make it fail in the ways that the platform
// can fail. They are set by methods in-process and by the handler that Admin
// returns, which is served on an address of its own so that it works while the
// stand-in is frozen or down.
//
// A target keeps a record of every run. The benchmark judges from these
// records. A record is written to the file before the answer is sent, so a
// process that is killed has recorded every run that it acknowledged.
//
// All exported methods are safe for concurrent use.
package standin
