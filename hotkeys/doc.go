// Package hotkeys finds the most requested keys and shards in bounded memory.
//
// A Counter counts requests by shard exactly and by key with the Space-Saving
// algorithm (Metwally, Agrawal, El Abbadi, 2005): it keeps a fixed number of
// counters, and the least one is given to a new key together with its count.
// A key's count is never too low and is too high by at most the count of the
// least counter. Keys are sampled, so that counting costs little at high rates.
//
// Counter is safe for concurrent use. The package does no I/O and reads no clock.
package hotkeys
