package ownership

import "time"

// Node identifies one boot of one node.
type Node struct {
	Name string
	Boot uint64
}

// Candidate is another node of a replica's data centre that is not confirmed gone.
type Candidate struct {
	Node
	// LeavingFor is the time since this node learned that the candidate is shutting
	// down, 0 when it is not.
	LeavingFor time.Duration
}

// Ranking is the ranking of the other nodes for one replica, relative to this node.
type Ranking struct {
	// Higher are the candidates that rank above this node, Lower those that rank
	// below, both highest first.
	Higher, Lower []Candidate
}

// ClaimParams are the parameters of Claims.
type ClaimParams struct {
	// Lease is the duration of a granted claim, measured by the claimant's clock
	// from the time when the claim was sent.
	Lease time.Duration
	// Margin is added to the lease by the granter. It covers the time between the
	// claimant's last call of MayUse and its send, and clock drift.
	Margin time.Duration
	// MaxGranters is the maximum number of the next lower nodes whose consent a
	// claim needs. In a data centre with more nodes, a new node must not claim
	// before its join has reached all members: a claimant without a record of the
	// new node could otherwise hold the consent of a different set of nodes.
	MaxGranters int
}

// DefaultClaimParams returns the parameters for production use. After a crash of the
// node that uses a cold replica, the replica stays unused until the grants to that
// node have expired, for up to Lease + Margin + the maximum request time, about 4 s.
func DefaultClaimParams() ClaimParams {
	return ClaimParams{Lease: 2 * time.Second, Margin: time.Second, MaxGranters: 8}
}

// Claims decides whether this node may use a cold replica. At most one node of a
// data centre may use the replica at any time, even while member tables differ and
// nodes are paused, partitioned and replaced.
//
// The highest-ranked node claims the replica from the nodes ranked below. A node that
// grants the claim does not use the replica before its grant has expired. The grant
// expires later than the lease of the claimant, so a claimant that receives no new
// grant stops, by its own clock, before another node can start. A higher-ranked node
// that never claimed from this node may hold grants of other nodes, so this node
// starts only once that node is confirmed gone or has been leaving for at least the
// maximum request time.
//
// A claimant that learns of a higher-ranked node releases its consents, see Release.
// The other node then need not wait until they expire.
//
// Claims is not safe for concurrent use.
type Claims struct {
	params ClaimParams
	// consents holds, by replica, an entry for each node that was asked for consent
	// and is not confirmed gone. Such a node may have granted a claim although its
	// answer was lost, so its consent is required from then on.
	consents map[string]map[Node]consent
	// grants holds this node's grants by replica. Expired grants are retained,
	// because they show which claimants need this node's consent.
	grants map[string]map[Node]grant
	// lastUse is, by replica, when MayUse last returned true.
	lastUse map[string]time.Time
	// lastRelease is, by replica, when this node last released its consents. Answers
	// to claims sent until then are ignored.
	lastRelease map[string]time.Time
	// round is the number of the latest round of messages, see NextRound.
	round uint64
}

// consent is the consent of another node to this node.
type consent struct {
	// expires is when the consent expires, by this node's clock.
	expires time.Time
	// requestRound is the round of the last claim that has not been released since,
	// 0 for none.
	requestRound uint64
}

// grant is this node's consent to one claimant.
type grant struct {
	expires time.Time
	// lastRequest is when the last claim arrived, granted or not, except a claim that
	// arrived after its release. This node does not use the replica for one lease
	// afterwards.
	lastRequest time.Time
	// grantedRound is the highest round of a granted claim, releasedRound that of an
	// applied release.
	grantedRound, releasedRound uint64
}

// Claim is the claim or the release of one replica in a message of a node.
type Claim struct {
	Replica  string
	Claimant Node
	// Round is the round of the message, see NextRound. It is 0 when the sender does
	// not number its rounds.
	Round uint64
}

// NewClaims returns the claims of a node that starts, without consents and grants.
func NewClaims(params ClaimParams) *Claims {
	return &Claims{
		params:      params,
		consents:    make(map[string]map[Node]consent),
		grants:      make(map[string]map[Node]grant),
		lastUse:     make(map[string]time.Time),
		lastRelease: make(map[string]time.Time),
	}
}

// NextRound starts a round of messages and returns its number, which each message
// of the round must carry. Call BeginClaim and Release for a replica in different
// rounds.
func (c *Claims) NextRound() uint64 {
	c.round++
	return c.round
}

// MayUse reports whether this node may send to the replica now. maxRequestTime is the
// maximum duration of a request to the replica.
func (c *Claims) MayUse(now time.Time, replica string, ranking Ranking, maxRequestTime time.Duration) bool {
	if !c.higherStopped(now, replica, ranking.Higher, maxRequestTime) {
		return false
	}
	// Of the remaining grants, those to nodes that are not ranked higher still block
	// this node until they expire.
	if c.hasOtherGrant(now, replica, func(n Node) bool { return ranksHigher(ranking, n) }) {
		return false
	}
	if len(c.MissingConsents(now, replica, ranking, maxRequestTime)) > 0 {
		return false
	}
	c.lastUse[replica] = now
	return true
}

// higherStopped reports whether all higher-ranked nodes have stopped using the
// replica.
func (c *Claims) higherStopped(now time.Time, replica string, higher []Candidate, maxRequestTime time.Duration) bool {
	for _, candidate := range higher {
		if candidate.LeavingFor > 0 && candidate.LeavingFor >= maxRequestTime {
			continue
		}
		grant, granted := c.grants[replica][candidate.Node]
		if !granted || now.Before(grant.expires) || now.Sub(grant.lastRequest) < c.params.Lease {
			return false
		}
	}
	return true
}

// hasOtherGrant reports whether this node has an unexpired grant to a node that except
// does not match.
func (c *Claims) hasOtherGrant(now time.Time, replica string, except func(Node) bool) bool {
	for node, g := range c.grants[replica] {
		if now.Before(g.expires) && !except(node) {
			return true
		}
	}
	return false
}

// ranksHigher reports whether a node ranks above this node.
func ranksHigher(ranking Ranking, node Node) bool {
	for _, candidate := range ranking.Higher {
		if candidate.Node == node {
			return true
		}
	}
	return false
}

// granters returns the nodes whose consent this node needs: the next MaxGranters
// lower nodes, and all lower nodes that were asked before.
func (c *Claims) granters(replica string, ranking Ranking) []Node {
	var nodes []Node
	for i, candidate := range ranking.Lower {
		_, asked := c.consents[replica][candidate.Node]
		if i < c.params.MaxGranters || asked {
			nodes = append(nodes, candidate.Node)
		}
	}
	return nodes
}

// BeginClaim returns the nodes to claim the replica from, none while a higher-ranked
// node may use the replica. Send the claim after this call, and pass the time of this
// call to RecordGrant.
func (c *Claims) BeginClaim(now time.Time, replica string, ranking Ranking, maxRequestTime time.Duration) []Node {
	if !c.higherStopped(now, replica, ranking.Higher, maxRequestTime) {
		return nil
	}
	granters := c.granters(replica, ranking)
	if c.consents[replica] == nil {
		c.consents[replica] = make(map[Node]consent)
	}
	consents := c.consents[replica]
	for _, node := range granters {
		consents[node] = consent{expires: consents[node].expires, requestRound: c.round}
	}
	return granters
}

// MissingConsents returns the nodes whose missing consent prevents this node from
// using the replica, none while a higher-ranked node may use the replica.
func (c *Claims) MissingConsents(now time.Time, replica string, ranking Ranking, maxRequestTime time.Duration) []Node {
	if !c.higherStopped(now, replica, ranking.Higher, maxRequestTime) {
		return nil
	}
	var missing []Node
	for _, granter := range c.granters(replica, ranking) {
		if !now.Before(c.consents[replica][granter].expires) {
			missing = append(missing, granter)
		}
	}
	return missing
}

// RecordGrant records that a node granted a claim that was sent at the given time. A
// grant of a claim that has been released since is ignored, because the granter may
// have granted the replica to another node after the release.
func (c *Claims) RecordGrant(sent time.Time, replica string, by Node) {
	if !sent.After(c.lastRelease[replica]) {
		return
	}
	expires := sent.Add(c.params.Lease)
	if current, asked := c.consents[replica][by]; asked && expires.After(current.expires) {
		c.consents[replica][by] = consent{expires: expires, requestRound: current.requestRound}
	}
}

// Grant reports whether this node grants a claim of a higher-ranked node, and records
// the grant. inFlight is the number of this node's requests to the replica in flight.
//
// Only one claimant at a time has a grant of this node. Otherwise two new nodes that
// have no record of each other could both obtain all consents that they need.
func (c *Claims) Grant(now time.Time, claim Claim, ranking Ranking, inFlight int, maxRequestTime time.Duration) bool {
	c.pruneGrants(now, claim.Replica, ranking)
	current, ok := c.grants[claim.Replica][claim.Claimant]
	if claim.Round <= current.releasedRound && claim.Round > 0 {
		// The claim was sent before a release that arrived earlier.
		return false
	}
	if ok {
		current.lastRequest = now
		c.grants[claim.Replica][claim.Claimant] = current
	}
	if !c.stopped(now, claim.Replica, inFlight) {
		return false
	}
	if !ranksHigher(ranking, claim.Claimant) || c.hasOtherGrant(now, claim.Replica, func(n Node) bool { return n == claim.Claimant }) {
		return false
	}
	current.expires = now.Add(c.params.Lease + c.params.Margin + maxRequestTime)
	current.lastRequest = now
	current.grantedRound = max(current.grantedRound, claim.Round)
	c.storeGrant(claim, current)
	return true
}

func (c *Claims) storeGrant(claim Claim, g grant) {
	if c.grants[claim.Replica] == nil {
		c.grants[claim.Replica] = make(map[Node]grant)
	}
	c.grants[claim.Replica][claim.Claimant] = g
}

// stopped reports whether this node has no request to the replica in flight and none
// that may still be sent: MayUse last returned true at least Margin ago.
func (c *Claims) stopped(now time.Time, replica string, inFlight int) bool {
	return inFlight == 0 && now.Sub(c.lastUse[replica]) >= c.params.Margin
}

// Reset drops all consents and grants when the node continues as a new boot, because
// other nodes may have claimed the replicas of the old boot. The times of last use
// are retained, so that the node grants no claim while its own last request may
// still be in flight.
func (c *Claims) Reset() {
	c.consents = make(map[string]map[Node]consent)
	c.grants = make(map[string]map[Node]grant)
}

// pruneGrants drops expired grants to nodes that no longer rank higher.
func (c *Claims) pruneGrants(now time.Time, replica string, ranking Ranking) {
	for node, g := range c.grants[replica] {
		if !ranksHigher(ranking, node) && !now.Before(g.expires) {
			delete(c.grants[replica], node)
		}
	}
}

// Forget drops the consents of a node that is confirmed gone, and its expired grants.
// Unexpired grants to the node are retained: after a stale answer of the platform the
// node may still be sending.
func (c *Claims) Forget(now time.Time, node Node) {
	for _, consents := range c.consents {
		delete(consents, node)
	}
	for _, grants := range c.grants {
		if g, ok := grants[node]; ok && !now.Before(g.expires) {
			delete(grants, node)
		}
	}
}
