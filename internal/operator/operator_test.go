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

// fakeControl folds appended records at once.
type fakeControl struct {
	state   *journal.State
	targets map[string]view.Target
	// before runs before an append takes effect; err is returned instead of it.
	before func()
	err    error
}

func (f *fakeControl) View() *view.View {
	if f.state == nil {
		return nil
	}
	return &view.View{State: f.state, Targets: f.targets}
}

func (f *fakeControl) Status() Status { return Status{Host: "e1"} }

func (f *fakeControl) Append(_ context.Context, kind journal.Kind, body any) (journal.Result, error) {
	if f.before != nil {
		f.before()
	}
	if f.err != nil {
		return journal.Result{}, f.err
	}
	return f.append(kind, body), nil
}

func (f *fakeControl) append(kind journal.Kind, body any) journal.Result {
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

func newFake() *fakeControl {
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
	f.append(journal.KindBootstrap, d)
	return f
}

func newContract(customer, hash string) contract.Contract {
	return contract.Contract{Customer: customer, CredentialHashes: []string{hashOf(hash)}, Workloads: []string{"lookups"}, RatePerSecond: 5, Burst: 5, Concurrency: 5, Weight: 1}
}

func domainOut(from int64, name string) ChangeRequest {
	return ChangeRequest{Change: contract.Change{FromVersion: from, Operator: "op", Items: []contract.Item{{Domain: &contract.SetState{Name: name, State: contract.StateOut}}}}}
}

func failure(err error) *Failure {
	var f *Failure
	So(errors.As(err, &f), ShouldBeTrue)
	return f
}

func TestChanges(t *testing.T) {
	ctx := context.Background()
	Convey("Given an entry host", t, func() {
		f := newFake()
		srv := httptest.NewServer(NewHandler(f, nil))
		Reset(srv.Close)
		c := NewClient([]string{srv.Listener.Addr().String()}, nil)

		Convey("a change takes effect; a dry run does not", func() {
			req := domainOut(1, "d1")
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
			f.before = func() { f.before = nil; f.append(journal.KindChange, domainOut(1, "d2").Change) }
			_, err := c.Change(ctx, domainOut(1, "d1"))
			So(failure(err).Code, ShouldEqual, CodeConflict)
			So(failure(err).Complete, ShouldBeTrue)
			So(failure(err).Changes[0].Name, ShouldEqual, "d2")
			_, err = c.Change(ctx, domainOut(1, "d1"))
			So(failure(err).Code, ShouldEqual, CodeConflict)
			So(failure(err).InForce, ShouldEqual, 2)
		})
		Convey("a host that is behind says so instead of reporting a conflict", func() {
			_, err := c.Change(ctx, domainOut(7, "d1"))
			So(failure(err).Code, ShouldEqual, CodeNoState)
		})
		Convey("taking out too many slots is refused unless forced", func() {
			f.targets["t2"] = view.Target{Known: true, Fit: true, Load: provider.LoadReport{InFlight: 2}}
			_, err := c.Change(ctx, domainOut(1, "d1"))
			So(failure(err).Code, ShouldEqual, CodeRefused)
			So(failure(err).Message, ShouldContainSubstring, "2 slots, 3 requests")
			req := domainOut(1, "d1")
			req.Force = true
			_, err = c.Change(ctx, req)
			So(err, ShouldBeNil)
		})
		Convey("an unknown outcome is not reported as a failure without effect", func() {
			f.err = &AppendError{Unknown: true, Err: io.EOF}
			_, err := c.Change(ctx, domainOut(1, "d1"))
			So(failure(err).Code, ShouldEqual, CodeUnknownOutcome)
			f.err = &AppendError{Err: io.EOF}
			_, err = c.Change(ctx, domainOut(1, "d1"))
			So(failure(err).Code, ShouldEqual, CodeNotAccepted)
			f.err = io.EOF
			_, err = c.Change(ctx, domainOut(1, "d1"))
			So(failure(err).Code, ShouldEqual, CodeUnknownOutcome)
		})
		Convey("a credential of another customer is refused without showing it", func() {
			x := newContract("bert", "a")
			_, err := c.Change(ctx, ChangeRequest{Change: contract.Change{FromVersion: 1, Operator: "op", Items: []contract.Item{{Contract: &x}}}})
			So(failure(err).Code, ShouldEqual, CodeInvalid)
			So(err.Error(), ShouldNotContainSubstring, hashOf("a"))
		})
	})
}

func TestClientAddresses(t *testing.T) {
	ctx := context.Background()
	Convey("Given an entry host and one that closes connections", t, func() {
		f := newFake()
		good := httptest.NewServer(NewHandler(f, nil))
		Reset(good.Close)
		cut := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }))
		Reset(cut.Close)
		none := httptest.NewServer(NewHandler(&fakeControl{}, nil))
		Reset(none.Close)
		gone := httptest.NewServer(http.NotFoundHandler())
		gone.Close()
		addr := func(s *httptest.Server) string { return s.Listener.Addr().String() }

		Convey("a change passes over hosts where it had no effect", func() {
			_, err := NewClient([]string{addr(gone), addr(none), addr(good)}, nil).Change(ctx, domainOut(1, "d1"))
			So(err, ShouldBeNil)
		})
		Convey("a change is not repeated after a lost answer", func() {
			_, err := NewClient([]string{addr(cut), addr(good)}, nil).Change(ctx, domainOut(1, "d1"))
			So(failure(err).Code, ShouldEqual, CodeUnknownOutcome)
			So(f.state.Config.Version, ShouldEqual, 1)
		})
		Convey("a read is repeated after a lost answer", func() {
			s, err := NewClient([]string{addr(cut), addr(good)}, nil).Status(ctx)
			So(err, ShouldBeNil)
			So(s.Host, ShouldEqual, "e1")
		})
	})
}

// A fault in a contract must name field, value and what is allowed.
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
