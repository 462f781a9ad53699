package fleet

import (
	"sync/atomic"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Defaults for unset settings.
const (
	defaultPingInterval   = 200 * time.Millisecond
	defaultPingTimeout    = 150 * time.Millisecond
	defaultSuspectTimeout = 800 * time.Millisecond
	defaultSlowPoll       = time.Minute
)

const (
	// indirectPingHelpers is the number of members that ping a target indirectly.
	indirectPingHelpers = 3
	// maxProbes limits the pings in flight. During a partition, unanswered pings
	// would otherwise accumulate. The limit leaves slots for pings to reachable
	// members.
	maxProbes = 64
	// priorityPingSpacing is the pause before each further priority ping.
	priorityPingSpacing = 10 * time.Millisecond
	// leaveFanOut is the number of members that a leaving node notifies directly.
	leaveFanOut = 16

	// maxStartPeers is the maximum number of peers that a starting node queries for
	// their configuration version in one round. joinLoop also stops adding peers of
	// other data centres once this number has answered.
	maxStartPeers = 12
	// startQuorumTimeout is how long a starting node that cannot reach the platform
	// requires two peers to have reached a version. Afterwards one peer is
	// sufficient.
	startQuorumTimeout = 3 * time.Second
	startRetry         = 500 * time.Millisecond
	maxStartRetry      = 3 * time.Second
	joinTimeout        = 500 * time.Millisecond
	// partitionSyncInterval is the minimum time between two full table requests by
	// syncAfterPartition.
	partitionSyncInterval = time.Second

	// syncInterval is the mean time between two full table requests to random
	// members. They deliver changes that this node missed and that gossip no longer
	// sends.
	syncInterval = 2 * time.Minute

	// pullDelay is the mean delay before a pull. It spreads the pulls of nodes that
	// receive a new version at the same time.
	pullDelay    = 100 * time.Millisecond
	pullTimeout  = 2 * time.Second
	pullRetry    = 200 * time.Millisecond
	maxPullRetry = 5 * time.Second
	// servedPullsPerSecond and servedPullBurst limit the pulls that a node answers.
	// A rejected peer pulls from another member.
	servedPullsPerSecond = 40
	servedPullBurst      = 4

	platformTimeout = 2 * time.Second
	// watchTimeout limits one long poll, so that a broken connection is detected. A
	// read follows each poll that times out.
	watchTimeout = 30 * time.Second
	// minWatchSpacing is the minimum time between two long polls that return
	// nothing new, even if the platform answers immediately.
	minWatchSpacing  = 250 * time.Millisecond
	platformRetry    = 500 * time.Millisecond
	maxPlatformRetry = 5 * time.Second

	// watcherListInterval and nonWatcherListInterval are the mean times between two
	// reads of the VM list.
	watcherListInterval    = 15 * time.Second
	nonWatcherListInterval = 5 * time.Minute
)

// timing holds the timing settings of this package.
type timing struct {
	pingInterval   time.Duration
	pingTimeout    time.Duration
	suspectTimeout time.Duration
	slowPoll       time.Duration
}

func newTiming(t *pb.Timing) timing {
	return timing{
		pingInterval:   orDefault(t.GetPingIntervalMs(), defaultPingInterval),
		pingTimeout:    orDefault(t.GetPingTimeoutMs(), defaultPingTimeout),
		suspectTimeout: orDefault(t.GetSuspectTimeoutMs(), defaultSuspectTimeout),
		slowPoll:       orDefault(t.GetConfigurationPollMs(), defaultSlowPoll),
	}
}

func orDefault(ms uint32, d time.Duration) time.Duration {
	if ms == 0 {
		return d
	}
	return time.Duration(ms) * time.Millisecond
}

// counters are the values behind Stats.
type counters struct {
	pings, pulls, watches, reads, lists, refused atomic.Uint64
}

// Stats counts calls since the process started.
type Stats struct {
	// Pings and Pulls are the direct pings and the pulls sent to peers.
	Pings, Pulls uint64
	// Watches, Reads and Lists are the requests sent to the platform.
	Watches, Reads, Lists uint64
	// Refused is the number of rejected messages: of another fleet or protocol
	// version, or too large.
	Refused uint64
}

// Stats returns the current counts.
func (f *Fleet) Stats() Stats {
	return Stats{
		Pings:   f.stats.pings.Load(),
		Pulls:   f.stats.pulls.Load(),
		Watches: f.stats.watches.Load(),
		Reads:   f.stats.reads.Load(),
		Lists:   f.stats.lists.Load(),
		Refused: f.stats.refused.Load(),
	}
}
