package guard

import (
	"errors"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCall(t *testing.T) {
	Convey("A panic becomes an error with the duty, the value and the stack, and is counted", t, func() {
		before := PanicCount("test")
		var mu sync.Mutex
		err := Call("test", func() {
			mu.Lock()
			defer mu.Unlock()
			panic("test")
		})
		var p *PanicError
		So(errors.As(err, &p), ShouldBeTrue)
		So(p.Task, ShouldEqual, "test")
		So(p.Stack, ShouldNotBeEmpty)
		So(PanicCount("test"), ShouldEqual, before+1)
		So(mu.TryLock(), ShouldBeTrue)
	})
	Convey("Without a panic there is no error", t, func() {
		So(Call("test", func() {}), ShouldBeNil)
	})
}
