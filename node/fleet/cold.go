package fleet

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/ownership"
)

var claimParams = ownership.DefaultClaimParams()

const (
	// claimMemory is how long claims go on after the last question about a
	// replica.
	claimMemory = 30 * time.Second
	// verdictLife is how long a right to use a cold replica is taken as given
	// without a look at the policy. It is part of the settle time and a small part
	// of the claims' margin.
	verdictLife = 20 * time.Millisecond
	// joinSpread is how long the news of a join takes to reach every member.
	joinSpread = 5 * time.Second
)

// want is a replica that this node was asked about.
type want struct {
	replica *config.Replica
	at      time.Time
	// rests counts the rounds in a row without the consent of every node asked.
	rests int
}

func nodeOf(m Member) ownership.Node {
	return ownership.Node{Name: m.Name, Boot: m.Boot}
}

// MayUseCold reports whether this node is the one that may send requests to a
// cold replica. Ask right before each send: the right lapses with time, and a
// node that was paused finds out here. The first question about a replica is
// answered false, and starts the claim. Ask only while the replica is cold, or always
// where cold starts are silent: each question keeps the claim, and its messages,
// going for a while.
func (f *Fleet) MayUseCold(r *config.Replica) bool {
	now := time.Now()
	v := f.view.Load()
	if at, ok := v.allowed.Load(r.Name); ok && now.Sub(at.(time.Time)) < verdictLife {
		return true
	}
	if !f.mayUseCold(now, r) {
		return false
	}
	v.allowed.Store(r.Name, now)
	return true
}

func (f *Fleet) mayUseCold(now time.Time, r *config.Replica) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.view.Load()
	if v.self.DataCentre != r.DataCentre || !v.self.Usable() {
		return false
	}
	if known, ok := f.wanted[r.Name]; !ok || now.Sub(known.at) > claimMemory {
		wake(f.claimWake)
	}
	f.wanted[r.Name] = want{replica: r, at: now, rests: f.wanted[r.Name].rests}
	order := v.order(r, now)
	if f.mustSettleIn(now, order) {
		return false
	}
	return f.claims.MayUse(now, r.Name, order, settleTime(r))
}

// mustSettleIn reports whether this node joined too recently to claim anything: it
// has not met the others yet. In a data centre with more nodes than are asked for
// consent, a claimant that has not heard of this node yet may have asked others.
func (f *Fleet) mustSettleIn(now time.Time, order ownership.Ranking) bool {
	rivals := len(order.Higher) + len(order.Lower)
	return f.isNewcomer(now) || rivals > claimParams.MaxGranters && now.Sub(f.since) < joinSpread
}

// settleTime is the longest time that a request takes at a replica: an attempt
// ends with its deadline.
func settleTime(r *config.Replica) time.Duration {
	return r.Service.MaxDeadline + verdictLife
}

// order returns the ranking for a replica around this node. Every member of the
// data centre that is not confirmed gone keeps its place, dead ones included: a
// dead member may be running behind a partition and still sending.
func (v *view) order(r *config.Replica, now time.Time) ownership.Ranking {
	var order ownership.Ranking
	list := &order.Higher
	for _, m := range v.ranking(r) {
		if m.ID() == v.self.ID() {
			list = &order.Lower
			continue
		}
		rival := ownership.Candidate{Node: nodeOf(m)}
		if m.State == pb.MemberState_MEMBER_STATE_LEAVING {
			rival.LeavingFor = now.Sub(m.Since)
		}
		*list = append(*list, rival)
	}
	return order
}

// ranking returns the members of the replica's data centre, best first.
func (v *view) ranking(r *config.Replica) []Member {
	if cached, ok := v.ranked.Load(r.Name); ok {
		return cached.([]Member)
	}
	boots := make(map[string][]Member)
	var names []string
	for _, m := range v.members {
		if m.DataCentre != r.DataCentre {
			continue
		}
		if len(boots[m.Name]) == 0 {
			names = append(names, m.Name)
		}
		boots[m.Name] = append(boots[m.Name], m)
	}
	var ranked []Member
	for _, name := range ownership.Rank(r.Name, names) {
		ranked = append(ranked, boots[name]...)
	}
	v.ranked.Store(r.Name, ranked)
	return ranked
}
