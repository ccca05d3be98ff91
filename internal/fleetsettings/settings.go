// Package fleetsettings decodes and checks the settings of the gateway daemon.
// deploy/settings.json.tmpl shows how the users' platform fills them in.
package fleetsettings

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/boragelock/boragelock/quarantine"
)

// Settings are the settings of one gateway daemon.
type Settings struct {
	// Host and Domain name the host and its failure domain.
	Host   string `json:"host"`
	Domain string `json:"domain"`
	// Fleet names the fleet, the same on all its hosts. Hosts that name different fleets do not
	// follow each other. Default: not named, which fits any.
	Fleet string `json:"fleet"`
	// CallerAddress and ReadyAddress are the listen addresses for callers and for the
	// balancer's readiness probe. IP is the host's address for the two ports below.
	CallerAddress string `json:"callers"`
	ReadyAddress  string `json:"ready"`
	IP            string `json:"ip"`
	// PeerPort is the port on IP for other hosts, MetricsPort the one for metrics.
	PeerPort    int `json:"peer_port"`
	MetricsPort int `json:"metrics_port"`
	// StoreAddress is the address of the platform's store.
	StoreAddress string `json:"store"`
	// CPUShare is the number of cores, which may be a fraction, and LinkMbps the
	// bandwidth in megabits per second that the host has.
	CPUShare float64 `json:"cpu_share"`
	LinkMbps float64 `json:"link_mbps"`
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB int `json:"memory_mb"`
	// StopLimitSeconds is the time from SIGTERM to the end of the process.
	StopLimitSeconds float64 `json:"stop_limit_s"`
	// RetryRatio, RetryExtra and RetryWindowSeconds are the retry budget of all hosts
	// together: ratio x requests + extra in a window.
	RetryRatio         float64 `json:"retry_ratio"`
	RetryExtra         float64 `json:"retry_extra"`
	RetryWindowSeconds float64 `json:"retry_window_s"`
	// MaxKeyLeaseSeconds is the longest key lease that targets accept.
	MaxKeyLeaseSeconds float64 `json:"max_hold_s"`
	// MaxFDs is the number of descriptors that the process may have, 0 for the limit that it
	// runs with.
	MaxFDs int `json:"max_fds"`
	// QuarantineEnds is the number of targets that end under a request before it is
	// refused, QuarantineSeconds the time from then to its first trial. 0 for the defaults
	// of package quarantine.
	QuarantineEnds    int     `json:"quarantine_ends"`
	QuarantineSeconds float64 `json:"quarantine_s"`
	// SharedQueues is auto or off. With auto the hosts share the slots of targets where the
	// desired state allows it (package slots). Empty: auto.
	SharedQueues string `json:"shared_queues"`
	// AdaptivePace says that, where slots are shared, package pace limits the requests to
	// targets that have started or recovered, in place of backoff and cold tokens.
	AdaptivePace bool `json:"adaptive_pace"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
}

// InvalidError reports an invalid setting.
type InvalidError struct {
	// Field is the name of the setting, Value its value, Allowed the allowed values.
	Field, Value, Allowed string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("settings: %s is %q; allowed: %s", e.Field, e.Value, e.Allowed)
}

// Load reads and checks a settings file. It fails with *InvalidError.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, &InvalidError{Field: "file", Value: path, Allowed: "a readable file: " + err.Error()}
	}
	return Decode(b)
}

// Decode decodes and checks settings. Unknown fields are ignored, since the
// platform may add some. It fails with *InvalidError.
func Decode(b []byte) (*Settings, error) {
	s := &Settings{LogLevel: "info"}
	if err := json.Unmarshal(b, s); err != nil {
		return nil, &InvalidError{Field: "file", Value: err.Error(), Allowed: "a JSON object"}
	}
	return s, s.check()
}

func (s *Settings) check() error {
	for _, f := range []struct{ name, value string }{{"host", s.Host}, {"domain", s.Domain}, {"ip", s.IP}} {
		if f.value == "" {
			return &InvalidError{Field: f.name, Value: f.value, Allowed: "a name"}
		}
	}
	for _, f := range []struct{ name, value string }{{"callers", s.CallerAddress}, {"ready", s.ReadyAddress}, {"store", s.StoreAddress}} {
		if _, _, err := net.SplitHostPort(f.value); err != nil {
			return &InvalidError{Field: f.name, Value: f.value, Allowed: "HOST:PORT"}
		}
	}
	for _, f := range []numberRange{
		{"peer_port", float64(s.PeerPort), 1, 65535}, {"metrics_port", float64(s.MetricsPort), 1, 65535},
		{"cpu_share", s.CPUShare, 0.001, 1024}, {"link_mbps", s.LinkMbps, 0.001, 1e7},
		{"memory_mb", float64(s.MemoryMB), 32, 1 << 20}, {"stop_limit_s", s.StopLimitSeconds, 1, 600},
		{"retry_ratio", s.RetryRatio, 0, 1}, {"retry_extra", s.RetryExtra, 0, 1e6},
		{"retry_window_s", s.RetryWindowSeconds, 1, 600}, {"max_hold_s", s.MaxKeyLeaseSeconds, 0.5, 600},
	} {
		if err := f.check(); err != nil {
			return err
		}
	}
	for _, f := range []numberRange{{"max_fds", float64(s.MaxFDs), 64, 1 << 24}, {"quarantine_ends", float64(s.QuarantineEnds), 2, 8}, {"quarantine_s", s.QuarantineSeconds, 1, 3600}} {
		if err := f.check(); err != nil && f.value != 0 {
			return err
		}
	}
	switch s.SharedQueues {
	case "", sharedQueuesAuto, sharedQueuesOff:
	default:
		return &InvalidError{Field: "shared_queues", Value: s.SharedQueues, Allowed: "auto, off"}
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
		return nil
	}
	return &InvalidError{Field: "log_level", Value: s.LogLevel, Allowed: "debug, info, warn, error"}
}

// The values of Settings.SharedQueues.
const (
	sharedQueuesAuto = "auto"
	sharedQueuesOff  = "off"
)

// SharesQueues reports whether the host shares queues where the desired state allows it.
func (s *Settings) SharesQueues() bool { return s.SharedQueues != sharedQueuesOff }

// numberRange is a numeric setting and its allowed range.
type numberRange struct {
	name            string
	value, min, max float64
}

func (f numberRange) check() error {
	if !(f.value >= f.min && f.value <= f.max) {
		return &InvalidError{Field: f.name, Value: fmt.Sprint(f.value), Allowed: fmt.Sprintf("%g to %g", f.min, f.max)}
	}
	return nil
}

// Quarantine returns the rules for requests under which targets end.
func (s *Settings) Quarantine() quarantine.Config {
	return quarantine.Config{Ends: s.QuarantineEnds, TrialAfter: time.Duration(s.QuarantineSeconds * float64(time.Second))}
}

// StopLimit returns the time from SIGTERM to the end of the process.
func (s *Settings) StopLimit() time.Duration {
	return time.Duration(s.StopLimitSeconds * float64(time.Second))
}

// MaxKeyLease returns the longest key lease that targets accept.
func (s *Settings) MaxKeyLease() time.Duration {
	return time.Duration(s.MaxKeyLeaseSeconds * float64(time.Second))
}

// RetryWindow returns the window of the retry budget.
func (s *Settings) RetryWindow() time.Duration {
	return time.Duration(s.RetryWindowSeconds * float64(time.Second))
}
