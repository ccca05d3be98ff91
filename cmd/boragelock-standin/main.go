// Command boragelock-standin runs one stand-in for the platform as a process:
//
//	boragelock-standin log    -addr 127.0.0.1:0 -admin 127.0.0.1:0
//	boragelock-standin hosts  -addr 127.0.0.1:0 -admin 127.0.0.1:0 -lag 2s
//	boragelock-standin target -addr 127.0.0.1:0 -admin 127.0.0.1:0 -config '{"name":"t1",...}' -records FILE
//
// It prints one JSON line with both addresses to standard output when it listens,
// logs to standard error, and exits on SIGTERM or SIGINT.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/thejerf/suture/v4"

	"github.com/boragelock/boragelock/internal/standin"
	"github.com/boragelock/boragelock/provider"
)

// UsageError reports an invalid command line.
type UsageError struct{ Reason string }

// Error implements error.
func (e *UsageError) Error() string { return e.Reason }

// service holds the handlers of one stand-in.
type service struct {
	handler, admin http.Handler
	// wrapListener limits the connections of the listener, unless nil.
	wrapListener func(net.Listener) net.Listener
	closeRecords func() error
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	var usage *UsageError
	switch {
	case errors.Is(err, flag.ErrHelp):
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	if len(args) == 0 {
		return &UsageError{Reason: "usage: boragelock-standin log|hosts|target [flags]"}
	}
	fs := flag.NewFlagSet(args[0], flag.ContinueOnError)
	fs.SetOutput(stderr)
	addr := fs.String("addr", "127.0.0.1:0", "IP address and port of the service")
	admin := fs.String("admin", "127.0.0.1:0", "IP address and port of the admin handler")
	var build func() (service, error)
	switch args[0] {
	case "log":
		build = logFlags(fs)
	case "hosts":
		build = hostsFlags(fs)
	case "target":
		build = targetFlags(fs)
	default:
		return &UsageError{Reason: fmt.Sprintf("unknown stand-in %q; known: log, hosts, target", args[0])}
	}
	if err := fs.Parse(args[1:]); err != nil {
		return err
	}
	svc, err := build()
	if err != nil {
		return err
	}
	defer svc.closeRecords()
	return serve(ctx, args[0], svc, *addr, *admin, stdout, stderr)
}

func serve(ctx context.Context, kind string, svc service, addr, admin string, stdout, stderr io.Writer) error {
	log := hclog.New(&hclog.LoggerOptions{Name: "standin-" + kind, Output: stderr, Level: hclog.Info})
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	adminLn, err := net.Listen("tcp", admin)
	if err != nil {
		return err
	}
	line, err := json.Marshal(map[string]string{"kind": kind, "addr": ln.Addr().String(), "admin": adminLn.Addr().String()})
	if err != nil {
		return err
	}
	if svc.wrapListener != nil {
		ln = svc.wrapListener(ln)
	}
	sup := suture.New("standin", suture.Spec{EventHook: func(e suture.Event) {
		log.Error("supervisor", "event", e.String())
	}})
	sup.Add(&standin.Server{Name: "service", Listener: ln, Handler: svc.handler})
	sup.Add(&standin.Server{Name: "admin", Listener: adminLn, Handler: svc.admin})
	if _, err := fmt.Fprintf(stdout, "%s\n", line); err != nil {
		return err
	}
	err = sup.Serve(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func noClose() error { return nil }

func logFlags(fs *flag.FlagSet) func() (service, error) {
	rate := fs.Float64("appends-per-second", 400, "append rate limit")
	records := fs.Int("retain-records", 100000, "maximum number of retained records")
	age := fs.Duration("retain-for", time.Hour, "maximum age of retained records")
	return func() (service, error) {
		l := standin.NewLog(standin.LogConfig{AppendsPerSecond: *rate, RetainRecords: *records, RetainFor: *age})
		return service{handler: l, admin: l.Admin(), closeRecords: noClose}, nil
	}
}

func hostsFlags(fs *flag.FlagSet) func() (service, error) {
	lag := fs.Duration("lag", 2*time.Second, "delay until a change becomes visible")
	initial := fs.String("hosts", "[]", "JSON list of the initial hosts")
	return func() (service, error) {
		var hosts []provider.Host
		if err := json.Unmarshal([]byte(*initial), &hosts); err != nil {
			return service{}, &UsageError{Reason: "-hosts: " + err.Error()}
		}
		h := standin.NewHosts(*lag, hosts...)
		return service{handler: h, admin: h.Admin(), closeRecords: noClose}, nil
	}
}

func targetFlags(fs *flag.FlagSet) func() (service, error) {
	config := fs.String("config", "{}", "JSON of the target's configuration")
	records := fs.String("records", "", "file to which the target appends records as JSON lines")
	return func() (service, error) {
		var cfg standin.TargetConfig
		if err := json.Unmarshal([]byte(*config), &cfg); err != nil {
			return service{}, &UsageError{Reason: "-config: " + err.Error()}
		}
		if cfg.Name == "" {
			return service{}, &UsageError{Reason: "-config: name is missing"}
		}
		rec, closeFile := standin.NewRecorder(nil, true), noClose
		if *records != "" {
			f, err := os.OpenFile(*records, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
			if err != nil {
				return service{}, err
			}
			rec, closeFile = standin.NewRecorder(f, false), f.Close
		}
		t := standin.NewTarget(cfg, rec)
		return service{handler: t, admin: t.Admin(), wrapListener: t.Listener, closeRecords: closeFile}, nil
	}
}
