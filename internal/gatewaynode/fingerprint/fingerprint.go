// Package fingerprint computes keyed hashes that identify requests by their content.
//
// Two requests have the same fingerprint if host, target, tenant and body are equal. The
// method, the request ID and the other header fields are left out, because a caller that
// retries sends a new ID and a new deadline.
//
// All nodes of a deployment use the same key, which is kept in the store. Because the hash
// is keyed, a reader of logs or stored rows cannot recover a request by hashing guesses.
package fingerprint

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
)

// size is the length of a fingerprint in bytes. Among a million requests the probability
// of any collision is below 1 in 10^26.
const size = 16

// Fingerprint identifies the content of a request. The zero value identifies none.
type Fingerprint [size]byte

// IsZero reports whether f is the zero value.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// String returns the fingerprint in hexadecimal, empty for the zero value.
func (f Fingerprint) String() string {
	if f.IsZero() {
		return ""
	}
	return hex.EncodeToString(f[:])
}

// errMalformed is returned by Parse for a malformed fingerprint.
var errMalformed = errors.New("fingerprint: want 32 hexadecimal digits")

// Parse parses a fingerprint formatted by String. It rejects the empty string.
func Parse(text string) (Fingerprint, error) {
	var f Fingerprint
	if hex.DecodedLen(len(text)) != size {
		return f, errMalformed
	}
	if _, err := hex.Decode(f[:], []byte(text)); err != nil {
		return Fingerprint{}, errMalformed
	}
	return f, nil
}

// Input holds the parts of a request that its fingerprint covers.
type Input struct {
	Host, Target string
	// Tenant is the caller, empty if callers are not distinguished.
	Tenant string
	Body   []byte
}

// Key is the HMAC-SHA256 key of the fingerprints of one deployment.
type Key [sha256.Size]byte

// NewKey returns a random key.
func NewKey() Key {
	var key Key
	// rand.Read never returns an error: it crashes the program if it cannot read randomness.
	_, _ = rand.Read(key[:])
	return key
}

// Of returns the fingerprint of input. Each part before the body is prefixed with its
// length, so that moving bytes between parts changes the fingerprint.
func (k *Key) Of(input Input) Fingerprint {
	mac := hmac.New(sha256.New, k[:])
	for _, part := range []string{input.Host, input.Target, input.Tenant} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		mac.Write(length[:])
		mac.Write([]byte(part))
	}
	mac.Write(input.Body)
	var f Fingerprint
	copy(f[:], mac.Sum(nil))
	return f
}
