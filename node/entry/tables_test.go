package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
)

// Responses to non-idempotent requests contain no service time. Counted as 0 ms, they
// would lower the typical service time, and queries would be hedged too early and warm
// replicas would be classified as cold.
func TestExecuteLatencyIsExcludedFromQueryQuantiles(t *testing.T) {
	c := qt.New(t)
	tables := newTables(&config.Service{Spec: &pb.Service{}}, 1, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	for range 10 {
		tables.recordResults(now, []attemptResult{{result: &pb.SubrequestResult{ServiceUs: 5000}, replica: "r", took: 6 * time.Millisecond}})
	}
	before := tables.typical()
	for range 100 {
		tables.recordExecute(now, "r", &pb.ExecuteResponse{Evidence: pb.Evidence_EVIDENCE_RAN}, time.Millisecond)
	}
	c.Assert(tables.typical(), qt.Equals, before)
	c.Assert(before >= 5*time.Millisecond, qt.IsTrue)
}
