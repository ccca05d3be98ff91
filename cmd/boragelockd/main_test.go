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

// buffer is a bytes.Buffer that is safe for concurrent use.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// A wrong setting must end the daemon before it serves, with the code that
// tells operators that a restart does not help.
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
			var out buffer
			err := run(nil, c.args, &out, &out)
			So(err, ShouldNotBeNil)
			So(exitCode(err), ShouldEqual, exitUsage)
			So(err.Error(), ShouldContainSubstring, c.text)
		}
	})
}

// slowStop is a host whose planned stop takes until its context ends.
type slowStop struct{ stopping chan struct{} }

func (s *slowStop) Serve(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (s *slowStop) Stop(ctx context.Context) {
	close(s.stopping)
	<-ctx.Done()
}

// A host that cannot be ended blocks its machine's restart.
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

// The first steps of a new user are the printed command lines.
func TestEmbedded(t *testing.T) {
	Convey("the embedded system prints its commands and stops on a signal", t, func() {
		signals := make(chan os.Signal, 2)
		var out, log buffer
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
