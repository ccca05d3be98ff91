package ownership

import (
	"flag"
	"fmt"
	"reflect"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests, so that each run is the same.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	m.Run()
}

// readyTargets returns n eligible and ready targets of workload w in three
// domains.
func readyTargets(n int) []PlanTarget {
	out := make([]PlanTarget, n)
	for i := range out {
		out[i] = PlanTarget{Name: fmt.Sprintf("t%04d", i), Workload: "w", Domain: fmt.Sprint("d", i%3), Capacity: 2, Eligible: true, Ready: true}
	}
	return out
}

// apply applies the plan and, if release is set, releases all inactive shards. It
// returns the number of moved shards.
func (p Plan) apply(t *Table, release bool) (moved int) {
	for _, m := range p.Moves {
		moved += len(m.Shards)
		if refused := t.ApplyMove(m); len(refused) > 0 {
			panic(refused[0])
		}
	}
	for _, s := range p.Splits {
		if r := t.ApplySplit(s); r != nil {
			panic(r)
		}
	}
	for _, m := range p.Merges {
		if r := t.ApplyMerge(m); r != nil {
			panic(r)
		}
	}
	for n, s := range t.Workloads["w"].Shards {
		if release && s.UnreleasedEpoch != 0 {
			t.ApplyReleased(Released{Shards: []ReleasedShard{{ID: ID{"w", int32(n)}, Epoch: s.UnreleasedEpoch}}})
		}
	}
	return moved
}

// assignedTable returns a table whose shards are spread over the targets.
func assignedTable(shards int32, targets []PlanTarget) (*Table, PlanInput) {
	t := NewTable()
	t.AddWorkload("w", shards)
	in := PlanInput{Table: t, Targets: targets}
	MakePlan(DefaultPlanConfig(), in).apply(t, true)
	return t, in
}

// TestPlanLostTarget guards against plans for a lost target that move other
// shards, leave some of its shards or overload a receiver.
func TestPlanLostTarget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		targets := readyTargets(rapid.IntRange(4, 30).Draw(rt, "targets"))
		table, in := assignedTable(int32(rapid.IntRange(200, 2000).Draw(rt, "shards")), targets)
		lost := rapid.IntRange(0, len(targets)-1).Draw(rt, "lost")
		targets[lost].Eligible, targets[lost].Lost = false, true
		held := len(table.AssignedTo(targets[lost].Name))
		plan := MakePlan(DefaultPlanConfig(), in)
		if len(plan.Moves) != 1 || plan.Moves[0].Reason != ReasonLost || len(plan.Moves[0].Shards) != held {
			rt.Fatalf("%d shards held, plan %v", held, plan)
		}
		for _, s := range plan.Moves[0].Shards {
			if sh, _ := table.Get(s.ID); sh.Owner != targets[lost].Name || s.To == sh.Owner {
				rt.Fatalf("shard %v of %s moves to %s", s.ID, sh.Owner, s.To)
			}
		}
		if !reflect.DeepEqual(plan, MakePlan(DefaultPlanConfig(), in)) {
			rt.Fatal("equal inputs gave different plans")
		}
		plan.apply(table, true)
		if got := Imbalance(DefaultPlanConfig(), in, "w"); got > 1.5 {
			rt.Fatalf("imbalance %.2f", got)
		}
	})
}

// TestPlanLeavingInBatches guards against plans for an evacuated domain that
// move too many shards to a receiver at once, use cold targets or never end.
func TestPlanLeavingInBatches(t *testing.T) {
	cfg := DefaultPlanConfig()
	rapid.Check(t, func(rt *rapid.T) {
		targets := readyTargets(rapid.IntRange(6, 30).Draw(rt, "targets"))
		table, in := assignedTable(int32(rapid.IntRange(200, 2000).Draw(rt, "shards")), targets)
		cold := targets[1].Name
		for i := range targets {
			targets[i].Eligible = targets[i].Domain != "d0"
			targets[i].Ready = targets[i].Name != cold
		}
		shardsBefore := len(table.AssignedTo(cold))
		limit := cfg.ReceiverBatches * newWorkloadPlan(cfg, in, "w").batchSize()
		for round := 0; ; round++ {
			inbound := map[string]int{}
			plan := MakePlan(cfg, in)
			moved := plan.apply(table, false)
			for _, s := range table.Workloads["w"].Shards {
				if s.UnreleasedEpoch != 0 {
					inbound[s.Owner]++
				}
			}
			for name, n := range inbound {
				if n > limit || name == cold {
					rt.Fatalf("%s waits for %d shards, limit %d", name, n, limit)
				}
			}
			Plan{}.apply(table, true)
			if moved == 0 {
				break
			}
			if round > 100 {
				rt.Fatal("moves did not end within 100 plans")
			}
		}
		for _, x := range targets {
			if x.Domain == "d0" && len(table.AssignedTo(x.Name)) > 0 {
				rt.Fatalf("%s still holds shards", x.Name)
			}
		}
		if len(table.AssignedTo(cold)) != shardsBefore {
			rt.Fatal("the cold target got shards")
		}
	})
}

// TestPlanRebalance guards against balancing that misses its goal or never stops,
// for any loads.
func TestPlanRebalance(t *testing.T) {
	cfg := DefaultPlanConfig()
	rapid.Check(t, func(rt *rapid.T) {
		targets := readyTargets(rapid.IntRange(3, 20).Draw(rt, "targets"))
		table, in := assignedTable(int32(100*len(targets)), targets)
		in.Load = map[ID]float64{}
		for n := range table.Workloads["w"].Shards {
			in.Load[ID{"w", int32(n)}] = rapid.Float64Range(0, 3).Draw(rt, "load")
		}
		for round := 0; ; round++ {
			moved := MakePlan(cfg, in).apply(table, true)
			if moved == 0 {
				break
			}
			if round > 60 {
				rt.Fatalf("still moving at imbalance %.3f", Imbalance(cfg, in, "w"))
			}
		}
		if got := Imbalance(cfg, in, "w"); got > cfg.MaxImbalance {
			rt.Fatalf("stopped at imbalance %.3f", got)
		}
	})
}

// TestRoutesFollowTable guards against routes that differ from their table after
// an update.
func TestRoutesFollowTable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		targets := readyTargets(5)
		table, in := assignedTable(40, targets)
		r := Compile(table)
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			x := &targets[rapid.IntRange(0, 4).Draw(rt, "target")]
			x.Eligible, x.Lost = x.Lost, !x.Lost
			in.HotKeys = []KeyLoad{{"w", rapid.StringN(1, 3, 3).Draw(rt, "key"), 1e3}}
			MakePlan(DefaultPlanConfig(), in).apply(table, rapid.Bool().Draw(rt, "release"))
			r = r.Next(table)
			if !reflect.DeepEqual(r.workloads["w"].hotKeys, table.Workloads["w"].HotKeys) {
				rt.Fatal("hot keys differ")
			}
			for n, s := range table.Workloads["w"].Shards {
				got, ok := r.Shard(ID{"w", int32(n)})
				if want := (Route{s.Owner, int32(n), s.Epoch, s.Active()}); !ok || got != want {
					rt.Fatalf("shard %d: %v, want %v", n, got, want)
				}
			}
			key := in.HotKeys[0].Key
			if got, _ := r.Lookup("w", key); got.Shard != table.Workloads["w"].Locate(key) {
				rt.Fatalf("key %q is routed to shard %d", key, got.Shard)
			}
		}
	})
}

func TestPlanDampsAndEscalates(t *testing.T) {
	cfg := DefaultPlanConfig()
	Convey("given a target with all of the load", t, func() {
		targets := readyTargets(6)
		table, in := assignedTable(600, targets)
		in.Load = map[ID]float64{}
		for _, id := range table.AssignedTo("t0000") {
			in.Load[id] = 1
		}
		Convey("a target of which nothing is known yet keeps its shards and gets none", func() {
			targets[0].Eligible, targets[0].Unknown = false, true
			for _, m := range MakePlan(cfg, in).Moves {
				for _, s := range m.Shards {
					sh, _ := table.Get(s.ID)
					So(sh.Owner, ShouldNotEqual, "t0000")
					So(s.To, ShouldNotEqual, "t0000")
				}
			}
		})
		Convey("balancing waits for the interval and for moves to complete", func() {
			in.LastRebalance, in.Now = map[string]time.Duration{"w": 5 * time.Second}, 6*time.Second-1
			So(MakePlan(cfg, in).Moves, ShouldBeEmpty)
			in.Now = 6 * time.Second
			So(MakePlan(cfg, in).apply(table, false), ShouldBeGreaterThan, 0)
			So(MakePlan(cfg, in).Moves, ShouldBeEmpty)
		})
		Convey("a target that is overloaded but not by twice the mean waits for the longer interval", func() {
			for n := range table.Workloads["w"].Shards {
				in.Load[ID{Workload: "w", Shard: int32(n)}] = 1
			}
			for _, id := range table.AssignedTo("t0000") {
				in.Load[id] = 1.6
			}
			in.LastRebalance, in.Now = map[string]time.Duration{"w": 5 * time.Second}, 15*time.Second-1
			So(MakePlan(cfg, in).Moves, ShouldBeEmpty)
			in.Now = 15 * time.Second
			So(MakePlan(cfg, in).apply(table, false), ShouldBeGreaterThan, 0)
		})
		Convey("a former owner that is lost during a planned move is marked, another one is not", func() {
			targets[0].Eligible = false
			So(MakePlan(cfg, in).apply(table, false), ShouldBeGreaterThan, 0)
			targets[0].Lost, targets[3].Eligible, targets[3].Lost = true, false, true
			for range 3 {
				MakePlan(cfg, in).apply(table, false)
			}
			for _, s := range table.Workloads["w"].Shards {
				if s.UnreleasedEpoch != 0 {
					So(s.PreviousLost, ShouldEqual, s.PreviousOwner == "t0000" || s.PreviousOwner == "t0003")
					So(s.Owner, ShouldNotBeIn, []string{"t0000", "t0003"})
				}
			}
		})
	})
}

// TestPlanHotKey guards against a hot key that stays in its parent shard or on an
// overloaded target, or that is not merged once it is cold.
func TestPlanHotKey(t *testing.T) {
	cfg := DefaultPlanConfig()
	Convey("a hot key is split, placed and merged", t, func() {
		targets := readyTargets(6)
		table, in := assignedTable(600, targets)
		w := table.Workloads["w"]
		parent := w.HashShard("k")
		in.Load = map[ID]float64{}
		for n := range 600 {
			in.Load[ID{"w", int32(n)}] = 1
		}
		in.HotKeys = []KeyLoad{{Workload: "w", Key: "k", Load: 60}}
		in.Load[ID{"w", parent}] = 61
		plan := MakePlan(cfg, in)
		So(plan.Splits, ShouldHaveLength, 1)
		plan.apply(table, true)
		hot := w.HotKeys["k"]
		So(hot, ShouldEqual, 600)
		in.Load[ID{"w", parent}], in.Load[ID{"w", hot}] = 1, 60
		for range 20 {
			MakePlan(cfg, in).apply(table, true)
		}
		So(Imbalance(cfg, in, "w"), ShouldBeLessThanOrEqualTo, cfg.MaxImbalance)
		So(w.HotKeys, ShouldContainKey, "k")

		in.HotKeys, in.Load[ID{"w", hot}] = nil, 0
		in.Load[ID{"w", parent}] = 2
		for range 20 {
			MakePlan(cfg, in).apply(table, true)
		}
		So(w.HotKeys, ShouldBeEmpty)
	})
}

// designTable returns a table of the largest size that the system is designed for.
func designTable() (*Table, PlanInput) {
	t, in := assignedTable(65536, readyTargets(1200))
	for i := range 68 {
		key := fmt.Sprint("hot", i)
		w := t.Workloads["w"]
		t.ApplySplit(Split{Workload: "w", Key: key, FromEpoch: w.Shards[w.HashShard(key)].Epoch})
	}
	return t, in
}

func BenchmarkLookup(b *testing.B) {
	t, _ := designTable()
	r := Compile(t)
	keys := make([]string, 1<<14)
	for i := range keys {
		keys[i] = fmt.Sprintf("customer-%d/item-%d", i%97, i)
		if i%8 == 0 {
			keys[i] = fmt.Sprint("hot", i/8%68)
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, ok := r.Lookup("w", keys[i&(len(keys)-1)]); !ok {
			b.Fatal("no route")
		}
	}
}

func BenchmarkCompile(b *testing.B) {
	t, _ := designTable()
	b.ReportAllocs()
	for b.Loop() {
		Compile(t)
	}
}

func BenchmarkNext(b *testing.B) {
	t, _ := designTable()
	r := Compile(t)
	b.ReportAllocs()
	for b.Loop() {
		r.Next(t)
	}
}

func BenchmarkPlanInitial(b *testing.B) {
	for b.Loop() {
		assignedTable(65536, readyTargets(1200))
	}
}

func BenchmarkPlanLost(b *testing.B) {
	_, in := designTable()
	in.Targets[7].Eligible, in.Targets[7].Lost = false, true
	for b.Loop() {
		MakePlan(DefaultPlanConfig(), in)
	}
}

func BenchmarkPlanNothing(b *testing.B) {
	_, in := designTable()
	for b.Loop() {
		MakePlan(DefaultPlanConfig(), in)
	}
}
