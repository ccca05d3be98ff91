package forward

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/boragelock/boragelock/provider"
)

// Headers of the caller API and between entry hosts, in addition to those in
// package provider.
const (
	HeaderCode    = provider.HeaderCode
	HeaderOutcome = provider.HeaderOutcome

	// headerPrefix is the prefix of boragelock's headers. Those of a caller or a
	// target are not passed on, except for the ones that are set anew.
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

	// Values of headerHop: the response is the target's, or a retry.Error.
	hopTarget = "target"
	hopError  = "error"

	headerTraceParent = "Traceparent"
	headerTraceState  = "Tracestate"
)

// hopByHop headers apply to one connection only (RFC 9110, section 7.6.1).
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// removedRequestHeaders are request headers that are not passed on. Each hop
// handles Expect itself. net/http's Transport replays requests that have one of
// the idempotency headers. The credential is for the entry host only.
var removedRequestHeaders = map[string]bool{
	"Expect": true, "Idempotency-Key": true, "X-Idempotency-Key": true,
	"Authorization": true, "Content-Length": true, headerTraceParent: true, headerTraceState: true,
}

// connectionOptions returns the hop-by-hop headers that the Connection header of
// h names.
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

// copyRequestHeader copies the caller's headers that are passed on to the target.
func copyRequestHeader(dst, src http.Header) {
	options := connectionOptions(src)
	for name, values := range src {
		if hopByHop[name] || removedRequestHeaders[name] || options[name] || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		dst[name] = values
	}
	if _, ok := dst["User-Agent"]; !ok {
		// Keeps Transport from adding its own.
		dst["User-Agent"] = nil
	}
}

// copyResponseHeader copies the target's headers that are passed on to the caller.
func copyResponseHeader(dst, src http.Header) {
	options := connectionOptions(src)
	for name, values := range src {
		if hopByHop[name] || options[name] || name == "Content-Length" || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		dst[name] = values
	}
}

// headerSize returns the size of a header on the wire in bytes.
func headerSize(h http.Header) int {
	const separators = 4 // ": " and CRLF
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}
