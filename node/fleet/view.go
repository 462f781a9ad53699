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

// Owners and watchers when the sheet states none.
const (
	defaultOwners   = 2
	defaultWatchers = 2
)

// view is what the query path reads. Nothing in it changes after publish, but
// for the caches, which hold what follows from the rest.
type view struct {
	self    Member
	members []Member
	index   *config.Index
	watcher bool
	// version of the member table that the view was made from.
	version uint64
	// candidates are the members of each data centre that may own replicas.
	candidates map[string][]Member
	// groups of the candidates' names by data centre.
	groups map[string][][]string
	// group is the position of this node's group.
	group int
	// owners caches Owners by data centre, then by the replica's name, as
	// []Member. It passes from view to view while a data centre stays the same, so
	// that a storm of changes elsewhere costs nothing here.
	owners map[string]*sync.Map
	// allowed holds, by the replica's name, when MayUseCold last said yes, as
	// time.Time.
	allowed sync.Map
	// ranked caches the members of the replica's data centre that are not gone,
	// best first, by the replica's name, as []Member.
	ranked sync.Map
}

// publish makes a new view if the members or the configuration changed. The
// caller holds mu.
func (f *Fleet) publish() {
	for _, tr := range f.table.Transitions() {
		f.note("member "+stateName(tr.Member.State), tr.Member.Name, tr.Cause)
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
	v.watcher = configstate.IsWatcher(v.self.Name, dc, names(v.candidates[dc]), watchers)
	f.view.Store(v)
	f.revision.Add(1)
}

func (v *view) addCaches(old *view) {
	v.owners = make(map[string]*sync.Map)
	for dc, members := range v.candidates {
		same := old != nil && old.index == v.index && old.group == v.group &&
			slices.EqualFunc(old.candidates[dc], members, sameOwner)
		if same {
			v.owners[dc] = old.owners[dc]
		} else {
			v.owners[dc] = &sync.Map{}
		}
	}
}

// sameOwner reports whether two entries of a node mean the same to a sender.
func sameOwner(a, b Member) bool {
	return a.ID() == b.ID() && a.State == b.State && a.PeerAddress == b.PeerAddress
}

// Revision rises whenever members or the configuration in force have changed, so
// that what follows from them need not be worked out again and again.
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

// addCandidates keeps one boot of each usable node: the one in the better state,
// while it is not settled which of two boots is running.
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
			v.groups[dc] = [][]string{names(members)}
			continue
		}
		v.groups[dc] = ownership.Groups(names(members), size)
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

func names(members []Member) []string {
	list := make([]string, len(members))
	for i, m := range members {
		list[i] = m.Name
	}
	return list
}

// Owners returns the nodes to send a replica's subrequests to, best first: the
// highest-ranked members of its data centre in this node's group, at most
// Tuning.owners. The result is shared and must not be changed.
//
// A suspected owner keeps its place in the ranking, so that a doubt that passes
// moves no ownership, but is left out while another owner is alive, so that
// queries do not wait for it.
func (f *Fleet) Owners(r *config.Replica) []Member {
	v := f.view.Load()
	cache := v.owners[r.DataCentre]
	if cache == nil {
		return nil
	}
	if cached, ok := cache.Load(r.Name); ok {
		return cached.([]Member)
	}
	owners := v.rank(r)
	cache.Store(r.Name, owners)
	return owners
}

func (v *view) rank(r *config.Replica) []Member {
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

// OwnersPerReplica is how many nodes may own one replica at once: Tuning.owners
// in each group. Connection shares divide by it.
func (f *Fleet) OwnersPerReplica(r *config.Replica) int {
	v := f.view.Load()
	return v.ownerCount() * max(1, len(v.groups[r.DataCentre]))
}
