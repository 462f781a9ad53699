package quota

import (
	"math"
	"time"
)

const (
	// lateShare is the least share of the allowance for requests that can no longer be in
	// time, while the account is over its cap.
	lateShare = 0.1
	// minShare is the least share of its proportional part that the requests of a priority
	// receive while more urgent ones could use all allowance.
	minShare = 0.3
	// orderFor is the time for which allowance goes by order after it was last exhausted.
	orderFor = 2 * time.Second
	// askHalfLife is the time after which a request counts half in the rate of its group.
	askHalfLife = 2 * time.Second
	// maxCredit bounds the requests for which a group may take allowance at once.
	maxCredit = 2.0
	// lateGroup is the group of the requests that can no longer be in time. The other groups
	// are the priorities.
	lateGroup = math.MaxInt
)

// Ask describes a request that asks for allowance. A request without an objective can be in
// time at any time.
type Ask struct {
	// Ticket is that of an earlier Verdict with the decision Wait; 0 for a new request.
	Ticket uint64
	// Priority is that of the route; 0 is the most urgent.
	Priority int
	// Age is the time since the caller's first attempt, Objective the objective of the route,
	// and Latency the usual time of its answers.
	Age, Objective, Latency time.Duration
}

// slack returns the time that is left until the request must start to be in time.
func (a Ask) slack() time.Duration {
	if a.Objective <= 0 {
		return math.MaxInt64
	}
	return a.Objective - a.Age - a.Latency
}

// until returns how long the request may wait. One that can no longer be in time may wait as
// long as any.
func (a Ask) until(now time.Time) time.Time {
	if slack := a.slack(); slack > 0 {
		return now.Add(min(slack, maxQueueWait))
	}
	return now.Add(maxQueueWait)
}

func (a Ask) group() int {
	if a.slack() <= 0 {
		return lateGroup
	}
	return a.Priority
}

// group holds the requests of one priority, or those that can no longer be in time.
type group struct {
	// count is the number of requests, each of which counts half after askHalfLife.
	count   float64
	countAt time.Time
	// credit is the number of requests that may take allowance while more urgent ones could
	// use all of it.
	credit   float64
	creditAt time.Time
}

func (g *group) decayed(now time.Time) float64 {
	return g.count * math.Exp2(-float64(now.Sub(g.countAt))/float64(askHalfLife))
}

func (g *group) record(now time.Time) {
	g.count = g.decayed(now) + 1
	g.countAt = now
}

// rate returns the requests per second.
func (g *group) rate(now time.Time) float64 {
	return g.decayed(now) * math.Ln2 / askHalfLife.Seconds()
}

// refill adds credit at a rate per second.
func (g *group) refill(now time.Time, rate float64) {
	since := now.Sub(g.creditAt)
	if g.creditAt.IsZero() || since > orderFor {
		since = orderFor
	}
	g.credit = min(g.credit+rate*since.Seconds(), maxCredit)
	g.creditAt = now
}

// record counts a new request of a group.
func (u *usage) record(now time.Time, key int) *group {
	g := u.groups[key]
	if g == nil {
		g = &group{}
		u.groups[key] = g
	}
	g.record(now)
	return g
}

// entitled reports whether a request of a group may take allowance. While the account is over
// its cap, a group takes what the more urgent ones leave, and a least share.
func (u *usage) entitled(now time.Time, key int, share float64) bool {
	if !now.Before(u.orderUntil) {
		return true
	}
	ahead, total := 0.0, 0.0
	for other, g := range u.groups {
		rate := g.rate(now)
		total += rate
		if other < key {
			ahead += rate
		}
	}
	if ahead == 0 {
		return true
	}
	g := u.groups[key]
	granted := u.perSecond(share)
	least := lateShare * granted
	if key != lateGroup {
		least = minShare * granted * g.rate(now) / total
	}
	g.refill(now, max(granted-ahead, least))
	return g.credit >= 1
}

// perSecond returns the rate at which this node expects allowance.
func (u *usage) perSecond(share float64) float64 { return max(u.granted, share*u.cap.Rate) }
