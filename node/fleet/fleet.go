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

// Protocol is the version of the messages between nodes. Others are refused.
const Protocol = 1

// Member is one boot of one node.
type Member = membership.Member

// Peers reaches other nodes. An error means that no answer came.
type Peers interface {
	Gossip(ctx context.Context, addr string, req *pb.GossipRequest) (*pb.GossipResponse, error)
	Pull(ctx context.Context, addr string, req *pb.PullConfigurationRequest) (*pb.PullConfigurationResponse, error)
}

// Entry is a value of the platform's key-value service.
type Entry struct {
	Value    []byte
	Revision uint64
}

// Platform reaches the platform's key-value service and VM list.
type Platform interface {
	// Get reads a key. A key that is absent is ErrNoConfiguration.
	Get(ctx context.Context, key string) (Entry, error)
	// Watch waits until the key has a revision above after, or until ctx ends.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
	// VMs reads the VM list, which lags.
	VMs(ctx context.Context) ([]membership.ListedVM, error)
}

// ErrNoConfiguration says that the platform answered and holds no configuration.
var ErrNoConfiguration = errors.New("the platform holds no configuration")

// Options of a Fleet.
type Options struct {
	Settings *pb.Settings
	Peers    Peers
	Platform Platform
	// Boot is the random number drawn at the start of the process.
	Boot uint64
	Log  logrus.FieldLogger
	// Event records a decision. It may be nil.
	Event func(kind, subject, detail string)
	// InFlight returns how many requests this node has at a replica; nil counts as
	// none ever.
	InFlight func(replica string) int
	// Rand draws jitter and the order of pings; nil seeds one from Boot.
	Rand *rand.Rand
}

// Fleet is one node's part in the fleet. Its methods are safe for concurrent use.
type Fleet struct {
	opts   Options
	timing timing
	key    string
	log    logrus.FieldLogger

	// mu guards the policy state and the fields down to pending.
	mu    sync.Mutex
	table *membership.Table
	state *configstate.State
	rng   *rand.Rand
	// claims and wanted are about cold replicas; wanted holds, by name, those that
	// this node was asked about lately.
	claims *ownership.Claims
	wanted map[string]want
	// since is when this boot took part first.
	since    time.Time
	newcomer newcomer
	// joined is when a whole table was last taken over from a member.
	joined time.Time
	// pending are events to hand out once mu is released.
	pending []event

	view atomic.Pointer[view]
	// revision counts the views.
	revision   atomic.Uint64
	platformUp atomic.Bool
	// pulls bounds the configurations handed out.
	pulls *rate.Limiter
	// begun is closed after the first round of start.
	begun chan struct{}
	// pullWake and pingWake start their loops early; each holds one token.
	pullWake chan struct{}
	pingWake chan struct{}
	// claimWake starts a round of claims early.
	claimWake chan struct{}
	probes    sync.WaitGroup
	stats     counters
}

type event struct {
	kind, subject, detail string
}

// New returns a fleet that knows only its own node. Run brings it to life.
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
	params.SuspectTimeout = timing.suspect
	self := membership.Member{
		Name:          s.GetNode(),
		Boot:          opts.Boot,
		DataCentre:    s.GetDataCentre(),
		PeerAddress:   s.GetPeerAddress(),
		CallerAddress: s.GetCallerAddress(),
	}
	f := &Fleet{
		opts:      opts,
		timing:    timing,
		key:       configstate.Key(s.GetFleet()),
		log:       opts.Log,
		table:     membership.New(self, params, opts.Rand),
		state:     configstate.New(s.GetFleet()),
		rng:       opts.Rand,
		pulls:     rate.NewLimiter(servedPulls, pullBurst),
		pullWake:  make(chan struct{}, 1),
		pingWake:  make(chan struct{}, 1),
		claims:    ownership.NewClaims(claimParams),
		wanted:    make(map[string]want),
		since:     time.Now(),
		newcomer:  newcomer{met: make(map[string]bool)},
		begun:     make(chan struct{}),
		claimWake: make(chan struct{}, 1),
	}
	f.unlockAfter(func() {})
	return f
}

// Run takes part in the fleet until ctx ends, and returns nil then.
func (f *Fleet) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	loops := []func(context.Context){f.pingLoop, f.syncLoop, f.claimLoop, f.joinLoop, f.startThenPull, f.watchLoop, f.listLoop}
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

// unlockAfter runs change under mu, publishes the view if anything changed, and
// hands out the events once mu is released.
func (f *Fleet) unlockAfter(change func()) {
	f.mu.Lock()
	change()
	f.publish()
	events := f.pending
	f.pending = nil
	f.mu.Unlock()
	for _, e := range events {
		f.log.WithField("subject", e.subject).WithField("detail", e.detail).Info(e.kind)
		if f.opts.Event != nil {
			f.opts.Event(e.kind, e.subject, e.detail)
		}
	}
}

// note keeps an event until mu is released. The caller holds mu.
func (f *Fleet) note(kind, subject, detail string) {
	f.pending = append(f.pending, event{kind, subject, detail})
}

// Index is the configuration in force, nil when there is none.
func (f *Fleet) Index() *config.Index {
	return f.view.Load().index
}

// Self is this node's own entry.
func (f *Fleet) Self() Member {
	return f.view.Load().self
}

// Members returns every member that is not gone, this node included.
func (f *Fleet) Members() []Member {
	return f.view.Load().members
}

// Ready reports whether this node takes requests of callers, and if not, why.
// A node that is not ready still answers the requests that reach it.
func (f *Fleet) Ready() (bool, string) {
	v := f.view.Load()
	switch {
	case v.self.State == pb.MemberState_MEMBER_STATE_LEAVING, v.self.State == pb.MemberState_MEMBER_STATE_GONE:
		return false, "the node is shutting down"
	case v.index == nil:
		return false, "no configuration is in force"
	case f.waitsAlone():
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

// jitter returns d spread evenly between half and one and a half of it, so that
// nodes that started or failed together do not act together.
func (f *Fleet) jitter(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return d/2 + time.Duration(f.rng.Int64N(int64(d)+1))
}

// wake puts a token into a channel of one.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
