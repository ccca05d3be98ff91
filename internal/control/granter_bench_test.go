package control

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/provider"
)

// memoryLog is a log in memory.
type memoryLog struct {
	mu      sync.Mutex
	records []provider.Record
}

func (l *memoryLog) Append(_ context.Context, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	off := int64(len(l.records) + 1)
	l.records = append(l.records, provider.Record{Offset: off, Data: data})
	return off, nil
}

func (l *memoryLog) Read(ctx context.Context, from int64, limit int, wait time.Duration) (provider.Batch, error) {
	for deadline := time.Now().Add(wait); ; {
		l.mu.Lock()
		b := provider.Batch{FirstOffset: 1, EndOffset: int64(len(l.records) + 1)}
		if from < b.EndOffset {
			b.Records = l.records[max(from, 1)-1:]
		}
		l.mu.Unlock()
		if len(b.Records) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return b, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// memoryTarget accepts every grant without I/O.
type memoryTarget struct {
	grants int
}

func (t *memoryTarget) Grant(_ context.Context, g provider.Grant) (provider.GrantReply, error) {
	t.grants++
	return provider.GrantReply{Result: provider.GrantAccepted, Nonce: fmt.Sprint(t.grants), Version: g.Version, Incarnation: "1", Load: provider.LoadReport{State: provider.TargetServing}}, nil
}

func (t *memoryTarget) Load(context.Context) (provider.LoadReport, error) {
	return provider.LoadReport{State: provider.TargetServing, Incarnation: "1"}, nil
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkLeaderIdle measures the processor time of a domain's leader by the
// number of targets, without the cost of network I/O.
func BenchmarkLeaderIdle(b *testing.B) {
	for _, n := range []int{10, 30, 90} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) { benchmarkLeader(b, n) })
	}
}

func benchmarkLeader(b *testing.B, targets int) {
	dep := contract.Deployment{
		Name: "bench", IsolatedServeMS: -1, Domains: []contract.Domain{{Name: "d0"}},
		Workloads: []contract.Workload{{Name: "lookups", Keyed: true, Shards: int32(55 * targets), Fencing: true}},
	}
	clients := map[string]*memoryTarget{}
	for i := range targets {
		addr := fmt.Sprintf("127.0.0.1:%d", i+1)
		clients[addr] = &memoryTarget{}
		dep.Targets = append(dep.Targets, contract.Target{Name: fmt.Sprintf("t%03d", i), Workload: "lookups", Domain: "d0", Addr: addr, Slots: 2, MaxConnections: 130})
	}
	c := New(Config{
		Self: view.Self{Name: "e0", Domain: "d0", Incarnation: "1"}, Bootstrap: &dep, Log: &memoryLog{},
		NewTargetClient: func(addr string) provider.Target { return clients[addr] },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, s := range c.Services() {
		wg.Go(func() { _ = s.Serve(ctx) })
	}
	defer wg.Wait()
	defer cancel()
	time.Sleep(5 * time.Second)
	for b.Loop() {
		start, before := time.Now(), cpuTime()
		time.Sleep(2 * time.Second)
		b.ReportMetric(100*(cpuTime()-before).Seconds()/time.Since(start).Seconds(), "cpu_percent")
	}
}
