package limits

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/boragelock/boragelock/contract"
)

// Credentials holds the hashes of the accepted credentials. It is immutable
// and safe for concurrent use.
type Credentials struct {
	hashes map[string][][sha256.Size]byte
}

// NewCredentials returns the credentials of the contracts that have not ended.
// It omits hashes that are not 64 hexadecimal digits.
func NewCredentials(contracts map[string]contract.Contract) *Credentials {
	c := &Credentials{hashes: make(map[string][][sha256.Size]byte, len(contracts))}
	for name, k := range contracts {
		if k.Ended {
			continue
		}
		for _, h := range k.CredentialHashes {
			b, err := hex.DecodeString(h)
			if err == nil && len(b) == sha256.Size {
				c.hashes[name] = append(c.hashes[name], [sha256.Size]byte(b))
			}
		}
	}
	return c
}

// Check reports whether the credential is one of the customer's. Its run time does
// not depend on which hash matches, and for an unknown customer it is the same as
// for one with a single hash.
func (c *Credentials) Check(customer, credential string) bool {
	sum := sha256.Sum256([]byte(credential))
	hashes := c.hashes[customer]
	if len(hashes) == 0 {
		var none [sha256.Size]byte
		subtle.ConstantTimeCompare(sum[:], none[:])
		return false
	}
	match := 0
	for i := range hashes {
		match |= subtle.ConstantTimeCompare(sum[:], hashes[i][:])
	}
	return match == 1
}
