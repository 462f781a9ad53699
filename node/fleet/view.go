package fleet

import (
	"slices"
	"sync"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/configstate"
	"github.com/carobmill/carobmill/policy/ownership"
)

// Defaults for the number of owners and watchers, if the sheet does not set them.
const (
	defaultOwners   = 2
	defaultWatchers = 2
)

// view is the state that the query path reads. It is immutable after publishView,
// except for the caches of derived values.
type view struct {
	self    Member
	members []Member
	index   *config.Index
	watcher bool
	// version is the version of the member table that the view was built from.
	version uint64
	// candidates holds, by data centre, the members that may own replicas.
	candidates map[string][]Member
	// groups holds, by data centre, the names of the candidates in each group.
	groups map[string][][]string
	// group is the index of this node's group.
	group int
	// ownersCache caches the results of Owners by data centre and replica name, as
	// []Member. A new view reuses the cache of a data centre if its candidates, the
	// configuration and this node's group have not changed. Otherwise frequent
	// changes in one data centre would clear the caches of all.
	ownersCache map[string]*sync.Map
	// lastAllowed holds, by replica name, when MayUseCold last granted permission,
	// as time.Time. Each view starts without entries, so that a change of the members
	// or the configuration ends cached permissions.
	lastAllowed sync.Map
	// rankingCache caches the results of rankedMembers by replica name, as
	// []Member.
	rankingCache sync.Map
}

// publishView stores a new view if the members or the configuration have changed.
// The caller holds mu.
func (f *Fleet) publishView() {
	for _, tr := range f.table.Transitions() {
		f.queueEvent("member "+stateName(tr.Member.State), tr.Member.Name, tr.Cause)
		if tr.Member.State == pb.MemberState_MEMBER_STATE_GONE {
			f.claims.Forget(time.Now(), nodeOf(tr.Member))
		}
	}
	f.table.SetConfigVersion(f.state.Version())
	old := f.view.Load()
	if old != nil && old.version == f.table.Version() && old.index == f.state.Index() {
		return
	}
	v := &view{
		self:       f.table.Self(),
		members:    f.table.Members(),
		index:      f.state.Index(),
		version:    f.table.Version(),
		candidates: make(map[string][]Member),
		groups:     make(map[string][][]string),
	}
	v.addCandidates()
	v.addGroups()
	v.addCaches(old)
	watchers := defaultWatchers
	if v.index != nil && v.index.Raw.GetSheet().GetTuning().GetWatchers() > 0 {
		watchers = int(v.index.Raw.GetSheet().GetTuning().GetWatchers())
	}
	dc := v.self.DataCentre
	v.watcher = configstate.IsWatcher(v.self.Name, dc, memberNames(v.candidates[dc]), watchers)
	f.view.Store(v)
	f.revision.Add(1)
}

func (v *view) addCaches(old *view) {
	v.ownersCache = make(map[string]*sync.Map)
	for dc, members := range v.candidates {
		same := old != nil && old.index == v.index && old.group == v.group &&
			slices.EqualFunc(old.candidates[dc], members, isSameOwner)
		if same {
			v.ownersCache[dc] = old.ownersCache[dc]
		} else {
			v.ownersCache[dc] = &sync.Map{}
		}
	}
}

// isSameOwner reports whether two entries are equal in the fields that matter to a
// sender.
func isSameOwner(a, b Member) bool {
	return a.ID() == b.ID() && a.State == b.State && a.PeerAddress == b.PeerAddress
}

// Revision returns a number that increases whenever the members or the
// configuration in force change. Callers use it to cache derived values.
func (f *Fleet) Revision() uint64 {
	return f.revision.Load()
}

func stateName(s pb.MemberState) string {
	switch s {
	case pb.MemberState_MEMBER_STATE_ALIVE:
		return "alive"
	case pb.MemberState_MEMBER_STATE_SUSPECT:
		return "suspected"
	case pb.MemberState_MEMBER_STATE_LEAVING:
		return "leaving"
	case pb.MemberState_MEMBER_STATE_DEAD:
		return "dead"
	default:
		return "gone"
	}
}

// addCandidates adds one boot of each usable node. While the table has two boots of
// a node, the boot with the better state is added.
func (v *view) addCandidates() {
	best := make(map[string]Member)
	for _, m := range v.members {
		if !m.Usable() {
			continue
		}
		if known, ok := best[m.Name]; !ok || m.State < known.State {
			best[m.Name] = m
		}
	}
	for _, m := range v.members {
		if best[m.Name].ID() == m.ID() && m.Usable() {
			v.candidates[m.DataCentre] = append(v.candidates[m.DataCentre], m)
		}
	}
}

func (v *view) addGroups() {
	size := v.groupSize()
	for dc, members := range v.candidates {
		if size == 0 {
			v.groups[dc] = [][]string{memberNames(members)}
			continue
		}
		v.groups[dc] = ownership.Groups(memberNames(members), size)
	}
	for i, group := range v.groups[v.self.DataCentre] {
		for _, name := range group {
			if name == v.self.Name {
				v.group = i
			}
		}
	}
}

func (v *view) groupSize() int {
	if v.index == nil {
		return 0
	}
	return int(v.index.Raw.GetSheet().GetTuning().GetGroupSize())
}

func (v *view) ownerCount() int {
	if v.index != nil && v.index.Raw.GetSheet().GetTuning().GetOwners() > 0 {
		return int(v.index.Raw.GetSheet().GetTuning().GetOwners())
	}
	return defaultOwners
}

func memberNames(members []Member) []string {
	list := make([]string, len(members))
	for i, m := range members {
		list[i] = m.Name
	}
	return list
}

// Owners returns the nodes to send a replica's subrequests to, highest-ranked
// first, at most Tuning.owners. They are the highest-ranked usable members of one
// group of the replica's data centre: the group with the index of this node's group,
// modulo the number of groups. The result is shared and must not be modified.
//
// A suspected owner keeps its rank, so that a short suspicion does not move
// ownership. It is omitted while another owner is alive, so that queries do not
// wait for it.
func (f *Fleet) Owners(r *config.Replica) []Member {
	v := f.view.Load()
	cache := v.ownersCache[r.DataCentre]
	if cache == nil {
		return nil
	}
	if cached, ok := cache.Load(r.Name); ok {
		return cached.([]Member)
	}
	owners := v.computeOwners(r)
	cache.Store(r.Name, owners)
	return owners
}

func (v *view) computeOwners(r *config.Replica) []Member {
	groups := v.groups[r.DataCentre]
	if len(groups) == 0 {
		return nil
	}
	byName := make(map[string]Member)
	for _, m := range v.candidates[r.DataCentre] {
		byName[m.Name] = m
	}
	ranked := ownership.Rank(r.Name, groups[v.group%len(groups)])
	ranked = ranked[:min(len(ranked), v.ownerCount())]
	var alive, all []Member
	for _, name := range ranked {
		m := byName[name]
		all = append(all, m)
		if m.State == pb.MemberState_MEMBER_STATE_ALIVE {
			alive = append(alive, m)
		}
	}
	if len(alive) > 0 {
		return alive
	}
	return all
}

// OwnersPerReplica returns the maximum number of concurrent owners of a replica:
// Tuning.owners in each group. The connections to the replica are divided among
// that many owners.
func (f *Fleet) OwnersPerReplica(r *config.Replica) int {
	v := f.view.Load()
	return v.ownerCount() * max(1, len(v.groups[r.DataCentre]))
}
