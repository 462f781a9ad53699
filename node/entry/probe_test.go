package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
)

// When the first queries of a node exceed the deadline of later queries, admission must
// not refuse these for ever: only admitted queries update the expected latency.
// Admission must let a probe pass after a second and recover when the probe succeeds.
func TestAdmissionRecoversAfterSlowFirstQueries(t *testing.T) {
	c := qt.New(t)
	const left = 235 * time.Millisecond
	tables := newTables(&config.Service{Spec: &pb.Service{}}, 0, rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(1000, 0)
	class := &pb.Class{}
	for range 50 {
		c.Assert(tables.admit(now, class, time.Second).Admitted(), qt.IsTrue)
		tables.recordEnd(now, class, 245*time.Millisecond, true)
	}
	refused := 0
	for ms := range 3000 {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		if !tables.admit(at, class, left).Admitted() {
			refused++
			continue
		}
		// The first probe fails. Admission must continue to refuse queries.
		tables.recordEnd(at, class, 10*time.Millisecond, ms >= 1500)
	}
	c.Assert(refused, qt.Equals, 1000+999)
}
