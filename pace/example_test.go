package pace_test

import (
	"fmt"
	"time"

	"github.com/boragelock/boragelock/pace"
)

// A target that has just started receives one request; it responds at the usual speed, and
// the limit rises. A refusal halves the limit.
func ExamplePacer() {
	x := pace.Params{Full: 6, Expected: 100 * time.Millisecond, Share: 1}
	now := time.Minute
	var p pace.Pacer
	p.Start(now, 0)
	fmt.Println(p.Limit(now, x.Full))
	for range 3 {
		p.Sent(now, &x)
		p.Ended(now, &x, pace.Good, 0)
	}
	fmt.Println(p.Limit(now, x.Full))
	p.Sent(now, &x)
	p.Ended(now, &x, pace.Shed, 0)
	fmt.Println(p.Limit(now, x.Full), p.Allows(now, &x))
	// Output:
	// 1
	// 4
	// 2 false
}
