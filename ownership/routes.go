package ownership

import (
	"maps"
	"slices"
)

// Route is the place of a key.
type Route struct {
	// Target owns the shard; empty before the first assignment.
	Target string
	Shard  int32
	// Epoch is the one under which Target holds the shard.
	Epoch uint64
	// Active says that Target may act. When it is false, requests wait for the
	// release of the former owner.
	Active bool
}

// Routes is a read-only lookup compiled from a Table. It is safe for
// concurrent use and shares nothing with the Table.
type Routes struct {
	workloads map[string]*workloadRoutes
	names     []string
}

type workloadRoutes struct {
	base    int32
	entries []routeEntry
	hot     map[string]int32
}

// routeEntry is kept at 16 bytes, so that the entries of a large workload fit
// into the processor's second-level cache.
type routeEntry struct {
	epoch  uint64
	name   int32
	active bool
}

// Compile returns the routes of a table.
func Compile(t *Table) *Routes { return (&Routes{}).Next(t) }

// Next returns the routes of a later table. It is faster than Compile when few
// shards have changed; r is unchanged.
func (r *Routes) Next(t *Table) *Routes {
	next := &Routes{workloads: make(map[string]*workloadRoutes, len(t.Workloads)), names: slices.Clone(r.names)}
	if len(next.names) == 0 {
		next.names = []string{""}
	}
	index := make(map[string]int32, len(next.names))
	for n, name := range next.names {
		index[name] = int32(n)
	}
	for name, w := range t.Workloads {
		wr := &workloadRoutes{base: w.HashedShards, entries: make([]routeEntry, len(w.Shards)), hot: maps.Clone(w.HotKeys)}
		var old []routeEntry
		if was := r.workloads[name]; was != nil {
			old = was.entries
		}
		for n, s := range w.Shards {
			var at int32
			if n < len(old) && next.names[old[n].name] == s.Owner {
				at = old[n].name
			} else {
				at = next.nameOf(index, s.Owner)
			}
			wr.entries[n] = routeEntry{epoch: s.Epoch, name: at, active: s.Active()}
		}
		next.workloads[name] = wr
	}
	return next
}

func (r *Routes) nameOf(index map[string]int32, name string) int32 {
	at, ok := index[name]
	if !ok {
		at = int32(len(r.names))
		index[name] = at
		r.names = append(r.names, name)
	}
	return at
}

// Lookup returns the route of a key, or false when the workload is unknown or
// has no shards. It does not allocate.
func (r *Routes) Lookup(workload, key string) (Route, bool) {
	w := r.workloads[workload]
	if w == nil || w.base <= 0 {
		return Route{}, false
	}
	if len(w.hot) > 0 {
		if n, ok := w.hot[key]; ok {
			return r.route(w, n), true
		}
	}
	return r.route(w, hashShard(key, w.base)), true
}

// Shard returns the route of a shard by its number.
func (r *Routes) Shard(id ID) (Route, bool) {
	w := r.workloads[id.Workload]
	if w == nil || id.Shard < 0 || int(id.Shard) >= len(w.entries) {
		return Route{}, false
	}
	return r.route(w, id.Shard), true
}

func (r *Routes) route(w *workloadRoutes, n int32) Route {
	e := w.entries[n]
	return Route{Target: r.names[e.name], Shard: n, Epoch: e.epoch, Active: e.active}
}
