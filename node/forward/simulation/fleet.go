// Package simulation runs the forwarders of several nodes against replicas that crash, are
// killed and restarted, over an in-memory network. It is for tests in virtual time
// (testing/synctest).
package simulation

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/retrybudget"
	"github.com/carobmill/carobmill/policy/route"
	"github.com/carobmill/carobmill/standin/memnet"
)

const (
	// CrashPath begins the paths of requests that crash each replica that runs them.
	CrashPath = "/crash"
	// MaxTrials is the number of crashed trials after which a request is refused.
	MaxTrials = 3
	// runTime is how long a replica runs a request, also one that crashes it.
	runTime = 10 * time.Millisecond
	// restartTime is the time until a crashed replica is back, and viewDelay until the nodes
	// learn of a change.
	restartTime = time.Second
	viewDelay   = 500 * time.Millisecond
	// pushDelay is the time after which the other nodes have a change of suspected requests.
	pushDelay = 2 * time.Millisecond
	// drainTime covers the end of everything that was started before Close.
	drainTime = time.Minute
	// requestTimeout is the timeout of the route and of callers.
	requestTimeout = time.Second
	host           = "h.example"
)

// Shards are the shards of the only route. Each has a replica in each data centre.
var Shards = []string{"s0", "s1", "s2", "s3"}

var dataCentres = []string{"a", "b", "c"}

// Fleet is a fleet of forwarders and replicas. Safe for concurrent use.
type Fleet struct {
	network *memnet.Network
	view    atomic.Pointer[directory.View]
	// Nodes are the forwarders. They exchange records of suspected requests.
	Nodes   []*forward.Forwarder
	closers []func()

	// mu guards the fields below.
	mu       sync.Mutex
	closed   bool
	started  int
	replicas map[string]*replica
	crashes  int
	events   map[string]int
	refusals int
}

// New starts a fleet.
func New(nodes int) *Fleet {
	f := &Fleet{
		network:  memnet.New(time.Millisecond / 2),
		replicas: make(map[string]*replica),
		events:   make(map[string]int),
	}
	for _, shard := range Shards {
		for _, dc := range dataCentres {
			f.startReplica(shard, dc)
		}
	}
	f.publish()
	for i := range nodes {
		f.startNode(dataCentres[i%len(dataCentres)])
	}
	return f
}

// Close stops the fleet and waits, in virtual time, for all that it started.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	// Closing a connection between two reads would block virtual time.
	time.Sleep(drainTime)
	for _, stop := range f.closers {
		stop()
	}
	f.mu.Lock()
	for _, r := range f.replicas {
		r.disconnect()
	}
	f.mu.Unlock()
	time.Sleep(drainTime)
}

// View implements forward.Source.
func (f *Fleet) View() *directory.View { return f.view.Load() }

// FleetSize implements forward.Source.
func (f *Fleet) FleetSize() float64 { return float64(len(dataCentres)) }

// LastAnswer implements forward.Source.
func (f *Fleet) LastAnswer() time.Time { return time.Now() }

// publish passes the running replicas to the nodes.
func (f *Fleet) publish() {
	f.mu.Lock()
	v := &directory.View{At: time.Now(), Replicas: make(map[string][]*registry.Replica), Index: route.NewIndex(&route.Configuration{
		Version: 1, Routes: []route.Route{{
			Name: "all", Host: host, Prefix: "/", Idempotent: true, MaxAttempts: 2, Shards: Shards,
			Timeout: requestTimeout, Objective: requestTimeout / 10, TopRecords: 100, MinCoverage: 0.5,
		}},
	})}
	for _, r := range f.replicas {
		v.Replicas[r.Service] = append(v.Replicas[r.Service], &r.Replica)
	}
	f.view.Store(v)
	f.mu.Unlock()
	for _, n := range f.Nodes {
		n.Update(v)
	}
}

func (f *Fleet) startNode(dataCentre string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(refusalHook{f})
	client := backend.New(backend.Options{
		Dial: f.network.Dialer(dataCentre), DialTimeout: requestTimeout / 2, CloseTimeout: requestTimeout,
	})
	var n *forward.Forwarder
	n = forward.New(forward.Options{
		Source: f, Backend: client, Dialect: dialect{}, DataCentre: dataCentre, Log: log,
		RetryBudget:     retrybudget.Bound{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second},
		Event:           func(kind, _, _ string) { f.recordEvent(kind) },
		SuspectsChanged: func() { time.AfterFunc(pushDelay, func() { f.push(n) }) },
	})
	n.Update(f.View())
	ctx, cancel := context.WithCancel(context.Background())
	go n.Run(ctx)
	f.closers = append(f.closers, cancel, client.Close)
	f.Nodes = append(f.Nodes, n)
}

// push passes a node's changed records of suspected requests to the others.
func (f *Fleet) push(from *forward.Forwarder) {
	records := from.SuspectChanges()
	for _, n := range f.Nodes {
		if n != from {
			n.MergeSuspects(records)
		}
	}
}

func (f *Fleet) recordEvent(kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events[kind]++
}

// refusalHook counts suspected requests that were refused although no replica was missing.
type refusalHook struct{ fleet *Fleet }

func (refusalHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h refusalHook) Fire(e *logrus.Entry) error {
	lacked := fmt.Sprint(e.Data["denied"]) != "[]"
	if e.Data["suspect"] == true && e.Data["outcome"] == forward.NotRun.String() && !lacked {
		h.fleet.mu.Lock()
		h.fleet.refusals++
		h.fleet.mu.Unlock()
	}
	return nil
}

// Crashes returns how many replicas have crashed or were killed.
func (f *Fleet) Crashes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes
}

// Events returns how many decisions of a kind the nodes have made.
func (f *Fleet) Events(kind string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.events[kind]
}

// Refusals returns how many suspected requests were refused although no replica was missing.
func (f *Fleet) Refusals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refusals
}

// Request returns a request with a path.
func Request(path string) *forward.Request {
	return &forward.Request{
		ID: "q", Method: http.MethodGet, Target: path, Path: path, Host: host,
		Header: http.Header{headerID: {"q"}}, Arrived: time.Now(), CallerTimeout: requestTimeout,
	}
}

// Repeat sends requests to the nodes in turn, and returns the answers by outcome. path
// returns the path of the i-th request.
func (f *Fleet) Repeat(path func(i int) string, interval, duration time.Duration) map[forward.Outcome]int {
	outcomes := make(map[forward.Outcome]int)
	var mu sync.Mutex
	var requests sync.WaitGroup
	for i, until := 0, time.Now().Add(duration); time.Now().Before(until); i++ {
		requests.Go(func() {
			a := f.Nodes[i%len(f.Nodes)].Serve(context.Background(), Request(path(i)))
			mu.Lock()
			defer mu.Unlock()
			outcomes[a.Outcome]++
		})
		time.Sleep(interval)
	}
	requests.Wait()
	return outcomes
}
