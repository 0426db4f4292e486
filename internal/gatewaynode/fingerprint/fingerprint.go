// Package fingerprint tells requests apart by what they ask for, whatever their ids.
//
// Two requests are the same work if host, target, tenant and body are the same. The
// method, the id and the other fields of the header do not count: a caller that sends its
// request once more gives it a new id and a new deadline.
//
// A fingerprint is a keyed hash. All nodes of a system share the key, which lies in the
// store, so that they can speak of a request without its body, its path or its caller: who
// reads logs or rows cannot find out what was asked by trying.
package fingerprint

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
)

// size is the length of a fingerprint in bytes: by chance, two of a million requests have
// the same one with a probability of 1 in 10^26.
const size = 16

// Fingerprint stands for the work that a request asks for. The zero value stands for none.
type Fingerprint [size]byte

// IsZero tells whether it stands for no work.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// String returns the fingerprint in hexadecimal, empty for the zero value.
func (f Fingerprint) String() string {
	if f.IsZero() {
		return ""
	}
	return hex.EncodeToString(f[:])
}

// errForm says that a text is no fingerprint.
var errForm = errors.New("fingerprint: want 32 hexadecimal digits")

// Parse reads what String returned.
func Parse(text string) (Fingerprint, error) {
	var f Fingerprint
	if hex.DecodedLen(len(text)) != size {
		return f, errForm
	}
	if _, err := hex.Decode(f[:], []byte(text)); err != nil {
		return Fingerprint{}, errForm
	}
	return f, nil
}

// Work is what makes a request the same as another.
type Work struct {
	Host, Target string
	// Tenant is the caller, empty where callers are not told apart.
	Tenant string
	Body   []byte
}

// Key is what the fingerprints of one system are made with.
type Key [sha256.Size]byte

// NewKey returns a key by chance.
func NewKey() Key {
	var key Key
	// The library never fails here: it ends the process if there is no randomness.
	_, _ = rand.Read(key[:])
	return key
}

// Of returns the fingerprint of a work. It reads the body once: BenchmarkOf measures the
// cost.
func (k *Key) Of(work Work) Fingerprint {
	mac := hmac.New(sha256.New, k[:])
	for _, part := range []string{work.Host, work.Target, work.Tenant} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		mac.Write(length[:])
		mac.Write([]byte(part))
	}
	mac.Write(work.Body)
	var f Fingerprint
	copy(f[:], mac.Sum(nil))
	return f
}
