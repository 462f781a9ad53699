package upgrade

import "time"

// HoldTime is how long replicas of a version that a service has not run before receive no
// requests, unless an order comes. Replicas may register before their order is written,
// and an order may arrive a few seconds later at one node than at another.
const HoldTime = 30 * time.Second

// Versions remembers which versions each service has run, and holds new ones. In an ordinary
// release the replicas of the other versions leave as the new ones come, and the first that
// does ends the hold. Not safe for concurrent use.
type Versions struct {
	// holds holds the versions of each service. Those that were there first have the zero
	// value.
	holds map[string]map[string]hold
}

// hold is the hold of one version. It ends at until, or when fewer than others replicas of
// other versions are left.
type hold struct {
	until  time.Time
	others int
}

// NewVersions returns an empty table.
func NewVersions() *Versions { return &Versions{holds: make(map[string]map[string]hold)} }

// Observe records the usable replicas of a service by version. The first versions of a
// service are not held.
func (v *Versions) Observe(now time.Time, service string, replicas map[string]int) {
	known := v.holds[service]
	first := known == nil
	if first {
		known = make(map[string]hold)
		v.holds[service] = known
	}
	for version := range replicas {
		h, ok := known[version]
		switch {
		case !ok && first:
			known[version] = hold{}
		case !ok:
			known[version] = hold{until: now.Add(HoldTime), others: others(replicas, version)}
		case others(replicas, version) < h.others:
			known[version] = hold{}
		}
	}
}

// others counts the replicas of other versions.
func others(replicas map[string]int, version string) int {
	n := 0
	for other, count := range replicas {
		if other != version {
			n += count
		}
	}
	return n
}

// Held reports whether replicas of a version may receive no requests yet.
func (v *Versions) Held(now time.Time, service, version string) bool {
	return now.Before(v.holds[service][version].until)
}

// HeldUntil returns when the first hold of a service ends at the latest; the zero time
// without one.
func (v *Versions) HeldUntil(now time.Time, service string) time.Time {
	var first time.Time
	for _, h := range v.holds[service] {
		if now.Before(h.until) && (first.IsZero() || h.until.Before(first)) {
			first = h.until
		}
	}
	return first
}
