package upgrade

import "time"

// Order is an operator's request to move a service to replicas of a version.
type Order struct {
	Service string
	Version string
	// Period is the time limit of the upgrade, counted from the order.
	Period time.Duration
	// Revision is that of the order in the platform's store. It identifies the order.
	Revision uint64
}

// State is the state of an upgrade as operators see it.
type State int

// States of an upgrade.
const (
	// Running: the new version is on trial, or the traffic moves to it.
	Running State = iota + 1
	// Complete: no node uses a replica of another version.
	Complete
	// RolledBack: no node uses a replica of the new version.
	RolledBack
)

// String returns the state's name in logs and metrics.
func (s State) String() string {
	return [...]string{"none", "running", "complete", "rolled_back"}[s]
}

// Status is the state of an upgrade in the platform's store.
type Status struct {
	Service string
	Version string
	State   State
	// Revision is that of the status in the store.
	Revision uint64
}

// Leader names the node that leads the upgrade of a service.
type Leader struct {
	Node string
	// Term is the store's revision at which the node became the leader. A later leader has
	// a higher term.
	Term uint64
}

// Record is what the platform's store holds about the upgrade of one service. Zero values
// are absent.
type Record struct {
	Order  Order
	Status Status
	Leader Leader
}

// State returns the state of the order; 0 if nothing has been written about it yet. A status
// that is older than the order belongs to an earlier one.
func (r Record) State() State {
	if r.Order.Revision == 0 || r.Status.Revision < r.Order.Revision || r.Status.Version != r.Order.Version {
		return 0
	}
	return r.Status.State
}

// Active reports whether the order still has to be carried out.
func (r Record) Active() bool {
	return r.Order.Revision != 0 && r.State() != Complete && r.State() != RolledBack
}

// Excludes reports whether replicas of a version may receive no request, because the
// upgrade has ended for or against the new version.
func (r Record) Excludes(version string) bool {
	switch r.State() {
	case Complete:
		return version != r.Order.Version
	case RolledBack:
		return version == r.Order.Version
	}
	return false
}

// Phase is the current step of an upgrade. A higher phase replaces a lower one.
type Phase int

// Phases of an upgrade.
const (
	// Hold: the new version receives no requests.
	Hold Phase = iota
	// Canary: a few replicas of the new version receive a small share of the requests.
	Canary
	// Load: as few new replicas as give enough answers receive as many requests as they will
	// after the upgrade, as long as the exposure bound allows.
	Load
	// Confirm: the same with other replicas, after a fault in the load phase that may be one
	// of those replicas only.
	Confirm
	// Shift: the new version receives all requests that its replicas accept.
	Shift
	// Close: the old version receives no requests any more.
	Close
	// Done: the upgrade is complete.
	Done
	// Revert: the new version receives no requests any more.
	Revert
)

// String returns the phase's name in logs and metrics.
func (p Phase) String() string {
	return [...]string{"hold", "canary", "load", "confirm", "shift", "close", "done", "revert"}[p]
}
