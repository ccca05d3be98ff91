package fleet

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// Target is one running copy of a workload's server.
type Target struct {
	ID       string
	Workload string
	Address  string
	Domain   string
	Slots    int
	// Leaving targets get no new requests.
	Leaving bool
	// Born is the start of this run of the target in Unix milliseconds, 0 when
	// unknown. It tells two runs under one ID apart.
	Born int64
	// ColdUntil is when the target is warm, on the host's clock.
	ColdUntil time.Duration
}

// Incarnation is one life of a target at an address. A target that starts again under its
// ID, or another one at its address, is another run.
type Incarnation struct {
	ID      string `json:"id"`
	Born    int64  `json:"born"`
	Address string `json:"address"`
}

// Ident returns the incarnation that announced the target.
func (t *Target) Ident() Incarnation { return Incarnation{ID: t.ID, Born: t.Born, Address: t.Address} }

// Snapshot is an immutable view of the deployment.
type Snapshot struct {
	// DesiredState is nil until the first desired state was read.
	DesiredState *DesiredState
	// Evacuated are the failure domains whose targets get nothing.
	Evacuated map[string]bool
	// Targets are all targets by ID.
	Targets map[string]*Target

	byWorkload map[string][]*Target
}

// TargetsOf returns the targets of a workload in the order of their IDs.
func (s *Snapshot) TargetsOf(workload string) []*Target { return s.byWorkload[workload] }

// Usable reports whether new requests may be sent to a target.
func (s *Snapshot) Usable(t *Target) bool { return !t.Leaving && !s.Evacuated[t.Domain] }

// RemovalGrace is how long a target whose announcement lapsed while the store was away
// is kept after the store's return; live targets are back in about two seconds, and
// one that has left must not get requests for longer.
const RemovalGrace = 2050 * time.Millisecond

// Directory folds records of the store into snapshots.
type Directory struct {
	desired   *DesiredState
	evacuated map[string]bool
	targets   map[string]*Target
	// lapsed are targets that were removed while the store was away, with the
	// time at which they are given up.
	lapsed map[string]time.Duration
	// leaving are runs that said themselves that they stop; true for those that
	// said so to this host.
	leaving map[Incarnation]bool
	// storeAway is whether the store is unreachable, and returned when it came back.
	storeAway bool
	returned  time.Duration
	changed   bool
	snapshot  *Snapshot
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		evacuated: map[string]bool{}, targets: map[string]*Target{}, lapsed: map[string]time.Duration{},
		leaving:  map[Incarnation]bool{},
		returned: -RemovalGrace, changed: true,
	}
}

// PutDesiredState takes a desired state unless a newer one is in force, and reports
// whether it was taken.
func (d *Directory) PutDesiredState(x *DesiredState) bool {
	if d.desired != nil && x.Version <= d.desired.Version {
		return false
	}
	d.desired, d.changed = x, true
	return true
}

// SetEvacuated adds or removes an evacuated failure domain.
func (d *Directory) SetEvacuated(domain string, evacuated bool) {
	if d.evacuated[domain] == evacuated {
		return
	}
	d.changed = true
	if evacuated {
		d.evacuated[domain] = true
	} else {
		delete(d.evacuated, domain)
	}
}

// PutTarget takes the announcement of a target and reports whether it changed.
func (d *Directory) PutTarget(t *Target) bool {
	delete(d.lapsed, t.ID)
	if _, ok := d.leaving[t.Ident()]; ok && !t.Leaving {
		// A target's own word holds for the rest of its run, whatever the store says.
		c := *t
		c.Leaving = true
		t = &c
	}
	old := d.targets[t.ID]
	if old != nil && *old == *t {
		return false
	}
	d.targets[t.ID], d.changed = t, true
	return true
}

// maxLeaving bounds the runs that are remembered as leaving.
const maxLeaving = 8192

// MarkLeaving takes the word of a target that it stops: it gets no new requests
// for the rest of its run. own says that the target told this host. It reports
// whether this was not known.
func (d *Directory) MarkLeaving(run Incarnation, own bool) bool {
	if known, ok := d.leaving[run]; ok && (known || !own) {
		return false
	}
	if len(d.leaving) >= maxLeaving {
		d.forgetGone()
	}
	d.leaving[run] = own
	if t := d.targets[run.ID]; t != nil && t.Ident() == run && !t.Leaving {
		c := *t
		c.Leaving = true
		d.targets[run.ID], d.changed = &c, true
	}
	return true
}

// forgetGone drops the leaving runs that are no longer announced.
func (d *Directory) forgetGone() {
	maps.DeleteFunc(d.leaving, func(r Incarnation, _ bool) bool {
		t := d.targets[r.ID]
		return t == nil || t.Ident() != r
	})
}

// LeavingIncarnations returns the announced runs that said themselves that they stop, or only
// those that said so to this host, in the order of their IDs.
func (d *Directory) LeavingIncarnations(ownOnly bool) []Incarnation {
	var out []Incarnation
	for r, own := range d.leaving {
		if t := d.targets[r.ID]; t != nil && t.Ident() == r && (own || !ownOnly) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// RemoveTarget takes the removal of an announcement and reports whether the
// target is gone; during and shortly after an absence of the store it is kept.
func (d *Directory) RemoveTarget(now time.Duration, id string) bool {
	if d.targets[id] == nil {
		return false
	}
	if d.storeAway || now < d.returned+RemovalGrace {
		if _, ok := d.lapsed[id]; !ok {
			d.lapsed[id] = d.returned + RemovalGrace
		}
		return false
	}
	delete(d.targets, id)
	d.changed = true
	return true
}

// MarkStoreUnreachable notes that the store cannot be reached.
func (d *Directory) MarkStoreUnreachable() { d.storeAway = true }

// MarkStoreReachable notes that the store answers again.
func (d *Directory) MarkStoreReachable(now time.Duration) {
	if !d.storeAway {
		return
	}
	d.storeAway, d.returned = false, now
	for id := range d.lapsed {
		d.lapsed[id] = now + RemovalGrace
	}
}

// RemoveUnannounced takes the complete list of announced IDs, as a page read gives it:
// targets that are not on it are removed.
func (d *Directory) RemoveUnannounced(now time.Duration, announced map[string]bool) (removed []string) {
	for id := range d.targets {
		if !announced[id] && d.RemoveTarget(now, id) {
			removed = append(removed, id)
		}
	}
	slices.Sort(removed)
	return removed
}

// RemoveExpired gives up lapsed targets whose time has run out, and returns their IDs.
func (d *Directory) RemoveExpired(now time.Duration) (gone []string) {
	if d.storeAway {
		return nil
	}
	for id, at := range d.lapsed {
		if now < at {
			continue
		}
		delete(d.lapsed, id)
		if d.targets[id] != nil {
			delete(d.targets, id)
			d.changed = true
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	return gone
}

// Snapshot returns the present view. It is the same value until something
// changes.
func (d *Directory) Snapshot() *Snapshot {
	if !d.changed {
		return d.snapshot
	}
	d.changed = false
	s := &Snapshot{
		DesiredState: d.desired, Evacuated: maps.Clone(d.evacuated), Targets: maps.Clone(d.targets),
		byWorkload: map[string][]*Target{},
	}
	for _, t := range s.Targets {
		s.byWorkload[t.Workload] = append(s.byWorkload[t.Workload], t)
	}
	for _, list := range s.byWorkload {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	d.snapshot = s
	return s
}
