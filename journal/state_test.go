package journal

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/ownership"
)

func deployment(targets int, shards int32) Bootstrap {
	d := Bootstrap{Name: "test", IsolatedServeMS: -1, Domains: []contract.Domain{{Name: "d1"}, {Name: "d2"}},
		Workloads: []contract.Workload{{Name: "w", Keyed: true, Shards: shards, Fencing: true}}}
	for i := range targets {
		d.Targets = append(d.Targets, contract.Target{Name: fmt.Sprintf("t%04d", i), Workload: "w", Domain: d.Domains[i%2].Name,
			Addr: "127.0.0.1:9000", Slots: 2, MaxConnections: 120})
	}
	return d
}

func initialMove(targets int, shards int32) Move {
	m := Move{Reason: ownership.ReasonInitial}
	for n := range shards {
		m.Shards = append(m.Shards, ownership.MoveShard{ID: ownership.ID{Workload: "w", Shard: n}, To: fmt.Sprintf("t%04d", int(n)%targets)})
	}
	return m
}

// applyNext applies a record at the next offset.
func applyNext(s *State, id string, kind Kind, body any) Result {
	data, err := Encode(id, kind, body)
	if err != nil {
		panic(err)
	}
	res, err := s.Apply(s.NextOffset, data)
	if err != nil {
		panic(err)
	}
	return res
}

func newTestState(targets int, shards int32) *State {
	s := NewState()
	applyNext(s, "boot", KindBootstrap, deployment(targets, shards))
	applyNext(s, "init", KindMove, initialMove(targets, shards))
	return s
}

// A skipped record that changes more than the offset and the count of skipped
// records makes the states of hosts differ.
func TestSkippedRecords(t *testing.T) {
	Convey("records that are not understood leave the state as it is", t, func() {
		s := newTestState(2, 4)
		for i, data := range []string{
			"", "null", "[]", "{", `{"v":1}`, `{"v":2,"id":"x","kind":"move","body":{}}`, `{"v":0,"id":"x","kind":"move","body":{}}`,
			`{"v":1,"id":"y1","kind":"later","body":{}}`, `{"v":1,"id":"y2","kind":"move","body":[]}`, `{"v":1,"id":"y3","kind":"move"}`,
			`{"v":1,"id":"y4","kind":"move","body":{"shards":[{"workload":"w","shard":99999999999}]}}`,
		} {
			before, _ := json.Marshal(s.Table)
			skipped := s.Skipped
			res, err := s.Apply(s.NextOffset, []byte(data))
			So(err, ShouldBeNil)
			So(res.Outcome, ShouldEqual, OutcomeSkipped)
			So(s.Skipped, ShouldEqual, skipped+1)
			after, _ := json.Marshal(s.Table)
			So(string(after), ShouldEqual, string(before))
			So(s.NextOffset, ShouldEqual, int64(FirstOffset+3+i))
		}
	})
	Convey("an append that was repeated counts once", t, func() {
		s := newTestState(2, 4)
		body := Move{Reason: ownership.ReasonLost, Shards: []ownership.MoveShard{{ID: ownership.ID{Workload: "w"}, FromEpoch: 1, To: "t0001"}}}
		So(applyNext(s, "m", KindMove, body).Outcome, ShouldEqual, OutcomeApplied)
		So(applyNext(s, "m", KindMove, body).Outcome, ShouldEqual, OutcomeDuplicate)
		So(applyNext(s, "n", KindMove, body).Outcome, ShouldEqual, OutcomeRefused)
	})
}

// A granter that is dropped from the list may still renew leases; a release that
// does not account for it can create two owners.
func TestGrantersRetire(t *testing.T) {
	Convey("members that a list leaves out retire until a record ends that", t, func() {
		s := newTestState(2, 4)
		list := func(from int64, members, retiring []Member) Result {
			return applyNext(s, fmt.Sprint("list", from, s.NextOffset), KindGranters, Granters{Domain: "d1", FromVersion: from, Members: members, Retiring: retiring})
		}
		a, b, c := Member{Host: "a", Incarnation: "1"}, Member{Host: "b", Incarnation: "1"}, Member{Host: "c", Incarnation: "1"}
		So(list(0, []Member{a, b}, nil).Outcome, ShouldEqual, OutcomeApplied)
		added := s.Granters["d1"].Members[0].AddedAt
		So(list(1, []Member{b, c}, nil).Outcome, ShouldEqual, OutcomeApplied)
		So(s.Granters["d1"].Retiring, ShouldResemble, []Member{{Host: "a", Incarnation: "1", AddedAt: added}})
		So(s.Granters["d1"].Members[0].AddedAt, ShouldEqual, added)
		So(list(1, []Member{c}, nil).Outcome, ShouldEqual, OutcomeRefused)
		So(list(2, []Member{a, b, c}, []Member{a}).Outcome, ShouldEqual, OutcomeRefused)
		So(list(2, []Member{b, c}, nil).Outcome, ShouldEqual, OutcomeApplied)
		So(s.Granters["d1"].Retiring, ShouldBeEmpty)
		So(list(3, []Member{a, b, c}, nil).Outcome, ShouldEqual, OutcomeApplied)
		So(s.Granters["d1"].Members[0].AddedAt, ShouldBeGreaterThan, added)
	})
}

// A former owner that is declared lost during a planned move must get a new
// version: granters promise to grant no lower one, and do not grant this one
// either.
func TestLostBumpsFormerOwner(t *testing.T) {
	Convey("declaring the former owner lost changes its version", t, func() {
		s := newTestState(2, 4)
		move := func(from uint64, reason ownership.Reason) {
			applyNext(s, string(reason), KindMove, Move{Reason: reason, Shards: []ownership.MoveShard{{ID: ownership.ID{Workload: "w"}, FromEpoch: from, To: "t0001"}}})
		}
		move(1, ownership.ReasonLeaving)
		before := s.TargetVersion["t0000"]
		move(2, ownership.ReasonLost)
		So(s.TargetVersion["t0000"], ShouldBeGreaterThan, before)
	})
}

// A target with an existing name but another address could hold a lease beside
// the first one, and granters that lag behind would still follow the old rules
// after a change of fencing.
func TestChangesThatWouldMakeTwoOwners(t *testing.T) {
	Convey("address, domain and fencing are fixed", t, func() {
		s := newTestState(2, 4)
		change := func(item contract.Item) Outcome {
			return applyNext(s, fmt.Sprint("c", s.NextOffset), KindChange, Change{FromVersion: s.Config.Version, Items: []contract.Item{item}}).Outcome
		}
		tgt, w := s.Config.Targets["t0000"], s.Config.Workloads["w"]
		tgt.Slots = 3
		So(change(contract.Item{AddTarget: &tgt}), ShouldEqual, OutcomeApplied)
		otherAddr, otherDomain := tgt, tgt
		otherAddr.Addr, otherDomain.Domain = "127.0.0.1:9001", "d2"
		So(change(contract.Item{AddTarget: &otherAddr}), ShouldEqual, OutcomeRefused)
		So(change(contract.Item{AddTarget: &otherDomain}), ShouldEqual, OutcomeRefused)
		w.Fencing = false
		So(change(contract.Item{Workload: &w}), ShouldEqual, OutcomeRefused)
	})
}

// FuzzApply applies arbitrary bytes: Apply must neither panic nor depend on
// anything but the state, the offset and the bytes, and epochs must not decrease.
func FuzzApply(f *testing.F) {
	add := func(kind Kind, body any) {
		data, _ := Encode("f", kind, body)
		f.Add(data, data[:len(data)/2])
	}
	add(KindBootstrap, deployment(1, 2))
	add(KindMove, initialMove(2, 4))
	add(KindReleased, Released{Shards: []ownership.ReleasedShard{{ID: ownership.ID{Workload: "w"}, Epoch: 1}}})
	add(KindSplit, Split{Workload: "w", Key: "k", FromEpoch: 1})
	add(KindMerge, Merge{Workload: "w", Key: "k", FromEpoch: 1})
	add(KindGranters, Granters{Domain: "d1", Members: []Member{{Host: "a"}}, Retiring: []Member{{Host: "b"}}})
	add(KindEntryHost, EntryHost{Name: "h"})
	add(KindChange, Change{FromVersion: 1, Items: []contract.Item{{Isolation: &contract.Isolation{}}}})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		a, b := newTestState(2, 4), newTestState(2, 4)
		for _, data := range [][]byte{first, second, first} {
			before := a.Table.Clone()
			ra, _ := a.Apply(a.NextOffset, data)
			rb, _ := b.Apply(b.NextOffset, data)
			if !reflect.DeepEqual(ra, rb) || !reflect.DeepEqual(a, b) {
				t.Fatal("two states that applied the same records differ")
			}
			for name, w := range before.Workloads {
				for n, s := range w.Shards {
					if a.Table.Workloads[name].Shards[n].Epoch < s.Epoch {
						t.Fatal("an epoch decreased")
					}
				}
			}
		}
		parts, err := EncodeSnapshot("s", a)
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := DecodeSnapshot(parts); err != nil || decoded.NextOffset != a.NextOffset {
			t.Fatalf("snapshot of an applied state: %v", err)
		}
	})
}

// FuzzDecodeSnapshot decodes arbitrary states: DecodeSnapshot must refuse a state
// unless records can be applied to it without a panic.
func FuzzDecodeSnapshot(f *testing.F) {
	raw, _ := json.Marshal(newTestState(2, 4))
	f.Add(raw)
	f.Add([]byte(`{"next":3,"table":{"workloads":{"w":{"base":1,"shards":[{}],"hot":{"k":1}}}}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var buf bytes.Buffer
		zw := gzip.NewWriter(&buf)
		_, _ = zw.Write(raw)
		_ = zw.Close()
		var header struct{ Next int64 }
		_ = json.Unmarshal(raw, &header)
		s, err := DecodeSnapshot([]Snapshot{{SnapshotID: "s", NextOffset: header.Next, Parts: 1, Data: buf.Bytes()}})
		if err != nil {
			return
		}
		for i, body := range []any{initialMove(2, 4), Split{Workload: "w", Key: "k", FromEpoch: 1}, Merge{Workload: "w", Key: "k", FromEpoch: 1},
			Granters{Domain: "d1"}, deployment(2, 4)} {
			applyNext(s, fmt.Sprint("f", i), []Kind{KindMove, KindSplit, KindMerge, KindGranters, KindBootstrap}[i], body)
		}
	})
}

func TestSnapshotParts(t *testing.T) {
	Convey("a snapshot is refused unless it is whole", t, func() {
		parts, err := EncodeSnapshot("s", designSizeState())
		So(err, ShouldBeNil)
		So(len(parts), ShouldBeGreaterThan, 1)
		for _, p := range parts {
			So(len(p.Data), ShouldBeLessThanOrEqualTo, SnapshotPartBytes)
		}
		_, err = DecodeSnapshot(parts)
		So(err, ShouldBeNil)
		for _, invalidParts := range [][]Snapshot{nil, parts[1:], parts[:1], {parts[1], parts[0]}} {
			_, err := DecodeSnapshot(invalidParts)
			So(err, ShouldHaveSameTypeAs, &SnapshotError{})
		}
		for _, raw := range []string{`{"next":1}`, `{"next":1,"table":{"workloads":{"w":{"base":0}}}}`, `{"next":1,"granters":null}`} {
			s := NewState()
			_ = json.Unmarshal([]byte(raw), s)
			onePart, _ := EncodeSnapshot("s", s)
			if raw == `{"next":1}` {
				onePart[0].NextOffset = 2
			}
			_, err := DecodeSnapshot(onePart)
			So(err, ShouldHaveSameTypeAs, &SnapshotError{})
		}
	})
}

// designSizeState returns a state of the design size: 65,536 shards, 1,200
// targets, 68 split keys, 1,500 entry hosts, and a full list of recent
// identifiers.
func designSizeState() *State {
	s := newTestState(1200, 65536)
	for i := range 68 {
		key := fmt.Sprint("hot", i)
		w := s.Table.Workloads["w"]
		applyNext(s, key, KindSplit, Split{Workload: "w", Key: key, FromEpoch: w.Shards[w.HashShard(key)].Epoch})
	}
	for i := range MaxRecentIDs {
		name := fmt.Sprintf("host-%04d", i%1500)
		applyNext(s, fmt.Sprintf("%s/%016x", name, i), KindEntryHost, EntryHost{Name: name, Incarnation: "0123456789abcdef", Domain: "d1",
			HTTPAddr: "127.0.0.1:8000", PeerAddr: "127.0.0.1:8001"})
	}
	// Owners and epochs vary as after many moves, so they compress less well.
	rng := rand.New(rand.NewPCG(1, 1))
	for n := range s.Table.Workloads["w"].Shards {
		x := &s.Table.Workloads["w"].Shards[n]
		x.Owner, x.Epoch = fmt.Sprintf("t%04d", rng.IntN(1200)), 1+rng.Uint64N(1000)
	}
	return s
}

func BenchmarkDecodeSnapshot(b *testing.B) {
	parts, err := EncodeSnapshot("s", designSizeState())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	var s *State
	for b.Loop() {
		if s, err = DecodeSnapshot(parts); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	var withState, withoutState runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&withState)
	runtime.KeepAlive(s)
	s = nil
	runtime.GC()
	runtime.ReadMemStats(&withoutState)
	compressedBytes := 0
	for _, p := range parts {
		compressedBytes += len(p.Data)
	}
	b.ReportMetric(float64(withState.HeapAlloc-withoutState.HeapAlloc)/(1<<20), "MB-kept")
	b.ReportMetric(float64(compressedBytes)/(1<<20), "MB-compressed")
}

func BenchmarkApplyMove(b *testing.B) {
	s := designSizeState()
	epochs := make([]uint64, 55)
	for i := range epochs {
		epochs[i] = s.Table.Workloads["w"].Shards[i*1200].Epoch
	}
	for i := 0; b.Loop(); i++ {
		m := Move{Reason: ownership.ReasonLost}
		for n := range epochs {
			m.Shards = append(m.Shards, ownership.MoveShard{ID: ownership.ID{Workload: "w", Shard: int32(n * 1200)}, FromEpoch: epochs[n], To: fmt.Sprintf("t%04d", i%1200)})
			epochs[n]++
		}
		if res := applyNext(s, fmt.Sprint("b", i), KindMove, m); res.Outcome != OutcomeApplied {
			b.Fatal(res)
		}
	}
}
