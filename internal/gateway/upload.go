package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
)

// upload is the write of a long request, which goes on while its response is read.
type upload struct {
	done chan struct{}
	err  error // of the write; set when done is closed
}

// startUpload writes a request to a connection. It closes the connection when that fails
// before the deadline.
func startUpload(nc net.Conn, head, body []byte, memory *requestBody) *upload {
	w := &upload{done: make(chan struct{})}
	memory.hold()
	go func() {
		defer memory.drop()
		defer close(w.done)
		_, w.err = (&net.Buffers{head, body}).WriteTo(nc)
		if w.err != nil && !errors.Is(w.err, os.ErrDeadlineExceeded) {
			_ = nc.Close() // makes the read of the response fail, as the deadline does
		}
	}()
	return w
}

// wait returns the error of the write when it has ended, at the latest at the connection's
// write deadline.
func (w *upload) wait() error {
	<-w.done
	return w.err
}

// uncertainEndError says that the end of the stream does not show that a body is complete.
type uncertainEndError struct{ err error }

// Error implements error.
func (e *uncertainEndError) Error() string {
	return "body without a length ended while the request was written: " + e.err.Error()
}

// Unwrap returns the error of the write.
func (e *uncertainEndError) Unwrap() error { return e.err }

// endsWithConnection reports whether only the end of the connection ends the body of a
// response.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// closeDelimitedBody is a body that ends with its connection. The kernel reports an error of
// a connection, such as a reset, once: when a write takes it, a read sees the end of the
// stream. So the body is complete only if the whole request was written without an error.
type closeDelimitedBody struct {
	io.ReadCloser
	request *upload
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if writeErr := b.request.wait(); writeErr != nil {
			err = &uncertainEndError{writeErr}
		}
	}
	return n, err
}
