package upstream

import "time"

// responsiveUpTo is the slowness up to which demand alone explains the latency of a replica: a
// full queue of four requests per slot makes it four, and random work times half as much more.
const responsiveUpTo = 6.0

// Room is the number of requests that a service still accepts from this node.
type Room struct {
	// Places is the sum of this node's in-flight limits at the usable replicas: those that are
	// reachable and do not back off. Free is the part that is not in use.
	Places, Free int
	// InFlight is the number of this node's requests in flight at the usable replicas.
	InFlight int
	// Usable is the number of usable replicas, and Responsive the number of those whose latency
	// demand alone can explain.
	Usable, Responsive int
	// Slowness is the least latency of the usable replicas as a multiple of the baseline,
	// with the age of attempts in flight as a lower bound; 0 without a usable replica.
	Slowness float64
	// MeanSlowness is the mean latency of the responsive replicas as a multiple of the baseline;
	// 0 without one.
	MeanSlowness float64
}

// Room returns the room of the service for requests like q. It changes nothing.
func (b *Balancer) Room(now time.Time, q Request) Room {
	var room Room
	var results resultGap
	for _, st := range b.usable {
		if st.addressReused || q.Unreachable[st.Replica.DataCentre] || now.Before(st.backoffUntil) {
			continue
		}
		room.Usable++
		slow := st.slownessInFlight(now)
		if room.Usable == 1 || slow < room.Slowness {
			room.Slowness = slow
		}
		if q.ColdPerSecond >= 0 && st.isCold(now) && !st.coldRate.allows(now, q.ColdPerSecond) {
			continue
		}
		if slow < responsiveUpTo {
			room.Responsive++
			room.MeanSlowness += (st.slowness.at(now) - room.MeanSlowness) / float64(room.Responsive)
		}
		limit := b.maxInFlight(now, st, q)
		results.add(st)
		room.Places += limit
		room.InFlight += len(st.inFlight)
		room.Free += max(limit-len(st.inFlight), 0)
	}
	// While demand uses all places, results arrive all the time. Without any, demand explains
	// the latency of no replica, not even of those whose attempts are recent.
	if room.InFlight > 0 && results.exceedsDemand(now) {
		room.Responsive, room.MeanSlowness = 0, 0
	}
	return room
}

// resultGap is the time without a result of any replica of a service. It only ends the wait for
// room, so that a few baselines are enough. Requests are refused after the longer times of
// Balancer.Silent, which leave out paused and slow replicas.
type resultGap struct {
	// heardAt is the time of the newest result, and abandonedAt that of the newest attempt that
	// was slow or given up.
	heardAt, abandonedAt time.Time
	// sentAt is when the oldest attempt in flight was sent, and baseline the greatest baseline
	// of those in flight.
	sentAt   time.Time
	baseline time.Duration
}

func (g *resultGap) add(st *State) {
	if st.failedAt.After(g.heardAt) {
		g.heardAt = st.failedAt
	}
	if st.slowness.slowAt.After(g.abandonedAt) {
		g.abandonedAt = st.slowness.slowAt
	}
	for _, a := range st.inFlight {
		if g.sentAt.IsZero() || a.sent.Before(g.sentAt) {
			g.sentAt = a.sent
		}
		g.baseline = max(g.baseline, a.baseline)
	}
}

// exceedsDemand reports whether the gap is longer than demand explains. It begins with the last
// result, but not before the oldest attempt in flight if nothing was given up since.
func (g *resultGap) exceedsDemand(now time.Time) bool {
	since := g.heardAt
	if g.sentAt.After(since) && !g.abandonedAt.After(since) {
		since = g.sentAt
	}
	return float64(now.Sub(since)) > responsiveUpTo*float64(g.baseline)
}

// slownessInFlight returns the slowness of the replica by its last answers, or the age of its
// oldest attempt in flight as a multiple of the baseline if that is greater. The slowness does
// not decay here: a slow replica with few requests is not fast meanwhile.
func (st *State) slownessInFlight(now time.Time) float64 {
	slow := st.slowness.factor
	for _, a := range st.inFlight {
		slow = max(slow, float64(now.Sub(a.sent))/float64(a.baseline))
	}
	return slow
}
