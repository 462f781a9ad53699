package forward

import (
	"context"
	"sync"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/gather"
)

// Batch is one gathered request for several replicas of another data centre, one attempt
// each.
type Batch struct {
	Request *Request
	// Replicas by ID.
	Replicas []string
	Deadline time.Time
	// TopRecords is how many of the greatest records are wanted.
	TopRecords int
}

// PartReply is what came of the attempt at one replica of a batch.
type PartReply struct {
	// Replica is its position in Batch.Replicas.
	Replica int
	// Reply has no body when it is a success; its records are among those of its group.
	Reply backend.ForwardReply
}

// PartReplies are replies that came together.
type PartReplies struct {
	Replies []PartReply
	// Records are the greatest of the successful ones, which count together only.
	Records []byte
}

// BatchSender sends batches through nodes next to their replicas.
type BatchSender interface {
	// SendBatch sends a batch through a node of a data centre and returns its name; without one
	// that may be used nothing is sent. deliver is called with replies as they come, one
	// call at a time, and with exactly one reply for each replica. ctx ends the wait for
	// those that are missing.
	SendBatch(ctx context.Context, dataCentre string, b *Batch, deliver func(PartReplies)) (node string, ok bool)
}

// cancellable ends an attempt. Replies may still come for linger.
type cancellable interface{ Cancel(linger time.Duration) }

// batchCall is the attempts of a batch under way.
type batchCall struct {
	cancel context.CancelFunc
	// mu guards the fields below.
	mu sync.Mutex
	// wanted is how many attempts are neither ended nor answered.
	wanted int
}

// batchAttempt is one attempt of a batch.
type batchAttempt struct {
	call *batchCall
	once sync.Once
}

// Cancel implements cancellable. The batch goes on while any of its attempts is wanted.
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

// launchAll sends the reserved first attempts: those for replicas of other data centres
// through nodes there, as far as they come in batches.
func (q *run) launchAll() {
	inBatch := make([]bool, len(q.story))
	if q.route.Gathers() && q.f.opts.BatchSender != nil {
		centres := make([]string, len(q.story))
		for i := range q.story {
			centres[i] = q.story[i].replica.DataCentre
		}
		for name, steps := range gather.Batches(q.f.opts.DataCentre, centres) {
			if q.launchBatch(name, steps) {
				for _, i := range steps {
					inBatch[i] = true
				}
			}
		}
	}
	for i := range q.story {
		if !inBatch[i] {
			q.launch(i)
		}
	}
}

// launchBatch sends attempts through a node of a data centre and reports whether there is
// one.
func (q *run) launchBatch(dataCentre string, steps []int) bool {
	ctx, cancel := context.WithDeadline(context.Background(), q.deadline)
	call := &batchCall{cancel: cancel, wanted: len(steps)}
	b := &Batch{Request: q.req, Deadline: q.deadline, TopRecords: q.route.TopRecords}
	// The story may grow while replies come: what deliver needs is copied.
	attempts := make([]step, len(steps))
	for k, i := range steps {
		b.Replicas = append(b.Replicas, q.story[i].replica.ID)
		attempts[k] = q.story[i]
		attempts[k].call = &batchAttempt{call: call}
	}
	sent := time.Now()
	node, ok := q.f.opts.BatchSender.SendBatch(ctx, dataCentre, b, func(r PartReplies) {
		q.deliver(steps, attempts, r, time.Since(sent))
	})
	if !ok {
		cancel()
		return false
	}
	for k, i := range steps {
		q.story[i].via = node
		q.story[i].call = attempts[k].call
	}
	return true
}

// deliver hands replies of a batch to the goroutine of serve.
func (q *run) deliver(steps []int, attempts []step, r PartReplies, took time.Duration) {
	e := event{merged: true, records: r.Records}
	for k := range r.Replies {
		reply := &r.Replies[k].Reply
		at := &attempts[r.Replies[k].Replica]
		at.call.Cancel(lingerFor)
		q.settle(q.services[at.shard], at.state, at.handle, reply)
		q.f.reach.note(at.replica, reply)
		if reply.Took > 0 {
			q.class.observe(took)
		}
		e.ends = append(e.ends, attemptEnd{shard: at.shard, step: steps[r.Replies[k].Replica], reply: reply})
	}
	q.events.Put(e)
}

// sendDirectly sends an attempt that was not sent in its batch.
func (q *run) sendDirectly(number int) {
	at := &q.story[number]
	at.via = ""
	s := q.services[at.shard]
	s.mu.Lock()
	at.handle = s.set.RecordSent(time.Now(), at.state, q.pickFor(at.shard, at.hedge, q.f.opts.Source.FleetSize()))
	s.mu.Unlock()
	q.launch(number)
}

// ofNeighbour reports whether a reply tells of the node that was to send an attempt, and
// nothing of the replica: the node was lost, does not know the replica, or no batches.
func ofNeighbour(reply *backend.ForwardReply) bool {
	return reply.Reason == pb.Reason_REASON_PEER || reply.Reason == pb.Reason_REASON_NO_REPLICA
}

// unsent reports whether a node did not send an attempt that it got in a batch.
func unsent(reply *backend.ForwardReply) bool {
	return ofNeighbour(reply) && reply.Evidence == pb.Evidence_EVIDENCE_NOT_RUN
}

// takeGroup deals with the successful replies of a batch that came together. Their records
// cannot be told apart, so that they replace what other attempts have answered.
func (q *run) takeGroup(e event) {
	if !e.merged {
		return
	}
	grouped := false
	for _, end := range e.ends {
		if !good(end.reply) {
			continue
		}
		grouped = true
		q.parts[end.shard] = *end.reply
	}
	if grouped {
		q.groups = append(q.groups, e.records)
	}
}
