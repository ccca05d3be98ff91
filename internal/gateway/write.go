package gateway

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"
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
	if err := c.nc.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		return false
	}
	if f != nil {
		b.WriteString(string(f.Code))
		_, err := c.nc.Write(b.Bytes())
		return err == nil
	}
	if res.unread != nil {
		return c.streamBody(b.Bytes(), res, chunked)
	}
	_, err := (&net.Buffers{b.Bytes(), res.body}).WriteTo(c.nc)
	return err == nil
}

// streamBody writes a response of which a part has not been read yet. If the body
// breaks off, the connection ends so that the caller notices: without the last
// chunk, short of its length, or by a reset where the end of the connection marks
// the end of the body.
func (c *callerConn) streamBody(head []byte, res *response, chunked bool) bool {
	_, err := c.nc.Write(head)
	if err == nil {
		var w io.WriteCloser = unchunkedWriter{c.nc}
		if chunked {
			w = httputil.NewChunkedWriter(c.nc)
		}
		_, err = w.Write(res.body)
		if err == nil {
			_, err = io.Copy(w, res.unread)
		}
		if err == nil {
			err = w.Close()
		}
		if err == nil && chunked {
			_, err = io.WriteString(c.nc, "\r\n") // no trailers
		}
	}
	res.releaseConn(err == nil)
	res.unread = nil
	if err == nil {
		return true
	}
	c.g.metrics.sends.Add("cut", 1)
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
