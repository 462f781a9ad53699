// Package sheet compiles a sheet, which operators write, into a configuration. It
// fills in defaults, validates what the schema cannot express, and compares two
// sheets.
package sheet

import (
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Defaults of optional fields. slots, connections, classes and generations have
// no default because they describe the operators' deployment.
const (
	DefaultMaxLossPercent = 20
	// DefaultColdInFlight is the minimum that lets a cold replica warm up.
	DefaultColdInFlight  = 1
	DefaultDeadlineMs    = 1000
	DefaultMaxDeadlineMs = 10000
	DefaultHedgePercent  = 5
	DefaultRetryPercent  = 10
	DefaultClassWeight   = 1
	DefaultOwners        = 2
	DefaultWatchers      = 2
)

// WithDefaults returns a copy of the sheet with defaults in all unset fields. It
// is idempotent.
func WithDefaults(s *pb.Sheet) *pb.Sheet {
	out := proto.CloneOf(s)
	if out.MaxLossPercent == nil {
		out.MaxLossPercent = proto.Uint32(DefaultMaxLossPercent)
	}
	if out.Tuning == nil {
		out.Tuning = &pb.Tuning{}
	}
	out.Tuning.Owners = orDefault(out.Tuning.Owners, DefaultOwners)
	out.Tuning.Watchers = orDefault(out.Tuning.Watchers, DefaultWatchers)
	for _, dc := range out.DataCentres {
		dc.State = lifecycleOrDefault(dc.State)
	}
	for _, svc := range out.Services {
		setServiceDefaults(svc)
	}
	return out
}

func setServiceDefaults(svc *pb.Service) {
	if svc.Preference == pb.Preference_PREFERENCE_UNSPECIFIED {
		svc.Preference = pb.Preference_PREFERENCE_COVERAGE
	}
	if svc.Protocol == pb.Protocol_PROTOCOL_UNSPECIFIED {
		svc.Protocol = pb.Protocol_PROTOCOL_HTTP1
	}
	svc.ColdInFlight = orDefault(svc.ColdInFlight, DefaultColdInFlight)
	svc.DefaultDeadlineMs = orDefault(svc.DefaultDeadlineMs, DefaultDeadlineMs)
	svc.MaxDeadlineMs = orDefault(svc.MaxDeadlineMs, max(DefaultMaxDeadlineMs, svc.DefaultDeadlineMs))
	if svc.HedgePercent == nil {
		svc.HedgePercent = proto.Uint32(DefaultHedgePercent)
	}
	if svc.RetryPercent == nil {
		svc.RetryPercent = proto.Uint32(DefaultRetryPercent)
	}
	for _, class := range svc.Classes {
		if class.Weight == nil {
			class.Weight = proto.Float64(DefaultClassWeight)
		}
	}
	for _, gen := range svc.Generations {
		for _, shard := range gen.Shards {
			for _, replica := range shard.Replicas {
				replica.State = lifecycleOrDefault(replica.State)
			}
		}
	}
}

func orDefault(value, fallback uint32) uint32 {
	if value == 0 {
		return fallback
	}
	return value
}

func lifecycleOrDefault(state pb.Lifecycle) pb.Lifecycle {
	if state == pb.Lifecycle_LIFECYCLE_UNSPECIFIED {
		return pb.Lifecycle_LIFECYCLE_IN_SERVICE
	}
	return state
}
