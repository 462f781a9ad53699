package forward

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/load"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/upstream"
)

// attempt is one attempt of a request.
type attempt struct {
	shard   int
	replica *registry.Replica
	at      time.Duration
	hedge   bool
	// extra is set for all attempts of a shard other than its first.
	extra bool
	// state and handle identify the attempt in its service's balancer.
	state  *upstream.State
	handle uint64
	// trial is set if the request was sent to no other replica at the same time, because it
	// was suspected of crashing replicas.
	trial bool
	// call cancels the attempt; set once the attempt is sent.
	call cancellable
	// via is the node that sends the attempt, if another node does.
	via   string
	ended bool
	// refused is set when the replica stated that it did not run the request.
	refused bool
	endedAt time.Duration
	status  int
	reason  string
	// pace is the expected pace of the replica when the attempt was sent, according to a report
	// of the age loadAge; 0 if the service's replicas report none. reported is what it reported
	// with its reply.
	pace     float64
	loadAge  time.Duration
	reported load.Report
}

func (a *attempt) end(at time.Duration, reply *backend.ForwardReply) {
	a.ended = true
	a.endedAt = at
	a.status = reply.Status
	a.reported = reply.Metadata.Load
	a.refused = reply.Metadata.NotRun && !reply.Metadata.OtherReplica
	switch {
	case reply.Metadata.OtherReplica:
		a.reason = "other replica"
	case reply.Metadata.NotRun:
		a.reason = "refused"
	case reply.Status == 0:
		a.reason = reply.Reason.String() + "/" + reply.Evidence.String()
	case !successful(reply):
		a.reason = "not a success"
	}
}

// denial is an attempt that could not be sent.
type denial struct {
	shard  int
	at     time.Duration
	reason string
	hedge  bool
}

// Reasons of denials.
const (
	// deniedNoReplica: every usable replica was tried, is unreachable, has all its
	// connections in use, or accepts no more requests.
	deniedNoReplica = "no replica"
	// deniedNoBudget: the service's retry budget is used up.
	deniedNoBudget = "no budget"
	// deniedSilent: all usable replicas are silent, and no probe is due.
	deniedSilent = "silent"
	// deniedNoTime: a healthy replica could not answer before the deadline.
	deniedNoTime = "no time"
	// deniedYields: a first attempt of a higher priority waits for room at the service.
	deniedYields = "yields"
	// deniedStopping: the attempt may not end before this node, or the one that received the
	// request, stops.
	deniedStopping = "stopping"
)

// denialEntry is one denial as written in the log line of its request.
type denialEntry struct {
	Service string  `json:"service"`
	At      float64 `json:"at_ms"`
	Reason  string  `json:"why"`
	Hedge   bool    `json:"hedge,omitempty"`
}

func (q *exchange) denialEntries() []denialEntry {
	entries := make([]denialEntry, 0, len(q.denials))
	for _, d := range q.denials {
		entries = append(entries, denialEntry{Service: q.names[d.shard], At: ms(d.at), Reason: d.reason, Hedge: d.hedge})
	}
	return entries
}

// attemptLine is an attempt in the log line of its request. Times are in milliseconds
// after the request's arrival.
type attemptLine struct {
	Service string  `json:"service"`
	Replica string  `json:"replica"`
	Via     string  `json:"via,omitempty"`
	At      float64 `json:"at_ms"`
	End     float64 `json:"end_ms,omitempty"`
	Hedge   bool    `json:"hedge,omitempty"`
	Trial   bool    `json:"trial,omitempty"`
	Status  int     `json:"status,omitempty"`
	Reason  string  `json:"why,omitempty"`
	// Pace is the expected pace when the attempt was sent, as a multiple of the usual time, by a
	// report of the age LoadAge. Load is what the replica reported with its reply.
	Pace    float64 `json:"pace,omitempty"`
	LoadAge float64 `json:"load_age_ms,omitempty"`
	Load    string  `json:"load,omitempty"`
}

// log writes one line about the request, as far as the log limiter allows: its limit for
// failed, incomplete and late requests is higher than for others. The line of such a request
// omits attempts that answered early and without a fault.
func (q *exchange) log(a *Answer) {
	took := q.elapsed()
	late := q.route.Objective > 0 && took > q.route.Objective
	fault := a.Outcome >= NoRoute || a.Missing > 0 || late
	if !q.f.logLimiter.Allow(time.Now(), fault) {
		return
	}
	attempts := make([]attemptLine, 0, len(q.attempts))
	for _, s := range q.attempts {
		if fault && s.ended && s.reason == "" && !s.hedge && s.endedAt < q.route.Objective/2 {
			continue
		}
		attempts = append(attempts, attemptLine{
			Service: q.names[s.shard], Replica: s.replica.ID, Via: s.via, At: ms(s.at), End: ms(s.endedAt),
			Hedge: s.hedge, Trial: s.trial, Status: s.status, Reason: s.reason,
			Pace: s.pace, LoadAge: ms(s.loadAge), Load: s.reported.String(),
		})
	}
	fields := logrus.Fields{
		"request":  q.req.ID,
		"target":   q.req.Target,
		"content":  q.content.fingerprint().String(),
		"route":    q.route.Name,
		"account":  q.req.Account,
		"version":  q.view.Index.Version,
		"revision": q.view.Revision,
		"view_ms":  time.Since(q.view.At).Milliseconds(),
		"outcome":  a.Outcome.String(),
		"status":   a.Status,
		"took_ms":  ms(took),
		"limit_ms": ms(q.deadline.Sub(q.req.Arrived)),
		"missing":  a.Missing,
		"silent":   q.silentShards(),
		"gone":     q.cancelled,
		"shards":   len(q.names),
		"hedges":   q.hedged,
		"attempts": attempts,
		"denied":   q.denialEntries(),
		"most":     q.route.MaxAttempts,
		"repeat":   q.route.Idempotent,
		"suspect":  q.suspect,
		"out":      strings.Join(slices.Sorted(maps.Keys(q.unreachable)), ","),
	}
	if q.admission.waited() {
		fields["admission"] = q.admission.line()
	}
	q.f.opts.Log.WithFields(fields).Info("request")
}

// silentShards returns the number of shards that count as lost because their replicas are
// silent.
func (q *exchange) silentShards() int {
	n := 0
	for i := range q.names {
		if q.query.Silent(i) {
			n++
		}
	}
	return n
}

func ms(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
