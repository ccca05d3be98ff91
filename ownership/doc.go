// Package ownership holds the assignment of shards to targets.
//
// Keys of a workload hash to a fixed number of shards. Each shard has one
// owner at one epoch. The assignment changes by Move, Released, Split and
// Merge values in the order of the platform's log; every host applies the same
// values in the same order and so reaches the same Table.
//
// A Move names a new owner, which may act only once the assignment is active:
// after a Released value says that the owner before it has stopped. The
// package does no I/O, reads no clock, and a Table is not safe for concurrent
// use; publish copies made by Table.Clone.
//
// MakePlan proposes the moves, splits and merges that a Table calls for, and
// Compile turns it into Routes, a lookup that is safe for concurrent use.
package ownership
