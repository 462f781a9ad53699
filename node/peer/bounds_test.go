//go:build !race

package peer_test

import (
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/peer/scatterpath"
	"github.com/carobmill/carobmill/policy/bench/bounds"
	"github.com/carobmill/carobmill/policy/query"
)

// The race detector allocates on its own, so this is not in its runs.
//
// A query over a hop allocates no more than it did, and its messages grow no
// larger, per subrequest: at the target a node carries 317,000 of them a second.
func TestScatterPathIsWithinBounds(t *testing.T) {
	const shards, queries = 100, 200
	c := qt.New(t)
	p := newPath(c, scatterpath.Options{Shards: shards, RemoteOwner: true})
	wire := p.Bytes()
	objects, bytes := bounds.Allocated(queries, func() {
		// Admission refuses some: latencies of microseconds scatter widely.
		for ask(c, p).Outcome != query.Complete {
			time.Sleep(time.Millisecond)
		}
	})
	bounds.Check(t, filepath.Join("..", "scenario", "bounds.txt"), "scatter-path-100", map[string]float64{
		"allocs/subrequest":     objects / shards,
		"heap-bytes/subrequest": bytes / shards,
		// One query more than counted: Allocated begins with it.
		"wire-bytes/subrequest": float64(p.Bytes()-wire) / shards / (queries + 1),
	})
}
