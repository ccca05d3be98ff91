package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/operator"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
)

// fakeControl applies appended changes immediately.
type fakeControl struct {
	state  *journal.State
	status operator.Status
	err    error
}

func (f *fakeControl) View() *view.View {
	return &view.View{State: f.state, Targets: map[string]view.Target{"t1": {Fit: true}, "t2": {Fit: true}}}
}
func (f *fakeControl) Status() operator.Status { return f.status }
func (f *fakeControl) Append(_ context.Context, _ journal.Kind, body any) (journal.Result, error) {
	if f.err != nil {
		return journal.Result{}, f.err
	}
	next := f.state.Clone()
	cfg, err := next.Config.Apply(body.(contract.Change))
	if err != nil {
		return journal.Result{Outcome: journal.OutcomeRefused, Err: err}, nil
	}
	next.Config = cfg
	f.state = next
	return journal.Result{Outcome: journal.OutcomeApplied, Offset: 9}, nil
}

func TestCommands(t *testing.T) {
	Convey("Given an entry host", t, func() {
		cfg, err := contract.NewState(contract.Deployment{
			Name: "x", Domains: []contract.Domain{{Name: "d1"}, {Name: "d2"}},
			Workloads: []contract.Workload{{Name: "lookups", Keyed: true, Shards: 4}},
			Targets: []contract.Target{
				{Name: "t1", Workload: "lookups", Domain: "d1", Addr: "127.0.0.1:1", Slots: 2, MaxConnections: 2},
				{Name: "t2", Workload: "lookups", Domain: "d2", Addr: "127.0.0.1:2", Slots: 2, MaxConnections: 2},
			},
		})
		So(err, ShouldBeNil)
		f := &fakeControl{state: journal.NewState()}
		f.state.Config = cfg
		srv := httptest.NewServer(operator.NewHandler(f, nil))
		Reset(srv.Close)
		var out, errs bytes.Buffer
		call := func(stdin string, args ...string) int {
			out.Reset()
			errs.Reset()
			e := &env{ctx: context.Background(), stdin: strings.NewReader(stdin), stdout: &out, stderr: &errs}
			return run(e, append(args, "-entry", srv.Listener.Addr().String()))
		}
		create := []string{"contract", "create", "anna", "-workloads", "lookups", "-rate", "5", "-burst", "5", "-concurrency", "3"}

		Convey("a generated credential is shown once and only its hash is stored", func() {
			So(call("", append(create, "-generate")...), ShouldEqual, exitOK)
			credential := strings.Fields(out.String()[strings.Index(out.String(), "only now):"):])[2]
			So(f.state.Config.Contracts["anna"].CredentialHashes, ShouldResemble, []string{hashCredential(credential)})
			So(call("", "contract", "show", "anna"), ShouldEqual, exitOK)
			So(out.String(), ShouldNotContainSubstring, hashCredential(credential))

			Convey("a rotation keeps two, then one", func() {
				second := "a-second-credential"
				So(call(second+"\n", "contract", "amend", "-credential-stdin", "anna", "-rate", "7"), ShouldEqual, exitOK)
				So(f.state.Config.Contracts["anna"].CredentialHashes, ShouldResemble, []string{hashCredential(credential), hashCredential(second)})
				So(f.state.Config.Contracts["anna"].RatePerSecond, ShouldEqual, 7)
				So(f.state.Config.Contracts["anna"].Burst, ShouldEqual, 5)
				So(call("", "contract", "amend", "anna", "-drop-old"), ShouldEqual, exitOK)
				So(f.state.Config.Contracts["anna"].CredentialHashes, ShouldResemble, []string{hashCredential(second)})
				So(call("", "contract", "end", "anna"), ShouldEqual, exitOK)
				So(f.state.Config.Contracts["anna"].Ended, ShouldBeTrue)
			})
		})
		Convey("invalid input, conflict, failure and unknown outcome have their exit codes", func() {
			So(call("short\n", append(create, "-credential-stdin")...), ShouldEqual, exitUsage)
			So(errs.String(), ShouldNotContainSubstring, "short")
			So(call("", append(create, "-rate", "-1", "-generate")...), ShouldEqual, exitUsage)
			So(errs.String(), ShouldContainSubstring, "contract.rate_per_second")
			So(call("", "contract", "show", "nobody"), ShouldEqual, exitUsage)
			So(call("", "domain", "lost"), ShouldEqual, exitUsage)
			So(call("", "domain", "out", "d1"), ShouldEqual, exitOK)
			So(call("", "domain", "in", "d1", "-from-version", "1"), ShouldEqual, exitConflict)
			So(errs.String(), ShouldContainSubstring, `domain d1 state: (none) -> "out"`)
			So(call("", "domain", "in", "d1", "-from-version", "1", "-json"), ShouldEqual, exitConflict)
			So(out.String(), ShouldContainSubstring, `"in_force": 2`)
			So(call("", "domain", "out", "d2"), ShouldEqual, exitFailed)
			f.err = &operator.AppendError{Unknown: true, Err: context.DeadlineExceeded}
			So(call("", "domain", "in", "d1"), ShouldEqual, exitOutcomeUnknown)
		})
		Convey("-wait ends when nothing is left", func() {
			So(call("", "domain", "out", "d1", "-wait"), ShouldEqual, exitOK)
			So(errs.String(), ShouldContainSubstring, "shards left 0, requests left 0")
			f.status.Domains = []operator.DomainStatus{{Name: "d1", Targets: []operator.TargetStatus{{Name: "t1", Shards: 2, InFlight: 1}}}}
			So(call("", "target", "out", "t1", "-wait", "-wait-limit", "1ms", "-force"), ShouldEqual, exitFailed)
			So(errs.String(), ShouldContainSubstring, "2 shards and 1 requests left")
		})
		Convey("each command has help and prints with and without -json", func() {
			f.status.Domains = []operator.DomainStatus{{Name: "d1", Hosts: []operator.HostStatus{{Name: "e1"}}, Targets: []operator.TargetStatus{{Name: "t1"}}}}
			for _, c := range commands() {
				So(call("", append(strings.Fields(c.name), "-h")...), ShouldEqual, exitOK)
				So(errs.String(), ShouldContainSubstring, "usage: boragelock "+c.name)
			}
			for _, name := range []string{"status", "domain list", "host list", "target list", "assignments", "contract list"} {
				So(call("", strings.Fields(name)...), ShouldEqual, exitOK)
				So(call("", append(strings.Fields(name), "-json")...), ShouldEqual, exitOK)
			}
		})
		Convey("settings check names the wrong field", func() {
			file := filepath.Join(t.TempDir(), "s.json")
			So(os.WriteFile(file, []byte(`{"nmae": "x"}`), 0o600), ShouldBeNil)
			e := &env{ctx: context.Background(), stdout: &out, stderr: &errs}
			So(run(e, []string{"settings", "check", file}), ShouldEqual, exitUsage)
			So(errs.String(), ShouldContainSubstring, "nmae")
		})
	})
}
