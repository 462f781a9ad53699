package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
)

// A node's first queries, on a busy VM, took a little longer than the usual
// deadline. Its callers must not read "deadline_too_short" ever after, while the
// backend servers have long been fast: only admitted queries teach, so one is
// admitted a second later, and its answer ends the refusals.
func TestAdmissionRecoversAfterSlowFirstQueries(t *testing.T) {
	c := qt.New(t)
	const left = 235 * time.Millisecond
	tables := newTables(&config.Service{Spec: &pb.Service{}}, 0, rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(1000, 0)
	class := &pb.Class{}
	for range 50 {
		c.Assert(tables.admit(now, class, time.Second).Admitted(), qt.IsTrue)
		tables.ended(now, class, 245*time.Millisecond, true)
	}
	refused := 0
	for ms := range 3000 {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		if !tables.admit(at, class, left).Admitted() {
			refused++
			continue
		}
		// The first probe fails; one failure must not open the door.
		tables.ended(at, class, 10*time.Millisecond, ms >= 1500)
	}
	c.Assert(refused, qt.Equals, 1000+999)
}
