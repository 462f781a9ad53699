package admission_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/admission"
)

var start = time.Unix(1000, 0)

func TestQueryIsRefusedWhenDeadlineIsTooShort(t *testing.T) {
	c := qt.New(t)
	a := admission.New(admission.Params{})
	d := a.Admit(start, 0, 9*time.Millisecond, 10*time.Millisecond)
	c.Assert(d.Reason, qt.Equals, pb.Reason_REASON_DEADLINE_TOO_SHORT)
	c.Assert(d.RetryAfter > 0, qt.IsTrue)
	c.Assert(a.Running(), qt.Equals, 0)
	c.Assert(a.Admit(start, 0, 10*time.Millisecond, 10*time.Millisecond).Admitted(), qt.IsTrue)
}

// server is a model of backend servers that bear one query in each service time
// and queue the others.
type server struct {
	*admission.Controller
	now     time.Time
	service time.Duration
	queue   []queued
	// busy is the time already spent on the first of the queue.
	busy time.Duration
	// admitted, offered and latency are by class.
	admitted, offered [2]int
	latency           [2][]time.Duration
}

type queued struct {
	class   uint32
	arrived time.Time
}

const step = time.Millisecond

// run offers queries of both classes at rates in queries a second.
func (s *server) run(d time.Duration, high, low float64) {
	s.admitted, s.offered = [2]int{}, [2]int{}
	s.latency = [2][]time.Duration{}
	due := [2]float64{}
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		for class, rate := range []float64{high, low} {
			for due[class] += rate * step.Seconds(); due[class] >= 1; due[class]-- {
				s.offer(uint32(class))
			}
		}
		s.work()
	}
}

func (s *server) offer(class uint32) {
	s.offered[class]++
	if s.Admit(s.now, class, time.Second, 0).Admitted() {
		s.admitted[class]++
		s.queue = append(s.queue, queued{class: class, arrived: s.now})
	}
}

func (s *server) work() {
	for s.busy += step; len(s.queue) > 0 && s.busy >= s.service; s.busy -= s.service {
		q := s.queue[0]
		s.queue = s.queue[1:]
		took := s.now.Sub(q.arrived) + step
		s.latency[q.class] = append(s.latency[q.class], took)
		s.Done(s.now, q.class, took, took < 250*time.Millisecond)
	}
	if len(s.queue) == 0 {
		s.busy = 0
	}
}

func newServer() *server {
	return &server{Controller: admission.New(admission.Params{}), now: start, service: 5 * time.Millisecond}
}

func (s *server) rate(class int, d time.Duration) float64 {
	return float64(s.admitted[class]) / d.Seconds()
}

// Entrants ask for three times what the backend servers bear. Marshals' lookups
// go on as before: none is refused, and their latency stays low.
func TestHigherClassDisplacesLowerClassUnderOverload(t *testing.T) {
	c := qt.New(t)
	s := newServer()
	s.run(10*time.Second, 50, 50)
	c.Assert(s.admitted, qt.Equals, s.offered)
	s.run(10*time.Second, 120, 480)
	s.run(10*time.Second, 120, 480)
	c.Check(float64(s.admitted[0])/float64(s.offered[0]) > 0.99, qt.IsTrue, qt.Commentf("%v of %v", s.admitted, s.offered))
	goodput := s.rate(0, 10*time.Second) + s.rate(1, 10*time.Second)
	c.Check(goodput > 170, qt.IsTrue, qt.Commentf("goodput %v", goodput))
	slices.Sort(s.latency[0])
	c.Check(s.latency[0][len(s.latency[0])*99/100] < 60*time.Millisecond, qt.IsTrue, qt.Commentf("%v", s.latency[0][len(s.latency[0])*99/100]))
}

// Lookups alone are more than the backend servers bear. Entrants are refused,
// but not starved: about one query in twenty is theirs.
func TestLowerClassKeepsMinimumShareUnderOverload(t *testing.T) {
	c := qt.New(t)
	s := newServer()
	s.run(10*time.Second, 50, 50)
	s.run(30*time.Second, 600, 200)
	share := float64(s.admitted[1]) / float64(s.admitted[0]+s.admitted[1])
	c.Assert(share > 0.03 && share < 0.1, qt.IsTrue, qt.Commentf("share %v", share))
}

// The service becomes three times slower for good, at a load that it still
// bears. Latency alone looks like overload; the rate must come back.
func TestRateRecoversWhenServiceBecomesSlower(t *testing.T) {
	c := qt.New(t)
	s := newServer()
	s.run(10*time.Second, 20, 20)
	s.service = 15 * time.Millisecond
	s.run(30*time.Second, 20, 20)
	s.run(10*time.Second, 20, 20)
	c.Assert(s.admitted, qt.Equals, s.offered)
}

// All backend servers hang, so that nothing ends and no latency is seen. The
// node must stop admitting long before its bound on running queries.
func TestAdmissionStopsWhenNoQueryEnds(t *testing.T) {
	c := qt.New(t)
	s := newServer()
	s.run(10*time.Second, 100, 100)
	s.service = time.Hour
	s.run(5*time.Second, 300, 300)
	c.Assert(s.Running() < 150, qt.IsTrue, qt.Commentf("running %d", s.Running()))
	c.Assert(s.Pressure(), qt.Equals, 1.0)
}
