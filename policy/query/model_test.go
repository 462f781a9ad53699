package query_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/config"
	"github.com/carobmill/carobmill/policy/modeltest"
	"github.com/carobmill/carobmill/policy/query"
)

func TestMain(m *testing.M) { modeltest.Main(m, modeltest.Size{}) }

// modelServer is one replica's index: it serves any snapshot in its range.
type modelServer struct {
	oldest, newest uint64
}

// model drives one query with replies that come late, crossed, twice, from other
// snapshots and partitionings, against a simple oracle: the rows of a shard in a
// snapshot are body(shard, snapshot).
type model struct {
	t       *rapid.T
	svc     *config.Service
	env     *testEnv
	query   *query.Query
	now     time.Time
	servers map[string]*modelServer
	sent    []query.Send
	asked   map[uint64]bool
	ran     bool
	// failing runs have no replica that answers.
	failing bool
	replies []*pb.SubrequestResult
	// tamper stands for a fault in the query's own checks: it changes a reply
	// so that the check that should drop it lets it pass.
	tamper func(s query.Send, r *pb.SubrequestResult)
	// spoil stands for a fault in how the answer is put together.
	spoil func(*query.Answer)
}

func newModel(t *rapid.T, svc *config.Service, tamper func(query.Send, *pb.SubrequestResult)) *model {
	m := &model{
		t:       t,
		svc:     svc,
		now:     epoch,
		servers: make(map[string]*modelServer),
		asked:   make(map[uint64]bool),
		tamper:  tamper,
		failing: rapid.IntRange(0, 3).Draw(t, "failing") == 0,
		env: &testEnv{
			hedges:     rapid.IntRange(0, 3).Draw(t, "hedges"),
			retries:    rapid.IntRange(0, 8).Draw(t, "retries"),
			hedgeAfter: 20 * time.Millisecond,
			warmUps:    rapid.IntRange(0, 3).Draw(t, "warm-ups"),
		},
	}
	for _, shard := range svc.Latest().Shards {
		for _, r := range shard.Replicas {
			newest := rapid.Uint64Range(98, 101).Draw(t, "newest")
			m.servers[r.Name] = &modelServer{oldest: newest - 1, newest: newest}
		}
	}
	m.env.snapshot = rapid.SampledFrom([]uint64{0, 98, 99, 100, 101}).Draw(t, "known snapshot")
	m.query = query.New(m.env, query.Params{Service: svc, Deadline: epoch.Add(allowed), Trace: true})
	m.carry(m.query.Start(m.now))
	return m
}

func (m *model) carry(step query.Step) {
	for _, s := range step.Send {
		if m.asked[s.Attempt] {
			m.t.Fatalf("attempt %d sent twice", s.Attempt)
		}
		m.asked[s.Attempt] = true
		m.sent = append(m.sent, s)
	}
}

// serve lets a replica work on a subrequest; the reply waits to be delivered.
func (m *model) serve(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("nothing sent")
	}
	i := rapid.IntRange(0, len(m.sent)-1).Draw(t, "send")
	s := m.sent[i]
	m.sent = append(m.sent[:i], m.sent[i+1:]...)
	m.replies = append(m.replies, m.replyOf(t, s))
}

func (m *model) replyOf(t *rapid.T, s query.Send) *pb.SubrequestResult {
	server := m.servers[s.Replica.Name]
	snapshot := s.Snapshot
	if snapshot == 0 {
		snapshot = server.newest
	}
	gen := m.svc.GenerationOf(snapshot)
	var r *pb.SubrequestResult
	fates := 9
	if m.failing {
		fates = 1
	}
	switch rapid.IntRange(0, fates).Draw(t, "fate") {
	case 0:
		r = failed(s, pb.Reason_REASON_LIMIT, pb.Evidence_EVIDENCE_NOT_RUN)
	case 1:
		m.ran = true
		r = failed(s, pb.Reason_REASON_CONNECTION, pb.Evidence_EVIDENCE_UNKNOWN)
	case 2:
		// A faulty replica serves its newest snapshot whatever it was asked for.
		m.ran = true
		r = served(s, server.newest, m.svc.GenerationOf(server.newest).ID)
	case 3:
		// A reply is swapped with that of another shard.
		m.ran = true
		other := gen.Shards[(s.Shard.Position+1)%len(gen.Shards)]
		r = served(s, snapshot, gen.ID)
		r.Shard = other.Name
		r.Result = body(other.Name, snapshot)
	default:
		if snapshot < server.oldest || snapshot > server.newest {
			r = failed(s, pb.Reason_REASON_NO_SNAPSHOT, pb.Evidence_EVIDENCE_NOT_RUN)
			break
		}
		m.ran = true
		r = served(s, snapshot, gen.ID)
	}
	if m.tamper != nil {
		m.tamper(s, r)
	}
	return r
}

// deliver hands over a reply; it may stay behind and come again.
func (m *model) deliver(t *rapid.T) {
	if len(m.replies) == 0 {
		t.Skip("no reply")
	}
	i := rapid.IntRange(0, len(m.replies)-1).Draw(t, "reply")
	r := m.replies[i]
	if rapid.IntRange(0, 3).Draw(t, "twice") > 0 {
		m.replies = append(m.replies[:i], m.replies[i+1:]...)
	}
	m.carry(m.query.Reply(m.now, r))
}

// flip moves a replica to its next snapshot, which may be of the next
// generation.
func (m *model) flip(t *rapid.T) {
	names := []string{"r0a", "r0b", "r1a", "r1b", "r2a", "r2b", "r3a", "r3b"}
	server := m.servers[rapid.SampledFrom(names).Draw(t, "server")]
	server.oldest++
	server.newest++
	m.env.snapshot = max(m.env.snapshot, server.newest-1)
}

func (m *model) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond)
	m.carry(m.query.Tick(m.now))
}

// drain serves and delivers everything, and lets time pass when nothing is left.
func (m *model) drain(t *rapid.T) {
	for !m.query.Done() {
		switch {
		case len(m.sent) > 0:
			m.serve(t)
		case len(m.replies) > 0:
			m.deliver(t)
		default:
			m.now = m.query.NextTick()
			m.carry(m.query.Tick(m.now))
		}
	}
}

// finish ends the query one way or the other.
func (m *model) finish(t *rapid.T) {
	if rapid.Bool().Draw(t, "all replies come") {
		m.drain(t)
	}
	if m.query.Done() {
		return
	}
	if rapid.Bool().Draw(t, "caller leaves") {
		m.query.Cancel(m.now)
		return
	}
	m.query.Tick(epoch.Add(allowed))
}

// check holds the answer against the oracle.
func (m *model) check() {
	if !m.query.Done() {
		m.t.Fatalf("query did not end at its deadline")
	}
	answer := m.query.Answer()
	if m.spoil != nil {
		m.spoil(answer)
	}
	m.checkOneSnapshot(answer)
	m.checkTrueCoverage(answer)
	if answer.Outcome == query.Refused && m.ran {
		m.t.Fatalf("true not-run: refused although a replica ran a subrequest")
	}
}

func (m *model) checkOneSnapshot(answer *query.Answer) {
	for _, r := range answer.Results {
		if string(r.Body) != string(body(r.Shard, answer.Snapshot)) {
			m.t.Fatalf("one snapshot, own answer: shard %s of snapshot %d holds %s", r.Shard, answer.Snapshot, r.Body)
		}
	}
}

func (m *model) checkTrueCoverage(answer *query.Answer) {
	gen := m.svc.Latest()
	if answer.Snapshot != 0 {
		gen = m.svc.GenerationOf(answer.Snapshot)
	}
	seen := make(map[string]bool)
	for _, r := range answer.Results {
		seen[r.Shard] = true
	}
	for _, a := range answer.Absent {
		if seen[a.Shard] || a.Reason == pb.Reason_REASON_UNSPECIFIED {
			m.t.Fatalf("true coverage: shard %s is absent for %s", a.Shard, a.Reason)
		}
		seen[a.Shard] = true
	}
	for _, shard := range gen.Shards {
		if !seen[shard.Name] {
			m.t.Fatalf("true coverage: shard %s is neither answered nor absent", shard.Name)
		}
	}
	want := float64(len(answer.Results)) / float64(len(gen.Shards))
	complete := len(answer.Results) == len(gen.Shards)
	if answer.Coverage != want || (answer.Outcome == query.Complete) != complete {
		m.t.Fatalf("true coverage: %s with %v, want %v", answer.Outcome, answer.Coverage, want)
	}
}

func runModel(t *rapid.T, svc *config.Service, tamper func(query.Send, *pb.SubrequestResult), spoil func(*query.Answer)) {
	m := newModel(t, svc, tamper)
	m.spoil = spoil
	t.Repeat(map[string]func(*rapid.T){
		"serve":   m.serve,
		"deliver": m.deliver,
		"flip":    m.flip,
		"wait":    m.wait,
	})
	m.finish(t)
	m.check()
}

// The caller gets rows of one snapshot, of its own shards, with the coverage that
// the answer states, whatever order and kind of replies come back.
func TestModelAnswersAreTrue(t *testing.T) {
	svc := testService(t)
	rapid.Check(t, func(t *rapid.T) { runModel(t, svc, nil, nil) })
}

// Each variant stands for one check left out of the query; the model has to
// notice it under the fixed seed.
func TestModelCatchesBrokenVariants(t *testing.T) {
	svc := testService(t)
	variants := []struct {
		name   string
		caught string
		tamper func(query.Send, *pb.SubrequestResult)
		spoil  func(*query.Answer)
	}{
		{"merges any snapshot", "one snapshot", func(s query.Send, r *pb.SubrequestResult) {
			if s.Snapshot != 0 {
				r.Snapshot = s.Snapshot
				r.Generation = s.Generation
			}
		}, nil},
		{"merges crossed replies", "one snapshot", func(s query.Send, r *pb.SubrequestResult) {
			r.Shard = s.Shard.Name
		}, nil},
		{"takes doubt for not run", "true not-run", func(_ query.Send, r *pb.SubrequestResult) {
			r.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
		}, nil},
		{"counts shards that are absent", "true coverage", nil, func(a *query.Answer) {
			a.Coverage, a.Outcome = 1, query.Complete
		}},
		{"forgets shards that are absent", "true coverage", nil, func(a *query.Answer) { a.Absent = nil }},
	}
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			modeltest.ExpectFailure(t, v.caught, func(t *rapid.T) { runModel(t, svc, v.tamper, v.spoil) })
		})
	}
}
