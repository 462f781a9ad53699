package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/configstate"
	"github.com/carobmill/carobmill/policy/membership"
	"github.com/carobmill/carobmill/policy/ownership"
)

// Protocol is the version of the protocol between nodes. Messages of other versions
// are rejected.
const Protocol = 1

// Member is one boot of one node.
type Member = membership.Member

// Peers sends requests to other nodes. An error means that no response was
// received.
type Peers interface {
	Gossip(ctx context.Context, addr string, req *pb.GossipRequest) (*pb.GossipResponse, error)
	Pull(ctx context.Context, addr string, req *pb.PullConfigurationRequest) (*pb.PullConfigurationResponse, error)
}

// Entry is a value of the platform's key-value service with its revision.
type Entry struct {
	Value    []byte
	Revision uint64
}

// Platform provides access to the platform's key-value service and VM list.
type Platform interface {
	// Get reads a key. It returns ErrNoConfiguration if the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// Watch waits until the revision of the key is higher than after, or until ctx
	// ends.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
	// VMs reads the VM list. The list may be outdated.
	VMs(ctx context.Context) ([]membership.ListedVM, error)
}

// ErrNoConfiguration reports that the platform answered but has no configuration.
var ErrNoConfiguration = errors.New("the platform holds no configuration")

// Options are the settings and dependencies of a Fleet.
type Options struct {
	Settings *pb.Settings
	Peers    Peers
	Platform Platform
	// Boot is a random number that identifies this run of the process.
	Boot uint64
	Log  logrus.FieldLogger
	// Event records a decision. It may be nil.
	Event func(kind, subject, detail string)
	// InFlight returns the number of this node's requests in flight to a replica.
	// If it is nil, the number is always 0.
	InFlight func(replica string) int
	// Rand is the source of jitter and of the ping order. If it is nil, a source is
	// seeded from Boot.
	Rand *rand.Rand
}

// Fleet maintains one node's view of the fleet. Its methods are safe for concurrent
// use.
type Fleet struct {
	opts   Options
	timing timing
	key    string
	log    logrus.FieldLogger

	// mu guards the fields from here to pendingEvents.
	mu     sync.Mutex
	table  *membership.Table
	state  *configstate.State
	rng    *rand.Rand
	claims *ownership.Claims
	// coldReplicas holds, by name, the replicas for which MayUseCold was recently
	// called.
	coldReplicas map[string]coldReplica
	// joinedAt is when this boot joined: at the start of the process or at its last
	// rejoin.
	joinedAt  time.Time
	joinState joinState
	// lastFullSync is when syncAfterPartition last requested a full member table.
	lastFullSync time.Time
	// pendingEvents are passed to Options.Event after mu is released.
	pendingEvents []event

	view atomic.Pointer[view]
	// revision is the number of views published so far.
	revision   atomic.Uint64
	platformUp atomic.Bool
	// pulls limits the rate at which configurations are served to peers.
	pulls *rate.Limiter
	// firstStartRound is closed after the first round of configurationLoop.
	firstStartRound chan struct{}
	// pullWake and pingWake wake their loops before the next interval. Each has a
	// capacity of 1.
	pullWake chan struct{}
	pingWake chan struct{}
	// claimWake starts a claim round before the next interval.
	claimWake chan struct{}
	probes    sync.WaitGroup
	stats     counters
}

type event struct {
	kind, subject, detail string
}

// New returns a Fleet whose only member is this node. Call Run to start its loops.
func New(opts Options) *Fleet {
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewPCG(opts.Boot, 0))
	}
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	s := opts.Settings
	timing := newTiming(s.GetTiming())
	params := membership.DefaultParams()
	params.SuspectTimeout = timing.suspectTimeout
	self := membership.Member{
		Name:          s.GetNode(),
		Boot:          opts.Boot,
		DataCentre:    s.GetDataCentre(),
		PeerAddress:   s.GetPeerAddress(),
		CallerAddress: s.GetCallerAddress(),
	}
	f := &Fleet{
		opts:            opts,
		timing:          timing,
		key:             configstate.Key(s.GetFleet()),
		log:             opts.Log,
		table:           membership.New(self, params, opts.Rand),
		state:           configstate.New(s.GetFleet()),
		rng:             opts.Rand,
		pulls:           rate.NewLimiter(servedPullsPerSecond, servedPullBurst),
		pullWake:        make(chan struct{}, 1),
		pingWake:        make(chan struct{}, 1),
		claims:          ownership.NewClaims(claimParams),
		coldReplicas:    make(map[string]coldReplica),
		joinedAt:        time.Now(),
		joinState:       joinState{answered: make(map[string]bool)},
		firstStartRound: make(chan struct{}),
		claimWake:       make(chan struct{}, 1),
	}
	f.update(func() {})
	return f
}

// Run runs all loops until ctx ends and then returns nil.
func (f *Fleet) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	loops := []func(context.Context){f.pingLoop, f.syncLoop, f.claimLoop, f.joinLoop, f.configurationLoop, f.watchLoop, f.vmListLoop}
	for _, loop := range loops {
		group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	err := group.Wait()
	f.probes.Wait()
	return errors.Wrap(err, "fleet")
}

// update calls change while holding mu and publishes a new view if anything
// changed. It emits the queued events after releasing mu.
func (f *Fleet) update(change func()) {
	f.mu.Lock()
	change()
	f.publishView()
	events := f.pendingEvents
	f.pendingEvents = nil
	f.mu.Unlock()
	for _, e := range events {
		f.log.WithField("subject", e.subject).WithField("detail", e.detail).Info(e.kind)
		if f.opts.Event != nil {
			f.opts.Event(e.kind, e.subject, e.detail)
		}
	}
}

// queueEvent queues an event, which update emits after releasing mu. The caller
// holds mu.
func (f *Fleet) queueEvent(kind, subject, detail string) {
	f.pendingEvents = append(f.pendingEvents, event{kind, subject, detail})
}

// Index returns the configuration in force, or nil.
func (f *Fleet) Index() *config.Index {
	return f.view.Load().index
}

// Self returns this node's own entry.
func (f *Fleet) Self() Member {
	return f.view.Load().self
}

// Members returns all members that are not gone, including this node.
func (f *Fleet) Members() []Member {
	return f.view.Load().members
}

// Ready reports whether this node is ready for requests of callers, and if not, the
// reason. A node that is not ready still answers requests.
func (f *Fleet) Ready() (bool, string) {
	v := f.view.Load()
	switch {
	case v.self.State == pb.MemberState_MEMBER_STATE_LEAVING, v.self.State == pb.MemberState_MEMBER_STATE_GONE:
		return false, "the node is shutting down"
	case v.index == nil:
		return false, "no configuration is in force"
	case f.isJoiningAlone():
		return false, "no other node has answered yet"
	}
	dc := v.index.DataCentres[v.self.DataCentre]
	switch {
	case dc == nil:
		return false, "data centre " + v.self.DataCentre + " is not in the configuration"
	case !dc.InService:
		return false, "data centre " + v.self.DataCentre + " is out of service"
	}
	return true, ""
}

// PlatformReachable reports whether the last call to the platform was answered.
func (f *Fleet) PlatformReachable() bool {
	return f.platformUp.Load()
}

// IsWatcher reports whether this node watches the platform's key.
func (f *Fleet) IsWatcher() bool {
	return f.view.Load().watcher
}

// jitter returns a random duration between d/2 and 3d/2. Without jitter, nodes that
// start or fail together would act at the same time. The caller does not hold mu.
func (f *Fleet) jitter(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return d/2 + time.Duration(f.rng.Int64N(int64(d)+1))
}

// wake adds a token to a channel of capacity 1, unless the channel is full.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
