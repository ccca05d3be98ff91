package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/boragelock/boragelock/platform"
)

// answer is a target's answer.
type answer struct {
	status int
	header http.Header
	said   platform.Answer
	body   []byte
	// rest is the part of a large answer that has not been read, or nil. finish
	// must be called after it was read.
	rest   io.Reader
	length int64 // of the whole body, -1 when the answer does not say
	// framed answers end before their connection does.
	framed bool
	finish func(complete bool)
	// memory holds the part of the budget that body takes up.
	memory reservation
}

// discard gives up an answer that is not passed on, or that was.
func (a *answer) discard() {
	if a.rest != nil {
		a.finish(false)
	}
	a.memory.release()
}

// memoryBudget bounds the memory of all answers that are buffered at a time.
type memoryBudget struct {
	free atomic.Int64 // bytes
}

func newMemoryBudget(bytes int64) *memoryBudget {
	m := &memoryBudget{}
	m.free.Store(bytes)
	return m
}

// take takes a number of bytes and reports whether they were free.
func (m *memoryBudget) take(n int64) bool {
	if m.free.Add(-n) >= 0 {
		return true
	}
	m.free.Add(n)
	return false
}

// reservation is what one answer has taken of a budget.
type reservation struct {
	budget *memoryBudget
	bytes  int64
}

// grow takes further bytes and reports whether they were free.
func (r *reservation) grow(n int64) bool {
	if !r.budget.take(n) {
		return false
	}
	r.bytes += n
	return true
}

// release gives everything back; it may be called again.
func (r *reservation) release() {
	if r.bytes > 0 {
		r.budget.free.Add(r.bytes)
		r.bytes = 0
	}
}

// firstRead is the size in bytes with which a body of unknown length is begun;
// its buffer is doubled from there.
const firstRead = 4 << 10

// readAnswer reads the answer's body as far as it is to be buffered and the
// budget has room; what is left is rest.
func readAnswer(resp *http.Response, budget *memoryBudget) (*answer, error) {
	a := &answer{
		status: resp.StatusCode, header: resp.Header, said: platform.ReadAnswer(resp.StatusCode, resp.Header),
		length: resp.ContentLength, memory: reservation{budget: budget},
	}
	if resp.Close {
		resp.Header.Set("Connection", "close")
	}
	a.framed = a.length >= 0 || len(resp.TransferEncoding) > 0
	size := int64(firstRead)
	if a.length >= 0 {
		size = min(a.length, bufferedAnswer)
	}
	for {
		// One byte more than the size shows the end of a body that fits.
		if int64(cap(a.body)) < size+1 {
			if !a.memory.grow(size + 1 - int64(cap(a.body))) {
				a.rest = resp.Body
				return a, nil
			}
			a.body = append(make([]byte, 0, size+1), a.body...)
		}
		err := a.fill(resp.Body)
		switch {
		case errors.Is(err, io.EOF):
			return a, nil
		case err != nil:
			a.memory.release()
			return nil, err
		case size >= bufferedAnswer:
			a.rest = resp.Body
			return a, nil
		}
		size = min(2*size, bufferedAnswer)
	}
}

// fill reads until the body's buffer is full; io.EOF means that the answer is
// complete.
func (a *answer) fill(r io.Reader) error {
	for len(a.body) < cap(a.body) {
		n, err := r.Read(a.body[len(a.body):cap(a.body)])
		a.body = a.body[:len(a.body)+n]
		if err != nil {
			return err
		}
	}
	return nil
}
