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

// Guards against more allocations or larger messages per subrequest of a query to a remote
// owner. Excluded from race builds, because the race detector allocates memory itself.
func TestScatterPathIsWithinBounds(t *testing.T) {
	const shards, queries = 100, 200
	c := qt.New(t)
	p := newPath(c, scatterpath.Options{Shards: shards, RemoteOwner: true})
	wire := p.Bytes()
	objects, bytes := bounds.Allocated(queries, func() {
		// Admission rejects some queries, because latencies of microseconds vary widely.
		for runQuery(c, p).Outcome != query.Complete {
			time.Sleep(time.Millisecond)
		}
	})
	bounds.Check(t, filepath.Join("..", "scenario", "bounds.txt"), "scatter-path-100", map[string]float64{
		"allocs/subrequest":     objects / shards,
		"heap-bytes/subrequest": bytes / shards,
		// Allocated runs one more query before it starts to count.
		"wire-bytes/subrequest": float64(p.Bytes()-wire) / shards / (queries + 1),
	})
}
