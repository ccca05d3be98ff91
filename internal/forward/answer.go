package forward

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/boragelock/boragelock/retry"
)

// answer is the response of a target on its way to the caller.
type answer struct {
	status int
	header http.Header
	// data is the start of the body, or all of it when rest is nil.
	data []byte
	rest io.Reader
	// length is that of the body in bytes, or -1.
	length int64
	// finish is called once, when the body was passed on or given up. whole
	// says that it was read to its end.
	finish func(whole bool)
	// load is what the home said of the target, when there is any.
	load   loadHint
	loaded bool
}

// loadHint is what a home says of a target with each response.
type loadHint struct {
	queued  int
	latency time.Duration
}

// invalidAnswer says why a response cannot be passed on.
type invalidAnswer struct{ reason string }

// Error implements error.
func (e *invalidAnswer) Error() string { return "response " + e.reason }

// framed checks that the end of the response's body can be recognized. One
// that ends with its connection looks the same when it is cut.
func framed(method string, resp *http.Response) error {
	switch {
	case resp.StatusCode < http.StatusOK:
		return &invalidAnswer{"has status " + strconv.Itoa(resp.StatusCode)}
	case method == http.MethodHead, resp.ContentLength >= 0, len(resp.TransferEncoding) > 0:
		return nil
	}
	return &invalidAnswer{"has neither length nor chunks"}
}

// streamed reports whether a response must be passed on as it arrives: its
// target may wait for more of the request, or sends events.
func streamed(resp *http.Response, c *call) bool {
	return !c.body.kept || strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// readAhead reads the response to its end, or the first bufferBytes of it.
func readAhead(method string, resp *http.Response) (data []byte, whole bool, err error) {
	if method == http.MethodHead || resp.ContentLength == 0 {
		// Reading past the end returns the connection to the pool.
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

// newAnswer takes the response of an attempt. It fails when the response is
// cut within the part that is read ahead; the attempt is finished then.
func newAnswer(c *call, resp *http.Response, a *attempt) (*answer, error) {
	if err := framed(c.method, resp); err != nil {
		_ = resp.Body.Close()
		a.finish(false)
		return nil, err
	}
	if streamed(resp, c) && c.method != http.MethodHead && resp.ContentLength != 0 {
		out := &answer{status: resp.StatusCode, header: resp.Header, rest: resp.Body, length: resp.ContentLength}
		out.finish = out.closer(resp, a)
		return out, nil
	}
	data, whole, err := readAhead(c.method, resp)
	if err != nil {
		_ = resp.Body.Close()
		err = a.reason(err)
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
	out.finish = out.closer(resp, a)
	return out, nil
}

func (*answer) closer(resp *http.Response, a *attempt) func(bool) {
	return func(whole bool) {
		_ = resp.Body.Close()
		a.finish(whole)
	}
}

// then adds a function to the end of the answer. It is called at once when all
// of the body has been read.
func (a *answer) then(f func(whole bool)) {
	if a.rest == nil {
		f(true)
		return
	}
	first := a.finish
	a.finish = func(whole bool) {
		if first != nil {
			first(whole)
		}
		f(whole)
	}
}

// discard gives the answer up.
func (a *answer) discard() {
	if a.rest != nil {
		a.finish(false)
	}
}

// relay passes the answer on. The caller must abort the connection when it
// fails, since part of the body may have been sent.
func (a *answer) relay(w http.ResponseWriter, pause time.Duration) *retry.Error {
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
		return relayed(err)
	}
	control := http.NewResponseController(w)
	_, err := w.Write(a.data)
	if err == nil {
		err = control.Flush()
	}
	if err == nil {
		err = a.copyRest(w, control, pause)
	}
	_ = control.SetWriteDeadline(time.Time{})
	a.finish(err == nil)
	return relayed(err)
}

func relayed(err error) *retry.Error {
	if err == nil {
		return nil
	}
	return newError(retry.CodeResponseLost).WithCause("response was cut", err)
}

// copyRest streams the body. Each part is flushed, since a target may send
// parts with pauses between them.
func (a *answer) copyRest(w io.Writer, control *http.ResponseController, pause time.Duration) error {
	buf := make([]byte, bufferBytes/2)
	for {
		n, err := a.rest.Read(buf)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(pause))
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
