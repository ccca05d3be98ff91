// Command boragelock-gateway runs an entry host on the users' platform:
//
//	boragelock-gateway [-settings FILE] [-check]
//
// FILE defaults to the environment variable BORAGELOCK_NODE_FILE. The program logs
// to standard output. SIGTERM and SIGINT start a planned stop, SIGHUP reloads the
// settings. Exit codes: 0 after a stop, 1 on a failure or wrong arguments, 2 on
// invalid settings.
package main

import "C" // the platform runs only programs that are linked against the C library

import (
	"context"
	"errors"
	"expvar"
	"flag"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"
	"golang.org/x/sys/unix"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/coordinator"
	"github.com/boragelock/boragelock/internal/eventlog"
	"github.com/boragelock/boragelock/internal/fleetsettings"
	"github.com/boragelock/boragelock/internal/gateway"
	"github.com/boragelock/boragelock/internal/listener"
	"github.com/boragelock/boragelock/internal/slotpeer"
	"github.com/boragelock/boragelock/lease"
	"github.com/boragelock/boragelock/platform"
)

const (
	exitFailure = 1
	exitUsage   = 2
	// settingsEnv is the environment variable that names the settings file.
	settingsEnv = "BORAGELOCK_NODE_FILE"
	// memoryLimitShare is the part of the process's memory that is set as the Go
	// runtime's limit; the rest is for buffers of the kernel and the C library.
	memoryLimitShare = 0.6
	// stopMargin is kept between the end of the process and the limit of a stop.
	stopMargin = 400 * time.Millisecond
	// answerTime is kept between the latest deadline of a request that a stopping host
	// takes and the end of the process. In it a timeout is noticed and the answer
	// travels to the caller.
	answerTime = 600 * time.Millisecond
	// balancerDelay is how long the balancer still sends new connections after a
	// host reports that it is not ready: two probes, one a second.
	balancerDelay = 2500 * time.Millisecond
	// drainPollInterval is the interval at which a stopping host checks whether its
	// requests have ended.
	drainPollInterval = 50 * time.Millisecond
)

func main() {
	if err := run(os.Args[1:], os.Stdout, os.Stderr); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return
		}
		fmt.Fprintln(os.Stderr, err)
		if errors.As(err, new(*fleetsettings.InvalidError)) {
			os.Exit(exitUsage)
		}
		os.Exit(exitFailure)
	}
}

func run(args []string, stdout, stderr io.Writer) error {
	fs := flag.NewFlagSet("boragelock-gateway", flag.ContinueOnError)
	fs.SetOutput(stderr)
	file := fs.String("settings", os.Getenv(settingsEnv), "settings file (JSON)")
	check := fs.Bool("check", false, "check the settings and exit")
	if err := fs.Parse(args); err != nil {
		return err
	}
	s, err := fleetsettings.Load(*file)
	if err != nil || *check {
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMB) * (1 << 20)))
	log := eventlog.New(stdout, s.LogLevel)
	defer log.Close()
	stopReports := make(chan struct{})
	defer close(stopReports)
	go log.Serve(stopReports)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return newDaemon(s, *file, log).run(signals)
}

// daemon is the assembled gateway.
type daemon struct {
	settings     *fleetsettings.Settings
	settingsFile string
	log          *eventlog.Log
	coord        *coordinator.Coordinator
	// slots shares the slots of targets with other hosts, nil if that is off.
	slots *slotpeer.Peer
	gw    *gateway.Gateway
	// stopping is set when a planned stop begins.
	stopping atomic.Bool
}

func newDaemon(s *fleetsettings.Settings, file string, log *eventlog.Log) *daemon {
	keyLease := lease.KeyLeaseConfig{}.WithDefaults()
	keyLease.Duration = min(keyLease.Duration, s.MaxKeyLease())
	d := &daemon{settings: s, settingsFile: file, log: log}
	address := net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort))
	// Interfaces stay nil without a Peer: one that holds a nil pointer is not nil.
	var slotService coordinator.SlotService
	var sharedSlots gateway.SharedSlots
	if s.SharesQueues() {
		d.slots = slotpeer.New(slotpeer.Config{Address: address, Domain: s.Domain, Log: log, AdaptivePace: s.AdaptivePace})
		slotService, sharedSlots = d.slots, d.slots
		expvar.Publish("slots", d.slots.Vars())
	}
	d.coord = coordinator.New(coordinator.Config{
		Host: s.Host, Fleet: s.Fleet, Domain: s.Domain, Peer: address, Slots: slotService,
		Store: platform.NewStore(s.StoreAddress), Grants: platform.NewGrants(), Log: log,
		Ranges: lease.RangeConfig{KeyLease: keyLease}, Cores: s.CPUShare, LinkMbps: s.LinkMbps,
		Quarantine: s.Quarantine(),
	})
	callers, closing := callerBounds(s.MaxFDs)
	d.gw = gateway.New(gateway.Config{
		Domain: s.Domain, Deployment: d.coord, Slots: sharedSlots, AdaptivePace: s.AdaptivePace, Log: log,
		RetryRatio: s.RetryRatio, RetryExtra: s.RetryExtra, RetryWindow: s.RetryWindow(),
		MemoryMB: s.MemoryMB, MaxCallers: callers, MaxClosing: closing,
	})
	expvar.Publish("gateway", d.gw.Vars())
	expvar.Publish("control", d.coord.Vars())
	return d
}

// run serves until a signal stops the process.
func (d *daemon) run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers, err := listener.Listen(d.settings.CallerAddress)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", d.settings.ReadyAddress)
	if err != nil {
		return err
	}
	metrics, err := net.Listen("tcp", net.JoinHostPort(d.settings.IP, strconv.Itoa(d.settings.MetricsPort)))
	if err != nil {
		return err
	}
	sup := suture.New("gateway", suture.Spec{EventHook: func(e suture.Event) {
		d.log.Error("duty_ended", "event", e.String())
	}})
	sup.Add(d.gw)
	d.coord.AddTo(sup)
	if d.slots != nil {
		d.slots.AddTo(sup, d.coord)
	}
	sup.Add(&namedService{"callers", func(ctx context.Context) error { return d.serveCallers(ctx, callers) }})
	sup.Add(&namedService{"ready", func(ctx context.Context) error { return serveHTTP(ctx, ready, d.readiness()) }})
	sup.Add(&namedService{"metrics", func(ctx context.Context) error { return serveHTTP(ctx, metrics, http.DefaultServeMux) }})
	callers.OnAcceptError(func(err error, pause time.Duration) {
		d.gw.CountAcceptFailure()
		d.log.Warn("accept_failed", "address", d.settings.CallerAddress, "err", err, "pause_ms", pause.Milliseconds())
	})
	done := sup.ServeBackground(ctx)
	d.log.Info("started", "host", d.settings.Host, "domain", d.settings.Domain)
	if err := d.awaitStop(signals, done); err != nil {
		return err
	}
	d.stop(callers)
	cancel()
	select {
	case <-done:
	case <-time.After(stopMargin / 2):
	}
	d.log.Info("stopped", "in_flight", d.gw.InFlight(), "connections", d.gw.OpenConnections(), "closes", d.gw.Closes())
	return nil
}

// callerShare and closingShare are the parts of the descriptors for callers' connections and
// for those that are being closed. The rest is for targets, other hosts, the store and files.
const callerShare, closingShare = 0.7, 0.1

// callerBounds returns the bounds of callers' connections, and of those that are being
// closed, for a number of descriptors, of which 0 is the limit that the process runs with.
// They are 0 when there is none.
func callerBounds(descriptors int) (callers, closing int) {
	if descriptors == 0 {
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
			return 0, 0
		}
		descriptors = int(limit.Cur)
	}
	return int(callerShare * float64(descriptors)), int(closingShare * float64(descriptors))
}

// EndedError reports that the duties of a host ended though nothing stopped it, for
// example since a listener was lost. The platform starts the process again.
type EndedError struct{ Err error }

// Error implements error.
func (e *EndedError) Error() string { return fmt.Sprintf("the duties of the host ended: %v", e.Err) }

// Unwrap returns the cause.
func (e *EndedError) Unwrap() error { return e.Err }

// awaitStop waits for a signal that stops the process. It fails with *EndedError when the
// supervisor ends before.
func (d *daemon) awaitStop(signals <-chan os.Signal, done <-chan error) error {
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return nil
			}
			d.reload()
		case err := <-done:
			d.log.Error("ended", "err", err)
			return &EndedError{err}
		}
	}
}

// reload checks the settings file and applies its log level. Addresses and budgets
// are fixed for the life of a process, so other changes are only logged.
func (d *daemon) reload() {
	s, err := fleetsettings.Load(d.settingsFile)
	if err != nil {
		d.log.Error("reload_failed", "err", err)
		return
	}
	d.log.SetLevel(hclog.LevelFromString(s.LogLevel))
	d.log.Info("reloaded", "changed", *s != *d.settings)
}

// serveCallers serves callers' connections until the context ends, also when the
// listener was closed by a planned stop. A host that lost its listener otherwise ends: it
// would be ready and take no caller.
func (d *daemon) serveCallers(ctx context.Context, callers *listener.Listener) error {
	err := d.gw.ServeCallers(ctx, callers)
	if d.stopping.Load() {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Join(err, suture.ErrTerminateSupervisorTree)
}

// stop drains the host so that no request is cut off. It waits, up to the stop
// limit, until requests and connections have ended and the host no longer leads.
// Callers may connect until then, and what they sent is served.
func (d *daemon) stop(callers *listener.Listener) {
	start := time.Now()
	limit := d.settings.StopLimit() - stopMargin
	d.log.Info("stopping", "in_flight", d.gw.InFlight())
	d.stopping.Store(true)
	d.gw.Drain(boottime.Now() + limit - answerTime)
	d.coord.Retire()
	idle := func() bool { return d.gw.InFlight() == 0 && d.gw.OpenConnections() == 0 }
	waitUntil(start.Add(limit), func() bool {
		return time.Since(start) >= balancerDelay && idle() && !d.coord.Leading()
	})
	if err := callers.Drain(); err != nil {
		d.log.Warn("listener_closed_early", "address", d.settings.CallerAddress, "err", err)
	}
	waitUntil(start.Add(limit), func() bool {
		select {
		case <-callers.Closed():
			return idle()
		default:
			return false
		}
	})
}

// waitUntil waits until the condition holds or the time limit has come.
func waitUntil(limit time.Time, condition func() bool) {
	for time.Now().Before(limit) && !condition() {
		time.Sleep(drainPollInterval)
	}
}

// namedService is a supervised service with a name.
type namedService struct {
	name string
	run  func(context.Context) error
}

// Serve implements suture.Service.
func (l *namedService) Serve(ctx context.Context) error { return l.run(ctx) }

// String implements fmt.Stringer for the supervisor's messages.
func (l *namedService) String() string { return l.name }

func (d *daemon) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !d.gw.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func serveHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 2 * time.Second}
	go func() {
		<-ctx.Done()
		_ = s.Close() // the process ends
	}()
	return s.Serve(l)
}
