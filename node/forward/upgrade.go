package forward

import (
	"hash/fnv"
	"math"
	"net/http"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/policy/load"
	"github.com/carobmill/carobmill/policy/observation"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/upgrade"
	"github.com/carobmill/carobmill/policy/upstream"
)

// createOrdered creates the state of services with an order to carry out, and counts these.
func (f *Forwarder) createOrdered(v *directory.View) {
	active := 0
	for name, u := range v.Upgrades {
		if u.Active() {
			active++
			f.service(name)
		}
	}
	f.gates.Store(int64(active))
}

// updateGate creates the gate of a new order, and deletes that of one which has ended. s.mu is held.
func (f *Forwarder) updateGate(s *service, u directory.Upgrade) {
	switch {
	case !u.Active():
		s.gate = nil
	case s.gate == nil || s.gate.Order().Revision != u.Order.Revision:
		orderedAt := u.OrderedAt
		if orderedAt.IsZero() {
			orderedAt = time.Now()
		}
		s.gate = upgrade.NewGate(orderedAt, u.Order, f.opts.Exposure, f.roundingOffset(u.Order), u.Witnessed)
	}
}

// roundingOffset returns a number from 0 to 1 that is fixed for this node and an order.
func (f *Forwarder) roundingOffset(o upgrade.Order) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(f.opts.Node + "\x00" + o.Service + "\x00" + o.Version))
	return float64(h.Sum32()) / math.MaxUint32
}

// ApplyUpgrade applies a grant to the gate of its service and returns the gate's state. It
// returns false if this node does not know the order, or a later leader.
func (f *Forwarder) ApplyUpgrade(g upgrade.Grant) (upgrade.Report, bool) {
	f.mu.Lock()
	s := f.services[g.Service]
	f.mu.Unlock()
	if s == nil {
		return upgrade.Report{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.gate == nil || !s.gate.Apply(now, g) {
		return upgrade.Report{}, false
	}
	old := func(r *registry.Replica) bool { return !s.gate.IsNew(r) }
	return s.gate.Report(now, s.balancer.InFlight(old)), true
}

// UpgradeReport returns the state of a service's gate; false if it has none.
func (f *Forwarder) UpgradeReport(service string) (upgrade.Report, bool) {
	f.mu.Lock()
	s := f.services[service]
	f.mu.Unlock()
	if s == nil {
		return upgrade.Report{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gate == nil {
		return upgrade.Report{}, false
	}
	return s.gate.Report(time.Now(), 0), true
}

// pick selects a replica for an attempt. extra is set for all attempts of a shard other than
// its first. s.mu is held.
func (s *service) pick(now time.Time, request upstream.Request, extra bool, size float64) *upstream.State {
	if s.gate == nil {
		return s.balancer.Pick(now, request)
	}
	choice := s.gate.Choose(now, extra, size)
	toNew := choice.New
	request.Eligible = func(r *registry.Replica) bool { return s.gate.Eligible(r, toNew) }
	st := s.balancer.Pick(now, request)
	if st == nil && choice.New && choice.Fallback {
		toNew = false
		st = s.balancer.Pick(now, request)
	}
	return st
}

// recordSent records an attempt at a picked replica. s.mu is held.
func (s *service) recordSent(now time.Time, st *upstream.State, request upstream.Request, extra bool) uint64 {
	if s.gate != nil {
		s.gate.Sent(st.Replica, extra)
	}
	s.observer.Sent(st.Replica.ID)
	return s.balancer.RecordSent(now, st, request)
}

// undoSent takes back a recorded attempt that was not sent. s.mu is held.
func (s *service) undoSent(a *attempt) {
	if s.gate != nil {
		s.gate.Undo(a.replica, a.extra)
	}
	s.observer.Ended(a.replica.ID, observation.Unsent, load.Report{}, 0)
	s.balancer.UndoSent(a.state, a.handle)
}

// slowAfter is the multiple of the usual latency after which an attempt without an answer
// counts as slow in the comparison of versions.
const slowAfter = 3

// recordEnd records the end of an attempt. s.mu is held.
func (s *service) recordEnd(now time.Time, st *upstream.State, sample upstream.Sample, reply *backend.ForwardReply) {
	if s.gate != nil {
		failed := sample.Result == upstream.Failed && reply.Status >= http.StatusInternalServerError
		slow := sample.Result == upstream.Abandoned && sample.Took > slowAfter*s.balancer.BaselineLatency(sample.Class)
		s.gate.Ended(now, upgrade.Result{
			Route: sample.Class, Replica: st.Replica, Took: sample.Took,
			Answered: sample.Result == upstream.Answered || failed || slow, Failed: failed,
		})
	}
	outcome := observedOutcome(sample.Result)
	if isSenderFailure(reply) {
		outcome = observation.Unsent
	}
	s.observer.Ended(st.Replica.ID, outcome, sample.Load, sample.LoadAge)
	s.balancer.Done(now, st, sample)
	if sample.Load.Paced() {
		s.paced.Store(true)
	}
}

// upgradeForbids reports whether an upgrade excludes a replica that another node has chosen.
// That node may not know yet how far the upgrade is.
func (f *Forwarder) upgradeForbids(r *registry.Replica) bool {
	if f.gates.Load() == 0 {
		return false
	}
	s := f.service(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate != nil && s.gate.Forbids(r)
}

// refusedReply is the reply to an attempt that was not sent and that this node does not
// allow.
func refusedReply() backend.ForwardReply {
	return backend.ForwardReply{
		Status:   http.StatusServiceUnavailable,
		Metadata: backend.ReplyMetadata{NotRun: true},
		Evidence: pb.Evidence_EVIDENCE_NOT_RUN,
	}
}
