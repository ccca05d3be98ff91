package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// The benchmark starts these processes and reads their addresses from the output.
func TestRun(t *testing.T) {
	Convey("each stand-in prints its addresses, serves its switches and stops", t, func() {
		for _, args := range [][]string{{"log"}, {"hosts"}, {"target", "-config", `{"name":"t1"}`}} {
			ctx, cancel := context.WithCancel(context.Background())
			r, w := io.Pipe()
			done := make(chan error, 1)
			go func() { done <- run(ctx, args, w, io.Discard) }()
			line, err := bufio.NewReader(r).ReadBytes('\n')
			So(err, ShouldBeNil)
			var out map[string]string
			So(json.Unmarshal(line, &out), ShouldBeNil)
			resp, err := http.Get("http://" + out["admin"] + "/admin/switches")
			So(err, ShouldBeNil)
			So(resp.Body.Close(), ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 200)
			cancel()
			So(<-done, ShouldBeNil)
		}
	})
	Convey("a wrong command line is a usage error", t, func() {
		for _, args := range [][]string{{}, {"store"}, {"target"}} {
			So(run(context.Background(), args, io.Discard, io.Discard), ShouldHaveSameTypeAs, &UsageError{})
		}
	})
}
