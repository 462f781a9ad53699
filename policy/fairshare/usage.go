package fairshare

import (
	"math"
	"time"
)

const (
	// usualWindow and presentWindow are the time constants of the usual and the present rate of
	// an account.
	usualWindow   = time.Minute
	presentWindow = time.Second
	// maxSurge is the multiple of the usual rate from which the further requests of an account
	// lose their priority.
	maxSurge = 1.6
	// minSurgeSamples is the least number of recent requests from which an account counts as
	// above its usual rate.
	minSurgeSamples = 12.0
	// maxAccounts bounds the accounts whose usage is known. Those without recent requests are
	// forgotten.
	maxAccounts = 4096
)

// usage is the use of the node by one account, or by all together.
type usage struct {
	first, at time.Time
	// usual and present are the numbers of requests, each reduced by its age.
	usual, present float64
	// excess is the part of a request by which the account is above its usual rate.
	excess float64
}

func (u *usage) record(now time.Time) {
	if u.first.IsZero() {
		u.first, u.at = now, now
	}
	age := now.Sub(u.at)
	u.usual = u.usual*math.Exp(-float64(age)/float64(usualWindow)) + 1
	u.present = u.present*math.Exp(-float64(age)/float64(presentWindow)) + 1
	u.at = now
}

// rates returns the usual and the present rate, corrected for the time since the first request.
func (u *usage) rates(now time.Time) (usual, present float64) {
	known := float64(now.Sub(u.first))
	usual = u.usual / (usualWindow.Seconds() * (1 - math.Exp(-known/float64(usualWindow))))
	present = u.present / (presentWindow.Seconds() * (1 - math.Exp(-known/float64(presentWindow))))
	return usual, present
}

// Arrived records a request of an account, before it is pushed or started. The part of an
// account's requests that exceeds several times its usual rate, and an equal share of the node's
// starts, is surplus: it goes after the requests of others, whatever its priority. Otherwise the
// urgent requests of one account would displace the less urgent ones of all others. While the
// others send more than usual too, an account may do so as well.
func (q *Queue) Arrived(now time.Time, account string) (surplus bool) {
	q.total.record(now)
	if account == "" {
		return false
	}
	u := q.usages[account]
	if u == nil {
		u = q.newUsage(account)
	}
	u.record(now)
	if u.present < minSurgeSamples || now.Sub(u.first) < presentWindow {
		return false
	}
	usual, present := u.rates(now)
	totalUsual, totalPresent := q.total.rates(now)
	growth := 1.0
	if others := totalUsual - usual; others > 0 {
		growth = max(1, (totalPresent-present)/others)
	}
	allowed := max(maxSurge*usual*growth, q.rate.perSecond(now)/float64(len(q.usages)))
	if present <= allowed {
		u.excess = 0
		return false
	}
	u.excess += 1 - allowed/present
	if u.excess < 1 {
		return false
	}
	u.excess--
	return true
}

func (q *Queue) newUsage(account string) *usage {
	if q.usages == nil {
		q.usages = make(map[string]*usage)
	}
	if len(q.usages) >= maxAccounts {
		for name, u := range q.usages {
			if q.total.at.Sub(u.at) > usualWindow {
				delete(q.usages, name)
			}
		}
	}
	u := &usage{}
	if len(q.usages) < maxAccounts {
		q.usages[account] = u
	}
	return u
}
