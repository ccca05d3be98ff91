package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/view"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/provider"
)

// fakeControl applies appended records immediately.
type fakeControl struct {
	state   *journal.State
	targets map[string]view.Target
	// beforeAppend runs before an append takes effect; Append fails with a
	// non-nil appendErr and does not apply the record.
	beforeAppend func()
	appendErr    error
}

func (f *fakeControl) View() *view.View {
	if f.state == nil {
		return nil
	}
	return &view.View{State: f.state, Targets: f.targets}
}

func (f *fakeControl) Status() Status { return Status{Host: "e1"} }

func (f *fakeControl) Append(_ context.Context, kind journal.Kind, body any) (journal.Result, error) {
	if f.beforeAppend != nil {
		f.beforeAppend()
	}
	if f.appendErr != nil {
		return journal.Result{}, f.appendErr
	}
	return f.apply(kind, body), nil
}

func (f *fakeControl) apply(kind journal.Kind, body any) journal.Result {
	data, err := journal.Encode("r"+string(rune('a'+f.state.NextOffset)), kind, body)
	if err != nil {
		panic(err)
	}
	next := f.state.Clone()
	res, err := next.Apply(next.NextOffset, data)
	if err != nil {
		panic(err)
	}
	f.state = next
	return res
}

func hashOf(c string) string { return strings.Repeat(c, 64) }

func newFakeControl() *fakeControl {
	f := &fakeControl{state: journal.NewState(), targets: map[string]view.Target{}}
	d := contract.Deployment{
		Name: "x", IsolatedServeMS: -1, Domains: []contract.Domain{{Name: "d1"}, {Name: "d2"}},
		Workloads: []contract.Workload{{Name: "lookups", Keyed: true, Shards: 4, Fencing: true}},
	}
	for _, name := range []string{"t1", "t2"} {
		d.Targets = append(d.Targets, contract.Target{Name: name, Workload: "lookups", Domain: "d" + name[1:], Addr: "127.0.0.1:1", Slots: 2, MaxConnections: 9})
		f.targets[name] = view.Target{Known: true, Fit: true, Load: provider.LoadReport{InFlight: 1}}
	}
	d.Contracts = []contract.Contract{newContract("anna", "a")}
	f.apply(journal.KindBootstrap, d)
	return f
}

func newContract(customer, hash string) contract.Contract {
	return contract.Contract{Customer: customer, CredentialHashes: []string{hashOf(hash)}, Workloads: []string{"lookups"}, RatePerSecond: 5, Burst: 5, Concurrency: 5, Weight: 1}
}

func takeDomainOut(from int64, name string) ChangeRequest {
	return ChangeRequest{Change: contract.Change{FromVersion: from, Operator: "op", Items: []contract.Item{{Domain: &contract.SetState{Name: name, State: contract.StateOut}}}}}
}

func failureOf(err error) *Failure {
	var f *Failure
	So(errors.As(err, &f), ShouldBeTrue)
	return f
}

func TestChanges(t *testing.T) {
	ctx := context.Background()
	Convey("Given an entry host", t, func() {
		f := newFakeControl()
		srv := httptest.NewServer(NewHandler(f, nil))
		Reset(srv.Close)
		c := NewClient([]string{srv.Listener.Addr().String()}, nil)

		Convey("a change takes effect; a dry run does not", func() {
			req := takeDomainOut(1, "d1")
			req.DryRun = true
			a, err := c.Change(ctx, req)
			So(err, ShouldBeNil)
			So(a.Version, ShouldEqual, 1)
			So(a.Changes, ShouldResemble, []Difference{{Kind: "domain", Name: "d1", Field: "state", To: `"out"`}})
			req.DryRun = false
			a, err = c.Change(ctx, req)
			So(err, ShouldBeNil)
			So(a.Version, ShouldEqual, 2)
			So(f.state.Config.Domains["d1"].State, ShouldEqual, contract.StateOut)
		})
		Convey("a racing change is answered with what changed, at check and at append", func() {
			f.beforeAppend = func() { f.beforeAppend = nil; f.apply(journal.KindChange, takeDomainOut(1, "d2").Change) }
			_, err := c.Change(ctx, takeDomainOut(1, "d1"))
			So(failureOf(err).Code, ShouldEqual, CodeConflict)
			So(failureOf(err).ChangesComplete, ShouldBeTrue)
			So(failureOf(err).Changes[0].Name, ShouldEqual, "d2")
			_, err = c.Change(ctx, takeDomainOut(1, "d1"))
			So(failureOf(err).Code, ShouldEqual, CodeConflict)
			So(failureOf(err).CurrentVersion, ShouldEqual, 2)
		})
		Convey("a host that is behind says so instead of reporting a conflict", func() {
			_, err := c.Change(ctx, takeDomainOut(7, "d1"))
			So(failureOf(err).Code, ShouldEqual, CodeNoState)
		})
		Convey("taking out too many slots is refused unless forced", func() {
			f.targets["t2"] = view.Target{Known: true, Fit: true, Load: provider.LoadReport{InFlight: 2}}
			_, err := c.Change(ctx, takeDomainOut(1, "d1"))
			So(failureOf(err).Code, ShouldEqual, CodeRefused)
			So(failureOf(err).Message, ShouldContainSubstring, "2 slots, 3 requests")
			req := takeDomainOut(1, "d1")
			req.Force = true
			_, err = c.Change(ctx, req)
			So(err, ShouldBeNil)
		})
		Convey("an unknown outcome is not reported as a failure without effect", func() {
			f.appendErr = &AppendError{Unknown: true, Err: io.EOF}
			_, err := c.Change(ctx, takeDomainOut(1, "d1"))
			So(failureOf(err).Code, ShouldEqual, CodeUnknownOutcome)
			f.appendErr = &AppendError{Err: io.EOF}
			_, err = c.Change(ctx, takeDomainOut(1, "d1"))
			So(failureOf(err).Code, ShouldEqual, CodeNotAccepted)
			f.appendErr = io.EOF
			_, err = c.Change(ctx, takeDomainOut(1, "d1"))
			So(failureOf(err).Code, ShouldEqual, CodeUnknownOutcome)
		})
		Convey("a credential of another customer is refused without showing it", func() {
			x := newContract("bert", "a")
			_, err := c.Change(ctx, ChangeRequest{Change: contract.Change{FromVersion: 1, Operator: "op", Items: []contract.Item{{Contract: &x}}}})
			So(failureOf(err).Code, ShouldEqual, CodeInvalid)
			So(err.Error(), ShouldNotContainSubstring, hashOf("a"))
		})
	})
}

func TestClientAddresses(t *testing.T) {
	ctx := context.Background()
	Convey("Given an entry host and one that closes connections", t, func() {
		f := newFakeControl()
		good := httptest.NewServer(NewHandler(f, nil))
		Reset(good.Close)
		aborting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }))
		Reset(aborting.Close)
		noState := httptest.NewServer(NewHandler(&fakeControl{}, nil))
		Reset(noState.Close)
		closed := httptest.NewServer(http.NotFoundHandler())
		closed.Close()
		addr := func(s *httptest.Server) string { return s.Listener.Addr().String() }

		Convey("a change passes over hosts where it had no effect", func() {
			_, err := NewClient([]string{addr(closed), addr(noState), addr(good)}, nil).Change(ctx, takeDomainOut(1, "d1"))
			So(err, ShouldBeNil)
		})
		Convey("a change is not repeated after a lost answer", func() {
			_, err := NewClient([]string{addr(aborting), addr(good)}, nil).Change(ctx, takeDomainOut(1, "d1"))
			So(failureOf(err).Code, ShouldEqual, CodeUnknownOutcome)
			So(f.state.Config.Version, ShouldEqual, 1)
		})
		Convey("a read is repeated after a lost answer", func() {
			s, err := NewClient([]string{addr(aborting), addr(good)}, nil).Status(ctx)
			So(err, ShouldBeNil)
			So(s.Host, ShouldEqual, "e1")
		})
	})
}

// TestSchema guards against errors that do not name the invalid field and the
// allowed values, or that show a credential.
func TestSchema(t *testing.T) {
	Convey("faults name the field", t, func() {
		base := newContract("anna", "a")
		for _, x := range []struct {
			change func(*contract.Contract)
			field  string
		}{
			{func(c *contract.Contract) { c.RatePerSecond = 0 }, "contract.rate_per_second"},
			{func(c *contract.Contract) { c.Workloads = nil }, "contract.workloads"},
			{func(c *contract.Contract) { c.Customer = "a b" }, "contract.customer"},
			{func(c *contract.Contract) { c.CredentialHashes = []string{"secret"} }, "contract.credential_hashes.0"},
			{func(c *contract.Contract) { c.CredentialHashes = nil }, "contract.credential_hashes"},
		} {
			c := base
			x.change(&c)
			var invalid *contract.InvalidError
			So(errors.As(CheckContract(c), &invalid), ShouldBeTrue)
			So(invalid.Field, ShouldEqual, x.field)
			So(invalid.Allowed, ShouldNotBeEmpty)
			So(invalid.Error(), ShouldNotContainSubstring, "secret")
		}
		So(CheckContract(base), ShouldBeNil)
		data, err := json.Marshal(map[string]any{"customer": "anna", "wieght": 1})
		So(err, ShouldBeNil)
		_, err = ParseContract(data)
		So(err, ShouldNotBeNil)
	})
}
