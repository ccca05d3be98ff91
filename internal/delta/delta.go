// Package delta describes a value by what differs from an earlier one.
//
// A patch is a zstd frame whose dictionary is the earlier value, so that its size
// follows from what changed. The frame's checksum tells a patch of another value.
package delta

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// dictionary is the number under which both sides know the earlier value.
const dictionary = 1

// window is how far back in bytes a patch refers. Parts of larger values may be
// repeated in the patch.
const window = 1 << 20

// Error is the failure to make or apply a patch.
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
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(dictionary, base), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(window))
	if err != nil {
		return nil, &Error{Op: "make", Err: err}
	}
	patch := enc.EncodeAll(value, nil)
	if err := enc.Close(); err != nil {
		return nil, &Error{Op: "make", Err: err}
	}
	return patch, nil
}

// Apply returns the value that a patch makes from base. It fails with *Error when the
// patch is damaged, was made from another base, or makes more than limit bytes.
func Apply(base, patch []byte, limit int) ([]byte, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(dictionary, base), zstd.WithDecoderConcurrency(1),
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
		return nil, &Error{Op: "apply", Err: fmt.Errorf("%d bytes, the limit is %d", len(value), limit)}
	}
	return value, nil
}
