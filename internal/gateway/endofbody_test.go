package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/platform/standin"
)

// unframedHead is the head of a response whose body ends with its connection.
func unframedHead(id string) string {
	return "HTTP/1.1 " + okStatus + "\r\n" + signedHeader + standin.HeaderRequestID + ": " + id + "\r\n\r\n"
}

// resetConn is a connection that is reset while a request is written: the write reports the
// error, so that the read sees the end of the stream after the response.
type resetConn struct {
	net.Conn
	response *strings.Reader
	// ended is closed when the read has seen the end of the stream.
	ended chan struct{}
	once  sync.Once
}

func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.response.Read(p)
	if err != nil {
		c.once.Do(func() { close(c.ended) })
	}
	return n, err
}

func (c *resetConn) Write([]byte) (int, error) {
	<-c.ended
	time.Sleep(time.Millisecond)
	return 0, &net.OpError{Op: "write", Err: syscall.ECONNRESET}
}

func (*resetConn) Close() error                { return nil }
func (*resetConn) SetDeadline(time.Time) error { return nil }

// Guards against a part of a body that is taken for the whole, since a write took the error
// of the connection and the read saw the end of the stream.
func TestResetTakenByAWrite(t *testing.T) {
	Convey("A body without a length is not complete when the request's write fails", t, func() {
		for _, part := range []string{"", "part", strings.Repeat("p", 3*maxBufferedBody)} {
			nc := &resetConn{response: strings.NewReader(unframedHead("x") + part), ended: make(chan struct{})}
			o := &targetRequest{method: "POST", uri: "/", host: "h", header: http.Header{}, id: "x", timeout: time.Second, body: make([]byte, 1<<20)}
			res, failure := newTargetConn(nc).exchange(o, "t", newMemoryBudget(8<<20))
			if failure == nil && res.unread != nil {
				_, err := io.Copy(io.Discard, res.unread)
				So(err, ShouldWrap, syscall.ECONNRESET)
				continue
			}
			So(failure, ShouldNotBeNil)
			So(failure.sent, ShouldBeTrue)
			So(failure.connectionReset(), ShouldBeTrue)
		}
	})
}

// reset closes a connection with a reset.
func reset(nc net.Conn) {
	_ = nc.(*net.TCPConn).SetLinger(0) // fails on a connection that is closed already
	_ = nc.Close()
}

// uploadTo sends an upload of n bytes to a target and returns what the caller of the pool gets:
// the whole body, or an error.
func uploadTo(p *pool, address string, n int) (body []byte, err error) {
	o := &targetRequest{method: "POST", uri: "/", host: "h", header: http.Header{}, id: "x", timeout: 3 * time.Second, body: make([]byte, n)}
	o.header.Set(standin.HeaderRequestID, o.id)
	res, failure := p.roundTrip(context.Background(), o, "t", address, newMemoryBudget(16<<20))
	if failure != nil {
		return nil, failure
	}
	defer res.memory.release()
	if res.unread == nil {
		return res.body, nil
	}
	var b bytes.Buffer
	b.Write(res.body)
	ahead := startReadAhead(res)
	defer ahead.close()
	_, err = ahead.WriteTo(&b)
	return b.Bytes(), err
}

// Guards against a part of a response that the caller gets as a complete one: a target answers
// an upload at once without a length, and resets the connection while the upload is written.
func TestResetDuringAnUpload(t *testing.T) {
	const uploads = 4
	for _, part := range []int{0, 4 << 10, 1200 << 10} {
		for _, wait := range []time.Duration{0, 2 * time.Millisecond, 50 * time.Millisecond} {
			Convey(fmt.Sprintf("A response of which %d bytes came and that is reset after %v is not complete", part, wait), t, func() {
				address := rawTarget(t, func(nc net.Conn, _, _ int, r *http.Request) {
					writeString(nc, unframedHead(r.Header.Get(standin.HeaderRequestID))+strings.Repeat("p", part))
					time.Sleep(wait)
					reset(nc)
				})
				for _, size := range []int{8 << 10, 64 << 10, 8 << 20, 24 << 20} {
					for range uploads {
						_, err := uploadTo(newPool(), address, size)
						So(err, ShouldNotBeNil)
					}
				}
			})
		}
	}
	Convey("The caller of such an upload gets 502, and 503 when the target did not get it", t, func() {
		r := newHarness(t, 0)
		r.allowLargeBodies()
		var reached sync.Map
		r.announceTarget(fleet.Target{ID: "t", Workload: "w", Domain: "d", Slots: 10, Address: rawTarget(t, func(nc net.Conn, _, _ int, req *http.Request) {
			id := req.Header.Get(standin.HeaderRequestID)
			reached.Store(id, true)
			writeString(nc, unframedHead(id)+"part")
			time.Sleep(2 * time.Millisecond)
			reset(nc)
		})})
		body := strings.Repeat("u", 8<<20)
		for i := range 2 * uploads {
			id := fmt.Sprint("u", i)
			resp, _, err := r.sendRequest("POST", "/o/x", id, body, 3000)
			So(err, ShouldBeNil)
			if _, sent := reached.Load(id); sent {
				So(resp.StatusCode, ShouldEqual, http.StatusBadGateway)
			} else {
				So(resp.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
			}
		}
	})
}

// Guards against a response that is lost although its end is sure.
func TestEarlyResponseToAnUpload(t *testing.T) {
	const size = 24 << 20
	for _, status := range []string{okStatus, "413 Content Too Large", refusedStatus} {
		Convey("A response with status "+status+" and a length is complete while the upload is written", t, func() {
			address := rawTarget(t, func(nc net.Conn, _, _ int, r *http.Request) {
				writeString(nc, rawResponse(status, r.Header.Get(standin.HeaderRequestID), signedHeader, "early"))
				time.Sleep(200 * time.Millisecond) // the upload is not read
			})
			body, err := uploadTo(newPool(), address, size)
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, "early")
		})
	}
	for name, readFirst := range map[string]bool{"before": false, "after": true} {
		Convey("A response without a length, sent "+name+" the upload was read and ended in good order, is complete", t, func() {
			address := rawTarget(t, func(nc net.Conn, _, _ int, r *http.Request) {
				read := func() { _, _ = io.Copy(io.Discard, r.Body) } // the gateway sends all of it
				if readFirst {
					read()
				}
				writeString(nc, unframedHead(r.Header.Get(standin.HeaderRequestID))+"whole")
				_ = nc.(*net.TCPConn).CloseWrite() // the connection is open
				if !readFirst {
					read()
				}
			})
			body, err := uploadTo(newPool(), address, size)
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, "whole")
		})
	}
	Convey("A response without a length to a request without an upload is complete", t, func() {
		address := rawTarget(t, func(nc net.Conn, _, _ int, r *http.Request) {
			writeString(nc, unframedHead(r.Header.Get(standin.HeaderRequestID))+"whole")
			_ = nc.Close()
		})
		body, err := uploadTo(newPool(), address, 0)
		So(err, ShouldBeNil)
		So(string(body), ShouldEqual, "whole")
	})
}
