package forward_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/route"
)

// refusalCopies makes a replica refuse a share of its requests and send a second copy of a share
// of the refusals. A copy precedes one of the next replies, on whatever connection that is.
type refusalCopies struct {
	rng                    *rand.Rand
	refusedShare, copyRate float64
	// maxDelay is the greatest number of replies between a refusal and its copy.
	maxDelay int
	pending  []refusalCopy
}

// refusalCopy is a copy that follows a number of further replies.
type refusalCopy struct {
	replies int
	data    []byte
}

// refuses reports whether the next request is refused. The caller holds replica.mu.
func (s *refusalCopies) refuses() bool { return s != nil && s.rng.Float64() < s.refusedShare }

// recordRun counts a request that is not refused.
func (r *replica) recordRun(id string, refused bool) {
	if refused {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

// withCopies returns a reply after the copies that are due, and plans a copy of a refusal.
func (r *replica) withCopies(reply []byte, refused bool) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.copies
	if s == nil {
		return reply
	}
	var out []byte
	s.pending = slices.DeleteFunc(s.pending, func(c refusalCopy) bool {
		return c.replies == 0
	})
	for i := range s.pending {
		if s.pending[i].replies--; s.pending[i].replies == 0 {
			out = append(out, s.pending[i].data...)
		}
	}
	if refused && s.rng.Float64() < s.copyRate {
		s.pending = append(s.pending, refusalCopy{replies: 1 + s.rng.IntN(s.maxDelay), data: reply})
	}
	return append(out, reply...)
}

// runCount returns how often a request has run at all replicas.
func (h *harness) runCount(id string) int {
	n := 0
	for _, rep := range h.replicas {
		rep.set(func(rep *replica) { n += rep.runs[id] })
	}
	return n
}

// enrol serves a request with a body and returns its ID and answer.
func enrol(f *forward.Forwarder) (string, forward.Answer) {
	id := newRequestID()
	return id, f.Serve(context.Background(), &forward.Request{
		ID: id, Method: http.MethodPost, Target: "/x", Path: "/x", Host: "h.example",
		Header: http.Header{headerID: {id}}, Arrived: time.Now(), CallerTimeout: time.Second,
	})
}

// withEnrolment runs a test with one service, whose route is not idempotent.
func withEnrolment(t *testing.T, attempts int, centres []string, test func(h *harness)) {
	withHarness(t, map[string][]string{"desk": centres}, func(h *harness) {
		h.route.Shards, h.route.Split = nil, []route.Weighted{{Service: "desk", Weight: 1}}
		h.route.Idempotent, h.route.MaxAttempts = false, attempts
		test(h)
	})
}

// Guards against a request that may run once and is sent again to a replica that refused it: a
// second copy of the refusal, after any number of replies, would count as the reply to the new
// attempt.
func TestUnsafeRequestDoesNotReturnToReplicaThatRefusedIt(t *testing.T) {
	for attempts := 1; attempts <= 3; attempts++ {
		withEnrolment(t, attempts, []string{"a", "b"}, func(h *harness) {
			for _, rep := range h.replicas {
				rep.set(func(rep *replica) { rep.refusals = 1 })
			}
			_, a := enrol(h.node("a", nil))
			h.Check(a.Outcome, qt.Equals, forward.NotRun)
			h.Check(a.RetryAfter > 0, qt.IsTrue)
			requests := 0
			for _, rep := range h.replicas {
				requests += rep.requestCount()
				h.Check(rep.requestCount() <= 1, qt.IsTrue)
			}
			h.Check(requests, qt.Equals, min(attempts, len(h.replicas)))
		})
	}
}

// Guards against a return to the process that refused a request, under the ID of the replica that
// took over its address.
func TestUnsafeRequestDoesNotReturnToAddressThatRefusedIt(t *testing.T) {
	withEnrolment(t, 3, []string{"a"}, func(h *harness) {
		rep := h.replicas["desk-a"]
		rep.set(func(rep *replica) { rep.refusals = 1 })
		successor := rep.Replica
		successor.ID = "desk-a2"
		h.view.Replicas["desk"] = []*registry.Replica{&rep.Replica, &successor}
		_, a := enrol(h.node("a", nil))
		h.Check(a.Outcome, qt.Equals, forward.NotRun)
		h.Check(rep.requestCount(), qt.Equals, 1)
	})
}

// Guards against a request that may run once and runs twice, or one of any kind that is refused as
// not run although it runs, while replicas send second copies of refusals after any number of replies
// and on any connection.
func TestCopiesOfRefusalsNeverHideARun(t *testing.T) {
	for _, kind := range []struct {
		name                string
		idempotent, gathers bool
	}{{"unsafe", false, false}, {"safe", true, false}, {"gathered", true, true}} {
		t.Run(kind.name, func(t *testing.T) { testCopiesOfRefusals(t, kind.idempotent, kind.gathers) })
	}
}

func testCopiesOfRefusals(t *testing.T, idempotent, gathers bool) {
	for seed := range uint64(40) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(56, seed))
			attempts := 1 + rng.IntN(3)
			withEnrolment(t, attempts, []string{"a", "b", "c"}[:1+rng.IntN(3)], func(h *harness) {
				h.route.Idempotent = idempotent
				if gathers {
					h.route.Shards, h.route.Split = []string{"desk"}, nil
				}
				for _, rep := range h.replicas {
					rep.copies = &refusalCopies{
						rng: rand.New(rand.NewPCG(rng.Uint64(), 0)), refusedShare: 0.4, copyRate: 0.5, maxDelay: 1 + rng.IntN(6),
					}
				}
				h.view.Index = route.NewIndex(&route.Configuration{
					Version: 1, Routes: []route.Route{h.route}, Services: []route.Service{{Name: "desk", MaxConnections: 2 + rng.IntN(6)}},
				})
				h.checkRuns(h.node("a", nil), 1+rng.IntN(8), 40)
			})
		})
	}
}

// checkRuns sends requests of some concurrent callers, and checks that each has run as its answer
// promises.
func (h *harness) checkRuns(f *forward.Forwarder, callers, requests int) {
	var mu sync.Mutex
	answers := make(map[string]forward.Outcome)
	var sending sync.WaitGroup
	for range callers {
		sending.Go(func() {
			for range requests {
				id, a := enrol(f)
				mu.Lock()
				answers[id] = a.Outcome
				mu.Unlock()
			}
		})
	}
	sending.Wait()
	time.Sleep(time.Second)
	for id, outcome := range answers {
		runs := h.runCount(id)
		h.Check(runs <= 1 || h.route.Idempotent, qt.IsTrue, qt.Commentf("%s ran %d times, outcome %s", id, runs, outcome))
		h.Check(runs == 0 || outcome != forward.NotRun, qt.IsTrue, qt.Commentf("%s ran and was refused as not run", id))
		h.Check(runs > 0 || outcome != forward.Passed && outcome != forward.Merged, qt.IsTrue, qt.Commentf("%s was answered and has not run", id))
	}
}
