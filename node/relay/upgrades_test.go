package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/upgrade"
)

func TestUpgradeReportIsKeptOnTheWire(t *testing.T) {
	want := upgrade.Report{
		Order: 3, Term: 4, Phase: upgrade.Load, Elapsed: 5 * time.Second, Requests: 100, Exposed: 9, OldInFlight: 2,
		Trial: []string{"n1"}, Samples: []upgrade.Sample{{Phase: upgrade.Load, Route: "r", Replica: "n1", Answers: 7, Failures: 1}},
	}
	want.Samples[0].Latencies[20], want.Samples[0].Latencies[23] = 4, 2
	m := encodeUpgradeReport(&want)
	qt.Assert(t, m.GetSamples()[0].GetLatencies(), qt.DeepEquals, []uint32{4, 0, 0, 2})
	qt.Assert(t, decodeUpgradeReport(m), qt.DeepEquals, want)
}

// Guards against a malformed report that ends the process of the leader.
func TestMalformedUpgradeReportIsBounded(t *testing.T) {
	m := &pb.UpgradeReport{Phase: 99, Requests: 1 << 63, Samples: []*pb.UpgradeSample{
		{Phase: 99}, {Latencies: make([]uint32, 1000)}, {FirstBucket: 1 << 31, Latencies: []uint32{1}},
	}}
	r := decodeUpgradeReport(m)
	qt.Assert(t, r.Phase, qt.Equals, upgrade.Hold)
	qt.Assert(t, r.Requests, qt.Equals, maxCount)
	qt.Assert(t, r.Samples, qt.HasLen, 2)
}
