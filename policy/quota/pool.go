package quota

import (
	"time"
)

const (
	// leaseTTL is how long a part is lent after a report. It covers two lost reports.
	leaseTTL = 700 * time.Millisecond
	// heldTTL is how long the reserve of a node counts after the node reported it.
	heldTTL = 2 * inactiveAfter
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
	// share is the sum of the leases' parts, and filled its integral over time in seconds
	// until at.
	share, filled float64
	at            time.Time
	accounts      map[string]*bucket
	sweepAt       time.Time
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
	// held holds the reserves of the nodes.
	held map[string]heldReserve
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
	p.leases[r.Node] = partLease{share: r.Share, until: now.Add(leaseTTL)}
	p.sumShares()
	p.sweep(now)
	reply := Reply{Grants: make([]Grant, 0, len(r.Demands))}
	for i := range r.Demands {
		d := &r.Demands[i]
		b := p.refill(now, r.Version, d)
		reply.Grants = append(reply.Grants, p.grant(now, b, r.Node, d))
	}
	return reply
}

// advance integrates the parts up to now and removes the leases that have ended.
func (p *Pool) advance(now time.Time) {
	for {
		ended, at := "", now
		for node, lease := range p.leases {
			if lease.until.Before(at) {
				ended, at = node, lease.until
			}
		}
		if step := at.Sub(p.at); step > 0 {
			p.filled += p.share * step.Seconds()
			p.at = at
		}
		if ended == "" {
			return
		}
		delete(p.leases, ended)
		p.sumShares()
	}
}

// sumShares adds up the parts. While a node joins, the nodes' views of the fleet may differ.
func (p *Pool) sumShares() {
	sum := 0.0
	for _, lease := range p.leases {
		sum += lease.share
	}
	p.share = min(sum, 1)
}

// refill returns the account's bucket as of now, with the newest cap.
func (p *Pool) refill(now time.Time, version uint64, d *Demand) *bucket {
	b := p.accounts[d.Account]
	if b == nil {
		// The bucket has filled since the pool was made.
		b = &bucket{held: make(map[string]heldReserve), allowance: startPart * p.share * p.bound.tolerance(d.Rate, d.Burst)}
		p.accounts[d.Account] = b
	}
	if version >= b.version {
		b.version, b.rate, b.burst = version, d.Rate, d.Burst
	}
	b.allowance = min(b.allowance+b.rate*(p.filled-b.filled), max(p.share*b.burst, minDepth))
	b.filled, b.usedAt = p.filled, now
	return b
}

// grant takes the demand out of a bucket: first what is due, then the reserve.
func (p *Pool) grant(now time.Time, b *bucket, node string, d *Demand) Grant {
	due := min(d.Due, b.allowance)
	b.allowance -= due
	reserve := max(0, min(d.Reserve, b.allowance, p.reserveLeft(now, b, node)-d.Held))
	b.allowance -= reserve
	b.held[node] = heldReserve{amount: d.Held + reserve, until: now.Add(heldTTL)}
	g := Grant{Allowance: due + reserve}
	if b.allowance < 1 && b.rate*p.share > 0 {
		g.Wait = time.Duration((1 - b.allowance) / (b.rate * p.share) * float64(time.Second))
	}
	return g
}

// reserveLeft returns the reserve that a node may hold beside those of the other nodes.
func (p *Pool) reserveLeft(now time.Time, b *bucket, node string) float64 {
	left := reservePart * p.bound.tolerance(b.rate, b.burst)
	for other, h := range b.held {
		switch {
		case now.After(h.until):
			delete(b.held, other)
		case other != node:
			left -= h.amount
		}
	}
	return left
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
