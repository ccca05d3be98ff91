package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/boragelock/boragelock/journal"
)

// granterNames lists the granters of a domain in the view of a host.
func granterNames(h *testHost, domain string) []string {
	var out []string
	for _, m := range h.View().State.Granters[domain].Members {
		out = append(out, m.Host)
	}
	return out
}

// A granter that was taken off the list while it was slow must come back, and
// the list must then rest. Proposing a host that still retires is refused by
// the fold, so a leader that does it appends a record at every interval.
func TestRemovedGranterReturns(t *testing.T) {
	s := newTestSystem(t, 1, 2)
	h := s.startAll(1, 3)
	full := func() bool { return len(granterNames(h, "d0")) == granterCount }
	s.eventually(5*time.Second, "list of granters complete", full)
	g := h.View().State.Granters["d0"]
	next := journal.Granters{Domain: "d0", FromVersion: g.Version, Members: g.Members[:1], Retiring: g.Members[1:]}
	if res, err := h.Append(context.Background(), journal.KindGranters, next); err != nil || res.Outcome != journal.Applied {
		t.Fatalf("list of granters: %+v %v", res, err)
	}
	s.eventually(5*time.Second, "list of granters complete again", full)
	time.Sleep(300 * time.Millisecond)
	before := h.View().State.Next
	time.Sleep(time.Second)
	if after := h.View().State.Next; after != before {
		t.Errorf("%d records within a second after the list was complete", after-before)
	}
}

// assignment returns the owner and epoch of each shard.
func assignment(h *testHost) string {
	out := ""
	for n, sh := range h.View().State.Table.Workloads["lookups"].Shards {
		out += fmt.Sprintf("%d:%s@%d ", n, sh.Owner, sh.Epoch)
	}
	return out
}

// Entry hosts keep nothing on disk, so a restart of all of them at once must
// find every assignment on the log and must not move anything.
func TestRestartOfAllHostsKeepsAssignments(t *testing.T) {
	s := newTestSystem(t, 2, 2)
	h := s.startAll(2, 2)
	before := assignment(h)
	names := []string{"d0-e0", "d0-e1", "d1-e0", "d1-e1"}
	for _, name := range names {
		s.kill(name)
	}
	for _, name := range names {
		s.start(name, name[:2], "2")
	}
	h = s.hosts["d0-e0"]
	s.eventually(10*time.Second, "all shards served after the restart", func() bool { return s.serving(h) })
	if after := assignment(h); after != before {
		t.Errorf("assignment after the restart\n%s\nwant\n%s", after, before)
	}
}
