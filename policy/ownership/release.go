package ownership

import "time"

// Release returns the nodes to send a release to, once a higher-ranked node may use
// the replica. Without a release, that node would have to wait until this node's
// consents expire. inFlight is the number of this node's requests to the replica in
// flight.
//
// The result is empty while such a request is in flight or may still be sent, because
// a granter may grant another claim as soon as the release arrives. The consents and
// the answers to earlier claims are void after this call, so a lost release is
// harmless. Use a separate round for releases. Each later call returns a node again
// until RecordRelease records the answer of that node.
func (c *Claims) Release(now time.Time, replica string, ranking Ranking, inFlight int, maxRequestTime time.Duration) []Node {
	if c.higherStopped(now, replica, ranking.Higher, maxRequestTime) || !c.stopped(now, replica, inFlight) {
		return nil
	}
	var nodes []Node
	for node, current := range c.consents[replica] {
		if current.requestRound == 0 {
			continue
		}
		c.consents[replica][node] = consent{requestRound: current.requestRound}
		nodes = append(nodes, node)
	}
	if len(nodes) > 0 {
		c.lastRelease[replica] = now
	}
	return nodes
}

// RecordRelease records that a node has answered the release of a round.
func (c *Claims) RecordRelease(replica string, by Node, round uint64) {
	if current, ok := c.consents[replica][by]; ok && current.requestRound < round {
		c.consents[replica][by] = consent{expires: current.expires}
	}
}

// EndGrant ends this node's grant to a claimant that releases the replica. A release
// ends only the grant of the boot that sent it, and only for claims of lower rounds.
// Otherwise a late or repeated release would end the grant of a newer claim while the
// claimant is sending. Grant refuses a claim of a lower round that arrives after the
// release.
//
// The expired grant is retained, because the claimant needs a new consent of this node
// before it uses the replica again.
func (c *Claims) EndGrant(now time.Time, release Claim, ranking Ranking) {
	current, ok := c.grants[release.Replica][release.Claimant]
	if release.Round <= current.grantedRound || !ok && !ranksHigher(ranking, release.Claimant) {
		return
	}
	current.releasedRound = max(current.releasedRound, release.Round)
	if now.Before(current.expires) {
		current.expires = now
	}
	c.storeGrant(release, current)
}
