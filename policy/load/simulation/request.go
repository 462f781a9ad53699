package simulation

import (
	"time"

	"github.com/carobmill/carobmill/policy/gather"
	"github.com/carobmill/carobmill/policy/load"
	"github.com/carobmill/carobmill/policy/upstream"
)

// request is a gathered request in progress.
type request struct {
	run     *run
	node    *node
	query   *gather.Query
	delay   gather.HedgeDelay
	arrived time.Duration
	counted bool
	ended   bool
	tried   [][]string
	newest  []*upstream.State
}

func newRequest(r *run, n *node) *request {
	c := r.config
	return &request{
		run: r, node: n, arrived: r.at, counted: r.counted(),
		delay: gather.NewHedgeDelay(&n.latencies, c.Objective),
		query: gather.New(gather.Params{
			Shards: c.Shards, MaxAttempts: replicasPerShard, MinCoverage: c.Coverage,
			Objective: c.Objective, Deadline: c.Timeout, Idempotent: true,
		}),
		tried: make([][]string, c.Shards), newest: make([]*upstream.State, c.Shards),
	}
}

func (q *request) elapsed() time.Duration { return q.run.at - q.arrived }

func (q *request) begin() {
	for i := range q.tried {
		q.node.budgets[i].RecordRequest(q.run.now(), "")
		if !q.send(i, false) {
			q.query.GiveUp(i)
		}
	}
	q.advance()
}

// advance sends due hedges, and ends the request or schedules the next call.
func (q *request) advance() {
	if q.ended {
		return
	}
	size := float64(len(q.run.nodes))
	now := q.run.now()
	for i, st := range q.newest {
		if st != nil && !q.query.HasAnswer(i) {
			q.query.ObservePace(i, q.node.balancers[i].Pace(now, st))
		}
	}
	after := func(i int) time.Duration { return q.delay.After(q.node.budgets[i].OptionalUsed(now, size)) }
	next := q.query.Hedges(q.elapsed(), q.delay.Min(), after, func(i int) {
		if !q.send(i, true) {
			q.query.GiveUp(i)
		}
	})
	decision, recheck := q.query.Decide(q.elapsed())
	if decision != gather.Wait {
		q.end(decision)
		return
	}
	q.run.schedule(q.arrived+min(next, recheck), q.advance)
}

func (q *request) end(d gather.Decision) {
	q.ended = true
	if !q.counted {
		return
	}
	result := &q.run.result
	result.Requests++
	result.Took += q.elapsed()
	if d == gather.Success && q.elapsed() <= q.run.config.Objective {
		result.InTime++
	}
	if q.query.Coverage() < 1 {
		result.Incomplete++
	}
}

// send sends an attempt for a shard and reports whether a replica and the budget allow it.
func (q *request) send(i int, hedge bool) bool {
	now, b := q.run.now(), q.node.balancers[i]
	request := upstream.Request{
		Class: class, DataCentre: q.node.dataCentre, MaxInFlightPerReplica: maxInFlight, ColdPerSecond: -1, Optional: hedge,
		Tried: func(id string) bool {
			for _, t := range q.tried[i] {
				if t == id {
					return true
				}
			}
			return false
		},
	}
	st := b.Pick(now, request)
	if st == nil || hedge && !q.node.budgets[i].TakeOptional(now, float64(len(q.run.nodes)), "") {
		return false
	}
	handle := b.RecordSent(now, st, request)
	q.query.Sent(i, q.elapsed())
	q.tried[i], q.newest[i] = append(q.tried[i], st.Replica.ID), st
	q.launch(i, st, handle, hedge)
	return true
}

// launch runs an attempt at its replica and schedules its end.
func (q *request) launch(i int, st *upstream.State, handle uint64, hedge bool) {
	r, sent := q.run, q.run.at
	link := localLink
	if st.Replica.DataCentre != q.node.dataCentre {
		link = remoteLink
	}
	p := r.replicaOf(st)
	r.schedule(sent+link, func() {
		ends := p.accept(r.at)
		if q.counted {
			r.result.Attempts++
			if p.pace(r.at) > 1 {
				r.result.Slow++
			}
			if link == remoteLink {
				r.result.Remote++
			}
			if hedge {
				r.result.Hedges++
			}
		}
		r.schedule(ends, func() {
			report := p.report(r.at)
			r.schedule(r.at+link, func() { q.receive(i, st, handle, r.at-sent, report, link, hedge) })
		})
	})
}

// receive handles the answer of an attempt.
func (q *request) receive(i int, st *upstream.State, handle uint64, took time.Duration, report load.Report, age time.Duration, hedge bool) {
	q.node.balancers[i].Done(q.run.now(), st, upstream.Sample{
		Handle: handle, Class: class, Took: took, Result: upstream.Answered, Load: report, LoadAge: age,
	})
	if !hedge {
		q.node.latencies.Observe(took)
	}
	q.run.recordReport(q.node, q.run.replicaOf(st).index, report, age)
	q.query.Answered(i)
	q.advance()
}
