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

// A granter that was taken off the list while it was slow must come back, and
// the list must then rest. Proposing a host that still retires is refused by
// the fold, so a leader that does it appends a record at every interval.
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

// Entry hosts keep nothing on disk, so a restart of all of them at once must
// find every assignment on the log and must not move anything.
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

// Hosts that restart while the log is down must become ready from a peer and
// must not fall behind what they had when the log returns.
func TestRestartDuringLogOutageStartsFromPeer(t *testing.T) {
	s := newTestSystem(t, 1, 2)
	s.startAll(1, 3)
	stays := s.hosts["d0-e2"]
	before, next := ownersOf(stays), stays.View().State.NextOffset
	s.log.SetSwitches(standin.LogSwitches{Down: standin.DownRefuse})
	restarted := []string{"d0-e0", "d0-e1"}
	for _, name := range restarted {
		s.kill(name)
		s.startWith(name, "d0", "2", func(c *Config) { c.SeedPeers = []string{stays.cfg.PeerAddr} })
	}
	check := func(when string) {
		for _, name := range restarted {
			h := s.hosts[name]
			s.eventually(5*time.Second, name+" ready "+when, func() bool { return h.View() != nil })
			if st := h.View().State; st.NextOffset < next || ownersOf(h) != before {
				t.Errorf("%s %s: at offset %d, had %d; assignment %s", name, when, st.NextOffset, next, ownersOf(h))
			}
		}
	}
	check("without the log")
	s.log.SetSwitches(standin.LogSwitches{})
	s.eventually(10*time.Second, "all shards served with the log", func() bool { return s.serving(stays) })
	check("with the log")
}

// gate stops the clock of a host, and with it each of its duties at its next
// look at the clock, as a suspended process is stopped.
type gate struct{ sync.RWMutex }

func (g *gate) now() time.Duration {
	g.RLock()
	defer g.RUnlock()
	return boottime.Now()
}

// A leader that is suspended and resumes must not act on what it knew: no
// shard may move, and no target may have two hosts that may send to it.
func TestPausedLeaderResumesHarmlessly(t *testing.T) {
	s := newTestSystem(t, 1, 2)
	gates := map[string]*gate{}
	for _, name := range []string{"d0-e0", "d0-e1", "d0-e2"} {
		gates[name] = &gate{}
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

// An append whose answer is lost after its effect must be found on the log
// and reported as applied, and must take effect once.
func TestLostAppendAnswersApplyOnce(t *testing.T) {
	s := newTestSystem(t, 1, 1)
	h := s.startAll(1, 1)
	for i, lost := range []standin.LogSwitches{{LoseAfterEffect: 1}, {LoseWithoutEffect: 1}, {LoseAfterEffect: 3}} {
		version := h.View().State.Config.Version
		s.log.SetSwitches(lost)
		s.change(h, contract.Item{Isolation: &contract.Isolation{ServeMS: int64(1000 + i)}})
		cfg := h.View().State.Config
		if cfg.Version != version+1 || cfg.IsolatedServeMS != int64(1000+i) {
			t.Errorf("%+v: version %d after %d, value %d", lost, cfg.Version, version, cfg.IsolatedServeMS)
		}
		s.log.SetSwitches(standin.LogSwitches{})
	}
}

// A target that restarts forgets its shards and its lease; it must get both
// back under its new incarnation.
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

// When a host loses all targets and the log together, the fault is most
// likely its own: it must not declare the targets lost until something outside
// answers it.
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
			if h.domains.fitness.lost(name) {
				t.Fatalf("%s declared lost by a host that reaches nothing", name)
			}
		}
	}
	h.logCut.Store(false)
	s.eventually(10*time.Second, "shards taken over once the log answers", func() bool { return s.serving(other, dead...) })
}

// Two hosts that publish at once, with their parts mixed on the log, must
// leave a state that another host can start from.
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

// The retention of the log is not known, so a snapshot must follow in time by
// number of records, by age, and when the log has dropped what it needs.
func TestSnapshotIsDueInTime(t *testing.T) {
	clock := snapshotClock{}
	clock.saw(time.Second, 100, 110)
	for _, c := range []struct {
		age         time.Duration
		first, next int64
		want        bool
	}{
		{snapshotMaxAge, 1, 110, false},
		{snapshotMaxAge, 1, 111, true},
		{snapshotMaxAge - 1, 1, 111, false},
		{snapshotIdleAge, 1, 110, true},
		{0, 1, 100 + snapshotEvery, true},
		{snapshotRetry, 101, 111, true},
		{snapshotRetry, 100, 111, false},
		{snapshotRetry - 1, 101, 111, false},
	} {
		if got := clock.due(time.Second+c.age, c.first, c.next); got != c.want {
			t.Errorf("age %v, log from %d to %d: due %v, want %v", c.age, c.first, c.next, got, c.want)
		}
	}
}

// A host that is no granter must not ask the granters to stop renewing a lost
// target: in a domain of a hundred hosts those calls would swamp them.
func TestOnlyGrantersTakePartInReleases(t *testing.T) {
	s := newTestSystem(t, 1, 2)
	s.startAll(1, 4)
	s.eventually(5*time.Second, "list of granters complete", func() bool {
		return len(granterNames(s.hosts["d0-e0"], "d0")) == granterCount
	})
	granters := granterNames(s.hosts["d0-e0"], "d0")
	for name, h := range s.hosts {
		s.eventually(2*time.Second, "list known to "+name, func() bool { return len(granterNames(h, "d0")) == granterCount })
		if h.releases("d0") != contains(granters, name) {
			t.Errorf("%s takes part: %v, granters %v", name, h.releases("d0"), granters)
		}
	}
}
