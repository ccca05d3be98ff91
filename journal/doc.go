// Package journal defines the records on the platform's log and folds them
// into one State.
//
// Apply is a pure function of the state, an offset and the bytes at that
// offset: all hosts that apply the same log reach the same state. Records that
// are corrupt, of an unknown kind or of a newer format leave the state
// unchanged except for its offset; the Result says so, and the caller counts
// and logs it once. The package does no I/O. A State is not safe for
// concurrent use; publish copies made by State.Clone.
package journal
