package journal

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/boragelock/boragelock/contract"
)

// A removed granter that cannot read the log may still renew leases; a
// takeover that does not count it would make two owners.
func TestRemovedGranterRetires(t *testing.T) {
	Convey("a granters record that leaves out a member keeps it as retiring", t, func() {
		s := NewState()
		apply := func(id string, kind Kind, body any) Result {
			data, err := Encode(id, kind, body)
			So(err, ShouldBeNil)
			res, err := s.Apply(s.Next, data)
			So(err, ShouldBeNil)
			return res
		}
		a, b, c := Member{Host: "a", Incarnation: "1"}, Member{Host: "b", Incarnation: "1"}, Member{Host: "c", Incarnation: "1"}
		apply("1", KindBootstrap, Bootstrap{Name: "x", IsolatedServeMS: -1, Domains: []contract.Domain{{Name: "d"}}})
		So(apply("2", KindGranters, Granters{Domain: "d", Members: []Member{a, b}}).Outcome, ShouldEqual, Applied)
		So(apply("3", KindGranters, Granters{Domain: "d", FromVersion: 1, Members: []Member{b, c}}).Outcome, ShouldEqual, Applied)
		So(s.Granters["d"].Retiring, ShouldResemble, []Member{{Host: "a", Incarnation: "1", AddedAt: 2}})

		So(apply("4", KindGranters, Granters{Domain: "d", FromVersion: 2, Members: []Member{b, c}}).Outcome, ShouldEqual, Applied)
		So(s.Granters["d"].Retiring, ShouldBeEmpty)
	})
}
