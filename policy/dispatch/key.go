package dispatch

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// ClaimKey returns the platform key of the claim on an idempotency key. Keys of
// different services never collide.
func ClaimKey(fleet, service, idempotencyKey string) string {
	return "carobmill/" + fleet + "/claims/" + digest([]byte(service), []byte(idempotencyKey))
}

// Digest identifies the request of a caller: the service, the shard or routing key as
// the caller named it, and the body. It excludes values that the node derives from
// them, so that a retry after repartitioning has the same digest.
func Digest(service, shard, routingKey string, body []byte) string {
	return digest([]byte(service), []byte(shard), []byte(routingKey), body)
}

// digest hashes each part with its length, so that moving a byte from one part to the
// next changes the digest.
func digest(parts ...[]byte) string {
	h := sha256.New()
	for _, part := range parts {
		writePart(h, part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func writePart(h hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	h.Write(length[:])
	h.Write(part)
}
