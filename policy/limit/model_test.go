package limit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/limit"
	"github.com/carobmill/carobmill/policy/modeltest"
)

// TestMain fixes the seed for runs in CI. A long run with a new seed:
//
//	go test ./policy/limit -run ModelOwners -rapid.seed=0 -rapid.checks=100000
func TestMain(m *testing.M) { modeltest.Main(m, modeltest.Size{Checks: "3000", Steps: "120"}) }

const (
	modelOwners       = 3
	modelShare        = 4
	modelColdInFlight = 1
	// The server is cold for coldRequests requests, each of which takes coldFactor
	// times as long.
	coldRequests = 20
	coldFactor   = 6
	coldLatency  = coldFactor * normal
	// cancelDelay is how long the server continues to work on a cancelled request.
	cancelDelay = 40 * time.Millisecond
	// reportMaxAge bounds the age of a report between owners.
	reportMaxAge = 900 * time.Millisecond
)

// faults breaks the limiters or the rules for their use deliberately.
type faults struct {
	acceptsStaleReports, noTakeoverDelay, missesResets, ignoresLatency bool
	cancelsColdRequests, keepsFirstRank, ignoresDraining               bool
	staleReportEndsDrain                                               bool
	// exclusive is not a fault: the server may turn cold without a signal, and
	// Params.Exclusive is set unless sharedWhenWarm is.
	exclusive, sharedWhenWarm bool
}

// flight is a request in flight at the server.
type flight struct {
	owner int
	start time.Time
	end   time.Time
}

// modelOwner is one owner with its view of the replica.
type modelOwner struct {
	*limit.Limiter
	first    bool
	draining bool
	// resetUnseen is true while the server has restarted and this owner has not
	// observed the reset of its connections. Its requests do not arrive.
	resetUnseen bool
}

// report is a message in transit between owners.
type report struct {
	to      int
	state   pb.ReplicaState
	expires time.Time
}

// model simulates several owners of one replica that receive reports, changes of
// ownership and the replica's signals with delay. The invariant is checked at the
// server: while cold, it never has more than modelColdInFlight requests in flight.
type model struct {
	faults  faults
	now     time.Time
	owners  []*modelOwner
	first   int
	cold    int
	flights []flight
	// cancelled lists when the server stops working on each cancelled request.
	cancelled []time.Time
	reports   []report
}

func newModel(f faults) *model {
	m := &model{faults: f, now: start, cold: coldRequests}
	p := limit.Params{MaxInFlight: modelShare, ColdInFlight: modelColdInFlight, TakeoverDelay: coldLatency, Exclusive: f.exclusive && !f.sharedWhenWarm}
	if f.exclusive {
		// The server works on a request that timed out until its cancellation arrives.
		p.TakeoverDelay += cancelDelay
	}
	if f.acceptsStaleReports {
		p.HoldDown = 1
	}
	if f.noTakeoverDelay {
		p.TakeoverDelay = 0
	}
	if f.cancelsColdRequests {
		p.CancelGrace = 1
	}
	for i := range modelOwners {
		p.First = i == 0
		m.owners = append(m.owners, &modelOwner{first: p.First, Limiter: limit.New(p, m.now)})
	}
	return m
}

// inFlightAtServer counts the requests that the server works on, cancelled ones
// included.
func (m *model) inFlightAtServer() int {
	n := len(m.flights)
	for _, end := range m.cancelled {
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
	if o.resetUnseen {
		m.observeReset(i)
		o.Release(m.now, limit.Sample{Result: limit.ResultConnectionFailed})
		return
	}
	if o.draining {
		t.Fatalf("a draining replica got a request")
	}
	if o.InFlight() > modelShare {
		t.Fatalf("owner %d exceeded its share", i)
	}
	if !o.first && o.State() != pb.ReplicaState_REPLICA_STATE_WARM {
		t.Fatalf("owner %d used a replica that is not warm", i)
	}
	took := normal
	if m.cold > 0 {
		took = coldLatency
	}
	m.flights = append(m.flights, flight{owner: i, start: m.now, end: m.now.Add(took)})
	if m.cold > 0 && m.inFlightAtServer() > modelColdInFlight {
		t.Fatalf("the cold server has %d requests in flight", m.inFlightAtServer())
	}
}

// finishNext ends the request with the earliest end.
func (m *model) finishNext(*rapid.T) {
	if len(m.flights) == 0 {
		return
	}
	next := 0
	for i, f := range m.flights {
		if f.end.Before(m.flights[next].end) {
			next = i
		}
	}
	f := m.flights[next]
	m.flights = append(m.flights[:next], m.flights[next+1:]...)
	if m.now.Before(f.end) {
		m.now = f.end
	}
	m.cold = max(m.cold-1, 0)
	m.release(f, limit.ResultOK)
}

func (m *model) release(f flight, result limit.Result) {
	s := limit.Sample{Latency: m.now.Sub(f.start), Result: result, PeerLatency: normal}
	if m.faults.ignoresLatency {
		s.PeerLatency = time.Second
	}
	m.owners[f.owner].Release(m.now, s)
}

// cancelRequest cancels a request, unless its owner lets the request run to
// completion.
func (m *model) cancelRequest(t *rapid.T) {
	if len(m.flights) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.flights)-1).Draw(t, "flight")
	f := m.flights[i]
	if m.owners[f.owner].RunToCompletion() && !m.faults.cancelsColdRequests {
		return
	}
	m.abandon(i, limit.ResultCancelled)
}

// timeOut ends a request by its deadline, whatever RunToCompletion returns.
func (m *model) timeOut(t *rapid.T) {
	if len(m.flights) > 0 {
		m.abandon(rapid.IntRange(0, len(m.flights)-1).Draw(t, "flight"), limit.ResultTimeout)
	}
}

func (m *model) abandon(i int, result limit.Result) {
	f := m.flights[i]
	m.flights = append(m.flights[:i], m.flights[i+1:]...)
	m.cancelled = append(m.cancelled, m.now.Add(cancelDelay))
	m.release(f, result)
}

// restart makes the server cold and closes its connections. Each owner observes the
// reset at its own time.
func (m *model) restart(*rapid.T) {
	interrupted := m.flights
	m.flights, m.cancelled = nil, nil
	m.cold = coldRequests
	for i := range m.owners {
		m.owners[i].resetUnseen = true
	}
	for _, f := range interrupted {
		m.observeReset(f.owner)
		m.release(f, limit.ResultConnectionFailed)
	}
}

// turnCold makes the server cold with open connections. No owner receives a signal.
func (m *model) turnCold(t *rapid.T) {
	m.cold = coldRequests
	if m.inFlightAtServer() > modelColdInFlight {
		t.Fatalf("the cold server has %d requests in flight", m.inFlightAtServer())
	}
}

func (m *model) noticeReset(t *rapid.T) {
	m.observeReset(rapid.IntRange(0, modelOwners-1).Draw(t, "owner"))
}

func (m *model) noticeResets(*rapid.T) {
	for i := range m.owners {
		m.observeReset(i)
	}
	m.advance(1)
}

func (m *model) observeReset(i int) {
	o := m.owners[i]
	if !o.resetUnseen {
		return
	}
	o.resetUnseen = false
	if !m.faults.missesResets {
		o.Observe(m.now, limit.SignalReset)
	}
}

// changeFirstOwner makes another owner the first one. The previous first owner is
// updated before the next one, so for a time no owner is first.
func (m *model) changeFirstOwner(t *rapid.T) {
	next := rapid.IntRange(0, modelOwners-1).Draw(t, "next first")
	for i, o := range m.owners {
		if o.first && i != next && !m.faults.keepsFirstRank {
			o.first = false
			o.SetShare(m.now, modelShare, false)
		}
	}
	m.first = next
	m.advance(rapid.IntRange(0, 50).Draw(t, "ms without first owner"))
	if o := m.owners[next]; !o.first {
		o.first = true
		o.SetShare(m.now, modelShare, true)
	}
}

// sendReport sends an owner's state to another one. deliverReport delivers reports in
// any order and any number of times.
func (m *model) sendReport(t *rapid.T) {
	from := rapid.IntRange(0, modelOwners-1).Draw(t, "from")
	o := m.owners[from]
	if o.resetUnseen {
		m.observeReset(from)
	}
	state := o.State()
	if state == pb.ReplicaState_REPLICA_STATE_WARM && !o.first {
		return
	}
	m.reports = append(m.reports, report{
		to: rapid.IntRange(0, modelOwners-1).Draw(t, "to"), state: state, expires: m.now.Add(reportMaxAge),
	})
}

func (m *model) deliverReport(t *rapid.T) {
	if len(m.reports) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.reports)-1).Draw(t, "report")
	r := m.reports[i]
	if !rapid.Bool().Draw(t, "redeliver") {
		m.reports = append(m.reports[:i], m.reports[i+1:]...)
	}
	if m.now.After(r.expires) {
		return
	}
	switch r.state {
	case pb.ReplicaState_REPLICA_STATE_WARM:
		if m.faults.staleReportEndsDrain {
			m.owners[r.to].Observe(m.now, limit.SignalServing)
		}
		m.owners[r.to].ObserveWarm(m.now)
	case pb.ReplicaState_REPLICA_STATE_COLD:
		m.owners[r.to].Observe(m.now, limit.SignalColdReport)
	}
}

// deliverReports delivers all reports in transit.
func (m *model) deliverReports(t *rapid.T) {
	for len(m.reports) > 0 {
		m.deliverReport(t)
	}
}

// drain and serve report to one owner that the server drains or serves again.
func (m *model) drain(t *rapid.T) {
	o := m.owners[rapid.IntRange(0, modelOwners-1).Draw(t, "owner")]
	o.draining = true
	if !m.faults.ignoresDraining {
		o.Observe(m.now, limit.SignalDraining)
	}
}

func (m *model) serve(t *rapid.T) {
	o := m.owners[rapid.IntRange(0, modelOwners-1).Draw(t, "owner")]
	o.draining = false
	o.Observe(m.now, limit.SignalServing)
}

func (m *model) wait(t *rapid.T) {
	m.advance(rapid.IntRange(1, 400).Draw(t, "ms"))
}

// advance moves the clock and ends the requests whose time is over.
func (m *model) advance(ms int) {
	until := m.now.Add(time.Duration(ms) * time.Millisecond)
	for {
		anyDue := false
		for _, f := range m.flights {
			anyDue = anyDue || !f.end.After(until)
		}
		if !anyDue {
			break
		}
		m.finishNext(nil)
	}
	m.now = until
}

// saturate sends as many requests as all owners may send.
func (m *model) saturate(t *rapid.T) {
	for i, o := range m.owners {
		for before := -1; before < o.InFlight(); {
			before = o.InFlight()
			m.sendFrom(t, i)
		}
	}
}

// burst sends requests of one owner one after the other, which warms the server up.
func (m *model) burst(t *rapid.T) {
	i := rapid.IntRange(0, modelOwners-1).Draw(t, "owner")
	for range rapid.IntRange(1, 40).Draw(t, "requests") {
		m.sendFrom(t, i)
		m.finishNext(t)
	}
}

// warmUp lets the first owner warm the server up and sends its state to all owners.
func (m *model) warmUp(t *rapid.T) {
	for range 3 * coldRequests {
		m.sendFrom(t, m.first)
		m.finishNext(t)
		m.advance(5)
	}
	for i := range m.owners {
		m.reports = append(m.reports, report{to: i, state: m.owners[m.first].State(), expires: m.now.Add(reportMaxAge)})
	}
}

// checkRecovery checks that the first owner reaches its full share again after the
// faults have ended.
func (m *model) checkRecovery(t *rapid.T) {
	for i, o := range m.owners {
		m.observeReset(i)
		o.draining = false
		o.Observe(m.now, limit.SignalServing)
	}
	m.reports = nil
	first := m.owners[m.first]
	for range 200 {
		m.sendFrom(t, m.first)
		m.sendFrom(t, m.first)
		m.finishNext(t)
		m.advance(10)
	}
	full := modelShare
	if m.faults.exclusive && !m.faults.sharedWhenWarm {
		full = modelColdInFlight
	}
	if first.State() != pb.ReplicaState_REPLICA_STATE_WARM || first.Limit() != full {
		t.Fatalf("the first owner's limit recovered to %d of %d", first.Limit(), full)
	}
}

func runModel(t *rapid.T, f faults) {
	m := newModel(f)
	actions := map[string]func(*rapid.T){
		"send": m.send, "send more": m.send, "burst": m.burst, "saturate": m.saturate,
		"finish": m.finishNext, "give up": m.cancelRequest, "restart": m.restart, "notice": m.noticeReset, "notice all": m.noticeResets,
		"move first rank": m.changeFirstOwner, "share state": m.sendReport, "warm up more": m.warmUp,
		"warm up": m.warmUp, "message arrives": m.deliverReport, "messages arrive": m.deliverReports, "drain": m.drain, "serve": m.serve, "wait": m.wait,
	}
	if f.exclusive {
		actions["turn cold"], actions["time out"] = m.turnCold, m.timeOut
	}
	t.Repeat(actions)
	m.checkRecovery(t)
}

// Guards against an overload of a cold server by several owners while it restarts,
// drains and changes owners, and while owners receive reports late and disagree on
// which is first. A draining server receives nothing, no owner exceeds its share, and
// the limit recovers to the full share.
func TestModelOwnersOfAColdReplica(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runModel(t, faults{}) })
}

// As above, with a server that may turn cold at any step with open connections and
// without a signal. The requests in flight at that moment must not overload it.
func TestModelReplicaThatTurnsColdUnseen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runModel(t, faults{exclusive: true}) })
}

func TestModelCatchesBrokenVariants(t *testing.T) {
	for _, v := range []struct {
		name, wantFailure string
		faults            faults
	}{
		{"accepts stale reports", "cold server has", faults{acceptsStaleReports: true}},
		{"no takeover delay", "cold server has", faults{noTakeoverDelay: true}},
		{"misses resets", "cold server has", faults{missesResets: true}},
		{"grows at any latency", "cold server has", faults{ignoresLatency: true}},
		{"cancels requests at a cold replica", "cold server has", faults{cancelsColdRequests: true}},
		{"previous owner stays first", "cold server has", faults{keepsFirstRank: true}},
		{"ignores draining", "draining replica got", faults{ignoresDraining: true}},
		{"stale report ends a drain", "draining replica got", faults{staleReportEndsDrain: true}},
		{"no signal: all owners use a warm replica", "cold server has", faults{exclusive: true, sharedWhenWarm: true}},
		{"no signal: cancels requests", "cold server has", faults{exclusive: true, cancelsColdRequests: true}},
		{"no signal: no takeover delay", "cold server has", faults{exclusive: true, noTakeoverDelay: true}},
		{"no signal: previous owner stays first", "cold server has", faults{exclusive: true, keepsFirstRank: true}},
	} {
		t.Run(v.name, func(t *testing.T) {
			modeltest.ExpectFailure(t, v.wantFailure, func(t *rapid.T) { runModel(t, v.faults) })
		})
	}
}
