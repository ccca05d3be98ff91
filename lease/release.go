package lease

import (
	"math"
	"slices"
	"time"

	"github.com/boragelock/boragelock/contract"
	"github.com/boragelock/boragelock/journal"
	"github.com/boragelock/boragelock/ownership"
	"github.com/boragelock/boragelock/provider"
)

// releaseBatch limits the shards of one released record, so that a record
// stays well below 256 KiB.
const releaseBatch = 2000

// never is the end of a lease that nothing is known to bound.
const never = time.Duration(math.MaxInt64)

func (g *Granter) releaseActions(now time.Duration, out []Action) []Action {
	for _, t := range g.waiting {
		out = g.askToStop(now, t, out)
		for _, proof := range []ownership.Proof{ownership.ProofDomainLost, ownership.ProofLeaseExpired, ownership.ProofAck} {
			if body := g.provable(now, t, proof); len(body) > 0 {
				out = append(out, AppendReleased{Target: t.name, Body: ownership.Released{Shards: body, Proof: proof}})
			}
		}
	}
	return out
}

// provable returns the waiting shards that are due to be released with the
// given proof and notes that they have been offered.
func (g *Granter) provable(now time.Duration, t *target, proof ownership.Proof) []ownership.ReleasedShard {
	all := proof == ownership.ProofLeaseExpired && now >= g.lapsed(now, t)
	var body []ownership.ReleasedShard
	for _, w := range t.waiting {
		ok := all
		switch proof {
		case ownership.ProofDomainLost:
			ok = g.domainState == contract.StateLost && now >= w.since+g.releaseDelay()
		case ownership.ProofAck:
			ok = t.acked[w.released]
		}
		if at, offered := t.offered[w.released]; !ok || (offered && now < at+g.cfg.ReleaseRetry) {
			continue
		}
		if len(body) == releaseBatch {
			break
		}
		t.offered[w.released] = now
		body = append(body, w.released)
	}
	return body
}

// releaseDelay keeps the granters after the first one and observers from
// appending the same record at the same time.
func (g *Granter) releaseDelay() time.Duration {
	rank := g.rank
	if rank < 0 {
		rank = len(g.list.Members)
	}
	return time.Duration(rank) * g.cfg.ReleaseStep
}

// lapsed returns when no lease or permit of the target is in force that could
// cover a waiting shard, or never.
func (g *Granter) lapsed(now time.Duration, t *target) time.Duration {
	switch {
	case g.omit.wait || g.cfg.UnsafeNoLeaseWait:
		return now
	case t.lost:
		end := g.ownBound(t)
		for _, m := range g.others() {
			end = max(end, g.endOf(t, m))
		}
		if end == never {
			return never
		}
		return end + g.releaseDelay()
	case !t.fencing:
		return g.drained(now, t)
	}
	return never
}

// term is the longest that one grant or permit holds.
func (g *Granter) term(t *target) time.Duration {
	if t.fencing {
		return g.cfg.stretch(g.cfg.Lease)
	}
	return g.cfg.stretch(g.cfg.PermitFor)
}

// ownBound returns when all leases or permits that this granter gave have
// ended.
func (g *Granter) ownBound(t *target) time.Duration {
	return max(t.renewal.bound, t.permitsEnd(math.MaxUint64))
}

// permitsEnd returns when the permits of homes that have not drained the
// version have ended.
func (t *target) permitsEnd(version uint64) time.Duration {
	end := time.Duration(0)
	for _, p := range t.permits {
		if p.drained < version {
			end = max(end, p.until)
		}
	}
	return end
}

// endOf returns when another granter's leases on a lost target have ended. The
// earliest of the proofs counts.
func (g *Granter) endOf(t *target, m journal.Member) time.Duration {
	if g.omit.stop {
		return 0
	}
	p, k := g.peers[keyOf(m)], keyOf(m)
	end := g.authorityEnd(m, t.lostAt, g.term(t))
	if p.dead {
		end = min(end, p.deadAt+g.term(t))
	}
	if w, ok := t.words[k]; ok && w.version >= t.lostVersion {
		end = min(end, w.bound)
	}
	return end
}

// authorityEnd returns when the leases given by another granter have ended
// that it could give without knowing a record published here at known. Two
// rules apply: its authority by the log, unless it has consent or might have it
// without this host's knowledge; and the limit for serving without the log.
func (g *Granter) authorityEnd(m journal.Member, known, term time.Duration) time.Duration {
	p := g.peers[keyOf(m)]
	end := never
	if p.offLog == 0 && g.asksMe(m) {
		end = max(known+g.cfg.stretch(g.cfg.Authority), p.backAt, g.asksMeSince(m)) + term
	}
	ms := g.state.Config.IsolatedServeMS
	passed := m.AddedAt >= g.state.IsolatedAt
	if ms >= 0 && (passed || p.knowsLimit.passed || g.omit.limit) {
		since := known + g.cfg.stretch(g.cfg.Authority+time.Duration(ms)*time.Millisecond)
		if !passed {
			since = max(since, p.knowsLimit.at)
		}
		end = min(end, since+term)
	}
	return end
}

// asksMe reports whether the other granter would have had to ask this one for
// consent: its list names this incarnation.
func (g *Granter) asksMe(m journal.Member) bool {
	return g.rank >= 0 && (m.AddedAt >= g.me.AddedAt || g.peers[keyOf(m)].knowsMe.passed || g.omit.asked)
}

// asksMeSince returns from when on asksMe is known to hold.
func (g *Granter) asksMeSince(m journal.Member) time.Duration {
	if m.AddedAt >= g.me.AddedAt {
		return 0
	}
	return g.peers[keyOf(m)].knowsMe.at
}

// needsWord reports whether an acknowledgement by a target counts only after
// the other granter's promise not to grant lower versions. One that reads the
// log knows the move before it gives a lease to a restarted target.
func (g *Granter) needsWord(m journal.Member) bool {
	p := g.peers[keyOf(m)]
	return !g.omit.stop && !g.omit.word && !p.dead && (p.offLog != 0 || !g.asksMe(m))
}

// acknowledged takes a target's accepted grant as its word on the waiting
// shards. The grant must have been sent after everything that could have let
// another granter give the old list to a restarted target.
func (g *Granter) acknowledged(t *target, reply provider.GrantReply) {
	if reply.Version < t.version || t.renewal.version < t.version || !g.ackCounts(t) {
		return
	}
	for _, w := range t.waiting {
		if !slices.ContainsFunc(reply.Draining, func(s provider.ShardEpoch) bool { return g.mayShareKey(s, w.released.ID) }) {
			t.acked[w.released] = true
		}
	}
}

// mayShareKey reports whether a request that still runs under a dropped shard
// can be for a key of another shard of the same target: the shard itself, or a
// hashed and a split shard, since a split or merge moves a key between them
// while its requests run on under the former number and epoch.
func (g *Granter) mayShareKey(running provider.ShardEpoch, id ownership.ID) bool {
	if running.Workload != id.Workload {
		return false
	}
	w := g.state.Table.Workloads[id.Workload]
	if w == nil {
		return true
	}
	return running.Shard == id.Shard || (running.Shard < w.HashedShards) != (id.Shard < w.HashedShards)
}

func (g *Granter) ackCounts(t *target) bool {
	sent := t.renewal.sentAt
	for _, m := range g.others() {
		p := g.peers[keyOf(m)]
		if sent < p.backAt || sent < g.asksMeSince(m) || (p.dead && sent < p.deadAt) {
			return false
		}
		if w := t.words[keyOf(m)]; g.needsWord(m) && (w.version < t.version || sent < w.at) {
			return false
		}
	}
	return true
}

// drained returns now when no home may still send or finish a request for a
// shard that moved away from a target without fencing in a planned move: all
// granters have said so.
func (g *Granter) drained(now time.Duration, t *target) time.Duration {
	end := t.permitsEnd(t.version)
	for _, m := range g.others() {
		p := g.peers[keyOf(m)]
		w, ok := t.words[keyOf(m)]
		switch {
		case g.omit.stop:
		case ok && w.version >= t.version && w.drained:
		case p.dead:
			end = max(end, p.deadAt+g.term(t))
		default:
			return never
		}
	}
	return end + g.releaseDelay()
}

// askToStop sends StopRenew to the granters whose word is missing.
func (g *Granter) askToStop(now time.Duration, t *target, out []Action) []Action {
	if g.domainState == contract.StateLost || (t.asked && now < t.askedAt+g.cfg.AskEvery) {
		return out
	}
	version := t.version
	if t.lost {
		version = t.lostVersion
	}
	if !t.fencing && !t.lost {
		if now < t.permitsEnd(version) {
			return out
		}
		t.floor = max(t.floor, version)
	}
	for _, m := range g.others() {
		if g.lacksWord(t, m, version) {
			t.asked, t.askedAt = true, now
			out = append(out, SendStopRenew{To: m, Request: StopRenewRequest{Domain: g.self.Domain, Target: t.name, Version: version}})
		}
	}
	return out
}

func (g *Granter) lacksWord(t *target, m journal.Member, version uint64) bool {
	w, ok := t.words[keyOf(m)]
	has := ok && w.version >= version
	switch {
	case g.peers[keyOf(m)].dead:
		return false
	case t.lost:
		return !has
	case !t.fencing:
		return !has || !w.drained
	}
	return g.needsWord(m) && !has
}

func (g *Granter) stopAnswered(now time.Duration, e StopRenewAnswered) {
	t := g.targets[e.Answer.Target]
	if t == nil || e.Answer.By != e.From.Incarnation {
		return
	}
	bound := now + g.cfg.stretch(time.Duration(e.Answer.BoundMS)*time.Millisecond)
	w := word{version: e.Answer.Version, at: now, bound: bound, drained: e.Answer.Drained}
	if old, ok := t.words[keyOf(e.From)]; ok && (old.version > w.version || (old.version == w.version && old.drained)) {
		return
	}
	t.words[keyOf(e.From)] = w
}

// StopRenew answers lease.stop_renew. It returns false when this granter knows
// no such target yet and can promise nothing.
func (g *Granter) StopRenew(now time.Duration, r StopRenewRequest) (StopRenewAnswer, bool) {
	t := g.targets[r.Target]
	if t == nil || r.Domain != g.self.Domain {
		return StopRenewAnswer{}, false
	}
	t.floor = max(t.floor, r.Version)
	a := StopRenewAnswer{By: g.self.Incarnation, Target: r.Target, Version: r.Version}
	if left := g.ownBound(t) - now; left > 0 {
		a.BoundMS = left.Milliseconds() + 1
	}
	a.Drained = !t.fencing && now >= t.permitsEnd(r.Version)
	return a, true
}

// Permit answers a home that wants to send to a target. Only permits for
// targets without fencing are accounted for; the others check for themselves.
func (g *Granter) Permit(now time.Duration, r PermitRequest) PermitAnswer {
	if a, _ := g.authority(now); g.state == nil || a == AuthorityNone {
		return PermitAnswer{}
	}
	whole := PermitAnswer{PermitMS: g.cfg.PermitFor.Milliseconds()}
	t := g.targets[r.Target]
	if t == nil {
		// Targets of unkeyed workloads own nothing.
		return whole
	}
	whole.Version = t.version
	refused := PermitAnswer{Version: max(t.version, t.floor)}
	if !g.mayGrant(t) {
		return refused
	}
	if t.fencing {
		return whole
	}
	r.Drained = min(r.Drained, r.Version)
	last, had := t.permits[r.Home]
	goesOn := had && now < last.until && last.drained < t.floor
	if r.Version < t.version || (r.Drained < t.floor && !goesOn) {
		return refused
	}
	t.permits[r.Home] = permit{until: now + g.cfg.stretch(g.cfg.PermitFor), drained: r.Drained}
	return whole
}

// RetiredGranters returns the retiring granters whose authority and leases have
// ended, so that the next granters record may leave them out.
func (g *Granter) RetiredGranters(now time.Duration) []journal.Member {
	if g.state == nil {
		return nil
	}
	term := g.cfg.stretch(max(g.cfg.Lease, g.cfg.PermitFor))
	var out []journal.Member
	for _, m := range g.list.Retiring {
		if g.isSelf(m) {
			continue
		}
		end := g.authorityEnd(m, g.listSeen, term)
		if p := g.peers[keyOf(m)]; p.dead {
			end = min(end, p.deadAt+term)
		}
		if now >= end {
			out = append(out, m)
		}
	}
	return out
}
