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

// modelServer is the index of one replica, which serves any snapshot in its range.
type modelServer struct {
	oldest, newest uint64
}

// model drives one query with replies that are late, mismatched, duplicated, or from other
// snapshots and generations. The oracle is simple: the rows of a shard in a snapshot are
// body(shard, snapshot).
type model struct {
	t            *rapid.T
	svc          *config.Service
	env          *testEnv
	query        *query.Query
	now          time.Time
	servers      map[string]*modelServer
	sent         []query.Send
	seenAttempts map[uint64]bool
	ran          bool
	// failing runs have no replica that answers.
	failing bool
	replies []*pb.SubrequestResult
	// corruptReply simulates a missing check in the query: it changes a reply so that the
	// check accepts it.
	corruptReply func(s query.Send, r *pb.SubrequestResult)
	// corruptAnswer simulates a fault in the assembly of the answer.
	corruptAnswer func(*query.Answer)
}

func newModel(t *rapid.T, svc *config.Service, corruptReply func(query.Send, *pb.SubrequestResult)) *model {
	m := &model{
		t:            t,
		svc:          svc,
		now:          epoch,
		servers:      make(map[string]*modelServer),
		seenAttempts: make(map[uint64]bool),
		corruptReply: corruptReply,
		failing:      rapid.IntRange(0, 3).Draw(t, "failing") == 0,
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
	m.query = query.New(m.env, query.Params{Service: svc, Deadline: epoch.Add(queryTimeout), Trace: true})
	m.apply(m.query.Start(m.now))
	return m
}

func (m *model) apply(step query.Step) {
	for _, s := range step.Send {
		if m.seenAttempts[s.Attempt] {
			m.t.Fatalf("attempt %d sent twice", s.Attempt)
		}
		m.seenAttempts[s.Attempt] = true
		m.sent = append(m.sent, s)
	}
}

// serve runs one subrequest at its replica and queues the reply.
func (m *model) serve(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("no subrequest is queued")
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
	lastKind := 9
	if m.failing {
		lastKind = 1
	}
	switch rapid.IntRange(0, lastKind).Draw(t, "reply kind") {
	case 0:
		r = failed(s, pb.Reason_REASON_LIMIT, pb.Evidence_EVIDENCE_NOT_RUN)
	case 1:
		m.ran = true
		r = failed(s, pb.Reason_REASON_CONNECTION, pb.Evidence_EVIDENCE_UNKNOWN)
	case 2:
		// A faulty replica serves its newest snapshot instead of the requested one.
		m.ran = true
		r = served(s, server.newest, m.svc.GenerationOf(server.newest).ID)
	case 3:
		// The reply is swapped with that of another shard.
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
	if m.corruptReply != nil {
		m.corruptReply(s, r)
	}
	return r
}

// deliver passes one queued reply to the query, and may leave it queued as a duplicate.
func (m *model) deliver(t *rapid.T) {
	if len(m.replies) == 0 {
		t.Skip("no reply is queued")
	}
	i := rapid.IntRange(0, len(m.replies)-1).Draw(t, "reply")
	r := m.replies[i]
	if rapid.IntRange(0, 3).Draw(t, "duplicate") > 0 {
		m.replies = append(m.replies[:i], m.replies[i+1:]...)
	}
	m.apply(m.query.Reply(m.now, r))
}

// loadNext moves a replica to its next snapshot, which may belong to the next generation.
func (m *model) loadNext(t *rapid.T) {
	names := []string{"r0a", "r0b", "r1a", "r1b", "r2a", "r2b", "r3a", "r3b"}
	server := m.servers[rapid.SampledFrom(names).Draw(t, "server")]
	server.oldest++
	server.newest++
	m.env.snapshot = max(m.env.snapshot, server.newest-1)
}

func (m *model) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond)
	m.apply(m.query.Tick(m.now))
}

// drain serves and delivers everything, and advances the time when nothing is queued.
func (m *model) drain(t *rapid.T) {
	for !m.query.Done() {
		switch {
		case len(m.sent) > 0:
			m.serve(t)
		case len(m.replies) > 0:
			m.deliver(t)
		default:
			m.now = m.query.NextTick()
			m.apply(m.query.Tick(m.now))
		}
	}
}

// finish ends the query by replies, by cancellation or at its deadline.
func (m *model) finish(t *rapid.T) {
	if rapid.Bool().Draw(t, "all replies arrive") {
		m.drain(t)
	}
	if m.query.Done() {
		return
	}
	if rapid.Bool().Draw(t, "caller disconnects") {
		m.query.Cancel(m.now)
		return
	}
	m.query.Tick(epoch.Add(queryTimeout))
}

// check compares the answer with the oracle.
func (m *model) check() {
	if !m.query.Done() {
		m.t.Fatalf("query is not done after its deadline")
	}
	answer := m.query.Answer()
	if m.corruptAnswer != nil {
		m.corruptAnswer(answer)
	}
	m.checkRows(answer)
	m.checkCoverage(answer)
	if answer.Outcome == query.Refused && m.ran {
		m.t.Fatalf("wrong outcome: refused although a replica ran a subrequest")
	}
}

func (m *model) checkRows(answer *query.Answer) {
	for _, r := range answer.Results {
		if string(r.Body) != string(body(r.Shard, answer.Snapshot)) {
			m.t.Fatalf("wrong rows: shard %s of snapshot %d holds %s", r.Shard, answer.Snapshot, r.Body)
		}
	}
}

func (m *model) checkCoverage(answer *query.Answer) {
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
			m.t.Fatalf("wrong coverage: shard %s is listed as absent with reason %s", a.Shard, a.Reason)
		}
		seen[a.Shard] = true
	}
	for _, shard := range gen.Shards {
		if !seen[shard.Name] {
			m.t.Fatalf("wrong coverage: shard %s is neither answered nor listed as absent", shard.Name)
		}
	}
	want := float64(len(answer.Results)) / float64(len(gen.Shards))
	complete := len(answer.Results) == len(gen.Shards)
	if answer.Coverage != want || (answer.Outcome == query.Complete) != complete {
		m.t.Fatalf("wrong coverage: outcome %s with coverage %v, want coverage %v", answer.Outcome, answer.Coverage, want)
	}
}

func runModel(t *rapid.T, svc *config.Service, corruptReply func(query.Send, *pb.SubrequestResult), corruptAnswer func(*query.Answer)) {
	m := newModel(t, svc, corruptReply)
	m.corruptAnswer = corruptAnswer
	t.Repeat(map[string]func(*rapid.T){
		"serve":              m.serve,
		"deliver":            m.deliver,
		"load next snapshot": m.loadNext,
		"wait":               m.wait,
	})
	m.finish(t)
	m.check()
}

// Whatever the order and kind of replies, the rows must come from one snapshot and the right
// shards, and the stated coverage must match them.
func TestModelAnswersAreTrue(t *testing.T) {
	svc := testService(t)
	rapid.Check(t, func(t *rapid.T) { runModel(t, svc, nil, nil) })
}

// Each variant disables one check of the query. The model must detect it with the fixed seed.
func TestModelCatchesBrokenVariants(t *testing.T) {
	svc := testService(t)
	variants := []struct {
		name          string
		message       string
		corruptReply  func(query.Send, *pb.SubrequestResult)
		corruptAnswer func(*query.Answer)
	}{
		{"merges any snapshot", "wrong rows", func(s query.Send, r *pb.SubrequestResult) {
			if s.Snapshot != 0 {
				r.Snapshot = s.Snapshot
				r.Generation = s.Generation
			}
		}, nil},
		{"merges mismatched replies", "wrong rows", func(s query.Send, r *pb.SubrequestResult) {
			r.Shard = s.Shard.Name
		}, nil},
		{"reports uncertain attempts as not run", "wrong outcome", func(_ query.Send, r *pb.SubrequestResult) {
			r.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
		}, nil},
		{"counts absent shards as answered", "wrong coverage", nil, func(a *query.Answer) {
			a.Coverage, a.Outcome = 1, query.Complete
		}},
		{"omits absent shards", "wrong coverage", nil, func(a *query.Answer) { a.Absent = nil }},
	}
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			modeltest.ExpectFailure(t, v.message, func(t *rapid.T) { runModel(t, svc, v.corruptReply, v.corruptAnswer) })
		})
	}
}
