package route

import "time"

// ageTolerance is the difference between the timeouts of caller and route that comes from
// rounding and transit.
const ageTolerance = 5 * time.Millisecond

// Age returns how long ago the caller of a request sent its first attempt. A caller that
// repeats a request states its remaining time, which is shorter than the timeout of the route
// by the age. remaining is 0 if the caller has not stated it.
func (r *Route) Age(remaining time.Duration) time.Duration {
	age := r.Timeout - remaining
	if remaining <= 0 || r.Timeout <= 0 || age <= ageTolerance {
		return 0
	}
	return age
}
