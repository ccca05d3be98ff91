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

// maxReleaseBatch limits the shards of one released record, so that a record stays
// well below 256 KiB.
const maxReleaseBatch = 2000

// never is the end of a lease that has no known bound.
const never = time.Duration(math.MaxInt64)

func (g *Granter) releaseActions(now time.Duration, out []Action) []Action {
	for _, t := range g.unreleasedTargets {
		out = g.stopRenewActions(now, t, out)
		for _, proof := range []ownership.Proof{ownership.ProofDomainLost, ownership.ProofLeaseExpired, ownership.ProofAck} {
			if body := g.releasableShards(now, t, proof); len(body) > 0 {
				out = append(out, AppendReleased{Target: t.name, Body: ownership.Released{Shards: body, Proof: proof}})
			}
		}
	}
	return out
}

// releasableShards returns the unreleased shards that are due for a release with the
// given proof, and records that they have been offered.
func (g *Granter) releasableShards(now time.Duration, t *target, proof ownership.Proof) []ownership.ReleasedShard {
	all := proof == ownership.ProofLeaseExpired && now >= g.lapseTime(now, t)
	var body []ownership.ReleasedShard
	for _, w := range t.unreleased {
		ok := all
		switch proof {
		case ownership.ProofDomainLost:
			ok = g.domainState == contract.StateLost && now >= w.since+g.releaseDelay()
		case ownership.ProofAck:
			ok = t.acknowledged[w.shard]
		}
		if at, offered := t.offeredAt[w.shard]; !ok || (offered && now < at+g.cfg.ReleaseRetryAfter) {
			continue
		}
		if len(body) == maxReleaseBatch {
			break
		}
		t.offeredAt[w.shard] = now
		body = append(body, w.shard)
	}
	return body
}

// releaseDelay keeps observers and the granters after the first one from appending
// the same record at the same time.
func (g *Granter) releaseDelay() time.Duration {
	rank := g.rank
	if rank < 0 {
		rank = len(g.list.Members)
	}
	return time.Duration(rank) * g.cfg.ReleaseStagger
}

// lapseTime returns from when on no lease or permit of the target that could cover an
// unreleased shard is in force, or never.
func (g *Granter) lapseTime(now time.Duration, t *target) time.Duration {
	switch {
	case g.omit.waitForLease || g.cfg.UnsafeNoLeaseWait:
		return now
	case t.lost:
		end := g.ownLeasesEnd(t)
		for _, m := range g.others() {
			end = max(end, g.leasesEndOf(t, m))
		}
		if end == never {
			return never
		}
		return end + g.releaseDelay()
	case !t.fencing:
		return g.drainedAt(now, t)
	}
	return never
}

// maxLease is the longest time for which one grant or permit is in force.
func (g *Granter) maxLease(t *target) time.Duration {
	if t.fencing {
		return g.cfg.stretch(g.cfg.Lease)
	}
	return g.cfg.stretch(g.cfg.PermitFor)
}

// ownLeasesEnd returns when all leases and permits that this granter issued have
// ended.
func (g *Granter) ownLeasesEnd(t *target) time.Duration {
	return max(t.renewal.leaseEnd, t.permitsEnd(math.MaxUint64))
}

// permitsEnd returns when the permits have ended of all homes that have not drained
// the version.
func (t *target) permitsEnd(version uint64) time.Duration {
	end := time.Duration(0)
	for _, p := range t.permits {
		if p.drainedVersion < version {
			end = max(end, p.until)
		}
	}
	return end
}

// leasesEndOf returns when another granter's leases on a lost target have ended. The
// earliest of the proofs counts.
func (g *Granter) leasesEndOf(t *target, m journal.Member) time.Duration {
	if g.omit.accountForOthers {
		return 0
	}
	p, k := g.peers[keyOf(m)], keyOf(m)
	end := g.uninformedLeasesEnd(m, t.lostAt, g.maxLease(t))
	if p.dead {
		end = min(end, p.deadAt+g.maxLease(t))
	}
	if w, ok := t.promises[k]; ok && w.version >= t.lostVersion {
		end = min(end, w.leasesEnd)
	}
	return end
}

// uninformedLeasesEnd returns when all leases have ended that another granter could
// issue without knowing a record published here at publishedAt. Two limits apply: its
// authority from the log, unless it has consent or might have it without this host's
// knowledge; and the limit for serving without the log.
func (g *Granter) uninformedLeasesEnd(m journal.Member, publishedAt, maxLease time.Duration) time.Duration {
	p := g.peers[keyOf(m)]
	end := never
	if p.consentSeq == 0 && g.mustAskMe(m) {
		end = max(publishedAt+g.cfg.stretch(g.cfg.Authority), p.endedAt, g.mustAskMeSince(m)) + maxLease
	}
	ms := g.state.Config.IsolatedServeMS
	addedAfterLimit := m.AddedAt >= g.state.IsolatedServeOffset
	if ms >= 0 && (addedAfterLimit || p.readServeLimit.passed || g.omit.checkLimit) {
		since := publishedAt + g.cfg.stretch(g.cfg.Authority+time.Duration(ms)*time.Millisecond)
		if !addedAfterLimit {
			since = max(since, p.readServeLimit.at)
		}
		end = min(end, since+maxLease)
	}
	return end
}

// mustAskMe reports whether the other granter must ask this one for consent: its
// list names this incarnation.
func (g *Granter) mustAskMe(m journal.Member) bool {
	return g.rank >= 0 && (m.AddedAt >= g.member.AddedAt || g.peers[keyOf(m)].readMyEntry.passed || g.omit.checkAsked)
}

// mustAskMeSince returns since when mustAskMe is known to be true.
func (g *Granter) mustAskMeSince(m journal.Member) time.Duration {
	if m.AddedAt >= g.member.AddedAt {
		return 0
	}
	return g.peers[keyOf(m)].readMyEntry.at
}

// needsPromise reports whether an acknowledgement by a target counts only after the
// other granter's promise not to grant lower versions. A granter that reads the log
// knows the move before it grants a lease to a restarted target.
func (g *Granter) needsPromise(m journal.Member) bool {
	p := g.peers[keyOf(m)]
	return !g.omit.accountForOthers && !g.omit.needPromise && !p.dead && (p.consentSeq != 0 || !g.mustAskMe(m))
}

// recordAck treats an accepted grant as the target's acknowledgement that it no longer
// serves the unreleased shards, except those that may share a key with a draining one.
// The grant must have been sent after everything that could have let another granter
// give the old list to a restarted target.
func (g *Granter) recordAck(t *target, reply provider.GrantReply) {
	if reply.Version < t.version || t.renewal.sentVersion < t.version || !g.ackSuffices(t) {
		return
	}
	for _, w := range t.unreleased {
		if !slices.ContainsFunc(reply.Draining, func(s provider.ShardEpoch) bool { return g.mayShareKey(s, w.shard.ID) }) {
			t.acknowledged[w.shard] = true
		}
	}
}

// mayShareKey reports whether a request that still runs under a dropped shard can be
// for a key of the given shard of the same target: if both are the same shard, or one
// is hashed and the other split. A split or merge moves a key between the two while
// its requests continue under the previous number and epoch.
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

func (g *Granter) ackSuffices(t *target) bool {
	sent := t.renewal.sentAt
	for _, m := range g.others() {
		p := g.peers[keyOf(m)]
		if sent < p.endedAt || sent < g.mustAskMeSince(m) || (p.dead && sent < p.deadAt) {
			return false
		}
		if w := t.promises[keyOf(m)]; g.needsPromise(m) && (w.version < t.version || sent < w.receivedAt) {
			return false
		}
	}
	return true
}

// drainedAt returns from when on no home may send or finish a request for a shard
// that a planned move took from a target without fencing, or never while another
// granter that is alive has not reported so.
func (g *Granter) drainedAt(now time.Duration, t *target) time.Duration {
	end := t.permitsEnd(t.version)
	for _, m := range g.others() {
		p := g.peers[keyOf(m)]
		w, ok := t.promises[keyOf(m)]
		switch {
		case g.omit.accountForOthers:
		case ok && w.version >= t.version && w.drained:
		case p.dead:
			end = max(end, p.deadAt+g.maxLease(t))
		default:
			return never
		}
	}
	return end + g.releaseDelay()
}

// stopRenewActions sends StopRenew to the granters whose promise is missing.
func (g *Granter) stopRenewActions(now time.Duration, t *target, out []Action) []Action {
	if g.domainState == contract.StateLost || (t.stopAsked && now < t.stopAskedAt+g.cfg.AskEvery) {
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
		t.minVersion = max(t.minVersion, version)
	}
	for _, m := range g.others() {
		if g.lacksPromise(t, m, version) {
			t.stopAsked, t.stopAskedAt = true, now
			out = append(out, SendStopRenew{To: m, Request: StopRenewRequest{Domain: g.self.Domain, Target: t.name, Version: version}})
		}
	}
	return out
}

func (g *Granter) lacksPromise(t *target, m journal.Member, version uint64) bool {
	w, ok := t.promises[keyOf(m)]
	promised := ok && w.version >= version
	switch {
	case g.peers[keyOf(m)].dead:
		return false
	case t.lost:
		return !promised
	case !t.fencing:
		return !promised || !w.drained
	}
	return g.needsPromise(m) && !promised
}

func (g *Granter) stopRenewAnswered(now time.Duration, e StopRenewAnswered) {
	t := g.targets[e.Answer.Target]
	if t == nil || e.Answer.By != e.From.Incarnation {
		return
	}
	leasesEnd := now + g.cfg.stretch(time.Duration(e.Answer.BoundMS)*time.Millisecond)
	w := promise{version: e.Answer.Version, receivedAt: now, leasesEnd: leasesEnd, drained: e.Answer.Drained}
	if old, ok := t.promises[keyOf(e.From)]; ok && (old.version > w.version || (old.version == w.version && old.drained)) {
		return
	}
	t.promises[keyOf(e.From)] = w
}

// StopRenew answers lease.stop_renew. It returns false when this granter does not
// know the target yet and so can promise nothing.
func (g *Granter) StopRenew(now time.Duration, r StopRenewRequest) (StopRenewAnswer, bool) {
	t := g.targets[r.Target]
	if t == nil || r.Domain != g.self.Domain {
		return StopRenewAnswer{}, false
	}
	t.minVersion = max(t.minVersion, r.Version)
	a := StopRenewAnswer{By: g.self.Incarnation, Target: r.Target, Version: r.Version}
	if left := g.ownLeasesEnd(t) - now; left > 0 {
		a.BoundMS = left.Milliseconds() + 1
	}
	a.Drained = !t.fencing && now >= t.permitsEnd(r.Version)
	return a, true
}

// Permit answers a home that wants to send to a target. It tracks permits only for
// targets without fencing; the others check the fences of requests.
func (g *Granter) Permit(now time.Duration, r PermitRequest) PermitAnswer {
	if a, _ := g.authority(now); g.state == nil || a == AuthorityNone {
		return PermitAnswer{}
	}
	granted := PermitAnswer{PermitMS: g.cfg.PermitFor.Milliseconds()}
	t := g.targets[r.Target]
	if t == nil {
		// Targets of unkeyed workloads own no shards.
		return granted
	}
	granted.Version = t.version
	refused := PermitAnswer{Version: max(t.version, t.minVersion)}
	if !g.mayGrant(t) {
		return refused
	}
	if t.fencing {
		return granted
	}
	r.Drained = min(r.Drained, r.Version)
	last, hadPermit := t.permits[r.Home]
	continues := hadPermit && now < last.until && last.drainedVersion < t.minVersion
	if r.Version < t.version || (r.Drained < t.minVersion && !continues) {
		return refused
	}
	t.permits[r.Home] = permit{until: now + g.cfg.stretch(g.cfg.PermitFor), drainedVersion: r.Drained}
	return granted
}

// RetiredGranters returns the retiring granters whose authority and leases have
// ended, so that the next granters record may omit them.
func (g *Granter) RetiredGranters(now time.Duration) []journal.Member {
	if g.state == nil {
		return nil
	}
	maxLease := g.cfg.stretch(max(g.cfg.Lease, g.cfg.PermitFor))
	var out []journal.Member
	for _, m := range g.list.Retiring {
		if g.isSelf(m) {
			continue
		}
		end := g.uninformedLeasesEnd(m, g.listPublishedAt, maxLease)
		if p := g.peers[keyOf(m)]; p.dead {
			end = min(end, p.deadAt+maxLease)
		}
		if now >= end {
			out = append(out, m)
		}
	}
	return out
}
