package forward

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/boragelock/boragelock/retry"
)

// bufferBytes is the largest request body that is buffered so that it can be
// sent again, and the largest response that is read to its end before any of it
// is passed on. Larger ones are streamed.
const bufferBytes = 64 << 10

// body is the body of a request. A small body is buffered before the request is
// sent, so that a slow caller occupies no slot and the request can be sent
// again. A larger body is streamed and can be sent again only while no byte of
// it has been read.
type body struct {
	src      *source
	length   int64 // in bytes, or -1 if unknown
	data     []byte
	buffered bool // data holds the whole body
	prefix   []byte
	stream   *stream
}

// newBody prepares the body of r. limit is the maximum size in bytes;
// stallTimeout is the longest time that the caller may send no data.
func newBody(w http.ResponseWriter, r *http.Request, limit int64, stallTimeout time.Duration) (*body, *retry.Error) {
	b := &body{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.length, b.buffered = 0, true
		return b, nil
	}
	if r.ContentLength > limit {
		return nil, newError(retry.CodeBodyTooLarge)
	}
	b.src = &source{reader: r.Body, control: http.NewResponseController(w), remaining: limit, stallTimeout: stallTimeout}
	if b.length <= bufferBytes {
		if e := b.buffer(); e != nil || b.buffered {
			return b, e
		}
	}
	// A target may respond before it has read all of a streamed body; net/http
	// would then drop the rest of the body. Full duplex fails only for other
	// protocols.
	_ = b.src.control.EnableFullDuplex()
	return b, nil
}

func (b *body) buffer() *retry.Error {
	size := b.length
	if size < 0 {
		size = bufferBytes + 1
	}
	buf := make([]byte, size)
	n, err := io.ReadFull(b.src, buf)
	switch {
	case b.src.firstErr() != nil:
		return b.src.firstErr()
	case err == nil && b.length >= 0, err == io.EOF, err == io.ErrUnexpectedEOF && b.length < 0:
		b.data, b.buffered, b.length = buf[:n], true, int64(n)
		b.src.clearDeadline()
	case err == nil:
		b.prefix = buf[:n]
	default:
		return newError(CodeBodyCut).WithCause("read body", err)
	}
	return nil
}

// newReader returns a reader of the body for one attempt and its length, or
// false when the body can no longer be sent. The reader is nil for an empty
// body.
func (b *body) newReader() (io.ReadCloser, int64, bool) {
	if b.buffered {
		if b.length == 0 {
			return nil, 0, true
		}
		return io.NopCloser(bytes.NewReader(b.data)), b.length, true
	}
	if b.stream != nil && b.stream.revoke() {
		return nil, 0, false
	}
	var rd io.Reader = b.src
	if len(b.prefix) > 0 {
		rd = io.MultiReader(bytes.NewReader(b.prefix), b.src)
	}
	b.stream = &stream{reader: rd}
	return b.stream, b.length, true
}

// canResend reports whether newReader would succeed.
func (b *body) canResend() bool { return b.buffered || b.stream == nil || !b.stream.started() }

// callerErr returns the error of reading the body from the caller, or nil.
func (b *body) callerErr() *retry.Error {
	if b.src == nil {
		return nil
	}
	return b.src.firstErr()
}

// close prevents further reads of the caller's body; the handler calls it last.
func (b *body) close() {
	if b == nil || b.src == nil {
		return
	}
	b.src.clearDeadline()
	b.src.mu.Lock()
	defer b.src.mu.Unlock()
	b.src.closed = true
}

// stream passes the body to one attempt. net/http's Transport may continue to
// read after the attempt has failed, until revoke prevents it.
type stream struct {
	reader      io.Reader
	mu          sync.Mutex
	readStarted bool
	revoked     bool
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	s.mu.Lock()
	if s.revoked {
		s.mu.Unlock()
		return 0, errAbandoned
	}
	s.readStarted = true
	s.mu.Unlock()
	return s.reader.Read(p)
}

// Close implements io.Closer. It does nothing: the server closes the caller's
// body.
func (s *stream) Close() error { return nil }

func (s *stream) started() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readStarted
}

// revoke prevents further reads and reports whether any were made.
func (s *stream) revoke() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked = true
	return s.readStarted
}

// source reads the caller's body and enforces its size limit and stall timeout.
type source struct {
	reader       io.Reader
	control      *http.ResponseController
	remaining    int64
	stallTimeout time.Duration

	mu     sync.Mutex
	err    *retry.Error
	closed bool
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if !s.startRead() {
		return 0, errAbandoned
	}
	n, err := s.reader.Read(p)
	if s.remaining -= int64(n); s.remaining < 0 {
		return 0, s.fail(newError(retry.CodeBodyTooLarge))
	}
	switch {
	case err == nil:
	case err == io.EOF:
		s.clearDeadline()
	case isTimeout(err):
		return n, s.fail(newError(CodeBodyTimeout).WithCause("read body", err))
	default:
		return n, s.fail(newError(CodeBodyCut).WithCause("read body", err))
	}
	return n, err
}

// startRead sets the read deadline and reports whether the body may be read. It
// may not once the handler has returned: Transport may continue to read for a
// moment, and the deadline would apply to the next request on the caller's
// connection.
func (s *source) startRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.stallTimeout > 0 {
		// Not every ResponseWriter supports deadlines; those of net/http do.
		_ = s.control.SetReadDeadline(time.Now().Add(s.stallTimeout))
	}
	return true
}

// clearDeadline removes the read deadline. net/http continues to read after the
// body to detect that the caller is gone, and would take a timeout for that.
func (s *source) clearDeadline() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stallTimeout > 0 && !s.closed {
		_ = s.control.SetReadDeadline(time.Time{})
	}
}

func (s *source) fail(e *retry.Error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = e
	}
	return s.err
}

func (s *source) firstErr() *retry.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
