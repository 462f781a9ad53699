package hedge

import (
	"math/bits"
	"time"
)

const (
	// subBits gives 16 buckets per octave, an error of at most 1/16.
	subBits    = 4
	subBuckets = 1 << subBits
	// octaves covers 1 µs to about 134 s. Longer latencies count in the last bucket.
	octaves = 26 - subBits + 2
	// decayAt is the total weight at which all samples lose half their weight. It is
	// enough for a 0.999 quantile.
	decayAt = 16384
	// A cached quantile is valid until 1/cacheDivisor of the total weight has been added.
	// Every reply reads a quantile, and computing one scans all buckets.
	cacheDivisor = 64
)

// Quantile estimates quantiles of recent latencies in constant memory. Each sample has
// weight 1 at first. All samples lose half their weight when the total reaches 16,384.
type Quantile struct {
	counts [octaves * subBuckets]uint32
	total  uint32
	// cached is the result of At for cachedQ. seen counts all samples, and cachedSeen is
	// its value when cached was computed.
	cached     time.Duration
	cachedQ    float64
	cachedSeen uint32
	seen       uint32
}

// Observe adds one latency.
func (e *Quantile) Observe(latency time.Duration) {
	e.counts[bucketOf(latency)]++
	e.total++
	e.seen++
	if e.total >= decayAt {
		e.halve()
	}
}

// Count returns the total weight of the samples.
func (e *Quantile) Count() int {
	return int(e.total)
}

// At returns the latency that the fraction q of recent samples does not exceed, rounded
// up to its bucket, or 0 without samples.
func (e *Quantile) At(q float64) time.Duration {
	if e.total == 0 {
		return 0
	}
	if q == e.cachedQ && e.seen-e.cachedSeen < e.total/cacheDivisor {
		return e.cached
	}
	e.cached = e.at(q)
	e.cachedQ = q
	e.cachedSeen = e.seen
	return e.cached
}

func (e *Quantile) at(q float64) time.Duration {
	rank := uint32(q * float64(e.total))
	if rank >= e.total {
		rank = e.total - 1
	}
	var seen uint32
	for i, n := range e.counts {
		seen += n
		if seen > rank {
			return upperBound(i)
		}
	}
	return upperBound(len(e.counts) - 1)
}

func (e *Quantile) halve() {
	e.total = 0
	for i := range e.counts {
		e.counts[i] /= 2
		e.total += e.counts[i]
	}
}

// bucketOf maps microseconds to buckets: the first subBuckets are linear, the later ones
// split each octave into subBuckets equal parts.
func bucketOf(latency time.Duration) int {
	us := uint64(max(latency.Microseconds(), 0))
	if us < subBuckets {
		return int(us)
	}
	octave := bits.Len64(us) - subBits - 1
	bucket := (octave+1)*subBuckets + int(us>>octave) - subBuckets
	return min(bucket, octaves*subBuckets-1)
}

func upperBound(bucket int) time.Duration {
	if bucket < subBuckets {
		return time.Duration(bucket+1) * time.Microsecond
	}
	octave := bucket/subBuckets - 1
	low := uint64(bucket%subBuckets+subBuckets) << octave
	return time.Duration(low+1<<octave) * time.Microsecond
}
