// Package reach detects which data centres a node cannot reach, from the answers of
// their replicas and from attempts without an answer. After a network partition, a node
// stops using a whole data centre at once, instead of failing at each of its replicas.
package reach

import (
	"slices"
	"time"
)

const (
	// unreachableAfter is the time without an answer from any replica of a data centre
	// after which the data centre may count as unreachable. Single replicas pause for
	// up to a sixth of a second, but not all replicas of a data centre at once. A node of
	// a busy fleet hears from each data centre some fifty times a second.
	unreachableAfter = 400 * time.Millisecond
	// minAttempts is the number of unanswered attempts that are required as well, since
	// an idle node receives no answers either. minSilentReplicas is the number of
	// replicas that they must concern, so that a single failed replica does not make
	// its data centre unreachable. In a data centre with fewer replicas, all must be
	// concerned.
	minAttempts       = 4
	minSilentReplicas = 2
	// minOtherDataCentres is the number of other data centres below which a node never
	// counts as isolated. A single other data centre may itself be the partitioned side.
	minOtherDataCentres = 2
	// probeAfter is the time without an answer after which a data centre is probed while
	// another one is unreachable.
	probeAfter = 200 * time.Millisecond
	// suspicionTTL is how long data centres are probed after Suspect. Nodes that report a
	// partition repeat it sooner.
	suspicionTTL = time.Second
)

// Tracker tracks which data centres one node can reach. Not safe for concurrent use.
type Tracker struct {
	own     string
	centres map[string]*centre
	// suspectedUntil is when a partition that another node reports stops being suspected.
	suspectedUntil time.Time
}

// centre is the state of one data centre.
type centre struct {
	// replicas is the number of registered replicas.
	replicas   int
	lastAnswer time.Time
	// unanswered counts the attempts without an answer since the last answer, and silent
	// holds up to minSilentReplicas of their replicas.
	unanswered int
	silent     map[string]bool
}

// New returns the tracker of a node in the given data centre.
func New(own string) *Tracker {
	return &Tracker{own: own, centres: make(map[string]*centre)}
}

// SetDataCentres replaces the data centres and their numbers of replicas.
func (t *Tracker) SetDataCentres(now time.Time, replicas map[string]int) {
	for name := range t.centres {
		if replicas[name] == 0 {
			delete(t.centres, name)
		}
	}
	for name, n := range replicas {
		if t.centres[name] == nil {
			t.centres[name] = &centre{lastAnswer: now, silent: make(map[string]bool)}
		}
		t.centres[name].replicas = n
	}
}

// RecordAnswer records any answer, errors included, of a replica of the data centre.
func (t *Tracker) RecordAnswer(now time.Time, name string) {
	c := t.centres[name]
	if c == nil {
		return
	}
	c.lastAnswer = now
	if c.unanswered > 0 {
		c.unanswered = 0
		clear(c.silent)
	}
}

// RecordNoAnswer records an attempt at a replica that ended without an answer.
func (t *Tracker) RecordNoAnswer(name, replica string) {
	c := t.centres[name]
	if c == nil {
		return
	}
	c.unanswered++
	if len(c.silent) < minSilentReplicas {
		c.silent[replica] = true
	}
}

// Suspect records that another node of the data centre is isolated. The data centres without
// a recent answer are probed, so that a node without requests detects a partition too.
func (t *Tracker) Suspect(now time.Time) { t.suspectedUntil = now.Add(suspicionTTL) }

// PendingAttempt is an attempt that has been in flight for longer than replicas pause. After
// a partition, such attempts occupy every connection and none ends for a second. Without
// them, a node detects the partition after 1.5 s in place of 0.6 s.
type PendingAttempt struct {
	DataCentre, Replica string
}

// Reachability is the result of an evaluation. Immutable.
type Reachability struct {
	// Unreachable is the set of unreachable data centres.
	Unreachable map[string]bool
	// Isolated is true when every other data centre is unreachable, or when most are and
	// the reachable ones cannot answer requests. Other nodes should then serve the
	// callers.
	Isolated bool
	// Probe lists the data centres to probe: the unreachable ones and, while there are
	// any or a partition is suspected, those other than the node's own without an answer
	// for probeAfter. A request that is refused because shards are missing is sent to no
	// replica. Without probes, an idle data centre would count as reachable for the whole
	// partition.
	Probe []string
}

// Evaluate determines reachability from the attempts that ended without an answer and
// from those still pending. sufficient reports whether requests can be answered without
// the given data centres.
func (t *Tracker) Evaluate(now time.Time, pending []PendingAttempt, sufficient func(unreachable map[string]bool) bool) Reachability {
	pendingCount := make(map[string]int)
	replicas := make(map[string]map[string]bool)
	for _, p := range pending {
		pendingCount[p.DataCentre]++
		if replicas[p.DataCentre] == nil {
			replicas[p.DataCentre] = make(map[string]bool)
		}
		replicas[p.DataCentre][p.Replica] = true
	}
	r := Reachability{Unreachable: make(map[string]bool)}
	for name, c := range t.centres {
		if c.unreachable(now, pendingCount[name], replicas[name]) {
			r.Unreachable[name] = true
		}
	}
	r.Isolated = t.isolated(r.Unreachable, sufficient)
	r.Probe = t.probes(now, r.Unreachable)
	return r
}

// isolated reports whether other nodes should serve the callers.
func (t *Tracker) isolated(unreachable map[string]bool, sufficient func(unreachable map[string]bool) bool) bool {
	others, lost := 0, 0
	for name := range t.centres {
		if name == t.own {
			continue
		}
		others++
		if unreachable[name] {
			lost++
		}
	}
	reachable := others - lost
	switch {
	case others < minOtherDataCentres:
		return false
	case reachable == 0:
		return true
	case lost <= reachable+1:
		// This node is on the larger side of the partition, or on one of two equal sides.
		return false
	}
	return !sufficient(unreachable)
}

// probes returns the data centres to probe, sorted by name.
func (t *Tracker) probes(now time.Time, unreachable map[string]bool) []string {
	if len(unreachable) == 0 && !now.Before(t.suspectedUntil) {
		return nil
	}
	var names []string
	for name, c := range t.centres {
		if unreachable[name] || name != t.own && now.Sub(c.lastAnswer) >= probeAfter {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// unreachable reports whether the data centre is unreachable. Pending attempts at the
// given replicas count like those that ended without an answer.
func (c *centre) unreachable(now time.Time, pendingCount int, replicas map[string]bool) bool {
	if now.Sub(c.lastAnswer) < unreachableAfter || c.unanswered+pendingCount < minAttempts {
		return false
	}
	distinct := len(c.silent)
	for replica := range replicas {
		if !c.silent[replica] {
			distinct++
		}
	}
	return distinct >= min(minSilentReplicas, c.replicas)
}
