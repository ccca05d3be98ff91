package forward

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/boragelock/boragelock/provider"
)

// Headers of the caller API and between entry hosts, next to those in package
// platform.
const (
	HeaderCode    = provider.HeaderCode
	HeaderOutcome = provider.HeaderOutcome

	// headerPrefix marks the headers of boragelock. Those of a caller or a
	// target are not passed on, except for the ones that are set again.
	headerPrefix = "Boragelock-"

	// Headers between entry hosts.
	headerTarget     = "Boragelock-Target"
	headerWeight     = "Boragelock-Weight"
	headerIdempotent = "Boragelock-Idempotent"
	headerHop        = "Boragelock-Hop"
	headerRetryMS    = "Boragelock-Retry-Ms"
	headerMessage    = "Boragelock-Message"
	headerQueued     = "Boragelock-Queued"
	headerLatencyUS  = "Boragelock-Latency-Us"

	// Values of headerHop: the response is the target's, or an Error.
	hopTarget = "target"
	hopError  = "error"

	headerTraceParent = "Traceparent"
	headerTraceState  = "Tracestate"
)

// hopByHop headers concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// notForTargets are request headers that are not passed on. Expect is settled
// on each hop. net/http's Transport repeats requests that have one of the
// idempotency headers. The credential is for the entry host only.
var notForTargets = map[string]bool{
	"Expect": true, "Idempotency-Key": true, "X-Idempotency-Key": true,
	"Authorization": true, "Content-Length": true, headerTraceParent: true, headerTraceState: true,
}

// connectionOptions returns the further hop-by-hop headers that h names.
func connectionOptions(h http.Header) map[string]bool {
	lines := h["Connection"]
	if len(lines) == 0 {
		return nil
	}
	out := map[string]bool{}
	for _, line := range lines {
		for _, name := range strings.Split(line, ",") {
			out[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}

// copyRequestHeader copies what a caller sent for the target.
func copyRequestHeader(dst, src http.Header) {
	options := connectionOptions(src)
	for name, values := range src {
		if hopByHop[name] || notForTargets[name] || options[name] || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		dst[name] = values
	}
	if _, ok := dst["User-Agent"]; !ok {
		// Keeps Transport from adding its own.
		dst["User-Agent"] = nil
	}
}

// copyResponseHeader copies what a target sent for the caller.
func copyResponseHeader(dst, src http.Header) {
	options := connectionOptions(src)
	for name, values := range src {
		if hopByHop[name] || options[name] || name == "Content-Length" || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		dst[name] = values
	}
}

// headerBytes returns the size of a header as sent.
func headerBytes(h http.Header) int {
	const separators = 4 // ": " and CRLF
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}
