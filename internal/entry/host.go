package entry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"expvar"
	"net"
	"net/http"
	"net/http/pprof"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/control"
	"github.com/boragelock/boragelock/internal/forward"
	"github.com/boragelock/boragelock/internal/httpplatform"
	"github.com/boragelock/boragelock/internal/listener"
	"github.com/boragelock/boragelock/internal/peer"
	"github.com/boragelock/boragelock/internal/settings"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/limits"
	"github.com/boragelock/boragelock/provider"
)

// MethodBorrow is the RPC method by which a host borrows a share of a contract
// from the customer's lender.
const MethodBorrow = "limits.borrow"

// forwardVars holds the counters of the request path by host name. In embedded
// mode several hosts run in one process.
var forwardVars = expvar.NewMap("forward")

// Config configures a Host. Settings is required.
type Config struct {
	Settings settings.Settings
	// Bootstrap is the deployment that is written to an empty log. Default: none.
	Bootstrap *contract.Deployment
	// Logger receives all log lines. Default: no log.
	Logger hclog.Logger
	// Tracer records spans. Default: none.
	Tracer trace.Tracer
	// NewOperatorHandler creates the handler of the operator interface. Its
	// listener also serves /debug/vars and /debug/pprof/. Default: none.
	NewOperatorHandler func(*control.Control) http.Handler
}

// Host is one entry host.
type Host struct {
	cfg          Config
	log          hclog.Logger
	self         view.Self
	control      *control.Control
	forward      *forward.Server
	peerClient   *peer.Client
	supervisor   *suture.Supervisor
	tls          *tlsConfigs
	listeners    listeners
	callerHTTP   *httpService
	forwardHTTP  *httpService
	operatorHTTP *httpService
}

// listeners are the open sockets of a host.
type listeners struct{ callers, forward, peers, operator *listener.Listener }

// ListenError reports that a listener could not be opened.
type ListenError struct {
	Field, Addr string
	Err         error
}

// Error implements error.
func (e *ListenError) Error() string { return e.Field + " " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// New opens the listeners and assembles a host. It fails with a *ListenError,
// *TLSError or *URLError.
func New(cfg Config) (*Host, error) {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	h := &Host{cfg: cfg, log: cfg.Logger.Named(cfg.Settings.Name)}
	var err error
	if h.tls, err = loadTLS(cfg.Settings.Name, cfg.Settings.TLS, h.log); err != nil {
		return nil, err
	}
	if err := h.openListeners(); err != nil {
		h.closeListeners()
		return nil, err
	}
	if err := h.assemble(); err != nil {
		h.closeListeners()
		return nil, err
	}
	return h, nil
}

func (h *Host) openListeners() error {
	s := h.cfg.Settings
	for _, l := range []struct {
		field, addr string
		dst         **listener.Listener
	}{
		{"http.listen", s.HTTP.Listen, &h.listeners.callers}, {"http.forward_listen", s.HTTP.ForwardListen, &h.listeners.forward},
		{"peer.listen", s.Peer.Listen, &h.listeners.peers}, {"operator.listen", s.Operator.Listen, &h.listeners.operator},
	} {
		ln, err := listener.Listen(l.addr)
		if err != nil {
			return &ListenError{Field: l.field, Addr: l.addr, Err: err}
		}
		*l.dst = ln
	}
	return nil
}

func (h *Host) closeListeners() {
	for _, l := range []*listener.Listener{h.listeners.callers, h.listeners.forward, h.listeners.peers, h.listeners.operator} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// advertisedAddr returns the address that others connect to: the configured one,
// or that of the listener when the configured address is not host:port or has
// port 0.
func advertisedAddr(configured string, l net.Listener) string {
	if _, port, err := net.SplitHostPort(configured); err == nil && port != "0" {
		return configured
	}
	return l.Addr().String()
}

func (h *Host) assemble() error {
	s := h.cfg.Settings
	logs, err := newFailoverLog(s.LogURLs)
	if err != nil {
		return err
	}
	hostList, err := parseHostPort(s.HostListURL)
	if err != nil {
		return err
	}
	h.self = view.Self{
		Name: s.Name, Domain: s.Domain, Incarnation: newIncarnation(),
		HTTPAddr: advertisedAddr(s.HTTP.Advertise, h.listeners.forward),
	}
	h.peerClient = &peer.Client{TLS: h.tls.client}
	h.control = control.New(control.Config{
		Self: h.self, PeerAddr: advertisedAddr(s.Peer.Advertise, h.listeners.peers), SeedPeers: s.SeedPeers,
		Bootstrap: h.cfg.Bootstrap, Timing: controlTiming(s.Timings),
		Log: logs, HostList: httpplatform.NewHostList(hostList, httpplatform.Options{}),
		NewTargetClient: func(addr string) provider.Target { return httpplatform.NewTarget(addr, httpplatform.Options{}) },
		Peers:           h.peerClient, Logger: h.log, SkipLeaseWait: s.Disabled(settings.SafeguardLeaseWait),
	})
	h.forward = forward.New(h.forwardConfig())
	h.control.SetDrainedVersion(h.forward.DrainedVersion)
	h.control.SetServiceTimes(h.forward.ServiceTimes)
	h.control.SetTargetLoads(h.targetLoads)
	forwardVars.Set(s.Name, h.forward.Vars())
	h.createServers()
	h.supervise()
	return nil
}

// targetLoads returns the number of requests that the request path has in
// progress, by target.
func (h *Host) targetLoads() map[string]control.TargetLoad {
	out := map[string]control.TargetLoad{}
	for name, l := range h.forward.TargetLoads() {
		out[name] = control.TargetLoad{InFlight: l.InFlight, Queued: l.Queued}
	}
	return out
}

func controlTiming(t settings.Timings) control.Timing {
	return control.Timing{
		LeaseDuration: settings.MS(t.LeaseMS), RenewInterval: settings.MS(t.RenewMS),
		AuthorityDuration: settings.MS(t.AuthorityMS), PermitDuration: settings.MS(t.PermitMS),
	}
}

func (h *Host) forwardConfig() forward.Config {
	s := h.cfg.Settings
	t, l := s.Timings, s.Limits
	return forward.Config{
		Source: h.control, HotKeys: h.control, Log: h.log.Named("forward"), Tracer: h.cfg.Tracer, Borrow: h.borrow, PeerTLS: h.tls.client,
		DefaultDeadline: settings.MS(t.DeadlineMS), MaxDeadline: settings.MS(t.MaxDeadlineMS), RouteTimeout: settings.MS(t.RouteTimeoutMS),
		DialTimeout: settings.MS(t.DialMS), BodyStallTimeout: settings.MS(t.ReadBodyMS), MinSilenceTimeout: settings.MS(t.SilentMinMS),
		MaxKeyBytes: l.MaxKeyBytes, MaxHeaderBytes: l.MaxHeaderBytes, MaxBodyBytes: l.MaxBodyBytes,
		MaxRouteWaiters: l.MaxRouteWaiters, MaxDials: l.MaxDials, WarmConnections: l.WarmConnections, MaxQueue: l.MaxQueue,
		PeerConnections:   l.PeerConnections,
		DisableFence:      s.Disabled(settings.SafeguardFence),
		DisableRetryRule:  s.Disabled(settings.SafeguardRetryRule),
		DisableLimitShare: s.Disabled(settings.SafeguardLimitShare),
	}
}

// borrow requests a share of a contract from its lender.
func (h *Host) borrow(ctx context.Context, b limits.BorrowRequest) (limits.Loan, error) {
	var loan limits.Loan
	v := h.control.View()
	if v == nil {
		return loan, &UnknownHostError{Name: b.Lender}
	}
	e, ok := v.State.EntryHosts[b.Lender]
	if !ok || e.Stopped {
		return loan, &UnknownHostError{Name: b.Lender}
	}
	return loan, h.peerClient.Call(ctx, e.PeerAddr, MethodBorrow, b, &loan)
}

// UnknownHostError reports that an entry host is not known.
type UnknownHostError struct{ Name string }

// Error implements error.
func (e *UnknownHostError) Error() string { return "no entry host " + strconv.Quote(e.Name) }

// serverIdleTimeout is above the idle timeout of package forward's connections,
// so that the side that sends requests closes first.
const serverIdleTimeout = 120 * time.Second

func (h *Host) createServers() {
	s := h.cfg.Settings
	debugLog := h.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
	server := func(name string, ln *listener.Listener, tlsConfig *tls.Config, handler http.Handler, idle time.Duration) *httpService {
		return newHTTPService(name, ln, tlsConfig, &http.Server{
			Handler: handler, ErrorLog: debugLog, IdleTimeout: idle,
			ReadHeaderTimeout: settings.MS(s.Timings.ReadHeaderMS),
			// The handler refuses a header above the limit with a typed error, so
			// net/http refuses only a header that is much larger.
			MaxHeaderBytes: 2 * s.Limits.MaxHeaderBytes,
		})
	}
	h.callerHTTP = server("callers", h.listeners.callers, nil, h.forward.CallerHandler(), settings.MS(s.Timings.IdleMS))
	h.forwardHTTP = server("inner", h.listeners.forward, h.tls.server, h.forward.PeerHandler(), serverIdleTimeout)
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	if h.cfg.NewOperatorHandler != nil {
		mux.Handle("/", h.cfg.NewOperatorHandler(h.control))
	}
	h.operatorHTTP = server("operator", h.listeners.operator, h.tls.operator, mux, serverIdleTimeout)
}

func (h *Host) supervise() {
	h.supervisor = suture.New(h.cfg.Settings.Name, suture.Spec{EventHook: LogSupervisorEvents(h.log)})
	rpc := &peer.Server{Listener: h.listeners.peers, TLS: h.tls.server}
	h.control.Register(rpc)
	rpc.Handle(MethodBorrow, peer.TypedHandler(func(_ context.Context, b limits.BorrowRequest) (limits.Loan, error) {
		return h.forward.Lend(b), nil
	}))
	for _, svc := range h.control.Services() {
		h.supervisor.Add(svc)
	}
	h.supervisor.Add(rpc)
	h.supervisor.Add(h.tls)
	h.supervisor.Add(h.forward.Upkeep())
	h.supervisor.Add(h.forward.Borrower())
	h.supervisor.Add(h.callerHTTP)
	h.supervisor.Add(h.forwardHTTP)
	h.supervisor.Add(h.operatorHTTP)
}

// String returns the name of the host for the supervisor's log.
func (h *Host) String() string { return h.cfg.Settings.Name }

// LogSupervisorEvents returns a hook that logs one line for each event of a
// supervisor.
func LogSupervisorEvents(log hclog.Logger) suture.EventHook {
	return func(event suture.Event) {
		switch e := event.(type) {
		case suture.EventServicePanic:
			log.Error("duty panicked", "duty", e.ServiceName, "restarting", e.Restarting, "panic", e.PanicMsg, "stack", e.Stacktrace)
		case suture.EventServiceTerminate:
			log.Error("duty failed", "duty", e.ServiceName, "restarting", e.Restarting, "error", e.Err)
		case suture.EventStopTimeout:
			log.Error("duty did not stop in time", "duty", e.ServiceName)
		case suture.EventBackoff:
			log.Error("duties fail too often; restarts are paused", "supervisor", e.SupervisorName)
		case suture.EventResume:
			log.Info("duties restart after the pause", "supervisor", e.SupervisorName)
		}
	}
}

// Serve runs the host until ctx ends, then closes everything immediately.
func (h *Host) Serve(ctx context.Context) error {
	h.log.Info("entry host started", "incarnation", h.self.Incarnation, "domain", h.self.Domain, "http", h.CallerAddr(),
		"forward", h.self.HTTPAddr, "peer", h.listeners.peers.Addr().String(), "operator", h.OperatorAddr())
	err := h.supervisor.Serve(ctx)
	h.peerClient.Close()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// CallerAddr returns the address for callers.
func (h *Host) CallerAddr() string { return h.listeners.callers.Addr().String() }

// OperatorAddr returns the address for operators.
func (h *Host) OperatorAddr() string { return h.listeners.operator.Addr().String() }

// PeerAddr returns the address for JSON-RPC calls of other hosts.
func (h *Host) PeerAddr() string { return h.listeners.peers.Addr().String() }

// Control returns the control plane.
func (h *Host) Control() *control.Control { return h.control }

// Stop is the planned stop. The host becomes unready and continues to serve for
// the load balancer's delay. Then it finishes the requests of its callers while
// it is still the home of its targets, gives up its homes and granter role, and
// finishes the requests of other hosts. Stop returns when nothing is in flight
// or ctx ends; the caller then ends the context of Serve.
func (h *Host) Stop(ctx context.Context) {
	h.log.Info("planned stop began")
	h.forward.SetUnready()
	select {
	case <-time.After(settings.MS(h.cfg.Settings.Timings.BalancerDelayMS)):
	case <-ctx.Done():
	}
	err := h.callerHTTP.drain(ctx)
	h.control.Stop(ctx)
	h.log.Info("homes given up", "requests_in_flight", h.forward.InFlight())
	if err = errors.Join(err, h.forwardHTTP.drain(ctx)); err != nil {
		h.log.Warn("planned stop interrupted requests", "requests_in_flight", h.forward.InFlight(), "error", err)
		return
	}
	h.log.Info("planned stop complete")
}

// incarnationBytes is the length of an incarnation. Two starts of a host have the
// same incarnation with a probability of 1 in 2^48.
const incarnationBytes = 6

func newIncarnation() string {
	b := make([]byte, incarnationBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
