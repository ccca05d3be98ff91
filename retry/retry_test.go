package retry

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Guards against running a request twice: by a wrong retry, or by a wrong not_run
// that makes the caller retry.
func TestAttempt(t *testing.T) {
	Convey("only what cannot have run, or may run twice, is sent again", t, func() {
		for _, c := range []struct {
			a     Attempt
			o     Outcome
			retry bool
		}{
			{Attempt{}, NotRun, true},
			{Attempt{AnyByteSent: true}, MayHaveRun, false},
			{Attempt{AnyByteSent: true, Idempotent: true}, MayHaveRun, true},
			{Attempt{AnyByteSent: true, ReportedOutcome: NotRun}, NotRun, true},
			{Attempt{AnyByteSent: true, ReportedOutcome: MayHaveRun}, MayHaveRun, false},
			{Attempt{AnyByteSent: true, ReportedOutcome: MayHaveRun, Idempotent: true}, MayHaveRun, true},
			{Attempt{AnyByteSent: true, ReportedOutcome: "no"}, MayHaveRun, false},
			{Attempt{AnyByteSent: true, ReportedOutcome: Ran, Idempotent: true}, Ran, false},
			{Attempt{AnyByteSent: true, ResponseReceived: true, Idempotent: true}, Ran, false},
		} {
			So(c.a.Outcome(), ShouldEqual, c.o)
			So(c.a.Retryable(), ShouldEqual, c.retry)
		}
	})
	Convey("two attempts have not run only when neither has", t, func() {
		So(CombineOutcomes(NotRun, NotRun), ShouldEqual, NotRun)
		So(CombineOutcomes(NotRun, MayHaveRun), ShouldEqual, MayHaveRun)
		So(CombineOutcomes(MayHaveRun, Ran), ShouldEqual, Ran)
	})
}

// Callers act on code, status and outcome. The body must not leak internal details.
func TestError(t *testing.T) {
	Convey("each code has a status, an outcome and a message, once", t, func() {
		seen := map[Code]bool{}
		for _, c := range Codes() {
			So(seen[c.Code], ShouldBeFalse)
			seen[c.Code] = true
			So(c.Outcome.Valid(), ShouldBeTrue)
			So(c.Status, ShouldBeBetweenOrEqual, 400, 504)
			So(c.Message, ShouldNotBeEmpty)
			// A request that may have run must not be offered for a plain retry.
			if c.Retryable && c.Code != CodeDuplicate {
				So(c.Outcome, ShouldEqual, NotRun)
			}
		}
		So(Info("no such").Code, ShouldEqual, CodeInternal)
	})
	Convey("the body has the public fields only, and is read back", t, func() {
		cause := errors.New("dial 10.0.0.1")
		e := NewError(CodeShed).WithRetryAfter(1500*time.Microsecond).WithCause("customer bo uses the target", cause)
		var m map[string]any
		So(json.Unmarshal(e.Body(), &m), ShouldBeNil)
		So(m, ShouldResemble, map[string]any{"code": "shed", "outcome": "not_run", "message": "the target has too much work", "retry_after_ms": 2.0})
		So(e.Status(), ShouldEqual, 503)
		So(errors.Is(e, cause), ShouldBeTrue)
		So(e.Error(), ShouldContainSubstring, "bo uses")
		back, ok := ParseError(e.Body())
		So(ok, ShouldBeTrue)
		So(back.Code, ShouldEqual, CodeShed)
		for _, bad := range []string{"", "{}", `{"code":"shed","outcome":"perhaps"}`, "<html>"} {
			_, ok := ParseError([]byte(bad))
			So(ok, ShouldBeFalse)
		}
	})
}

// Guards against unlimited retries, which multiply the load of an overloaded target.
func TestBudget(t *testing.T) {
	Convey("retries are at most 10% of successes and a minimum, for each customer", t, func() {
		b := NewBudget(BudgetConfig{HostMinRate: 10, CustomerBurst: 20}, 0)
		takeAll := func(now time.Duration, customer string) (n int) {
			for b.Take(now, customer) {
				n++
			}
			return n
		}
		So(takeAll(0, "a"), ShouldEqual, 1)
		for range 100 {
			b.RecordSuccess(0, "a")
		}
		So(takeAll(0, "b"), ShouldEqual, 1)
		So(takeAll(0, "a"), ShouldEqual, 10)
		So(takeAll(time.Second, "a"), ShouldEqual, 1)
		for i := range 50 {
			b.Take(time.Second, string(rune('A'+i)))
		}
		// Many customers together use up the host's budget.
		So(b.Take(time.Second, "new"), ShouldBeFalse)
		So(b.Take(2*time.Second, "new"), ShouldBeTrue)
	})
	Convey("the default minimum of 10 hosts is small beside the slowest workload", t, func() {
		b, n := NewBudget(BudgetConfig{}, 0), 0
		for ms := range 10_000 {
			if b.Take(time.Duration(ms)*time.Millisecond, string(rune('a'+ms%20))) {
				n++
			}
		}
		So(n, ShouldBeBetween, 20, 23)
	})
	Convey("the number of customers remembered is bounded", t, func() {
		b := NewBudget(BudgetConfig{MaxCustomers: 10}, 0)
		for i := range 1000 {
			b.RecordSuccess(time.Duration(i)*time.Second, strings.Repeat("x", i))
			So(len(b.customers), ShouldBeLessThanOrEqualTo, 70)
		}
	})
	Convey("the wait doubles, follows the hint and ends before the deadline", t, func() {
		var p Backoff
		w, ok := p.Next(0, 1, 0, 1, time.Second, ms)
		So(w, ShouldEqual, 5*ms)
		So(ok, ShouldBeTrue)
		w, _ = p.Next(0, 3, 0, 0.5, time.Second, ms)
		So(w, ShouldEqual, 10*ms)
		w, _ = p.Next(0, 30, 100*ms, 1, time.Second, ms)
		So(w, ShouldEqual, 300*ms)
		_, ok = p.Next(0, 1, 90*ms, 1, 100*ms, 5*ms)
		So(ok, ShouldBeFalse)
	})
}

// Guards against hedging every request, which doubles the load.
func TestHedger(t *testing.T) {
	Convey("hedges are sent after the p95, for 5% of the requests", t, func() {
		h := NewHedger(HedgeConfig{})
		_, ok := h.StartRequest()
		So(ok, ShouldBeFalse)
		now := time.Duration(0)
		for i := range 1000 {
			now += ms
			h.Observe(now, time.Duration(i%100+1)*ms)
		}
		d, ok := h.StartRequest()
		So(ok, ShouldBeTrue)
		So(d, ShouldBeBetween, 93*ms, 97*ms)
		taken := 0
		for range 2000 {
			h.StartRequest()
			if h.Take() {
				taken++
			}
		}
		So(taken, ShouldBeBetweenOrEqual, 99, 101)
	})
	Convey("old samples are forgotten", t, func() {
		h := NewHedger(HedgeConfig{})
		for i := range 200 {
			h.Observe(time.Duration(i)*ms, 100*ms)
		}
		for i := range 200 {
			h.Observe(time.Minute+time.Duration(i)*ms, 10*ms)
		}
		d, _ := h.StartRequest()
		So(d, ShouldBeBetween, 9*ms, 11*ms)
	})
}

func mustIssuer(host, incarnation string) *Issuer {
	s, err := NewIssuer(host, incarnation, []byte("0123456789abcdef0123456789abcdef"))
	if err != nil {
		panic(err)
	}
	return s
}

// Guards against an identifier that another host, incarnation or customer can use:
// a request could then run more than once.
func TestIssuer(t *testing.T) {
	Convey("identifiers are accepted only from where and for whom they were issued", t, func() {
		s := mustIssuer("host-1.d1", "7f")
		id, err := ParseID(s.ID(42, "ana").String())
		So(err, ShouldBeNil)
		So(id, ShouldResemble, s.ID(42, "ana"))
		So(s.Verify(id, "ana"), ShouldEqual, OriginLocal)
		So(s.Verify(id, "bo"), ShouldEqual, OriginForged)
		So(mustIssuer("host-2.d1", "7f").Verify(id, "ana"), ShouldEqual, OriginOtherHost)
		So(mustIssuer("host-1.d1", "80").Verify(id, "ana"), ShouldEqual, OriginOtherIncarnation)
		other := id
		other.Sequence++
		So(s.Verify(other, "ana"), ShouldEqual, OriginForged)
	})
	Convey("settings that give ambiguous or weak identifiers are refused", t, func() {
		for _, c := range [][3]string{{"", "1", "0123456789abcdef"}, {"h", "a.b", "0123456789abcdef"}, {"h", "1", "short"}, {"h/x", "1", "0123456789abcdef"}} {
			_, err := NewIssuer(c[0], c[1], []byte(c[2]))
			So(err, ShouldHaveSameTypeAs, &IDError{})
		}
	})
}

// FuzzParseID checks that no input panics, and that an identifier has one text
// form: with two, one request could run under both.
func FuzzParseID(f *testing.F) {
	f.Add(mustIssuer("host-1.d1", "7f").ID(42, "ana").String())
	for _, s := range []string{"", "...", "a.b.c.d", "h.1.01.00000000000000000000000000000000", "h.1.1.ABCDEF00000000000000000000000000"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseID(s)
		if err == nil && id.String() != s {
			t.Fatalf("%q is read as %q", s, id.String())
		}
	})
}

// Guards against a ledger that admits a second request or forgets one early: a
// request could then run more than once.
func TestPropertyLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(LedgerConfig{Window: time.Minute, Capacity: 2 * SegmentSize})
		type entry struct {
			issued   time.Duration
			inFlight bool
			last     Outcome
		}
		model := []entry{{}}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second
			for range rapid.SampledFrom([]int{0, 1, 10, 3000}).Draw(t, "issue") {
				if seq := l.Issue(now); seq != uint64(len(model)) {
					t.Fatalf("sequence number %d, expected %d", seq, len(model))
				}
				model = append(model, entry{issued: now})
			}
			distance := rapid.SampledFrom([]int{1, 2, 3, 50, 5000, 9000}).Draw(t, "back")
			seq := max(len(model)-distance, 0)
			e := &model[seq]
			if rapid.Bool().Draw(t, "finish") {
				o := rapid.SampledFrom([]Outcome{NotRun, MayHaveRun, Ran}).Draw(t, "outcome")
				if ok := l.Finish(now, uint64(seq), o); ok && !e.inFlight {
					t.Fatalf("finished %d, which was not in flight", seq)
				} else if ok {
					e.inFlight, e.last = false, o
				}
				continue
			}
			admission := l.Begin(now, uint64(seq))
			want := AdmissionGranted
			switch {
			case seq == 0:
				want = AdmissionUnknown
			case e.inFlight:
				want = AdmissionInFlight
			case e.last == Ran:
				want = AdmissionRan
			case e.last == MayHaveRun:
				want = AdmissionMayHaveRun
			}
			recent := now-e.issued <= time.Minute && len(model)-seq <= 2*SegmentSize
			if admission != want && (admission != AdmissionExpired || recent) {
				t.Fatalf("admission %d for %d, expected %d (recent: %v)", admission, seq, want, recent)
			}
			if admission == AdmissionGranted {
				e.inFlight = true
			}
		}
		if l.Begin(now, uint64(len(model))) != AdmissionUnknown {
			t.Fatal("an identifier that was not issued is known")
		}
	})
}

// Guards against wrong decisions from a ring slot that keeps the states of older
// identifiers, or for an identifier whose slot was reused.
func TestLedgerRing(t *testing.T) {
	Convey("the newest identifiers are remembered over many rounds, older ones expire", t, func() {
		l := NewLedger(LedgerConfig{Capacity: 2 * SegmentSize})
		wrong := 0
		for i := uint64(1); i <= 10*SegmentSize; i++ {
			if seq := l.Issue(0); seq != i || l.Begin(0, seq) != AdmissionGranted || !l.Finish(0, seq, Ran) {
				wrong++
			}
			if i > 2*SegmentSize && l.Begin(0, i-2*SegmentSize) != AdmissionRan {
				wrong++
			}
			if i > 3*SegmentSize && l.Begin(0, i-3*SegmentSize) != AdmissionExpired {
				wrong++
			}
		}
		So(wrong, ShouldEqual, 0)
		So(l.Stats(0).Remembered, ShouldBeLessThanOrEqualTo, 3*SegmentSize)
	})
}

func TestAnswerError(t *testing.T) {
	Convey("repeats get the stored outcome", t, func() {
		So(AdmissionGranted.Error(), ShouldBeNil)
		for a, want := range map[Admission]Outcome{
			AdmissionInFlight: MayHaveRun, AdmissionRan: Ran, AdmissionMayHaveRun: MayHaveRun, AdmissionExpired: MayHaveRun, AdmissionUnknown: NotRun,
		} {
			So(a.Error().Outcome, ShouldEqual, want)
		}
	})
}

// BenchmarkLedgerMemory reports the memory of a full ledger of 1M identifiers.
func BenchmarkLedgerMemory(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := NewLedger(LedgerConfig{})
		for range 1_100_000 {
			l.Begin(0, l.Issue(0))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B/1M")
		runtime.KeepAlive(l)
	}
}

// BenchmarkLedger measures issue, begin and finish of one request.
func BenchmarkLedger(b *testing.B) {
	l := NewLedger(LedgerConfig{})
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i)
		seq := l.Issue(now)
		l.Begin(now, seq)
		l.Finish(now, seq, Ran)
	}
}

// BenchmarkID measures issue, text form, parse and verification.
func BenchmarkID(b *testing.B) {
	s := mustIssuer("host-1", "7f")
	b.ReportAllocs()
	for i := range uint64(b.N) {
		id, err := ParseID(s.ID(i, "ana").String())
		if err != nil || s.Verify(id, "ana") != OriginLocal {
			b.Fatal(err)
		}
	}
}

// BenchmarkBudgetAndHedge measures the cost per request of both policies.
func BenchmarkBudgetAndHedge(b *testing.B) {
	u, h := NewBudget(BudgetConfig{}, 0), NewHedger(HedgeConfig{})
	r := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * ms
		h.StartRequest()
		h.Observe(now, time.Duration(r.IntN(100))*ms)
		u.RecordSuccess(now, "ana")
	}
}
