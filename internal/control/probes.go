package control

import (
	"context"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/provider"
)

// probeInterval is the interval at which the leader requests the load of targets
// that get no grants. It equals that of grants, so that all kinds of targets are
// assessed alike.
const probeInterval = DefaultRenewInterval

// prober is a running probe of one target.
type prober struct {
	addr   string
	cancel context.CancelFunc
}

// serveProbes probes, on the leader, the domain's targets that get no grants:
// those of unkeyed workloads and those that do not check fences.
func (c *Control) serveProbes(ctx context.Context) error {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	running := map[string]prober{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		want := map[string]contract.Target{}
		if st := c.state(); st != nil && st.Config != nil && c.leads(st) {
			want = c.targets(st).probed
		}
		for name, p := range running {
			if want[name].Addr != p.addr {
				p.cancel()
				delete(running, name)
			}
		}
		for name, t := range want {
			if _, ok := running[name]; ok {
				continue
			}
			probeCtx, cancel := context.WithCancel(ctx)
			running[name] = prober{addr: t.Addr, cancel: cancel}
			go c.probe(probeCtx, name, c.cfg.NewTargetClient(t.Addr))
		}
	}
}

// probe requests the load of one target periodically until the context ends.
func (c *Control) probe(ctx context.Context, name string, client provider.Target) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	connected := false
	for {
		start := c.stalls.awake()
		load, err := loadWithTimeout(ctx, client, c.cfg.Timing.GrantTimeout)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			c.reportFailure(targetNode(name), !connected, start, c.cfg.Timing.GrantTimeout, isConnectionFailure(err))
		} else {
			c.domains.fitness.handleLoadReport(name, !connected, load)
		}
		connected = err == nil
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func loadWithTimeout(ctx context.Context, client provider.Target, timeout time.Duration) (provider.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return client.Load(ctx)
}
