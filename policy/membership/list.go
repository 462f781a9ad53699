package membership

import "time"

// ListedVM is one VM of the platform's list.
type ListedVM struct {
	Name        string
	DataCentre  string
	PeerAddress string
	// Leaving is true when the platform is about to take the VM away.
	Leaving bool
}

// ApplyVMList takes in the platform's VM list. The list lags, so it never makes a
// member alive or dead. It confirms one thing: a member that answers nobody and
// whose VM the platform no longer lists is gone.
//
// A VM that has just started may not be listed yet, and an older list may follow
// a newer one. Were it counted as gone while it is merely cut off, two nodes
// could hold what only one may hold. So the list counts only for members that
// this node has known for longer than the list lags: whatever moment the list
// shows, they had started by then. A list that does not name this node itself is
// too old to count.
func (t *Table) ApplyVMList(now time.Time, list []ListedVM) {
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		listed[vm.Name] = true
	}
	if !listed[t.self.Name] {
		return
	}
	absent := t.matching(func(r *record) bool {
		return r.State == dead && !listed[r.Name] && now.Sub(r.known) > t.params.ListLag
	})
	for _, r := range absent {
		m := r.Member
		m.State = gone
		t.set(now, r, m, "dead and no longer listed by the platform")
	}
}
