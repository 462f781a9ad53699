package query

import (
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Outcome is the overall result of a request.
type Outcome string

// The outcomes of a request.
const (
	// Complete means that the answer holds every shard of the pinned generation.
	Complete Outcome = "complete"
	// Partial means that some shards are missing; Answer.Absent lists them.
	Partial Outcome = "partial"
	// Refused means that no backend server ran the request.
	Refused Outcome = "refused"
	// Unknown means that a non-idempotent request may or may not have run.
	Unknown Outcome = "unknown"
)

// Absent is a shard that is missing from an answer, with the reason.
type Absent struct {
	Shard  string
	Reason pb.Reason
}

// ShardResult is the body that one replica returned for one shard.
type ShardResult struct {
	Shard   string
	Replica string
	Body    []byte
	// Attempts is the number of subrequests sent for the shard, including hedges, retries
	// and warm-ups.
	Attempts int
	// Queued is the time in the owner's queue, and Took the time since the query started.
	Queued time.Duration
	Took   time.Duration
}

// Answer is the result of a query.
type Answer struct {
	Outcome Outcome
	// Coverage is the answered share of the shards of the pinned generation, 0 to 1.
	Coverage   float64
	Snapshot   uint64
	Generation uint64
	Results    []ShardResult
	Absent     []Absent
	Stats      Stats
	Trace      []TraceEvent
}

// Stats counts the work of a query.
type Stats struct {
	// Attempts is the number of subrequests sent, including Hedges, Retries and WarmUps.
	Attempts int
	Hedges   int
	Retries  int
	WarmUps  int
	// Dropped counts replies that were late, mismatched or from another snapshot.
	Dropped  int
	Restarts int
}

// TraceKind is the kind of a trace event.
type TraceKind string

// The kinds of trace events.
const (
	TraceSend    TraceKind = "send"
	TraceHedge   TraceKind = "hedge"
	TraceRetry   TraceKind = "retry"
	TraceWarmUp  TraceKind = "warm_up"
	TraceResult  TraceKind = "result"
	TraceFailure TraceKind = "failure"
	TraceDropped TraceKind = "dropped"
	TraceAbsent  TraceKind = "absent"
	TracePinned  TraceKind = "pinned"
	TraceRestart TraceKind = "restart"
	TraceEnd     TraceKind = "end"
)

// TraceEvent is one step of a traced query.
type TraceEvent struct {
	// At is the time since the query started.
	At       time.Duration
	Kind     TraceKind
	Attempt  uint64
	Shard    string
	Replica  string
	Snapshot uint64
	Reason   pb.Reason
}

// Answer returns the result. It is valid once Done reports true.
func (q *Query) Answer() *Answer {
	answer := &Answer{
		Snapshot:   q.snapshot,
		Generation: q.generation.ID,
		Stats:      q.stats,
		Trace:      q.trace,
	}
	ran := false
	for i := range q.shards {
		s := &q.shards[i]
		ran = ran || s.mayHaveRun
		if s.phase == shardAnswered {
			result := s.result
			result.Attempts = s.attempts
			answer.Results = append(answer.Results, result)
			continue
		}
		answer.Absent = append(answer.Absent, Absent{
			Shard:  q.generation.Shards[i].Name,
			Reason: s.absentReason(q.endReason),
		})
	}
	answer.Coverage = float64(len(answer.Results)) / float64(len(q.shards))
	answer.Outcome = q.outcome(len(answer.Results), ran)
	return answer
}

func (q *Query) outcome(answered int, ran bool) Outcome {
	switch {
	case answered == len(q.shards):
		return Complete
	case answered == 0 && !ran && q.stats.Restarts == 0:
		return Refused
	default:
		return Partial
	}
}

func (s *shardState) absentReason(end pb.Reason) pb.Reason {
	if s.phase == shardAbsent {
		return s.reason
	}
	if end != pb.Reason_REASON_UNSPECIFIED {
		return end
	}
	return s.reason
}
