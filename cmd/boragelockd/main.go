// Command boragelockd runs an entry host:
//
//	boragelockd -settings FILE
//
// or a complete system on loopback, with stand-ins for the platform; FILE is then
// a deployment, by default examples/andaimes.json:
//
//	boragelockd -embedded [-settings examples/toise.json]
//
// It logs to standard error. SIGTERM and SIGINT start a planned stop; a second
// signal or the timeout timings.stop_limit_ms ends it. Exit codes: 0 after a stop,
// 1 on failure, 2 on invalid arguments or settings.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/examples"
	"github.com/boragelock/boragelock/internal/embedded"
	"github.com/boragelock/boragelock/internal/entry"
	"github.com/boragelock/boragelock/internal/settings"
)

// Exit codes.
const (
	exitOK = iota
	exitFailure
	exitUsage
)

// UsageError reports an invalid command line.
type UsageError struct{ Reason string }

// Error implements error.
func (e *UsageError) Error() string { return e.Reason }

func main() {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	err := run(signals, os.Args[1:], os.Stdout, os.Stderr)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, new(*UsageError)), errors.As(err, new(*settings.InvalidError)):
		return exitUsage
	}
	return exitFailure
}

func run(signals <-chan os.Signal, args []string, stdout, stderr io.Writer) error {
	fs := flag.NewFlagSet("boragelockd", flag.ContinueOnError)
	fs.SetOutput(stderr)
	file := fs.String("settings", "", "settings of the entry host, or with -embedded a deployment (JSON)")
	useEmbedded := fs.Bool("embedded", false, "run a whole system with stand-ins on loopback")
	level := fs.String("log-level", "warn", "log level of -embedded")
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return &UsageError{Reason: "see -help"}
	}
	if fs.NArg() > 0 {
		return &UsageError{Reason: fmt.Sprintf("unexpected argument %q", fs.Arg(0))}
	}
	if *useEmbedded {
		return runEmbedded(signals, *file, *level, stdout, stderr)
	}
	if *file == "" {
		return &UsageError{Reason: "-settings FILE or -embedded is required"}
	}
	return runHost(signals, *file, stdout, stderr)
}

func newLogger(level string, w io.Writer) hclog.Logger {
	l := hclog.New(&hclog.LoggerOptions{Name: "boragelockd", Output: w, Level: hclog.LevelFromString(level)})
	// net/http logs to the standard logger when a target sends bytes beyond the
	// end of its response.
	log.SetFlags(0)
	log.SetOutput(l.StandardWriter(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}))
	return l
}

func runHost(signals <-chan os.Signal, file string, stdout, stderr io.Writer) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	s, err := settings.Parse(data)
	if err != nil {
		return err
	}
	bootstrap, err := readBootstrap(s.Deployment)
	if err != nil {
		return err
	}
	logger := newLogger(s.LogLevel, stderr)
	for _, g := range s.UnsafeDisable {
		logger.Error("safeguard is switched off", "safeguard", g)
	}
	tracer, flush, err := entry.NewTracer(s.Tracing, s.Name, stdout)
	if err != nil {
		return err
	}
	h, err := entry.New(entry.Config{Settings: s, Bootstrap: bootstrap, Logger: logger, Tracer: tracer, NewOperatorHandler: entry.OperatorHandler(logger)})
	if err != nil {
		return err
	}
	err = serve(signals, h, settings.MS(s.Timings.StopLimitMS), logger)
	return errors.Join(err, flush(context.Background()))
}

func readBootstrap(d settings.Deployment) (*contract.Deployment, error) {
	if d.Path == "" {
		return d.Inline, nil
	}
	data, err := os.ReadFile(d.Path)
	if err != nil {
		return nil, &UsageError{Reason: "deployment: " + err.Error()}
	}
	out, err := settings.ParseDeployment(data)
	return &out, err
}

// stoppableService is an entry host or a complete system.
type stoppableService interface {
	Serve(context.Context) error
	Stop(context.Context)
}

// serve runs s until it ends by itself or a signal arrives. The signal starts a
// planned stop, which the limit or a second signal cuts short.
func serve(signals <-chan os.Signal, s stoppableService, limit time.Duration, logger hclog.Logger) error {
	ctx, cancelServe := context.WithCancel(context.Background())
	defer cancelServe()
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	select {
	case err := <-done:
		return err
	case sig := <-signals:
		logger.Info("signal received", "signal", sig.String())
	}
	stopCtx, cancelStop := context.WithTimeout(ctx, limit)
	defer cancelStop()
	go func() {
		select {
		case <-signals:
			logger.Warn("second signal received")
			cancelStop()
		case <-stopCtx.Done():
		}
	}()
	s.Stop(stopCtx)
	cancelServe()
	return <-done
}

func runEmbedded(signals <-chan os.Signal, file, level string, stdout, stderr io.Writer) error {
	d, err := readDeployment(file)
	if err != nil {
		return err
	}
	logger := newLogger(level, stderr)
	sys, err := embedded.New(embedded.Config{Deployment: d, Logger: logger})
	if err != nil {
		return err
	}
	go func() {
		// Once the system is ready the printed commands work. This goroutine ends
		// with the process.
		if sys.Ready(context.Background()) {
			_ = sys.Print(stdout)
		}
	}()
	const stopLimit = 30 * time.Second
	return serve(signals, sys, stopLimit, logger)
}

func readDeployment(file string) (contract.Deployment, error) {
	if file == "" {
		return examples.Load("andaimes")
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return contract.Deployment{}, &UsageError{Reason: err.Error()}
	}
	if !settings.IsDeployment(data) {
		return contract.Deployment{}, &UsageError{Reason: file + " is not a deployment, which -embedded needs"}
	}
	return settings.ParseDeployment(data)
}
