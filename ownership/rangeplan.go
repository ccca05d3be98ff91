package ownership

import (
	"math"
	"sort"
)

// RangeTarget is a target that may own keys of a range-partitioned workload.
type RangeTarget struct {
	ID string
	// Capacity is the work that it bears, in busy slots.
	Capacity float64
	// ServiceSeconds is the mean time of one request on it, in seconds.
	ServiceSeconds float64
	// AcceptsKeys says that keys may be moved to it. Targets that leave or whose
	// domain is evacuated keep no keys and are not listed.
	AcceptsKeys bool
}

// RangePlanConfig holds the settings of PlanRanges. A zero field takes its
// default.
type RangePlanConfig struct {
	// Hot is the part of its capacity from which a target gives keys away,
	// without unit. Default: 0.75.
	Hot float64
	// Spread is the ratio of a target's load to the mean from which it gives
	// keys away, without unit. Default: 1.4.
	Spread float64
	// Join is the part of the mean load that a target without keys is given.
	// Default: 0.7.
	Join float64
	// MaxMoves limits the moves of one plan. Default: one for each six targets, 8 at
	// least.
	MaxMoves int
	// MaxRuns is the number of runs for each target from which quiet ones are
	// joined with their neighbours: each run is granted by a call of its own.
	// Default: 1.5.
	MaxRuns float64
	// Worthwhile is the part of a target's capacity below which load is not moved
	// for the sake of balance: a move makes requests wait. Default: 0.1.
	Worthwhile float64
	// Quiet is the rate in requests per second below which a run is quiet.
	// Default: 1.
	Quiet float64
}

func (c RangePlanConfig) withDefaults(targets int) RangePlanConfig {
	set := func(p *float64, v float64) {
		if *p == 0 {
			*p = v
		}
	}
	set(&c.Hot, 0.75)
	set(&c.Spread, 1.4)
	set(&c.Join, 0.7)
	set(&c.MaxRuns, 1.5)
	set(&c.Quiet, 1)
	set(&c.Worthwhile, 0.1)
	if c.MaxMoves == 0 {
		c.MaxMoves = max(leastMoves, targets/targetsPerMove)
	}
	return c
}

const (
	leastMoves     = 8
	targetsPerMove = 6
)

// RangeInput is what a plan of one workload is made from.
type RangeInput struct {
	Table *RangeTable
	// Targets are the usable targets.
	Targets []RangeTarget
	// Rates are the requests per second of each key.
	Rates []float32
	// RateVariance is the variance of a measured rate in relation to the rate, in
	// requests per second: a target gives keys away when its load is above the hot
	// level by more than the standard deviation. 0 means exact rates.
	RateVariance float64
	// Movable reports whether the keys of a segment may be moved: a segment that
	// was moved shortly before stays.
	Movable func(KeyRange) bool
}

// restRate is the rate in requests per second that all keys together are taken
// to have besides the observed one, so that keys without requests are spread.
const restRate = 2.0

// rangePlan is the state of one call of PlanRanges.
type rangePlan struct {
	cfg   RangePlanConfig
	in    RangeInput
	table *RangeTable
	// prefix[k] is the rate of the keys below k.
	prefix []float64
	load   map[string]float64 // busy slots
	byID   map[string]*RangeTarget
	moves  []RangeMove
	// urgent says that the target that gives keys away cannot do its work, so that a
	// run of a single key may go as a whole.
	urgent bool
}

// PlanRanges returns the moves that bring keys away from targets that are gone,
// give keys to targets without any, and cut hot runs of keys over several
// targets, with few keys moved.
//
// Load pattern: 200 neighbouring keys out of 65,536 draw a third or more of a
// workload's requests for seconds, several times what one target bears. The
// shortest run with enough requests is moved, so that some dozens of keys carry
// the load away and the rest stays.
func PlanRanges(cfg RangePlanConfig, in RangeInput) []RangeMove {
	p := &rangePlan{cfg: cfg.withDefaults(len(in.Targets)), in: in, table: in.Table, byID: map[string]*RangeTarget{}, load: map[string]float64{}}
	for i := range in.Targets {
		p.byID[in.Targets[i].ID] = &in.Targets[i]
	}
	if len(p.byID) == 0 {
		return nil
	}
	p.prefix = make([]float64, RangeKeys+1)
	for k := range RangeKeys {
		p.prefix[k+1] = p.prefix[k] + float64(in.Rates[k]) + restRate/RangeKeys
	}
	for _, s := range in.Table.Ranges {
		if t := p.byID[s.Owner]; t != nil {
			p.load[s.Owner] += p.rate(s.From, s.To) * t.ServiceSeconds
		}
	}
	p.orphans()
	p.joiners()
	p.relieve()
	p.tidy()
	return p.moves
}

func (p *rangePlan) rate(from, to int) float64 { return p.prefix[to+1] - p.prefix[from] }

// used returns the part of its capacity that a target uses.
func (p *rangePlan) used(t *RangeTarget) float64 { return p.load[t.ID] / t.Capacity }

// mean returns the part of all capacity that is used.
func (p *rangePlan) mean() float64 {
	load, capacity := 0.0, 0.0
	for i := range p.in.Targets {
		load += p.load[p.in.Targets[i].ID]
		capacity += p.in.Targets[i].Capacity
	}
	return load / capacity
}

// coolest returns the receiving target that uses the least part of its capacity.
func (p *rangePlan) coolest() *RangeTarget {
	var best *RangeTarget
	for i := range p.in.Targets {
		t := &p.in.Targets[i]
		if t.AcceptsKeys && (best == nil || p.used(t) < p.used(best)) {
			best = t
		}
	}
	return best
}

// roomiest returns the receiving target that bears the most further requests up to
// urgentPart of the hot level.
func (p *rangePlan) roomiest() *RangeTarget {
	var best *RangeTarget
	most := 0.0
	for i := range p.in.Targets {
		t := &p.in.Targets[i]
		room := (p.cfg.Hot*urgentPart*t.Capacity - p.load[t.ID]) / t.ServiceSeconds
		if t.AcceptsKeys && (best == nil || room > most) {
			best, most = t, room
		}
	}
	return best
}

func (p *rangePlan) move(from, to int, owner *RangeTarget) {
	for _, s := range p.table.Ranges {
		lo, hi := max(s.From, from), min(s.To, to)
		if lo > hi {
			continue
		}
		if t := p.byID[s.Owner]; t != nil {
			p.load[s.Owner] -= p.rate(lo, hi) * t.ServiceSeconds
		}
	}
	p.load[owner.ID] += p.rate(from, to) * owner.ServiceSeconds
	m := RangeMove{From: from, To: to, Owner: owner.ID}
	p.moves = append(p.moves, m)
	p.table = p.table.Move(m)
}

// orphans gives the keys of targets that are gone to the others, in pieces of
// about what one of them has room for.
func (p *rangePlan) orphans() {
	for _, s := range p.table.Ranges {
		if p.byID[s.Owner] != nil {
			continue
		}
		for from := s.From; from <= s.To; {
			t := p.coolest()
			if t == nil {
				return
			}
			room := max(p.mean()*t.Capacity-p.load[t.ID], 0.25*t.Capacity) / t.ServiceSeconds
			to := p.reach(from, s.To, room)
			p.move(from, to, t)
			from = to + 1
		}
	}
}

// reach returns the last key up to limit for which the keys from on have at
// most the given rate; it is from at least.
func (p *rangePlan) reach(from, limit int, rate float64) int {
	n := sort.Search(limit-from, func(i int) bool { return p.rate(from, from+1+i) > rate })
	return from + n
}

// joiners gives keys to targets that have none.
func (p *rangePlan) joiners() {
	owned := p.table.KeyCounts()
	for i := range p.in.Targets {
		t := &p.in.Targets[i]
		if !t.AcceptsKeys || owned[t.ID] > 0 {
			continue
		}
		if from := p.fullest(t); from != nil {
			want := p.cfg.Join * p.mean() * t.Capacity / from.ServiceSeconds
			p.take(from, t, want, tooHot*want)
		}
	}
}

// fullest returns the target other than t that uses the most of its capacity.
func (p *rangePlan) fullest(t *RangeTarget) *RangeTarget {
	var best *RangeTarget
	for i := range p.in.Targets {
		x := &p.in.Targets[i]
		if x != t && (best == nil || p.used(x) > p.used(best)) {
			best = x
		}
	}
	return best
}

// relieve moves hot runs from the fullest targets to the coolest.
func (p *rangePlan) relieve() {
	stuck := map[string]bool{}
	for len(p.moves) < p.cfg.MaxMoves {
		var hot *RangeTarget
		for i := range p.in.Targets {
			t := &p.in.Targets[i]
			if !stuck[t.ID] && (hot == nil || p.used(t) > p.used(hot)) {
				hot = t
			}
		}
		cool := p.coolest()
		mean := p.mean()
		if hot == nil || cool == nil || hot == cool || p.used(hot)-p.noise(hot) < max(p.cfg.Hot, p.cfg.Spread*mean) {
			return
		}
		level := max(mean, p.cfg.Hot*levelPart)
		excess := p.load[hot.ID] - level*hot.Capacity
		p.urgent = p.used(hot) > 1
		if p.urgent {
			cool = p.roomiest()
		}
		room := (p.fill(level) - p.used(cool)) * cool.Capacity
		want := min(excess/hot.ServiceSeconds, room/cool.ServiceSeconds)
		most := tooHot * want
		if p.urgent {
			most = max(most, room/cool.ServiceSeconds)
		}
		if min(excess, room) < p.cfg.Worthwhile*hot.Capacity || !p.take(hot, cool, want, most) {
			stuck[hot.ID] = true
		}
	}
}

// noise returns the standard deviation of the part of its capacity that a target
// uses, as measured.
func (p *rangePlan) noise(t *RangeTarget) float64 {
	rate := p.load[t.ID] / t.ServiceSeconds
	return math.Sqrt(max(0, rate)*p.in.RateVariance) * t.ServiceSeconds / t.Capacity
}

// levelPart is the part of the hot level to which targets are brought when the mean
// is lower.
const levelPart = 0.6

// urgentPart is the part of the hot level to which targets are filled from one that
// cannot do its work, so that they do not count as hot themselves afterwards.
const urgentPart = 0.9

// fill returns the part of its capacity up to which a target takes keys from a hot
// one. For one that cannot do its work, others take all that they bear: up to the
// level of the rest, no single key of a hot run may fit.
func (p *rangePlan) fill(level float64) float64 {
	if p.urgent {
		return max(level, p.cfg.Hot*urgentPart)
	}
	return level
}

// tidy gives quiet runs to the owner of a neighbouring run that has room, those with
// the fewest keys first: what a move costs grows with the keys that change hands.
func (p *rangePlan) tidy() {
	for n := 0; n < maxTidied && len(p.moves) < p.cfg.MaxMoves; n++ {
		if float64(len(p.table.Ranges)) <= p.cfg.MaxRuns*float64(len(p.in.Targets)) {
			return
		}
		s, to := p.quietest()
		if to == nil {
			return
		}
		p.move(s.From, s.To, to)
	}
}

// quietest returns the quiet run with the fewest keys that can be joined with a
// neighbouring one, and the owner that would have it.
func (p *rangePlan) quietest() (best KeyRange, owner *RangeTarget) {
	for i, s := range p.table.Ranges {
		if owner != nil && s.Len() >= best.Len() || p.rate(s.From, s.To) > p.cfg.Quiet || !p.movable(s) {
			continue
		}
		if to := p.neighbour(i); to != nil {
			best, owner = s, to
		}
	}
	return best, owner
}

// maxTidied is the number of quiet runs that one plan joins.
const maxTidied = 2

// neighbour returns the less loaded owner of the two runs beside one, if that
// owner may receive keys and is below the hot level.
func (p *rangePlan) neighbour(i int) *RangeTarget {
	var best *RangeTarget
	for _, j := range []int{i - 1, i + 1} {
		if j < 0 || j >= len(p.table.Ranges) || !p.movable(p.table.Ranges[j]) {
			continue
		}
		t := p.byID[p.table.Ranges[j].Owner]
		if t.AcceptsKeys && p.used(t) < p.cfg.Hot && (best == nil || p.used(t) < p.used(best)) {
			best = t
		}
	}
	return best
}

// movable reports whether the keys of a segment may be moved for the sake of
// load.
func (p *rangePlan) movable(s KeyRange) bool {
	return p.byID[s.Owner] != nil && len(s.PreviousOwners) == 0 && (p.in.Movable == nil || p.in.Movable(s))
}

// take moves the shortest run of keys that draws about the given rate, in requests
// per second, and reports whether it found one that helps. Single keys with a rate
// over most stay.
func (p *rangePlan) take(from, to *RangeTarget, want, most float64) bool {
	if want <= 0 {
		return false
	}
	best := RangeMove{From: -1}
	for _, s := range p.table.Ranges {
		if s.Owner != from.ID || !p.movable(s) {
			continue
		}
		if lo, hi, ok := p.shortest(s, want, most, p.cfg.Worthwhile*from.Capacity/from.ServiceSeconds); ok && (best.From < 0 || hi-lo < best.To-best.From) {
			best = RangeMove{From: lo, To: hi}
		}
	}
	if best.From < 0 {
		return false
	}
	// A run that is heavier than the difference would only exchange the roles.
	r := p.rate(best.From, best.To)
	if (p.load[to.ID]+r*to.ServiceSeconds)/to.Capacity >= p.used(from) {
		return false
	}
	p.move(best.From, best.To, to)
	return true
}

// shortest returns the shortest run of a segment's keys with at least the given
// rate. Keys that have more than the rate most alone stay where they are: the keys
// beside them are moved away instead, if they have at least the rate least.
func (p *rangePlan) shortest(s KeyRange, rate, most, least float64) (lo, hi int, ok bool) {
	best := RangeMove{From: -1}
	from := s.From
	for k := s.From; k <= s.To+1; k++ {
		if k <= s.To && p.rate(k, k) <= most {
			continue
		}
		if from < k {
			piece := KeyRange{From: from, To: k - 1}
			whole := from == s.From && k == s.To+1
			if lo, hi, ok := p.window(piece, rate, least, whole); ok && (best.From < 0 || hi-lo < best.To-best.From) {
				best = RangeMove{From: lo, To: hi}
			}
		}
		from = k + 1
	}
	return best.From, best.To, best.From >= 0
}

// tooHot is the ratio to the rate that is to be moved from which a single key
// stays where it is.
const tooHot = 1.5

// window returns the shortest run of a piece with at least the given rate. A
// piece with less goes as a whole when it has the rate least; when it is a whole
// segment, half of it goes if it has half of the rate.
func (p *rangePlan) window(s KeyRange, rate, least float64, whole bool) (lo, hi int, ok bool) {
	best := RangeMove{From: -1}
	lo = s.From
	for hi = s.From; hi <= s.To; hi++ {
		for lo < hi && p.rate(lo+1, hi) >= rate {
			lo++
		}
		if p.rate(lo, hi) >= rate && (best.From < 0 || hi-lo < best.To-best.From) {
			best = RangeMove{From: lo, To: hi}
		}
	}
	switch total := p.rate(s.From, s.To); {
	case best.From >= 0 && (!whole || best.To-best.From+1 < s.Len()):
		return best.From, best.To, true
	case total < least || whole && total < rate/2:
		return 0, 0, false
	case whole && s.Len() > 1:
		return s.From, p.reach(s.From, s.To-1, total/2), true
	}
	return s.From, s.To, !whole || p.urgent
}
