package forward

import (
	"slices"
	"time"

	"github.com/carobmill/carobmill/policy/quarantine"
)

// trials is the state of a request that is suspected of crashing replicas. Such a request is
// sent to one replica at a time until one has answered it, and to the services where it
// crashed replicas one at a time after that.
type trials struct {
	// pending holds the shards of suspected services that are to be tried, in order. held
	// holds the other shards, which are sent once a replica has answered the request.
	pending, held []int
	// id is the running trial and shard its shard; 0 if there is none.
	id    uint64
	shard int
	// answered is set once a replica has run the request to its end. stopped is set after
	// the crash of a trial: no further attempt is sent.
	answered, stopped bool
	// retryAfter is the delay that a caller gets when the request is refused; 0 if the
	// request is not refused.
	retryAfter time.Duration
}

// suspectedAt reports whether a shard may be sent only as a trial.
func (q *exchange) suspectedAt(shard int) bool {
	v := q.f.suspects.check(q.content)
	service := serviceKey(q.names[shard])
	return v.RefusedAt(service) || v.Suspected(service)
}

// hold plans the trials of a suspected request that has just arrived, and reports whether
// there are any.
func (q *exchange) hold(v quarantine.Verdict) bool {
	for i, name := range q.names {
		if v.Suspected(serviceKey(name)) {
			q.trials.pending = append(q.trials.pending, i)
		} else {
			q.trials.held = append(q.trials.held, i)
		}
	}
	if len(q.trials.pending) == 0 {
		q.trials.held = nil
	}
	return len(q.trials.pending) > 0
}

// retry sends another attempt for a shard, or plans a trial. It reports whether it did.
func (q *exchange) retry(shard int) bool {
	if q.trials.stopped {
		return false
	}
	if !q.onTrial(shard) && q.suspectedAt(shard) {
		q.trials.pending = append(q.trials.pending, shard)
		return true
	}
	return q.send(shard, false)
}

// onTrial reports whether the running trial is that of a shard.
func (q *exchange) onTrial(shard int) bool { return q.trials.id != 0 && q.trials.shard == shard }

// advanceTrials starts the next trial, and sends the held shards once the request has been
// answered. It returns when to call again, or the deadline.
func (q *exchange) advanceTrials() time.Duration {
	limit := q.deadline.Sub(q.req.Arrived)
	for q.trials.id == 0 && len(q.trials.pending)+len(q.trials.held) > 0 {
		v := q.f.suspects.check(q.content)
		if v.Refused {
			q.abandonTrials(v.RetryAfter)
			break
		}
		if q.trials.answered || v.Survived {
			q.sendHeld()
		}
		q.dropPending(v)
		shard, ok := q.nextTrial()
		if !ok {
			break
		}
		wait, started := q.startTrial(shard)
		if next := q.elapsed() + wait; !started {
			// With a part of the shards, the request is answered at its objective.
			if next < limit && (next < q.objective || q.query.Coverage() == 0) {
				return next
			}
			q.abandonTrials(wait)
			break
		}
	}
	return limit
}

// nextTrial returns the shard of the next trial. A shard at which the request
// has crashed no replica comes first: a crash there has hardly another cause.
func (q *exchange) nextTrial() (shard int, ok bool) {
	for _, shards := range [][]int{q.trials.held, q.trials.pending} {
		if len(shards) > 0 {
			return shards[0], true
		}
	}
	return 0, false
}

// dropPending gives up the pending shards of services where the request is refused, and
// drops those that an earlier attempt has answered.
func (q *exchange) dropPending(v quarantine.Verdict) {
	q.trials.pending = slices.DeleteFunc(q.trials.pending, func(i int) bool {
		refused := v.RefusedAt(serviceKey(q.names[i]))
		if refused {
			q.query.GiveUp(i)
		}
		return refused || q.query.HasAnswer(i)
	})
}

// startTrial starts a trial of a shard. If that is not possible yet, it returns false and
// when to try again.
func (q *exchange) startTrial(shard int) (wait time.Duration, started bool) {
	id, wait := q.f.suspects.startTrial(q.content, q.names[shard])
	if id == 0 {
		return wait, false
	}
	same := func(i int) bool { return i == shard }
	q.trials.pending = slices.DeleteFunc(q.trials.pending, same)
	q.trials.held = slices.DeleteFunc(q.trials.held, same)
	q.trials.id, q.trials.shard = id, shard
	if !q.send(shard, false) {
		q.query.GiveUp(shard)
		q.endTrial()
	}
	return 0, true
}

// sendHeld sends the shards that waited for the trials.
func (q *exchange) sendHeld() {
	first := len(q.attempts)
	for _, i := range q.trials.held {
		if !q.reserve(i, false) {
			q.query.GiveUp(i)
		}
	}
	q.trials.held = nil
	q.launchAll(first)
}

// abandonTrials gives up the shards that were not sent. A caller whose request was not run
// may repeat it after a delay.
func (q *exchange) abandonTrials(retryAfter time.Duration) {
	q.trials.retryAfter = retryAfter
	for _, i := range q.trials.pending {
		q.query.GiveUp(i)
	}
	for _, i := range q.trials.held {
		q.query.GiveUp(i)
	}
	q.trials.pending, q.trials.held = nil, nil
}

// endTrial ends the running trial, if any.
func (q *exchange) endTrial() {
	if q.trials.id != 0 {
		q.f.suspects.endTrial(q.content, q.trials.id)
		q.trials.id = 0
	}
}

// handleCrash plans what follows the crash of an attempt's replica. After the crash of a
// trial, the request is sent to no other replica.
func (q *exchange) handleCrash(e attemptResult, retry bool) {
	a := &q.attempts[e.index]
	switch {
	case a.trial:
		q.query.GiveUp(e.shard)
		q.endTrial()
		q.trials.stopped = true
		q.abandonTrials(0)
	case retry && q.route.Idempotent:
		if !q.retry(e.shard) {
			q.query.MarkLostIfIdle(e.shard)
		}
	default:
		q.query.GiveUp(e.shard)
	}
}
