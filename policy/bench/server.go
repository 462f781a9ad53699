package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

const (
	// serviceTimeSigma is the sigma of the log-normal service time distribution.
	serviceTimeSigma = 0.25
	// queuePerSlot is the queue capacity per slot. A server with a full queue sheds
	// requests.
	queuePerSlot = 4
	// coldSlowdown multiplies the service time of a cold server.
	coldSlowdown = 6
	// overloadSlowdown multiplies the service time of a cold server once for each
	// request above its concurrency limit.
	overloadSlowdown = 2
)

// job is a subrequest at a server.
type job struct {
	query int
	// snapshot is the requested snapshot; 0 lets the server choose.
	snapshot uint64
	done     func(serverReply)
	ended    bool
}

// serverReply is the reply of a backend server.
type serverReply struct {
	reason      pb.Reason
	incarnation int
	// snapshot is the snapshot that was served, and held the one that the server holds.
	// Either is 0 if the reply does not contain it.
	snapshot, held uint64
}

// server models a backend server with slots and a bounded queue.
type server struct {
	loop            *loop
	rng             *rand.Rand
	meanServiceTime time.Duration
	slots           int
	slowFactor      float64
	slowProbability float64
	down            bool
	running         []*job
	waiting         []*job

	incarnation int
	// held is the only snapshot of the server.
	held uint64
	// ignoresSnapshot makes the server answer from held even if the request names
	// another snapshot.
	ignoresSnapshot bool
	// coldRemaining is the number of requests to serve until the server is warm.
	// coldLimit is its concurrency limit until then. The server does not enforce the
	// limit, but slows down above it.
	coldRemaining int
	coldLimit     int

	log serverLog
}

// serverLog contains the measurements of a server.
type serverLog struct {
	// acceptedQueries contains the queries of which the server accepted a request.
	acceptedQueries map[int]bool
	accepted        int
	// perSecond counts accepted requests by the virtual second of arrival.
	perSecond []int
	shed      int
	// excess counts requests above the concurrency limit of the cold server,
	// including those in flight when it became cold. lastExcess is the time of the
	// last one. coldPeak is the maximum number in flight while it was cold.
	excess     int
	lastExcess time.Duration
	coldPeak   int
	warmAt     time.Duration
}

func (l *serverLog) accept(at time.Duration) {
	second := int(at / time.Second)
	for len(l.perSecond) <= second {
		l.perSecond = append(l.perSecond, 0)
	}
	l.perSecond[second]++
	l.accepted++
}

func (s *server) inFlight() int {
	return len(s.running) + len(s.waiting)
}

func (s *server) arrive(j *job) {
	switch {
	case s.down:
		j.end(serverReply{reason: pb.Reason_REASON_CONNECTION})
		return
	case s.inFlight() >= s.slots*(1+queuePerSlot):
		s.log.shed++
		j.end(serverReply{reason: pb.Reason_REASON_SHED, incarnation: s.incarnation})
		return
	}
	s.log.accept(s.loop.elapsed)
	s.log.acceptedQueries[j.query] = true
	if s.coldRemaining > 0 {
		if s.inFlight() >= s.coldLimit {
			s.log.excess++
			s.log.lastExcess = s.loop.elapsed
		}
		s.log.coldPeak = max(s.log.coldPeak, s.inFlight()+1)
	}
	s.waiting = append(s.waiting, j)
	s.start()
}

func (s *server) start() {
	for len(s.waiting) > 0 && len(s.running) < s.slots {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		if j.snapshot != 0 && j.snapshot != s.held && !s.ignoresSnapshot {
			j.end(serverReply{reason: pb.Reason_REASON_NO_SNAPSHOT, incarnation: s.incarnation, held: s.held})
			continue
		}
		j.snapshot = s.held
		s.running = append(s.running, j)
		s.loop.after(s.serviceTime(), func() { s.finish(j) })
	}
}

func (s *server) serviceTime() time.Duration {
	factor := s.slowFactor * math.Exp(serviceTimeSigma*s.rng.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2)
	if s.rng.Float64() < s.slowProbability {
		factor *= 10
	}
	if s.coldRemaining > 0 {
		factor *= coldSlowdown
		for range s.inFlight() - s.coldLimit {
			factor *= overloadSlowdown
		}
	}
	return time.Duration(factor * float64(s.meanServiceTime))
}

func (s *server) finish(j *job) {
	if j.ended {
		return
	}
	if s.coldRemaining > 0 {
		s.coldRemaining--
		if s.coldRemaining == 0 {
			s.log.warmAt = s.loop.elapsed
		}
	}
	s.remove(j)
	j.end(serverReply{incarnation: s.incarnation, snapshot: j.snapshot, held: s.held})
	s.start()
}

// cancel removes a request and frees its slot.
func (s *server) cancel(j *job) {
	if j.ended {
		return
	}
	s.remove(j)
	j.ended = true
	s.start()
}

func (s *server) remove(j *job) {
	if i := slices.Index(s.running, j); i >= 0 {
		s.running = slices.Delete(s.running, i, i+1)
	}
	if i := slices.Index(s.waiting, j); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
}

// becomeCold makes the server cold without closing its connections. Requests in
// flight above its concurrency limit count as excess.
func (s *server) becomeCold(requests int) {
	s.coldRemaining = requests
	s.log.coldPeak = max(s.log.coldPeak, s.inFlight())
	if excess := s.inFlight() - s.coldLimit; excess > 0 {
		s.log.excess += excess
		s.log.lastExcess = s.loop.elapsed
	}
}

// restart fails all requests with a connection error and makes the server cold.
func (s *server) restart(requests int) {
	lost := append(s.running, s.waiting...)
	s.running, s.waiting = nil, nil
	s.incarnation++
	s.coldRemaining = requests
	for _, j := range lost {
		j.end(serverReply{reason: pb.Reason_REASON_CONNECTION})
	}
}

func (j *job) end(r serverReply) {
	if j.ended {
		return
	}
	j.ended = true
	j.done(r)
}
