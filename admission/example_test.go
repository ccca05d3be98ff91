package admission_test

import (
	"fmt"
	"time"

	"github.com/boragelock/boragelock/admission"
)

// A target with one slot: the first request runs, the second waits for it, and
// the third cannot meet its deadline.
func Example() {
	l, err := admission.New(admission.Config{}, admission.Limits{Slots: 1}, 0, admission.InitialState{Warm: true})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Millisecond
	first, _ := l.Arrive(now, admission.Request{ID: 1, Customer: "ana", Deadline: time.Second})
	second, _ := l.Arrive(now, admission.Request{ID: 2, Customer: "bo", Deadline: time.Second})
	late, _ := l.Arrive(now, admission.Request{ID: 3, Customer: "bo", Deadline: 5 * time.Millisecond})
	fmt.Println(first.Verdict, second.Verdict, late.Verdict, late.Reason)

	now += 10 * time.Millisecond
	for _, n := range l.Done(now, 1, admission.Sample{Latency: 10 * time.Millisecond}) {
		fmt.Println(n.ID, n.Verdict)
	}
	// Output:
	// run wait shed deadline
	// 2 run
}
