// Package reach judges which data centres a node can reach, from the answers of their
// replicas and from attempts that got none. It answers partitions: a node learns of a
// cut once for a whole data centre, instead of once for each replica behind it.
package reach

import (
	"slices"
	"time"
)

const (
	// silentFor is how long no replica of a data centre may have answered before it
	// counts as out of reach. Replicas pause for up to a sixth of a second, each at
	// its own time; a whole data centre never does. A node of a busy fleet hears from
	// each data centre some fifty times a second.
	silentFor = 400 * time.Millisecond
	// silentAttempts and silentReplicas is the evidence needed beside time: an idle
	// node hears nothing either, and one dark replica is not a data centre that has
	// others.
	silentAttempts = 4
	silentReplicas = 2
	// isolatedFrom is the least number of other data centres that must all be out of
	// reach for the node to count as isolated: with one, it may be the other side
	// that is cut off.
	isolatedFrom = 2
	// quietFor is how long a data centre may have been silent before it is probed while
	// another one is out of reach.
	quietFor = 200 * time.Millisecond
)

// Tracker is what one node knows. Not safe for concurrent use.
type Tracker struct {
	own     string
	centres map[string]*centre
}

// centre is what is known of one data centre.
type centre struct {
	// replicas is how many are known.
	replicas int
	answered time.Time
	attempts int
	silent   map[string]bool
}

// New returns a tracker of a node in a data centre.
func New(own string) *Tracker {
	return &Tracker{own: own, centres: make(map[string]*centre)}
}

// SetDataCentres replaces the data centres in which replicas are known. replicas holds how many.
func (t *Tracker) SetDataCentres(now time.Time, replicas map[string]int) {
	for name := range t.centres {
		if replicas[name] == 0 {
			delete(t.centres, name)
		}
	}
	for name, n := range replicas {
		if t.centres[name] == nil {
			t.centres[name] = &centre{answered: now, silent: make(map[string]bool)}
		}
		t.centres[name].replicas = n
	}
}

// RecordAnswer notes that a replica of the data centre answered anything at all.
func (t *Tracker) RecordAnswer(now time.Time, name string) {
	c := t.centres[name]
	if c == nil {
		return
	}
	c.answered = now
	if c.attempts > 0 {
		c.attempts = 0
		clear(c.silent)
	}
}

// RecordNoAnswer notes that an attempt at a replica got no answer.
func (t *Tracker) RecordNoAnswer(name, replica string) {
	c := t.centres[name]
	if c == nil {
		return
	}
	c.attempts++
	if len(c.silent) < silentReplicas {
		c.silent[replica] = true
	}
}

// PendingAttempt is an attempt that has been out at a replica for longer than replicas pause.
type PendingAttempt struct {
	DataCentre, Replica string
}

// Reachability says what a node can reach. Immutable.
type Reachability struct {
	// Unreachable holds the data centres that are out of reach.
	Unreachable map[string]bool
	// Isolated is set when every other data centre is out of reach, or most are and what
	// is left can answer too little. Callers are then better served by other nodes.
	Isolated bool
	// Probe lists the data centres that need a probe: those out of reach, and those that
	// were silent for a while although another one is out of reach. Requests that are
	// refused for want of shards reach nobody, so that without probes an idle link
	// would count as working for as long as a cut lasts.
	Probe []string
}

// Evaluate weighs the attempts that ended without an answer and those that still wait.
// sufficient reports whether requests can be answered without the given data centres.
func (t *Tracker) Evaluate(now time.Time, waiting []PendingAttempt, sufficient func(out map[string]bool) bool) Reachability {
	attempts := make(map[string]int)
	replicas := make(map[string]map[string]bool)
	for _, w := range waiting {
		attempts[w.DataCentre]++
		if replicas[w.DataCentre] == nil {
			replicas[w.DataCentre] = make(map[string]bool)
		}
		replicas[w.DataCentre][w.Replica] = true
	}
	j := Reachability{Unreachable: make(map[string]bool)}
	for name, c := range t.centres {
		if c.out(now, attempts[name], replicas[name]) {
			j.Unreachable[name] = true
		}
	}
	j.Isolated = t.isolated(j.Unreachable, sufficient)
	j.Probe = t.probes(now, j.Unreachable)
	return j
}

// isolated reports whether callers are better served elsewhere.
func (t *Tracker) isolated(out map[string]bool, sufficient func(out map[string]bool) bool) bool {
	others, unreachable := 0, 0
	for name := range t.centres {
		if name == t.own {
			continue
		}
		others++
		if out[name] {
			unreachable++
		}
	}
	reachable := others - unreachable
	switch {
	case others < isolatedFrom:
		return false
	case reachable == 0:
		return true
	case unreachable <= reachable+1:
		// This node is on the larger side, or on one of two equal ones.
		return false
	}
	return !sufficient(out)
}

// probes returns the data centres that need a probe, in order of name.
func (t *Tracker) probes(now time.Time, out map[string]bool) []string {
	if len(out) == 0 {
		return nil
	}
	var names []string
	for name, c := range t.centres {
		if out[name] || name != t.own && now.Sub(c.answered) >= quietFor {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// out reports whether the data centre is out of reach, with the attempts that wait
// beside those that have ended.
func (c *centre) out(now time.Time, waiting int, replicas map[string]bool) bool {
	if now.Sub(c.answered) < silentFor || c.attempts+waiting < silentAttempts {
		return false
	}
	distinct := len(c.silent)
	for replica := range replicas {
		if !c.silent[replica] {
			distinct++
		}
	}
	return distinct >= min(silentReplicas, c.replicas)
}
