package bench

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/faultproxy"
	"github.com/boragelock/boragelock/internal/standin"
	"github.com/boragelock/boragelock/retry"
)

func callAt(msDue, msEnd int64, o CallOutcome) *Call {
	return &Call{Due: time.Duration(msDue) * time.Millisecond, End: time.Duration(msEnd) * time.Millisecond, Outcome: o}
}

// Wrong measurements invalidate comparisons between two versions.
func TestMeasures(t *testing.T) {
	Convey("unserved time runs from a failure to the next success and covers late answers once", t, func() {
		end := 10 * time.Second
		So(unserved([]*Call{callAt(0, 5, CallOK), callAt(100, 110, CallOK)}, end), ShouldEqual, 0)
		So(unserved([]*Call{callAt(0, 5, CallOK), callAt(100, 110, CallNotRun), callAt(200, 210, CallMayHaveRun), callAt(400, 410, CallOK)}, end), ShouldEqual, 300*time.Millisecond)
		So(unserved([]*Call{callAt(0, 1000, CallOK), callAt(100, 1000, CallOK), callAt(1100, 1110, CallOK)}, end), ShouldEqual, time.Second)
		So(unserved([]*Call{callAt(9000, 9001, CallNotRun)}, end), ShouldEqual, time.Second)
	})
	Convey("a configuration is in force when a host acts by it, counted from the end of its suspension", t, func() {
		e := &Evidence{
			Plan: &Plan{Entries: []EntryPlan{{Name: "a"}, {Name: "b"}}}, ConfigAccepted: []time.Duration{time.Second}, End: 10 * time.Second,
			Steps:              []AppliedStep{{Step: Step{Action: ActPauseEntry}, Entries: []string{"b"}, At: 500 * time.Millisecond, Until: 3 * time.Second}},
			ConfigObservations: []ConfigObservation{{Host: "a", Change: 0, At: 1100 * time.Millisecond}, {Host: "a", Change: 1, At: 1200 * time.Millisecond}, {Host: "b", Change: 1, At: 3300 * time.Millisecond}},
		}
		So(*configInForce(e), ShouldResemble, Distribution{P50: 300, P99: 300, Max: 300})
		e.ConfigObservations = nil
		So(*configInForce(e), ShouldResemble, Distribution{P50: 9000, P99: 9000, Max: 9000})
	})
	Convey("a spread gives quantiles by nearest rank, and none without times", t, func() {
		var times []time.Duration
		for n := 100; n > 0; n-- {
			times = append(times, time.Duration(n)*time.Millisecond)
		}
		So(*newDistribution(times), ShouldResemble, Distribution{P50: 50, P99: 99, Max: 100})
		So(*newDistribution(times[:1]), ShouldResemble, Distribution{P50: 100, P99: 100, Max: 100})
		So(newDistribution(nil), ShouldBeNil)
	})
	Convey("only the last line of a record file may be cut", t, func() {
		path := filepath.Join(t.TempDir(), "r.jsonl")
		So(os.WriteFile(path, []byte("{\"target\":\"a\"}\n{\"tar"), 0o600), ShouldBeNil)
		records, err := readRecords(path)
		So(err, ShouldBeNil)
		So(records, ShouldHaveLength, 1)
		So(os.WriteFile(path, []byte("{\"tar\n{\"target\":\"a\"}\n"), 0o600), ShouldBeNil)
		_, err = readRecords(path)
		So(err, ShouldHaveSameTypeAs, &RunError{})
	})
	Convey("all steps name known actions and times within the run", t, func() {
		for _, s := range Scenarios {
			for _, x := range s.Steps {
				So(x.At, ShouldBeBetween, 0, 1)
				So(x.At+x.ForFraction, ShouldBeLessThanOrEqualTo, 1)
			}
		}
	})
}

// A cut on the wrong side would test a different fault than the scenario names.
func TestNetwork(t *testing.T) {
	Convey("a cut holds the bytes between the domain and the others only", t, func() {
		p, err := NewPlan("toise", 0.2)
		So(err, ShouldBeNil)
		n := newNetwork(p, nil, nil)
		n.domainCuts["levis"] = ActCutDomain
		So(n.cutBetween("levis", "laval"), ShouldEqual, faultproxy.CutBoth)
		So(n.cutBetween("laval", "levis"), ShouldEqual, faultproxy.CutBoth)
		So(n.cutBetween("levis", domainPlatform), ShouldEqual, faultproxy.CutBoth)
		So(n.cutBetween("laval", "gaspe"), ShouldEqual, faultproxy.CutNone)
		n.domainCuts["levis"] = ActCutDomainOneWay
		So(n.cutBetween("levis", "laval"), ShouldEqual, faultproxy.CutUp)
		So(n.cutBetween("laval", "levis"), ShouldEqual, faultproxy.CutDown)
	})
	Convey("a connection is traced to the domain of the process that opened it", t, func() {
		c := newClassifier()
		c.setDomain(os.Getpid(), "here")
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer ln.Close()
		client, err := net.Dial("tcp", ln.Addr().String())
		So(err, ShouldBeNil)
		defer client.Close()
		So(c.classify(client.LocalAddr()), ShouldEqual, "here")
		So(newClassifier().classify(client.LocalAddr()), ShouldEqual, classCaller)
	})
}

// A caller that retries wrongly causes double runs that are not the router's; one
// that misreads outcomes hides double runs of the router.
func TestCaller(t *testing.T) {
	Convey("a caller", t, func() {
		p, err := NewPlan("toise", 0.2)
		So(err, ShouldBeNil)
		ids, seen, reply := 0, []string{}, func(w http.ResponseWriter, n int) {}
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == pathRequestIDs {
				ids++
				writeTo(w, idsResponse{IDs: []string{"id" + string(rune('0'+ids))}})
				return
			}
			seen = append(seen, r.Header.Get("Boragelock-Request-Id"))
			reply(w, len(seen))
		}))
		defer s.Close()
		h := &balancedHost{name: "e", addr: s.Listener.Addr().String()}
		h.up.Store(true)
		c := newCaller(p, &balancer{hosts: []*balancedHost{h}})
		call := func(method string) Call {
			return c.call(context.Background(), request{tag: "1", key: "k", method: method, workload: p.Workload(RoleWrite), customer: p.Customers[0]})
		}
		ok := func(w http.ResponseWriter, tag string) {
			writeTo(w, standin.Answer{Target: "t", Workload: "orders", Key: "k", Tag: tag, BodyHash: "ef46db3751d8e999", End: "end"})
		}
		cut := func(w http.ResponseWriter) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			conn.Close()
		}
		Convey("repeats a lost non-idempotent request with the same identifier", func() {
			reply = func(w http.ResponseWriter, n int) {
				if n == 1 {
					cut(w)
					return
				}
				ok(w, "1")
			}
			out := call("POST")
			So(out.Outcome, ShouldEqual, CallOK)
			So(seen, ShouldResemble, []string{"id1", "id1"})
			So(out.Cuts, ShouldHaveLength, 1)
		})
		Convey("takes another identifier when the issuer is gone before anything was lost", func() {
			reply = func(w http.ResponseWriter, n int) {
				if n == 1 {
					callerError(w, 409, string(retry.CodeIssuerGone), "may_have_run")
					return
				}
				ok(w, "1")
			}
			So(call("POST").Outcome, ShouldEqual, CallOK)
			So(seen, ShouldResemble, []string{"id1", "id2"})
		})
		Convey("keeps may_have_run when the issuer is gone after a loss", func() {
			reply = func(w http.ResponseWriter, n int) {
				if n == 1 {
					cut(w)
					return
				}
				callerError(w, 409, string(retry.CodeIssuerGone), "may_have_run")
			}
			So(call("POST").Outcome, ShouldEqual, CallMayHaveRun)
			So(seen, ShouldResemble, []string{"id1", "id1"})
		})
		Convey("does not repeat an idempotent request that was lost", func() {
			reply = func(w http.ResponseWriter, n int) { cut(w) }
			So(call("GET").Outcome, ShouldEqual, CallMayHaveRun)
		})
		Convey("knows that a request may have run when it was sent before the host was gone", func() {
			reply = func(w http.ResponseWriter, n int) {
				s.Listener.Close()
				cut(w)
			}
			So(call("GET").Outcome, ShouldEqual, CallMayHaveRun)
		})
		Convey("finds the answer to another request", func() {
			reply = func(w http.ResponseWriter, n int) { ok(w, "2") }
			So(call("POST").ResponseFault, ShouldNotBeEmpty)
		})
	})
}
