package forward

import (
	"context"
	"sync"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/gather"
	"github.com/carobmill/carobmill/policy/quarantine"
	"github.com/carobmill/carobmill/policy/registry"
)

// Batch is one gathered request to several replicas of another data centre, with one
// attempt each.
type Batch struct {
	Request *Request
	// Replicas holds their IDs.
	Replicas []string
	Deadline time.Time
	// TopRecords is how many of the greatest records are returned.
	TopRecords int
	// Tried is set if the request was suspected of crashing replicas, and a trial has
	// answered it.
	Tried bool
}

// PartReply is the result of the attempt at one replica of a batch.
type PartReply struct {
	// Replica is the replica's index in Batch.Replicas.
	Replica int
	// Reply has no body if it is a success: its records are in PartReplies.Records.
	Reply backend.ForwardReply
}

// PartReplies is a group of replies that are delivered together.
type PartReplies struct {
	Replies []PartReply
	// Records holds the greatest records of the successful replies. They cannot be
	// attributed to single replies.
	Records []byte
	// Suspects holds what the node knows about the request, if it is suspected of crashing
	// replicas. The node then sends it to none.
	Suspects []quarantine.Record
}

// BatchSender sends batches through nodes in the data centres of their replicas.
type BatchSender interface {
	// SendBatch sends a batch through a node of a data centre and returns the node's name. It
	// returns false, and sends nothing, if no node is usable. deliver is called with replies
	// as they arrive, one call at a time, with exactly one reply for each replica. ctx ends
	// the wait for missing replies.
	SendBatch(ctx context.Context, dataCentre string, b *Batch, deliver func(PartReplies)) (node string, ok bool)
}

// cancellable cancels an attempt. Its reply may still arrive within linger.
type cancellable interface{ Cancel(linger time.Duration) }

// batchCall is a batch in flight.
type batchCall struct {
	cancel context.CancelFunc
	// mu guards the fields below.
	mu sync.Mutex
	// wanted is the number of attempts that are neither cancelled nor answered.
	wanted int
}

// batchAttempt is one attempt of a batch.
type batchAttempt struct {
	call *batchCall
	once sync.Once
}

// Cancel implements cancellable. The batch continues while any of its attempts is wanted.
func (a *batchAttempt) Cancel(linger time.Duration) {
	a.once.Do(func() {
		a.call.mu.Lock()
		a.call.wanted--
		last := a.call.wanted == 0
		a.call.mu.Unlock()
		switch {
		case !last:
		case linger <= 0:
			a.call.cancel()
		default:
			time.AfterFunc(linger, a.call.cancel)
		}
	})
}

// launchAll sends the reserved first attempts, which begin at an index of q.attempts. Those
// that gather.Batches groups are sent through nodes in the data centres of their replicas.
func (q *exchange) launchAll(first int) {
	inBatch := make([]bool, len(q.attempts))
	if q.route.Gathers() && q.f.opts.BatchSender != nil {
		centres := make([]string, len(q.attempts)-first)
		for i := range centres {
			centres[i] = q.attempts[first+i].replica.DataCentre
		}
		for name, indices := range gather.Batches(q.f.opts.DataCentre, centres) {
			for k := range indices {
				indices[k] += first
			}
			if q.launchBatch(name, indices) {
				for _, i := range indices {
					inBatch[i] = true
				}
			}
		}
	}
	for i := first; i < len(q.attempts); i++ {
		if !inBatch[i] {
			q.launch(i)
		}
	}
}

// launchBatch sends attempts through a node of a data centre and reports whether one is
// usable and there is memory for the message.
func (q *exchange) launchBatch(dataCentre string, indices []int) bool {
	if !q.req.HasMemory(q.req.MessageCost()) {
		return false
	}
	ctx, cancel := context.WithDeadline(context.Background(), q.deadline)
	call := &batchCall{cancel: cancel, wanted: len(indices)}
	b := &Batch{Request: q.req, Deadline: q.deadline, TopRecords: q.route.TopRecords, Tried: q.suspect}
	// deliver runs while serve may append to q.attempts, so that it needs copies.
	attempts := make([]attempt, len(indices))
	for k, i := range indices {
		b.Replicas = append(b.Replicas, q.attempts[i].replica.ID)
		attempts[k] = q.attempts[i]
		attempts[k].call = &batchAttempt{call: call}
	}
	sent := time.Now()
	node, ok := q.f.opts.BatchSender.SendBatch(ctx, dataCentre, b, func(r PartReplies) {
		q.deliver(indices, attempts, r, time.Since(sent))
	})
	if !ok {
		cancel()
		return false
	}
	for k, i := range indices {
		a := &q.attempts[i]
		a.via, a.call = node, attempts[k].call
		s := q.services[a.shard]
		s.mu.Lock()
		s.balancer.SetRelayed(a.state, a.handle)
		s.mu.Unlock()
	}
	return true
}

// deliver records replies of a batch and passes them to the goroutine of serve.
func (q *exchange) deliver(indices []int, attempts []attempt, r PartReplies, took time.Duration) {
	q.f.MergeSuspects(r.Suspects)
	e := completion{merged: true, records: r.Records}
	for k := range r.Replies {
		reply := &r.Replies[k].Reply
		a := &attempts[r.Replies[k].Replica]
		a.call.Cancel(cancelLinger)
		q.recordResult(q.services[a.shard], a.state, a.handle, reply)
		q.f.reach.recordResult(a.replica, reply)
		if reply.Took > 0 {
			q.class.observe(took)
		}
		result := attemptResult{shard: a.shard, index: indices[r.Replies[k].Replica], reply: reply}
		if reply.Lost {
			go q.deliverLost(result, a.replica)
			continue
		}
		q.f.observeRun(q.content, a.replica, false, reply)
		e.results = append(e.results, result)
	}
	q.completions.Put(e)
}

// deliverLost passes on the result of a lost attempt once it is known whether its replica
// has crashed.
func (q *exchange) deliverLost(result attemptResult, replica *registry.Replica) {
	result.crashed = q.f.observeRun(q.content, replica, false, result.reply)
	q.completions.Put(completion{results: []attemptResult{result}})
}

// sendDirectly sends an attempt from this node after the batch's node did not send it.
func (q *exchange) sendDirectly(index int) {
	a := &q.attempts[index]
	a.via = ""
	s := q.services[a.shard]
	s.mu.Lock()
	s.observer.Sent(a.replica.ID)
	a.handle = s.balancer.RecordSent(time.Now(), a.state, q.pickRequest(a.shard, a.hedge, q.f.opts.Source.FleetSize()))
	s.mu.Unlock()
	q.launch(index)
}

// isSenderFailure reports whether a reply is a failure of the node that was to send an
// attempt, and not of the replica: the node was lost, does not know the replica, or does
// not support batches.
func isSenderFailure(reply *backend.ForwardReply) bool {
	return reply.Reason == pb.Reason_REASON_PEER || reply.Reason == pb.Reason_REASON_NO_REPLICA
}

// unsent reports whether a node did not send an attempt that it received in a batch.
func unsent(reply *backend.ForwardReply) bool {
	return isSenderFailure(reply) && reply.Evidence == pb.Evidence_EVIDENCE_NOT_RUN
}

// handleGroup applies the successful replies of a batch that arrived together. Their merged
// records cannot be separated by shard, so that they replace parts from other attempts.
func (q *exchange) handleGroup(e completion) {
	if !e.merged {
		return
	}
	grouped := false
	for _, result := range e.results {
		if !successful(result.reply) {
			continue
		}
		grouped = true
		q.parts[result.shard] = *result.reply
	}
	if grouped {
		q.mergedRecords = append(q.mergedRecords, e.records)
	}
}
