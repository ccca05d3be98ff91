package retry

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// ID is a request identifier. Its text form is
// <host>.<incarnation>.<sequence>.<mac>: the name of the issuing host, which
// may contain dots; its incarnation, which may not; the sequence number in
// decimal; and the first 16 bytes of an HMAC-SHA256 in lower-case hexadecimal.
type ID struct {
	Host        string
	Incarnation string
	Sequence    uint64
	MAC         [macSize]byte
}

const (
	macSize = 16
	// MaxIDLength limits the text form, in bytes.
	MaxIDLength = 512
)

// String returns the text form.
func (id ID) String() string {
	b := make([]byte, 0, len(id.Host)+len(id.Incarnation)+20+2*macSize+3)
	b = append(b, id.Host...)
	b = append(b, '.')
	b = append(b, id.Incarnation...)
	b = append(b, '.')
	b = strconv.AppendUint(b, id.Sequence, 10)
	b = append(b, '.')
	b = hex.AppendEncode(b, id.MAC[:])
	return string(b)
}

// IDError reports why a request identifier is malformed or refused.
type IDError struct {
	// Reason is one of "length", "fields", "host", "incarnation", "sequence",
	// "mac" and "not_issued".
	Reason string
}

// Error implements error.
func (e *IDError) Error() string { return "request identifier: " + e.Reason }

// ParseID parses the text form; it fails with *IDError. It does not verify the
// MAC: only the issuer can, with Issuer.Verify. Each identifier has exactly
// one accepted text form.
func ParseID(s string) (ID, error) {
	if len(s) > MaxIDLength {
		return ID{}, &IDError{Reason: "length"}
	}
	rest, mac, ok1 := cutLast(s)
	rest, seq, ok2 := cutLast(rest)
	host, inc, ok3 := cutLast(rest)
	if !ok1 || !ok2 || !ok3 {
		return ID{}, &IDError{Reason: "fields"}
	}
	id := ID{Host: host, Incarnation: inc}
	if !validName(host, true) {
		return ID{}, &IDError{Reason: "host"}
	}
	if !validName(inc, false) {
		return ID{}, &IDError{Reason: "incarnation"}
	}
	n, err := strconv.ParseUint(seq, 10, 64)
	if err != nil || strconv.FormatUint(n, 10) != seq {
		return ID{}, &IDError{Reason: "sequence"}
	}
	id.Sequence = n
	if len(mac) != 2*macSize || strings.ToLower(mac) != mac {
		return ID{}, &IDError{Reason: "mac"}
	}
	if _, err := hex.Decode(id.MAC[:], []byte(mac)); err != nil {
		return ID{}, &IDError{Reason: "mac"}
	}
	return id, nil
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// validName accepts letters, digits, '-' and '_', and dots where permitted.
func validName(s string, dots bool) bool {
	if s == "" {
		return false
	}
	for i := range len(s) {
		c := s[i]
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || dots && c == '.'
		if !ok {
			return false
		}
	}
	return true
}

// Issuer issues and verifies the identifiers of one incarnation of a host. It
// is safe for concurrent use.
type Issuer struct {
	host, incarnation string
	key               []byte
}

// NewIssuer returns an issuer. The key is random, of at least 16 bytes, and
// new for each incarnation; no other host needs it. It fails with *IDError.
func NewIssuer(host, incarnation string, key []byte) (*Issuer, error) {
	switch {
	case !validName(host, true) || len(host) > 200:
		return nil, &IDError{Reason: "host"}
	case !validName(incarnation, false) || len(incarnation) > 200:
		return nil, &IDError{Reason: "incarnation"}
	case len(key) < 16:
		return nil, &IDError{Reason: "mac"}
	}
	return &Issuer{host: host, incarnation: incarnation, key: append([]byte(nil), key...)}, nil
}

// ID returns the identifier of a sequence number and the customer that it is
// issued to. Another customer's use of it fails verification.
func (s *Issuer) ID(sequence uint64, customer string) ID {
	return ID{Host: s.host, Incarnation: s.incarnation, Sequence: sequence, MAC: s.mac(sequence, customer)}
}

func (s *Issuer) mac(sequence uint64, customer string) (out [macSize]byte) {
	m := hmac.New(sha256.New, s.key)
	// Each key belongs to one host and incarnation. The customer comes last, so that
	// no two pairs of sequence number and customer have the same text.
	m.Write([]byte(strconv.FormatUint(sequence, 10) + "." + customer))
	copy(out[:], m.Sum(nil))
	return out
}

// Origin says who issued an identifier.
type Origin uint8

// Origins.
const (
	// OriginLocal: this incarnation of this host; its Ledger decides.
	OriginLocal Origin = iota + 1
	// OriginOtherHost: another host; forward the request to it.
	OriginOtherHost
	// OriginOtherIncarnation: another incarnation of this host, whose ledger is lost;
	// the outcome is may_have_run.
	OriginOtherIncarnation
	// OriginForged: it names this incarnation, but the MAC is wrong or it was issued
	// to another customer.
	OriginForged
)

// Verify says who issued an identifier.
func (s *Issuer) Verify(id ID, customer string) Origin {
	if id.Host != s.host {
		return OriginOtherHost
	}
	if id.Incarnation != s.incarnation {
		return OriginOtherIncarnation
	}
	want := s.mac(id.Sequence, customer)
	if !hmac.Equal(want[:], id.MAC[:]) {
		return OriginForged
	}
	return OriginLocal
}
