package upstream

import (
	"math"
	"time"
)

const (
	// lateAfter is how many answers in a row must come too late before a replica is
	// paced. A replica that pauses for a moment delays the one or two requests that
	// this node has there.
	lateAfter = 2
	// slowDown is what a paced rate is multiplied by when answers still come late, at
	// most once in slowDownEvery: what was sent before must have answered first.
	slowDown      = 0.7
	slowDownEvery = 150 * time.Millisecond
	// speedUp is what it is multiplied by for each answer in time.
	speedUp = 1.1
	// minPace is the least rate, so that a replica that has recovered is found out.
	minPace = 2.0
	// freeFactor times the rate in use is the paced rate from which the pace is gone.
	freeFactor = 2
	// queueFactor times a replica's own time without a queue is what its answers may
	// take where that alone exceeds the objective: half of it is spent in the queue.
	queueFactor = 1.5
	// objectivePart of the objective is what an answer may take to count as in time.
	objectivePart = 0.8
	// rateHalf is the time in which a measured rate forgets half.
	rateHalf = 500 * time.Millisecond
	// quickestFor is how long the quickest answer stands for a replica's own time.
	quickestFor = 3 * time.Second
	// paceBurst is the most requests that a paced replica gets at once.
	paceBurst = 1.0
)

// pace bounds the rate at which this node sends to a replica whose answers come too
// late to be of use.
//
// Load pattern: all replicas of a shard turn five to ten times slower. The requests of
// all nodes queue there, up to the replicas' own limit; each waits for half a second,
// behind others whose callers have given up, so that none is in time although the
// replicas could serve a good part. With few enough sent, those that are sent come in
// time, and the others know at once that this shard is not to be had.
type pace struct {
	// perSecond is 0 while the replica is not paced.
	perSecond float64
	tokens    float64
	at        time.Time
	late      int
	slowed    time.Time
	rate      float64
	rateAt    time.Time
	quickest  float64
	quickAt   time.Time
}

// open reports whether a request may go to the replica now.
func (p *pace) open(now time.Time) bool {
	return p.perSecond == 0 || p.available(now) >= 1
}

func (p *pace) available(now time.Time) float64 {
	return min(paceBurst, p.tokens+p.perSecond*now.Sub(p.at).Seconds())
}

// sent counts a request.
func (p *pace) sent(now time.Time) {
	p.rate = p.measured(now) + math.Ln2/rateHalf.Seconds()
	p.rateAt = now
	if p.perSecond > 0 {
		p.tokens, p.at = p.available(now)-1, now
	}
}

// unsent takes a request back that was not sent after all.
func (p *pace) unsent() {
	p.rate = max(0, p.rate-math.Ln2/rateHalf.Seconds())
	if p.perSecond > 0 {
		p.tokens++
	}
}

func (p *pace) measured(now time.Time) float64 {
	return p.rate * decay(now.Sub(p.rateAt), rateHalf)
}

// answered takes an answer that took so many times the class's expected latency;
// allowed is how many times that is in time. Where the replica tells its load, a queue
// shorter than its slots shows that the time was its own.
func (p *pace) answered(now time.Time, ratio, allowed float64, load *Load) {
	queued := ratio > queueFactor*p.quickest
	if load != nil && load.Slots > 0 {
		queued = load.Waiting >= load.Slots
	}
	if p.quickAt.IsZero() || ratio <= p.quickest || now.Sub(p.quickAt) > quickestFor {
		p.quickest, p.quickAt = ratio, now
	}
	if ratio > allowed && queued {
		p.tooLate(now)
		return
	}
	p.late = 0
	if p.perSecond == 0 {
		return
	}
	p.perSecond *= speedUp
	if p.perSecond > max(freeFactor*p.measured(now), freeFactor*minPace) {
		p.perSecond = 0
	}
}

// tooLate takes an answer that came too late, or a refusal for a full queue.
func (p *pace) tooLate(now time.Time) {
	p.late++
	if p.late < lateAfter || now.Sub(p.slowed) < slowDownEvery {
		return
	}
	p.slowed = now
	from := p.perSecond
	if from == 0 {
		from, p.tokens, p.at = p.measured(now), 0, now
	} else {
		p.tokens, p.at = p.available(now), now
	}
	p.perSecond = max(minPace, slowDown*from)
}
