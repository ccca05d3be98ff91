package bench

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
)

const (
	// zipfS is the exponent of the key distribution, defaultZipfV its offset:
	// the most popular key gets about 2% of the requests.
	zipfS        = 1.1
	defaultZipfV = 10
	// keyShift is the number of keys by which a shift moves the key popularity.
	// It is coprime to the numbers of keys.
	keyShift = 7919
	// probeInterval is the interval of the requests that measure the availability
	// of a shard.
	probeInterval = 100 * time.Millisecond
	// maxOutstanding limits the requests in flight, to bound memory. Requests
	// above it are dropped and counted.
	maxOutstanding = 20000
)

// load offers open-loop load: it sends requests at given rates, independent of
// the responses.
type load struct {
	plan   *Plan
	caller *caller
	seed   uint64
	zipfV  float64
	// rateShare is the fraction of the plan's rate that is offered; the rest is
	// left to probes.
	rateShare float64

	loadFactor, floodFactor atomic.Uint64 // math.Float64bits
	keyShifts               atomic.Uint64
	sequence                atomic.Uint64
	outstanding             atomic.Int64
	// dropped counts the requests not sent because too many were in flight.
	dropped atomic.Int64

	wg    sync.WaitGroup
	mu    sync.Mutex
	calls []Call
}

func newLoad(p *Plan, c *caller, s Scenario, seed uint64) *load {
	l := &load{plan: p, caller: c, seed: seed, zipfV: s.KeySkewV, rateShare: 1}
	if l.zipfV <= 0 {
		l.zipfV = defaultZipfV
	}
	l.setFactor(s.loadFactor())
	l.setFlood(1)
	return l
}

func (l *load) setFactor(f float64) { l.loadFactor.Store(math.Float64bits(f)) }
func (l *load) setFlood(f float64)  { l.floodFactor.Store(math.Float64bits(f)) }

// run offers load until ctx ends and then waits for the responses. callCtx limits
// the calls.
func (l *load) run(ctx, callCtx context.Context) {
	stream := uint64(0)
	for _, name := range sortedKeys(l.plan.Workloads) {
		w := l.plan.Workloads[name]
		allowed := l.customersOf(w)
		total := 0.0
		for _, c := range allowed {
			total += c.Share
		}
		for _, c := range allowed {
			stream++
			id := stream
			l.wg.Go(func() { l.stream(ctx, callCtx, w, c, c.Share/total, id) })
		}
	}
	<-ctx.Done()
	l.wg.Wait()
}

func (l *load) customersOf(w WorkloadPlan) []CustomerPlan {
	var out []CustomerPlan
	for _, c := range l.plan.Customers {
		for _, name := range c.Workloads {
			if name == w.Name {
				out = append(out, c)
			}
		}
	}
	return out
}

// stream sends the requests of one customer to one workload as a Poisson
// process.
func (l *load) stream(ctx, callCtx context.Context, w WorkloadPlan, c CustomerPlan, share float64, id uint64) {
	rng := rand.New(rand.NewPCG(l.seed, id))
	zipf := rand.NewZipf(rng, zipfS, l.zipfV, uint64(w.Keys-1))
	last := c.Customer == l.plan.Customers[len(l.plan.Customers)-1].Customer
	due := boottime.Now()
	for {
		rate := l.plan.Rate(w) * l.rateShare * share * math.Float64frombits(l.loadFactor.Load())
		if last {
			rate *= math.Float64frombits(l.floodFactor.Load())
		}
		due += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if !sleepUntil(ctx, due) {
			return
		}
		n := (zipf.Uint64() + l.keyShifts.Load()*keyShift) % uint64(w.Keys)
		l.spawn(callCtx, l.request(rng, w, c, keyName(w, n), due))
	}
}

func keyName(w WorkloadPlan, n uint64) string { return fmt.Sprintf("%s-%06d", w.Name[:2], n) }

// request generates one request.
func (l *load) request(rng *rand.Rand, w WorkloadPlan, c CustomerPlan, key string, due time.Duration) request {
	r := request{workload: w, customer: c, key: key, method: "GET", due: due,
		tag: fmt.Sprintf("q%d", l.sequence.Add(1))}
	if rng.Float64() < w.PostShare {
		r.method = "POST"
		r.body = r.tag + strings.Repeat(".", 64+rng.IntN(1024))
	}
	return r
}

func (l *load) spawn(callCtx context.Context, r request) {
	if l.outstanding.Add(1) > maxOutstanding {
		l.outstanding.Add(-1)
		l.dropped.Add(1)
		return
	}
	l.wg.Go(func() {
		defer l.outstanding.Add(-1)
		l.addCall(l.caller.call(callCtx, r))
	})
}

// addCall stores the record of a call.
func (l *load) addCall(c Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

// probe sends requests for one shard at a fixed interval.
func (l *load) probe(ctx, callCtx context.Context, w WorkloadPlan, key string) {
	c := l.customersOf(w)[0]
	rng := rand.New(rand.NewPCG(l.seed, l.sequence.Add(1)))
	l.wg.Go(func() {
		due := boottime.Now() + time.Duration(rng.Int64N(int64(probeInterval)))
		for ; sleepUntil(ctx, due); due += probeInterval {
			l.spawn(callCtx, l.request(rng, w, c, key, due))
		}
	})
}

// sleepUntil sleeps until a boot-time instant. It returns false when the context
// ends first.
func sleepUntil(ctx context.Context, at time.Duration) bool {
	left := at - boottime.Now()
	if left <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
