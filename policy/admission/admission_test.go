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

// server simulates backend servers that complete one query per service time and queue
// the others.
type server struct {
	*admission.Controller
	now     time.Time
	service time.Duration
	queue   []queued
	// elapsed is the time already spent on the first query of the queue.
	elapsed time.Duration
	// admitted, offered and latency are indexed by class.
	admitted, offered [2]int
	latency           [2][]time.Duration
}

type queued struct {
	class   uint32
	arrived time.Time
}

const step = time.Millisecond

// run offers queries of both classes at the given rates in queries per second.
func (s *server) run(d time.Duration, high, low float64) {
	s.admitted, s.offered = [2]int{}, [2]int{}
	s.latency = [2][]time.Duration{}
	pending := [2]float64{}
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		for class, rate := range []float64{high, low} {
			for pending[class] += rate * step.Seconds(); pending[class] >= 1; pending[class]-- {
				s.offer(uint32(class))
			}
		}
		s.serve()
	}
}

func (s *server) offer(class uint32) {
	s.offered[class]++
	if s.Admit(s.now, class, time.Second, 0).Admitted() {
		s.admitted[class]++
		s.queue = append(s.queue, queued{class: class, arrived: s.now})
	}
}

func (s *server) serve() {
	for s.elapsed += step; len(s.queue) > 0 && s.elapsed >= s.service; s.elapsed -= s.service {
		q := s.queue[0]
		s.queue = s.queue[1:]
		latency := s.now.Sub(q.arrived) + step
		s.latency[q.class] = append(s.latency[q.class], latency)
		s.Done(s.now, q.class, latency, latency < 250*time.Millisecond)
	}
	if len(s.queue) == 0 {
		s.elapsed = 0
	}
}

func newServer() *server {
	return &server{Controller: admission.New(admission.Params{}), now: start, service: 5 * time.Millisecond}
}

func (s *server) rate(class int, d time.Duration) float64 {
	return float64(s.admitted[class]) / d.Seconds()
}

// Guards against refusing or delaying queries of the higher class while queries of
// the lower class exceed the capacity of the backend servers.
func TestHigherClassDisplacesLowerClassUnderOverload(t *testing.T) {
	c := qt.New(t)
	s := newServer()
	s.run(10*time.Second, 50, 50)
	c.Assert(s.admitted, qt.Equals, s.offered)
	s.run(10*time.Second, 120, 480)
	s.run(10*time.Second, 120, 480)
	c.Check(float64(s.admitted[0])/float64(s.offered[0]) > 0.99, qt.IsTrue, qt.Commentf("admitted %v of %v offered queries", s.admitted, s.offered))
	goodput := s.rate(0, 10*time.Second) + s.rate(1, 10*time.Second)
	c.Check(goodput > 170, qt.IsTrue, qt.Commentf("goodput %v queries per second", goodput))
	slices.Sort(s.latency[0])
	c.Check(s.latency[0][len(s.latency[0])*99/100] < 60*time.Millisecond, qt.IsTrue, qt.Commentf("p99 latency of the higher class: %v", s.latency[0][len(s.latency[0])*99/100]))
}

// Guards against starvation of the lower class while the higher class alone exceeds
// the capacity.
func TestLowerClassKeepsMinimumShareUnderOverload(t *testing.T) {
	c := qt.New(t)
	s := newServer()
	s.run(10*time.Second, 50, 50)
	s.run(30*time.Second, 600, 200)
	share := float64(s.admitted[1]) / float64(s.admitted[0]+s.admitted[1])
	c.Assert(share > 0.03 && share < 0.1, qt.IsTrue, qt.Commentf("share of the lower class: %v", share))
}

// Guards against a rate that stays low after the service becomes permanently slower
// at a load within its capacity. The rise in latency alone looks like overload.
func TestRateRecoversWhenServiceBecomesSlower(t *testing.T) {
	c := qt.New(t)
	s := newServer()
	s.run(10*time.Second, 20, 20)
	s.service = 15 * time.Millisecond
	s.run(30*time.Second, 20, 20)
	s.run(10*time.Second, 20, 20)
	c.Assert(s.admitted, qt.Equals, s.offered)
}

// Guards against admitting up to the concurrency limit while all backend servers
// hang. No query ends, so no latency is observed.
func TestAdmissionStopsWhenNoQueryEnds(t *testing.T) {
	c := qt.New(t)
	s := newServer()
	s.run(10*time.Second, 100, 100)
	s.service = time.Hour
	s.run(5*time.Second, 300, 300)
	c.Assert(s.Running() < 150, qt.IsTrue, qt.Commentf("%d queries running", s.Running()))
	c.Assert(s.Pressure(), qt.Equals, 1.0)
}
