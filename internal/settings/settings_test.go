package settings

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const minimal = `{"name":"a1","domain":"a","http":{"listen":"127.0.0.1:8080","forward_listen":"127.0.0.1:8081"},
"peer":{"listen":"127.0.0.1:8082"},"operator":{"listen":"127.0.0.1:8083"},
"log_urls":["http://127.0.0.1:9000"],"host_list_url":"http://127.0.0.1:9001"`

func TestParse(t *testing.T) {
	Convey("a minimal file gets the defaults", t, func() {
		s, err := Parse([]byte(minimal + "}"))
		So(err, ShouldBeNil)
		So(s.Timings.LeaseMS, ShouldEqual, 800)
		So(s.HTTP.Advertise, ShouldEqual, "127.0.0.1:8081")
	})
	// An entry host that starts with a mistyped setting runs with a default
	// that nobody chose.
	Convey("a wrong field is refused by its path", t, func() {
		for add, field := range map[string]string{
			`,"timings":{"lease_mss":1}`:                            "timings.lease_mss",
			`,"timings":{"lease_ms":"1"}`:                           "timings.lease_ms",
			`,"timings":{"lease_ms":1}`:                             "timings.lease_ms",
			`,"timings":{"lease_ms":1.5}`:                           "timings.lease_ms",
			`,"timings":{"renew_ms":700}`:                           "timings.renew_ms",
			`,"timings":null`:                                       "timings",
			`,"name":"a2"`:                                          "name",
			`,"seed_peers":["0.0.0.0:1"]`:                           "seed_peers[0]",
			`,"seed_peers":[7]`:                                     "seed_peers[0]",
			`,"tls":{"cert":"x"}`:                                   "tls.key",
			`,"unsafe_disable":["fences"]`:                          "unsafe_disable[0]",
			`,"log_level":"loud"`:                                   "log_level",
			`,"tracing":{"exporter":"tcp"}`:                         "tracing.exporter",
			`,"deployment":{"name":"x","domain":[]}`:                "deployment.domain",
			`,"deployment":{"name":"x"}`:                            "deployment.domains",
			`,"deployment":{"name":"x","domains":[{"name":false}]}`: "deployment.domains[0].name",
			`,"deployment":7`:                                       "deployment",
			`} {`:                                                   "",
		} {
			_, err := Parse([]byte(minimal + add + "}"))
			var invalid *InvalidError
			So(errors.As(err, &invalid), ShouldBeTrue)
			So(invalid.Field, ShouldEqual, field)
			So(invalid.Allowed, ShouldNotBeBlank)
		}
	})
	// Anyone on the network could change contracts and take domains out.
	Convey("an operator interface on the network needs tls", t, func() {
		const listen = `"operator":{"listen":"127.0.0.1:`
		So(minimal, ShouldContainSubstring, listen)
		open := strings.Replace(minimal, listen, `"operator":{"listen":"10.0.0.1:`, 1)
		_, err := Parse([]byte(open + "}"))
		So(err, ShouldNotBeNil)
		So(err.(*InvalidError).Field, ShouldEqual, "operator.listen")
		_, err = Parse([]byte(open + `,"tls":{"cert":"a","key":"b","ca":"c"}}`))
		So(err, ShouldBeNil)
	})
	Convey("each required field is missed", t, func() {
		_, err := Parse([]byte(`{}`))
		So(err, ShouldNotBeNil)
		_, err = Parse([]byte(strings.Replace(minimal, `"log_urls":["http://127.0.0.1:9000"],`, "", 1) + "}"))
		So(err.(*InvalidError).Field, ShouldEqual, "log_urls")
	})
}

// A setting that the page does not list cannot be found by its users.
func TestPageListsEachField(t *testing.T) {
	Convey("docs/settings.md lists each field", t, func() {
		page, err := os.ReadFile("../../docs/settings.md")
		So(err, ShouldBeNil)
		for _, path := range paths("", reflect.TypeFor[Settings]()) {
			So(string(page), ShouldContainSubstring, "| `"+path+"` |")
		}
	})
}

func paths(at string, t reflect.Type) []string {
	var out []string
	for i, name := range names(t) {
		if f := t.Field(i).Type; f.Kind() == reflect.Struct && f != deploymentType {
			out = append(out, paths(join(at, name), f)...)
			continue
		}
		out = append(out, join(at, name))
	}
	return out
}

// FuzzParse guards against a panic or an untyped error on any input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal + "}"))
	f.Add([]byte(minimal + `,"deployment":{"name":"x","domains":[{"name":"a"}],"workloads":[{"name":"w"}]}}`))
	f.Add([]byte(`{"timings":{"lease_ms":1e9},"limits":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse(data)
		var invalid *InvalidError
		if err != nil && !errors.As(err, &invalid) {
			t.Fatalf("untyped error %T: %v", err, err)
		}
	})
}
