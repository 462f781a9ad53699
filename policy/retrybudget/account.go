package retrybudget

import (
	"math"
	"time"
)

const (
	// accountPart is the part of a budget that one client account may use while others send
	// requests. Otherwise an account that sends many times its usual requests leaves the
	// others without retries.
	accountPart = 0.5
	// windowShare is the part of a window's steady requests that a recent counts.
	windowShare = 1 / (2 * math.Ln2)
	// forgottenBelow is the number of extra requests below which an account is forgotten.
	forgottenBelow = 0.1
)

// accounts counts how much of a budget each client account uses.
type accounts struct {
	// last and other are the two accounts that have sent the newest requests.
	last, other sender
	extras      map[string]recent
	sweepAt     time.Time
}

// sender is an account and the time of its newest request.
type sender struct {
	name string
	at   time.Time
}

// recent counts extra requests, each of which counts half after half a window.
type recent struct {
	// count is the sum. At a steady rate it is windowShare of the requests of a window.
	count float64
	at    time.Time
}

func (r recent) atTime(now time.Time, window time.Duration) float64 {
	return r.count * math.Exp2(-float64(now.Sub(r.at))/float64(window/2))
}

// recordRequest records a request of an account; empty without one.
func (a *accounts) recordRequest(now time.Time, name string) {
	if a.last.name != name {
		a.other = a.last
	}
	a.last = sender{name: name, at: now}
}

// shared reports whether another account has sent a request within the window.
func (a *accounts) shared(now time.Time, name string, window time.Duration) bool {
	for _, s := range []sender{a.last, a.other} {
		if s.name != name && !s.at.IsZero() && now.Sub(s.at) < window {
			return true
		}
	}
	return false
}

// allows reports whether an account may use one more extra request of a budget.
func (a *accounts) allows(now time.Time, name string, window time.Duration, budget float64) bool {
	if name == "" || !a.shared(now, name, window) {
		return true
	}
	return a.extras[name].atTime(now, window)/windowShare+1 <= max(accountPart*budget, 1)
}

func (a *accounts) recordExtra(now time.Time, name string, window time.Duration) {
	if name == "" {
		return
	}
	if a.extras == nil {
		a.extras = make(map[string]recent)
	}
	a.extras[name] = recent{count: a.extras[name].atTime(now, window) + 1, at: now}
	if now.Before(a.sweepAt) {
		return
	}
	a.sweepAt = now.Add(window)
	for other, r := range a.extras {
		if r.atTime(now, window) < forgottenBelow {
			delete(a.extras, other)
		}
	}
}
