package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// Bounds of the memory of request bodies.
const (
	// smallBodyBytes is the size up to which bodies have memory of their own, so that they
	// do not wait behind large ones.
	smallBodyBytes = 64 << 10
	// smallBodyShare and largeBodyShare are the parts of the process's memory for small and
	// large bodies. A body larger than its part is read when no other one is.
	smallBodyShare = 1.0 / 16
	largeBodyShare = 0.3
	// maxBodyWait is how long a request waits, unread, for memory. Its sender is blocked
	// meanwhile.
	maxBodyWait = 2 * time.Second
	// bodyRetryAfter is the time after which a caller that was refused for lack of memory
	// is told to come back.
	bodyRetryAfter = 1 * time.Second
)

// bodyMemory bounds the memory of all request bodies together.
type bodyMemory struct{ small, large bodyPool }

func newBodyMemory(memoryMB int) *bodyMemory {
	pool := func(share float64) bodyPool {
		bytes := int64(share * float64(memoryMB) * (1 << 20))
		return bodyPool{bytes: bytes, free: semaphore.NewWeighted(bytes)}
	}
	return &bodyMemory{small: pool(smallBodyShare), large: pool(largeBodyShare)}
}

// poolFor returns the pool for a body of n bytes.
func (m *bodyMemory) poolFor(n int64) *bodyPool {
	if n <= smallBodyBytes {
		return &m.small
	}
	return &m.large
}

// bodyPool is memory that is given in the order of the requests for it.
type bodyPool struct {
	bytes int64
	free  *semaphore.Weighted
}

// acquire waits for n bytes, or for all there are, and returns the function that gives
// them back. It fails with the error of the context.
func (p *bodyPool) acquire(ctx context.Context, n int64) (release func(), err error) {
	n = min(n, p.bytes)
	if err := p.free.Acquire(ctx, n); err != nil {
		return nil, err
	}
	return func() { p.free.Release(n) }, nil
}

// requestBody is the body of a caller's request. Its memory is given back when the request
// and all writes of it to targets have released it. A nil requestBody is empty.
type requestBody struct {
	data    []byte
	holders atomic.Int32
	release func()
}

func newRequestBody(release func()) *requestBody {
	b := &requestBody{release: release}
	b.holders.Store(1)
	return b
}

func (b *requestBody) bytes() []byte {
	if b == nil {
		return nil
	}
	return b.data
}

// hold keeps the memory until a further drop.
func (b *requestBody) hold() {
	if b != nil {
		b.holders.Add(1)
	}
}

// drop gives the memory back with the last holder.
func (b *requestBody) drop() {
	if b != nil && b.holders.Add(-1) == 0 {
		b.data = nil
		b.release()
	}
}

// bodyTooLargeError says that a body exceeds the limit of callers.
type bodyTooLargeError struct{}

// Error implements error.
func (*bodyTooLargeError) Error() string { return "the body exceeds the limit" }

// noMemoryError says that there was no memory for a body in time.
type noMemoryError struct{ err error }

// Error implements error.
func (e *noMemoryError) Error() string { return "no memory for the body: " + e.err.Error() }

// Unwrap returns the cause.
func (e *noMemoryError) Unwrap() error { return e.err }

// read reads a body of the declared length, or of at most limit bytes when the length is
// negative. ready is called when there is memory for it. It fails with *noMemoryError,
// *bodyTooLargeError or the error of the reader.
func (m *bodyMemory) read(ctx context.Context, r io.Reader, length, limit int64, ready func() error) (*requestBody, error) {
	if length >= 0 {
		release, err := m.wait(ctx, length)
		if err != nil {
			return nil, err
		}
		b := newRequestBody(release)
		if err = ready(); err == nil {
			b.data = make([]byte, length)
			_, err = io.ReadFull(r, b.data)
		}
		if err != nil {
			b.drop()
			return nil, err
		}
		return b, nil
	}
	return m.readGrowing(ctx, r, limit, ready)
}

func (m *bodyMemory) wait(ctx context.Context, n int64) (release func(), err error) {
	if n <= smallBodyBytes {
		// Targets that read slowly hold small bodies too; the room for large ones is left then.
		for _, p := range []*bodyPool{&m.small, &m.large} {
			if n := min(n, p.bytes); p.free.TryAcquire(n) {
				return func() { p.free.Release(n) }, nil
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, maxBodyWait)
	defer cancel()
	if release, err = m.poolFor(n).acquire(ctx, n); err != nil {
		return nil, &noMemoryError{err}
	}
	return release, nil
}

// readGrowing reads a body of unknown length, in memory that is taken as it grows. While a
// buffer is replaced by one of twice its size, both count.
func (m *bodyMemory) readGrowing(ctx context.Context, r io.Reader, limit int64, ready func() error) (*requestBody, error) {
	size := min(int64(smallBodyBytes), limit+1)
	release, err := m.wait(ctx, size)
	if err != nil {
		return nil, err
	}
	b := newRequestBody(release)
	if err := ready(); err != nil {
		b.drop()
		return nil, err
	}
	b.data = make([]byte, 0, size)
	for {
		n, err := io.ReadFull(r, b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			if int64(len(b.data)) > limit {
				err = &bodyTooLargeError{}
				break
			}
			return b, nil
		case err == nil && int64(len(b.data)) > limit:
			err = &bodyTooLargeError{}
		case err == nil:
			err = m.grow(ctx, b, min(2*size, limit+1))
			size = min(2*size, limit+1)
		}
		if err != nil {
			b.drop()
			return nil, err
		}
	}
}

// grow replaces the buffer of a body by one of size bytes.
func (m *bodyMemory) grow(ctx context.Context, b *requestBody, size int64) error {
	release, err := m.wait(ctx, size)
	if err != nil {
		return err
	}
	b.data = append(make([]byte, 0, size), b.data...)
	b.release()
	b.release = release
	return nil
}

// bodyFailure returns the response to a request whose body could not be taken, or nil when
// the connection failed.
func bodyFailure(err error) *Failure {
	switch {
	case errors.As(err, new(*noMemoryError)):
		return &Failure{Code: CodeFull, Status: http.StatusServiceUnavailable, RetryAfter: bodyRetryAfter, Err: err}
	case errors.As(err, new(*bodyTooLargeError)):
		return &Failure{Code: CodeTooLarge, Status: http.StatusRequestEntityTooLarge, Err: err}
	}
	return nil
}
