package control

import (
	"context"

	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/membership"
)

func (c *Control) handleEvent(e view.Event) {
	switch e.Kind {
	case view.EventPeerDown:
		if e.Host != "" {
			c.homes.addSuspect(e.Host)
		}
	case view.EventTargetLeaving:
		c.domains.fitness.step(membership.AnnouncedLeaving{Node: targetNode(e.Target)})
	}
}

// serveEvents handles the events that the request path reports.
func (c *Control) serveEvents(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-c.events:
			c.handleEvent(e)
		}
	}
}
