package control

import (
	"context"

	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/membership"
)

func (c *Control) takeEvent(e view.Event) {
	switch e.Kind {
	case view.EventPeerDown:
		if e.Host != "" {
			c.homes.suspect(e.Host)
		}
	case view.EventTargetLeaving:
		c.domains.fitness.step(membership.AnnouncedLeaving{Node: targetNode(e.Target)})
	}
}

// serveEvents takes the reports of the request path.
func (c *Control) serveEvents(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-c.events:
			c.takeEvent(e)
		}
	}
}
