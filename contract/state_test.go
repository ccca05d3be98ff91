package contract

import (
	"errors"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Any tool may write a change to the log, so each host must refuse an invalid
// change and leave the state unchanged.
func TestRefusedChanges(t *testing.T) {
	Convey("changes that break a rule name the field", t, func() {
		s, err := NewState(Deployment{
			Name: "x", Domains: []Domain{{Name: "d1"}, {Name: "d2"}}, Workloads: []Workload{{Name: "w"}},
			Targets: []Target{{Name: "t", Workload: "w", Domain: "d1", Addr: "127.0.0.1:1", Slots: 1, MaxConnections: 1}},
		})
		So(err, ShouldBeNil)
		hash := func(c string) string { return strings.Repeat(c, 64) }
		for field, item := range map[string]Item{
			"items[0].target.state":               {Target: &SetState{Name: "t", State: StateLost}},
			"items[0].host.name":                  {Host: &SetState{State: StateOut}},
			"items[0].isolation.serve_ms":         {Isolation: &Isolation{ServeMS: -2}},
			"items[0].contract.credential_hashes": {Contract: &Contract{Customer: "c", CredentialHashes: []string{hash("a"), hash("b"), hash("c")}}},
			"items[0].contract.weight":            {Contract: &Contract{Customer: "c", CredentialHashes: []string{hash("a")}, RatePerSecond: 1, Burst: 1, Concurrency: 1}},
			"items[0].add_target.name":            {AddTarget: &Target{Name: "t", Workload: "w", Domain: "d2", Addr: "127.0.0.1:1", Slots: 1, MaxConnections: 1}},
			"items[0].domain.name":                {Domain: &SetState{Name: "d3", State: StateOut}},
		} {
			_, err := s.Apply(Change{FromVersion: 1, Items: []Item{item}})
			var invalid *InvalidError
			So(errors.As(err, &invalid), ShouldBeTrue)
			So(invalid.Field, ShouldEqual, field)
		}
		_, err = s.Apply(Change{FromVersion: 1, Items: []Item{{Domain: &SetState{Name: "d2", State: StateOut}}, {Target: &SetState{Name: "t", State: StateLost}}}})
		So(err, ShouldNotBeNil)
		So(s.Domains["d2"].State, ShouldBeEmpty)
		So(s.Version, ShouldEqual, 1)
	})
}
