// Package retrybudget bounds the requests that the whole fleet sends to a service
// beyond the first of each caller's request: retries and hedges. No node asks another:
// each spends a part of the bound that depends on its own traffic only, and the parts
// add up to less than the bound.
package retrybudget

import "time"

// Bound is what the operators allow the fleet.
type Bound struct {
	// Ratio is the extra requests allowed for each request in a window.
	Ratio float64
	// Slack is the extra requests allowed in a window whatever the traffic.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// buckets is how finely the window is cut. Extras are counted over one bucket
	// more than the window and requests over one less, so that any window that
	// slides over bucket borders keeps the bound.
	buckets = 20
	// margin is the part of the bound that nodes plan to use. The rest covers
	// requests that were counted here but whose callers had left before.
	margin = 0.9
	// slackMargin is the part of the slack that is dealt out. The rest covers nodes
	// that joined but are not known to all yet.
	slackMargin = 0.72
	// startShare is the part of a node's slack that it has at its start; the rest
	// grows over the first window.
	startShare = 0.6
	// spareShare is the part of a node's budget that hedges may use up. A hedge
	// makes an answer faster, a retry makes it exist: when replicas lose answers,
	// hedges must not have spent what the retries need.
	spareShare = 0.6
)

// Budget is one node's part for one service. Not safe for concurrent use.
type Budget struct {
	bound    Bound
	started  time.Time
	last     int64
	requests [buckets + 1]int
	extras   [buckets + 1]int
}

// New returns an empty budget.
func New(b Bound, now time.Time) *Budget {
	return &Budget{bound: b, started: now}
}

// RecordRequest counts a caller's request to the service.
func (b *Budget) RecordRequest(now time.Time) {
	b.requests[b.advance(now)]++
}

// Take reports whether one more extra request may be sent, and counts it. size is the
// fleet's in units of this node, which share the slack.
func (b *Budget) Take(now time.Time, size float64) bool { return b.take(now, size, 1) }

// TakeOptional is Take for a request that need not be sent.
func (b *Budget) TakeOptional(now time.Time, size float64) bool { return b.take(now, size, spareShare) }

// OptionalUsed returns the share, 0 to 1, of what TakeOptional may grant now that is used.
func (b *Budget) OptionalUsed(now time.Time, size float64) float64 {
	granted := spareShare * b.allowed(now, b.advance(now), size)
	if granted < 1 {
		return 1
	}
	return min(1, float64(b.spent())/granted)
}

func (b *Budget) take(now time.Time, size, share float64) bool {
	i := b.advance(now)
	if float64(b.spent()+1) > share*b.allowed(now, i, size) {
		return false
	}
	b.extras[i]++
	return true
}

// allowed is this node's part. A node that has just started does not know what it
// sent before its restart, so a part of its slack grows over the first window:
// otherwise a fleet that is restarted within a window would spend its slack twice.
func (b *Budget) allowed(now time.Time, current int, size float64) float64 {
	requests := 0
	oldest := (current + 1) % len(b.requests)
	for i, n := range b.requests {
		if i != oldest {
			requests += n
		}
	}
	age := min(1, float64(now.Sub(b.started))/float64(b.bound.Window))
	slack := slackMargin * b.bound.Slack / max(size, 1) * (startShare + (1-startShare)*age)
	return margin*b.bound.Ratio*float64(requests) + slack
}

func (b *Budget) spent() int {
	extras := 0
	for _, n := range b.extras {
		extras += n
	}
	return extras
}

// advance clears the buckets that have passed and returns the current one.
func (b *Budget) advance(now time.Time) int {
	width := max(b.bound.Window/buckets, time.Millisecond)
	tick := int64(now.Sub(b.started) / width)
	for step := min(tick-b.last, int64(len(b.extras))); step > 0; step-- {
		i := (tick - step + 1) % int64(len(b.extras))
		b.requests[i], b.extras[i] = 0, 0
	}
	b.last = max(b.last, tick)
	return int(b.last % int64(len(b.extras)))
}
