package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/bench"
	"github.com/boragelock/boragelock/internal/operator"
	"github.com/boragelock/boragelock/internal/standin"
)

// testTimeout limits the whole test; inForceTimeout limits the time until a change
// is in force, drainTimeout the time to take a domain out or in.
const (
	testTimeout    = 55 * time.Second
	inForceTimeout = 4 * time.Second
	drainTimeout   = 20 * time.Second
)

// system is a small deployment of real processes.
type system struct {
	t       *testing.T
	ctx     context.Context
	cluster *bench.Cluster
	addrs   []string
}

// result is the exit code and the output of one command line.
type result struct {
	code        int
	out, errors string
}

func startSystem(t *testing.T) *system {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	bin, err := bench.FindBinaries(ctx, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	plan, err := bench.NewPlan("andaimes", 0.2)
	if err != nil {
		t.Fatal(err)
	}
	c, err := bench.StartCluster(ctx, bench.ClusterConfig{
		Plan: plan, Policy: bench.PolicyBoragelock, Binaries: bin, Dir: t.TempDir(), Seed: 1, Logger: hclog.NewNullLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	s := &system{t: t, ctx: ctx, cluster: c, addrs: c.OperatorAddrs()}
	s.waitFor(20*time.Second, "all shards assigned and all targets with a home", s.ready)
	return s
}

// runOn runs a command line against one entry host.
func (s *system) runOn(addr, stdin string, args ...string) result {
	var out, errs bytes.Buffer
	e := &env{ctx: s.ctx, stdin: strings.NewReader(stdin), stdout: &out, stderr: &errs}
	code := run(e, append(args, "-entry", addr))
	return result{code: code, out: out.String(), errors: errs.String()}
}

// runOnFirst runs a command line against the first entry host.
func (s *system) runOnFirst(args ...string) result { return s.runOn(s.addrs[0], "", args...) }

func (s *system) waitFor(limit time.Duration, what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) || s.ctx.Err() != nil {
			s.t.Fatalf("not in %s: %s", limit, what)
		}
	}
}

func (s *system) status(addr string) (operator.Status, bool) {
	r := s.runOn(addr, "", "status", "-json")
	var st operator.Status
	return st, r.code == exitOK && json.Unmarshal([]byte(r.out), &st) == nil
}

// ready reports whether at least half of the entry hosts are alive and reach the
// log, and each target has a home, is fit and waits for no shard.
func (s *system) ready() bool {
	st, ok := s.status(s.addrs[0])
	if !ok || len(st.Domains) == 0 {
		return false
	}
	hosts, shards := 0, 0
	for _, d := range st.Domains {
		for _, h := range d.Hosts {
			if h.Alive && h.LogReachable {
				hosts++
			}
		}
		for _, x := range d.Targets {
			if !x.Fit || x.Home == "" || x.WaitingShards+x.LeavingShards > 0 {
				return false
			}
			shards += x.Shards
		}
	}
	return hosts >= len(s.addrs)/2 && shards > 0
}

// acceptsCredential reports whether an entry host accepts a credential.
func (s *system) acceptsCredential(addr, customer, token string) bool {
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+addr+"/v1/request-ids", strings.NewReader(`{"count":1}`))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Boragelock-Customer", customer)
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitForCredential waits until every entry host accepts a credential, or refuses
// it when want is false.
func (s *system) waitForCredential(customer, token string, want bool) {
	s.t.Helper()
	for _, addr := range s.cluster.CallerAddrs() {
		s.waitFor(inForceTimeout, customer+" at "+addr, func() bool { return s.acceptsCredential(addr, customer, token) == want })
	}
}

// remaining returns the shards and requests that the status shows for one domain.
func (s *system) remaining(domain string) (shards, requests int) {
	st, ok := s.status(s.addrs[0])
	if !ok {
		return 1, 1
	}
	return remainingWork(st, "domain", domain)
}

var contractArgs = []string{"-workloads", "lookups", "-rate", "50", "-burst", "50", "-concurrency", "30", "-credential-stdin"}

func createArgs(customer string) []string {
	return append([]string{"contract", "create", customer}, contractArgs...)
}

// TestOperatorsAgainstProcesses guards against commands that do not behave as
// configuration.md specifies when they run against real processes.
func TestOperatorsAgainstProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("real processes are started")
	}
	s := startSystem(t)
	Convey("a contract is created and amended, and is in force on every entry host", t, func() { s.checkContract() })
	Convey("when two operators race, one gets a conflict that says what changed", t, func() { s.checkRace() })
	Convey("a change whose append answers are lost is applied once", t, func() { s.checkLostAnswers() })
	Convey("a change while the log is down is refused or unknown, and views still answer", t, func() { s.checkLogDown() })
	Convey("a domain goes out to its last shard and request, and comes back", t, func() { s.checkDomainOut() })
}

const firstToken, secondToken = "a-credential-of-anna", "a-second-credential-of-anna"

// checkContract guards against a host that misses a change and keeps refusing a
// customer who has a contract.
func (s *system) checkContract() {
	So(s.runOn(s.addrs[0], firstToken+"\n", createArgs("anna")...), shouldSucceed)
	s.waitForCredential("anna", firstToken, true)
	last := s.addrs[len(s.addrs)-1]
	So(s.runOn(last, secondToken+"\n", "contract", "amend", "anna", "-rate", "70", "-credential-stdin"), shouldSucceed)
	s.waitForCredential("anna", secondToken, true)
	So(s.runOnFirst("contract", "amend", "anna", "-drop-old"), shouldSucceed)
	s.waitForCredential("anna", firstToken, false)
	for _, addr := range s.addrs {
		So(s.runOn(addr, "", "contract", "show", "anna").out, ShouldContainSubstring, `"rate_per_second": 70`)
	}
	r := s.runOnFirst("contract", "history", "anna")
	So(strings.Count(r.out, "applied"), ShouldEqual, 3)
	So(r.out, ShouldNotContainSubstring, hashCredential(firstToken))
}

// checkRace guards against applying two changes that are based on one version.
func (s *system) checkRace() {
	version := s.version()
	results := make([]result, 2)
	var wg sync.WaitGroup
	for i, rate := range []string{"81", "82"} {
		wg.Go(func() {
			results[i] = s.runOn(s.addrs[i], "", "contract", "amend", "anna", "-rate", rate, "-from-version", version)
		})
	}
	wg.Wait()
	winner, loser := results[0], results[1]
	if winner.code != exitOK {
		winner, loser = loser, winner
	}
	So(winner, shouldSucceed)
	So(loser.code, ShouldEqual, exitConflict)
	So(loser.errors, ShouldContainSubstring, "rate_per_second: 70 -> 8")
}

func (s *system) version() string {
	st, ok := s.status(s.addrs[0])
	So(ok, ShouldBeTrue)
	return formatInt(st.ConfigVersion)
}

// checkLostAnswers guards against applying a change twice when it is appended again
// after a lost response.
func (s *system) checkLostAnswers() {
	before := s.version()
	So(s.cluster.SwitchLog(s.ctx, standin.LogSwitches{LoseAfterEffect: -1}), ShouldBeNil)
	r := s.runOnFirst("contract", "amend", "anna", "-rate", "91", "-from-version", before)
	So(s.cluster.SwitchLog(s.ctx, standin.LogSwitches{}), ShouldBeNil)
	So(r, shouldSucceed)
	var all []operator.ChangeRecord
	So(json.Unmarshal([]byte(s.runOnFirst("contract", "history", "anna", "-json").out), &all), ShouldBeNil)
	applied := 0
	for _, c := range all {
		if formatInt(c.Change.FromVersion) == before && c.Outcome == "applied" {
			applied++
		}
	}
	So(applied, ShouldEqual, 1)
	So(s.runOnFirst("contract", "show", "anna").out, ShouldContainSubstring, `"rate_per_second": 91`)
}

// checkLogDown checks that during a log outage a change ends as not accepted or as
// unknown, and that operators can still read the state of the system.
func (s *system) checkLogDown() {
	before := s.version()
	for _, down := range []standin.Down{standin.DownRefuse, standin.DownSilent} {
		So(s.cluster.SwitchLog(s.ctx, standin.LogSwitches{Down: down}), ShouldBeNil)
		r := s.runOnFirst("contract", "amend", "anna", "-rate", "95", "-from-version", before)
		s.t.Logf("log down (%s): exit code %d: %s", down, r.code, r.errors)
		notAccepted := r.code == exitFailed && strings.Contains(r.errors, string(operator.CodeNotAccepted))
		So(notAccepted || r.code == exitOutcomeUnknown, ShouldBeTrue)
		for _, addr := range s.addrs {
			_, ok := s.status(addr)
			So(ok, ShouldBeTrue)
			So(s.runOn(addr, "", "assignments"), shouldSucceed)
			So(s.runOn(addr, "", "contract", "list"), shouldSucceed)
			So(s.runOn(addr, "", "contract", "history", "anna"), shouldSucceed)
		}
		So(s.cluster.SwitchLog(s.ctx, standin.LogSwitches{}), ShouldBeNil)
		s.waitFor(inForceTimeout, "log read again", func() bool {
			st, ok := s.status(s.addrs[0])
			return ok && st.Domains[0].Hosts[0].LogReachable
		})
	}
	// A repetition from the same version conflicts if an earlier attempt took effect.
	r := s.runOnFirst("contract", "amend", "anna", "-rate", "95", "-from-version", before)
	So(r.code == exitOK || r.code == exitConflict, ShouldBeTrue)
	So(s.runOnFirst("contract", "show", "anna").out, ShouldContainSubstring, `"rate_per_second": 95`)
}

// checkDomainOut guards against a wait that ends while the domain still serves, so
// that operators would switch it off too early.
func (s *system) checkDomainOut() {
	st, _ := s.status(s.addrs[0])
	domain := st.Domains[1].Name
	before, _ := s.remaining(domain)
	So(before, ShouldBeGreaterThan, 0)
	stop := s.offerLoad()
	begin := time.Now()
	r := s.runOnFirst("domain", "out", domain, "-wait", "-wait-limit", drainTimeout.String())
	s.t.Logf("domain out of %d shards took %s", before, time.Since(begin).Round(time.Millisecond))
	So(r, shouldSucceed)
	shards, requests := s.remaining(domain)
	So([]int{shards, requests}, ShouldResemble, []int{0, 0})
	So(stop(), ShouldBeGreaterThan, 0)
	So(s.runOnFirst("domain", "in", domain), shouldSucceed)
	begin = time.Now()
	s.waitFor(drainTimeout, "shards back in "+domain, func() bool { shards, _ := s.remaining(domain); return shards > 0 })
	s.t.Logf("first shard back after %s", time.Since(begin).Round(time.Millisecond))
}

// offerLoad sends reads until the returned function is called; that function
// returns how many succeeded.
func (s *system) offerLoad() (stop func() int) {
	ctx, cancel := context.WithCancel(s.ctx)
	ok := 0
	var wg sync.WaitGroup
	wg.Go(func() {
		addrs := s.cluster.CallerAddrs()
		for n := 0; ctx.Err() == nil; n++ {
			req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addrs[n%len(addrs)]+"/v1/lookups/key-"+formatInt(int64(n)), nil)
			req.Header.Set("Boragelock-Customer", "anna")
			req.Header.Set("Authorization", "Bearer "+secondToken)
			if resp, err := http.DefaultClient.Do(req); err == nil {
				if resp.StatusCode == http.StatusOK {
					ok++
				}
				_ = resp.Body.Close()
			}
		}
	})
	return func() int { cancel(); wg.Wait(); return ok }
}

func formatInt(n int64) string {
	data, _ := json.Marshal(n)
	return string(data)
}

// shouldSucceed asserts that a command succeeded, and otherwise shows its error
// output.
func shouldSucceed(actual any, _ ...any) string {
	if r := actual.(result); r.code != exitOK {
		return "exit code " + formatInt(int64(r.code)) + ": " + r.errors
	}
	return ""
}
