// Package simulation runs the balancers and hedges of a fleet of nodes against replicas that
// report their load, in virtual time. It is for tests.
package simulation

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/carobmill/carobmill/policy/hedge"
	"github.com/carobmill/carobmill/policy/load"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/retrybudget"
	"github.com/carobmill/carobmill/policy/upstream"
)

const (
	// replicasPerShard is the number of replicas of a shard, one in each data centre.
	replicasPerShard = 3
	// slots is the number of requests that a replica runs at once.
	slots = 4
	// localLink and remoteLink are one-way times within and between data centres.
	localLink  = 300 * time.Microsecond
	remoteLink = 2 * time.Millisecond
	// A replica pauses for pauseLength every pauseEvery.
	pauseLength = 100 * time.Millisecond
	pauseEvery  = 2400 * time.Millisecond
	// maxInFlight is a node's limit at one replica.
	maxInFlight = 4
	class       = "search"
)

// Config describes a run.
type Config struct {
	Nodes, Shards int
	// PerSecond is the number of gathered requests of the whole fleet.
	PerSecond float64
	// Work is the mean time of an attempt at the usual pace.
	Work      time.Duration
	Objective time.Duration
	Timeout   time.Duration
	Coverage  float64
	Length    time.Duration
	Seed      uint64
	// SlowShare of the replicas take SlowFactor times longer, for SlowFor in the mean. With
	// FixedRegimes each period has exactly that length.
	SlowShare, SlowFactor float64
	SlowFor               time.Duration
	FixedRegimes          bool
	// Pauses is set if replicas pause.
	Pauses bool
	// Report returns what a replica reports in place of the true report; nil for true reports.
	Report func(replica int, actual load.Report) load.Report
	// Exchange is the interval at which the nodes of a data centre learn the newest reports that
	// one of them has received; 0 for never.
	Exchange time.Duration
	// ExtraSlack is that of the budget for retries and hedges.
	ExtraSlack float64
}

// Result counts what happened after the first tenth of a run.
type Result struct {
	Requests, InTime, Incomplete int
	// Attempts, and those of them that started at a slow replica, went to another data centre,
	// or were hedges.
	Attempts, Slow, Remote, Hedges int
	// Took is the sum of the times of the requests.
	Took time.Duration
}

// event is a call at a time of the run.
type event struct {
	at    time.Duration
	order int
	call  func()
}

// events is a heap of events ordered by time.
type events []event

func (h events) Len() int      { return len(h) }
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// node is one forwarding node.
type node struct {
	dataCentre string
	balancers  []*upstream.Balancer
	budgets    []*retrybudget.Budget
	latencies  hedge.Quantile
	trust      load.Trust
}

// run is a run in progress.
type run struct {
	config   Config
	rng      *rand.Rand
	start    time.Time
	at       time.Duration
	order    int
	events   events
	nodes    []*node
	replicas []*replica
	result   Result
	// newest holds the newest reports by data centre and replica.
	newest map[string]map[int]received
}

// received is a report with the time of the run at which it was made.
type received struct {
	report load.Report
	at     time.Duration
}

// Run runs a fleet.
func Run(c Config) Result {
	r := &run{config: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), start: time.Unix(1000, 0), newest: make(map[string]map[int]received)}
	shards := make([][]*registry.Replica, c.Shards)
	for i := range c.Shards * replicasPerShard {
		p := newReplica(i, c)
		r.replicas = append(r.replicas, p)
		shards[i/replicasPerShard] = append(shards[i/replicasPerShard], &registry.Replica{
			ID: strconv.Itoa(i), Address: "10.0.0.1:80", DataCentre: centre(i),
		})
	}
	for i := range c.Nodes {
		n := &node{dataCentre: centre(i)}
		for _, replicas := range shards {
			b := upstream.NewBalancer(rand.New(rand.NewPCG(r.rng.Uint64(), 3)))
			b.ShareTrust(&n.trust)
			b.SetReplicas(replicas)
			n.balancers = append(n.balancers, b)
			n.budgets = append(n.budgets, retrybudget.New(retrybudget.Bound{
				Ratio: 0.2, Slack: c.ExtraSlack, Window: 10 * time.Second,
			}, r.start))
		}
		r.nodes = append(r.nodes, n)
	}
	r.schedule(0, r.arrive)
	if c.Exchange > 0 {
		r.schedule(c.Exchange, r.exchange)
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.at = e.at
		e.call()
	}
	return r.result
}

func centre(i int) string { return strconv.Itoa(i % replicasPerShard) }

// schedule calls a function at a time of the run.
func (r *run) schedule(at time.Duration, call func()) {
	r.order++
	heap.Push(&r.events, event{at: max(at, r.at), order: r.order, call: call})
}

func (r *run) now() time.Time { return r.start.Add(r.at) }

// counted reports whether what starts now counts in the result.
func (r *run) counted() bool { return r.at > r.config.Length/10 }

// arrive starts a request at a random node and schedules the next.
func (r *run) arrive() {
	if r.at > r.config.Length {
		return
	}
	newRequest(r, r.nodes[r.rng.IntN(len(r.nodes))]).begin()
	r.schedule(r.at+time.Duration(r.rng.ExpFloat64()*float64(time.Second)/r.config.PerSecond), r.arrive)
}

// exchange passes the newest reports of each data centre to its nodes.
func (r *run) exchange() {
	if r.at > r.config.Length {
		return
	}
	for _, n := range r.nodes {
		for i, v := range r.newest[n.dataCentre] {
			n.balancers[i/replicasPerShard].ObserveLoad(r.now(), strconv.Itoa(i), v.report, r.at-v.at)
		}
	}
	clear(r.newest)
	r.schedule(r.at+r.config.Exchange, r.exchange)
}

// recordReport records a report that a node has received.
func (r *run) recordReport(n *node, replica int, report load.Report, age time.Duration) {
	if r.newest[n.dataCentre] == nil {
		r.newest[n.dataCentre] = make(map[int]received)
	}
	if at := r.at - age; at > r.newest[n.dataCentre][replica].at {
		r.newest[n.dataCentre][replica] = received{report: report, at: at}
	}
}
