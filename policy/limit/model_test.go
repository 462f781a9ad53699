package limit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/limit"
	"github.com/carobmill/carobmill/policy/modeltest"
)

// TestMain fixes the seed of the runs in CI. Long runs with new seeds:
//
//	go test ./policy/limit -run ModelOwners -rapid.seed=0 -rapid.checks=100000
func TestMain(m *testing.M) { modeltest.Main(m, modeltest.Size{Checks: "3000", Steps: "120"}) }

const (
	modelOwners = 3
	modelShare  = 4
	modelBears  = 1
	// coldRequests warm the server up; until then it takes coldFactor as long.
	coldRequests = 20
	coldFactor   = 6
	longest      = coldFactor * normal
	// cancelDelay is how long the server works on after a cancellation.
	cancelDelay = 40 * time.Millisecond
	// newsDelay bounds the age of news between owners.
	newsDelay = 900 * time.Millisecond
)

// tamper breaks the limiters or the rules for their use on purpose.
type tamper struct {
	believesOldNews, noRest, missesResets, ignoresLatency bool
	cancelsCold, keepsAuthority, ignoresDraining          bool
	revivesByNews                                         bool
	// exclusive is no fault: the replica is stated to turn cold unseen.
	exclusive, manyAtWarm bool
}

// flight is a request at the server.
type flight struct {
	owner int
	start time.Time
	end   time.Time
}

// modelOwner is one owner and what it believes.
type modelOwner struct {
	*limit.Limiter
	first    bool
	draining bool
	// unseen: the server restarted and this owner's connections are dead, but it
	// has not noticed. What it sends does not arrive.
	unseen bool
}

// news is on its way between owners.
type news struct {
	to    int
	state pb.ReplicaState
	late  time.Time
}

// model is several owners of one replica that hear of each other, of changes of
// ownership and of the replica late. The oracle is the server's own count: while
// cold, it never has more in flight than it bears.
type model struct {
	tamper  tamper
	now     time.Time
	owners  []*modelOwner
	first   int
	cold    int
	flights []flight
	// ghosts are cancelled requests that the server still works on.
	ghosts []time.Time
	news   []news
}

func newModel(tm tamper) *model {
	m := &model{tamper: tm, now: start, cold: coldRequests}
	p := limit.Params{MaxInFlight: modelShare, ColdInFlight: modelBears, TakeoverDelay: longest, Exclusive: tm.exclusive && !tm.manyAtWarm}
	if tm.exclusive {
		// A request that timed out is worked on until its cancellation arrives.
		p.TakeoverDelay += cancelDelay
	}
	if tm.believesOldNews {
		p.HoldDown = 1
	}
	if tm.noRest {
		p.TakeoverDelay = 0
	}
	if tm.cancelsCold {
		p.CancelGrace = 1
	}
	for i := range modelOwners {
		p.First = i == 0
		m.owners = append(m.owners, &modelOwner{first: p.First, Limiter: limit.New(p, m.now)})
	}
	return m
}

// atServer counts what the server works on.
func (m *model) atServer() int {
	n := len(m.flights)
	for _, end := range m.ghosts {
		if m.now.Before(end) {
			n++
		}
	}
	return n
}

func (m *model) send(t *rapid.T) {
	m.sendFrom(t, rapid.IntRange(0, modelOwners-1).Draw(t, "owner"))
}

func (m *model) sendFrom(t *rapid.T, i int) {
	o := m.owners[i]
	if o.TryAcquire(m.now) != acquired {
		return
	}
	if o.unseen {
		m.seeReset(i)
		o.Release(m.now, limit.Sample{Result: limit.ResultConnectionFailed})
		return
	}
	if o.draining {
		t.Fatalf("a draining replica got a request")
	}
	if o.InFlight() > modelShare {
		t.Fatalf("owner %d went beyond its share", i)
	}
	if !o.first && o.State() != pb.ReplicaState_REPLICA_STATE_WARM {
		t.Fatalf("owner %d used a replica that is not warm", i)
	}
	took := normal
	if m.cold > 0 {
		took = longest
	}
	m.flights = append(m.flights, flight{owner: i, start: m.now, end: m.now.Add(took)})
	if m.cold > 0 && m.atServer() > modelBears {
		t.Fatalf("the cold server has %d requests in flight", m.atServer())
	}
}

// finish ends the request that is due first.
func (m *model) finish(*rapid.T) {
	if len(m.flights) == 0 {
		return
	}
	due := 0
	for i, f := range m.flights {
		if f.end.Before(m.flights[due].end) {
			due = i
		}
	}
	f := m.flights[due]
	m.flights = append(m.flights[:due], m.flights[due+1:]...)
	if m.now.Before(f.end) {
		m.now = f.end
	}
	m.cold = max(m.cold-1, 0)
	m.release(f, limit.ResultOK)
}

func (m *model) release(f flight, result limit.Result) {
	s := limit.Sample{Latency: m.now.Sub(f.start), Result: result, PeerLatency: normal}
	if m.tamper.ignoresLatency {
		s.PeerLatency = time.Second
	}
	m.owners[f.owner].Release(m.now, s)
}

// giveUp lets a query lose interest in a request.
func (m *model) giveUp(t *rapid.T) {
	if len(m.flights) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.flights)-1).Draw(t, "flight")
	f := m.flights[i]
	if m.owners[f.owner].RunToCompletion() && !m.tamper.cancelsCold {
		return
	}
	m.withdraw(i, limit.ResultCancelled)
}

// timeOut lets the deadline of a request pass, whatever the owner would like.
func (m *model) timeOut(t *rapid.T) {
	if len(m.flights) > 0 {
		m.withdraw(rapid.IntRange(0, len(m.flights)-1).Draw(t, "flight"), limit.ResultTimeout)
	}
}

func (m *model) withdraw(i int, result limit.Result) {
	f := m.flights[i]
	m.flights = append(m.flights[:i], m.flights[i+1:]...)
	m.ghosts = append(m.ghosts, m.now.Add(cancelDelay))
	m.release(f, result)
}

// restart makes the server cold without a warning. Its owners notice when their
// connections close, each in its own time.
func (m *model) restart(*rapid.T) {
	lost := m.flights
	m.flights, m.ghosts = nil, nil
	m.cold = coldRequests
	for i := range m.owners {
		m.owners[i].unseen = true
	}
	for _, f := range lost {
		m.seeReset(f.owner)
		m.release(f, limit.ResultConnectionFailed)
	}
}

// turnCold makes the server cold with its connections open. No owner hears of it.
func (m *model) turnCold(t *rapid.T) {
	m.cold = coldRequests
	if m.atServer() > modelBears {
		t.Fatalf("the cold server has %d requests in flight", m.atServer())
	}
}

func (m *model) notice(t *rapid.T) {
	m.seeReset(rapid.IntRange(0, modelOwners-1).Draw(t, "owner"))
}

func (m *model) noticeAll(*rapid.T) {
	for i := range m.owners {
		m.seeReset(i)
	}
	m.pass(1)
}

func (m *model) seeReset(i int) {
	o := m.owners[i]
	if !o.unseen {
		return
	}
	o.unseen = false
	if !m.tamper.missesResets {
		o.Observe(m.now, limit.SignalReset)
	}
}

// moveAuthority makes another owner the first one. The earlier one knows before
// the next one does; for a time none is first.
func (m *model) moveAuthority(t *rapid.T) {
	next := rapid.IntRange(0, modelOwners-1).Draw(t, "next first")
	for i, o := range m.owners {
		if o.first && i != next && !m.tamper.keepsAuthority {
			o.first = false
			o.SetShare(m.now, modelShare, false)
		}
	}
	m.first = next
	m.pass(rapid.IntRange(0, 50).Draw(t, "without first"))
	if o := m.owners[next]; !o.first {
		o.first = true
		o.SetShare(m.now, modelShare, true)
	}
}

// tell sends what an owner knows to another one, and hear delivers it, in any
// order and any number of times.
func (m *model) tell(t *rapid.T) {
	from := rapid.IntRange(0, modelOwners-1).Draw(t, "from")
	o := m.owners[from]
	if o.unseen {
		m.seeReset(from)
	}
	state := o.State()
	if state == pb.ReplicaState_REPLICA_STATE_WARM && !o.first {
		return
	}
	m.news = append(m.news, news{
		to: rapid.IntRange(0, modelOwners-1).Draw(t, "to"), state: state, late: m.now.Add(newsDelay),
	})
}

func (m *model) hear(t *rapid.T) {
	if len(m.news) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.news)-1).Draw(t, "news")
	n := m.news[i]
	if !rapid.Bool().Draw(t, "again") {
		m.news = append(m.news[:i], m.news[i+1:]...)
	}
	if m.now.After(n.late) {
		return
	}
	switch n.state {
	case pb.ReplicaState_REPLICA_STATE_WARM:
		if m.tamper.revivesByNews {
			m.owners[n.to].Observe(m.now, limit.SignalServing)
		}
		m.owners[n.to].ObserveWarm(m.now)
	case pb.ReplicaState_REPLICA_STATE_COLD:
		m.owners[n.to].Observe(m.now, limit.SignalColdReport)
	}
}

// hearAll delivers all that is on its way.
func (m *model) hearAll(t *rapid.T) {
	for len(m.news) > 0 {
		m.hear(t)
	}
}

// drain and serve let one owner hear that the server leaves or is back.
func (m *model) drain(t *rapid.T) {
	o := m.owners[rapid.IntRange(0, modelOwners-1).Draw(t, "owner")]
	o.draining = true
	if !m.tamper.ignoresDraining {
		o.Observe(m.now, limit.SignalDraining)
	}
}

func (m *model) serve(t *rapid.T) {
	o := m.owners[rapid.IntRange(0, modelOwners-1).Draw(t, "owner")]
	o.draining = false
	o.Observe(m.now, limit.SignalServing)
}

func (m *model) wait(t *rapid.T) {
	m.pass(rapid.IntRange(1, 400).Draw(t, "ms"))
}

// pass lets time go by; requests that are due end on the way.
func (m *model) pass(ms int) {
	until := m.now.Add(time.Duration(ms) * time.Millisecond)
	for {
		due := false
		for _, f := range m.flights {
			due = due || !f.end.After(until)
		}
		if !due {
			break
		}
		m.finish(nil)
	}
	m.now = until
}

// rush is load from all owners at once.
func (m *model) rush(t *rapid.T) {
	for i, o := range m.owners {
		for before := -1; before < o.InFlight(); {
			before = o.InFlight()
			m.sendFrom(t, i)
		}
	}
}

// burst is one owner under load, which is how a server warms up.
func (m *model) burst(t *rapid.T) {
	i := rapid.IntRange(0, modelOwners-1).Draw(t, "owner")
	for range rapid.IntRange(1, 40).Draw(t, "requests") {
		m.sendFrom(t, i)
		m.finish(t)
	}
}

// warmUp lets the first owner warm the server up and tell the others.
func (m *model) warmUp(t *rapid.T) {
	for range 3 * coldRequests {
		m.sendFrom(t, m.first)
		m.finish(t)
		m.pass(5)
	}
	for i := range m.owners {
		m.news = append(m.news, news{to: i, state: m.owners[m.first].State(), late: m.now.Add(newsDelay)})
	}
}

// settle checks that the first owner comes back to its full share once nothing
// disturbs it.
func (m *model) settle(t *rapid.T) {
	for i, o := range m.owners {
		m.seeReset(i)
		o.draining = false
		o.Observe(m.now, limit.SignalServing)
	}
	m.news = nil
	first := m.owners[m.first]
	for range 200 {
		m.sendFrom(t, m.first)
		m.sendFrom(t, m.first)
		m.finish(t)
		m.pass(10)
	}
	full := modelShare
	if m.tamper.exclusive && !m.tamper.manyAtWarm {
		full = modelBears
	}
	if first.State() != pb.ReplicaState_REPLICA_STATE_WARM || first.Limit() != full {
		t.Fatalf("the first owner has %d places of %d back", first.Limit(), full)
	}
}

func runModel(t *rapid.T, tm tamper) {
	m := newModel(tm)
	actions := map[string]func(*rapid.T){
		"send": m.send, "send more": m.send, "burst": m.burst, "rush": m.rush,
		"finish": m.finish, "give up": m.giveUp, "restart": m.restart, "notice": m.notice, "notice all": m.noticeAll,
		"move authority": m.moveAuthority, "tell": m.tell, "warm up more": m.warmUp,
		"warm up": m.warmUp, "hear": m.hear, "hear all": m.hearAll, "drain": m.drain, "serve": m.serve, "wait": m.wait,
	}
	if tm.exclusive {
		actions["turn cold"], actions["time out"] = m.turnCold, m.timeOut
	}
	t.Repeat(actions)
	m.settle(t)
}

// Several owners of one replica that restarts, drains and changes hands while
// they hear of it late and disagree on who is first: the cold server never gets
// more than it bears, a draining one gets nothing, no owner goes beyond its
// share, and the full share always comes back.
func TestModelOwnersOfAColdReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runModel(t, tamper{}) })
}

// As above, and the server may turn cold at any step with its connections open
// and nothing telling: what is in flight at that moment is already within what it
// bears, because one owner alone sends, warm or not.
func TestModelReplicaThatTurnsColdUnseen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runModel(t, tamper{exclusive: true}) })
}

func TestModelCatchesBrokenVariants(t *testing.T) {
	for _, v := range []struct {
		name, caught string
		tamper       tamper
	}{
		{"believes old news", "cold server has", tamper{believesOldNews: true}},
		{"no rest between owners", "cold server has", tamper{noRest: true}},
		{"misses resets", "cold server has", tamper{missesResets: true}},
		{"grows at any latency", "cold server has", tamper{ignoresLatency: true}},
		{"cancels at a cold replica", "cold server has", tamper{cancelsCold: true}},
		{"keeps authority", "cold server has", tamper{keepsAuthority: true}},
		{"ignores draining", "draining replica got", tamper{ignoresDraining: true}},
		{"old news ends a drain", "draining replica got", tamper{revivesByNews: true}},
		{"unseen: many at a warm replica", "cold server has", tamper{exclusive: true, manyAtWarm: true}},
		{"unseen: cancels", "cold server has", tamper{exclusive: true, cancelsCold: true}},
		{"unseen: no rest between owners", "cold server has", tamper{exclusive: true, noRest: true}},
		{"unseen: keeps authority", "cold server has", tamper{exclusive: true, keepsAuthority: true}},
	} {
		t.Run(v.name, func(t *testing.T) {
			modeltest.ExpectFailure(t, v.caught, func(t *rapid.T) { runModel(t, v.tamper) })
		})
	}
}
