package ownership

import "time"

// Node is one boot of one node.
type Node struct {
	Name string
	Boot uint64
}

// Candidate is another node of a replica's data centre that is not confirmed gone.
type Candidate struct {
	Node
	// LeavingFor is how long ago this node heard that it shuts down; 0 when it
	// does not.
	LeavingFor time.Duration
}

// Ranking is the ranking for one replica around this node.
type Ranking struct {
	// Higher are the rivals that rank higher, Lower those that rank lower, both
	// best first.
	Higher, Lower []Candidate
}

// ClaimParams are the times of Claims.
type ClaimParams struct {
	// Lease is how long a granted claim lasts, from the moment the claim was
	// sent, by the claimant's clock.
	Lease time.Duration
	// Margin is added by the granter: it covers the time between the last check
	// of a claim and the send, and clocks of slightly different speed.
	Margin time.Duration
	// MaxGranters bounds the nodes asked for one replica. In a data centre with
	// more nodes, a newcomer that the claimant does not know could ask others; so
	// a newcomer waits until its join has spread before it claims.
	MaxGranters int
}

// DefaultClaimParams let a cold replica rest about 4 s after its first owner
// stopped without a word.
func DefaultClaimParams() ClaimParams {
	return ClaimParams{Lease: 2 * time.Second, Margin: time.Second, MaxGranters: 8}
}

// Claims decides whether this node may use a cold replica: at most one node of
// a data centre does at any time, although nodes disagree on the members, are
// paused, cut off and replaced.
//
// The first-ranked node asks the nodes ranked below it for consent. A node that
// consents promises not to use the replica until its grant has lapsed, and a
// little longer. So a claimant that hears nothing has to stop first, by its own
// clock, and only then may the next one start. A node above that never asked
// this one has its consent from others; its place is free only once it is
// confirmed gone.
//
// A claimant that learns of a node above gives its consents back, see Release, so
// that nobody has to wait until they lapse.
//
// Claims is not safe for concurrent use.
type Claims struct {
	params ClaimParams
	// held are this node's claims by replica: each node that was ever asked. A node
	// that was asked may have granted although its answer was lost, so its consent
	// is needed from then on.
	held map[string]map[Node]consent
	// given are the grants to others by replica, lapsed ones included: they show
	// which claimants depend on this node.
	given map[string]map[Node]grant
	// used is when this node was last allowed to send to a replica.
	used map[string]time.Time
	// ceded is when this node last gave its consents to a replica back. Answers to
	// questions sent up to then count no more.
	ceded map[string]time.Time
	// round numbers the messages of this boot with claims or releases.
	round uint64
}

// consent is what this node knows of another one's consent to it.
type consent struct {
	// until is when the consent lapses, by this node's clock.
	until time.Time
	// asked is the round of the last question that was not given back since; 0
	// when there is none.
	asked uint64
}

// grant is this node's consent to one claimant.
type grant struct {
	lapses time.Time
	// asked is when the claimant asked last, granted or not. While it asks, this
	// node stops and lets it have the replica.
	asked time.Time
	// round is the highest round of a claim that was granted, released that of a
	// release that was taken.
	round, released uint64
}

// Claim names what one message of a node says about one replica: that it claims
// the replica, or that it gives a consent back.
type Claim struct {
	Replica  string
	Claimant Node
	// Round is the number of the message, see NextRound; 0 when the node counts
	// none.
	Round uint64
}

// NewClaims returns claims of a node that has just started and holds nothing.
func NewClaims(params ClaimParams) *Claims {
	return &Claims{
		params: params,
		held:   make(map[string]map[Node]consent),
		given:  make(map[string]map[Node]grant),
		used:   make(map[string]time.Time),
		ceded:  make(map[string]time.Time),
	}
}

// NextRound begins a round of messages and returns its number, which goes with
// each of them. Call BeginClaim and Release for a replica in different rounds.
func (c *Claims) NextRound() uint64 {
	c.round++
	return c.round
}

// MayUse reports whether this node may send to the replica now. settle is the
// longest time that one request takes there.
func (c *Claims) MayUse(now time.Time, replica string, order Ranking, settle time.Duration) bool {
	if !c.vacant(now, replica, order.Higher, settle) {
		return false
	}
	// Promises to nodes that are gone by now are left.
	if c.promised(now, replica, func(n Node) bool { return isAbove(order, n) }) {
		return false
	}
	if len(c.MissingConsents(now, replica, order, settle)) > 0 {
		return false
	}
	c.used[replica] = now
	return true
}

// vacant reports whether every node ranked above has stopped using the replica.
func (c *Claims) vacant(now time.Time, replica string, above []Candidate, settle time.Duration) bool {
	for _, rival := range above {
		if rival.LeavingFor > 0 && rival.LeavingFor >= settle {
			continue
		}
		grant, granted := c.given[replica][rival.Node]
		if !granted || now.Before(grant.lapses) || now.Sub(grant.asked) < c.params.Lease {
			return false
		}
	}
	return true
}

// promised reports whether this node's consent to some other node than the given
// ones still holds.
func (c *Claims) promised(now time.Time, replica string, except func(Node) bool) bool {
	for node, g := range c.given[replica] {
		if now.Before(g.lapses) && !except(node) {
			return true
		}
	}
	return false
}

// isAbove reports whether a node ranks above this one.
func isAbove(order Ranking, node Node) bool {
	for _, rival := range order.Higher {
		if rival.Node == node {
			return true
		}
	}
	return false
}

// granters are the nodes whose consent this node needs: the next few below, and
// all asked before that are not confirmed gone.
func (c *Claims) granters(replica string, order Ranking) []Node {
	var nodes []Node
	for i, rival := range order.Lower {
		_, asked := c.held[replica][rival.Node]
		if i < c.params.MaxGranters || asked {
			nodes = append(nodes, rival.Node)
		}
	}
	return nodes
}

// BeginClaim returns the nodes to ask for consent now: none while a node above may use
// the replica. Send the question after this call, and report grants with the
// time of this call.
func (c *Claims) BeginClaim(now time.Time, replica string, order Ranking, settle time.Duration) []Node {
	if !c.vacant(now, replica, order.Higher, settle) {
		return nil
	}
	asked := c.granters(replica, order)
	if c.held[replica] == nil {
		c.held[replica] = make(map[Node]consent)
	}
	held := c.held[replica]
	for _, node := range asked {
		held[node] = consent{until: held[node].until, asked: c.round}
	}
	return asked
}

// MissingConsents returns the nodes whose consent this node lacks for a replica whose
// turn it is to use: while there are any, the replica rests.
func (c *Claims) MissingConsents(now time.Time, replica string, order Ranking, settle time.Duration) []Node {
	if !c.vacant(now, replica, order.Higher, settle) {
		return nil
	}
	var missing []Node
	for _, granter := range c.granters(replica, order) {
		if !now.Before(c.held[replica][granter].until) {
			missing = append(missing, granter)
		}
	}
	return missing
}

// RecordGrant notes the consent of a node to a claim sent at that time. The answer
// to a claim that was given back since comes too late: the granter may have
// consented to another node on the release.
func (c *Claims) RecordGrant(sent time.Time, replica string, by Node) {
	if !sent.After(c.ceded[replica]) {
		return
	}
	until := sent.Add(c.params.Lease)
	if known, asked := c.held[replica][by]; asked && until.After(known.until) {
		c.held[replica][by] = consent{until: until, asked: known.asked}
	}
}

// Grant decides on the claim of a node ranked above this one. inFlight is the
// number of this node's own requests at the replica.
//
// Consent goes to one claimant at a time: two newcomers that do not know each
// other both ask the nodes that were there before them.
func (c *Claims) Grant(now time.Time, claim Claim, order Ranking, inFlight int, settle time.Duration) bool {
	c.prune(now, claim.Replica, order)
	known, ok := c.given[claim.Replica][claim.Claimant]
	if claim.Round <= known.released && claim.Round > 0 {
		// It was sent before the release and overtaken by it.
		return false
	}
	if ok {
		known.asked = now
		c.given[claim.Replica][claim.Claimant] = known
	}
	if !c.stopped(now, claim.Replica, inFlight) {
		return false
	}
	if !isAbove(order, claim.Claimant) || c.promised(now, claim.Replica, func(n Node) bool { return n == claim.Claimant }) {
		return false
	}
	known.lapses = now.Add(c.params.Lease + c.params.Margin + settle)
	known.asked = now
	known.round = max(known.round, claim.Round)
	c.give(claim, known)
	return true
}

// give notes a grant.
func (c *Claims) give(claim Claim, g grant) {
	if c.given[claim.Replica] == nil {
		c.given[claim.Replica] = make(map[Node]grant)
	}
	c.given[claim.Replica][claim.Claimant] = g
}

// stopped reports whether nothing of this node runs or can still start at a
// replica: no request is in flight, and the last permission to send one is older
// than the time between a permission and its send.
func (c *Claims) stopped(now time.Time, replica string, inFlight int) bool {
	return inFlight == 0 && now.Sub(c.used[replica]) >= c.params.Margin
}

// Reset drops all claims and grants: the node goes on as a new boot, and others
// may hold what the old one held. What it uses stays known, so that it consents to
// nobody while its own last request may be running.
func (c *Claims) Reset() {
	c.held = make(map[string]map[Node]consent)
	c.given = make(map[string]map[Node]grant)
}

// prune drops lapsed grants to nodes that are no rivals any more.
func (c *Claims) prune(now time.Time, replica string, order Ranking) {
	for node, g := range c.given[replica] {
		if !isAbove(order, node) && !now.Before(g.lapses) {
			delete(c.given[replica], node)
		}
	}
}

// Forget drops what depends on a node that is confirmed gone. Grants to it still
// have to lapse: if the confirmation is wrong, because the platform answered
// from the past, the node may be sending.
func (c *Claims) Forget(now time.Time, node Node) {
	for _, held := range c.held {
		delete(held, node)
	}
	for _, given := range c.given {
		if g, ok := given[node]; ok && !now.Before(g.lapses) {
			delete(given, node)
		}
	}
}
