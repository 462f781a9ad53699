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

// simulation is the state of one run.
type simulation struct {
	scenario Scenario
	loop     *loop
	rng      *rand.Rand
	service  *config.Service
	nodes    []*node
	servers  []*modelServer
	// position maps the name of a replica to the index of its server.
	position map[string]int
	// owners maps the name of a replica to its owners, the first owner first.
	owners map[string][]*ownedReplica
	result Result
	// coverage is the sum of the coverage of the counted answers.
	coverage float64
	// from and to are the arrival times of the first and last counted query.
	from, to time.Duration
}

type modelServer struct {
	server
	fullShareAt time.Duration
}

// Run simulates a scenario and returns its result.
func Run(s Scenario) *Result {
	sim := &simulation{
		scenario: s, loop: &loop{},
		rng:      rand.New(rand.NewPCG(s.Seed, 1)),
		position: make(map[string]int),
		owners:   make(map[string][]*ownedReplica),
	}
	sim.build()
	for _, f := range s.Faults {
		sim.loop.after(f.At, func() { sim.injectFault(f) })
	}
	sim.scheduleRollouts()
	at := time.Duration(0)
	for id := range s.uncounted() + s.Queries {
		rate := s.Rate
		if id < s.Warmup && s.WarmupRate > 0 {
			rate = s.WarmupRate
		}
		at += time.Duration(sim.rng.ExpFloat64() / rate * float64(time.Second))
		entry := sim.nodes[sim.rng.IntN(len(sim.nodes))]
		class := classLow
		if sim.rng.Float64() < s.HighShare {
			class = classHigh
		}
		if id == s.uncounted() {
			sim.from = at
		}
		sim.loop.after(at, func() { entry.arrive(id, class) })
	}
	sim.to = at
	sim.loop.run(at + 2*s.Deadline)
	return sim.finish()
}

func (sim *simulation) build() {
	s := sim.scenario
	for i := range s.Nodes {
		sim.nodes = append(sim.nodes, newNode(sim, i))
	}
	sim.service = &config.Service{Name: "bench"}
	gen := &config.Generation{ID: 1, FirstSnapshot: 1}
	for i := range s.Shards {
		shard := &config.Shard{Name: fmt.Sprintf("s%d", i), Position: i}
		for j := range s.Replicas {
			shard.Replicas = append(shard.Replicas, sim.addReplica(i, j))
		}
		gen.Shards = append(gen.Shards, shard)
	}
	sim.service.Generations = []*config.Generation{gen}
}

func (sim *simulation) addReplica(shard, j int) *config.Replica {
	s := sim.scenario
	dc := (shard + j) % dataCentres
	replica := &config.Replica{
		Name: fmt.Sprintf("s%d-r%d", shard, j), Service: sim.service,
		DataCentre: fmt.Sprint(dc), InService: true,
	}
	position := len(sim.servers)
	server := &modelServer{server: server{
		loop: sim.loop, rng: rand.New(rand.NewPCG(s.Seed, uint64(1000+position))),
		meanServiceTime: s.Service, slots: s.Slots, slowFactor: 1, slowProbability: s.SlowProbability,
		coldLimit: s.ColdInFlight, held: firstSnapshot, log: serverLog{acceptedQueries: make(map[int]bool)},
	}}
	if s.SlowEvery > 0 && position%s.SlowEvery == s.SlowEvery/4 {
		server.slowFactor = s.SlowFactor
	}
	sim.servers = append(sim.servers, server)
	sim.position[replica.Name] = position
	sim.addOwners(replica, server, dc)
	return replica
}

// addOwners makes all nodes of the replica's data centre its owners. The nodes take
// turns as first owner.
func (sim *simulation) addOwners(replica *config.Replica, server *modelServer, dc int) {
	var owners []*ownedReplica
	for _, n := range sim.nodes {
		if n.dc == dc {
			owners = append(owners, &ownedReplica{node: n, replica: replica, server: &server.server})
		}
	}
	first := sim.position[replica.Name] / dataCentres % len(owners)
	owners[0], owners[first] = owners[first], owners[0]
	for i, o := range owners {
		o.isFirst = i == 0
		o.limiter = limit.New(limit.Params{
			MaxInFlight:  max(1, 2*sim.scenario.Slots/len(owners)),
			ColdInFlight: sim.scenario.ColdInFlight,
			First:        o.isFirst,
			Exclusive:    sim.scenario.Exclusive,
		}, sim.loop.now())
		o.node.owned[replica.Name] = o
		for _, other := range owners {
			if other != o {
				o.others = append(o.others, other)
			}
		}
	}
	sim.owners[replica.Name] = owners
	if sim.scenario.Policy == Carobmill {
		owners[0].reportWarm()
		owners[0].probe()
	}
}

func (sim *simulation) server(replica *config.Replica) *server {
	return &sim.servers[sim.position[replica.Name]].server
}

// ownerFor chooses the owner that forwards a subrequest. It is the first owner if
// the replica is not reported warm or has silent cold starts, otherwise the node
// itself if it is an owner, otherwise a random owner.
func (sim *simulation) ownerFor(n *node, replica *config.Replica) *node {
	owners := sim.owners[replica.Name]
	if sim.scenario.Exclusive || !n.reportedWarm(replica.Name) {
		return owners[0].node
	}
	for _, o := range owners {
		if o.node == n {
			return n
		}
	}
	return owners[n.rng.IntN(len(owners))].node
}

func (sim *simulation) injectFault(f Fault) {
	server := sim.servers[f.Replica]
	switch f.Kind {
	case FaultSilent:
		server.becomeCold(f.WarmUpRequests)
	case FaultRestart:
		server.restart(f.WarmUpRequests)
		sim.closeConnections(f.Replica)
	case FaultDown:
		server.down = true
		server.restart(f.WarmUpRequests)
		sim.closeConnections(f.Replica)
		sim.loop.after(f.Downtime, func() { server.down = false })
	}
}

// closeConnections signals a connection reset to each owner of a replica.
func (sim *simulation) closeConnections(position int) {
	for name, owners := range sim.owners {
		if sim.position[name] != position {
			continue
		}
		for _, o := range owners {
			sim.loop.after(backendDelay, func() {
				o.limiter.Observe(sim.loop.now(), limit.SignalReset)
				o.reportChange()
			})
		}
	}
}

func (sim *simulation) counted(id int) bool {
	return id >= sim.scenario.uncounted()
}

func (sim *simulation) recordRefused(id, class int, after time.Duration) {
	if !sim.counted(id) {
		return
	}
	sim.result.Refused++
	if class == classHigh {
		sim.result.OfferedHigh++
	}
	sim.result.SlowestRefusal = max(sim.result.SlowestRefusal, after)
	sim.loop.after(2*sim.scenario.Deadline, func() { sim.checkNotRun(id) })
}

// checkNotRun counts a refused query that some server accepted. A refusal must mean
// that no server ran any part of the query.
func (sim *simulation) checkNotRun(id int) {
	for _, s := range sim.servers {
		if s.log.acceptedQueries[id] {
			sim.result.FalseNotRun++
			return
		}
	}
}

func (sim *simulation) recordEnded(q *entryQuery, answer *query.Answer, took time.Duration) {
	if answer.Outcome == query.Refused {
		sim.recordRefused(q.id, q.class, took)
		return
	}
	if !sim.counted(q.id) {
		return
	}
	sim.coverage += answer.Coverage
	sim.result.Hedges += answer.Stats.Hedges
	sim.checkSnapshots(answer)
	if q.class == classHigh {
		sim.result.OfferedHigh++
		sim.result.High = append(sim.result.High, took)
	} else {
		sim.result.Low = append(sim.result.Low, took)
	}
	if answer.Outcome != query.Complete {
		sim.result.Partial++
		return
	}
	sim.result.Complete++
	if q.class == classHigh {
		sim.result.CompleteHigh++
	}
}

func (sim *simulation) finish() *Result {
	res := &sim.result
	res.All = append(slices.Clone(res.High), res.Low...)
	slices.Sort(res.High)
	slices.Sort(res.Low)
	slices.Sort(res.All)
	res.Span = sim.to - sim.from
	res.Coverage = sim.coverage / float64(max(len(res.All), 1))
	accepted := 0
	for _, s := range sim.servers {
		accepted += s.log.accepted
		res.Servers = append(res.Servers, ServerResult{
			Excess: s.log.excess, LastExcess: s.log.lastExcess, ColdPeak: s.log.coldPeak, Shed: s.log.shed,
			WarmAt: s.log.warmAt, FullShareAt: s.fullShareAt, AcceptedPerSecond: s.log.perSecond,
		})
	}
	admitted := sim.scenario.uncounted() + sim.scenario.Queries - res.Refused
	res.Extra = float64(accepted)/float64(admitted*sim.scenario.Shards) - 1
	return res
}
