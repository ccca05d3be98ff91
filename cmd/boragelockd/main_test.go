package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"
)

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// TestExitCodes guards against a daemon that serves with invalid settings, or whose
// exit code suggests that a restart helps.
func TestExitCodes(t *testing.T) {
	file := func(text string) string {
		path := filepath.Join(t.TempDir(), "settings.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	Convey("usage and settings errors exit with 2 and name the fault", t, func() {
		for _, c := range []struct {
			args []string
			text string
		}{
			{nil, "-settings"},
			{[]string{"-nothing"}, "-help"},
			{[]string{"extra"}, "extra"},
			{[]string{"-settings", "/nonexistent/file"}, "no such file"},
			{[]string{"-settings", file(`{"name":"a","colour":1}`)}, "colour"},
			{[]string{"-embedded", "-settings", file(`{"name":"a"}`)}, "deployment"},
			{[]string{"-embedded", "-settings", file(`{"name":"a","workloads":[{"name":1}]}`)}, "workloads[0].name"},
		} {
			var out syncBuffer
			err := run(nil, c.args, &out, &out)
			So(err, ShouldNotBeNil)
			So(exitCode(err), ShouldEqual, exitUsage)
			So(err.Error(), ShouldContainSubstring, c.text)
		}
	})
}

// slowStop is a host whose planned stop ends only with its context.
type slowStop struct{ stopping chan struct{} }

func (s *slowStop) Serve(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (s *slowStop) Stop(ctx context.Context) {
	close(s.stopping)
	<-ctx.Done()
}

// TestStopIsBounded guards against a planned stop that never ends and so blocks the
// restart of the machine.
func TestStopIsBounded(t *testing.T) {
	run := func(limit time.Duration, second bool) time.Duration {
		signals := make(chan os.Signal, 2)
		s := &slowStop{stopping: make(chan struct{})}
		signals <- syscall.SIGTERM
		if second {
			go func() {
				<-s.stopping
				signals <- syscall.SIGTERM
			}()
		}
		start := time.Now()
		So(serve(signals, s, limit, hclog.NewNullLogger()), ShouldBeNil)
		return time.Since(start)
	}
	Convey("a second signal ends the stop", t, func() {
		So(run(time.Minute, true), ShouldBeLessThan, 5*time.Second)
	})
	Convey("the limit ends the stop", t, func() {
		So(run(50*time.Millisecond, false), ShouldBeBetween, 40*time.Millisecond, 5*time.Second)
	})
}

// TestEmbedded guards against missing example commands, which are what a new user
// tries first.
func TestEmbedded(t *testing.T) {
	Convey("the embedded system prints its commands and stops on a signal", t, func() {
		signals := make(chan os.Signal, 2)
		var out, log syncBuffer
		done := make(chan error, 1)
		go func() { done <- run(signals, []string{"-embedded"}, &out, &log) }()
		for limit := time.Now().Add(15 * time.Second); strings.Count(out.String(), "curl") < 2 && time.Now().Before(limit); {
			time.Sleep(20 * time.Millisecond)
		}
		So(out.String(), ShouldContainSubstring, "/v1/lookups/")
		So(out.String(), ShouldContainSubstring, "/v1/registrations/")
		signals <- syscall.SIGTERM
		So(<-done, ShouldBeNil)
	})
}
