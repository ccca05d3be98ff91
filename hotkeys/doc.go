// Package hotkeys finds the most requested keys and shards in bounded memory.
//
// A Counter counts requests by shard exactly and by key with the Space-Saving
// algorithm (Metwally, Agrawal, El Abbadi, 2005): it keeps a fixed number of
// counters, and a new key takes over the lowest one together with its count.
// Apart from sampling, a key's count is never too low, and too high by at most the
// lowest count. Only a sample of the requests is counted by key, which keeps the
// cost low at high rates.
//
// Counter is safe for concurrent use. The package does no I/O and reads no clock.
package hotkeys
