package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
)

// digestBytes is the length of a Digest. Two requests with the same one cannot be
// constructed with less than 2^64 computations.
const digestBytes = 16

// Digest is a truncated SHA-256 hash.
type Digest [digestBytes]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It fails with *DigestError.
func (d *Digest) UnmarshalText(text []byte) error {
	if n, err := hex.Decode(d[:], text[:min(len(text), 2*digestBytes)]); err != nil || n != digestBytes || len(text) != 2*digestBytes {
		return &DigestError{Text: string(text)}
	}
	return nil
}

// DigestError reports a text that is no digest.
type DigestError struct{ Text string }

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("quarantine: %q is not a digest of %d hexadecimal digits", e.Text, 2*digestBytes)
}

// Request identifies the content of a request.
type Request struct {
	// Head covers what precedes the body, and its length. ID also covers the body.
	Head Digest `json:"head"`
	ID   Digest `json:"id"`
}

// headBuffer is the size, in bytes, of heads that are hashed without an allocation.
const headBuffer = 1 << 10

// HeadOf returns the digest of a request without its body: the method, the host name in
// lower case without its port, the path with the query as they were sent, and the length
// of the body in bytes. Headers do not count, since callers change them with each attempt.
func HeadOf(method, host, uri string, bodyBytes int) Digest {
	host, _, _ = strings.Cut(host, ":")
	var scratch [headBuffer]byte
	b := scratch[:0]
	for _, s := range [...]string{method, host, uri} {
		b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
		b = append(b, s...)
	}
	lower(b[4+len(method)+4:][:len(host)])
	b = binary.BigEndian.AppendUint64(b, uint64(bodyBytes))
	sum := sha256.Sum256(b)
	return Digest(sum[:digestBytes])
}

// lower changes ASCII letters to lower case.
func lower(b []byte) {
	for i, c := range b {
		if 'A' <= c && c <= 'Z' {
			b[i] = c + 'a' - 'A'
		}
	}
}

// RequestOf returns the identity of a request with the given head and body.
func RequestOf(head Digest, body []byte) Request {
	h := sha256.New()
	_, _ = h.Write(head[:]) // a hash never fails
	_, _ = h.Write(body)
	var sum [sha256.Size]byte
	return Request{Head: head, ID: Digest(h.Sum(sum[:0])[:digestBytes])}
}
