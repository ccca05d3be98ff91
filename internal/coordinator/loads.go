package coordinator

import (
	"math"
	"time"

	"github.com/boragelock/boragelock/ownership"
)

// Time constants of key rates: the fast one shows a hot key range within half a
// second, the slow one keeps random fluctuations from moving keys.
const (
	fastWindow = 1 * time.Second
	slowWindow = 5 * time.Second
	fastWeight = 0.7
	// negligibleRate in requests per second is rounded down to zero; otherwise the
	// rates decay to denormal numbers, which are slow to compute with.
	negligibleRate = 1e-3
)

// rateVariance is the ratio of the variance of a key's estimated rate to the rate, in
// requests per second, for requests that arrive independently. The estimate is a
// weighted sum of two exponential means.
var rateVariance = fastWeight*fastWeight/(2*fastWindow.Seconds()) + (1-fastWeight)*(1-fastWeight)/(2*slowWindow.Seconds()) +
	2*fastWeight*(1-fastWeight)/(fastWindow+slowWindow).Seconds()

// keyLoads holds the request rates of a workload's keys and the service times
// of its targets.
type keyLoads struct {
	fast, slow  []float32
	decayedAt   time.Duration
	targets     map[string]*targetLoad
	meanService movingMean // service time of all targets in seconds
	rateBuffer  []float32  // result of rates
}

func newKeyLoads() *keyLoads {
	return &keyLoads{
		fast: make([]float32, ownership.RangeKeys), slow: make([]float32, ownership.RangeKeys),
		targets: map[string]*targetLoad{}, meanService: movingMean{sampleWeight: meanSampleWeight}, rateBuffer: make([]float32, ownership.RangeKeys),
	}
}

// decay decays the rates to now.
func (l *keyLoads) decay(now time.Duration) {
	if l.decayedAt != 0 {
		elapsed := float64(now - l.decayedAt)
		fast := float32(math.Exp(-elapsed / float64(fastWindow)))
		slow := float32(math.Exp(-elapsed / float64(slowWindow)))
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
	l.decayedAt = now
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
	for i := range l.rateBuffer {
		l.rateBuffer[i] = fastWeight*l.fast[i] + (1-fastWeight)*l.slow[i]
	}
	return l.rateBuffer
}

// rate returns the requests per second of a key range, rounded to one decimal.
func (l *keyLoads) rate(from, to int) float64 {
	sum := 0.0
	for k := from; k <= to; k++ {
		sum += fastWeight*float64(l.fast[k]) + (1-fastWeight)*float64(l.slow[k])
	}
	return math.Round(sum*10) / 10
}

// Weights of one response in a target's mean service time, and in that of all targets.
const (
	sampleWeight     = 0.1
	meanSampleWeight = 0.02
)

// failurePenalty multiplies the service time of a target by 1 + penalty x the
// share of its requests that fail, because a failed request is wasted work.
const failurePenalty = 3

// targetLoad holds what all hosts observed of one target.
type targetLoad struct {
	serviceTime  movingMean // seconds
	failureShare float64    // share of its requests
}

// addTargetStats adds what a host observed of targets.
func (l *keyLoads) addTargetStats(targets []TargetStats) {
	for _, t := range targets {
		x := l.targets[t.ID]
		if x == nil {
			x = &targetLoad{serviceTime: movingMean{sampleWeight: sampleWeight}}
			l.targets[t.ID] = x
		}
		if t.Responses > 0 {
			mean := float64(t.ServiceMS) / 1000 / float64(t.Responses)
			l.meanService.add(mean, t.Responses)
			x.serviceTime.add(mean, t.Responses)
		}
		if n := t.Responses + t.Failed; n > 0 {
			share := float64(t.Failed) / float64(n)
			x.failureShare += (1 - math.Pow(1-sampleWeight, float64(n))) * (share - x.failureShare)
		}
	}
}

// movingMean is an exponential moving mean over responses.
type movingMean struct {
	// sampleWeight is the weight of one response.
	sampleWeight float64
	// sum is the weighted sum of the responses, weight the sum of their weights, at most 1.
	sum, weight float64
}

// add adds n responses with the mean x.
func (m *movingMean) add(x float64, n int) {
	w := 1 - math.Pow(1-m.sampleWeight, float64(n))
	m.sum += w * (x - m.sum)
	m.weight += w * (1 - m.weight)
}

// over returns the mean, in which a prior stands for the responses that are missing.
func (m *movingMean) over(prior float64) float64 { return m.sum + (1-m.weight)*prior }

// estimate returns the mean of the responses, or 0 without any.
func (m *movingMean) estimate() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}

// serviceTime returns the mean time of a request on a target in seconds, increased
// by the penalty for failed requests.
func (l *keyLoads) serviceTime(id string) float64 {
	mean := l.meanService.estimate()
	if mean == 0 {
		mean = defaultServiceTime
	}
	x := l.targets[id]
	if x == nil || x.serviceTime.weight == 0 {
		return mean
	}
	return x.serviceTime.over(mean) * (1 + failurePenalty*x.failureShare)
}
