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
	// reachInterval is how often it is judged which data centres are out of reach,
	// and probes are sent.
	reachInterval = 200 * time.Millisecond
	// probeTimeout bounds a probe; a connection inside a region takes two
	// milliseconds.
	probeTimeout = 150 * time.Millisecond
	// silentAfter is the age from which an attempt that nobody waits for any more
	// tells that its replica was silent.
	silentAfter = 200 * time.Millisecond
)

// reachability evaluates which data centres can be reached. A node that reaches no other one
// reports itself unready, so that the balancer sends its callers to nodes that can serve
// them; it refuses at once those that still come.
type reachability struct {
	backend *backend.Client
	log     logrus.FieldLogger
	// judged is what requests go by.
	judged atomic.Pointer[reach.Reachability]
	// waiting returns the attempts that have been out for longer than an age.
	waiting func(now time.Time, age time.Duration) []reach.PendingAttempt
	// last is when it was judged last; only run uses it.
	last time.Time

	// mu guards the fields below.
	mu       sync.Mutex
	tracker  *reach.Tracker
	replicas map[string][]*registry.Replica
	view     *directory.View
}

func newReachability(own string, client *backend.Client, log logrus.FieldLogger) *reachability {
	r := &reachability{backend: client, log: log, tracker: reach.New(own)}
	r.judged.Store(&reach.Reachability{})
	return r
}

// keep takes the data centres of a new view.
func (r *reachability) keep(v *directory.View) {
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

// note takes the end of an attempt.
func (r *reachability) note(replica *registry.Replica, reply *backend.ForwardReply) {
	answered := reply.Status != 0 || reply.Reason == pb.Reason_REASON_MISMATCH
	if ofNeighbour(reply) {
		return
	}
	abandoned := reply.Reason == pb.Reason_REASON_CANCELLED || reply.Reason == pb.Reason_REASON_DEADLINE
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case answered:
		r.tracker.RecordAnswer(time.Now(), replica.DataCentre)
	case abandoned && reply.Took < silentAfter:
		// It may have been about to answer.
	default:
		r.tracker.RecordNoAnswer(replica.DataCentre, replica.ID)
	}
}

// out returns the data centres that are out of reach.
func (r *reachability) out() map[string]bool { return r.judged.Load().Unreachable }

// run judges until ctx ends.
func (r *reachability) run(ctx context.Context) {
	ticker := time.NewTicker(reachInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, p := range r.judge() {
			go r.probe(ctx, p)
		}
	}
}

// probesEach is how many replicas of a data centre are probed in one round. One that is
// down must not stand for its data centre.
const probesEach = 2

// judge publishes a new evaluation and returns the replicas to probe. A round that comes late
// evaluates nothing: after a pause of the process every attempt looks old although its
// answer may be in the socket.
func (r *reachability) judge() []*registry.Replica {
	now := time.Now()
	late := now.Sub(r.last) > 2*reachInterval
	r.last = now
	if late {
		return nil
	}
	waiting := r.waiting(now, silentAfter)
	r.mu.Lock()
	next := r.tracker.Evaluate(now, waiting, r.sufficient)
	var probes []*registry.Replica
	for _, name := range next.Probe {
		probes = append(probes, sample(r.replicas[name], probesEach)...)
	}
	r.mu.Unlock()
	previous := r.judged.Swap(&next)
	if previous.Isolated != next.Isolated || !maps.Equal(previous.Unreachable, next.Unreachable) {
		r.log.WithFields(logrus.Fields{
			"out_of_reach": strings.Join(slices.Sorted(maps.Keys(next.Unreachable)), ","), "isolated": next.Isolated,
		}).Warn("the data centres in reach have changed")
	}
	return probes
}

// sufficient reports whether gathered requests can be answered without the given data
// centres. r.mu is held.
func (r *reachability) sufficient(out map[string]bool) bool {
	if r.view == nil {
		return true
	}
	return r.view.Index.CanGather(func(service string) bool {
		return slices.ContainsFunc(r.view.Replicas[service], func(replica *registry.Replica) bool {
			return !out[replica.DataCentre]
		})
	})
}

// sample returns up to n of the replicas.
func sample(replicas []*registry.Replica, n int) []*registry.Replica {
	picked := make([]*registry.Replica, 0, n)
	for _, i := range rand.Perm(len(replicas))[:min(n, len(replicas))] {
		picked = append(picked, replicas[i])
	}
	return picked
}

// probe opens a connection to a replica, to see whether its data centre is in reach.
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

// waiting returns the attempts of all services that have been out for longer than age.
func (f *Forwarder) waiting(now time.Time, age time.Duration) []reach.PendingAttempt {
	f.mu.Lock()
	services := slices.Collect(maps.Values(f.services))
	f.mu.Unlock()
	var list []reach.PendingAttempt
	for _, s := range services {
		s.mu.Lock()
		s.set.ForEachPending(now, age, func(r *registry.Replica) {
			list = append(list, reach.PendingAttempt{DataCentre: r.DataCentre, Replica: r.ID})
		})
		s.mu.Unlock()
	}
	return list
}

// Run keeps judging which data centres are in reach until ctx ends.
func (f *Forwarder) Run(ctx context.Context) { f.reach.run(ctx) }

// Isolated reports whether no other data centre is in reach.
func (f *Forwarder) Isolated() bool { return f.reach.judged.Load().Isolated }
