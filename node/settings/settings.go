// Package settings loads and validates the settings that a node reads at startup.
package settings

import (
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/schema"
)

// Defaults of optional settings.
const (
	DefaultLogLevel  = "info"
	DefaultLogFormat = "json"

	DefaultWorkers        = 256
	DefaultMaxQueries     = 1024
	DefaultMaxBodyBytes   = 1 << 20
	DefaultMaxResultBytes = 4 << 20
	DefaultRingSize       = 4096
	// DefaultTransferTimeoutMs exceeds the time that any caller's timeout leaves for a body.
	DefaultTransferTimeoutMs = 30000
	// DefaultPlatformCallsPerSecond is for a fleet of 8 nodes. The nodes of a fleet share
	// the platform's rate limits; docs/operations/settings.md gives the value for a
	// larger fleet.
	DefaultPlatformCallsPerSecond = 20

	DefaultPingIntervalMs      = 200
	DefaultPingTimeoutMs       = 150
	DefaultSuspectTimeoutMs    = 800
	DefaultConfigurationPollMs = 60000
	DefaultBackendPollMs       = 1000
	DefaultBalancerLagMs       = 3000
	DefaultDrainTimeoutMs      = 30000

	DefaultExtraWindowS = 10
	DefaultGraceS       = 30
	// DefaultCapacity is in cores. A node relays requests only to nodes of at least
	// twice its capacity, so nodes of equal capacity do not relay to each other.
	DefaultCapacity        = 1
	DefaultNewsBoundMs     = 5000
	DefaultRollbackBoundMs = 5000

	DefaultStoreReadsPerS    = 2000
	DefaultQuotaWindowS      = 5
	DefaultRevocationBoundMs = 5000
	// DefaultExposureRatio and DefaultExposureSlack apply together. Without any exposure, a
	// version would be used untested.
	DefaultExposureRatio = 0.05
	DefaultExposureSlack = 20
)

// Load reads and checks the settings in a file. It returns either the settings with
// their defaults applied, or the faults.
func Load(file string) (*pb.Settings, []schema.Fault) {
	data, faults := schema.Read(file)
	if len(faults) > 0 {
		return nil, faults
	}
	return Parse(file, data)
}

// Parse is Load for the contents of a file. file is the name to report in faults.
func Parse(file string, data []byte) (*pb.Settings, []schema.Fault) {
	raw := &pb.Settings{}
	faults := schema.Decode(file, data, raw)
	if !schema.Unreadable(faults) {
		faults = schema.Merge(file, faults, Check(raw))
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return WithDefaults(raw), nil
}

// WithDefaults returns a copy of the settings with defaults applied to unset fields.
// It is idempotent.
func WithDefaults(s *pb.Settings) *pb.Settings {
	out := proto.CloneOf(s)
	if out.Log == nil {
		out.Log = &pb.Log{}
	}
	if out.Log.Level == "" {
		out.Log.Level = DefaultLogLevel
	}
	if out.Log.Format == "" {
		out.Log.Format = DefaultLogFormat
	}
	if out.Limits == nil {
		out.Limits = &pb.Limits{}
	}
	applyLimitDefaults(out.Limits)
	if out.Timing == nil {
		out.Timing = &pb.Timing{}
	}
	applyTimingDefaults(out.Timing)
	if out.Forwarding != nil {
		applyForwardingDefaults(out.Forwarding)
	}
	return out
}

func applyLimitDefaults(l *pb.Limits) {
	l.Workers = orDefault(l.Workers, DefaultWorkers)
	l.MaxQueries = orDefault(l.MaxQueries, DefaultMaxQueries)
	l.MaxBodyBytes = orDefault(l.MaxBodyBytes, DefaultMaxBodyBytes)
	l.MaxResultBytes = orDefault(l.MaxResultBytes, DefaultMaxResultBytes)
	l.RingSize = orDefault(l.RingSize, DefaultRingSize)
	l.TransferTimeoutMs = orDefault(l.TransferTimeoutMs, DefaultTransferTimeoutMs)
	l.PlatformCallsPerSecond = orDefault(l.PlatformCallsPerSecond, DefaultPlatformCallsPerSecond)
}

func applyTimingDefaults(t *pb.Timing) {
	t.PingIntervalMs = orDefault(t.PingIntervalMs, DefaultPingIntervalMs)
	t.PingTimeoutMs = orDefault(t.PingTimeoutMs, min(DefaultPingTimeoutMs, t.PingIntervalMs))
	t.SuspectTimeoutMs = orDefault(t.SuspectTimeoutMs, max(DefaultSuspectTimeoutMs, t.PingIntervalMs))
	t.ConfigurationPollMs = orDefault(t.ConfigurationPollMs, DefaultConfigurationPollMs)
	t.BackendPollMs = orDefault(t.BackendPollMs, DefaultBackendPollMs)
	if t.BalancerLagMs == nil {
		t.BalancerLagMs = proto.Uint32(DefaultBalancerLagMs)
	}
	t.DrainTimeoutMs = orDefault(t.DrainTimeoutMs, DefaultDrainTimeoutMs)
}

// applyForwardingDefaults applies defaults to fields for which 0 is not valid. ExtraRatio
// and ExtraSlack have no default: with both 0, retries and hedges are disabled.
func applyForwardingDefaults(f *pb.Forwarding) {
	if f.ExtraWindowS == 0 {
		f.ExtraWindowS = DefaultExtraWindowS
	}
	if f.GraceS == 0 {
		f.GraceS = DefaultGraceS
	}
	if f.Capacity == 0 {
		f.Capacity = DefaultCapacity
	}
	f.NewsBoundMs = orDefault(f.NewsBoundMs, DefaultNewsBoundMs)
	f.RollbackBoundMs = orDefault(f.RollbackBoundMs, DefaultRollbackBoundMs)
	f.RevocationBoundMs = orDefault(f.RevocationBoundMs, DefaultRevocationBoundMs)
	if f.StoreReadsPerS == 0 {
		f.StoreReadsPerS = DefaultStoreReadsPerS
	}
	if f.QuotaWindowS == 0 {
		f.QuotaWindowS = DefaultQuotaWindowS
	}
	if f.ExposureRatio == 0 && f.ExposureSlack == 0 {
		f.ExposureRatio, f.ExposureSlack = DefaultExposureRatio, DefaultExposureSlack
	}
}

func orDefault(value, fallback uint32) uint32 {
	if value == 0 {
		return fallback
	}
	return value
}
