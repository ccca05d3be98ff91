package forward

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/boragelock/boragelock/retry"
)

// answer is a target's response that is being passed on to the caller.
type answer struct {
	status int
	header http.Header
	// data is the start of the body, or the whole body when rest is nil.
	data []byte
	rest io.Reader
	// length is the length of the body in bytes, or -1 if unknown.
	length int64
	// finish is called once, when the body has been passed on or discarded.
	// whole is true when the body was read to its end.
	finish func(whole bool)
	// load is the load of the target as its home reports it; valid when
	// hasLoad is set.
	load    loadHint
	hasLoad bool
}

// loadHint is the load of a target that its home reports with each response.
type loadHint struct {
	queued  int
	latency time.Duration
}

// invalidResponseError reports why a response cannot be passed on.
type invalidResponseError struct{ reason string }

// Error implements error.
func (e *invalidResponseError) Error() string { return "response " + e.reason }

// maxStatus is the highest status of a response (RFC 9110, 15).
const maxStatus = 599

// checkFraming checks that the end of the response's body can be recognized. A
// body that ends when its connection closes cannot be told from a truncated one.
func checkFraming(method string, resp *http.Response) error {
	switch {
	case resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus:
		return &invalidResponseError{"has status " + strconv.Itoa(resp.StatusCode)}
	case method == http.MethodHead, resp.ContentLength >= 0, len(resp.TransferEncoding) > 0:
		return nil
	}
	return &invalidResponseError{"has neither Content-Length nor chunked encoding"}
}

// mustStream reports whether a response must be passed on as it arrives: the
// target may wait for more of the request, or sends events.
func mustStream(resp *http.Response, c *call) bool {
	return !c.body.buffered || strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// readAhead reads the response to its end, or the first bufferBytes of it.
func readAhead(method string, resp *http.Response) (data []byte, whole bool, err error) {
	if method == http.MethodHead || resp.ContentLength == 0 {
		// Reading the end of the body returns the connection to the pool.
		_, err = resp.Body.Read(nil)
		if err == io.EOF {
			err = nil
		}
		return nil, true, err
	}
	if n := resp.ContentLength; n > 0 && n <= bufferBytes {
		data = make([]byte, n)
		_, err = io.ReadFull(resp.Body, data)
		return data, true, err
	}
	data, err = io.ReadAll(io.LimitReader(resp.Body, bufferBytes))
	return data, err == nil && len(data) < bufferBytes, err
}

// newAnswer wraps the response of an attempt. It fails, and finishes the
// attempt, when the response is truncated within the part that is read ahead.
func newAnswer(c *call, resp *http.Response, a *attempt) (*answer, error) {
	if err := checkFraming(c.method, resp); err != nil {
		_ = resp.Body.Close()
		a.finish(false)
		return nil, err
	}
	if mustStream(resp, c) && c.method != http.MethodHead && resp.ContentLength != 0 {
		out := &answer{status: resp.StatusCode, header: resp.Header, rest: resp.Body, length: resp.ContentLength}
		out.finish = out.newFinish(resp, a)
		return out, nil
	}
	data, whole, err := readAhead(c.method, resp)
	if err != nil {
		_ = resp.Body.Close()
		err = a.abortCauseOr(err)
		a.finish(false)
		return nil, err
	}
	out := &answer{status: resp.StatusCode, header: resp.Header, data: data, length: resp.ContentLength}
	if whole {
		_ = resp.Body.Close()
		a.finish(true)
		if c.method != http.MethodHead {
			out.length = int64(len(data))
		}
		return out, nil
	}
	out.rest = resp.Body
	out.finish = out.newFinish(resp, a)
	return out, nil
}

func (*answer) newFinish(resp *http.Response, a *attempt) func(bool) {
	return func(whole bool) {
		_ = resp.Body.Close()
		a.finish(whole)
	}
}

// onFinish adds a function that is called when the answer is finished, or at
// once when the whole body has been read.
func (a *answer) onFinish(f func(whole bool)) {
	if a.rest == nil {
		f(true)
		return
	}
	previous := a.finish
	a.finish = func(whole bool) {
		if previous != nil {
			previous(whole)
		}
		f(whole)
	}
}

// discard closes the answer without passing it on.
func (a *answer) discard() {
	if a.rest != nil {
		a.finish(false)
	}
}

// writeTo writes the answer to w. When it fails, the connection must be
// aborted, since part of the body may have been sent. stallTimeout limits each
// write of a streamed body.
func (a *answer) writeTo(w http.ResponseWriter, stallTimeout time.Duration) *retry.Error {
	// A response without a body must not have a length (RFC 9110, section 8.6).
	bodiless := a.status == http.StatusNoContent || a.status == http.StatusNotModified
	if a.length >= 0 && !bodiless {
		w.Header().Set("Content-Length", strconv.FormatInt(a.length, 10))
	} else if v := a.header["Content-Length"]; len(v) > 0 {
		w.Header()["Content-Length"] = v
	}
	w.WriteHeader(a.status)
	if a.rest == nil {
		if len(a.data) == 0 {
			return nil
		}
		_, err := w.Write(a.data)
		return responseLost(err)
	}
	control := http.NewResponseController(w)
	_, err := w.Write(a.data)
	if err == nil {
		err = control.Flush()
	}
	if err == nil {
		err = a.copyRest(w, control, stallTimeout)
	}
	_ = control.SetWriteDeadline(time.Time{})
	a.finish(err == nil)
	return responseLost(err)
}

func responseLost(err error) *retry.Error {
	if err == nil {
		return nil
	}
	return newError(retry.CodeResponseLost).WithCause("response was truncated", err)
}

// copyRest streams the rest of the body. It flushes each part, since a target
// may pause between parts.
func (a *answer) copyRest(w io.Writer, control *http.ResponseController, stallTimeout time.Duration) error {
	buf := make([]byte, bufferBytes/2)
	for {
		n, err := a.rest.Read(buf)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(stallTimeout))
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			if ferr := control.Flush(); ferr != nil {
				return ferr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
