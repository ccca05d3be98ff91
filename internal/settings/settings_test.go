package settings

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const minimalSettings = `{"name":"a1","domain":"a","http":{"listen":"127.0.0.1:8080","forward_listen":"127.0.0.1:8081"},
"peer":{"listen":"127.0.0.1:8082"},"operator":{"listen":"127.0.0.1:8083"},
"log_urls":["http://127.0.0.1:9000"],"host_list_url":"http://127.0.0.1:9001"`

func TestParse(t *testing.T) {
	Convey("a minimal file gets the defaults", t, func() {
		s, err := Parse([]byte(minimalSettings + "}"))
		So(err, ShouldBeNil)
		So(s.Timings.LeaseMS, ShouldEqual, 800)
		So(s.HTTP.Advertise, ShouldEqual, "127.0.0.1:8081")
	})
	// If a mistyped setting were ignored, the entry host would run with the
	// default of the setting that was meant.
	Convey("a wrong field is refused by its path", t, func() {
		for suffix, field := range map[string]string{
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
			_, err := Parse([]byte(minimalSettings + suffix + "}"))
			var invalid *InvalidError
			So(errors.As(err, &invalid), ShouldBeTrue)
			So(invalid.Field, ShouldEqual, field)
			So(invalid.Allowed, ShouldNotBeBlank)
		}
	})
	// Without TLS anyone on the network could change contracts and take domains
	// out.
	Convey("an operator interface on the network needs tls", t, func() {
		const listen = `"operator":{"listen":"127.0.0.1:`
		So(minimalSettings, ShouldContainSubstring, listen)
		networkListen := strings.Replace(minimalSettings, listen, `"operator":{"listen":"10.0.0.1:`, 1)
		_, err := Parse([]byte(networkListen + "}"))
		So(err, ShouldNotBeNil)
		So(err.(*InvalidError).Field, ShouldEqual, "operator.listen")
		_, err = Parse([]byte(networkListen + `,"tls":{"cert":"a","key":"b","ca":"c"}}`))
		So(err, ShouldBeNil)
	})
	Convey("each required field is missed", t, func() {
		_, err := Parse([]byte(`{}`))
		So(err, ShouldNotBeNil)
		_, err = Parse([]byte(strings.Replace(minimalSettings, `"log_urls":["http://127.0.0.1:9000"],`, "", 1) + "}"))
		So(err.(*InvalidError).Field, ShouldEqual, "log_urls")
	})
}

// TestPageListsEachField guards against a setting that is missing from
// docs/settings.md.
func TestPageListsEachField(t *testing.T) {
	Convey("docs/settings.md lists each field", t, func() {
		page, err := os.ReadFile("../../docs/settings.md")
		So(err, ShouldBeNil)
		for _, path := range settingPaths("", reflect.TypeFor[Settings]()) {
			So(string(page), ShouldContainSubstring, "| `"+path+"` |")
		}
	})
}

func settingPaths(at string, t reflect.Type) []string {
	var out []string
	for i, name := range jsonNames(t) {
		if f := t.Field(i).Type; f.Kind() == reflect.Struct && f != deploymentType {
			out = append(out, settingPaths(joinPath(at, name), f)...)
			continue
		}
		out = append(out, joinPath(at, name))
	}
	return out
}

// FuzzParse guards against a panic or an untyped error on any input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSettings + "}"))
	f.Add([]byte(minimalSettings + `,"deployment":{"name":"x","domains":[{"name":"a"}],"workloads":[{"name":"w"}]}}`))
	f.Add([]byte(`{"timings":{"lease_ms":1e9},"limits":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse(data)
		var invalid *InvalidError
		if err != nil && !errors.As(err, &invalid) {
			t.Fatalf("untyped error %T: %v", err, err)
		}
	})
}
