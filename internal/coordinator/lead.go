package coordinator

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
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

// leaderRecord names the leader. The leader confirms its term by appending the same
// content with a higher Heartbeat.
type leaderRecord struct {
	Term uint64 `json:"term"`
	// Era is the era of the store in which the record was appended.
	Era uint64 `json:"era,omitempty"`
	// TablesEra is the era in which a leader last stored the tables of the topic: in an
	// earlier one than Era they are those of a copy.
	TablesEra uint64 `json:"tables_era,omitempty"`
	// Host and Address are empty after a resignation.
	Host        string `json:"host,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	Address     string `json:"address,omitempty"`
	Heartbeat   uint64 `json:"beat"`
	// EarlierLeaseMS is for how much longer key leases of earlier terms may be in
	// force, in milliseconds as of the record.
	EarlierLeaseMS int64 `json:"clear_ms,omitempty"`
	// UnknownHoldersMS is for how much longer targets that the stored tables do not name may
	// hold keys, in milliseconds as of the record.
	UnknownHoldersMS int64 `json:"unknown_ms,omitempty"`
	// UpMS is for how long the leader's process had run as of the record, in milliseconds.
	UpMS int64 `json:"up_ms,omitempty"`
}

func (l leaderRecord) storeRecord() platform.Record {
	b, err := json.Marshal(l)
	if err != nil {
		panic("leader record: " + err.Error()) // plain strings and numbers
	}
	return platform.Record{Key: keyLeader, Value: b}
}

// Timing of elections.
const (
	// confirmEvery is the interval at which the leader confirms its term.
	confirmEvery = 700 * time.Millisecond
	// leaderTimeout is the age of the leader's last record from which hosts elect
	// another leader: two confirmations.
	leaderTimeout = 1600 * time.Millisecond
	// campaignJitter spreads the candidates, so that most see the winner's record
	// before they append their own.
	campaignJitter = 300 * time.Millisecond
	// campaignPause is how long a host does not campaign after its term ended.
	campaignPause = 3 * time.Second
)

// leadership is the host's knowledge of the leader.
type leadership struct {
	mu     sync.Mutex
	record leaderRecord
	// recordSeenAt is when this host last applied a record of the leader.
	recordSeenAt time.Duration
	// confirmedAt is when this host last applied a record by which a leader confirmed its term
	// while this host knew it; 0 if it never did.
	confirmedAt time.Duration
	tables      map[string]*ownership.RangeTable
	// tablesEra is the newest era in which this host read tables that a leader had stored in
	// that era.
	tablesEra uint64
	// connected is true while a connection to the leader is open; refusedConnections
	// counts the refused attempts since the last one or since the leader changed.
	connected          bool
	refusedConnections int
	// endedTerm is the highest term whose leader is known to have stopped.
	endedTerm uint64
	// endedAt is the latest time at which that leader can have stopped.
	endedAt time.Duration
	// previous is the record of the term before the current one.
	previous leaderRecord
	// campaignNotBefore is when the host may campaign again.
	campaignNotBefore time.Duration
	pendingCounts     []countsMessage
}

func (l *leadership) init() {
	l.tables = map[string]*ownership.RangeTable{}
}

func (l *leadership) current() leaderRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record
}

func (l *leadership) setConnected(open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connected = open
	if open {
		l.refusedConnections = 0
	}
}

func (l *leadership) isConnected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connected
}

// noteLoss records why a connection to the leader of a term failed or ended.
func (l *leadership) noteLoss(term uint64, reason lossReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reason == lossRefused && l.record.Term == term {
		l.refusedConnections++
	}
}

func (l *leadership) addCounts(m countsMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingCounts = append(l.pendingCounts, m)
}

func (l *leadership) drainCounts() []countsMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pendingCounts
	l.pendingCounts = nil
	return p
}

// lastConfirmed returns when this host last saw a leader confirm its term, or false if it did
// not see any.
func (l *leadership) lastConfirmed() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmedAt, l.confirmedAt > 0
}

// previousRecord returns the record of the term before the current one.
func (l *leadership) previousRecord() leaderRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.previous
}

// noteHello records the end of the previous term when its host reports that it
// stopped leading or that another process runs there now.
func (l *leadership) noteHello(m helloMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.previous.Host != m.Host {
		return
	}
	if ago, ok := m.leaderEnded(l.previous); ok {
		l.noteEndedLocked(l.previous.Term, ago)
	}
}

// noteEnded records that the leader of a term stopped at least the given time ago.
func (l *leadership) noteEnded(term uint64, ago time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteEndedLocked(term, ago)
}

func (l *leadership) noteEndedLocked(term uint64, ago time.Duration) {
	if term > l.endedTerm {
		l.endedTerm, l.endedAt = term, boottime.Now()-ago
	}
}

// hasEnded reports whether the leader of a term is known to have stopped.
func (l *leadership) hasEnded(term uint64) bool {
	_, ok := l.endOf(term)
	return ok
}

// latestEnded returns the highest term whose leader is known to have stopped.
func (l *leadership) latestEnded() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.endedTerm
}

// endOf returns the latest time at which the leader of a term can have stopped, or
// false when it may still lead.
func (l *leadership) endOf(term uint64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.endedAt, l.endedTerm >= term
}

func (l *leadership) table(workload string) *ownership.RangeTable {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tables[workload]
}

// allTables returns the newest known tables of all workloads.
func (l *leadership) allTables() map[string]*ownership.RangeTable {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.tables)
}

// putTable stores a table that was read in an era. Until a leader has stored its tables in
// that era, those that are read are of a copy, and older than a known one.
func (l *leadership) putTable(workload string, table *ownership.RangeTable, era uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tables[workload] != nil && recordsLost(l.record, era) {
		return false
	}
	l.tables[workload] = table
	return true
}

// readTablesOf reports whether this host read tables in an era that a leader had stored in it.
func (l *leadership) readTablesOf(era uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tablesEra >= era
}

// maxRefusedConnections is the number of refused connections after which hosts elect
// another leader. Refusals do not prove that it stopped: a partition may cause them too.
const maxRefusedConnections = 2

// shouldCampaign reports whether the host should run for leader.
func (l *leadership) shouldCampaign(now time.Duration, self string, incarnation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now < l.campaignNotBefore {
		return false
	}
	r := l.record
	switch {
	case r.Host == "":
		return true
	case r.Address == self:
		// The leader is an earlier process of this host, or the term of this one ended.
		return r.Incarnation != incarnation || now-l.recordSeenAt > leaderTimeout
	case l.endedTerm >= r.Term, l.refusedConnections >= maxRefusedConnections && !l.connected:
		return true
	}
	// A leader that is cut off from the store is replaced even if its peers still
	// receive its messages.
	return now-l.recordSeenAt > leaderTimeout
}

// applyControl applies records of the control topic.
func (c *Coordinator) applyControl(records []platform.Record, _ bool) []platform.Record {
	// The leader's record comes first: it tells whether the others are of its era. A host is
	// ready when it knows the tables.
	records = slices.Clone(records)
	slices.SortStableFunc(records, func(a, b platform.Record) int { return cmp.Compare(rankOf(a), rankOf(b)) })
	for _, r := range records {
		if r.Key == keyLeader {
			c.applyLeader(r)
		} else if r.Key == keyHosts && len(r.Value) > 0 {
			c.applyHosts(r)
		} else if w, ok := strings.CutPrefix(r.Key, keyRanges); ok && len(r.Value) > 0 {
			c.applyTable(w, r)
		}
	}
	return records
}

// rankOf orders the records of the control topic: the leader's, the hosts', and the tables.
func rankOf(r platform.Record) int {
	switch r.Key {
	case keyLeader:
		return 0
	case keyHosts:
		return 1
	}
	return 2
}

func (c *Coordinator) applyLeader(r platform.Record) {
	var l leaderRecord
	if err := json.Unmarshal(r.Value, &l); err != nil {
		c.cfg.Log.Error("leader_record_malformed", "offset", r.Offset, "err", err)
		return
	}
	c.leadership.mu.Lock()
	defer c.leadership.mu.Unlock()
	if l.Term >= c.leadership.record.Term {
		c.setLeader(l, r.Offset)
		c.leadership.tablesEra = max(c.leadership.tablesEra, l.TablesEra)
	}
}

// adoptLeader applies the record of a later leader that another host reports. It is the
// only way in which a host that cannot read the store learns which leader to follow.
func (c *Coordinator) adoptLeader(l leaderRecord) {
	c.leadership.mu.Lock()
	defer c.leadership.mu.Unlock()
	if l.Term > c.leadership.record.Term && l.Address != "" {
		c.setLeader(l, unknownOffset)
	}
}

// setLeader replaces the record of the leader by one that is not older;
// c.leadership.mu is held.
func (c *Coordinator) setLeader(l leaderRecord, offset int64) {
	if l.Term != c.leadership.record.Term || l.Host != c.leadership.record.Host {
		c.leadership.refusedConnections = 0
		c.cfg.Log.Info("leader", "leader", l.Host, "term", l.Term, "offset", offset)
	}
	if l.Term != c.leadership.record.Term {
		c.leadership.previous = c.leadership.record
	} else if l.Heartbeat > c.leadership.record.Heartbeat {
		c.leadership.confirmedAt = boottime.Now()
	}
	c.leadership.record, c.leadership.recordSeenAt = l, boottime.Now()
}

func (c *Coordinator) applyTable(workload string, r platform.Record) {
	t, err := ownership.DecodeRangeTable(r.Value)
	if err != nil {
		c.cfg.Log.Error("range_table_malformed", "workload", workload, "offset", r.Offset, "err", err)
		return
	}
	if !c.leadership.putTable(workload, t, c.storeEra.Load()) {
		c.cfg.Log.Info("range_table_outdated", "workload", workload, "offset", r.Offset)
		return
	}
	if !c.Leading() && !c.leadership.isConnected() {
		c.setRangeMap(workload, newRangeMap(t))
	}
}

// serveLead campaigns when there is no leader, and leads the terms that it wins.
func (c *Coordinator) serveLead(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case term := <-c.offered:
			if w := c.acceptOffer(ctx, term); w != nil {
				c.leadTerm(ctx, w)
			}
			continue
		case <-ctx.Done():
			continue
		case <-time.After(campaignCheckEvery):
		}
		if w := c.claimUnansweredTerm(); w != nil {
			c.leadTerm(ctx, w)
			continue
		}
		if !c.mayCampaign() {
			continue
		}
		if !sleep(ctx, c.campaignDelay()+jitter(campaignJitter)) || !c.mayCampaign() {
			continue
		}
		if t := c.campaign(ctx); t != nil {
			c.leadTerm(ctx, t)
		}
	}
	return ctx.Err()
}

// Resources that suffice to lead several hundred hosts without delay: to handle their
// messages, to send the grants of several hundred targets, and to send all ranges to
// each host that connects.
const (
	leaderCores = 0.5
	leaderMbps  = 150
	// maxCampaignDelay bounds how much later a host with fewer resources campaigns.
	maxCampaignDelay = 600 * time.Millisecond
	// settledDelay is how much later hosts campaign that have run for as long as a leader that
	// stopped. In a rolling restart their turn is still to come, and the lead would change again.
	settledDelay = campaignJitter
	// startSpread is the time within which hosts that are started together start.
	startSpread = 3 * time.Second
	// campaignCheckEvery is how often a host considers whether to campaign.
	campaignCheckEvery = 100 * time.Millisecond
)

// room returns the part that the host has of the resources that suffice to lead.
func (c *Coordinator) room() float64 {
	return min(1, c.cfg.Cores/leaderCores, c.cfg.LinkMbps/leaderMbps)
}

// campaignDelay returns how long the host lets hosts go first that have more resources, or that
// were restarted while the stopped leader ran.
func (c *Coordinator) campaignDelay() time.Duration {
	d := time.Duration((1 - c.room()) * float64(maxCampaignDelay))
	if now := boottime.Now(); c.leadership.stoppedNoOlderThan(now, now-c.startedAt) {
		d += settledDelay
	}
	return d
}

// stoppedNoOlderThan reports whether the leader has stopped, and had run no longer than a process
// with an uptime.
func (l *leadership) stoppedNoOlderThan(now, uptime time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record
	if r.UpMS == 0 || r.Host != "" && l.endedTerm < r.Term {
		return false
	}
	return uptime >= time.Duration(r.UpMS)*time.Millisecond+now-l.recordSeenAt-startSpread
}

func (c *Coordinator) mayCampaign() bool {
	now := boottime.Now()
	return c.mayLead(now) && c.control.age(now) < topicLostAfter && c.leadership.shouldCampaign(now, c.cfg.Peer, c.incarnation)
}

// mayLead reports whether the host may lead the next term. Without the targets and the desired
// state it could grant nothing.
func (c *Coordinator) mayLead(now time.Duration) bool {
	return !c.retired.Load() && c.control.position() != unknownOffset && c.operator.hasApplied() && c.targets.hasApplied() &&
		!c.awaitsRestatement(now)
}

// awaitsRestatement reports whether a leader that lives may still store its tables in the
// current era. Hosts that remember an earlier era campaign before those that do not.
func (c *Coordinator) awaitsRestatement(now time.Duration) bool {
	if !recordsLost(c.leadership.current(), c.storeEra.Load()) {
		return false
	}
	wait := leaderTimeout
	if c.restoredAt.Load() == int64(neverCaughtUp) {
		wait += leaderTimeout
	} else if newest := c.leadership.current(); c.leadership.hasEnded(newest.Term) {
		return false
	}
	return now-time.Duration(c.eraSeenAt.Load()) < wait
}

// recordsLost reports whether the store lost records, and no leader has stored its tables
// in the current era since.
func recordsLost(newest leaderRecord, era uint64) bool {
	return era > firstEra && newest.TablesEra < era
}

// termsPerEra is more than the number of terms that can begin in what the store loses when
// it returns from a copy: a term takes a tenth of a second at least, and copies are some
// seconds old.
const termsPerEra = 1024

// nextTerm returns the number of the term that begins in an era after the newest known
// one. It exceeds the numbers of all terms of earlier eras, also of those whose records
// are lost and that no host remembers: their fencing tokens may be in use.
func nextTerm(newest leaderRecord, era uint64) uint64 {
	next := newest.Term + 1
	if newest.Term > 0 && era > newest.Era {
		next += (era - newest.Era) * termsPerEra
	}
	return max(next, (max(era, firstEra)-firstEra)*termsPerEra+1)
}

// campaign appends a record that makes this host the leader of the next term. It
// returns nil when another host was first or the store did not respond.
func (c *Coordinator) campaign(ctx context.Context) *wonTerm {
	previous, era := c.leadership.current(), c.storeEra.Load()
	number := nextTerm(previous, era)
	earlier := lease.EarlierGranters{
		PreviousStopped:    previous.Host == "" || c.leadership.hasEnded(previous.Term),
		OlderLeasesLeft:    time.Duration(previous.EarlierLeaseMS) * time.Millisecond,
		RecordsLost:        recordsLost(previous, era),
		UnknownHoldersLeft: time.Duration(previous.UnknownHoldersMS) * time.Millisecond,
	}
	if earlier.RecordsLost && previous.Era < era {
		// Nobody has led in this era, and the store confirmed the terms before it began.
		earlier.ConfirmedBefore = time.Duration(c.eraSeenAt.Load())
	}
	start := boottime.Now()
	begun := lease.BeginTerm(c.cfg.Ranges.KeyLease, number, start, start, earlier)
	r := leaderRecord{
		Term: number, Era: era, TablesEra: era, Host: c.cfg.Host, Incarnation: c.incarnation, Address: c.cfg.Peer, UpMS: (start - c.startedAt).Milliseconds(),
		EarlierLeaseMS: begun.InheritedLeasesLeft(start).Milliseconds(), UnknownHoldersMS: begun.UnknownHoldersLeft(start).Milliseconds(),
	}
	if earlier.RecordsLost {
		r.TablesEra = previous.TablesEra
	}
	formerConfirmedAt, _ := c.leadership.lastConfirmed()
	offset := c.control.position()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := boottime.Now()
	records := []platform.Record{r.storeRecord()}
	b, err := c.cfg.Store.Append(callCtx, platform.TopicControl, offset, records)
	c.noteStoreCall("append", b.Era, err)
	if err == nil {
		c.control.applyBatch(offset, b, false, sent)
	} else {
		c.cfg.Log.Info("election_append_failed", "term", r.Term, "err", err)
		var e *platform.Error
		if errors.As(err, &e) && e.Outcome == platform.Unknown {
			c.unansweredTerm = &wonTerm{record: r, previousTerm: previous.Term, earlier: earlier, sentAt: sent, formerConfirmedAt: formerConfirmedAt}
		}
		// Read the topic to find out whether the record was appended or another host
		// was first, which the next attempt has to know.
		readCtx, cancelRead := context.WithTimeout(ctx, storeTimeout)
		defer cancelRead()
		if err := c.control.read(readCtx); err != nil {
			c.cfg.Log.Debug("store_read_failed", "topic", platform.TopicControl, "err", err)
		}
		return c.claimUnansweredTerm()
	}
	if now := c.leadership.current(); now.Term != r.Term || now.Incarnation != c.incarnation || c.storeEra.Load() != era {
		return nil
	}
	return &wonTerm{record: r, previousTerm: previous.Term, earlier: earlier, sentAt: sent, acknowledgedAt: boottime.Now(), formerConfirmedAt: formerConfirmedAt}
}

// claimUnansweredTerm returns the term of an append without a response when the topic
// shows that it was executed and no other term has begun since. Otherwise the term would
// have no leader, and the next one would wait for an authority that nobody uses.
func (c *Coordinator) claimUnansweredTerm() *wonTerm {
	w := c.unansweredTerm
	if w == nil {
		return nil
	}
	now := c.leadership.current()
	if now.Term < w.record.Term {
		return nil // the outcome is not known yet
	}
	c.unansweredTerm = nil
	if now.Term != w.record.Term || now.Incarnation != c.incarnation || c.retired.Load() || c.storeEra.Load() != w.record.Era {
		return nil
	}
	if e := c.endedTerm.Load(); e != nil && e.term >= w.record.Term {
		return nil // led already after a second append; other hosts know that it ended
	}
	// The term begins now, but its authority counts from sentAt and may have lapsed.
	w.acknowledgedAt = boottime.Now()
	return w
}

// wonTerm is a term that this host has begun.
type wonTerm struct {
	record leaderRecord
	// previousTerm is the newest term before it that this host knew.
	previousTerm uint64
	// earlier is the knowledge about earlier leaders.
	earlier                lease.EarlierGranters
	sentAt, acknowledgedAt time.Duration
	// formerConfirmedAt is when this host last saw a former leader confirm its term, or 0.
	formerConfirmedAt time.Duration
}
