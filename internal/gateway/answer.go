package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

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
	// unreadSince is when the host stopped reading; extendDeadline adds the time since then
	// to the deadline of the target.
	unreadSince    time.Duration
	extendDeadline func(time.Duration)
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

// Bounds of the memory of responses.
const (
	// smallResponseBytes is the size up to which responses may use the whole budget, so that
	// larger ones to slow callers leave room for them.
	smallResponseBytes = 64 << 10
	// smallResponseShare is the part of the budget that only small responses use.
	smallResponseShare = 1.0 / 4
	// readAheadShare is the part of the budget that large responses use beyond
	// maxBufferedBody, so that others still find room to be buffered whole.
	readAheadShare = 1.0 / 2
)

// memoryBudget bounds the memory of all responses buffered at the same time, or of those of
// one connection.
type memoryBudget struct {
	free  atomic.Int64 // bytes
	total int64
	// shared is the budget of which this is a connection's part, or nil.
	shared *memoryBudget
	// held is what the connection has reserved.
	held atomic.Int64
}

func newMemoryBudget(bytes int64) *memoryBudget {
	m := &memoryBudget{total: bytes}
	m.free.Store(bytes)
	return m
}

// forConnection returns a part of the budget. It may grow while it is smaller than what is
// free, so that no connection takes all: two that want all get a third each.
func (m *memoryBudget) forConnection() *memoryBudget { return &memoryBudget{shared: m} }

// tryReserve reserves n bytes, if at least keep bytes stay free, and reports whether it did.
func (m *memoryBudget) tryReserve(n, keep int64) bool {
	if m.shared != nil {
		if keep > 0 && m.held.Load()+n > m.shared.free.Load() || !m.shared.tryReserve(n, keep) {
			return false
		}
		m.held.Add(n)
		return true
	}
	if m.free.Add(-n) >= keep {
		return true
	}
	m.free.Add(n)
	return false
}

// giveBack returns n reserved bytes.
func (m *memoryBudget) giveBack(n int64) {
	if m.shared != nil {
		m.held.Add(-n)
		m.shared.giveBack(n)
		return
	}
	m.free.Add(n)
}

// whole returns the size of the budget that all connections share.
func (m *memoryBudget) whole() int64 {
	if m.shared != nil {
		return m.shared.total
	}
	return m.total
}

// short reports whether a large response finds no room.
func (m *memoryBudget) short() bool {
	return m.free.Load() < int64(smallResponseShare*float64(m.total))+maxBufferedBody
}

// reservation is the part of a budget that one response holds.
type reservation struct {
	budget *memoryBudget
	bytes  int64
}

// grow reserves n more bytes and reports whether they were free.
func (r *reservation) grow(n int64) bool {
	keep := int64(0)
	if r.bytes+n > smallResponseBytes+1 {
		keep = int64(smallResponseShare * float64(r.budget.whole()))
	}
	if !r.budget.tryReserve(n, keep) {
		return false
	}
	r.bytes += n
	return true
}

// release returns all bytes to the budget; it may be called again.
func (r *reservation) release() {
	if r.bytes > 0 {
		r.budget.giveBack(r.bytes)
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
