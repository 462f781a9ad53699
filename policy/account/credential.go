package account

import (
	"strings"
)

const (
	scheme = "Bearer"
	// maxKeyBytes bounds the keys that are looked up.
	maxKeyBytes = 1 << 10
)

// Fault is why a request is not authenticated. The empty string means that it is.
type Fault string

// Faults.
const (
	FaultMissing   Fault = "missing key"
	FaultRepeated  Fault = "more than one authorization header"
	FaultMalformed Fault = "malformed authorization header"
	FaultUnknown   Fault = "unknown key"
)

// Key returns the key in the values of a request's Authorization header, or why there is
// none.
func Key(values []string) (string, Fault) {
	switch len(values) {
	case 0:
		return "", FaultMissing
	case 1:
	default:
		return "", FaultRepeated
	}
	name, key, found := strings.Cut(values[0], " ")
	if !found || !strings.EqualFold(name, scheme) {
		return "", FaultMalformed
	}
	key = strings.Trim(key, " ")
	if key == "" || len(key) > maxKeyBytes || strings.ContainsFunc(key, notInKey) {
		return "", FaultMalformed
	}
	return key, ""
}

// notInKey reports whether a character separates keys in a header: spaces and commas. With
// them, a combined header could pass for a single key.
func notInKey(r rune) bool { return r <= ' ' || r == ',' || r == 0x7f }
