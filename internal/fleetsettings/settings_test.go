package fleetsettings

import (
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const valid = `{"host":"h","domain":"d","callers":"127.0.0.1:1","ready":"127.0.0.1:2","ip":"127.0.0.1","peer_port":3,"metrics_port":4,
"store":"127.0.0.1:5","cpu_share":0.32,"link_mbps":100,"memory_mb":184,"stop_limit_s":6,"retry_ratio":0.2,"retry_extra":60,
"retry_window_s":10,"max_hold_s":10}`

func TestQuarantineSettings(t *testing.T) {
	with := func(field string) (*Settings, error) {
		return Decode([]byte(strings.Replace(valid, "{", "{"+field+",", 1)))
	}
	Convey("Without the settings the defaults hold", t, func() {
		s, err := Decode([]byte(valid))
		So(err, ShouldBeNil)
		So(s.Quarantine().Ends, ShouldEqual, 0)
		So(s.Quarantine().TrialAfter, ShouldEqual, 0)
	})
	Convey("They are passed on with their units", t, func() {
		s, err := with(`"quarantine_ends":4,"quarantine_s":1.5`)
		So(err, ShouldBeNil)
		So(s.Quarantine().Ends, ShouldEqual, 4)
		So(s.Quarantine().TrialAfter, ShouldEqual, 1500*time.Millisecond)
	})
	Convey("Values out of range are named in the error", t, func() {
		for field, name := range map[string]string{
			`"quarantine_ends":1`: "quarantine_ends", `"quarantine_ends":9`: "quarantine_ends", `"quarantine_s":-1`: "quarantine_s", `"quarantine_s":3601`: "quarantine_s",
		} {
			_, err := with(field)
			var invalid *InvalidError
			So(errors.As(err, &invalid), ShouldBeTrue)
			So(invalid.Field, ShouldEqual, name)
			So(invalid.Allowed, ShouldNotBeEmpty)
		}
	})
}

// TestSharedQueuesSetting guards against a misspelt value that is taken as the default.
func TestSharedQueuesSetting(t *testing.T) {
	with := func(field string) (*Settings, error) {
		return Decode([]byte(strings.Replace(valid, "{", "{"+field+",", 1)))
	}
	Convey("Queues are shared by default", t, func() {
		s, err := Decode([]byte(valid))
		So(err, ShouldBeNil)
		So(s.SharesQueues(), ShouldBeTrue)
		for _, value := range []string{"auto", ""} {
			s, err = with(`"shared_queues":"` + value + `"`)
			So(err, ShouldBeNil)
			So(s.SharesQueues(), ShouldBeTrue)
		}
	})
	Convey("They can be turned off", t, func() {
		s, err := with(`"shared_queues":"off"`)
		So(err, ShouldBeNil)
		So(s.SharesQueues(), ShouldBeFalse)
	})
	Convey("Other values are named in the error", t, func() {
		for _, value := range []string{`"of"`, `" "`, `"OFF"`, `false`} {
			_, err := with(`"shared_queues":` + value)
			So(errors.As(err, new(*InvalidError)), ShouldBeTrue)
		}
		_, err := with(`"shared_queues":"of"`)
		So(err.Error(), ShouldEqual, `settings: shared_queues is "of"; allowed: auto, off`)
	})
}
