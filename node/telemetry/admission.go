package telemetry

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// maxPriorityLabel bounds the priorities with counters of their own.
	maxPriorityLabel = 9
	// maxServiceLabels bounds the services with gauges of their own.
	maxServiceLabels = 100
	// noAccount is the label of requests without an account.
	noAccount = "_none_"
	// admitted is the cause of a request that was not refused.
	admitted = "none"
)

type admissionKey struct{ priority, account, decision string }

// admissionMetrics holds the metrics of admission by priority and account.
type admissionMetrics struct {
	// mu guards the fields below.
	mu        sync.Mutex
	decisions map[admissionKey]tally.Counter
	accounts  labels
	waits     map[string]tally.Histogram
	services  map[string][2]tally.Gauge
}

// labels bounds the values of a label.
type labels map[string]bool

// bounded returns the value, or otherAccounts once there are too many.
func (l labels) bounded(value string, limit int) string {
	if l[value] {
		return value
	}
	if len(l) >= limit {
		return otherAccounts
	}
	l[value] = true
	return value
}

// Admission counts a decision about a request by its priority and account. decision is "none"
// for an admitted request, else the cause of the refusal. The first accounts have counters of
// their own; the others share one.
func (m *Metrics) Admission(priority int, account, decision string, waited time.Duration) {
	level := otherAccounts
	if priority >= 0 && priority <= maxPriorityLabel {
		level = strconv.Itoa(priority)
	}
	if account == "" {
		account = noAccount
	}
	switch {
	case decision != admitted:
	case waited > 0:
		decision = "waited"
	default:
		decision = "at_once"
	}
	a := &m.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	if account != noAccount {
		account = a.accounts.bounded(account, maxAccountLabels)
	}
	key := admissionKey{level, account, decision}
	c := a.decisions[key]
	if c == nil {
		c = m.scope.Tagged(map[string]string{"priority": level, "account": account, "decision": decision}).Counter("admission_total")
		a.decisions[key] = c
	}
	c.Inc(1)
	if waited <= 0 {
		return
	}
	h := a.waits[level]
	if h == nil {
		h = m.scope.Tagged(map[string]string{"priority": level}).Histogram("admission_wait_seconds", latencyBuckets)
		a.waits[level] = h
	}
	h.RecordDuration(waited)
}

// ServiceRoom sets the gauges of a service's room: the further requests that it accepts from
// this node, and all places of this node there. Services beyond the first ones have none.
func (m *Metrics) ServiceRoom(service string, free, places int) {
	a := &m.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	gauges, ok := a.services[service]
	if !ok {
		if len(a.services) >= maxServiceLabels {
			return
		}
		scope := m.scope.Tagged(map[string]string{"service": service})
		gauges = [2]tally.Gauge{scope.Gauge("service_room"), scope.Gauge("service_places")}
		a.services[service] = gauges
	}
	gauges[0].Update(float64(free))
	gauges[1].Update(float64(places))
}
