// Package delta encodes a value as a patch of an earlier value, its base.
//
// A patch is a zstd frame whose dictionary is the base, so that its size depends
// on what changed. The frame's checksum detects a patch of another base.
package delta

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// dictionaryID is the zstd dictionary ID that both sides use for the base.
const dictionaryID = 1

// windowBytes is how far back in bytes a patch may refer. Patches of larger values may
// repeat parts of the base.
const windowBytes = 1 << 20

// Error is a failure to make or apply a patch.
type Error struct {
	// Op is "make" or "apply".
	Op  string
	Err error
}

// Error implements error.
func (e *Error) Error() string { return "delta: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Make returns a patch that turns base into value. It fails with *Error.
func Make(base, value []byte) ([]byte, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(dictionaryID, base), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes))
	if err != nil {
		return nil, &Error{Op: "make", Err: err}
	}
	patch := enc.EncodeAll(value, nil)
	if err := enc.Close(); err != nil {
		return nil, &Error{Op: "make", Err: err}
	}
	return patch, nil
}

// Apply applies a patch to base and returns the value. It fails with *Error when the
// patch is damaged, was made from another base, or yields more than limit bytes.
func Apply(base, patch []byte, limit int) ([]byte, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(dictionaryID, base), zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(limit)))
	if err != nil {
		return nil, &Error{Op: "apply", Err: err}
	}
	defer dec.Close()
	value, err := dec.DecodeAll(patch, nil)
	if err != nil {
		return nil, &Error{Op: "apply", Err: err}
	}
	if len(value) > limit {
		return nil, &Error{Op: "apply", Err: fmt.Errorf("value has %d bytes, more than the limit of %d", len(value), limit)}
	}
	return value, nil
}
