package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A proxy that loses, reorders or repeats bytes would report faults that the
// router does not have.
func TestProxy(t *testing.T) {
	Convey("a proxy in front of a server", t, func() {
		var calls atomic.Int64
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			_, _ = io.Copy(w, r.Body)
		}))
		defer s.Close()
		var class atomic.Value
		class.Store("a")
		p, err := New(Options{Upstream: s.Listener.Addr().String(), Classify: func(net.Addr) string { return class.Load().(string) }})
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- p.Serve(ctx) }()
		defer func() { cancel(); <-served; So(p.Connections(), ShouldEqual, 0) }()
		client := &http.Client{Transport: &http.Transport{}, Timeout: 150 * time.Millisecond}
		defer client.CloseIdleConnections()
		body := strings.Repeat("abc", 100000)
		call := func() (string, time.Duration, error) {
			start := time.Now()
			resp, err := client.Post("http://"+p.Addr(), "text/plain", strings.NewReader(body))
			if err != nil {
				return "", time.Since(start), err
			}
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			return string(data), time.Since(start), err
		}
		Convey("carries bytes unchanged and delays each direction", func() {
			p.SetFaults("a", Faults{UpDelay: 20 * time.Millisecond, DownDelay: 30 * time.Millisecond})
			got, took, err := call()
			So(err, ShouldBeNil)
			So(got == body, ShouldBeTrue)
			So(took, ShouldBeGreaterThanOrEqualTo, 50*time.Millisecond)
			So(took, ShouldBeLessThan, 140*time.Millisecond)
		})
		Convey("holds one class and not another", func() {
			p.SetFaults("a", Faults{Cut: CutBoth})
			_, _, err := call()
			So(err, ShouldNotBeNil)
			So(calls.Load(), ShouldEqual, 0)
			class.Store("b")
			_, _, err = call()
			So(err, ShouldBeNil)
		})
		Convey("delivers held bytes when a one-way cut ends", func() {
			p.SetFaults("a", Faults{Cut: CutDown})
			time.AfterFunc(60*time.Millisecond, func() { p.SetFaults("a", Faults{}) })
			got, took, err := call()
			So(err, ShouldBeNil)
			So(got == body, ShouldBeTrue)
			So(took, ShouldBeGreaterThanOrEqualTo, 50*time.Millisecond)
		})
		Convey("resets existing and new connections", func() {
			_, _, err := call()
			So(err, ShouldBeNil)
			p.SetFaults("a", Faults{Cut: CutReset})
			_, took, err := call()
			So(err, ShouldNotBeNil)
			So(took, ShouldBeLessThan, 100*time.Millisecond)
		})
		Convey("silences existing connections while new ones work", func() {
			body = "x"
			_, _, err := call()
			So(err, ShouldBeNil)
			So(p.Silence("a"), ShouldEqual, 1)
			_, took, err := call()
			So(err, ShouldNotBeNil)
			So(took, ShouldBeGreaterThan, 100*time.Millisecond)
			_, _, err = call()
			So(err, ShouldBeNil)
		})
		Convey("loses an answer after its effect", func() {
			body = "x"
			p.SetFaults("a", Faults{LoseAnswers: 1})
			_, _, err := call()
			So(err, ShouldNotBeNil)
			So(calls.Load(), ShouldEqual, 1)
			_, _, err = call()
			So(err, ShouldBeNil)
		})
		Convey("refuses new connections until it is opened again", func() {
			for range 3 {
				So(p.RefuseConnections(true), ShouldBeNil)
				client.CloseIdleConnections()
				_, took, err := call()
				So(err, ShouldNotBeNil)
				So(took, ShouldBeLessThan, 100*time.Millisecond)
				_, err = net.Listen("tcp", p.Addr())
				So(errors.Is(err, syscall.EADDRINUSE), ShouldBeTrue) // the port stays its own
				So(p.RefuseConnections(false), ShouldBeNil)
				_, _, err = call()
				So(err, ShouldBeNil)
			}
		})
		Convey("is controlled over HTTP", func() {
			admin := httptest.NewServer(p.Admin())
			defer admin.Close()
			resp, err := http.Post(admin.URL+"/admin/faults?class=a", "application/json", strings.NewReader(`{"cut":"reset"}`))
			So(err, ShouldBeNil)
			So(resp.Body.Close(), ShouldBeNil)
			So(p.Faults("a").Cut, ShouldEqual, CutReset)
		})
	})
}
