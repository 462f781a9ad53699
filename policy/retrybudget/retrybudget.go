// Package retrybudget bounds the extra requests, retries and hedges, that the whole
// fleet sends to a service. The nodes do not coordinate: each node has a part of the
// budget that depends on its own traffic and the fleet's size, and the parts add up to
// less than the bound.
package retrybudget

import "time"

// Bound is the limit that operators set for the fleet.
type Bound struct {
	// Ratio is the number of extra requests allowed per request in a window.
	Ratio float64
	// Slack is the number of extra requests allowed in a window whatever the traffic.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// bucketCount is the number of buckets in a window. Extra requests are counted over
	// the current bucket and bucketCount before it, which is at least a window. Requests
	// are counted over one bucket less, which is at most a window. So the bound also
	// holds in windows that do not start at the start of a bucket.
	bucketCount = 20
	// usableRatio is the fraction of the ratio that nodes use. The remainder covers
	// requests that were counted although their callers had already left.
	usableRatio = 0.9
	// usableSlack is the fraction of the slack that nodes use. The remainder covers
	// nodes that joined but are not yet counted by every node.
	usableSlack = 0.72
	// initialSlackShare is the fraction of a node's slack that is available at its start.
	// The remainder becomes available over the first window.
	initialSlackShare = 0.6
	// optionalShare is the fraction of a node's budget up to which hedges are allowed,
	// where hedges and retries count as used. Otherwise
	// hedges, which only reduce latency, could leave no budget for retries when replicas
	// lose answers.
	optionalShare = 0.6
)

// Budget is one node's part of the budget for one service. Not safe for concurrent use.
type Budget struct {
	bound   Bound
	started time.Time
	// last is the number of the current bucket, counted from started.
	last     int64
	requests [bucketCount + 1]int
	extras   [bucketCount + 1]int
	accounts accounts
}

// New returns the budget of a node that starts now.
func New(b Bound, now time.Time) *Budget {
	return &Budget{bound: b, started: now}
}

// RecordRequest counts one request of a caller to the service. account is the caller's client
// account; empty without one.
func (b *Budget) RecordRequest(now time.Time, account string) {
	b.requests[b.advance(now)]++
	b.accounts.recordRequest(now, account)
}

// Take reports whether one more extra request may be sent, and counts it if so. size is
// the size of the fleet in units of this node's capacity, by which the slack is divided.
func (b *Budget) Take(now time.Time, size float64, account string) bool {
	return b.take(now, size, 1, account)
}

// TakeOptional is Take for an optional request, such as a hedge.
func (b *Budget) TakeOptional(now time.Time, size float64, account string) bool {
	return b.take(now, size, optionalShare, account)
}

// OptionalUsed returns the fraction, 0 to 1, of the budget for TakeOptional that hedges
// and retries have used. It is 1 while that budget is below one request.
func (b *Budget) OptionalUsed(now time.Time, size float64) float64 {
	granted := optionalShare * b.allowed(now, b.advance(now), size)
	if granted < 1 {
		return 1
	}
	return min(1, float64(b.spent())/granted)
}

func (b *Budget) take(now time.Time, size, share float64, account string) bool {
	i := b.advance(now)
	budget := share * b.allowed(now, i, size)
	if float64(b.spent()+1) > budget || !b.accounts.allows(now, account, b.bound.Window, budget) {
		return false
	}
	b.extras[i]++
	b.accounts.recordExtra(now, account, b.bound.Window)
	return true
}

// allowed returns this node's part of the budget. A restarted node has no record of what
// it sent before. Therefore a part of its slack becomes available over the first window:
// otherwise a fleet that restarts within a window would use its slack twice.
func (b *Budget) allowed(now time.Time, index int, size float64) float64 {
	requests := 0
	oldest := (index + 1) % len(b.requests)
	for i, n := range b.requests {
		if i != oldest {
			requests += n
		}
	}
	age := min(1, float64(now.Sub(b.started))/float64(b.bound.Window))
	slack := usableSlack * b.bound.Slack / max(size, 1) * (initialSlackShare + (1-initialSlackShare)*age)
	return usableRatio*b.bound.Ratio*float64(requests) + slack
}

func (b *Budget) spent() int {
	extras := 0
	for _, n := range b.extras {
		extras += n
	}
	return extras
}

// advance clears the expired buckets and returns the index of the current one.
func (b *Budget) advance(now time.Time) int {
	width := max(b.bound.Window/bucketCount, time.Millisecond)
	tick := int64(now.Sub(b.started) / width)
	for step := min(tick-b.last, int64(len(b.extras))); step > 0; step-- {
		i := (tick - step + 1) % int64(len(b.extras))
		b.requests[i], b.extras[i] = 0, 0
	}
	b.last = max(b.last, tick)
	return int(b.last % int64(len(b.extras)))
}
