//go:build review

package kit

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/boragelock/boragelock/platform"
	"github.com/boragelock/boragelock/platform/standin"
)

// Keys is the number of keys of a sharded service.
const Keys = 65536

// Fleet is the instances of one sharded service. It checks the rule OWNER at each grant.
type Fleet struct {
	Service string
	Store   *standin.Store
	Record  *Record
	// Work is how long a request runs on an instance of usual speed.
	Work func() time.Duration
	// Speeds are the factors by which work takes longer on instances, in turn. In each
	// noiseEvery it takes noiseFactor times as long on noiseShare of the instances.
	Speeds []float64
	// Answer returns the body of the answer to a path, if it is set.
	Answer func(path string) string
	// Unkeyed instances run requests without a key.
	Unkeyed bool

	mu        sync.Mutex
	instances map[string]*Instance
	started   []string
	broken    int
	releases  int
	grants    int
	extras    int
	runs      map[string]int
}

// NewFleet returns a fleet without instances.
func NewFleet(service string, store *standin.Store, record *Record, work func() time.Duration) *Fleet {
	return &Fleet{Service: service, Store: store, Record: record, Work: work, instances: map[string]*Instance{}, runs: map[string]int{}}
}

// Counts returns how often the rule was broken, and the numbers of releases, grants and
// extra answers.
func (f *Fleet) Counts() (broken, releases, grants, extras int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.broken, f.releases, f.grants, f.extras
}

// Up returns the instances that are up.
func (f *Fleet) Up() []*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*Instance
	for _, x := range f.instances {
		out = append(out, x)
	}
	return out
}

// Instance is one instance: it runs a request only while it holds its key, answers a
// release when the work on the keys has ended, and refuses lower fencing tokens.
type Instance struct {
	ID, Zone string
	Born     int64
	Slots    int

	fleet    *Fleet
	listener net.Listener
	seq      int
	state    string
	stop     chan struct{}

	// The fields below are guarded by fleet.mu.
	conns map[net.Conn]bool
	// fence is the highest fencing token seen on each key; holdEnd is when the last
	// grant runs out, and held is false once it was released.
	fence   [Keys]uint64
	holdEnd [Keys]time.Time
	held    [Keys]bool
	running map[string]int // key by request id
	waiting int
	ended   *sync.Cond
	// garbleUntil is the end of the time in which garbleShare of the answers are
	// followed by a second, late copy.
	garbleUntil time.Time
	garbleShare float64
	speed       float64
	noise       float64
	noiseEnd    time.Time
}

// The instances share their machines with others, as the site files state it.
const (
	noiseShare  = 0.2
	noiseFactor = 3
	noiseEvery  = 400 * time.Millisecond
)

// slowdown returns how much longer work takes at this moment; fleet.mu is held.
func (x *Instance) slowdown() float64 {
	if now := time.Now(); now.After(x.noiseEnd) {
		x.noise, x.noiseEnd = 1, now.Add(noiseEvery)
		if rand.Float64() < noiseShare {
			x.noise = noiseFactor
		}
	}
	return x.noise
}

// Start starts an instance and registers it.
func (f *Fleet) Start(id, zone string, slots int) (*Instance, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &Instance{
		ID: id, Zone: zone, Born: time.Now().UnixMilli(), Slots: slots, fleet: f, listener: l, state: "ready",
		stop: make(chan struct{}), conns: map[net.Conn]bool{}, running: map[string]int{}, ended: sync.NewCond(&f.mu),
	}
	f.mu.Lock()
	x.speed = 1
	if len(f.Speeds) > 0 {
		x.speed = f.Speeds[len(f.started)%len(f.Speeds)]
	}
	f.started = append(f.started, id)
	f.instances[id] = x
	f.mu.Unlock()
	go x.accept()
	x.checkIn()
	go func() {
		for {
			select {
			case <-x.stop:
				return
			case <-time.After(870 * time.Millisecond):
				x.checkIn()
			}
		}
	}()
	return x, nil
}

func (x *Instance) checkIn() {
	x.fleet.mu.Lock()
	x.seq++
	entry := map[string]any{
		"service": x.fleet.Service, "address": x.listener.Addr().String(), "zone": x.Zone, "version": "v1", "slots": x.Slots,
		"state": x.state, "cold-left-s": 0, "seq": x.seq, "born": x.Born,
	}
	select {
	case <-x.stop:
		x.fleet.mu.Unlock()
		return
	default:
	}
	x.fleet.mu.Unlock()
	x.fleet.Store.Put(platform.TopicTargets, x.ID, entry)
}

// Drain reports that the instance leaves, serves for the time given, and ends.
func (x *Instance) Drain(serve time.Duration) {
	x.fleet.mu.Lock()
	x.state = "draining"
	x.fleet.mu.Unlock()
	x.checkIn()
	x.fleet.Record.Add("instance %s reports draining", x.ID)
	time.Sleep(serve)
	x.End()
}

// End ends the instance and removes its entry.
func (x *Instance) End() {
	x.fleet.mu.Lock()
	delete(x.fleet.instances, x.ID)
	close(x.stop)
	for c := range x.conns {
		_ = c.Close()
	}
	x.fleet.mu.Unlock()
	_ = x.listener.Close()
	x.fleet.Store.Put(platform.TopicTargets, x.ID, nil)
	x.fleet.Record.Add("instance %s ended", x.ID)
}

// Garble makes a share of the answers be followed by a late second copy for a time.
func (x *Instance) Garble(share float64, d time.Duration) {
	x.fleet.mu.Lock()
	defer x.fleet.mu.Unlock()
	x.garbleShare, x.garbleUntil = share, time.Now().Add(d)
}

func (x *Instance) accept() {
	for {
		c, err := x.listener.Accept()
		if err != nil {
			return
		}
		go x.serve(c)
	}
}

// serve serves one request at a time. The second copy of an answer arrives at the point
// where the next answer on its connection is expected.
func (x *Instance) serve(c net.Conn) {
	f := x.fleet
	f.mu.Lock()
	x.conns[c] = true
	f.mu.Unlock()
	defer func() {
		_ = c.Close()
		f.mu.Lock()
		delete(x.conns, c)
		f.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	var extra []byte
	extraOf := ""
	for {
		if c.SetReadDeadline(time.Now().Add(10*time.Second)) != nil {
			return
		}
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		what := r.Method + " " + r.RequestURI + " " + string(body)
		if extra != nil {
			f.Record.Add("instance %s: late second copy of the answer to %q arrives where the answer to %q is expected", x.ID, extraOf, what)
			f.mu.Lock()
			f.extras++
			f.mu.Unlock()
			if _, err := c.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		status, header, content := x.handle(r, body)
		answer := format(status, header, content)
		if _, err := c.Write(answer); err != nil {
			return
		}
		f.mu.Lock()
		if time.Now().Before(x.garbleUntil) && rand.Float64() < x.garbleShare {
			extra, extraOf = answer, what
		}
		f.mu.Unlock()
	}
}

func format(status int, header map[string]string, content string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(content), content)
	return b.Bytes()
}

func (x *Instance) handle(r *http.Request, body []byte) (int, map[string]string, string) {
	id := r.Header.Get(standin.HeaderRequestID)
	h := map[string]string{"X-Boragelock-Instance-Id": x.ID}
	if id != "" {
		h[standin.HeaderRequestID] = id
	}
	if expect := r.Header.Get("X-Boragelock-Expect-Instance"); expect != "" && expect != x.ID {
		return http.StatusMisdirectedRequest, h, ""
	}
	switch r.URL.Path {
	case "/-/grant":
		return x.grant(h, body)
	case "/-/release":
		return x.release(h, body)
	}
	return x.run(r, id, h)
}

type keyCall struct {
	From  int     `json:"from"`
	To    int     `json:"to"`
	Fence uint64  `json:"fence"`
	Hold  float64 `json:"hold-s"`
}

func (x *Instance) grant(h map[string]string, body []byte) (int, map[string]string, string) {
	var g keyCall
	if json.Unmarshal(body, &g) != nil || g.From < 0 || g.To >= Keys || g.From > g.To {
		return http.StatusBadRequest, h, ""
	}
	f := x.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	for k := g.From; k <= g.To; k++ {
		if x.fence[k] > g.Fence {
			return http.StatusConflict, h, ""
		}
	}
	now := time.Now()
	f.grants++
	fresh := !x.held[g.From] || now.After(x.holdEnd[g.From])
	for _, o := range f.instances {
		if o == x {
			continue
		}
		for id, k := range o.running {
			if k >= g.From && k <= g.To && now.Before(o.holdEnd[k]) {
				f.broken++
				f.Record.Add("OWNER broken: %s is granted keys %d-%d (fence %d) while %s is still at work on key %d (request %s), %v before that one's hold would have run out",
					x.ID, g.From, g.To, g.Fence, o.ID, k, id, o.holdEnd[k].Sub(now).Round(time.Millisecond))
			}
		}
	}
	for k := g.From; k <= g.To; k++ {
		x.fence[k], x.held[k], x.holdEnd[k] = g.Fence, true, now.Add(time.Duration(g.Hold*float64(time.Second)))
	}
	if fresh {
		f.Record.Add("instance %s is granted %d-%d, fence %d", x.ID, g.From, g.To, g.Fence)
	}
	return http.StatusOK, h, ""
}

func (x *Instance) busy(from, to int) int {
	n := 0
	for _, k := range x.running {
		if k >= from && k <= to {
			n++
		}
	}
	return n
}

func (x *Instance) release(h map[string]string, body []byte) (int, map[string]string, string) {
	var g keyCall
	if json.Unmarshal(body, &g) != nil || g.From < 0 || g.To >= Keys || g.From > g.To {
		return http.StatusBadRequest, h, ""
	}
	f := x.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.releases++
	for k := g.From; k <= g.To; k++ {
		x.fence[k], x.held[k] = max(x.fence[k], g.Fence), false
	}
	f.Record.Add("instance %s gets the release of %d-%d, fence %d, with %d requests at work on them", x.ID, g.From, g.To, g.Fence, x.busy(g.From, g.To))
	for x.busy(g.From, g.To) > 0 {
		x.ended.Wait()
	}
	f.Record.Add("instance %s answers the release of %d-%d, fence %d", x.ID, g.From, g.To, g.Fence)
	h["X-Boragelock-Handover"] = fmt.Sprintf("%016x", rand.Uint64())
	return http.StatusOK, h, ""
}

// queueLength is the number of requests that an instance queues beside those that run.
const queueLength = 24

func (x *Instance) run(r *http.Request, id string, h map[string]string) (int, map[string]string, string) {
	f := x.fleet
	key, err := strconv.Atoi(r.Header.Get(standin.HeaderKey))
	notRun := func(status int) (int, map[string]string, string) {
		h["X-Boragelock-Not-Executed"] = "1"
		return status, h, ""
	}
	if f.Unkeyed {
		key, err = 0, nil
	}
	if err != nil || key < 0 || key >= Keys {
		return notRun(http.StatusMisdirectedRequest)
	}
	f.mu.Lock()
	x.waiting++
	if x.waiting > queueLength+x.Slots {
		x.waiting--
		f.mu.Unlock()
		return notRun(http.StatusServiceUnavailable)
	}
	for len(x.running) >= x.Slots {
		x.ended.Wait()
	}
	x.waiting--
	if !f.Unkeyed && (!x.held[key] || time.Now().After(x.holdEnd[key])) {
		f.mu.Unlock()
		return notRun(http.StatusMisdirectedRequest)
	}
	run := id + "/" + strconv.FormatUint(rand.Uint64(), 36)
	x.running[run] = key
	f.runs[id]++
	slowdown := x.slowdown()
	load := fmt.Sprintf("%d,%d,%d,%d", len(x.running), x.waiting, x.Slots, int(100*slowdown))
	f.Record.Add("%s runs %s key %d", x.ID, id, key)
	f.mu.Unlock()
	time.Sleep(time.Duration(float64(f.Work()) * x.speed * slowdown))
	f.mu.Lock()
	delete(x.running, run)
	x.ended.Broadcast()
	f.mu.Unlock()
	h["X-Boragelock-Instance-Load"] = load
	h[standin.HeaderSignature] = x.ID + "." + id
	if f.Answer != nil {
		return http.StatusOK, h, f.Answer(r.URL.Path)
	}
	return http.StatusOK, h, "answer to " + id
}

// Runs returns how often a request ran.
func (f *Fleet) Runs(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// State returns what the instance reports of itself.
func (x *Instance) State() string {
	x.fleet.mu.Lock()
	defer x.fleet.mu.Unlock()
	return x.state
}
