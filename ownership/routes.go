package ownership

import (
	"maps"
	"slices"
)

// Route names the shard of a key and its owner.
type Route struct {
	// Target owns the shard; empty before the first assignment.
	Target string
	Shard  int32
	// Epoch is that of the assignment to Target.
	Epoch uint64
	// Active says that Target may serve the shard. If it is false, requests wait for the
	// release of the previous owner.
	Active bool
}

// Routes is a read-only lookup compiled from a Table. It is safe for
// concurrent use and shares nothing with the Table.
type Routes struct {
	workloads map[string]*workloadRoutes
	targets   []string
}

type workloadRoutes struct {
	hashedShards int32
	entries      []routeEntry
	hotKeys      map[string]int32
}

// routeEntry takes 16 bytes, so that the entries of a large workload fit into
// the processor's second-level cache.
type routeEntry struct {
	epoch  uint64
	target int32
	active bool
}

// Compile returns the routes of a table.
func Compile(t *Table) *Routes { return (&Routes{}).Next(t) }

// Next returns the routes of a later table and leaves r unchanged. It is faster
// than Compile when few shards have changed.
func (r *Routes) Next(t *Table) *Routes {
	next := &Routes{workloads: make(map[string]*workloadRoutes, len(t.Workloads)), targets: slices.Clone(r.targets)}
	if len(next.targets) == 0 {
		next.targets = []string{""}
	}
	indexes := make(map[string]int32, len(next.targets))
	for n, name := range next.targets {
		indexes[name] = int32(n)
	}
	for name, w := range t.Workloads {
		wr := &workloadRoutes{hashedShards: w.HashedShards, entries: make([]routeEntry, len(w.Shards)), hotKeys: maps.Clone(w.HotKeys)}
		var old []routeEntry
		if previous := r.workloads[name]; previous != nil {
			old = previous.entries
		}
		for n, s := range w.Shards {
			var index int32
			if n < len(old) && next.targets[old[n].target] == s.Owner {
				index = old[n].target
			} else {
				index = next.internName(indexes, s.Owner)
			}
			wr.entries[n] = routeEntry{epoch: s.Epoch, target: index, active: s.Active()}
		}
		next.workloads[name] = wr
	}
	return next
}

func (r *Routes) internName(indexes map[string]int32, name string) int32 {
	index, ok := indexes[name]
	if !ok {
		index = int32(len(r.targets))
		indexes[name] = index
		r.targets = append(r.targets, name)
	}
	return index
}

// Lookup returns the route of a key, or false if the workload is unknown or
// has no shards. It does not allocate.
func (r *Routes) Lookup(workload, key string) (Route, bool) {
	w := r.workloads[workload]
	if w == nil || w.hashedShards <= 0 {
		return Route{}, false
	}
	if len(w.hotKeys) > 0 {
		if n, ok := w.hotKeys[key]; ok {
			return r.route(w, n), true
		}
	}
	return r.route(w, hashShard(key, w.hashedShards)), true
}

// Shard returns the route of a shard, or false if it is unknown.
func (r *Routes) Shard(id ID) (Route, bool) {
	w := r.workloads[id.Workload]
	if w == nil || id.Shard < 0 || int(id.Shard) >= len(w.entries) {
		return Route{}, false
	}
	return r.route(w, id.Shard), true
}

func (r *Routes) route(w *workloadRoutes, n int32) Route {
	e := w.entries[n]
	return Route{Target: r.targets[e.target], Shard: n, Epoch: e.epoch, Active: e.active}
}
