package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/boragelock/boragelock/internal/boottime"
	"github.com/boragelock/boragelock/lease"
	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/platform"
)

// Keys of the control topic.
const (
	keyLeader = "leader"
	keyRanges = "ranges/" // followed by the workload
)

// leaderRecord names the host that leads. Each confirmation of the leader is a
// record of the same content with a higher Beat.
type leaderRecord struct {
	Term uint64 `json:"term"`
	// Host and Address are empty after a resignation.
	Host        string `json:"host,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	Address     string `json:"address,omitempty"`
	Beat        uint64 `json:"beat"`
	// ClearMS is how long granters of earlier terms may still have holds in
	// force, in milliseconds as of the record.
	ClearMS int64 `json:"clear_ms,omitempty"`
}

func (l leaderRecord) record() platform.Record {
	b, err := json.Marshal(l)
	if err != nil {
		panic("leader record: " + err.Error()) // plain strings and numbers
	}
	return platform.Record{Key: keyLeader, Value: b}
}

// Times of elections.
const (
	// confirmEvery is the period in which the leader confirms its term.
	confirmEvery = 700 * time.Millisecond
	// leaderSilent is the age of the leader's last record from which hosts
	// without a connection to it elect another: two confirmations.
	leaderSilent = 1600 * time.Millisecond
	// contendWithin spreads the candidates, so that most see the winner's record
	// before they append their own.
	contendWithin = 300 * time.Millisecond
	// resignPause keeps a host that resigned from standing again at once.
	resignPause = 3 * time.Second
)

// leadership is what the host knows of the leader.
type leadership struct {
	mu     sync.Mutex
	record leaderRecord
	// seen is when the record last changed, as this host read it.
	seen   time.Duration
	tables map[string]*ownership.RangeTable
	// linked says that a connection to the leader is open; refused counts the
	// connections that were refused since it ended.
	linked  bool
	refused int
	// ended is the highest term whose leader is known to have stopped; former is
	// the record of the leader before the present one.
	ended uint64
	// endedAt is when that leader had stopped at the latest.
	endedAt time.Duration
	former  leaderRecord
	// notBefore is when the host may stand for the lead.
	notBefore time.Duration
	pending   []countsMessage
}

func (l *leadership) init() {
	l.tables = map[string]*ownership.RangeTable{}
}

func (l *leadership) current() leaderRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record
}

func (l *leadership) connected(open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.linked = open
	if open {
		l.refused = 0
	}
}

func (l *leadership) isConnected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.linked
}

// lost notes a failed attempt to follow the leader of a term.
func (l *leadership) lost(term uint64, reason lossReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reason == lossRefused && l.record.Term == term {
		l.refused++
	}
}

func (l *leadership) addCounts(m countsMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, m)
}

func (l *leadership) takeCounts() []countsMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pending
	l.pending = nil
	return p
}

// formerRecord returns the record of the leader before the present one.
func (l *leadership) formerRecord() leaderRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.former
}

// heard takes what a host says of a term that it led: that it stopped, or that
// another process runs there now.
func (l *leadership) heard(m helloMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.former.Host != m.Host {
		return
	}
	if ago, ok := m.ended(l.former); ok {
		l.endedLocked(l.former.Term, ago)
	}
}

// endedAgo notes that the leader of a term had stopped at least a time ago.
func (l *leadership) endedAgo(term uint64, ago time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endedLocked(term, ago)
}

func (l *leadership) endedLocked(term uint64, ago time.Duration) {
	if term > l.ended {
		l.ended, l.endedAt = term, boottime.Now()-ago
	}
}

// hasEnded reports whether the leader of a term is known to have stopped.
func (l *leadership) hasEnded(term uint64) bool {
	_, ok := l.endOf(term)
	return ok
}

// endOf returns when the leader of a term had stopped at the latest, or false.
func (l *leadership) endOf(term uint64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.endedAt, l.ended >= term
}

func (l *leadership) table(workload string) *ownership.RangeTable {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tables[workload]
}

// refusals is the number of refused connections after which another leader is
// elected. They are no proof that it stopped: a partition may refuse as well.
const refusals = 2

// vacant reports whether the host should stand for the lead.
func (l *leadership) vacant(now time.Duration, self string, incarnation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now < l.notBefore {
		return false
	}
	r := l.record
	switch {
	case r.Host == "":
		return true
	case r.Address == self:
		// An earlier process of this host, or a term of this one that ended.
		return r.Incarnation != incarnation || now-l.seen > leaderSilent
	case l.ended >= r.Term, l.refused >= refusals && !l.linked:
		return true
	}
	// A leader that is cut off from the store is replaced although its peers
	// still hear it.
	return now-l.seen > leaderSilent
}

// applyControl takes records of the control topic.
func (c *Coordinator) applyControl(records []platform.Record, _ bool) []platform.Record {
	for _, r := range records {
		if r.Key == keyLeader {
			c.takeLeader(r)
		} else if w, ok := strings.CutPrefix(r.Key, keyRanges); ok && len(r.Value) > 0 {
			c.takeTable(w, r)
		}
	}
	return records
}

func (c *Coordinator) takeLeader(r platform.Record) {
	var l leaderRecord
	if err := json.Unmarshal(r.Value, &l); err != nil {
		c.cfg.Log.Error("leader_record_malformed", "offset", r.Offset, "err", err)
		return
	}
	c.lead.mu.Lock()
	defer c.lead.mu.Unlock()
	if l.Term >= c.lead.record.Term {
		c.setLeader(l, r.Offset)
	}
}

// hearOfLeader takes what another host says of the leader. A host that the store turns
// away learns only so whom to follow.
func (c *Coordinator) hearOfLeader(l leaderRecord) {
	c.lead.mu.Lock()
	defer c.lead.mu.Unlock()
	if l.Term > c.lead.record.Term && l.Address != "" {
		c.setLeader(l, unknownOffset)
	}
}

// setLeader puts a record of the leader, not older than the present one, in its place;
// c.lead.mu is held.
func (c *Coordinator) setLeader(l leaderRecord, offset int64) {
	if l.Term != c.lead.record.Term || l.Host != c.lead.record.Host {
		c.lead.refused = 0
		c.cfg.Log.Info("leader", "leader", l.Host, "term", l.Term, "offset", offset)
	}
	if l.Term != c.lead.record.Term {
		c.lead.former = c.lead.record
	}
	c.lead.record, c.lead.seen = l, boottime.Now()
}

func (c *Coordinator) takeTable(workload string, r platform.Record) {
	t, err := ownership.DecodeRangeTable(r.Value)
	if err != nil {
		c.cfg.Log.Error("range_table_malformed", "workload", workload, "offset", r.Offset, "err", err)
		return
	}
	c.lead.mu.Lock()
	c.lead.tables[workload] = t
	c.lead.mu.Unlock()
	if !c.Leading() && !c.lead.isConnected() {
		c.setRanges(workload, segmentViews(t))
	}
}

// serveLead stands for the lead when there is no leader, and leads.
func (c *Coordinator) serveLead(ctx context.Context) error {
	for sleep(ctx, 100*time.Millisecond) {
		if w := c.lateWin(); w != nil {
			c.leadTerm(ctx, w)
			continue
		}
		if !c.mayStand() {
			continue
		}
		if !sleep(ctx, c.reluctance()+jitter(contendWithin)) || !c.mayStand() {
			continue
		}
		if t := c.stand(ctx); t != nil {
			c.leadTerm(ctx, t)
		}
	}
	return ctx.Err()
}

// Resources with which a host leads some hundred others without delay: their
// messages, the grants of some hundred targets, and all ranges to each host that
// connects.
const (
	leaderCores = 0.5
	leaderMbps  = 150
	// maxReluctance is how much later a host without such resources stands.
	maxReluctance = 600 * time.Millisecond
)

// reluctance returns how long the host leaves the lead to better equipped ones.
func (c *Coordinator) reluctance() time.Duration {
	fit := min(1, c.cfg.Cores/leaderCores, c.cfg.LinkMbps/leaderMbps)
	return time.Duration((1 - fit) * float64(maxReluctance))
}

func (c *Coordinator) mayStand() bool {
	now := boottime.Now()
	return !c.retired.Load() && c.control.position() != unknownOffset && c.control.age(now) < awayFor &&
		c.lead.vacant(now, c.cfg.Peer, c.incarnation)
}

// stand appends a record that makes this host the leader of the next term. It
// returns nil when another host was first or the store did not answer.
func (c *Coordinator) stand(ctx context.Context) *wonTerm {
	previous := c.lead.current()
	prior := lease.EarlierGranters{
		PreviousStopped: previous.Host == "" || c.lead.hasEnded(previous.Term),
		OlderLeasesLeft: time.Duration(previous.ClearMS) * time.Millisecond,
	}
	start := boottime.Now()
	clear := lease.BeginTerm(c.cfg.Ranges.KeyLease, previous.Term+1, start, start, prior).InheritedLeasesLeft(start)
	r := leaderRecord{
		Term: previous.Term + 1, Host: c.cfg.Host, Incarnation: c.incarnation, Address: c.cfg.Peer,
		ClearMS: clear.Milliseconds(),
	}
	at := c.control.position()
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := boottime.Now()
	records := []platform.Record{r.record()}
	end, err := c.cfg.Store.Append(callCtx, platform.TopicControl, at, records)
	c.m.storeCall("append", err)
	if err == nil {
		c.control.take(at, platform.Batch{Records: records, Next: end}, false, sent)
	} else {
		c.cfg.Log.Info("election_append_failed", "term", r.Term, "err", err)
		var e *platform.Error
		if errors.As(err, &e) && e.Outcome == platform.Unknown {
			c.unanswered = &wonTerm{record: r, prior: prior, sent: sent}
		}
		// What the topic holds decides: the record may have been appended, or another
		// host was first, which the next attempt has to know.
		readCtx, cancelRead := context.WithTimeout(ctx, readTimeout)
		defer cancelRead()
		if err := c.control.read(readCtx); err != nil {
			c.cfg.Log.Debug("store_read_failed", "topic", platform.TopicControl, "err", err)
		}
		return c.lateWin()
	}
	if now := c.lead.current(); now.Term != r.Term || now.Incarnation != c.incarnation {
		return nil
	}
	return &wonTerm{record: r, prior: prior, sent: sent, answered: boottime.Now()}
}

// lateWin returns the term of an append without an answer when the topic shows that
// it was carried out and no other term has begun since. Without this the term has no
// leader, and the next one waits for the authority that nobody uses.
func (c *Coordinator) lateWin() *wonTerm {
	w := c.unanswered
	if w == nil {
		return nil
	}
	now := c.lead.current()
	if now.Term < w.record.Term {
		return nil // not yet known
	}
	c.unanswered = nil
	if now.Term != w.record.Term || now.Incarnation != c.incarnation || c.retired.Load() {
		return nil
	}
	if e := c.endedTerm.Load(); e != nil && e.term >= w.record.Term {
		return nil // led already, after another append: other hosts know that it ended
	}
	// The authority counts from the append, so that it is confirmed anew first.
	w.answered = boottime.Now()
	return w
}

// wonTerm is a term that this host has begun.
type wonTerm struct {
	record leaderRecord
	// prior is what is known of earlier leaders.
	prior          lease.EarlierGranters
	sent, answered time.Duration
}
