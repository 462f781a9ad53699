package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// balancer is a stand-in of the platform's forwarding of new connections: it asks each node once
// a second whether it is ready, and two misses take a node out until it is ready again.
type balancer struct {
	nodes []*node
	done  chan struct{}

	// mu guards misses.
	mu     sync.Mutex
	misses map[*node]int
}

// maxMisses is the number of misses that take a node out.
const maxMisses = 2

func newBalancer(nodes []*node) *balancer {
	b := &balancer{nodes: nodes, done: make(chan struct{}), misses: make(map[*node]int)}
	for _, n := range nodes {
		go b.probe(n)
	}
	return b
}

func (b *balancer) stop() { close(b.done) }

func (b *balancer) probe(n *node) {
	for {
		ready := n.isReady()
		b.mu.Lock()
		if ready {
			b.misses[n] = 0
		} else {
			b.misses[n]++
		}
		b.mu.Unlock()
		select {
		case <-b.done:
			return
		case <-time.After(time.Second):
		}
	}
}

// pick returns a node that is in rotation, or any if there is none.
func (b *balancer) pick(rng *rand.Rand) *node {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*node
	for _, n := range b.nodes {
		if b.misses[n] < maxMisses {
			in = append(in, n)
		}
	}
	if len(in) == 0 {
		in = b.nodes
	}
	return in[rng.IntN(len(in))]
}
