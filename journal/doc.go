// Package journal defines the records on the platform's log and folds them
// into one State.
//
// Apply is a pure function of the state, an offset and the bytes at that
// offset: all hosts that apply the same log reach the same state. Records that
// are corrupt, of an unknown kind or of a newer format change only the state's
// offset and its count of skipped records; the Result reports them, and the
// caller counts and logs each once. The package performs no I/O. A State is not
// safe for concurrent use; publish copies made by State.Clone.
package journal
