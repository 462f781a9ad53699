package forward

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/upstream"
)

// step is one attempt of a request, for its log line.
type step struct {
	shard   int
	replica *registry.Replica
	at      time.Duration
	hedge   bool
	// extra is set for all attempts of a shard but its first.
	extra bool
	// state and handle are the replica's entry in its service's tables.
	state  *upstream.State
	handle uint64
	// call ends the attempt; set once it is sent.
	call cancellable
	// via is the node that sends it, when it is another one.
	via   string
	ended bool
	// refused is set when the replica stated that it did not run the request.
	refused bool
	endedAt time.Duration
	status  int
	why     string
}

func (s *step) end(at time.Duration, reply *backend.ForwardReply) {
	s.ended = true
	s.endedAt = at
	s.status = reply.Status
	s.refused = reply.Metadata.NotRun && !reply.Metadata.OtherReplica
	switch {
	case reply.Metadata.OtherReplica:
		s.why = "other replica"
	case reply.Metadata.NotRun:
		s.why = "refused"
	case reply.Status == 0:
		s.why = reply.Reason.String() + "/" + reply.Evidence.String()
	case !good(reply):
		s.why = "not a success"
	}
}

// denial is an attempt that could not be sent, for the request's log line.
type denial struct {
	shard int
	at    time.Duration
	why   string
	hedge bool
}

// Reasons of denials.
const (
	// deniedNoReplica: every usable replica was tried, is out of reach, has all its
	// connections in use, or bears no more.
	deniedNoReplica = "no replica"
	// deniedNoBudget: the service's budget for extra requests is spent.
	deniedNoBudget = "no budget"
)

// denialLine is a denial in a log line.
type denialLine struct {
	Service string  `json:"service"`
	At      float64 `json:"at_ms"`
	Why     string  `json:"why"`
	Hedge   bool    `json:"hedge,omitempty"`
}

func (q *run) denialLines() []denialLine {
	lines := make([]denialLine, 0, len(q.denials))
	for _, d := range q.denials {
		lines = append(lines, denialLine{Service: q.names[d.shard], At: ms(d.at), Why: d.why, Hedge: d.hedge})
	}
	return lines
}

// attemptLine is a step in a log line. Times are milliseconds after the arrival.
type attemptLine struct {
	Service string  `json:"service"`
	Replica string  `json:"replica"`
	Via     string  `json:"via,omitempty"`
	At      float64 `json:"at_ms"`
	End     float64 `json:"end_ms,omitempty"`
	Hedge   bool    `json:"hedge,omitempty"`
	Status  int     `json:"status,omitempty"`
	Why     string  `json:"why,omitempty"`
}

// log writes one line about the request: each of those that failed or were late, as
// far as their budget goes, and a few of the others. Attempts without a fault are left
// out of the line of a request that has one.
func (q *run) log(a *Answer) {
	took := q.since()
	late := q.route.Objective > 0 && took > q.route.Objective
	fault := a.Outcome >= NoRoute || a.Missing > 0 || late
	if !q.f.lines.Take(time.Now(), fault) {
		return
	}
	attempts := make([]attemptLine, 0, len(q.story))
	for _, s := range q.story {
		if fault && s.ended && s.why == "" && !s.hedge && s.endedAt < q.route.Objective/2 {
			continue
		}
		attempts = append(attempts, attemptLine{
			Service: q.names[s.shard], Replica: s.replica.ID, Via: s.via, At: ms(s.at), End: ms(s.endedAt),
			Hedge: s.hedge, Status: s.status, Why: s.why,
		})
	}
	q.f.opts.Log.WithFields(logrus.Fields{
		"request":  q.req.ID,
		"route":    q.route.Name,
		"version":  q.view.Index.Version,
		"revision": q.view.Revision,
		"view_ms":  time.Since(q.view.At).Milliseconds(),
		"outcome":  a.Outcome.String(),
		"status":   a.Status,
		"took_ms":  ms(took),
		"limit_ms": ms(q.deadline.Sub(q.req.Arrived)),
		"missing":  a.Missing,
		"gone":     q.gone,
		"shards":   len(q.names),
		"hedges":   q.hedged,
		"attempts": attempts,
		"denied":   q.denialLines(),
		"most":     q.route.MaxAttempts,
		"repeat":   q.route.Idempotent,
		"out":      strings.Join(slices.Sorted(maps.Keys(q.outOfReach)), ","),
	}).Info("request")
}

func ms(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
