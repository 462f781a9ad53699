package membership

import "time"

// ListedVM is one VM of the platform's list.
type ListedVM struct {
	Name        string
	DataCentre  string
	PeerAddress string
	// Leaving is true when the platform is about to remove the VM.
	Leaving bool
}

// ApplyVMList marks dead members as gone when the platform no longer lists their
// VMs. It makes no other state change, because the list lags.
//
// A list may predate the start of a VM, and an older list may follow a newer one.
// If a partitioned member were marked as gone by such a list, two nodes could use a
// cold replica at the same time. The list is therefore applied only to members that
// this node has recorded for longer than Params.ListLag. A list without this node
// is outdated and ignored.
func (t *Table) ApplyVMList(now time.Time, list []ListedVM) {
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		listed[vm.Name] = true
	}
	if !listed[t.self.Name] {
		return
	}
	absent := t.matching(func(r *record) bool {
		return r.State == dead && !listed[r.Name] && now.Sub(r.firstSeen) > t.params.ListLag
	})
	for _, r := range absent {
		m := r.Member
		m.State = gone
		t.setStateAndGossip(now, r, m, "dead and no longer listed by the platform")
	}
}
