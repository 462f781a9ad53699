package observation

import "time"

const (
	// bytesPerSecond bounds the bytes of a node's exchanges in both directions. All of them
	// count at the collector again, so that the mean of a data centre is at most twice this.
	bytesPerSecond = 1800
	// collectorBytesPerSecond bounds the bytes of all exchanges of a collector, whose
	// processor time grows with them.
	collectorBytesPerSecond = 40000
	// burstBytes may be transferred at once after a quiet time.
	burstBytes = 4000
	// CallOverhead is what an exchange transfers beside its two messages.
	CallOverhead = 150
	// usualBytes is the size of an observation with a load report.
	usualBytes = 40
	// minPerMessage is the number of observations that a message may always hold. More are
	// sent only as far as the bytes are left, since a large message delays the next one.
	minPerMessage = 32
)

// bucket bounds the bytes of the exchanges between a node and its collector. Both keep one.
type bucket struct {
	// bytes may be transferred as of at; negative after a large message.
	bytes float64
	at    time.Time
}

// available returns the bytes that may be transferred now, for one of several senders.
func (b *bucket) available(now time.Time, senders int) float64 {
	if b.at.IsZero() {
		b.bytes, b.at = burstBytes, now
	}
	rate := min(bytesPerSecond, collectorBytesPerSecond/float64(senders))
	b.bytes = min(b.bytes+rate*now.Sub(b.at).Seconds(), burstBytes)
	b.at = now
	return b.bytes
}

// limit returns how many observations a message may hold.
func (b *bucket) limit(now time.Time, senders int) int {
	n := int((b.available(now, senders) - CallOverhead) / usualBytes)
	return min(max(n, minPerMessage), MaxPerMessage)
}
