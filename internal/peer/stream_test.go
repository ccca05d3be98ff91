package peer

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestStreamBound(t *testing.T) {
	Convey("A message without end is given up at the bound", t, func() {
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		go func() {
			defer func() { _ = far.Close() }()
			block := strings.Repeat("x", 64<<10)
			if _, err := io.WriteString(far, `{"method":"`); err != nil {
				return
			}
			for {
				if _, err := io.WriteString(far, block); err != nil {
					return
				}
			}
		}()
		var v any
		err := NewStream(near).ReadObject(&v)
		var tooLarge *MessageTooLargeError
		So(errors.As(err, &tooLarge), ShouldBeTrue)
	})
	Convey("Messages behind each other are read, each up to the bound", t, func() {
		near, far := net.Pipe()
		go func() {
			w := NewStream(far)
			for range 3 {
				if err := w.WriteObject(strings.Repeat("y", MaxMessageBytes/2)); err != nil {
					return
				}
			}
		}()
		r := NewStream(near)
		for range 3 {
			var s string
			So(r.ReadObject(&s), ShouldBeNil)
			So(len(s), ShouldEqual, MaxMessageBytes/2)
		}
	})
}
