// Package reach judges which data centres a node can reach, from the answers of their
// replicas and from attempts that got none. It answers partitions: a node learns of a
// cut once for a whole data centre, instead of once for each replica behind it.
package reach

import "time"

const (
	// silentFor is how long no replica of a data centre may have answered before it
	// counts as out of reach. Replicas pause for up to a sixth of a second, each at
	// its own time; a whole data centre never does. A node of a busy fleet hears from
	// each data centre some fifty times a second.
	silentFor = 600 * time.Millisecond
	// silentAttempts and silentReplicas is the evidence needed beside time: an idle
	// node hears nothing either, and one dark replica is not a data centre.
	silentAttempts = 4
	silentReplicas = 2
	// isolatedFrom is the least number of other data centres that must all be out of
	// reach for the node to count as isolated: with one, it may be the other side
	// that is cut off.
	isolatedFrom = 2
)

// Tracker is what one node knows. Not safe for concurrent use.
type Tracker struct {
	own     string
	centres map[string]*centre
}

// centre is what is known of one data centre.
type centre struct {
	answered time.Time
	attempts int
	silent   map[string]bool
}

// New returns a tracker of a node in a data centre.
func New(own string) *Tracker {
	return &Tracker{own: own, centres: make(map[string]*centre)}
}

// Keep replaces the data centres in which replicas are known.
func (t *Tracker) Keep(now time.Time, names map[string]bool) {
	for name := range t.centres {
		if !names[name] {
			delete(t.centres, name)
		}
	}
	for name := range names {
		if t.centres[name] == nil {
			t.centres[name] = &centre{answered: now, silent: make(map[string]bool)}
		}
	}
}

// Answered notes that a replica of the data centre answered anything at all.
func (t *Tracker) Answered(now time.Time, name string) {
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

// Silent notes that an attempt at a replica got no answer.
func (t *Tracker) Silent(name, replica string) {
	c := t.centres[name]
	if c == nil {
		return
	}
	c.attempts++
	if len(c.silent) < silentReplicas {
		c.silent[replica] = true
	}
}

// Out reports whether the data centre is out of reach.
func (t *Tracker) Out(now time.Time, name string) bool {
	c := t.centres[name]
	return c != nil && c.attempts >= silentAttempts && len(c.silent) >= silentReplicas &&
		now.Sub(c.answered) >= silentFor
}

// OutOfReach returns the data centres that are out of reach.
func (t *Tracker) OutOfReach(now time.Time) []string {
	var names []string
	for name := range t.centres {
		if t.Out(now, name) {
			names = append(names, name)
		}
	}
	return names
}

// Isolated reports whether every other data centre is out of reach. Callers are then
// better served by other nodes.
func (t *Tracker) Isolated(now time.Time) bool {
	others := 0
	for name := range t.centres {
		if name == t.own {
			continue
		}
		if !t.Out(now, name) {
			return false
		}
		others++
	}
	return others >= isolatedFrom
}
