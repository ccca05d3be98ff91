package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"slices"

	"github.com/boragelock/boragelock/contract"
)

// maxDurationMS limits every duration to one hour.
const maxDurationMS = 3_600_000

func (s *Settings) setAdvertiseDefaults() {
	if s.HTTP.Advertise == "" {
		s.HTTP.Advertise = s.HTTP.ForwardListen
	}
	if s.Peer.Advertise == "" {
		s.Peer.Advertise = s.Peer.Listen
	}
}

func (s *Settings) validate() error {
	checks := []func() error{
		s.validateNames, s.validateAddresses, s.validateURLs, s.validateTimings,
		s.validateLimits, s.validateTracing, s.validateTLS, s.validateUnsafeDisable,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	if s.Deployment.Inline != nil {
		return validateDeployment("deployment", *s.Deployment.Inline)
	}
	return nil
}

func (s *Settings) validateNames() error {
	for _, f := range []struct{ path, value string }{{"name", s.Name}, {"domain", s.Domain}} {
		if !validName(f.value) {
			return &InvalidError{Field: f.path, Value: quoted(f.value), Allowed: "1 to 63 letters, digits, '-' or '_' (required)"}
		}
	}
	levels := []string{"trace", "debug", "info", "warn", "error"}
	if !slices.Contains(levels, s.LogLevel) {
		return &InvalidError{Field: "log_level", Value: quoted(s.LogLevel), Allowed: "trace, debug, info, warn or error"}
	}
	return nil
}

// validName excludes the dot, which separates the parts of request identifiers.
func validName(name string) bool {
	if name == "" || len(name) > 63 {
		return false
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '_' {
			return false
		}
	}
	return true
}

func (s *Settings) validateAddresses() error {
	listen := []struct{ path, value string }{
		{"http.listen", s.HTTP.Listen}, {"http.forward_listen", s.HTTP.ForwardListen},
		{"peer.listen", s.Peer.Listen}, {"operator.listen", s.Operator.Listen},
	}
	for _, f := range listen {
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			return &InvalidError{Field: f.path, Value: quoted(f.value), Allowed: "IP address and port (required)"}
		}
	}
	for _, f := range []struct{ path, value string }{{"http.advertise", s.HTTP.Advertise}, {"peer.advertise", s.Peer.Advertise}} {
		if err := checkReachable(f.path, f.value); err != nil {
			return err
		}
	}
	for i, p := range s.SeedPeers {
		if err := checkReachable(fmt.Sprintf("seed_peers[%d]", i), p); err != nil {
			return err
		}
	}
	return nil
}

// checkReachable checks an address that other hosts dial.
func checkReachable(path, value string) error {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Addr().IsUnspecified() || a.Port() == 0 {
		return &InvalidError{Field: path, Value: quoted(value), Allowed: "an IP address that other hosts can reach, and a port other than 0"}
	}
	return nil
}

func (s *Settings) validateURLs() error {
	if len(s.LogURLs) == 0 {
		return &InvalidError{Field: "log_urls", Value: "[]", Allowed: "at least one URL (required)"}
	}
	for i, u := range s.LogURLs {
		if err := checkURL(fmt.Sprintf("log_urls[%d]", i), u); err != nil {
			return err
		}
	}
	return checkURL("host_list_url", s.HostListURL)
}

func checkURL(path, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Hostname() == "" || u.Port() == "" || u.Path != "" || u.RawQuery != "" {
		return &InvalidError{Field: path, Value: quoted(value), Allowed: "http://HOST:PORT (required)"}
	}
	return nil
}

func (s *Settings) validateTimings() error {
	t := s.Timings
	ranges := []struct {
		path     string
		value    int64
		min, max int64
	}{
		{"lease_ms", t.LeaseMS, 50, maxDurationMS}, {"renew_ms", t.RenewMS, 10, t.LeaseMS / 2},
		{"authority_ms", t.AuthorityMS, 10, maxDurationMS}, {"permit_ms", t.PermitMS, 50, maxDurationMS},
		{"hold_ms", t.RouteTimeoutMS, 0, maxDurationMS}, {"balancer_delay_ms", t.BalancerDelayMS, 0, t.StopLimitMS},
		{"stop_limit_ms", t.StopLimitMS, 0, maxDurationMS}, {"deadline_ms", t.DeadlineMS, 1, t.MaxDeadlineMS},
		{"max_deadline_ms", t.MaxDeadlineMS, 1, maxDurationMS}, {"dial_ms", t.DialMS, 1, maxDurationMS},
		{"read_header_ms", t.ReadHeaderMS, 1, maxDurationMS}, {"read_body_ms", t.ReadBodyMS, 1, maxDurationMS},
		{"idle_ms", t.IdleMS, 1, maxDurationMS}, {"silent_min_ms", t.SilentMinMS, 1, maxDurationMS},
	}
	for _, r := range ranges {
		if r.value < r.min || r.value > r.max {
			return rangeError("timings."+r.path, r.value, r.min, r.max)
		}
	}
	return nil
}

func (s *Settings) validateLimits() error {
	l := s.Limits
	ranges := []struct {
		path     string
		value    int64
		min, max int64
	}{
		{"max_key_bytes", int64(l.MaxKeyBytes), 1, 64 << 10}, {"max_header_bytes", int64(l.MaxHeaderBytes), 1 << 10, 1 << 20},
		{"max_body_bytes", l.MaxBodyBytes, 0, 1 << 40}, {"max_held", int64(l.MaxRouteWaiters), 0, 1 << 20},
		{"max_dials", int64(l.MaxDials), 1, 1024}, {"warm_connections", int64(l.WarmConnections), 0, 1024},
		{"max_queue", int64(l.MaxQueue), 1, 1 << 20}, {"peer_connections", int64(l.PeerConnections), 1, 1 << 16},
	}
	for _, r := range ranges {
		if r.value < r.min || r.value > r.max {
			return rangeError("limits."+r.path, r.value, r.min, r.max)
		}
	}
	return nil
}

func rangeError(path string, value, low, high int64) error {
	return &InvalidError{Field: path, Value: fmt.Sprint(value), Allowed: fmt.Sprintf("%d to %d", low, high)}
}

func (s *Settings) validateTracing() error {
	if s.Tracing.Exporter != "stdout" {
		return &InvalidError{Field: "tracing.exporter", Value: quoted(s.Tracing.Exporter), Allowed: "stdout"}
	}
	if !(s.Tracing.SampleRatio >= 0 && s.Tracing.SampleRatio <= 1) {
		return &InvalidError{Field: "tracing.sample_ratio", Value: fmt.Sprint(s.Tracing.SampleRatio), Allowed: "0 to 1"}
	}
	return nil
}

func (s *Settings) validateTLS() error {
	files := []struct{ path, value string }{{"tls.cert", s.TLS.Cert}, {"tls.key", s.TLS.Key}, {"tls.ca", s.TLS.CA}}
	given := 0
	for _, f := range files {
		if f.value != "" {
			given++
		}
	}
	for _, f := range files {
		if given > 0 && f.value == "" {
			return &InvalidError{Field: f.path, Value: quoted(""), Allowed: "a file, since another field of tls is set"}
		}
	}
	if given == 0 {
		return s.validateLoopback()
	}
	return nil
}

// validateLoopback requires a loopback address for the operator interface when
// mutual TLS is off: the interface can change the whole configuration, and
// without TLS it cannot authenticate clients.
func (s *Settings) validateLoopback() error {
	addr, err := netip.ParseAddrPort(s.Operator.Listen)
	if err == nil && !addr.Addr().IsLoopback() {
		return &InvalidError{Field: "operator.listen", Value: quoted(s.Operator.Listen), Allowed: "a loopback address, or set tls"}
	}
	return nil
}

func (s *Settings) validateUnsafeDisable() error {
	known := []Safeguard{SafeguardFence, SafeguardLeaseWait, SafeguardRetryRule, SafeguardLimitShare}
	for i, g := range s.UnsafeDisable {
		if !slices.Contains(known, g) {
			return &InvalidError{Field: fmt.Sprintf("unsafe_disable[%d]", i), Value: quoted(string(g)), Allowed: "fence, lease-wait, retry-rule or limit-share"}
		}
	}
	return nil
}

func validateDeployment(path string, d contract.Deployment) error {
	err := d.Validate()
	var invalid *contract.InvalidError
	if errors.As(err, &invalid) {
		return &InvalidError{Field: joinPath(path, invalid.Field), Value: quoted(invalid.Value), Allowed: invalid.Allowed}
	}
	return err
}

func quoted(s string) string {
	if len(s) > maxDisplayBytes {
		s = s[:maxDisplayBytes] + "..."
	}
	return fmt.Sprintf("%q", s)
}
