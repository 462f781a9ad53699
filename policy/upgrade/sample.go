package upgrade

import (
	"math"
	"time"
)

const (
	// Buckets is the number of latency buckets of a Sample. Bucket i begins at
	// firstBucket x 2^(i/4).
	Buckets     = 56
	firstBucket = 500 * time.Microsecond
	perDoubling = 4
)

// Sample counts the answers of one version to one route in one phase.
type Sample struct {
	Phase Phase
	Route string
	// Replica is the ID of a replica of the new version; empty for all replicas of other
	// versions.
	Replica string
	Answers int
	// Failures counts the answers that are failures.
	Failures int
	// Latencies counts the other answers by latency. It leaves out those of cold replicas,
	// which are slow whatever their version.
	Latencies [Buckets]int
}

type sampleKey struct {
	phase          Phase
	route, replica string
}

func (s *Sample) add(r Result, cold bool) {
	s.Answers++
	switch {
	case r.Failed:
		s.Failures++
	case !cold:
		s.Latencies[bucketOf(r.Took)]++
	}
}

// merge adds the counts of another sample.
func (s *Sample) merge(o *Sample) {
	s.Answers += o.Answers
	s.Failures += o.Failures
	for i, n := range o.Latencies {
		s.Latencies[i] += n
	}
}

func bucketOf(took time.Duration) int {
	if took <= firstBucket {
		return 0
	}
	return min(int(perDoubling*math.Log2(float64(took)/float64(firstBucket))), Buckets-1)
}

// timed returns the number of answers with a latency.
func (s *Sample) timed() int {
	n := 0
	for _, count := range s.Latencies {
		n += count
	}
	return n
}

// medianBucket returns the bucket of the median latency.
func (s *Sample) medianBucket() int {
	half, sum := (s.timed()+1)/2, 0
	for i, count := range s.Latencies {
		if sum += count; sum >= half {
			return i
		}
	}
	return 0
}

// from returns the number of answers in a bucket and all later ones.
func (s *Sample) from(bucket int) int {
	n := 0
	for i := min(bucket, Buckets-1); i < Buckets; i++ {
		n += s.Latencies[i]
	}
	return n
}
