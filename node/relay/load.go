package relay

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/load"
)

// EncodeLoad returns the message for a report of a given age; nil without one.
func EncodeLoad(r load.Report, age time.Duration) *pb.ReplicaLoad {
	if !r.Known() {
		return nil
	}
	return &pb.ReplicaLoad{
		Running:     uint32(r.Running),
		Waiting:     uint32(r.Waiting),
		Slots:       uint32(r.Slots),
		PacePercent: uint32(r.PacePercent()),
		AgeUs:       microseconds(age),
	}
}

// DecodeLoad returns the report of a message and its age. A message whose numbers are out of
// bounds is no report.
func DecodeLoad(m *pb.ReplicaLoad) (load.Report, time.Duration) {
	if m == nil {
		return load.Report{}, 0
	}
	r, valid := load.NewReport(boundedInt(m.GetRunning()), boundedInt(m.GetWaiting()), boundedInt(m.GetSlots()))
	if valid && m.GetPacePercent() > 0 {
		r, _ = r.WithPace(boundedInt(m.GetPacePercent()))
	}
	return r, duration(m.GetAgeUs())
}

// boundedInt converts a number of a message. Numbers above the bound stay above it.
func boundedInt(n uint32) int { return int(min(n, load.MaxCount+1)) }

func encodeLoad(reply *backend.ForwardReply, now time.Time) *pb.ReplicaLoad {
	return EncodeLoad(reply.Metadata.Load, now.Sub(reply.LoadAt))
}
