package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
)

// Callers of queries would be hedged at once and replicas taken for cold: fees say
// nothing of their time at the replica, and counted as answers of 0 ms they pulled
// down what owners compare their replicas with.
func TestExecuteLatencyIsExcludedFromQueryQuantiles(t *testing.T) {
	c := qt.New(t)
	tables := newTables(&config.Service{Spec: &pb.Service{}}, 1, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	for range 10 {
		tables.learn(now, []landed{{result: &pb.SubrequestResult{ServiceUs: 5000}, replica: "r", took: 6 * time.Millisecond}})
	}
	before := tables.typical()
	for range 100 {
		tables.executed(now, "r", &pb.ExecuteResponse{Evidence: pb.Evidence_EVIDENCE_RAN}, time.Millisecond)
	}
	c.Assert(tables.typical(), qt.Equals, before)
	c.Assert(before >= 5*time.Millisecond, qt.IsTrue)
}
