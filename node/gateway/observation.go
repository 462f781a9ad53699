package gateway

import (
	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/node/observation"
	"github.com/carobmill/carobmill/node/relay"
	"github.com/carobmill/carobmill/policy/coordinator"
	policyobservation "github.com/carobmill/carobmill/policy/observation"
)

// buildExchange builds the exchange of observations of replicas within the data centre.
func (g *Gateway) buildExchange(self coordinator.Member) {
	g.metrics.AddGaugeSource(g.reportObservations)
	g.exchange = observation.New(observation.Options{
		Self:      self,
		Boot:      g.boot,
		Peers:     relay.NewObservationClient(g.peers),
		Fleet:     g.directory.Fleet,
		Available: func() bool { return g.directory.Synced() && !g.stopping() },
		Isolated:  func() bool { return g.forwarder.Isolated() },
		Always:    g.settings.GetForwarding().GetShareObservations(),
		Apply:     func(list []policyobservation.Observation) { g.forwarder.ApplyObservations(list) },
		Log:       g.log,
		Event:     g.recordEvent,
	})
}

// dataCentres returns the data centre of each replica of a view by ID.
func dataCentres(v *directory.View) map[string]string {
	byID := make(map[string]string)
	for _, replicas := range v.Replicas {
		for _, r := range replicas {
			byID[r.ID] = r.DataCentre
		}
	}
	return byID
}

// observationStatus returns the collector and the state of the exchange of observations; empty
// while there is none.
func (g *Gateway) observationStatus() (collector string, status *pb.ObservationStatus) {
	s := g.exchange.Stats()
	if !s.Active {
		return "", nil
	}
	return s.Collector, &pb.ObservationStatus{
		Exchanges: s.Exchanges, Failures: s.Failures, Sent: s.Sent, Received: s.Received, Used: s.Used,
		AgeUs: uint64(s.Age.Microseconds()), Distrusted: !s.Trusted, Rejected: s.Rejected,
	}
}

// reportObservations sets the gauges of the exchange of observations.
func (g *Gateway) reportObservations(set func(name string, value float64)) {
	s := g.exchange.Stats()
	set("observation_exchanges", float64(s.Exchanges))
	set("observation_exchange_failures", float64(s.Failures))
	set("observation_exchange_bytes", float64(s.Bytes))
	set("observations_sent", float64(s.Sent))
	set("observations_received", float64(s.Received))
	set("observations_used", float64(s.Used))
	set("observations_dropped_unknown", float64(s.Unknown))
	set("observations_dropped_old", float64(s.Old))
	set("observations_dropped_superseded", float64(s.Superseded))
	set("observations_dropped_distrusted", float64(s.Distrusted))
	set("observations_rejected", float64(s.Rejected))
	set("observation_age_seconds", s.Age.Seconds())
}
