package entry

import (
	"sync"
	"time"

	"github.com/carobmill/carobmill/node/fleet"
	"github.com/carobmill/carobmill/policy/membership"
)

const (
	// peerProbeInterval is the time between two calls to an unresponsive peer.
	peerProbeInterval = 200 * time.Millisecond
	// unresponsiveExpiry is the time after which an unresponsive peer is called
	// without restriction again.
	unresponsiveExpiry = 10 * time.Second
)

// unresponsivePeers records the peers whose last call failed. Such a peer receives one
// call in each peerProbeInterval until it responds. Without this, every query would
// wait for a failed peer until membership declares the peer dead, which takes up to
// 2 s, and one lost data centre would slow down every answer.
type unresponsivePeers struct {
	// mu guards peers.
	mu    sync.Mutex
	peers map[membership.ID]unresponsivePeer
}

type unresponsivePeer struct {
	since   time.Time
	probeAt time.Time
}

// recordFailure records that a call to a peer failed or received no response.
func (u *unresponsivePeers) recordFailure(id membership.ID, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.peers == nil {
		u.peers = make(map[membership.ID]unresponsivePeer)
	}
	peer, ok := u.peers[id]
	if !ok {
		peer.since = now
	}
	peer.probeAt = now.Add(peerProbeInterval)
	u.peers[id] = peer
}

// recordResponse removes a peer that has responded.
func (u *unresponsivePeers) recordResponse(id membership.ID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.peers, id)
}

// mayCall reports whether a peer may be called now.
func (u *unresponsivePeers) mayCall(id membership.ID, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	peer, ok := u.peers[id]
	if !ok {
		return true
	}
	if now.Sub(peer.since) > unresponsiveExpiry {
		delete(u.peers, id)
		return true
	}
	return !now.Before(peer.probeAt)
}

// recordCall records the start of a call to a peer. It delays the next probe, so that
// only one query in each interval waits for an unresponsive peer.
func (u *unresponsivePeers) recordCall(id membership.ID, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if peer, ok := u.peers[id]; ok {
		peer.probeAt = now.Add(peerProbeInterval)
		u.peers[id] = peer
	}
}

// callableOwners returns the owners that may be called now, in the order of rank.
func (e *Entry) callableOwners(ranked []fleet.Member, now time.Time) []fleet.Member {
	for i, m := range ranked {
		if e.unresponsive.mayCall(m.ID(), now) {
			continue
		}
		callable := append([]fleet.Member(nil), ranked[:i]...)
		for _, m := range ranked[i+1:] {
			if e.unresponsive.mayCall(m.ID(), now) {
				callable = append(callable, m)
			}
		}
		return callable
	}
	return ranked
}
