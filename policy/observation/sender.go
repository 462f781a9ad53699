package observation

import (
	"slices"
	"time"

	"github.com/carobmill/carobmill/policy/coordinator"
)

const (
	// activeInterval is the time between two exchanges while there is something to send or
	// to receive, and idleInterval that otherwise.
	activeInterval = 100 * time.Millisecond
	idleInterval   = time.Second
	// perSenderInterval bounds the exchanges of a collector to 100 a second: with more
	// senders, each of them exchanges less often.
	perSenderInterval = 10 * time.Millisecond
	// Timeout bounds the wait for the reply of a collector.
	Timeout = 200 * time.Millisecond
	// minProbeBackoff and maxProbeBackoff bound the time before a failed collector is probed.
	minProbeBackoff = 500 * time.Millisecond
	maxProbeBackoff = 8 * time.Second
	// unimplementedFor is how long a node of a release without the call is skipped.
	unimplementedFor = time.Minute
)

// failedCollector is the state of a collector that did not answer.
type failedCollector struct {
	repeats int
	probeAt time.Time
}

// Sender selects the collector of a node and the time of its exchanges. Not safe for
// concurrent use.
type Sender struct {
	own     coordinator.Member
	senders int
	// collectors holds the nodes of the data centre that rank before this one.
	collectors []coordinator.Member
	failed     map[string]*failedCollector
	// name, boot and cursor are those of the last reply.
	name         string
	boot, cursor uint64
	bucket       bucket
	// lastAt is the time of the last exchange, received is set if its reply had observations,
	// and inFlight until its reply or failure.
	lastAt             time.Time
	received, inFlight bool
}

// NewSender returns the sender of a node that knows no other node.
func NewSender(own coordinator.Member) *Sender {
	return &Sender{own: own, senders: 1, failed: make(map[string]*failedCollector)}
}

// SetFleet sets the registered nodes. Every node of a data centre ranks them alike.
func (s *Sender) SetFleet(f coordinator.Fleet) {
	s.collectors, s.senders = s.collectors[:0], 1
	for _, m := range f.Ranked() {
		if m.DataCentre != s.own.DataCentre || m.Node == s.own.Node {
			continue
		}
		s.senders++
		if coordinator.RanksBefore(m, s.own) {
			s.collectors = append(s.collectors, m)
		}
	}
	for node := range s.failed {
		if !slices.ContainsFunc(s.collectors, func(m coordinator.Member) bool { return m.Node == node }) {
			delete(s.failed, node)
		}
	}
}

// Collector returns the first usable node in rank, which may be this node.
func (s *Sender) Collector() coordinator.Member {
	for _, m := range s.collectors {
		if s.failed[m.Node] == nil {
			return m
		}
	}
	return s.own
}

// Due returns the collector if an exchange is due at now. pending reports whether there is
// something to send; it is called only if that matters.
func (s *Sender) Due(now time.Time, pending func() bool) (coordinator.Member, bool) {
	least := max(activeInterval, time.Duration(s.senders)*perSenderInterval)
	if s.inFlight || now.Before(s.lastAt.Add(least)) {
		return coordinator.Member{}, false
	}
	to := s.Collector()
	if to.Node != s.own.Node && s.bucket.available(now, s.senders) < 0 {
		return coordinator.Member{}, false
	}
	if !s.received && now.Before(s.lastAt.Add(idleInterval)) && !pending() {
		return coordinator.Member{}, false
	}
	s.lastAt, s.inFlight = now, true
	return to, true
}

// Limit returns how many observations the report to a collector may hold.
func (s *Sender) Limit(now time.Time, to coordinator.Member) int {
	if to.Node == s.own.Node {
		return MaxPerMessage
	}
	return s.bucket.limit(now, s.senders)
}

// Position returns the boot of the collector and the cursor for the next report to a node.
func (s *Sender) Position(to string) (boot, cursor uint64) {
	if to != s.name {
		return 0, 0
	}
	return s.boot, s.cursor
}

// Replied records the reply of a collector and the bytes of the exchange, and reports whether
// the collector knows nothing of what this node has sent before.
func (s *Sender) Replied(now time.Time, from string, r *Reply, bytes int) (fresh bool) {
	s.inFlight = false
	s.received = len(r.Observations) > 0
	if from != s.own.Node {
		s.bucket.bytes = s.bucket.available(now, s.senders) - float64(bytes+CallOverhead)
	}
	fresh = s.name != from || s.boot != r.Boot
	s.name, s.boot, s.cursor = from, r.Boot, r.Cursor
	return fresh
}

// Failed records that a collector did not answer or is unavailable. unimplemented is set for
// a node of a release without the call. The next exchange goes to the next node in rank and
// is due immediately.
func (s *Sender) Failed(now time.Time, node string, unimplemented bool) {
	s.inFlight, s.lastAt = false, time.Time{}
	s.bucket.bytes = s.bucket.available(now, s.senders) - CallOverhead
	s.fail(now, node)
	if unimplemented {
		s.failed[node].probeAt = now.Add(unimplementedFor)
	}
}

func (s *Sender) fail(now time.Time, node string) {
	f := s.failed[node]
	if f == nil {
		f = &failedCollector{}
		s.failed[node] = f
	} else {
		f.repeats++
	}
	const doublings = 4
	f.probeAt = now.Add(min(minProbeBackoff<<min(f.repeats, doublings), maxProbeBackoff))
}

// Probe returns a failed collector that is to be probed now. It is not returned again before
// its backoff has ended.
func (s *Sender) Probe(now time.Time) (coordinator.Member, bool) {
	for _, m := range s.collectors {
		if f := s.failed[m.Node]; f != nil && !now.Before(f.probeAt) {
			s.fail(now, m.Node)
			return m, true
		}
	}
	return coordinator.Member{}, false
}

// ProbeFailed records that a probe found a node of a release without the call.
func (s *Sender) ProbeFailed(now time.Time, node string, unimplemented bool) {
	if f := s.failed[node]; f != nil && unimplemented {
		f.probeAt = now.Add(unimplementedFor)
	}
}

// Recovered records that a failed collector is available again.
func (s *Sender) Recovered(node string) { delete(s.failed, node) }
