package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/limit"
	"github.com/carobmill/carobmill/policy/query"
)

const dataCentres = 4

type simulation struct {
	scenario Scenario
	loop     *loop
	rng      *rand.Rand
	service  *config.Service
	nodes    []*node
	servers  []*modelServer
	position map[string]int
	owners   map[string][]*ownedReplica
	result   Result
	coverage float64
	from, to time.Duration
}

type modelServer struct {
	server
	fullShareAt time.Duration
}

// Run simulates a scenario and returns its result.
func Run(s Scenario) *Result {
	r := &simulation{
		scenario: s, loop: &loop{},
		rng:      rand.New(rand.NewPCG(s.Seed, 1)),
		position: make(map[string]int),
		owners:   make(map[string][]*ownedReplica),
	}
	r.build()
	for _, f := range s.Faults {
		r.loop.after(f.At, func() { r.injectFault(f) })
	}
	r.scheduleRollouts()
	at := time.Duration(0)
	for id := range s.uncounted() + s.Queries {
		rate := s.Rate
		if id < s.Warmup && s.WarmupRate > 0 {
			rate = s.WarmupRate
		}
		at += time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
		entry := r.nodes[r.rng.IntN(len(r.nodes))]
		class := classLow
		if r.rng.Float64() < s.HighShare {
			class = classHigh
		}
		if id == s.uncounted() {
			r.from = at
		}
		r.loop.after(at, func() { entry.arrive(id, class) })
	}
	r.to = at
	r.loop.run(at + 2*s.Deadline)
	return r.finish()
}

func (r *simulation) build() {
	s := r.scenario
	for i := range s.Nodes {
		r.nodes = append(r.nodes, newNode(r, i))
	}
	r.service = &config.Service{Name: "bench"}
	gen := &config.Generation{ID: 1, FirstSnapshot: 1}
	for i := range s.Shards {
		shard := &config.Shard{Name: fmt.Sprintf("s%d", i), Position: i}
		for j := range s.Replicas {
			shard.Replicas = append(shard.Replicas, r.addReplica(i, j))
		}
		gen.Shards = append(gen.Shards, shard)
	}
	r.service.Generations = []*config.Generation{gen}
}

func (r *simulation) addReplica(shard, j int) *config.Replica {
	s := r.scenario
	dc := (shard + j) % dataCentres
	replica := &config.Replica{
		Name: fmt.Sprintf("s%d-r%d", shard, j), Service: r.service,
		DataCentre: fmt.Sprint(dc), InService: true,
	}
	position := len(r.servers)
	server := &modelServer{server: server{
		loop: r.loop, rng: rand.New(rand.NewPCG(s.Seed, uint64(1000+position))),
		meanServiceTime: s.Service, slots: s.Slots, slowFactor: 1, slowProbability: s.SlowProbability,
		coldLimit: s.ColdInFlight, held: firstSnapshot, log: serverLog{acceptedQueries: make(map[int]bool)},
	}}
	if s.SlowEvery > 0 && position%s.SlowEvery == s.SlowEvery/4 {
		server.slowFactor = s.SlowFactor
	}
	r.servers = append(r.servers, server)
	r.position[replica.Name] = position
	r.addOwners(replica, server, dc)
	return replica
}

// addOwners makes all nodes of the replica's data centre its owners. The nodes take
// turns as first owner.
func (r *simulation) addOwners(replica *config.Replica, server *modelServer, dc int) {
	var owners []*ownedReplica
	for _, n := range r.nodes {
		if n.dc == dc {
			owners = append(owners, &ownedReplica{node: n, replica: replica, server: &server.server})
		}
	}
	first := r.position[replica.Name] / dataCentres % len(owners)
	owners[0], owners[first] = owners[first], owners[0]
	for i, o := range owners {
		o.isFirst = i == 0
		o.limiter = limit.New(limit.Params{
			MaxInFlight:  max(1, 2*r.scenario.Slots/len(owners)),
			ColdInFlight: r.scenario.ColdInFlight,
			First:        o.isFirst,
			Exclusive:    r.scenario.Exclusive,
		}, r.loop.now())
		o.node.owned[replica.Name] = o
		for _, other := range owners {
			if other != o {
				o.others = append(o.others, other)
			}
		}
	}
	r.owners[replica.Name] = owners
	if r.scenario.Policy == Carobmill {
		owners[0].reportWarm()
		owners[0].probe()
	}
}

func (r *simulation) server(replica *config.Replica) *server {
	return &r.servers[r.position[replica.Name]].server
}

// ownerFor chooses the owner that forwards a subrequest. It is the first owner if
// the replica is not reported warm or has silent cold starts, otherwise the node
// itself if it is an owner, otherwise a random owner.
func (r *simulation) ownerFor(n *node, replica *config.Replica) *node {
	owners := r.owners[replica.Name]
	if r.scenario.Exclusive || !n.reportedWarm(replica.Name) {
		return owners[0].node
	}
	for _, o := range owners {
		if o.node == n {
			return n
		}
	}
	return owners[n.rng.IntN(len(owners))].node
}

func (r *simulation) injectFault(f Fault) {
	server := r.servers[f.Replica]
	switch f.Kind {
	case FaultSilent:
		server.becomeCold(f.WarmUpRequests)
	case FaultRestart:
		server.restart(f.WarmUpRequests)
		r.closeConnections(f.Replica)
	case FaultDown:
		server.down = true
		server.restart(f.WarmUpRequests)
		r.closeConnections(f.Replica)
		r.loop.after(f.Downtime, func() { server.down = false })
	}
}

// closeConnections signals a connection reset to each owner of a replica.
func (r *simulation) closeConnections(position int) {
	for name, owners := range r.owners {
		if r.position[name] != position {
			continue
		}
		for _, o := range owners {
			r.loop.after(backendDelay, func() {
				o.limiter.Observe(r.loop.now(), limit.SignalReset)
				o.reportChange()
			})
		}
	}
}

func (r *simulation) counted(id int) bool {
	return id >= r.scenario.uncounted()
}

func (r *simulation) recordRefused(id, class int, after time.Duration) {
	if !r.counted(id) {
		return
	}
	r.result.Refused++
	if class == classHigh {
		r.result.OfferedHigh++
	}
	r.result.SlowestRefusal = max(r.result.SlowestRefusal, after)
	r.loop.after(2*r.scenario.Deadline, func() { r.checkNotRun(id) })
}

// checkNotRun counts a refused query that some server accepted. A refusal must mean
// that no server ran any part of the query.
func (r *simulation) checkNotRun(id int) {
	for _, s := range r.servers {
		if s.log.acceptedQueries[id] {
			r.result.FalseNotRun++
			return
		}
	}
}

func (r *simulation) recordEnded(q *entryQuery, answer *query.Answer, took time.Duration) {
	if answer.Outcome == query.Refused {
		r.recordRefused(q.id, q.class, took)
		return
	}
	if !r.counted(q.id) {
		return
	}
	r.coverage += answer.Coverage
	r.result.Hedges += answer.Stats.Hedges
	r.checkSnapshots(answer)
	if q.class == classHigh {
		r.result.OfferedHigh++
		r.result.High = append(r.result.High, took)
	} else {
		r.result.Low = append(r.result.Low, took)
	}
	if answer.Outcome != query.Complete {
		r.result.Partial++
		return
	}
	r.result.Complete++
	if q.class == classHigh {
		r.result.CompleteHigh++
	}
}

func (r *simulation) finish() *Result {
	res := &r.result
	res.All = append(slices.Clone(res.High), res.Low...)
	slices.Sort(res.High)
	slices.Sort(res.Low)
	slices.Sort(res.All)
	res.Span = r.to - r.from
	res.Coverage = r.coverage / float64(max(len(res.All), 1))
	accepted := 0
	for _, s := range r.servers {
		accepted += s.log.accepted
		res.Servers = append(res.Servers, ServerResult{
			Excess: s.log.excess, LastExcess: s.log.lastExcess, ColdPeak: s.log.coldPeak, Shed: s.log.shed,
			WarmAt: s.log.warmAt, FullShareAt: s.fullShareAt, AcceptedPerSecond: s.log.perSecond,
		})
	}
	admitted := r.scenario.uncounted() + r.scenario.Queries - res.Refused
	res.Extra = float64(accepted)/float64(admitted*r.scenario.Shards) - 1
	return res
}
