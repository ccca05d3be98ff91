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

// clusterLimit bounds the whole test; inForceLimit is the goal for a change.
const (
	clusterLimit = 55 * time.Second
	inForceLimit = 4 * time.Second
	outLimit     = 20 * time.Second
)

// system is a small deployment of real processes and the commands to it.
type system struct {
	t       *testing.T
	ctx     context.Context
	cluster *bench.Cluster
	addrs   []string
}

// result is what one command line did.
type result struct {
	code        int
	out, errors string
}

func startSystem(t *testing.T) *system {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), clusterLimit)
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
		Plan: plan, Policy: bench.PolicyOwn, Binaries: bin, Dir: t.TempDir(), Seed: 1, Logger: hclog.NewNullLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	s := &system{t: t, ctx: ctx, cluster: c, addrs: c.OperatorAddrs()}
	s.until(20*time.Second, "all shards assigned and all targets with a home", s.ready)
	return s
}

// on runs a command line against one entry host.
func (s *system) on(addr, stdin string, args ...string) result {
	var out, errs bytes.Buffer
	e := &env{ctx: s.ctx, stdin: strings.NewReader(stdin), stdout: &out, stderr: &errs}
	code := run(e, append(args, "-entry", addr))
	return result{code: code, out: out.String(), errors: errs.String()}
}

// first runs a command line against the first entry host.
func (s *system) first(args ...string) result { return s.on(s.addrs[0], "", args...) }

func (s *system) until(limit time.Duration, what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) || s.ctx.Err() != nil {
			s.t.Fatalf("not in %s: %s", limit, what)
		}
	}
}

func (s *system) status(addr string) (operator.Status, bool) {
	r := s.on(addr, "", "status", "-json")
	var st operator.Status
	return st, r.code == exitOK && json.Unmarshal([]byte(r.out), &st) == nil
}

// ready reports whether each host answers and each target has a home, is fit
// and waits for no shard.
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

// admits reports whether a credential is accepted by an entry host.
func (s *system) admits(addr, customer, token string) bool {
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

// everywhere waits until every entry host accepts a credential, or refuses it.
func (s *system) everywhere(customer, token string, want bool) {
	s.t.Helper()
	for _, addr := range s.cluster.CallerAddrs() {
		s.until(inForceLimit, customer+" at "+addr, func() bool { return s.admits(addr, customer, token) == want })
	}
}

// left counts what the status shows for one domain.
func (s *system) left(domain string) (shards, requests int) {
	st, ok := s.status(s.addrs[0])
	if !ok {
		return 1, 1
	}
	return leftOf(st, "domain", domain)
}

var newCustomer = []string{"-workloads", "lookups", "-rate", "50", "-burst", "50", "-concurrency", "30", "-credential-stdin"}

func create(customer string) []string {
	return append([]string{"contract", "create", customer}, newCustomer...)
}

// The commands must hold what configuration.md says against real processes.
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

const token, secondToken = "a-credential-of-anna", "a-second-credential-of-anna"

// A host that misses a change goes on refusing a customer who has a contract.
func (s *system) checkContract() {
	So(s.on(s.addrs[0], token+"\n", create("anna")...), shouldSucceed)
	s.everywhere("anna", token, true)
	last := s.addrs[len(s.addrs)-1]
	So(s.on(last, secondToken+"\n", "contract", "amend", "anna", "-rate", "70", "-credential-stdin"), shouldSucceed)
	s.everywhere("anna", secondToken, true)
	So(s.first("contract", "amend", "anna", "-drop-old"), shouldSucceed)
	s.everywhere("anna", token, false)
	for _, addr := range s.addrs {
		So(s.on(addr, "", "contract", "show", "anna").out, ShouldContainSubstring, `"rate_per_second": 70`)
	}
	r := s.first("contract", "history", "anna")
	So(strings.Count(r.out, "applied"), ShouldEqual, 3)
	So(r.out, ShouldNotContainSubstring, hash(token))
}

// Two changes from one version must not both be applied.
func (s *system) checkRace() {
	version := s.version()
	results := make([]result, 2)
	var wg sync.WaitGroup
	for i, rate := range []string{"81", "82"} {
		wg.Go(func() {
			results[i] = s.on(s.addrs[i], "", "contract", "amend", "anna", "-rate", rate, "-from-version", version)
		})
	}
	wg.Wait()
	won, lost := results[0], results[1]
	if won.code != exitOK {
		won, lost = lost, won
	}
	So(won, shouldSucceed)
	So(lost.code, ShouldEqual, exitConflict)
	So(lost.errors, ShouldContainSubstring, "rate_per_second: 70 -> 8")
}

func (s *system) version() string {
	st, ok := s.status(s.addrs[0])
	So(ok, ShouldBeTrue)
	return jsonNumber(st.ConfigVersion)
}

// A change that is appended again after a lost answer must not count twice.
func (s *system) checkLostAnswers() {
	before := s.version()
	So(s.cluster.SwitchLog(s.ctx, standin.LogSwitches{LoseAfterEffect: -1}), ShouldBeNil)
	r := s.first("contract", "amend", "anna", "-rate", "91", "-from-version", before)
	So(s.cluster.SwitchLog(s.ctx, standin.LogSwitches{}), ShouldBeNil)
	So(r, shouldSucceed)
	var all []operator.ChangeRecord
	So(json.Unmarshal([]byte(s.first("contract", "history", "anna", "-json").out), &all), ShouldBeNil)
	applied := 0
	for _, c := range all {
		if jsonNumber(c.Change.FromVersion) == before && c.Outcome == "applied" {
			applied++
		}
	}
	So(applied, ShouldEqual, 1)
	So(s.first("contract", "show", "anna").out, ShouldContainSubstring, `"rate_per_second": 91`)
}

// An operator must be able to tell what a change did that got no answer, and to
// look at the system meanwhile.
func (s *system) checkLogDown() {
	before := s.version()
	for _, down := range []standin.Down{standin.DownRefuse, standin.DownSilent} {
		So(s.cluster.SwitchLog(s.ctx, standin.LogSwitches{Down: down}), ShouldBeNil)
		r := s.first("contract", "amend", "anna", "-rate", "95", "-from-version", before)
		s.t.Logf("log down (%s): exit code %d: %s", down, r.code, r.errors)
		notAccepted := r.code == exitFailed && strings.Contains(r.errors, string(operator.CodeNotAccepted))
		So(notAccepted || r.code == exitUnknown, ShouldBeTrue)
		for _, addr := range s.addrs {
			_, ok := s.status(addr)
			So(ok, ShouldBeTrue)
			So(s.on(addr, "", "assignments"), shouldSucceed)
			So(s.on(addr, "", "contract", "list"), shouldSucceed)
			So(s.on(addr, "", "contract", "history", "anna"), shouldSucceed)
		}
		So(s.cluster.SwitchLog(s.ctx, standin.LogSwitches{}), ShouldBeNil)
		s.until(inForceLimit, "log read again", func() bool {
			st, ok := s.status(s.addrs[0])
			return ok && st.Domains[0].Hosts[0].LogReachable
		})
	}
	// Repeating from the same version conflicts if the first one took effect.
	r := s.first("contract", "amend", "anna", "-rate", "95", "-from-version", before)
	So(r.code == exitOK || r.code == exitConflict, ShouldBeTrue)
	So(s.first("contract", "show", "anna").out, ShouldContainSubstring, `"rate_per_second": 95`)
}

// A wait that ends early lets operators switch a domain off that still works.
func (s *system) checkDomainOut() {
	st, _ := s.status(s.addrs[0])
	domain := st.Domains[1].Name
	before, _ := s.left(domain)
	So(before, ShouldBeGreaterThan, 0)
	stop := s.offerLoad()
	begin := time.Now()
	r := s.first("domain", "out", domain, "-wait", "-wait-limit", outLimit.String())
	s.t.Logf("domain out of %d shards took %s", before, time.Since(begin).Round(time.Millisecond))
	So(r, shouldSucceed)
	shards, requests := s.left(domain)
	So([]int{shards, requests}, ShouldResemble, []int{0, 0})
	So(stop(), ShouldBeGreaterThan, 0)
	So(s.first("domain", "in", domain), shouldSucceed)
	begin = time.Now()
	s.until(outLimit, "shards back in "+domain, func() bool { shards, _ := s.left(domain); return shards > 0 })
	s.t.Logf("first shard back after %s", time.Since(begin).Round(time.Millisecond))
}

// offerLoad sends reads until the returned function is called, which returns
// how many succeeded.
func (s *system) offerLoad() (stop func() int) {
	ctx, cancel := context.WithCancel(s.ctx)
	ok := 0
	var wg sync.WaitGroup
	wg.Go(func() {
		addrs := s.cluster.CallerAddrs()
		for n := 0; ctx.Err() == nil; n++ {
			req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addrs[n%len(addrs)]+"/v1/lookups/key-"+jsonNumber(int64(n)), nil)
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

func jsonNumber(n int64) string {
	data, _ := json.Marshal(n)
	return string(data)
}

// shouldSucceed is an assertion that shows what a failed command wrote.
func shouldSucceed(actual any, _ ...any) string {
	if r := actual.(result); r.code != exitOK {
		return "exit code " + jsonNumber(int64(r.code)) + ": " + r.errors
	}
	return ""
}
