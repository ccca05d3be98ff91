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

// bufferBytes is the largest request body that is kept so that it can be sent
// again, and the largest response that is read to its end before any of it is
// passed on. Larger ones are streamed.
const bufferBytes = 64 << 10

// body is the body of a request. A small one is read before the request is
// sent, so that a slow caller occupies no slot and the request can be sent
// again. A larger one is streamed and can be sent again only while no byte of
// it has been read.
type body struct {
	src    *source
	length int64 // bytes, or -1
	whole  []byte
	kept   bool // whole holds all of the body
	prefix []byte
	stream *stream
}

// newBody prepares the body of r. limit is the largest size in bytes; pause is
// the longest time without data.
func newBody(w http.ResponseWriter, r *http.Request, limit int64, pause time.Duration) (*body, *retry.Error) {
	b := &body{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.length, b.kept = 0, true
		return b, nil
	}
	if r.ContentLength > limit {
		return nil, newError(retry.CodeBodyTooLarge)
	}
	b.src = &source{rc: r.Body, control: http.NewResponseController(w), left: limit, pause: pause}
	if b.length <= bufferBytes {
		if e := b.buffer(); e != nil || b.kept {
			return b, e
		}
	}
	// A target may answer before it has read all of a streamed body. net/http
	// would drop the rest of the body then. It fails only for other protocols.
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
	case b.src.fault() != nil:
		return b.src.fault()
	case err == nil && b.length >= 0, err == io.EOF, err == io.ErrUnexpectedEOF && b.length < 0:
		b.whole, b.kept, b.length = buf[:n], true, int64(n)
		b.src.finished()
	case err == nil:
		b.prefix = buf[:n]
	default:
		return newError(CodeBodyCut).WithCause("read body", err)
	}
	return nil
}

// next returns a reader of the body for one attempt and its length, or false
// when the body can no longer be sent. The reader is nil for an empty body.
func (b *body) next() (io.ReadCloser, int64, bool) {
	if b.kept {
		if b.length == 0 {
			return nil, 0, true
		}
		return io.NopCloser(bytes.NewReader(b.whole)), b.length, true
	}
	if b.stream != nil && b.stream.revoke() {
		return nil, 0, false
	}
	var rd io.Reader = b.src
	if len(b.prefix) > 0 {
		rd = io.MultiReader(bytes.NewReader(b.prefix), b.src)
	}
	b.stream = &stream{rd: rd}
	return b.stream, b.length, true
}

// again reports whether next would succeed.
func (b *body) again() bool { return b.kept || b.stream == nil || !b.stream.started() }

// fault returns the error of the caller's side of the body, or nil.
func (b *body) fault() *retry.Error {
	if b.src == nil {
		return nil
	}
	return b.src.fault()
}

// close ends the use of the caller's body; the handler calls it last.
func (b *body) close() {
	if b == nil || b.src == nil {
		return
	}
	b.src.finished()
	b.src.mu.Lock()
	defer b.src.mu.Unlock()
	b.src.closed = true
}

// stream passes the body to one attempt. net/http's Transport may read on
// after the attempt has failed, which revoke ends.
type stream struct {
	rd      io.Reader
	mu      sync.Mutex
	read    bool
	revoked bool
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	s.mu.Lock()
	if s.revoked {
		s.mu.Unlock()
		return 0, errSealed
	}
	s.read = true
	s.mu.Unlock()
	return s.rd.Read(p)
}

// Close implements io.Closer. The server closes the caller's body.
func (s *stream) Close() error { return nil }

func (s *stream) started() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read
}

// revoke prevents further reads and reports whether there were any.
func (s *stream) revoke() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revoked = true
	return s.read
}

// source reads the caller's body within its limits.
type source struct {
	rc      io.Reader
	control *http.ResponseController
	left    int64
	pause   time.Duration

	mu     sync.Mutex
	err    *retry.Error
	closed bool
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if !s.begin() {
		return 0, errSealed
	}
	n, err := s.rc.Read(p)
	if s.left -= int64(n); s.left < 0 {
		return 0, s.failed(newError(retry.CodeBodyTooLarge))
	}
	switch {
	case err == nil:
	case err == io.EOF:
		s.finished()
	case isTimeout(err):
		return n, s.failed(newError(CodeBodyTimeout).WithCause("read body", err))
	default:
		return n, s.failed(newError(CodeBodyCut).WithCause("read body", err))
	}
	return n, err
}

// begin sets the read deadline, unless the handler has returned. Transport may
// read on for a moment after that, and the deadline would then concern the next
// request on the caller's connection.
func (s *source) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.pause > 0 {
		// Not every ResponseWriter has deadlines; those of net/http do.
		_ = s.control.SetReadDeadline(time.Now().Add(s.pause))
	}
	return true
}

// finished lifts the read deadline. net/http goes on reading after the body to
// notice that the caller is gone, and would take a timeout for that.
func (s *source) finished() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pause > 0 && !s.closed {
		_ = s.control.SetReadDeadline(time.Time{})
	}
}

func (s *source) failed(e *retry.Error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = e
	}
	return s.err
}

func (s *source) fault() *retry.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
