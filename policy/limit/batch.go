package limit

import "time"

// A batch is a call that carries several subrequests. It occupies one slot,
// because an owner's share of a warm replica counts calls, one per connection. Two
// rules differ from those of a single request.
//
// A replica that turns cold works on each subrequest of a batch in flight. Counted
// as one request, the batch would let the first-ranked owner send more to an
// overloaded cold replica. So while only the first owner may use the replica, a
// batch counts as its subrequests.
//
// A batch ends with its slowest subrequest. At 1% stragglers, one batch of 32 in
// four contains a straggler. Measured by its end, a healthy replica would look
// cold. So the latency of a batch is that of the answer that completes its first
// half, the median of its subrequests. After that answer the batch no longer counts
// as overdue.

// batches counts the batches in flight.
type batches struct {
	// extra is the number of subrequests beyond the first of each batch.
	extra int
	// measured is the number of batches whose median was observed and that still
	// occupy their slot.
	measured int
}

// SetBatchSize states how many subrequests the request carries that TryAcquire
// admitted last. Its Release repeats the number in Sample.Items.
func (l *Limiter) SetBatchSize(items int) {
	l.batches.extra += max(items-1, 0)
}

// ObserveMedian applies the answer that completes the first half of a batch. The
// batch occupies its slot until Release, whose sample sets MedianObserved.
func (l *Limiter) ObserveMedian(now time.Time, s Sample) {
	l.inFlight.remove(now.Add(-s.Latency))
	l.batches.measured++
	l.observeOutcome(now, s)
}

// releaseMeasured ends a batch whose median was observed. The replica may still
// work on subrequests that were cancelled or timed out.
func (l *Limiter) releaseMeasured(now time.Time, s Sample) {
	l.batches.measured--
	if s.Result == ResultCancelled || s.Result == ResultTimeout {
		l.holdSlots(now, s)
	}
}

// holdSlots keeps the slots of a cancelled request occupied for the grace period.
// They count only while FirstOwnerOnly is true.
func (l *Limiter) holdSlots(now time.Time, s Sample) {
	grace := l.params.CancelGrace
	if l.params.Exclusive {
		grace = l.params.ExclusiveGrace
	}
	for range max(s.Items, 1) {
		l.inFlight.hold(now, now.Add(grace))
	}
}
