package fleet

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// Target is one running instance of a workload's server.
type Target struct {
	ID       string
	Workload string
	Address  string
	Domain   string
	// Slots is the number of requests that the target runs at the same time.
	Slots int
	// Leaving targets receive no new requests.
	Leaving bool
	// Born is the start of the current incarnation in Unix milliseconds, 0 when
	// unknown. It distinguishes incarnations with the same ID.
	Born int64
	// Release is the version of the target's software.
	Release string
	// ColdUntil is the time on the host's clock at which the target is warm.
	ColdUntil time.Duration
}

// Incarnation identifies one run of a target's process at an address. A target that
// restarts under its ID, or another target at its address, has another one.
type Incarnation struct {
	ID      string `json:"id"`
	Born    int64  `json:"born"`
	Address string `json:"address"`
}

// Ident returns the incarnation that announced the target.
func (t *Target) Ident() Incarnation { return Incarnation{ID: t.ID, Born: t.Born, Address: t.Address} }

// Snapshot is an immutable view of the deployment.
type Snapshot struct {
	// DesiredState is nil until the host has read the first one.
	DesiredState *DesiredState
	// Evacuated holds the failure domains whose targets receive no requests.
	Evacuated map[string]bool
	// Targets holds all targets by ID.
	Targets map[string]*Target

	targetsByWorkload map[string][]*Target
	requestLimits     map[Incarnation]float64
}

// RequestLimit returns the requests per second that a target accepts from all hosts
// together, or 0 if it states no limit.
func (s *Snapshot) RequestLimit(t *Target) float64 { return s.requestLimits[t.Ident()] }

// HasRequestLimits reports whether any target states a limit.
func (s *Snapshot) HasRequestLimits() bool { return len(s.requestLimits) > 0 }

// TargetsOf returns the targets of a workload in the order of their IDs.
func (s *Snapshot) TargetsOf(workload string) []*Target { return s.targetsByWorkload[workload] }

// Usable reports whether new requests may be sent to a target.
func (s *Snapshot) Usable(t *Target) bool { return !t.Leaving && !s.Evacuated[t.Domain] }

// RemovalGrace is how long a Directory keeps a target whose announcement lapsed during
// an outage of the store, counted from the end of the outage. Live targets announce
// themselves again within about two seconds; one that has left must not receive
// requests for longer.
const RemovalGrace = 2050 * time.Millisecond

// Directory builds snapshots from the records of the store.
type Directory struct {
	desiredState     *DesiredState
	evacuatedDomains map[string]bool
	targets          map[string]*Target
	// removalDeadlines holds the time at which a target is removed whose
	// announcement lapsed during an outage of the store, by ID.
	removalDeadlines map[string]time.Duration
	// leavingIncarnations holds the incarnations that reported that they stop; the
	// value is true if this host received the report from the target.
	leavingIncarnations map[Incarnation]bool
	// requestLimits holds the limits that targets state, in requests per second.
	requestLimits map[Incarnation]float64
	// storeUnreachable is set during an outage of the store, storeReturnedAt is the
	// end of the last one.
	storeUnreachable bool
	storeReturnedAt  time.Duration
	changed          bool
	snapshot         *Snapshot
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		evacuatedDomains: map[string]bool{}, targets: map[string]*Target{}, removalDeadlines: map[string]time.Duration{},
		leavingIncarnations: map[Incarnation]bool{}, requestLimits: map[Incarnation]float64{},
		storeReturnedAt: -RemovalGrace, changed: true,
	}
}

// PutDesiredState applies a desired state if its version is above the current one,
// and reports whether it did.
func (d *Directory) PutDesiredState(state *DesiredState) bool {
	if d.desiredState != nil && state.Version <= d.desiredState.Version {
		return false
	}
	d.desiredState, d.changed = state, true
	return true
}

// SetEvacuated marks a failure domain as evacuated or clears the mark.
func (d *Directory) SetEvacuated(domain string, evacuated bool) {
	if d.evacuatedDomains[domain] == evacuated {
		return
	}
	d.changed = true
	if evacuated {
		d.evacuatedDomains[domain] = true
	} else {
		delete(d.evacuatedDomains, domain)
	}
}

// PutTarget applies the announcement of a target and reports whether the target
// changed.
func (d *Directory) PutTarget(announced *Target) bool {
	delete(d.removalDeadlines, announced.ID)
	if _, ok := d.leavingIncarnations[announced.Ident()]; ok && !announced.Leaving {
		// The target's own report applies to the rest of its incarnation, whatever the
		// store announces.
		c := *announced
		c.Leaving = true
		announced = &c
	}
	old := d.targets[announced.ID]
	if old != nil && *old == *announced {
		return false
	}
	d.targets[announced.ID], d.changed = announced, true
	return true
}

// maxLeavingIncarnations is the number of leaving incarnations from which those that
// are not announced are dropped.
const maxLeavingIncarnations = 8192

// MarkLeaving records that an incarnation reported that it stops: it receives no new
// requests. direct means that the target reported it to this host. MarkLeaving
// reports whether the information is new.
func (d *Directory) MarkLeaving(incarnation Incarnation, direct bool) bool {
	if known, ok := d.leavingIncarnations[incarnation]; ok && (known || !direct) {
		return false
	}
	if len(d.leavingIncarnations) >= maxLeavingIncarnations {
		d.pruneLeaving()
	}
	d.leavingIncarnations[incarnation] = direct
	if t := d.targets[incarnation.ID]; t != nil && t.Ident() == incarnation && !t.Leaving {
		c := *t
		c.Leaving = true
		d.targets[incarnation.ID], d.changed = &c, true
	}
	return true
}

// SetRequestLimit sets the requests per second that a target accepts from all hosts
// together; 0 removes the limit. The target need not be announced yet.
func (d *Directory) SetRequestLimit(incarnation Incarnation, perSecond float64) {
	if d.requestLimits[incarnation] == perSecond {
		return
	}
	d.changed = true
	if perSecond > 0 {
		d.requestLimits[incarnation] = perSecond
	} else {
		delete(d.requestLimits, incarnation)
	}
}

// pruneLeaving drops the leaving incarnations that are not announced.
func (d *Directory) pruneLeaving() {
	maps.DeleteFunc(d.leavingIncarnations, func(r Incarnation, _ bool) bool {
		t := d.targets[r.ID]
		return t == nil || t.Ident() != r
	})
}

// LeavingIncarnations returns the announced incarnations that reported that they
// stop, in the order of their IDs. With directOnly it returns only those that
// reported it to this host.
func (d *Directory) LeavingIncarnations(directOnly bool) []Incarnation {
	var out []Incarnation
	for r, direct := range d.leavingIncarnations {
		if t := d.targets[r.ID]; t != nil && t.Ident() == r && (direct || !directOnly) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// RemoveTarget applies the removal of an announcement and reports whether it removed
// the target. During an outage of the store, and for RemovalGrace after it, the
// target is kept until RemoveExpired removes it.
func (d *Directory) RemoveTarget(now time.Duration, id string) bool {
	if d.targets[id] == nil {
		return false
	}
	if d.MayBeAnnounced(now) {
		if _, ok := d.removalDeadlines[id]; !ok {
			d.removalDeadlines[id] = d.storeReturnedAt + RemovalGrace
		}
		return false
	}
	delete(d.targets, id)
	d.changed = true
	return true
}

// MarkStoreUnreachable records the beginning of an outage of the store.
func (d *Directory) MarkStoreUnreachable() { d.storeUnreachable = true }

// MarkStoreReachable records the end of an outage of the store. Targets whose
// announcements lapsed are kept for RemovalGrace from now.
func (d *Directory) MarkStoreReachable(now time.Duration) {
	if !d.storeUnreachable {
		return
	}
	d.storeUnreachable, d.storeReturnedAt = false, now
	for id := range d.removalDeadlines {
		d.removalDeadlines[id] = now + RemovalGrace
	}
}

// WithdrawOutage records that the store was reachable since MarkStoreUnreachable, so that targets
// without an announcement are not kept for longer.
func (d *Directory) WithdrawOutage() { d.storeUnreachable = false }

// MayBeAnnounced reports whether targets that are not known may be announced again: their
// announcements may have lapsed in an outage that has ended, also in one that the host did
// not see since it started in it.
func (d *Directory) MayBeAnnounced(now time.Duration) bool {
	return d.storeUnreachable || now < d.storeReturnedAt+RemovalGrace
}

// RemoveUnannounced calls RemoveTarget for each target that is not in announced, the
// complete set of announced IDs. It returns the IDs of the removed targets.
func (d *Directory) RemoveUnannounced(now time.Duration, announced map[string]bool) (removed []string) {
	for id := range d.targets {
		if !announced[id] && d.RemoveTarget(now, id) {
			removed = append(removed, id)
		}
	}
	slices.Sort(removed)
	return removed
}

// RemoveExpired removes the lapsed targets whose grace period has ended and returns
// their IDs. It removes none during an outage of the store.
func (d *Directory) RemoveExpired(now time.Duration) (removed []string) {
	if d.storeUnreachable {
		return nil
	}
	for id, at := range d.removalDeadlines {
		if now < at {
			continue
		}
		delete(d.removalDeadlines, id)
		if d.targets[id] != nil {
			delete(d.targets, id)
			d.changed = true
			removed = append(removed, id)
		}
	}
	slices.Sort(removed)
	return removed
}

// Snapshot returns the current view. It returns the same value until the Directory
// changes.
func (d *Directory) Snapshot() *Snapshot {
	if !d.changed {
		return d.snapshot
	}
	d.changed = false
	s := &Snapshot{
		DesiredState: d.desiredState, Evacuated: maps.Clone(d.evacuatedDomains), Targets: maps.Clone(d.targets),
		targetsByWorkload: map[string][]*Target{}, requestLimits: maps.Clone(d.requestLimits),
	}
	for _, t := range s.Targets {
		s.targetsByWorkload[t.Workload] = append(s.targetsByWorkload[t.Workload], t)
	}
	for _, list := range s.targetsByWorkload {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	d.snapshot = s
	return s
}
