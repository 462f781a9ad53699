package forward

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/load"
	"github.com/carobmill/carobmill/policy/registry"
	"github.com/carobmill/carobmill/policy/upstream"
)

// observeBatchLoad passes the load report of an attempt that this node has sent for another
// one to the balancer. The other node counts the attempt itself.
func (f *Forwarder) observeBatchLoad(to *registry.Replica, reply *backend.ForwardReply) {
	f.logLoadFault(to, reply)
	if !reply.Metadata.Load.Known() || reply.Metadata.OtherReplica {
		return
	}
	now := time.Now()
	f.opts.Observer.Reported(to.ID, reply.Metadata.Load, now.Sub(reply.LoadAt))
	s := f.service(to.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeLoad(now, to.ID, reply.Metadata.Load, now.Sub(reply.LoadAt))
}

// observeLoad applies a load report that another node has received. s.mu is held.
func (s *service) observeLoad(now time.Time, replica string, r load.Report, age time.Duration) {
	s.balancer.ObserveLoad(now, replica, r, age)
	if r.Paced() {
		s.paced.Store(true)
	}
}

// observePaces passes the expected paces of the replicas of outstanding attempts to the query,
// for its hedges. A later report than the attempt counts too.
func (q *exchange) observePaces() {
	if q.objective == 0 {
		return
	}
	now := time.Now()
	for i := range q.attempts {
		a := &q.attempts[i]
		s := q.services[a.shard]
		if a.ended || !s.paced.Load() {
			continue
		}
		s.mu.Lock()
		pace := s.balancer.Pace(now, a.state)
		s.mu.Unlock()
		q.query.ObservePace(a.shard, pace)
	}
}

// ReportLoad passes the ages of the newest load reports and their effect to a metrics source.
func (f *Forwarder) ReportLoad(set func(name string, value float64)) {
	f.mu.Lock()
	services := slices.Collect(maps.Values(f.services))
	f.mu.Unlock()
	now := time.Now()
	var total upstream.LoadCounts
	for _, s := range services {
		s.mu.Lock()
		total.Add(s.balancer.CountLoads(now))
		s.mu.Unlock()
	}
	set("load_reports_under_300ms", float64(total.Fresh))
	set("load_reports_under_2s", float64(total.Recent))
	set("load_reports_older", float64(total.Old))
	set("load_replicas_slow", float64(total.Slow))
	set("load_confirmed_share", f.trust.Confirmed())
}

// logLoadFault logs a load report that is not valid.
func (f *Forwarder) logLoadFault(to *registry.Replica, reply *backend.ForwardReply) {
	if reply.Metadata.LoadFault == "" || !f.loadLogLimiter.Allow(time.Now(), false) {
		return
	}
	f.opts.Log.WithFields(logrus.Fields{
		"service": to.Service, "replica": to.ID, "report": reply.Metadata.LoadFault,
	}).Warn("load report ignored: not valid")
}
