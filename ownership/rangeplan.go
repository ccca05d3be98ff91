package ownership

import (
	"math"
	"slices"
	"sort"
)

// RangeTarget is a target that may own keys of a range-partitioned workload.
type RangeTarget struct {
	ID string
	// Capacity is the load that it can carry, in busy slots.
	Capacity float64
	// ServiceSeconds is the mean time of one request on it, in seconds.
	ServiceSeconds float64
	// AcceptsKeys says that keys may be moved to it. Targets that are leaving or
	// whose domain is evacuated keep no keys and are not listed.
	AcceptsKeys bool
	// Limited says that the target states a limit on its requests; Capacity is the load
	// within the limit. Its load tells nothing about its room, so that it takes no keys
	// for balance but those that are returned to it.
	Limited bool
	// KeepsKeys says that no keys are moved from it for balance.
	KeepsKeys bool
}

// takesKeys reports whether keys may be moved to the target for balance.
func (t *RangeTarget) takesKeys() bool { return t.AcceptsKeys && !t.Limited }

// A limited target gives keys away from limitedHotUtilization on, down to
// limitedGoal: with requests that arrive at random it uses up its limit only with some
// more of them.
const (
	limitedHotUtilization = 1.8
	limitedGoal           = 1.4
)

// RangePlanConfig holds the settings of PlanRanges. A zero field takes its
// default.
type RangePlanConfig struct {
	// HotUtilization is the share of its capacity from which a target is hot and
	// gives keys away, without unit. Default: 0.75.
	HotUtilization float64
	// ImbalanceRatio is the ratio of a target's utilization to the mean from
	// which it gives keys away, without unit. Default: 1.4.
	ImbalanceRatio float64
	// JoinShare is the share of the mean load that a target without keys is
	// given, without unit. Default: 0.7.
	JoinShare float64
	// MaxMoves limits the moves of one plan. Default: one for every six targets,
	// but at least 8.
	MaxMoves int
	// MaxRangesPerTarget is the mean number of ranges per target above which
	// quiet ranges are merged with their neighbours, since each range is granted
	// by a call of its own. Default: 1.5.
	MaxRangesPerTarget float64
	// MinMoveShare is the share of a target's capacity below which load is not
	// moved for balance, since a move makes requests wait. Default: 0.1.
	MinMoveShare float64
	// QuietRate is the rate, in requests per second, up to which a range is
	// quiet. Default: 1.
	QuietRate float64
}

func (c RangePlanConfig) withDefaults(targets int) RangePlanConfig {
	set := func(p *float64, v float64) {
		if *p == 0 {
			*p = v
		}
	}
	set(&c.HotUtilization, 0.75)
	set(&c.ImbalanceRatio, 1.4)
	set(&c.JoinShare, 0.7)
	set(&c.MaxRangesPerTarget, 1.5)
	set(&c.QuietRate, 1)
	set(&c.MinMoveShare, 0.1)
	if c.MaxMoves == 0 {
		c.MaxMoves = max(minMoves, targets/targetsPerMove)
	}
	return c
}

const (
	minMoves       = 8
	targetsPerMove = 6
)

// RangeInput is the input of PlanRanges for one workload.
type RangeInput struct {
	Table *RangeTable
	// Targets are the targets that may own keys.
	Targets []RangeTarget
	// Rates are the requests per second of each key.
	Rates []float32
	// RateVariance is the ratio of the variance of a measured rate to the rate, in
	// requests per second. A target gives keys away only if it exceeds the hot
	// level by at least the standard deviation. 0 means exact rates.
	RateVariance float64
	// Stays reports whether the keys of an owner that is not listed in Targets stay with it
	// for now. nil means that all of them are reassigned.
	Stays func(KeyRange) bool
	// Movable reports whether a range may be moved for balance; one that was moved
	// recently may not. nil means that all ranges may.
	Movable func(KeyRange) bool
}

// backgroundRate is a rate, in requests per second, that is added to the observed
// one, evenly over all keys. It spreads keys without requests.
const backgroundRate = 2.0

// rangePlan is the state of one call of PlanRanges.
type rangePlan struct {
	cfg RangePlanConfig
	in  RangeInput
	// table is a copy of the input's with the moves so far.
	table *RangeTable
	// prefix[k] is the rate of the keys below k.
	prefix  []float64
	load    map[string]float64 // busy slots
	targets map[string]*RangeTarget
	moves   []RangeMove
	// sourceOverloaded says that the target that gives keys away has more load
	// than capacity, so that a range of a single key may be moved.
	sourceOverloaded bool
}

// PlanRanges returns the moves that reassign the keys of targets that are gone,
// give keys to targets without any, and divide hot key ranges among several
// targets. It moves few keys.
//
// Load pattern: 200 neighbouring keys out of 65,536 receive a third or more of a
// workload's requests for seconds, several times the capacity of one target. A
// move takes the shortest range with enough requests, so that some dozens of keys
// carry the load away and the rest stay.
func PlanRanges(cfg RangePlanConfig, in RangeInput) []RangeMove {
	p := &rangePlan{cfg: cfg.withDefaults(len(in.Targets)), in: in, table: &RangeTable{Ranges: slices.Clone(in.Table.Ranges)}, targets: map[string]*RangeTarget{}, load: map[string]float64{}}
	for i := range in.Targets {
		p.targets[in.Targets[i].ID] = &in.Targets[i]
	}
	if len(p.targets) == 0 {
		return nil
	}
	p.prefix = make([]float64, RangeKeys+1)
	for k := range RangeKeys {
		p.prefix[k+1] = p.prefix[k] + float64(in.Rates[k]) + backgroundRate/RangeKeys
	}
	for _, s := range in.Table.Ranges {
		if t := p.targets[s.Owner]; t != nil {
			p.load[s.Owner] += p.rate(s.From, s.To) * t.ServiceSeconds
		}
	}
	p.reassignOrphans()
	p.returnKeys()
	p.fillEmptyTargets()
	p.relieveHotTargets()
	p.mergeQuietRanges()
	return p.moves
}

// rate returns the requests per second of the keys from to to, inclusive.
func (p *rangePlan) rate(from, to int) float64 { return p.prefix[to+1] - p.prefix[from] }

// utilization returns the share of its capacity that a target uses.
func (p *rangePlan) utilization(t *RangeTarget) float64 { return p.load[t.ID] / t.Capacity }

// meanUtilization returns the share of the total capacity that is used, over the
// targets that are not limited.
func (p *rangePlan) meanUtilization() float64 {
	load, capacity := 0.0, 0.0
	for i := range p.in.Targets {
		if t := &p.in.Targets[i]; !t.Limited {
			load += p.load[t.ID]
			capacity += t.Capacity
		}
	}
	if capacity == 0 {
		return 0
	}
	return load / capacity
}

// leastUtilized returns the least utilized target that takes keys, or nil.
func (p *rangePlan) leastUtilized() *RangeTarget {
	return p.leastUtilizedOf((*RangeTarget).takesKeys)
}

func (p *rangePlan) leastUtilizedOf(include func(*RangeTarget) bool) *RangeTarget {
	var best *RangeTarget
	for i := range p.in.Targets {
		t := &p.in.Targets[i]
		if include(t) && (best == nil || p.utilization(t) < p.utilization(best)) {
			best = t
		}
	}
	return best
}

// leastUtilizedForOrphans returns the least utilized target that takes keys or, if
// there is none, the least utilized limited one: it serves some of the requests.
func (p *rangePlan) leastUtilizedForOrphans() *RangeTarget {
	if t := p.leastUtilized(); t != nil {
		return t
	}
	return p.leastUtilizedOf(func(t *RangeTarget) bool { return t.AcceptsKeys })
}

// mostSpare returns the target that accepts keys and can take the most further
// requests up to urgentFillShare of the hot level, or nil.
func (p *rangePlan) mostSpare() *RangeTarget {
	var best *RangeTarget
	maxSpare := 0.0
	for i := range p.in.Targets {
		t := &p.in.Targets[i]
		spare := (p.cfg.HotUtilization*urgentFillShare*t.Capacity - p.load[t.ID]) / t.ServiceSeconds
		if t.takesKeys() && (best == nil || spare > maxSpare) {
			best, maxSpare = t, spare
		}
	}
	return best
}

func (p *rangePlan) move(from, to int, owner *RangeTarget) {
	m := RangeMove{From: from, To: to, Owner: owner.ID}
	first := sort.Search(len(p.table.Ranges), func(i int) bool { return p.table.Ranges[i].To >= from })
	for _, s := range p.table.Ranges[first:] {
		lo, hi := max(s.From, from), min(s.To, to)
		if lo > hi {
			break
		}
		if t := p.targets[s.Owner]; t != nil {
			p.load[s.Owner] -= p.rate(lo, hi) * t.ServiceSeconds
			m.FromLimited = m.FromLimited || t.Limited
		}
	}
	p.load[owner.ID] += p.rate(from, to) * owner.ServiceSeconds
	p.moves = append(p.moves, m)
	p.table.moveInPlace(m)
}

// reassignOrphans gives the keys of targets that are gone to the others, in
// pieces that fit the spare capacity of one target.
func (p *rangePlan) reassignOrphans() {
	for _, s := range slices.Clone(p.table.Ranges) {
		if p.targets[s.Owner] != nil || p.in.Stays != nil && p.in.Stays(s) {
			continue
		}
		for from := s.From; from <= s.To; {
			t := p.leastUtilizedForOrphans()
			if t == nil {
				return
			}
			spareRate := max(p.meanUtilization()*t.Capacity-p.load[t.ID], 0.25*t.Capacity) / t.ServiceSeconds
			to := p.lastKeyWithin(from, s.To, spareRate)
			p.move(from, to, t)
			from = to + 1
		}
	}
}

// lastKeyWithin returns the last key, up to limit, such that the keys from from
// to it have at most the given rate. It returns at least from.
func (p *rangePlan) lastKeyWithin(from, limit int, rate float64) int {
	n := sort.Search(limit-from, func(i int) bool { return p.rate(from, from+1+i) > rate })
	return from + n
}

// returnKeys moves keys back to the targets that they left for a limit, as far as these
// have room.
func (p *rangePlan) returnKeys() {
	for _, s := range slices.Clone(p.table.Ranges) {
		t := p.targets[s.ReturnTo]
		if t == nil || !t.AcceptsKeys || len(p.moves) >= p.cfg.MaxMoves || !p.movable(s) {
			continue
		}
		room := (p.returnLevel(t)*t.Capacity - p.load[t.ID]) / t.ServiceSeconds
		to := s.To
		if p.rate(s.From, s.To) > room {
			to = p.lastKeyWithin(s.From, s.To, room)
		}
		rate := p.rate(s.From, to)
		if rate <= room && (to == s.To || rate >= p.cfg.MinMoveShare*t.Capacity/t.ServiceSeconds) {
			p.move(s.From, to, t)
		}
	}
}

// returnLevel returns the utilization up to which keys return to a target. One with a
// limit takes them only while it does not use the limit up.
func (p *rangePlan) returnLevel(t *RangeTarget) float64 {
	switch {
	case !t.Limited:
		return p.cfg.HotUtilization * urgentFillShare
	case p.utilization(t)+p.utilizationStdDev(t) < 1:
		return limitedGoal
	}
	return 0
}

// fillEmptyTargets gives keys to targets that have none.
func (p *rangePlan) fillEmptyTargets() {
	keyCounts := p.table.KeyCounts()
	for i := range p.in.Targets {
		t := &p.in.Targets[i]
		if !t.takesKeys() || keyCounts[t.ID] > 0 {
			continue
		}
		if from := p.mostUtilizedExcept(t); from != nil {
			rate := p.cfg.JoinShare * p.meanUtilization() * t.Capacity / from.ServiceSeconds
			p.moveShortestRange(from, t, rate, maxKeyRateRatio*rate)
		}
	}
}

// mostUtilizedExcept returns the most utilized target other than t that is not
// limited, or nil.
func (p *rangePlan) mostUtilizedExcept(t *RangeTarget) *RangeTarget {
	var best *RangeTarget
	for i := range p.in.Targets {
		x := &p.in.Targets[i]
		if x != t && !x.Limited && (best == nil || p.utilization(x) > p.utilization(best)) {
			best = x
		}
	}
	return best
}

// relieveHotTargets moves hot key ranges from the most utilized targets to those
// with the most spare capacity.
func (p *rangePlan) relieveHotTargets() {
	skipped := map[string]bool{}
	for len(p.moves) < p.cfg.MaxMoves {
		var hot *RangeTarget
		for i := range p.in.Targets {
			t := &p.in.Targets[i]
			if !skipped[t.ID] && !t.KeepsKeys && (hot == nil || p.utilization(t) > p.utilization(hot)) {
				hot = t
			}
		}
		cool := p.leastUtilized()
		mean := p.meanUtilization()
		if hot == nil || cool == nil || hot == cool {
			return
		}
		if p.utilization(hot)-p.utilizationStdDev(hot) < p.hotLevel(hot, mean) {
			if !hot.Limited {
				return
			}
			skipped[hot.ID] = true
			continue
		}
		goal := max(mean, p.cfg.HotUtilization*reliefShare)
		excess := p.load[hot.ID] - p.reliefGoal(hot, goal)*hot.Capacity
		p.sourceOverloaded = p.utilization(hot) > 1
		if p.sourceOverloaded {
			cool = p.mostSpare()
		}
		spare := (p.fillLimit(goal) - p.utilization(cool)) * cool.Capacity
		rate := min(excess/hot.ServiceSeconds, spare/cool.ServiceSeconds)
		maxKeyRate := maxKeyRateRatio * rate
		if p.sourceOverloaded {
			maxKeyRate = max(maxKeyRate, spare/cool.ServiceSeconds)
		}
		if min(excess, spare) < p.cfg.MinMoveShare*hot.Capacity || !p.moveShortestRange(hot, cool, rate, maxKeyRate) {
			skipped[hot.ID] = true
		}
	}
}

// hotLevel returns the utilization from which a target gives keys away.
func (p *rangePlan) hotLevel(t *RangeTarget, mean float64) float64 {
	if t.Limited {
		return limitedHotUtilization
	}
	return max(p.cfg.HotUtilization, p.cfg.ImbalanceRatio*mean)
}

// reliefGoal returns the utilization to which a target is brought, goal without a
// limit.
func (p *rangePlan) reliefGoal(t *RangeTarget, goal float64) float64 {
	if t.Limited {
		return limitedGoal
	}
	return goal
}

// utilizationStdDev returns the standard deviation of a target's measured
// utilization.
func (p *rangePlan) utilizationStdDev(t *RangeTarget) float64 {
	rate := p.load[t.ID] / t.ServiceSeconds
	return math.Sqrt(max(0, rate)*p.in.RateVariance) * t.ServiceSeconds / t.Capacity
}

// reliefShare is the share of the hot level to which hot targets are brought if
// the mean is lower.
const reliefShare = 0.6

// urgentFillShare is the share of the hot level up to which targets take keys
// from an overloaded one. Below 1, it keeps them from becoming hot themselves.
const urgentFillShare = 0.9

// fillLimit returns the utilization up to which a target takes keys from a hot
// one. The limit is higher when the hot one is overloaded: within goal, not even
// one key of a hot range may fit.
func (p *rangePlan) fillLimit(goal float64) float64 {
	if p.sourceOverloaded {
		return max(goal, p.cfg.HotUtilization*urgentFillShare)
	}
	return goal
}

// mergeQuietRanges gives quiet ranges to the owner of a neighbouring range that
// has spare capacity. Ranges with the fewest keys go first, since the cost of a
// move grows with its number of keys.
func (p *rangePlan) mergeQuietRanges() {
	for n := 0; n < maxMergedRanges && len(p.moves) < p.cfg.MaxMoves; n++ {
		if float64(len(p.table.Ranges)) <= p.cfg.MaxRangesPerTarget*float64(len(p.in.Targets)) {
			return
		}
		s, to := p.smallestQuietRange()
		if to == nil {
			return
		}
		p.move(s.From, s.To, to)
	}
}

// smallestQuietRange returns the quiet range with the fewest keys that can be
// merged with a neighbouring one, and the target that would own it, or nil.
func (p *rangePlan) smallestQuietRange() (best KeyRange, owner *RangeTarget) {
	for i, s := range p.table.Ranges {
		if owner != nil && s.Len() >= best.Len() || p.rate(s.From, s.To) > p.cfg.QuietRate || !p.movable(s) || p.targets[s.Owner].Limited {
			continue
		}
		if to := p.mergeReceiver(i); to != nil {
			best, owner = s, to
		}
	}
	return best, owner
}

// maxMergedRanges limits the quiet ranges that one plan merges.
const maxMergedRanges = 2

// mergeReceiver returns the less utilized owner of the two ranges next to range
// i that accepts keys and is below the hot level, or nil.
func (p *rangePlan) mergeReceiver(i int) *RangeTarget {
	var best *RangeTarget
	for _, j := range []int{i - 1, i + 1} {
		if j < 0 || j >= len(p.table.Ranges) || !p.movable(p.table.Ranges[j]) {
			continue
		}
		t := p.targets[p.table.Ranges[j].Owner]
		if t.takesKeys() && p.utilization(t) < p.cfg.HotUtilization && (best == nil || p.utilization(t) < p.utilization(best)) {
			best = t
		}
	}
	return best
}

// movable reports whether a range may be moved for balance.
func (p *rangePlan) movable(s KeyRange) bool {
	return p.targets[s.Owner] != nil && len(s.PreviousOwners) == 0 && (p.in.Movable == nil || p.in.Movable(s))
}

// moveShortestRange moves the shortest key range with about the given rate, in
// requests per second, and reports whether it found one that lowers the
// imbalance. Single keys with a rate above maxKeyRate stay.
func (p *rangePlan) moveShortestRange(from, to *RangeTarget, rate, maxKeyRate float64) bool {
	if rate <= 0 {
		return false
	}
	best := RangeMove{From: -1}
	for _, s := range p.table.Ranges {
		if s.Owner != from.ID || !p.movable(s) {
			continue
		}
		if lo, hi, ok := p.shortestRange(s, rate, maxKeyRate, p.cfg.MinMoveShare*from.Capacity/from.ServiceSeconds); ok && (best.From < 0 || hi-lo < best.To-best.From) {
			best = RangeMove{From: lo, To: hi}
		}
	}
	if best.From < 0 {
		return false
	}
	// A heavier range would only swap the roles of the two targets.
	moved := p.rate(best.From, best.To)
	if (p.load[to.ID]+moved*to.ServiceSeconds)/to.Capacity >= p.utilization(from) {
		return false
	}
	p.move(best.From, best.To, to)
	return true
}

// shortestRange returns the shortest part of a range with at least the given
// rate. A single key with a rate above maxKeyRate stays; the keys beside it move
// instead if they have at least minRate.
func (p *rangePlan) shortestRange(s KeyRange, rate, maxKeyRate, minRate float64) (lo, hi int, ok bool) {
	best := RangeMove{From: -1}
	from := s.From
	for k := s.From; k <= s.To+1; k++ {
		if k <= s.To && p.rate(k, k) <= maxKeyRate {
			continue
		}
		if from < k {
			piece := KeyRange{From: from, To: k - 1}
			whole := from == s.From && k == s.To+1
			if lo, hi, ok := p.shortestInPiece(piece, rate, minRate, whole); ok && (best.From < 0 || hi-lo < best.To-best.From) {
				best = RangeMove{From: lo, To: hi}
			}
		}
		from = k + 1
	}
	return best.From, best.To, best.From >= 0
}

// maxKeyRateRatio is the ratio of a single key's rate to the rate that is to be
// moved above which the key stays.
const maxKeyRateRatio = 1.5

// shortestInPiece returns the shortest part of a piece with at least the given
// rate. whole says that the piece is an entire range, which is divided rather than
// returned: without a shorter part, but with minRate and half of the given rate,
// its first keys with up to half of its rate are returned. An entire range of one
// key is returned only if the source is overloaded. Any other piece with a lower
// rate is returned if it has minRate.
func (p *rangePlan) shortestInPiece(s KeyRange, rate, minRate float64, whole bool) (lo, hi int, ok bool) {
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
	case total < minRate || whole && total < rate/2:
		return 0, 0, false
	case whole && s.Len() > 1:
		return s.From, p.lastKeyWithin(s.From, s.To-1, total/2), true
	}
	return s.From, s.To, !whole || p.sourceOverloaded
}
