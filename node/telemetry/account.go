package telemetry

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

const (
	// maxAccountLabels bounds the accounts with counters of their own.
	maxAccountLabels = 100
	// otherAccounts is the label of all further accounts.
	otherAccounts = "_others_"
)

type accountKey struct{ account, outcome string }

// accountCounters holds the counters of client accounts.
type accountCounters struct {
	// mu guards the fields below.
	mu       sync.Mutex
	counters map[accountKey]tally.Counter
	labels   map[string]bool
}

// AccountRequest counts a request of a client account by its outcome. The first accounts have
// counters of their own; the others share one.
func (m *Metrics) AccountRequest(account, outcome string) {
	a := &m.accounts
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.labels[account]:
	case len(a.labels) >= maxAccountLabels:
		account = otherAccounts
	default:
		a.labels[account] = true
	}
	key := accountKey{account, outcome}
	c := a.counters[key]
	if c == nil {
		c = m.scope.Tagged(map[string]string{"account": account, "outcome": outcome}).Counter("account_requests_total")
		a.counters[key] = c
	}
	c.Inc(1)
}
