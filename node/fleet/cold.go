package fleet

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/ownership"
)

var claimParams = ownership.DefaultClaimParams()

const (
	// claimRetention is how long a claim is renewed after the last call of
	// MayUseCold for the replica.
	claimRetention = 30 * time.Second
	// permissionTTL is how long MayUseCold caches a permission. It is included in
	// maxRequestTime and is much shorter than the margin of the claims.
	permissionTTL = 20 * time.Millisecond
	// joinPropagation is the time that a join needs to reach every member.
	joinPropagation = 5 * time.Second
)

// coldReplica is a replica for which MayUseCold was recently called.
type coldReplica struct {
	replica   *config.Replica
	lastQuery time.Time
	// blockedRounds is the number of consecutive rounds with a missing consent.
	blockedRounds int
}

func nodeOf(m Member) ownership.Node {
	return ownership.Node{Name: m.Name, Boot: m.Boot}
}

// MayUseCold reports whether this node may send requests to a cold replica. At most
// one node may at any time.
//
// Call it immediately before each send. The permission expires, so a node that was
// paused does not send on an outdated permission. The first call for a replica
// starts a claim. MayUseCold returns false until the required nodes have granted the
// claim. Call it only while the replica is cold, or always for a service with silent
// cold starts: each call extends the claim and its messages by claimRetention.
func (f *Fleet) MayUseCold(r *config.Replica) bool {
	now := time.Now()
	v := f.view.Load()
	if at, ok := v.lastAllowed.Load(r.Name); ok && now.Sub(at.(time.Time)) < permissionTTL {
		return true
	}
	if !f.mayUseCold(now, r) {
		return false
	}
	v.lastAllowed.Store(r.Name, now)
	return true
}

func (f *Fleet) mayUseCold(now time.Time, r *config.Replica) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.view.Load()
	if v.self.DataCentre != r.DataCentre || !v.self.Usable() {
		return false
	}
	if known, ok := f.coldReplicas[r.Name]; !ok || now.Sub(known.lastQuery) > claimRetention {
		wake(f.claimWake)
	}
	f.coldReplicas[r.Name] = coldReplica{replica: r, lastQuery: now, blockedRounds: f.coldReplicas[r.Name].blockedRounds}
	ranking := v.claimRanking(r, now)
	if f.mustDelayClaims(now, ranking) {
		return false
	}
	return f.claims.MayUse(now, r.Name, ranking, maxRequestTime(r))
}

// mustDelayClaims reports whether this node joined too recently to claim replicas.
// While it is joining, it may lack records of other nodes. In a data centre with
// more than MaxGranters other nodes, a claimant that has no record of this node may
// hold the consents of different nodes. The caller holds mu.
func (f *Fleet) mustDelayClaims(now time.Time, ranking ownership.Ranking) bool {
	candidateCount := len(ranking.Higher) + len(ranking.Lower)
	return f.isJoining(now) || candidateCount > claimParams.MaxGranters && now.Sub(f.joinedAt) < joinPropagation
}

// maxRequestTime returns the maximum duration of a request to a replica: the
// deadline of an attempt plus the lifetime of a cached permission.
func maxRequestTime(r *config.Replica) time.Duration {
	return r.Service.MaxDeadline + permissionTTL
}

// claimRanking returns the ranking of the other nodes for a replica. It includes
// every member of the data centre that is not confirmed gone. Dead members are
// included, because a dead member may be running in a partition and still be
// sending.
func (v *view) claimRanking(r *config.Replica, now time.Time) ownership.Ranking {
	var ranking ownership.Ranking
	list := &ranking.Higher
	for _, m := range v.rankedMembers(r) {
		if m.ID() == v.self.ID() {
			list = &ranking.Lower
			continue
		}
		candidate := ownership.Candidate{Node: nodeOf(m)}
		if m.State == pb.MemberState_MEMBER_STATE_LEAVING {
			candidate.LeavingFor = now.Sub(m.Since)
		}
		*list = append(*list, candidate)
	}
	return ranking
}

// rankedMembers returns the members of the replica's data centre, highest-ranked
// first.
func (v *view) rankedMembers(r *config.Replica) []Member {
	if cached, ok := v.rankingCache.Load(r.Name); ok {
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
	v.rankingCache.Store(r.Name, ranked)
	return ranked
}
