package backend

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// batchMediaType is the media type of a batch: length-delimited protobuf messages.
// Separate messages allow each item's reply to be sent as soon as it is ready.
const batchMediaType = "application/vnd.google.protobuf; encoding=delimited"

// itemOverhead bounds the encoded size of an item's reply without its result, in bytes.
const itemOverhead = 4 << 10

// encode cancels the items whose context has ended, and marshals and counts the others
// that have no outcome yet.
func (b *batch) encode(counts *stats) []byte {
	var buf bytes.Buffer
	var msg pb.BatchItem
	counts.batches.Add(1)
	for _, it := range b.items {
		if it.Ctx.Err() != nil {
			b.cancelItem(it)
		}
		if !b.markWritten(it) {
			continue
		}
		counts.batchItems.Add(1)
		call := &it.Call
		msg.Attempt, msg.Shard, msg.Class = call.Attempt, call.Shard, call.Class
		msg.Generation, msg.Snapshot = call.Generation, call.Snapshot
		msg.Body = call.Body
		msg.TimeoutUs = 0
		if !it.deadline.IsZero() {
			msg.TimeoutUs = uint64(max(1, time.Until(it.deadline).Microseconds()))
		}
		if _, err := protodelim.MarshalTo(&buf, &msg); err != nil {
			// Only invalid UTF-8 in a name fails here, and schema validation rejects that.
			panic(err)
		}
	}
	return buf.Bytes()
}

// markWritten marks the item as written, or returns false if the item already has
// its outcome.
func (b *batch) markWritten(it *item) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if it.state >= itemCancelled {
		return false
	}
	it.state = itemWritten
	return true
}

func (ex *exchange) setBatchHeaders(h http.Header) {
	h["Content-Type"] = []string{batchMediaType}
	h[headerAttempt] = []string{ex.call.Attempt}
}

// readReplies delivers the items' replies as they arrive. state is the replica's state
// from the response headers. Mismatched replies are counted, and their HTTP/1.1 connection
// is not reused. Reading stops when there are more of them than items.
func (ex *exchange) readReplies(state Reply, body io.Reader) (Reply, bool) {
	b := ex.call.batch
	reader := bufio.NewReader(body)
	decoder := protodelim.UnmarshalOptions{MaxSize: ex.pool.client.opts.MaxResultBytes + itemOverhead}
	// msg is reused; the result is the only field kept, and each decoding allocates it.
	var msg pb.BatchReply
	mismatches := 0
	for mismatches <= len(b.items) {
		err := decoder.UnmarshalFrom(reader, &msg)
		if errors.Is(err, io.EOF) {
			return ex.failMissing(state, mismatches)
		}
		if err != nil {
			break
		}
		if !ex.applyReply(state, &msg) {
			mismatches++
		}
	}
	// Items whose replies arrived completely stay answered; the others are unknown.
	ex.pool.client.stats.mismatched.Add(uint64(mismatches))
	ex.truncated = true
	state.Reason, state.Evidence = pb.Reason_REASON_CONNECTION, pb.Evidence_EVIDENCE_UNKNOWN
	return state, ex.pool.h2
}

// failMissing completes the items that have no reply in a complete response.
func (ex *exchange) failMissing(state Reply, mismatches int) (Reply, bool) {
	missing := ex.call.batch.openItems()
	for _, it := range missing {
		reply := state
		reply.Reason, reply.Evidence = pb.Reason_REASON_MISMATCH, pb.Evidence_EVIDENCE_UNKNOWN
		reply.Took = time.Since(ex.sent)
		ex.call.batch.completeItem(it, reply)
	}
	mismatches += len(missing)
	ex.pool.client.stats.mismatched.Add(uint64(mismatches))
	state.Evidence = pb.Evidence_EVIDENCE_RAN
	return state, ex.pool.h2 || mismatches == 0
}

// applyReply completes the item that a reply belongs to. It returns false for an
// unknown or repeated attempt ID and for another shard, generation or snapshot.
func (ex *exchange) applyReply(state Reply, msg *pb.BatchReply) bool {
	it := ex.call.batch.match(msg.GetAttempt())
	if it == nil {
		return false
	}
	reply := state
	reply.Cold = reply.Cold || msg.GetCold()
	reply.Draining = reply.Draining || msg.GetDraining()
	if msg.GetNewestSnapshot() != 0 && msg.GetOldestSnapshot() <= msg.GetNewestSnapshot() {
		reply.Oldest, reply.Newest = msg.GetOldestSnapshot(), msg.GetNewestSnapshot()
	}
	reply.Took = time.Since(ex.sent)
	reply.Queued = ex.sent.Sub(ex.call.batch.started)
	reply.NewConnection = ex.first
	replyFields{
		status:     int(msg.GetStatus()),
		notRun:     msg.GetNotRun(),
		attempt:    msg.GetAttempt(),
		shard:      msg.GetShard(),
		snapshot:   msg.GetSnapshot(),
		generation: msg.GetGeneration(),
	}.classify(&reply, &it.Call)
	switch {
	case !reply.OK():
	case int64(len(msg.GetResult())) > ex.pool.client.opts.MaxResultBytes:
		reply.Reason = pb.Reason_REASON_BACKEND
	default:
		reply.Result = msg.GetResult()
	}
	ex.call.batch.completeItem(it, reply)
	return reply.Reason != pb.Reason_REASON_MISMATCH
}
