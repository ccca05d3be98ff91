package control

import (
	"sync"

	"github.com/boragelock/boragelock/ownership"
)

// loadTable holds the measured load of shards and hot keys that the planner
// balances by.
type loadTable struct {
	mu  sync.Mutex
	ids map[ownership.ID]float64
	hot []ownership.KeyLoad
}

func newLoadTable() *loadTable { return &loadTable{ids: map[ownership.ID]float64{}} }

// plan returns the loads in the form that the planner takes.
func (l *loadTable) plan() (map[ownership.ID]float64, []ownership.KeyLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ids, l.hot
}
