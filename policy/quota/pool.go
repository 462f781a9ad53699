package quota

import (
	"time"
)

const (
	// leaseTTL is how long a part is lent after a report. It covers two lost reports.
	leaseTTL = 700 * time.Millisecond
	// heldTTL is how long the reserve of a node counts after the node reported it, and
	// heldSweepInterval the time between two removals of reserves that no longer count.
	heldTTL           = 2 * inactiveAfter
	heldSweepInterval = time.Second
	// sweepInterval is the time between two removals of accounts without demand.
	sweepInterval = 10 * time.Second
	// minDepth is the least depth of a bucket: less would never hold a whole request.
	minDepth = 1.0
)

// Pool is the allowance of the parts that nodes have lent to a manager. Not safe for
// concurrent use.
type Pool struct {
	bound  Bound
	leases map[string]partLease
	// lent is the sum of the leases' parts. No lease ends before firstEnd.
	lent     float64
	firstEnd time.Time
	// filled is the integral of the share over time in seconds until at.
	filled   float64
	at       time.Time
	accounts map[string]*bucket
	sweepAt  time.Time
}

// partLease is the part that one node has lent.
type partLease struct {
	share float64
	until time.Time
}

// bucket is the allowance of one account.
type bucket struct {
	version     uint64
	rate, burst float64
	allowance   float64
	// filled is Pool.filled as of the last refill, and usedAt the time of the last demand.
	filled float64
	usedAt time.Time
	// held holds the reserves of the nodes, and heldSum their sum.
	held        map[string]heldReserve
	heldSum     float64
	heldSweepAt time.Time
}

// heldReserve is the reserve that one node reported, with what it was granted then.
type heldReserve struct {
	amount float64
	until  time.Time
}

// NewPool returns an empty pool. Its buckets fill from now on.
func NewPool(b Bound, now time.Time) *Pool {
	return &Pool{bound: b, leases: make(map[string]partLease), at: now, accounts: make(map[string]*bucket)}
}

// Handle renews the lease of the report's part and grants its demands.
func (p *Pool) Handle(now time.Time, r *Report) Reply {
	if r.Probe {
		return Reply{}
	}
	p.advance(now)
	p.renew(now, r.Node, r.Share)
	p.sweep(now)
	reply := Reply{Grants: make([]Grant, 0, len(r.Demands))}
	for i := range r.Demands {
		d := &r.Demands[i]
		b := p.refill(now, r.Version, d)
		reply.Grants = append(reply.Grants, p.grant(now, b, r.Node, d))
	}
	return reply
}

func (p *Pool) renew(now time.Time, node string, share float64) {
	until := now.Add(leaseTTL)
	if len(p.leases) == 0 {
		p.firstEnd = until
	}
	p.lent += share - p.leases[node].share
	p.leases[node] = partLease{share: share, until: until}
}

// share returns the part of every cap that the pool may grant. While a node joins, the nodes'
// views of the fleet may differ, and their parts may add up to more than 1.
func (p *Pool) share() float64 { return min(p.lent, 1) }

// advance integrates the parts up to now and removes the leases that have ended.
func (p *Pool) advance(now time.Time) {
	for !now.Before(p.firstEnd) && len(p.leases) > 0 {
		p.fill(p.firstEnd)
		p.endLeases(p.firstEnd)
	}
	p.fill(now)
}

func (p *Pool) fill(until time.Time) {
	if step := until.Sub(p.at); step > 0 {
		p.filled += p.share() * step.Seconds()
		p.at = until
	}
}

// endLeases removes the leases that end at or before a time, and adds up the others anew.
func (p *Pool) endLeases(at time.Time) {
	p.lent = 0
	first := time.Time{}
	for node, lease := range p.leases {
		if !lease.until.After(at) {
			delete(p.leases, node)
			continue
		}
		p.lent += lease.share
		if first.IsZero() || lease.until.Before(first) {
			first = lease.until
		}
	}
	p.firstEnd = first
}

// refill returns the account's bucket as of now, with the newest cap.
func (p *Pool) refill(now time.Time, version uint64, d *Demand) *bucket {
	b := p.accounts[d.Account]
	if b == nil {
		// The bucket has filled since the pool was made.
		b = &bucket{held: make(map[string]heldReserve), allowance: startPart * p.share() * p.bound.tolerance(d.Rate, d.Burst)}
		p.accounts[d.Account] = b
	}
	if version >= b.version {
		b.version, b.rate, b.burst = version, d.Rate, d.Burst
	}
	b.allowance = min(b.allowance+b.rate*(p.filled-b.filled), max(p.share()*b.burst, minDepth))
	b.filled, b.usedAt = p.filled, now
	return b
}

// grant takes the demand out of a bucket: first what is due, then the reserve.
func (p *Pool) grant(now time.Time, b *bucket, node string, d *Demand) Grant {
	due := min(d.Due, b.allowance)
	b.allowance -= due
	b.sweepHeld(now)
	left := reservePart*p.bound.tolerance(b.rate, b.burst) - (b.heldSum - b.held[node].amount)
	reserve := max(0, min(d.Reserve, b.allowance, left-d.Held))
	b.allowance -= reserve
	b.hold(node, heldReserve{amount: d.Held + reserve, until: now.Add(heldTTL)})
	g := Grant{Allowance: due + reserve}
	if rate := b.rate * p.share(); b.allowance < 1 && rate > 0 {
		g.Wait = time.Duration(min((1-b.allowance)/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	return g
}

func (b *bucket) hold(node string, h heldReserve) {
	b.heldSum += h.amount - b.held[node].amount
	b.held[node] = h
}

// sweepHeld removes the reserves that no longer count, and adds up the others anew.
func (b *bucket) sweepHeld(now time.Time) {
	if now.Before(b.heldSweepAt) {
		return
	}
	b.heldSweepAt = now.Add(heldSweepInterval)
	b.heldSum = 0
	for node, h := range b.held {
		if now.After(h.until) {
			delete(b.held, node)
			continue
		}
		b.heldSum += h.amount
	}
}

// sweep removes the buckets of accounts without demand whose allowance is full again.
func (p *Pool) sweep(now time.Time) {
	if now.Before(p.sweepAt) {
		return
	}
	p.sweepAt = now.Add(sweepInterval)
	for name, b := range p.accounts {
		idle := b.rate * (p.filled - b.filled)
		if now.Sub(b.usedAt) > sweepInterval && b.allowance+idle >= b.burst {
			delete(p.accounts, name)
		}
	}
}
