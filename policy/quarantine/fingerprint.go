// Package quarantine decides which requests are suspected of crashing the replicas that run
// them, when a suspected request may be tried again, and when it is refused. The package
// does no I/O and reads no clock.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies requests with the same content from the same caller. Request IDs,
// timeouts and most headers differ between attempts and are not part of it.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request. caller is the caller's credential;
// empty if the request has none.
func NewFingerprint(method, host, target, caller string, body []byte) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, part := range [][]byte{[]byte(method), []byte(host), []byte(target), []byte(caller), body} {
		// The length separates the parts: "ab" and "c" differ from "a" and "bc".
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint decodes the result of String.
func ParseFingerprint(s string) (f Fingerprint, ok bool) {
	decoded, err := hex.DecodeString(s)
	if err != nil || len(decoded) != len(f) {
		return f, false
	}
	copy(f[:], decoded)
	return f, true
}
