package ownership

import "time"

// Release returns the nodes to give consents back to, once this node has learned
// of a node above it that may use the replica: otherwise that node would wait
// until the consents lapse, for as long as the longest request may take. inFlight
// is the number of this node's own requests at the replica.
//
// It returns none while a request of this node runs there, or may still start: a
// granter that is told so may consent to another node at once. From this call on
// the consents count no more, and neither do answers to earlier questions, so it
// does not matter whether the release arrives. Send it with the number of a round
// of its own, again in each round until Released notes an answer.
func (c *Claims) Release(now time.Time, replica string, order Ranking, inFlight int, settle time.Duration) []Node {
	if c.vacant(now, replica, order.Higher, settle) || !c.stopped(now, replica, inFlight) {
		return nil
	}
	var nodes []Node
	for node, held := range c.held[replica] {
		if held.asked == 0 {
			continue
		}
		c.held[replica][node] = consent{asked: held.asked}
		nodes = append(nodes, node)
	}
	if len(nodes) > 0 {
		c.ceded[replica] = now
	}
	return nodes
}

// RecordRelease notes that a node has answered the release of a round.
func (c *Claims) RecordRelease(replica string, by Node, round uint64) {
	if held, ok := c.held[replica][by]; ok && held.asked < round {
		c.held[replica][by] = consent{until: held.until}
	}
}

// EndGrant ends this node's consent to a claimant that gives it back. Only the
// boot that was granted the claim can, and only for claims of lower rounds: a
// release that arrives late or twice must not end the consent to a newer claim,
// by which the claimant may be sending. A claim of a lower round that arrives
// after its release is refused by Grant.
//
// The entry stays, lapsed: the claimant has asked this node, so it needs a new
// consent before it uses the replica again.
func (c *Claims) EndGrant(now time.Time, release Claim, order Ranking) {
	known, ok := c.given[release.Replica][release.Claimant]
	if release.Round <= known.round || !ok && !isAbove(order, release.Claimant) {
		return
	}
	known.released = max(known.released, release.Round)
	if now.Before(known.lapses) {
		known.lapses = now
	}
	c.give(release, known)
}
