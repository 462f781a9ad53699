package backend

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// Paths and headers of the backend server contract.
const (
	pathQuery   = "/v1/query"
	pathExecute = "/v1/execute"
	pathBatch   = "/v1/batch"
	pathStatus  = "/v1/status"

	headerShard       = "Carobmill-Shard"
	headerGeneration  = "Carobmill-Generation"
	headerSnapshot    = "Carobmill-Snapshot"
	headerSnapshots   = "Carobmill-Snapshots"
	headerClass       = "Carobmill-Class"
	headerAttempt     = "Carobmill-Attempt"
	headerRequestID   = "Carobmill-Request-Id"
	headerTimeout     = "Carobmill-Timeout-Us"
	headerIncarnation = "Carobmill-Incarnation"
	headerLoad        = "Carobmill-Load"
	headerState       = "Carobmill-State"
	headerNotRun      = "Carobmill-Not-Run"

	stateCold     = "cold"
	stateDraining = "draining"
)

// maxIncarnation bounds the length of an incarnation in bytes. A longer one is
// truncated; a restart is then detected only by a change within the bound.
const maxIncarnation = 128

// parseState reads the headers that every reply has. They are hints: a value that
// does not parse is treated as absent.
func parseState(h http.Header) Reply {
	var reply Reply
	reply.Incarnation = h.Get(headerIncarnation)
	if len(reply.Incarnation) > maxIncarnation {
		reply.Incarnation = reply.Incarnation[:maxIncarnation]
	}
	reply.Cold = h.Get(headerState) == stateCold
	reply.Draining = h.Get(headerState) == stateDraining
	load, err := strconv.ParseFloat(h.Get(headerLoad), 64)
	if err == nil && load >= 0 && !math.IsInf(load, 0) {
		reply.Load = load
	}
	oldest, newest, found := strings.Cut(h.Get(headerSnapshots), "-")
	if found {
		lo, errLo := strconv.ParseUint(oldest, 10, 64)
		hi, errHi := strconv.ParseUint(newest, 10, 64)
		if errLo == nil && errHi == nil && lo <= hi {
			reply.Oldest, reply.Newest = lo, hi
		}
	}
	return reply
}

func statusReply(reply Reply, status int) Reply {
	reply.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
	if status != http.StatusOK {
		reply.Reason = pb.Reason_REASON_BACKEND
	}
	return reply
}

// replyFields are the fields of a reply's headers, or of one reply in a batch.
type replyFields struct {
	status               int
	notRun               bool
	attempt, shard       string
	snapshot, generation uint64
	// malformed is set when snapshot or generation did not parse.
	malformed bool
}

func parseReplyFields(resp *http.Response) replyFields {
	h := resp.Header
	f := replyFields{
		status:  resp.StatusCode,
		notRun:  h.Get(headerNotRun) == "true",
		attempt: h.Get(headerAttempt),
		shard:   h.Get(headerShard),
	}
	var errSnapshot, errGeneration error
	f.snapshot, errSnapshot = strconv.ParseUint(h.Get(headerSnapshot), 10, 64)
	f.generation, errGeneration = strconv.ParseUint(h.Get(headerGeneration), 10, 64)
	f.malformed = errSnapshot != nil || errGeneration != nil
	return f
}

// classify sets the reason and evidence of a complete reply. A result or a "not run"
// is accepted only from a reply that repeats the attempt ID, since a reply to another
// exchange proves nothing about this one.
func (f replyFields) classify(reply *Reply, call *Call) {
	reply.Evidence = pb.Evidence_EVIDENCE_UNKNOWN
	if f.status == http.StatusOK {
		f.classifyResult(reply, call)
		return
	}
	if f.notRun && f.attempt != call.Attempt {
		reply.Reason = pb.Reason_REASON_MISMATCH
		return
	}
	if f.notRun {
		reply.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
	}
	reply.Reason = refusalReason(f.status, f.notRun, reply.Draining)
}

// isUnsupported reports whether a status means that the path or its method is unknown.
func isUnsupported(status int) bool {
	return status == http.StatusNotFound || status == http.StatusMethodNotAllowed || status == http.StatusNotImplemented
}

func refusalReason(status int, notRun, draining bool) pb.Reason {
	switch {
	case status == http.StatusGone:
		return pb.Reason_REASON_NO_SNAPSHOT
	case status == http.StatusServiceUnavailable && notRun && draining:
		return pb.Reason_REASON_LEAVING
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable && notRun:
		return pb.Reason_REASON_SHED
	}
	return pb.Reason_REASON_BACKEND
}

func (f replyFields) classifyResult(reply *Reply, call *Call) {
	matches := !f.malformed &&
		f.attempt == call.Attempt &&
		f.shard == call.Shard &&
		(call.Snapshot == 0 || f.snapshot == call.Snapshot) &&
		(call.Generation == 0 || f.generation == call.Generation)
	if !matches {
		reply.Reason = pb.Reason_REASON_MISMATCH
		return
	}
	reply.Snapshot, reply.Generation = f.snapshot, f.generation
	reply.Evidence = pb.Evidence_EVIDENCE_RAN
}
