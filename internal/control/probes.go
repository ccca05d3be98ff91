package control

import (
	"context"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/provider"
)

// probeInterval is the interval at which the leader asks targets that get no
// grants for their load. It equals that of grants, so that all kinds of targets
// are judged alike.
const probeInterval = DefaultRenewInterval

// prober asks one target for its load.
type prober struct {
	addr   string
	cancel context.CancelFunc
}

// serveProbes watches the domain's targets that get no grants: those of
// unkeyed workloads and those that do not check fences.
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
			pctx, cancel := context.WithCancel(ctx)
			running[name] = prober{addr: t.Addr, cancel: cancel}
			go c.probe(pctx, name, c.cfg.NewTargetClient(t.Addr))
		}
	}
}

// probe asks one target for its load until the context ends.
func (c *Control) probe(ctx context.Context, name string, client provider.Target) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	open := false
	for {
		start := c.stalls.awake()
		load, err := loadWithin(ctx, client, c.cfg.Timing.GrantTimeout)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			c.blame(targetNode(name), !open, start, c.cfg.Timing.GrantTimeout, refusedByTarget(err))
		} else {
			c.domains.fitness.reported(name, !open, load)
		}
		open = err == nil
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func loadWithin(ctx context.Context, client provider.Target, limit time.Duration) (provider.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return client.Load(ctx)
}
