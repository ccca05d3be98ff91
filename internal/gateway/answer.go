package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/boragelock/boragelock/platform"
)

// response is a target's response to one request.
type response struct {
	status   int
	header   http.Header
	metadata platform.ResponseMetadata
	body     []byte
	// unread is the part of a large body that has not been read, or nil. When it
	// is set, releaseConn must be called after it was read.
	unread        io.Reader
	contentLength int64 // of the whole body, -1 if the response does not declare it
	// selfDelimited says that the body ends before the connection does.
	selfDelimited bool
	releaseConn   func(complete bool)
	// memory is the part of the budget that is reserved for body.
	memory reservation
}

// discard frees the memory of a response, and its connection if unread is set.
func (res *response) discard() {
	if res.unread != nil {
		res.releaseConn(false)
	}
	res.memory.release()
}

// memoryBudget bounds the memory of all responses buffered at the same time.
type memoryBudget struct {
	free atomic.Int64 // bytes
}

func newMemoryBudget(bytes int64) *memoryBudget {
	m := &memoryBudget{}
	m.free.Store(bytes)
	return m
}

// tryReserve reserves n bytes and reports whether they were free.
func (m *memoryBudget) tryReserve(n int64) bool {
	if m.free.Add(-n) >= 0 {
		return true
	}
	m.free.Add(n)
	return false
}

// reservation is the part of a budget that one response holds.
type reservation struct {
	budget *memoryBudget
	bytes  int64
}

// grow reserves n more bytes and reports whether they were free.
func (r *reservation) grow(n int64) bool {
	if !r.budget.tryReserve(n) {
		return false
	}
	r.bytes += n
	return true
}

// release returns all bytes to the budget; it may be called again.
func (r *reservation) release() {
	if r.bytes > 0 {
		r.budget.free.Add(r.bytes)
		r.bytes = 0
	}
}

// initialBodyBuffer is the first buffer size, in bytes, for a body of unknown
// length; the size doubles from there.
const initialBodyBuffer = 4 << 10

// readResponse buffers the body up to maxBufferedBody bytes, as far as the
// budget permits. The remainder stays in unread.
func readResponse(resp *http.Response, budget *memoryBudget) (*response, error) {
	res := &response{
		status: resp.StatusCode, header: resp.Header, metadata: platform.ParseResponseHeaders(resp.StatusCode, resp.Header),
		contentLength: resp.ContentLength, memory: reservation{budget: budget},
	}
	if resp.Close {
		resp.Header.Set("Connection", "close")
	}
	res.selfDelimited = res.contentLength >= 0 || len(resp.TransferEncoding) > 0
	size := int64(initialBodyBuffer)
	if res.contentLength >= 0 {
		size = min(res.contentLength, maxBufferedBody)
	}
	for {
		// One extra byte lets the read see the end of a body that fits.
		if int64(cap(res.body)) < size+1 {
			if !res.memory.grow(size + 1 - int64(cap(res.body))) {
				res.unread = resp.Body
				return res, nil
			}
			res.body = append(make([]byte, 0, size+1), res.body...)
		}
		err := res.fill(resp.Body)
		switch {
		case errors.Is(err, io.EOF):
			return res, nil
		case err != nil:
			res.memory.release()
			return nil, err
		case size >= maxBufferedBody:
			res.unread = resp.Body
			return res, nil
		}
		size = min(2*size, maxBufferedBody)
	}
}

// fill reads until the body's buffer is full. It returns io.EOF when the body is
// complete.
func (res *response) fill(r io.Reader) error {
	for len(res.body) < cap(res.body) {
		n, err := r.Read(res.body[len(res.body):cap(res.body)])
		res.body = res.body[:len(res.body)+n]
		if err != nil {
			return err
		}
	}
	return nil
}
