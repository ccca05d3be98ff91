package examples

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// A user tries the examples first, so they must load and match the documentation.
func TestLoad(t *testing.T) {
	Convey("the examples have the sizes of the design page and the documented tokens", t, func() {
		for name, want := range map[string]map[string]int{
			"andaimes": {"lookups": 20, "registrations": 8, "archive": 8},
			"toise":    {"templates": 15, "orders": 10, "proofs": 6},
		} {
			d, err := Load(name)
			So(err, ShouldBeNil)
			got := map[string]int{}
			for _, x := range d.Targets {
				got[x.Workload]++
			}
			So(got, ShouldResemble, want)
			So(len(d.Contracts), ShouldBeGreaterThanOrEqualTo, 3)
			for _, c := range d.Contracts {
				sum := sha256.Sum256([]byte(TokenPrefix + c.Customer))
				So(c.CredentialHashes[0], ShouldEqual, hex.EncodeToString(sum[:]))
			}
		}
	})
	Convey("an unknown name is a typed error", t, func() {
		_, err := Load("nowhere")
		So(err, ShouldHaveSameTypeAs, &UnknownError{})
	})
}
