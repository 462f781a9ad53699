package upstream

import (
	"math"
	"time"
)

const (
	// maxFamiliarDiscount is the largest share of its cost that a familiar replica is spared.
	// It exceeds the jitter, so that one of many unknown replicas is not preferred by chance.
	maxFamiliarDiscount = 0.4
	// familiarHalfLife is the time after which an answer counts half. Open connections and
	// observations are worth little after several times that.
	familiarHalfLife = 10 * time.Second
)

// rate estimates how often a node sends requests to a service.
type rate struct {
	// count is the number of requests, each of which counts half after familiarHalfLife.
	count float64
	at    time.Time
}

func (r *rate) record(now time.Time) {
	r.count = r.count*decay(now.Sub(r.at), familiarHalfLife) + 1
	r.at = now
}

// perHalfLife returns the number of requests in familiarHalfLife.
func (r *rate) perHalfLife(now time.Time) float64 {
	return r.count * decay(now.Sub(r.at), familiarHalfLife) * math.Ln2
}

// familiarity returns how much a node knows about a replica, from 0 to 1: 1 just after the
// replica has answered, and 0 after a failure.
func (st *State) familiarity(now time.Time) float64 {
	if st.answeredAt.IsZero() {
		return 0
	}
	return decay(now.Sub(st.answeredAt), familiarHalfLife)
}

// familiarDiscount returns the share of its cost that a replica is spared. Where a node would
// use each replica of a service once in many seconds, it has no open connection to most of
// them and does not know which of them are slow or refuse requests. It then keeps to replicas
// that have answered. Where it uses each of them often, there is nothing to spare.
func (b *Balancer) familiarDiscount(now time.Time, st *State) float64 {
	perReplica := b.sent.perHalfLife(now) / float64(max(len(b.usable), 1))
	return maxFamiliarDiscount * st.familiarity(now) / (1 + perReplica)
}
