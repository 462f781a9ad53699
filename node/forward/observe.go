package forward

import (
	"time"

	"github.com/carobmill/carobmill/policy/load"
	"github.com/carobmill/carobmill/policy/observation"
	"github.com/carobmill/carobmill/policy/upstream"
)

// Observer receives what this node observes of replicas.
type Observer interface {
	Sent(id string)
	Ended(id string, outcome observation.Outcome, report load.Report, age time.Duration)
	// Reported receives the report of an answer to an attempt of another node.
	Reported(id string, report load.Report, age time.Duration)
}

// noObserver ignores observations.
type noObserver struct{}

func (noObserver) Sent(string)                                                   {}
func (noObserver) Ended(string, observation.Outcome, load.Report, time.Duration) {}
func (noObserver) Reported(string, load.Report, time.Duration)                   {}

// observedOutcome returns how an attempt ended for the exchange of observations.
func observedOutcome(r upstream.Result) observation.Outcome {
	switch r {
	case upstream.Answered:
		return observation.Answered
	case upstream.Refused, upstream.Failed, upstream.ConnectionLost, upstream.Unreachable:
		return observation.Refused
	}
	return observation.Unanswered
}

// ApplyObservations passes what other nodes have observed to the balancers.
func (f *Forwarder) ApplyObservations(list []observation.Observation) {
	replicas := f.replicas.Load()
	if replicas == nil {
		return
	}
	now := time.Now()
	for i := range list {
		o := &list[i]
		r := (*replicas)[o.Replica]
		if r == nil {
			continue
		}
		s := f.service(r.Service)
		s.mu.Lock()
		if o.Load.Known() {
			s.observeLoad(now, o.Replica, o.Load, now.Sub(o.LoadAt))
		}
		if o.Attempts > 0 || o.Silent > 0 {
			s.balancer.Observe(o.Replica, upstream.Observed{
				Failures: o.FailureShare(), Attempts: o.Attempts, Silent: o.Silent, At: o.At,
			})
		}
		s.mu.Unlock()
	}
}
