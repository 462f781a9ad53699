package limit

import "time"

// inFlight holds the start time of each request in flight. Linear searches are
// cheap, because a replica has few slots.
type inFlight struct {
	// started is in ascending order.
	started []time.Time
	// held lists when each slot held by a cancelled request becomes free.
	held []time.Time
}

func (f *inFlight) add(now time.Time) {
	f.started = append(f.started, now)
}

// remove deletes the request whose start is closest to the given time.
func (f *inFlight) remove(started time.Time) {
	if len(f.started) == 0 {
		panic("limit: Release without TryAcquire")
	}
	nearest := 0
	for i, at := range f.started {
		if at.Sub(started).Abs() < f.started[nearest].Sub(started).Abs() {
			nearest = i
		}
	}
	f.started = append(f.started[:nearest], f.started[nearest+1:]...)
}

func (f *inFlight) hold(now, until time.Time) {
	f.heldAt(now)
	f.held = append(f.held, until)
}

// heldAt drops expired entries and returns the number of slots still held by
// cancelled requests.
func (f *inFlight) heldAt(now time.Time) int {
	kept := f.held[:0]
	for _, until := range f.held {
		if now.Before(until) {
			kept = append(kept, until)
		}
	}
	f.held = kept
	return len(f.held)
}

func (f *inFlight) oldest() (time.Time, bool) {
	if len(f.started) == 0 {
		return time.Time{}, false
	}
	return f.started[0], true
}
