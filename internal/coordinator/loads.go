package coordinator

import (
	"math"
	"time"

	"github.com/boragelock/boragelock/ownership"
)

// Time constants of key rates: the fast one shows a hot run of keys within half
// a second, the slow one keeps chance from moving keys.
const (
	fastWindow = 1 * time.Second
	slowWindow = 5 * time.Second
	fastShare  = 0.7
	// negligibleRate in requests per second is dropped; without it the sums
	// become denormal numbers, which are slow.
	negligibleRate = 1e-3
)

// keyLoads holds the request rates of a workload's keys and the service times
// of its targets.
type keyLoads struct {
	fast, slow []float32
	at         time.Duration
	services   map[string]float64 // seconds
	sum        []float32          // result of rates
}

func newKeyLoads() *keyLoads {
	return &keyLoads{
		fast: make([]float32, ownership.RangeKeys), slow: make([]float32, ownership.RangeKeys),
		services: map[string]float64{}, sum: make([]float32, ownership.RangeKeys),
	}
}

// decay ages the counts to now.
func (l *keyLoads) decay(now time.Duration) {
	if l.at != 0 {
		passed := float64(now - l.at)
		fast := float32(math.Exp(-passed / float64(fastWindow)))
		slow := float32(math.Exp(-passed / float64(slowWindow)))
		for i := range l.fast {
			if l.slow[i] == 0 {
				continue
			}
			l.fast[i] *= fast
			l.slow[i] *= slow
			if l.slow[i] < negligibleRate {
				l.fast[i], l.slow[i] = 0, 0
			}
		}
	}
	l.at = now
}

func (l *keyLoads) add(keys []KeyCount) {
	for _, k := range keys {
		if k.Key >= 0 && k.Key < len(l.fast) {
			l.fast[k.Key] += float32(k.Count) / float32(fastWindow.Seconds())
			l.slow[k.Key] += float32(k.Count) / float32(slowWindow.Seconds())
		}
	}
}

// rates returns the requests per second of each key, valid until the next call.
func (l *keyLoads) rates() []float32 {
	for i := range l.sum {
		l.sum[i] = fastShare*l.fast[i] + (1-fastShare)*l.slow[i]
	}
	return l.sum
}

// rate returns the requests per second of a run of keys, rounded.
func (l *keyLoads) rate(from, to int) float64 {
	sum := 0.0
	for k := from; k <= to; k++ {
		sum += fastShare*float64(l.fast[k]) + (1-fastShare)*float64(l.slow[k])
	}
	return math.Round(sum*10) / 10
}

// service returns the mean time of a request on a target in seconds.
func (l *keyLoads) service(id string) float64 {
	if s := l.services[id]; s > 0 {
		return s
	}
	return defaultService
}
