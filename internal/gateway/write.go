package gateway

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"

	"github.com/boragelock/boragelock/platform"
)

// writeResponse writes a response and reports whether it was written whole. last says
// that it closes the connection.
func (c *callerConn) writeResponse(r *http.Request, res *response, f *Failure, last bool) bool {
	if c.ctx.Err() != nil && res == nil {
		return false
	}
	var b bytes.Buffer
	chunked := res != nil && res.unread != nil && res.contentLength < 0 && r.ProtoAtLeast(1, 1)
	if f != nil {
		writeStatus(&b, f.Status)
		if f.RetryAfter > 0 {
			b.WriteString("Retry-After: " + strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64) + "\r\n")
		}
		b.WriteString("Content-Type: text/plain\r\nContent-Length: " + strconv.Itoa(len(f.Code)) + "\r\n")
	} else {
		writeStatus(&b, res.status)
		writeHeader(&b, res.header)
		switch {
		case chunked:
			b.WriteString("Transfer-Encoding: chunked\r\n")
		case res.unread != nil && res.contentLength < 0:
			// The end of the connection marks the end of the body (HTTP/1.0).
		case res.unread != nil:
			b.WriteString("Content-Length: " + strconv.FormatInt(res.contentLength, 10) + "\r\n")
		case res.status != http.StatusNoContent && res.status != http.StatusNotModified:
			b.WriteString("Content-Length: " + strconv.Itoa(len(res.body)) + "\r\n")
		}
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	if f != nil {
		b.WriteString(string(f.Code))
		return c.writeAll(b.Bytes()) == nil
	}
	if res.unread != nil {
		return c.streamBody(r, b.Bytes(), res, chunked)
	}
	return c.writeAll(b.Bytes(), res.body) == nil
}

// streamBody writes a response of which a part has not been read yet. If the body
// breaks off, the connection ends so that the caller notices: without the last
// chunk, short of its length, or by a reset where the end of the connection marks
// the end of the body.
func (c *callerConn) streamBody(r *http.Request, head []byte, res *response, chunked bool) bool {
	c.g.metrics.sends.Add("streamed", 1)
	ahead := startReadAhead(res)
	err := c.writeAll(head)
	if err == nil {
		var w io.WriteCloser = unchunkedWriter{callerWriter{c}}
		if chunked {
			w = httputil.NewChunkedWriter(callerWriter{c})
		}
		_, err = w.Write(res.body)
		if err == nil {
			res.body = nil
			res.memory.release()
			_, err = ahead.WriteTo(w)
		}
		if err == nil {
			err = w.Close()
		}
		if err == nil && chunked {
			err = c.writeAll([]byte("\r\n")) // no trailers
		}
	}
	ahead.close()
	res.unread = nil
	if err == nil {
		return true
	}
	c.g.metrics.sends.Add("cut", 1)
	c.g.cfg.Log.Request("response_cut", platform.ParseRequestHeaders(r.Header).ID, "status", res.status, "err", err)
	if tcp, ok := c.nc.(interface{ SetLinger(int) error }); ok {
		if err := tcp.SetLinger(0); err != nil {
			c.g.cfg.Log.Debug("linger_failed", "err", err)
		}
	}
	return false
}

// unchunkedWriter writes a body whose length or end is known from the head.
type unchunkedWriter struct{ io.Writer }

// Close implements io.Closer.
func (unchunkedWriter) Close() error { return nil }

func writeStatus(b *bytes.Buffer, status int) {
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(status))
	b.WriteString("\r\n")
}
