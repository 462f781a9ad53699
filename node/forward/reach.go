package forward

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/policy/reach"
	"github.com/carobmill/carobmill/policy/registry"
)

const (
	// evaluationInterval is the interval between evaluations of the data centres'
	// reachability, and between probes.
	evaluationInterval = 200 * time.Millisecond
	// probeTimeout bounds a probe. Opening a connection within a region takes 2 ms.
	probeTimeout = 150 * time.Millisecond
	// silenceThreshold is the age from which an attempt that is in flight, or was
	// abandoned, indicates that its replica does not answer.
	silenceThreshold = 200 * time.Millisecond
)

// reachability evaluates which data centres can be reached. A node that reaches no other
// data centre reports itself unready, so that the load balancer sends its callers to nodes
// that can serve them. The node immediately refuses requests that still arrive.
type reachability struct {
	backend *backend.Client
	log     logrus.FieldLogger
	// current is the newest evaluation, which requests use.
	current atomic.Pointer[reach.Reachability]
	// pending returns the attempts that have been in flight for longer than an age.
	pending func(now time.Time, age time.Duration) []reach.PendingAttempt
	// lastEvaluation is the time of the last round. Only the goroutine of run uses it.
	lastEvaluation time.Time

	// mu guards the fields below.
	mu       sync.Mutex
	tracker  *reach.Tracker
	replicas map[string][]*registry.Replica
	view     *directory.View
}

func newReachability(own string, client *backend.Client, log logrus.FieldLogger) *reachability {
	r := &reachability{backend: client, log: log, tracker: reach.New(own)}
	r.current.Store(&reach.Reachability{})
	return r
}

// update applies the replicas and data centres of a new view.
func (r *reachability) update(v *directory.View) {
	replicas := make(map[string][]*registry.Replica)
	counts := make(map[string]int)
	for _, list := range v.Replicas {
		for _, replica := range list {
			replicas[replica.DataCentre] = append(replicas[replica.DataCentre], replica)
			counts[replica.DataCentre]++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replicas, r.view = replicas, v
	r.tracker.SetDataCentres(time.Now(), counts)
}

// recordResult records whether the replica of an attempt answered.
func (r *reachability) recordResult(replica *registry.Replica, reply *backend.ForwardReply) {
	answered := reply.Status != 0 || reply.Reason == pb.Reason_REASON_MISMATCH
	if isSenderFailure(reply) {
		return
	}
	abandoned := reply.Reason == pb.Reason_REASON_CANCELLED || reply.Reason == pb.Reason_REASON_DEADLINE
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case answered:
		r.tracker.RecordAnswer(time.Now(), replica.DataCentre)
	case abandoned && reply.Took < silenceThreshold:
		// The replica may still have been working on the request.
	default:
		r.tracker.RecordNoAnswer(replica.DataCentre, replica.ID)
	}
}

// suspect records that another node of the data centre is isolated.
func (r *reachability) suspect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Suspect(time.Now())
}

// unreachable returns the data centres that cannot be reached.
func (r *reachability) unreachable() map[string]bool { return r.current.Load().Unreachable }

// run evaluates reachability and sends probes until ctx ends.
func (r *reachability) run(ctx context.Context) {
	ticker := time.NewTicker(evaluationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, p := range r.evaluate() {
			go r.probe(ctx, p)
		}
	}
}

// probesPerDataCentre is how many replicas of a data centre are probed in one round. With a
// single probe, one failed replica would make its data centre count as unreachable.
const probesPerDataCentre = 2

// evaluate publishes a new evaluation and returns the replicas to probe. A late round is
// skipped: after a pause of the process, attempts look unanswered although their answers
// may be in the socket buffers.
func (r *reachability) evaluate() []*registry.Replica {
	now := time.Now()
	late := now.Sub(r.lastEvaluation) > 2*evaluationInterval
	r.lastEvaluation = now
	if late {
		return nil
	}
	waiting := r.pending(now, silenceThreshold)
	r.mu.Lock()
	next := r.tracker.Evaluate(now, waiting, r.sufficient)
	var probes []*registry.Replica
	for _, name := range next.Probe {
		probes = append(probes, sample(r.replicas[name], probesPerDataCentre)...)
	}
	r.mu.Unlock()
	previous := r.current.Swap(&next)
	if previous.Isolated != next.Isolated || !maps.Equal(previous.Unreachable, next.Unreachable) {
		r.log.WithFields(logrus.Fields{
			"out_of_reach": strings.Join(slices.Sorted(maps.Keys(next.Unreachable)), ","), "isolated": next.Isolated,
		}).Warn("the data centres in reach have changed")
	}
	return probes
}

// sufficient reports whether gathered requests can be answered without the given data
// centres. The caller holds r.mu.
func (r *reachability) sufficient(unreachable map[string]bool) bool {
	if r.view == nil {
		return true
	}
	return r.view.Index.CanGather(func(service string) bool {
		return slices.ContainsFunc(r.view.Replicas[service], func(replica *registry.Replica) bool {
			return !unreachable[replica.DataCentre]
		})
	})
}

// sample returns up to n of the replicas, chosen at random.
func sample(replicas []*registry.Replica, n int) []*registry.Replica {
	picked := make([]*registry.Replica, 0, n)
	for _, i := range rand.Perm(len(replicas))[:min(n, len(replicas))] {
		picked = append(picked, replicas[i])
	}
	return picked
}

// probe records whether a connection to a replica can be opened.
func (r *reachability) probe(ctx context.Context, replica *registry.Replica) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reached := r.backend.Reachable(ctx, replica.Address)
	r.mu.Lock()
	defer r.mu.Unlock()
	if reached {
		r.tracker.RecordAnswer(time.Now(), replica.DataCentre)
	} else {
		r.tracker.RecordNoAnswer(replica.DataCentre, replica.ID)
	}
}

// pendingAttempts returns the attempts of all services that have been in flight for longer
// than age.
func (f *Forwarder) pendingAttempts(now time.Time, age time.Duration) []reach.PendingAttempt {
	f.mu.Lock()
	services := slices.Collect(maps.Values(f.services))
	f.mu.Unlock()
	var list []reach.PendingAttempt
	for _, s := range services {
		s.mu.Lock()
		s.balancer.ForEachPending(now, age, func(r *registry.Replica) {
			list = append(list, reach.PendingAttempt{DataCentre: r.DataCentre, Replica: r.ID})
		})
		s.mu.Unlock()
	}
	return list
}

// Run evaluates which data centres can be reached until ctx ends.
func (f *Forwarder) Run(ctx context.Context) { f.reach.run(ctx) }

// Isolated reports whether this node reaches no other data centre, or too few of them to
// answer requests.
func (f *Forwarder) Isolated() bool { return f.reach.current.Load().Isolated }

// SuspectIsolation records that another node of this data centre is isolated. This node then
// probes the data centres from which it has no recent answer.
func (f *Forwarder) SuspectIsolation() { f.reach.suspect() }
