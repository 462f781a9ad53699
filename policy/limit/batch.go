package limit

import "time"

// A call that carries several subrequests, a batch, takes one place: places are
// calls, since a warm replica's share is one of connections. Two things differ
// from a single call.
//
// A replica that turns cold with a batch in flight works on each of its
// subrequests. Counted as one, the batch would let a first owner send more on top
// of what the replica does not bear already; so while the replica is not warm, a
// batch counts as its subrequests.
//
// A batch ends with its slowest subrequest. Of 32 with 1% stragglers one in four
// holds one; judged by its end, or overdue until then, a well replica would look
// cold. So a batch is judged by the answer that completes its first half, which is
// the median of its subrequests, and is not overdue after it.

// batches is what the limiter holds of batches in flight.
type batches struct {
	// extra is the subrequests beyond the first of each batch.
	extra int
	// answering batches are judged and still keep their place.
	answering int
}

// SetBatchSize says that the request that TryAcquire let through last carries that many
// subrequests. Its Release gives the same number as Sample.Items.
func (l *Limiter) SetBatchSize(items int) {
	l.batches.extra += max(items-1, 0)
}

// ObserveMedian judges a batch by the answer that completes its first half. The place
// stays taken until Release, whose sample says ObserveMedian.
func (l *Limiter) ObserveMedian(now time.Time, s Sample) {
	l.inFlight.remove(now.Add(-s.Latency))
	l.batches.answering++
	l.judge(now, s)
}

// releaseAnswered ends a batch that was judged before. What it gave up may still
// run at the replica.
func (l *Limiter) releaseAnswered(now time.Time, s Sample) {
	l.batches.answering--
	if s.Result == ResultCancelled || s.Result == ResultTimeout {
		l.holdCancelled(now, s)
	}
}

func (l *Limiter) holdCancelled(now time.Time, s Sample) {
	grace := l.params.CancelGrace
	if l.params.Exclusive {
		grace = l.params.ExclusiveGrace
	}
	for range max(s.Items, 1) {
		l.inFlight.hold(now, now.Add(grace))
	}
}
