package forward

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/limits"
	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"
)

// Config configures a Server. Source is required; a zero field takes its default.
type Config struct {
	// Source provides views and permits.
	Source view.Source
	// Log receives one line for each failed request; requests that succeed are
	// logged at debug level. Default: no log.
	Log hclog.Logger
	// HotKeys counts the requests for each key of keyed workloads. Default: none.
	HotKeys view.HotKeyObserver
	// Tracer records spans. Default: none; the caller's trace context is
	// passed on unchanged.
	Tracer trace.Tracer
	// Borrow asks the lender host for a share of a contract. Default: none,
	// which leaves the host its equal share.
	Borrow func(ctx context.Context, b limits.BorrowRequest) (limits.Loan, error)
	// PeerTLS configures connections to other entry hosts. Default: no TLS.
	PeerTLS *tls.Config

	// DefaultDeadline applies when neither caller nor workload sets a deadline.
	// Default: 5 s.
	DefaultDeadline time.Duration
	// MaxDeadline limits the caller's deadline. Default: 60 s.
	MaxDeadline time.Duration
	// RouteTimeout is how long a request waits for a usable route. Default: 1 s.
	RouteTimeout time.Duration
	// DialTimeout limits the opening of a connection. Default: 250 ms.
	DialTimeout time.Duration
	// BodyStallTimeout is the longest pause within a body. Default: 10 s.
	BodyStallTimeout time.Duration
	// MinSilenceTimeout is the shortest time without data after which a
	// connection to a target is probed. Default: 150 ms.
	MinSilenceTimeout time.Duration

	// MaxKeyBytes limits a key. Default: 1024 bytes.
	MaxKeyBytes int
	// MaxHeaderBytes limits the header of a request. Default: 16 KiB.
	MaxHeaderBytes int
	// MaxBodyBytes limits a body when neither contract nor workload does.
	// Default: 8 MiB.
	MaxBodyBytes int64
	// MaxRouteWaiters limits the requests that wait for a route. Default: 2048.
	MaxRouteWaiters int
	// MaxDials limits the concurrent dials to one target. Default: 4.
	MaxDials int
	// WarmConnections is the number of connections kept open to each target.
	// Default: 2.
	WarmConnections int
	// MaxQueue limits the requests that wait for one target. Default: 256.
	MaxQueue int
	// PeerConnections limits the connections to each other entry host.
	// Default: 256.
	PeerConnections int

	// DisableFence, DisableRetryRule and DisableLimitShare disable safeguards, for
	// tests which show that the checker detects their absence.
	DisableFence, DisableRetryRule, DisableLimitShare bool
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

func (c Config) withDefaults() Config {
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	setDefault(&c.DefaultDeadline, 5*time.Second)
	setDefault(&c.MaxDeadline, time.Minute)
	setDefault(&c.RouteTimeout, time.Second)
	setDefault(&c.DialTimeout, 250*time.Millisecond)
	setDefault(&c.BodyStallTimeout, 10*time.Second)
	setDefault(&c.MinSilenceTimeout, 150*time.Millisecond)
	setDefault(&c.MaxKeyBytes, 1024)
	setDefault(&c.MaxHeaderBytes, 16<<10)
	setDefault(&c.MaxBodyBytes, 8<<20)
	setDefault(&c.MaxRouteWaiters, 2048)
	setDefault(&c.MaxDials, 4)
	setDefault(&c.WarmConnections, 2)
	setDefault(&c.MaxQueue, 256)
	setDefault(&c.PeerConnections, 256)
	return c
}
