package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/internal/standin"
	"github.com/boragelock/boragelock/journal"
)

// granterNames lists the granters of a domain in the view of a host.
func granterNames(h *testHost, domain string) []string {
	var out []string
	for _, m := range h.View().State.Granters[domain].Members {
		out = append(out, m.Host)
	}
	return out
}

// A granter that was removed from the list must return to it, after which the
// list must not change. journal.State refuses a list that adds a retiring host;
// a leader that proposes one appends a record at each interval.
func TestRemovedGranterReturns(t *testing.T) {
	s := newTestSystem(t, 1, 2)
	h := s.startAll(1, 3)
	full := func() bool { return len(granterNames(h, "d0")) == granterCount }
	s.eventually(5*time.Second, "list of granters complete", full)
	g := h.View().State.Granters["d0"]
	next := journal.Granters{Domain: "d0", FromVersion: g.Version, Members: g.Members[:1], Retiring: g.Members[1:]}
	if res, err := h.Append(context.Background(), journal.KindGranters, next); err != nil || res.Outcome != journal.OutcomeApplied {
		t.Fatalf("list of granters: %+v %v", res, err)
	}
	s.eventually(5*time.Second, "list of granters complete again", full)
	time.Sleep(300 * time.Millisecond)
	before := h.View().State.NextOffset
	time.Sleep(time.Second)
	if after := h.View().State.NextOffset; after != before {
		t.Errorf("%d records within a second after the list was complete", after-before)
	}
}

// ownersOf returns the owner and epoch of each shard.
func ownersOf(h *testHost) string {
	out := ""
	for n, sh := range h.View().State.Table.Workloads["lookups"].Shards {
		out += fmt.Sprintf("%d:%s@%d ", n, sh.Owner, sh.Epoch)
	}
	return out
}

// Entry hosts store nothing on disk. When all restart at once, they must read
// all assignments from the log and must not move any shard.
func TestRestartOfAllHostsKeepsAssignments(t *testing.T) {
	s := newTestSystem(t, 2, 2)
	h := s.startAll(2, 2)
	before := ownersOf(h)
	names := []string{"d0-e0", "d0-e1", "d1-e0", "d1-e1"}
	for _, name := range names {
		s.kill(name)
	}
	for _, name := range names {
		s.start(name, name[:2], "2")
	}
	h = s.hosts["d0-e0"]
	s.eventually(10*time.Second, "all shards served after the restart", func() bool { return s.serving(h) })
	if after := ownersOf(h); after != before {
		t.Errorf("assignment after the restart\n%s\nwant\n%s", after, before)
	}
}

// Hosts that restart while the log is down must get the state from a peer. When
// the log returns, they must not fall back to an older state.
func TestRestartDuringLogOutageStartsFromPeer(t *testing.T) {
	s := newTestSystem(t, 1, 2)
	s.startAll(1, 3)
	running := s.hosts["d0-e2"]
	before, nextOffset := ownersOf(running), running.View().State.NextOffset
	s.log.SetSwitches(standin.LogSwitches{Down: standin.DownRefuse})
	restarted := []string{"d0-e0", "d0-e1"}
	for _, name := range restarted {
		s.kill(name)
		s.startWith(name, "d0", "2", func(c *Config) { c.SeedPeers = []string{running.cfg.PeerAddr} })
	}
	check := func(when string) {
		for _, name := range restarted {
			h := s.hosts[name]
			s.eventually(5*time.Second, name+" ready "+when, func() bool { return h.View() != nil })
			if st := h.View().State; st.NextOffset < nextOffset || ownersOf(h) != before {
				t.Errorf("%s %s: at offset %d, had %d; assignment %s", name, when, st.NextOffset, nextOffset, ownersOf(h))
			}
		}
	}
	check("without the log")
	s.log.SetSwitches(standin.LogSwitches{})
	s.eventually(10*time.Second, "all shards served with the log", func() bool { return s.serving(running) })
	check("with the log")
}

// clockGate simulates a suspended process: while it is locked, each service of a
// host blocks when it next reads the clock.
type clockGate struct{ sync.RWMutex }

func (g *clockGate) now() time.Duration {
	g.RLock()
	defer g.RUnlock()
	return boottime.Now()
}

// A leader that resumes after a suspension must not act on its outdated state: no
// shard may move, and no target may have two hosts that may send to it.
func TestPausedLeaderResumesHarmlessly(t *testing.T) {
	s := newTestSystem(t, 1, 2)
	gates := map[string]*clockGate{}
	for _, name := range []string{"d0-e0", "d0-e1", "d0-e2"} {
		gates[name] = &clockGate{}
		s.startWith(name, "d0", "1", func(c *Config) { c.Now = gates[name].now })
	}
	h := s.hosts["d0-e0"]
	s.eventually(10*time.Second, "all shards served", func() bool { return s.serving(h) })
	s.eventually(5*time.Second, "list of granters complete", func() bool { return len(granterNames(h, "d0")) == granterCount })
	leader := granterNames(h, "d0")[0]
	for name, other := range s.hosts {
		if name != leader {
			h = other
		}
	}
	before := ownersOf(h)
	gates[leader].Lock()
	time.Sleep(4 * time.Second)
	gates[leader].Unlock()
	for range 100 {
		for target := range s.targets {
			senders := 0
			for _, x := range s.hosts {
				if x.Permit(target) > 0 {
					senders++
				}
			}
			if senders > 1 {
				t.Fatalf("%d hosts may send to %s", senders, target)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	if after := ownersOf(h); after != before {
		t.Errorf("assignment after the pause\n%s\nwant\n%s", after, before)
	}
	s.eventually(5*time.Second, "all shards served after the pause", func() bool { return s.serving(h) })
}

// An append whose response is lost must take effect once and be reported as
// applied, whether or not the record reached the log.
func TestLostAppendAnswersApplyOnce(t *testing.T) {
	s := newTestSystem(t, 1, 1)
	h := s.startAll(1, 1)
	for i, switches := range []standin.LogSwitches{{LoseAfterEffect: 1}, {LoseWithoutEffect: 1}, {LoseAfterEffect: 3}} {
		version := h.View().State.Config.Version
		s.log.SetSwitches(switches)
		s.change(h, contract.Item{Isolation: &contract.Isolation{ServeMS: int64(1000 + i)}})
		cfg := h.View().State.Config
		if cfg.Version != version+1 || cfg.IsolatedServeMS != int64(1000+i) {
			t.Errorf("%+v: version %d after %d, value %d", switches, cfg.Version, version, cfg.IsolatedServeMS)
		}
		s.log.SetSwitches(standin.LogSwitches{})
	}
}

// A target that restarts forgets its shards and its lease. It must get both again
// under its new incarnation.
func TestRestartedTargetIsGrantedAgain(t *testing.T) {
	s := newTestSystem(t, 1, 2)
	h := s.startAll(1, 2)
	tg := s.targets["d0-t0"]
	old := h.View().Targets["d0-t0"].Incarnation
	tg.Restart()
	s.eventually(3*time.Second, "restarted target leased", func() bool { return leased(tg) })
	s.eventually(3*time.Second, "new incarnation seen", func() bool {
		now := h.View().Targets["d0-t0"].Incarnation
		return now != "" && now != old
	})
	s.eventually(5*time.Second, "all shards served", func() bool { return s.serving(h) })
}

// When a host loses contact with all targets and the log at once, the fault is
// most likely on its own side. It must not declare the targets lost until an
// endpoint outside the watched nodes responds.
func TestManyFailingTargetsAreFirstTakenAsOwnFault(t *testing.T) {
	s := newTestSystem(t, 2, 3)
	s.startAll(2, 1)
	h, other := s.hosts["d0-e0"], s.hosts["d1-e0"]
	dead := s.targetsOf("d0")
	h.logCut.Store(true)
	time.Sleep(h.cfg.Timing.ReadWait)
	for _, name := range dead {
		s.killTarget(name)
	}
	for range 15 {
		time.Sleep(100 * time.Millisecond)
		for _, name := range dead {
			if h.domains.fitness.isLost(name) {
				t.Fatalf("%s declared lost by a host that reaches neither targets nor the log", name)
			}
		}
	}
	h.logCut.Store(false)
	s.eventually(10*time.Second, "shards taken over once the log answers", func() bool { return s.serving(other, dead...) })
}

// When two hosts write snapshots at once, their parts are interleaved on the log.
// Another host must still be able to start from it.
func TestConcurrentSnapshotsAreHarmless(t *testing.T) {
	s := newTestSystemWithLog(t, 1, 2, standin.LogConfig{RetainRecords: 4})
	h := s.startAll(1, 2)
	var wg sync.WaitGroup
	for _, x := range s.hosts {
		wg.Go(func() {
			if err := x.writeSnapshot(context.Background()); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	late := s.start("d0-e7", "d0", "1")
	s.eventually(5*time.Second, "state from the log", func() bool { return s.serving(late) })
	if got, want := ownersOf(late), ownersOf(h); got != want {
		t.Errorf("assignment %s, want %s", got, want)
	}
}

// The retention of the log is not known. So a snapshot must be due by number of
// records, by age, and when the log has dropped records after the last one.
func TestSnapshotIsDueInTime(t *testing.T) {
	schedule := snapshotSchedule{}
	schedule.noteSnapshot(time.Second, 100, 110)
	for _, c := range []struct {
		age         time.Duration
		first, next int64
		want        bool
	}{
		{snapshotMaxAge, 1, 110, false},
		{snapshotMaxAge, 1, 111, true},
		{snapshotMaxAge - 1, 1, 111, false},
		{snapshotIdleAge, 1, 110, true},
		{0, 1, 100 + snapshotRecords, true},
		{minSnapshotInterval, 101, 111, true},
		{minSnapshotInterval, 100, 111, false},
		{minSnapshotInterval - 1, 101, 111, false},
	} {
		if got := schedule.due(time.Second+c.age, c.first, c.next); got != c.want {
			t.Errorf("age %v, log from %d to %d: due %v, want %v", c.age, c.first, c.next, got, c.want)
		}
	}
}

// A host that is not a granter must not ask the granters to stop renewing a lost
// target: in a domain of a hundred hosts those calls would overload them.
func TestOnlyGrantersTakePartInReleases(t *testing.T) {
	s := newTestSystem(t, 1, 2)
	s.startAll(1, 4)
	s.eventually(5*time.Second, "list of granters complete", func() bool {
		return len(granterNames(s.hosts["d0-e0"], "d0")) == granterCount
	})
	granters := granterNames(s.hosts["d0-e0"], "d0")
	for name, h := range s.hosts {
		s.eventually(2*time.Second, "list known to "+name, func() bool { return len(granterNames(h, "d0")) == granterCount })
		if h.handlesReleases("d0") != contains(granters, name) {
			t.Errorf("%s takes part: %v, granters %v", name, h.handlesReleases("d0"), granters)
		}
	}
}
