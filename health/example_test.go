package health_test

import (
	"fmt"
	"time"

	"github.com/boragelock/boragelock/health"
)

// One of four targets becomes slow and should receive a tenth of its load.
func ExampleJudge() {
	judge, err := health.NewJudge(health.Config{})
	if err != nil {
		fmt.Println(err)
		return
	}
	service := map[string]time.Duration{
		"a": 10 * time.Millisecond, "b": 10 * time.Millisecond,
		"c": 100 * time.Millisecond, "d": 10 * time.Millisecond,
	}
	fmt.Println(judge.SlowTargetWeights(time.Second, service))
	fmt.Println(judge.SlowTargetWeights(2*time.Second, service))
	// Output:
	// map[]
	// map[c:0.1]
}
