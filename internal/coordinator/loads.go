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

// rateVariance is the variance of a key's rate in relation to the rate, in requests
// per second, for requests that come independently: that of a weighted sum of two
// exponential means.
var rateVariance = fastShare*fastShare/(2*fastWindow.Seconds()) + (1-fastShare)*(1-fastShare)/(2*slowWindow.Seconds()) +
	2*fastShare*(1-fastShare)/(fastWindow+slowWindow).Seconds()

// keyLoads holds the request rates of a workload's keys and the service times
// of its targets.
type keyLoads struct {
	fast, slow []float32
	at         time.Duration
	targets    map[string]*targetLoad
	mean       movingMean // service time of all targets in seconds
	sum        []float32  // result of rates
}

func newKeyLoads() *keyLoads {
	return &keyLoads{
		fast: make([]float32, ownership.RangeKeys), slow: make([]float32, ownership.RangeKeys),
		targets: map[string]*targetLoad{}, sum: make([]float32, ownership.RangeKeys),
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

// serviceSample is the weight of one answer in a target's mean service time.
const serviceSample = 0.1

// failurePenalty multiplies the service time of a target by 1 + penalty x the
// share of its requests that fail: a request that fails was work for nothing.
const failurePenalty = 3

// targetLoad is what all hosts saw of one target.
type targetLoad struct {
	service float64 // seconds
	failing float64 // share
}

// addServices takes what a host saw of targets.
func (l *keyLoads) addServices(targets []TargetStats) {
	for _, t := range targets {
		x := l.targets[t.ID]
		if x == nil {
			x = &targetLoad{}
			l.targets[t.ID] = x
		}
		if t.Responses > 0 {
			mean := float64(t.ServiceMS) / 1000 / float64(t.Responses)
			l.mean.add(mean, t.Responses)
			if x.service == 0 {
				x.service = l.mean.value
			}
			x.service += (1 - math.Pow(1-serviceSample, float64(t.Responses))) * (mean - x.service)
		}
		if n := t.Responses + t.Failed; n > 0 {
			share := float64(t.Failed) / float64(n)
			x.failing += (1 - math.Pow(1-serviceSample, float64(n))) * (share - x.failing)
		}
	}
}

// movingMean is an exponential mean over answers.
type movingMean struct{ value float64 }

func (m *movingMean) add(x float64, n int) {
	if m.value == 0 {
		m.value = x
	}
	const weight = 0.02
	m.value += (1 - math.Pow(1-weight, float64(n))) * (x - m.value)
}

// service returns the mean time of a request on a target in seconds, longer for
// one that fails.
func (l *keyLoads) service(id string) float64 {
	x := l.targets[id]
	switch {
	case x != nil && x.service > 0:
		return x.service * (1 + failurePenalty*x.failing)
	case l.mean.value > 0:
		return l.mean.value
	}
	return defaultService
}
