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
	// consents are this node's claims by replica: each node that was ever asked. A node
	// that was asked may have granted although its answer was lost, so its consent
	// is needed from then on.
	consents map[string]map[Node]consent
	// grants are the grants to others by replica, lapsed ones included: they show
	// which claimants depend on this node.
	grants map[string]map[Node]grant
	// lastUse is when this node was last allowed to send to a replica.
	lastUse map[string]time.Time
	// lastRelease is when this node last gave its consents to a replica back. Answers to
	// questions sent up to then count no more.
	lastRelease map[string]time.Time
	// round numbers the messages of this boot with claims or releases.
	round uint64
}

// consent is what this node knows of another one's consent to it.
type consent struct {
	// expires is when the consent lapses, by this node's clock.
	expires time.Time
	// requestRound is the round of the last question that was not given back since; 0
	// when there is none.
	requestRound uint64
}

// grant is this node's consent to one claimant.
type grant struct {
	expires time.Time
	// lastRequest is when the claimant lastRequest last, granted or not. While it asks, this
	// node stops and lets it have the replica.
	lastRequest time.Time
	// grantedRound is the highest grantedRound of a claim that was granted, releasedRound that of a
	// release that was taken.
	grantedRound, releasedRound uint64
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
		params:      params,
		consents:    make(map[string]map[Node]consent),
		grants:      make(map[string]map[Node]grant),
		lastUse:     make(map[string]time.Time),
		lastRelease: make(map[string]time.Time),
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
	if !c.higherStopped(now, replica, order.Higher, settle) {
		return false
	}
	// Promises to nodes that are gone by now are left.
	if c.hasOtherGrant(now, replica, func(n Node) bool { return ranksHigher(order, n) }) {
		return false
	}
	if len(c.MissingConsents(now, replica, order, settle)) > 0 {
		return false
	}
	c.lastUse[replica] = now
	return true
}

// higherStopped reports whether every node ranked above has stopped using the replica.
func (c *Claims) higherStopped(now time.Time, replica string, above []Candidate, settle time.Duration) bool {
	for _, rival := range above {
		if rival.LeavingFor > 0 && rival.LeavingFor >= settle {
			continue
		}
		grant, granted := c.grants[replica][rival.Node]
		if !granted || now.Before(grant.expires) || now.Sub(grant.lastRequest) < c.params.Lease {
			return false
		}
	}
	return true
}

// hasOtherGrant reports whether this node's consent to some other node than the given
// ones still holds.
func (c *Claims) hasOtherGrant(now time.Time, replica string, except func(Node) bool) bool {
	for node, g := range c.grants[replica] {
		if now.Before(g.expires) && !except(node) {
			return true
		}
	}
	return false
}

// ranksHigher reports whether a node ranks above this one.
func ranksHigher(order Ranking, node Node) bool {
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
		_, asked := c.consents[replica][rival.Node]
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
	if !c.higherStopped(now, replica, order.Higher, settle) {
		return nil
	}
	asked := c.granters(replica, order)
	if c.consents[replica] == nil {
		c.consents[replica] = make(map[Node]consent)
	}
	held := c.consents[replica]
	for _, node := range asked {
		held[node] = consent{expires: held[node].expires, requestRound: c.round}
	}
	return asked
}

// MissingConsents returns the nodes whose consent this node lacks for a replica whose
// turn it is to use: while there are any, the replica rests.
func (c *Claims) MissingConsents(now time.Time, replica string, order Ranking, settle time.Duration) []Node {
	if !c.higherStopped(now, replica, order.Higher, settle) {
		return nil
	}
	var missing []Node
	for _, granter := range c.granters(replica, order) {
		if !now.Before(c.consents[replica][granter].expires) {
			missing = append(missing, granter)
		}
	}
	return missing
}

// RecordGrant notes the consent of a node to a claim sent at that time. The answer
// to a claim that was given back since comes too late: the granter may have
// consented to another node on the release.
func (c *Claims) RecordGrant(sent time.Time, replica string, by Node) {
	if !sent.After(c.lastRelease[replica]) {
		return
	}
	until := sent.Add(c.params.Lease)
	if known, asked := c.consents[replica][by]; asked && until.After(known.expires) {
		c.consents[replica][by] = consent{expires: until, requestRound: known.requestRound}
	}
}

// Grant decides on the claim of a node ranked above this one. inFlight is the
// number of this node's own requests at the replica.
//
// Consent goes to one claimant at a time: two newcomers that do not know each
// other both ask the nodes that were there before them.
func (c *Claims) Grant(now time.Time, claim Claim, order Ranking, inFlight int, settle time.Duration) bool {
	c.pruneGrants(now, claim.Replica, order)
	known, ok := c.grants[claim.Replica][claim.Claimant]
	if claim.Round <= known.releasedRound && claim.Round > 0 {
		// It was sent before the release and overtaken by it.
		return false
	}
	if ok {
		known.lastRequest = now
		c.grants[claim.Replica][claim.Claimant] = known
	}
	if !c.stopped(now, claim.Replica, inFlight) {
		return false
	}
	if !ranksHigher(order, claim.Claimant) || c.hasOtherGrant(now, claim.Replica, func(n Node) bool { return n == claim.Claimant }) {
		return false
	}
	known.expires = now.Add(c.params.Lease + c.params.Margin + settle)
	known.lastRequest = now
	known.grantedRound = max(known.grantedRound, claim.Round)
	c.storeGrant(claim, known)
	return true
}

// storeGrant notes a grant.
func (c *Claims) storeGrant(claim Claim, g grant) {
	if c.grants[claim.Replica] == nil {
		c.grants[claim.Replica] = make(map[Node]grant)
	}
	c.grants[claim.Replica][claim.Claimant] = g
}

// stopped reports whether nothing of this node runs or can still start at a
// replica: no request is in flight, and the last permission to send one is older
// than the time between a permission and its send.
func (c *Claims) stopped(now time.Time, replica string, inFlight int) bool {
	return inFlight == 0 && now.Sub(c.lastUse[replica]) >= c.params.Margin
}

// Reset drops all claims and grants: the node goes on as a new boot, and others
// may hold what the old one held. What it uses stays known, so that it consents to
// nobody while its own last request may be running.
func (c *Claims) Reset() {
	c.consents = make(map[string]map[Node]consent)
	c.grants = make(map[string]map[Node]grant)
}

// pruneGrants drops lapsed grants to nodes that are no rivals any more.
func (c *Claims) pruneGrants(now time.Time, replica string, order Ranking) {
	for node, g := range c.grants[replica] {
		if !ranksHigher(order, node) && !now.Before(g.expires) {
			delete(c.grants[replica], node)
		}
	}
}

// Forget drops what depends on a node that is confirmed gone. Grants to it still
// have to lapse: if the confirmation is wrong, because the platform answered
// from the past, the node may be sending.
func (c *Claims) Forget(now time.Time, node Node) {
	for _, held := range c.consents {
		delete(held, node)
	}
	for _, given := range c.grants {
		if g, ok := given[node]; ok && !now.Before(g.expires) {
			delete(given, node)
		}
	}
}
