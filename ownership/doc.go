// Package ownership keeps and plans the assignment of shards and key ranges to
// targets.
//
// Keys of a workload hash to a fixed number of shards. Each shard has one
// owner at one epoch. Move, Released, Split and Merge values change the
// assignment. Every host applies them in the order of the platform's log and so
// reaches the same Table.
//
// A Move names a new owner. The owner may serve the shard only once the assignment
// is active, after a Released value confirms that the previous owner has stopped.
// The package does no I/O and reads no clock. A Table is not safe for concurrent
// use; publish copies made by Table.Clone.
//
// MakePlan proposes the moves, splits and merges that a Table needs. Compile
// turns a Table into Routes, a lookup that is safe for concurrent use.
package ownership
