package forward

import (
	"context"
	"net/http"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/gather"
	"github.com/carobmill/carobmill/policy/intake"
	"github.com/carobmill/carobmill/policy/registry"
)

// flushAfter is how long a reply waits for others to be delivered together with it.
const flushAfter = 3 * time.Millisecond

// ServeBatch sends the attempts of a batch for another node, which has chosen the replicas
// and counts the attempts. It calls deliver with groups of replies that arrive within
// flushAfter. It returns once each replica has a reply, ctx has ended, or deliver has
// failed.
func (f *Forwarder) ServeBatch(ctx context.Context, b *Batch, deliver func(PartReplies) error) error {
	if ctx.Err() != nil {
		// After a pause of this process, a batch may arrive together with its cancellation.
		return ctx.Err()
	}
	if s := f.stop.Load(); s != nil && b.Deadline.After(s.AnswerBy) {
		return deliver(unsentBatch(b))
	}
	if !b.Request.HasMemory(b.Request.ReceivedCost() + intake.CopiesCost(len(b.Replicas), len(b.Request.Header))) {
		return deliver(unsentBatch(b))
	}
	c := f.contentOf(b.Request)
	if v := f.suspects.check(c); v.Refused || v.Suspect() && !b.Tried {
		return deliver(f.refuseBatch(b, c))
	}
	inbox := work.NewInbox[PartReply](len(b.Replicas))
	calls := f.sendBatch(b, c, inbox)
	defer func() {
		for _, call := range calls {
			call.Cancel(cancelLinger)
		}
	}()
	var waiting []PartReply
	var flush <-chan time.Time
	for open := len(b.Replicas); open > 0; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-inbox.Ready():
			waiting = append(waiting, inbox.Take(nil)...)
			if len(waiting) < open {
				if flush == nil {
					flush = time.After(flushAfter)
				}
				continue
			}
		case <-flush:
		}
		flush = nil
		open -= len(waiting)
		if err := deliver(mergeSuccesses(waiting, b.TopRecords)); err != nil {
			return err
		}
		waiting = nil
	}
	return nil
}

// refuseBatch returns the replies to a batch of a suspected request. The node that answers
// the request decides about its trials.
func (f *Forwarder) refuseBatch(b *Batch, c *content) PartReplies {
	r := PartReplies{Suspects: f.suspects.records(c)}
	for i := range b.Replicas {
		r.Replies = append(r.Replies, PartReply{Replica: i, Reply: refusedReply()})
	}
	return r
}

// unsentBatch returns the replies to a batch that this node does not send. The node that asked for
// it sends the attempts itself.
func unsentBatch(b *Batch) PartReplies {
	var r PartReplies
	for i := range b.Replicas {
		r.Replies = append(r.Replies, PartReply{Replica: i, Reply: backend.ForwardReply{
			Reason: pb.Reason_REASON_PEER, Evidence: pb.Evidence_EVIDENCE_NOT_RUN,
		}})
	}
	return r
}

// sendBatch sends the attempts of a batch and returns their calls. An unknown replica gets
// a reply in inbox and no call.
func (f *Forwarder) sendBatch(b *Batch, c *content, inbox *work.Inbox[PartReply]) []*backend.ForwardRequest {
	var current map[string]*registry.Replica
	if replicas := f.replicas.Load(); replicas != nil {
		current = *replicas
	}
	calls := make([]*backend.ForwardRequest, 0, len(b.Replicas))
	for i, id := range b.Replicas {
		replica := current[id]
		if replica == nil {
			inbox.Put(PartReply{Replica: i, Reply: backend.ForwardReply{
				Reason: pb.Reason_REASON_NO_REPLICA, Evidence: pb.Evidence_EVIDENCE_NOT_RUN,
			}})
			continue
		}
		if f.upgradeForbids(replica) {
			inbox.Put(PartReply{Replica: i, Reply: refusedReply()})
			continue
		}
		call := newCall(b.Request, replica, b.Deadline)
		calls = append(calls, call)
		go func() {
			reply := f.opts.Backend.Forward(call, f.opts.Dialect)
			f.observeBatchLoad(replica, &reply)
			inbox.Put(PartReply{Replica: i, Reply: reply})
			f.observeRun(c, replica, false, &reply)
		}()
	}
	return calls
}

// mergeSuccesses merges the records of the successful replies and removes all headers and
// bodies.
func mergeSuccesses(replies []PartReply, topRecords int) PartReplies {
	var bodies [][]byte
	for i := range replies {
		reply := &replies[i].Reply
		switch {
		case successful(reply):
			bodies = append(bodies, reply.Body)
		case reply.Status >= http.StatusOK && reply.Status < http.StatusMultipleChoices:
			// The other node does not receive the headers that show why this is not a success.
			reply.Status = http.StatusBadGateway
		}
		reply.Header, reply.Body = nil, nil
	}
	return PartReplies{Replies: replies, Records: gather.Greatest(bodies, topRecords)}
}
