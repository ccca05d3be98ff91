package httpplatform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/boragelock/boragelock/provider"
	. "github.com/smartystreets/goconvey/convey"
)

func codeOf(err error) provider.Code {
	var e *provider.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// If a lost response is reported as having no effect, the caller appends twice.
func TestOutcomeOfFailures(t *testing.T) {
	ctx := context.Background()
	serve := func(h http.HandlerFunc) (*Log, func()) {
		s := httptest.NewServer(h)
		return NewLog(s.Listener.Addr().String(), Options{}), s.Close
	}
	Convey("a refused connection has no effect", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		addr := ln.Addr().String()
		So(ln.Close(), ShouldBeNil)
		_, err = NewLog(addr, Options{}).Append(ctx, []byte("x"))
		So(codeOf(err), ShouldEqual, provider.CodeUnavailable)
	})
	Convey("an answer lost after the request was sent leaves the outcome unknown, and the request is sent once", t, func() {
		var calls atomic.Int64
		l, stop := serve(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			c, _, _ := w.(http.Hijacker).Hijack()
			c.Close()
		})
		defer stop()
		_, err := l.Append(ctx, []byte("x"))
		So(codeOf(err), ShouldEqual, provider.CodeUnknownOutcome)
		So(calls.Load(), ShouldEqual, 1)
	})
	Convey("a timeout on an open connection leaves the outcome unknown", t, func() {
		l, stop := serve(func(w http.ResponseWriter, r *http.Request) { time.Sleep(100 * time.Millisecond) })
		defer stop()
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		_, err := l.Append(short, []byte("x"))
		So(codeOf(err), ShouldEqual, provider.CodeUnknownOutcome)
	})
	Convey("a malformed answer leaves the outcome unknown, and its connection is not used again", t, func() {
		for _, status := range []string{"200 OK", "409 Conflict", "503 Service Unavailable"} {
			var conns atomic.Int64
			l, stop := serve(func(w http.ResponseWriter, r *http.Request) {
				conns.Add(1)
				c, buffered, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer c.Close()
				for { // further requests of the connection
					_, _ = c.Write([]byte("HTTP/1.1 " + status + "\r\nX-Odd : v\r\n" + provider.HeaderOutcome + ": not_run\r\nContent-Length: 2\r\n\r\n{}"))
					if _, err := http.ReadRequest(buffered.Reader); err != nil {
						return
					}
				}
			})
			defer stop()
			for range 2 {
				_, err := l.Append(ctx, []byte("x"))
				So(codeOf(err), ShouldEqual, provider.CodeUnknownOutcome)
			}
			So(conns.Load(), ShouldEqual, 2)
		}
	})
	Convey("answers map to codes", t, func() {
		for _, c := range []struct {
			status  int
			outcome string
			body    string
			want    provider.Code
		}{
			{410, "", "", provider.CodeExpired},
			{429, "not_run", "", provider.CodeRejected},
			{503, "not_run", "", provider.CodeUnavailable},
			{502, "", "", provider.CodeUnknownOutcome},
			{200, "", "{}", provider.CodeMalformed},
			{200, "", "<html>", provider.CodeMalformed},
		} {
			l, stop := serve(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(provider.HeaderOutcome, c.outcome)
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			})
			_, err := l.Append(ctx, []byte("x"))
			stop()
			So(codeOf(err), ShouldEqual, c.want)
		}
	})
}
