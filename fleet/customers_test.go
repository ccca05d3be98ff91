package fleet

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a credential that opens two customers, and against names that break headers.
func TestCustomers(t *testing.T) {
	Convey("Given customers with ambiguous names and credentials", t, func() {
		s := NewCustomers()
		So(s.Add(Customer{Name: "a", Priority: 2, HasPriority: true}, []string{"k1", "k2"}), ShouldBeEmpty)
		problems := s.Add(Customer{Name: "b"}, []string{"k2", "", "k3"})
		Convey("the first customer keeps a credential, and errors name the field but no credential", func() {
			So(s.ByCredential("k2").Name, ShouldEqual, "a")
			So(s.ByCredential("k3").Name, ShouldEqual, "b")
			So(problems, ShouldHaveLength, 2)
			for _, p := range problems {
				So(p.Field, ShouldEqual, "credentials")
				So(p.Error(), ShouldNotContainSubstring, "k2")
			}
		})
		Convey("unusable customers are left out with their credentials", func() {
			for _, name := range []string{"", "a", "x\r\ny", "x\x00", " x", "é"} {
				So(s.Add(Customer{Name: name}, []string{"k9"}), ShouldHaveLength, 1)
			}
			last := s.Add(Customer{Name: "r", RatePerSecond: -1}, []string{"k9"})[0]
			So(last.Field, ShouldEqual, "rate")
			So(last.Index, ShouldEqual, 8) // customers that were left out count
			So(s.ByCredential("k9"), ShouldBeNil)
			So(s.All(), ShouldHaveLength, 2)
		})
		Convey("an empty credential is nobody's", func() { So(s.ByCredential(""), ShouldBeNil) })
	})
}
