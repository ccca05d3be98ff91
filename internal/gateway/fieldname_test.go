package gateway

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/fleet"
	"github.com/boragelock/boragelock/internal/httpmessage"
	"github.com/boragelock/boragelock/platform/standin"
)

// invalidLines are header lines whose name is no token.
var invalidLines = []string{
	"X Odd: v", "X-Odd : v", "X-Odd  : v", "Content-Length : 3", "Content Length: 3", "Transfer-Encoding : chunked",
	"Connection : close", "Trailer : X-B", standin.HeaderSignature + " : s", standin.HeaderRequestID + " : y",
	"X\tOdd: v", "X-Odd\t: v", "X\x00Odd: v", "X-Odd\x00: v", "X\x0bOdd: v", "X\rOdd: v", "X\x1bOdd: v", "X\x7fOdd: v", "X\x80Odd: v", "X(Odd): v",
}

// headWith returns the head of a signed response with the given lines.
func headWith(status, id string, lines ...string) string {
	return "HTTP/1.1 " + status + "\r\n" + signedHeader + standin.HeaderRequestID + ": " + id + "\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// Guards against a response that is taken although a line of its head cannot be read: the line
// was passed on, and a body that it frames had another end.
func TestFieldNamesOfResponses(t *testing.T) {
	for _, line := range invalidLines {
		for place, message := range map[string]func(id string) string{
			"the head of a response with a length": func(id string) string {
				return headWith(okStatus, id, line, "Content-Length: 4") + "body"
			},
			"the head of a response without a length": func(id string) string { return headWith(okStatus, id, line) + "body" },
			"the head of a refusal":                   func(id string) string { return headWith(refusedStatus, id, "Content-Length: 0", line) },
			"an informational response before it": func(id string) string {
				return "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + rawResponse(okStatus, id, signedHeader, "body")
			},
			"its trailers": func(id string) string {
				return headWith(okStatus, id, "Transfer-Encoding: chunked") + "4\r\nbody\r\n0\r\n" + line + "\r\n\r\n"
			},
		} {
			Convey("The line "+strconv.QuoteToASCII(line)+" in "+place+" ends the exchange", t, func() {
				connections := 0
				address := rawTarget(t, func(nc net.Conn, conn, _ int, r *http.Request) {
					connections = max(connections, conn+1)
					id := r.Header.Get(standin.HeaderRequestID)
					if id == "first" {
						writeString(nc, message(id))
						if strings.Contains(place, "without a length") {
							_ = nc.Close()
						}
						return
					}
					writeString(nc, rawResponse(okStatus, id, signedHeader, "own"))
				})
				p := newPool()
				res, failure := roundTrip(p, address, "first")
				So(res, ShouldBeNil)
				So(failure, ShouldNotBeNil)
				So(failure.sent, ShouldBeTrue)
				res, failure = roundTrip(p, address, "second")
				So(failure, ShouldBeNil)
				So(string(res.body), ShouldEqual, "own")
				So(connections, ShouldEqual, 2)
			})
		}
	}
	for _, line := range []string{" X-Odd: v", "\tX-Odd: v", " Content-Length: 3", "  Transfer-Encoding: chunked", " ", ": v"} {
		for place, message := range map[string]func(id string) string{
			"of a response with a length": func(id string) string {
				return headWith(okStatus, id, "Content-Length: 4", line) + "body"
			},
			"of a response without a length": func(id string) string { return headWith(okStatus, id, line) + "body" },
			"of a refusal":                   func(id string) string { return headWith(refusedStatus, id, "Content-Length: 0", line) },
			"of an informational response before it": func(id string) string {
				return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n" + line + "\r\n\r\n" + rawResponse(okStatus, id, signedHeader, "body")
			},
			"after an informational response": func(id string) string {
				return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + headWith(okStatus, id, "Content-Length: 4", line) + "body"
			},
		} {
			for _, apart := range []bool{false, true} {
				Convey(fmt.Sprintf("The line %q in the head %s, which comes byte by byte %v, ends the exchange", line, place, apart), t, func() {
					address := rawTarget(t, func(nc net.Conn, _, _ int, r *http.Request) {
						id := r.Header.Get(standin.HeaderRequestID)
						if id != "second" {
							writeString(nc, rawResponse(okStatus, id, signedHeader, "own"))
							return
						}
						text := message(id)
						for apart && text != "" {
							writeString(nc, text[:1])
							text = text[1:]
						}
						writeString(nc, text)
					})
					p := newPool()
					for _, id := range []string{"first", "second", "third"} { // the second one on the connection of the first
						res, failure := roundTrip(p, address, id)
						if id == "second" {
							So(res, ShouldBeNil)
							So(errors.As(failure, new(*httpmessage.LineStartError)), ShouldBeTrue)
							So(failure.sent, ShouldBeTrue)
							continue
						}
						So(failure, ShouldBeNil)
						So(string(res.body), ShouldEqual, "own")
					}
				})
			}
		}
	}
	Convey("Such a line is found in a response that has been read together with the one before it", t, func() {
		address := rawTarget(t, func(nc net.Conn, _, n int, r *http.Request) {
			id := r.Header.Get(standin.HeaderRequestID)
			if n == 0 {
				writeString(nc, rawResponse(okStatus, id, signedHeader, "own"))
				return
			}
			writeString(nc, rawResponse(okStatus, "first", signedHeader, "own")+headWith(okStatus, id, "Content-Length: 4", " X-Odd: v")+"body")
		})
		p := newPool()
		_, failure := roundTrip(p, address, "first")
		So(failure, ShouldBeNil)
		res, failure := roundTrip(p, address, "second") // skips the copy of the first response
		So(res, ShouldBeNil)
		So(errors.As(failure, new(*httpmessage.LineStartError)), ShouldBeTrue)
	})
	Convey("A body whose lines begin with blanks is taken", t, func() {
		const body = "a\r\n b\r\n\r\n c\r\n: d"
		address := rawTarget(t, func(nc net.Conn, _, _ int, r *http.Request) {
			writeString(nc, rawResponse(okStatus, r.Header.Get(standin.HeaderRequestID), signedHeader, body))
		})
		p := newPool()
		for _, id := range []string{"first", "second"} {
			res, failure := roundTrip(p, address, id)
			So(failure, ShouldBeNil)
			So(string(res.body), ShouldEqual, body)
		}
	})
	Convey("A large response whose trailers cannot be read is cut off", t, func() {
		big := strings.Repeat("b", 2*maxBufferedBody)
		r := newHarness(t, 0)
		r.announceTarget(fleet.Target{ID: "t", Workload: "w", Domain: "d", Slots: 2, Address: rawTarget(t, func(nc net.Conn, _, _ int, req *http.Request) {
			writeString(nc, headWith(okStatus, req.Header.Get(standin.HeaderRequestID), "Transfer-Encoding: chunked"))
			writeString(nc, fmt.Sprintf("%x\r\n%s\r\n0\r\nX-Odd : v\r\n\r\n", len(big), big))
		})})
		_, _, err := r.sendRequest("GET", "/s/x", "a", "", 1500)
		So(err, ShouldNotBeNil)
	})
	Convey("The caller of a request that may run once gets 502, that of a safe one another target's response", t, func() {
		r := newHarness(t, 0)
		var bad atomic.Int64
		for _, id := range []string{"t0", "t1"} {
			address := rawTarget(t, func(nc net.Conn, _, _ int, req *http.Request) {
				id := req.Header.Get(standin.HeaderRequestID)
				if strings.HasPrefix(req.URL.Path, "/o/") || bad.Add(1) == 1 {
					writeString(nc, headWith(okStatus, id, "X Odd: v", "Content-Length: 4")+"body")
					return
				}
				writeString(nc, rawResponse(okStatus, id, signedHeader, "own"))
			})
			r.announceTarget(fleet.Target{ID: id, Workload: "w", Domain: "d", Slots: 10, Address: address})
		}
		resp, _, err := r.sendRequest("POST", "/o/a", "order", "", 1500)
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusBadGateway)
		resp, body, err := r.sendRequest("GET", "/s/a", "safe", "", 1500)
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusOK)
		So(body, ShouldEqual, "own")
	})
	Convey("The failure names the field, without its value", t, func() {
		address := rawTarget(t, func(nc net.Conn, _, _ int, r *http.Request) {
			writeString(nc, headWith(okStatus, r.Header.Get(standin.HeaderRequestID), "X Odd: secret", "Content-Length: 0"))
		})
		_, failure := roundTrip(newPool(), address, "x")
		var invalid *httpmessage.FieldNameError
		So(errors.As(failure, &invalid), ShouldBeTrue)
		So(invalid.Name, ShouldEqual, "X Odd")
		So(failure.Error(), ShouldContainSubstring, `"X Odd"`)
		So(failure.Error(), ShouldNotContainSubstring, "secret")
	})
	Convey("Names of all characters of a token are taken", t, func() {
		const name = "X!#$%&'*+-.^_`|~09az"
		address := rawTarget(t, func(nc net.Conn, _, _ int, r *http.Request) {
			writeString(nc, headWith(okStatus, r.Header.Get(standin.HeaderRequestID), name+": v", "Content-Length: 0"))
		})
		res, failure := roundTrip(newPool(), address, "x")
		So(failure, ShouldBeNil)
		So(res.header.Get(name), ShouldEqual, "v")
	})
}
