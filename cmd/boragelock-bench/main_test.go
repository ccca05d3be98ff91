package main

import (
	"bytes"
	"context"
	"io"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/bench"
)

// An invalid flag that is accepted wastes a run or runs a different scenario.
func TestParse(t *testing.T) {
	Convey("wrong flags are refused with exit code 2", t, func() {
		for _, args := range [][]string{
			{"-deployment", "x"}, {"-scenario", "x"}, {"-scale", "0"}, {"-scale", "2"}, {"-duration", "1s"}, {"-break", "x"}, {"-x"},
		} {
			code, err := run(context.Background(), args, io.Discard, io.Discard)
			So(code, ShouldEqual, exitFailed)
			So(err, ShouldNotBeNil)
		}
	})
	Convey("results are a JSON array without what was not measured", t, func() {
		var out bytes.Buffer
		So(writeResults(config{jsonPath: "-"}, []bench.Result{{Policy: "boragelock"}}, &out), ShouldBeNil)
		So(out.String(), ShouldStartWith, "[")
		So(out.String(), ShouldNotContainSubstring, "churn")
	})
}
