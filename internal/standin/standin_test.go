package standin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/internal/httpplatform"
	"github.com/boragelock/boragelock/provider"
)

func codeOf(err error) provider.Code {
	var e *provider.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// Tests of the control plane's recovery from lost responses rely on this log.
func TestLog(t *testing.T) {
	ctx := context.Background()
	Convey("a log", t, func() {
		l := NewLog(LogConfig{RetainRecords: 3, AppendsPerSecond: 1000})
		s := httptest.NewServer(l)
		defer s.Close()
		c := httpplatform.NewLog(s.Listener.Addr().String(), httpplatform.Options{})
		Convey("keeps order, limits retention and wakes long polls", func() {
			done := make(chan provider.Batch, 1)
			go func() { b, _ := c.Read(ctx, 1, 10, 5*time.Second); done <- b }()
			time.Sleep(20 * time.Millisecond)
			for i := range int64(5) {
				off, err := c.Append(ctx, []byte{byte(i)})
				So(err, ShouldBeNil)
				So(off, ShouldEqual, i+1)
			}
			So((<-done).Records[0].Offset, ShouldEqual, 1)
			_, err := c.Read(ctx, 2, 10, 0)
			So(codeOf(err), ShouldEqual, provider.CodeExpired)
			b, err := c.Read(ctx, 3, 2, 0)
			So(err, ShouldBeNil)
			So([]int64{b.FirstOffset, b.EndOffset, int64(len(b.Records))}, ShouldResemble, []int64{3, 6, 2})
		})
		Convey("loses answers after and without effect", func() {
			l.SetSwitches(LogSwitches{LoseAfterEffect: 1})
			_, err := c.Append(ctx, []byte("a"))
			So(codeOf(err), ShouldEqual, provider.CodeUnknownOutcome)
			l.SetSwitches(LogSwitches{LoseWithoutEffect: 1})
			_, err = c.Append(ctx, []byte("b"))
			So(codeOf(err), ShouldEqual, provider.CodeUnknownOutcome)
			off, err := c.Append(ctx, []byte("c"))
			So(err, ShouldBeNil)
			So(off, ShouldEqual, 2)
		})
		Convey("ends waiting reads when it goes down", func() {
			done := make(chan error, 1)
			go func() { _, err := c.Read(ctx, 1, 10, 5*time.Second); done <- err }()
			time.Sleep(20 * time.Millisecond)
			l.SetSwitches(LogSwitches{Down: DownRefuse})
			So(codeOf(<-done), ShouldEqual, provider.CodeUnavailable)
		})
	})
}

func TestHostsLag(t *testing.T) {
	Convey("a change is visible after the lag and not before", t, func() {
		h := NewHosts(50*time.Millisecond, provider.Host{Name: "a", State: provider.HostLive})
		h.Set(provider.Host{Name: "a", State: HostGone})
		So(h.List(), ShouldHaveLength, 1)
		time.Sleep(60 * time.Millisecond)
		So(h.List(), ShouldBeEmpty)
	})
}

// servedTarget is a target served over HTTP.
type servedTarget struct {
	t      *Target
	rec    *Recorder
	client *httpplatform.Target
	addr   string
}

func newServedTarget(cfg TargetConfig) (*servedTarget, func()) {
	cfg.Name, cfg.Workload, cfg.Keyed, cfg.Shards = "t1", "orders", true, 4
	rec := NewRecorder(nil, true)
	tg := NewTarget(cfg, rec)
	s := httptest.NewServer(tg)
	addr := s.Listener.Addr().String()
	return &servedTarget{t: tg, rec: rec, client: httpplatform.NewTarget(addr, httpplatform.Options{}), addr: addr}, s.Close
}

// send sends one work request and returns the status and the refusal code.
func (b *servedTarget) send(key string, shard int32, epoch uint64, deadline string) (int, string) {
	req, _ := http.NewRequest("POST", "http://"+b.addr+"/v1/work/"+key+"?tag=x", nil)
	req.Header.Set(provider.HeaderWorkload, "orders")
	req.Header.Set(provider.HeaderShard, strconv.Itoa(int(shard)))
	req.Header.Set(provider.HeaderEpoch, strconv.FormatUint(epoch, 10))
	if deadline != "" {
		req.Header.Set(provider.HeaderDeadlineMS, deadline)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get(provider.HeaderCode)
}

func (b *servedTarget) grant(g provider.Grant) provider.GrantReply {
	r, err := b.client.Grant(context.Background(), g)
	So(err, ShouldBeNil)
	return r
}

func (b *servedTarget) outcomes() map[RunOutcome]int {
	out := map[RunOutcome]int{}
	for _, r := range b.rec.Since(0) {
		if r.Outcome != "" {
			out[r.Outcome]++
		}
	}
	return out
}

// A stand-in that lets a run take effect after its lease ended hides faults of
// the router; one that refuses valid runs reports faults that do not exist.
func TestFence(t *testing.T) {
	key := "k1"
	shard := int32(xxhash.Sum64String(key) % 4)
	shardGrant := func(v uint64, e uint64) provider.Grant {
		return provider.Grant{Granter: "g", LeaseMS: 200, Version: v, HasShards: true,
			Shards: []provider.ShardEpoch{{Workload: "orders", Shard: shard, Epoch: e}}}
	}
	Convey("a fencing target", t, func() {
		b, stop := newServedTarget(TargetConfig{Fencing: true, ServiceMS: 40, Slots: 4})
		defer stop()
		g := shardGrant(5, 2)
		r := b.grant(g)
		So(r.Result, ShouldEqual, provider.GrantNonceRejected)
		status, code := b.send(key, shard, 2, "")
		So(status, ShouldEqual, 409)
		So(code, ShouldEqual, provider.RefusalNotOwner)
		g.Nonce = r.Nonce
		r = b.grant(g)
		So(r.Result, ShouldEqual, provider.GrantAccepted)

		Convey("checks epoch, shard and key, and hot keys", func() {
			status, _ = b.send(key, shard, 2, "")
			So(status, ShouldEqual, 200)
			status, _ = b.send(key, shard, 3, "")
			So(status, ShouldEqual, 409)
			status, _ = b.send(key, (shard+1)%4, 2, "")
			So(status, ShouldEqual, 409)
			g := shardGrant(6, 2)
			g.Nonce, g.HotKeys = r.Nonce, []provider.HotKey{{Workload: "orders", Key: key, Shard: 4}}
			So(b.grant(g).Result, ShouldEqual, provider.GrantAccepted)
			status, _ = b.send(key, shard, 2, "")
			So(status, ShouldEqual, 409)
		})
		Convey("refuses old versions and renewals of an unknown list", func() {
			stale := shardGrant(4, 1)
			stale.Nonce = r.Nonce
			r = b.grant(stale)
			So(r.Result, ShouldEqual, provider.GrantStaleVersion)
			So(b.grant(provider.Grant{Granter: "g", Nonce: r.Nonce, LeaseMS: 200, Version: 6}).Result, ShouldEqual, provider.GrantNeedShards)
			So(b.grant(provider.Grant{Granter: "g", Nonce: r.Nonce, LeaseMS: 200, Version: 5}).Result, ShouldEqual, provider.GrantAccepted)
		})
		Convey("counts the lease from the nonce", func() {
			time.Sleep(120 * time.Millisecond)
			renew := provider.Grant{Granter: "g", Nonce: r.Nonce, LeaseMS: 200, Version: 5}
			So(b.grant(renew).Result, ShouldEqual, provider.GrantAccepted)
			time.Sleep(100 * time.Millisecond)
			status, _ = b.send(key, shard, 2, "")
			So(status, ShouldEqual, 409)
			So(b.grant(renew).Result, ShouldEqual, provider.GrantNonceRejected)
		})
		Convey("lists a dropped shard as draining and lets its run finish", func() {
			done := make(chan int)
			go func() { s, _ := b.send(key, shard, 2, ""); done <- s }()
			time.Sleep(15 * time.Millisecond)
			r = b.grant(provider.Grant{Granter: "g", Nonce: r.Nonce, LeaseMS: 200, Version: 7, HasShards: true})
			So(r.Draining, ShouldHaveLength, 1)
			So(<-done, ShouldEqual, 200)
			r = b.grant(provider.Grant{Granter: "g", Nonce: r.Nonce, LeaseMS: 200, Version: 7})
			So(r.Draining, ShouldBeEmpty)
		})
		Convey("lets no run of an ended lease take effect, even after a new lease", func() {
			b.t.SetSwitches(TargetSwitches{SlowFactor: 10})
			done := make(chan int)
			go func() { s, _ := b.send(key, shard, 2, ""); done <- s }()
			time.Sleep(230 * time.Millisecond)
			r = b.grant(shardGrant(5, 2))
			again := shardGrant(5, 2)
			again.Nonce = r.Nonce
			So(b.grant(again).Result, ShouldEqual, provider.GrantAccepted)
			So(<-done, ShouldEqual, 409)
			So(b.outcomes(), ShouldResemble, map[RunOutcome]int{RunNotOwner: 1})
		})
		Convey("checks ownership after a freeze", func() {
			done := make(chan int)
			go func() { s, _ := b.send(key, shard, 2, ""); done <- s }()
			time.Sleep(15 * time.Millisecond)
			b.t.SetSwitches(TargetSwitches{Frozen: true})
			time.Sleep(250 * time.Millisecond)
			b.t.SetSwitches(TargetSwitches{})
			So(<-done, ShouldEqual, 409)
		})
		Convey("stops at the deadline with a true not_run", func() {
			status, code = b.send(key, shard, 2, "10")
			So(status, ShouldEqual, 503)
			So(code, ShouldEqual, provider.RefusalDeadline)
			So(b.outcomes()[RunEffect], ShouldEqual, 0)
		})
	})
	Convey("a target without fencing runs everything", t, func() {
		b, stop := newServedTarget(TargetConfig{ServiceMS: 1})
		defer stop()
		status, _ := b.send(key, 3, 9, "")
		So(status, ShouldEqual, 200)
	})
}

// Overload scenarios prove nothing when the target stays warm or never sheds.
func TestColdAndShed(t *testing.T) {
	Convey("a cold target sheds above what it bears, falls over when flooded, and warms with work", t, func() {
		b, stop := newServedTarget(TargetConfig{ServiceMS: 20, Slots: 3, ColdSlots: 1, RampMS: 100, StartCold: true, FallOverSheds: 3, FallOverMS: 100})
		defer stop()
		flood := func(n int) (ok int) {
			var wg sync.WaitGroup
			var mu sync.Mutex
			for range n {
				wg.Go(func() {
					if s, _ := b.send("k", 0, 0, ""); s == 200 {
						mu.Lock()
						ok++
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			return ok
		}
		So(flood(3), ShouldEqual, 1)
		So(flood(2), ShouldEqual, 1)
		So(flood(1), ShouldEqual, 0)
		time.Sleep(110 * time.Millisecond)
		for range 6 {
			flood(1)
		}
		So(flood(3), ShouldEqual, 3)
	})
	Convey("connections above the limit are closed and recorded", t, func() {
		rec := NewRecorder(nil, true)
		tg := NewTarget(TargetConfig{Name: "t1", Connections: 2}, rec)
		s := httptest.NewUnstartedServer(tg)
		s.Listener = tg.Listener(s.Listener)
		s.Start()
		defer s.Close()
		for range 2 {
			c := httpplatform.NewTarget(s.Listener.Addr().String(), httpplatform.Options{})
			_, err := c.Load(context.Background())
			So(err, ShouldBeNil)
		}
		_, err := httpplatform.NewTarget(s.Listener.Addr().String(), httpplatform.Options{}).Load(context.Background())
		// The client may see the closed connection before or after its write.
		So(codeOf(err), ShouldBeIn, provider.CodeUnknownOutcome, provider.CodeUnavailable)
		events := 0
		for _, r := range rec.Since(0) {
			if r.Event == EventConnection {
				events++
			}
		}
		So(events, ShouldBeGreaterThan, 0)
	})
	Convey("late and false load reports differ from the truth", t, func() {
		tg := NewTarget(TargetConfig{Name: "t1"}, NewRecorder(nil, true))
		tg.SetSwitches(TargetSwitches{LoadLagMS: 50, Leaving: true})
		r, _ := tg.Grant(provider.Grant{})
		So(r.Load.State, ShouldEqual, provider.TargetServing)
		time.Sleep(60 * time.Millisecond)
		r, _ = tg.Grant(provider.Grant{})
		So(r.Load.State, ShouldEqual, provider.TargetLeaving)
		tg.SetSwitches(TargetSwitches{FalseLoad: &provider.LoadReport{Capacity: 99}})
		r, _ = tg.Grant(provider.Grant{})
		So(r.Load.Capacity, ShouldEqual, 99)
	})
}
