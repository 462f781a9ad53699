package quarantine_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/quarantine"
)

// message is an exchange of records on its way, or the answer to one. The ages of its crashes
// and answers are those at the time of sending, as between nodes.
type message struct {
	from, to    int
	at, transit time.Duration
	request     bool
	records     []quarantine.Record
}

// pushPeers is the number of nodes that receive a change at once.
const pushPeers = 16

// slowNode is a node whose messages take 100 times as long as those of the others.
const slowNode = 25

// exchangeFleet is a fleet of nodes that exchange the records of their tables.
type exchangeFleet struct {
	rng    *rand.Rand
	tables []*quarantine.Table
	// pending is sorted by time.
	pending []message
	// lastChange is the time of the last change that a message caused, or the end of the run if
	// there was no end of messages.
	lastChange time.Duration
}

// push sends the records of a node to pushPeers others.
func (x *exchangeFleet) push(now time.Duration, from int) {
	for _, to := range x.rng.Perm(len(x.tables))[:pushPeers] {
		x.send(now, from, to, true)
	}
}

func (x *exchangeFleet) send(now time.Duration, from, to int, request bool) {
	records := x.tables[from].Newest(epoch.Add(now), quarantine.MaxRecords)
	if to == from || len(records) == 0 && !request {
		return
	}
	transit := ms + time.Duration(x.rng.Int64N(int64(2*ms)))
	if from == slowNode {
		transit *= 100
	}
	m := message{from: from, to: to, at: now + transit, transit: transit, request: request, records: records}
	i, _ := slices.BinarySearchFunc(x.pending, m.at, func(m message, at time.Duration) int { return cmp.Compare(m.at, at) })
	x.pending = slices.Insert(x.pending, i, m)
}

// deliver merges the records of a message, which seem later by its transit, and answers a
// request.
func (x *exchangeFleet) deliver(m message) {
	records := make([]quarantine.Record, len(m.records))
	for i, r := range m.records {
		records[i] = quarantine.Record{Fingerprint: r.Fingerprint, Crashes: slices.Clone(r.Crashes), Answers: slices.Clone(r.Answers)}
		for c := range r.Crashes {
			records[i].Crashes[c].At = r.Crashes[c].At.Add(m.transit)
		}
		for a := range r.Answers {
			records[i].Answers[a].At = r.Answers[a].At.Add(m.transit)
		}
	}
	merged := x.tables[m.to].Merge(epoch.Add(m.at), records)
	if m.request {
		x.send(m.at, m.to, m.from, false)
	}
	if len(merged.Changed) > 0 {
		x.lastChange = m.at
		x.push(m.at, m.to)
	}
}

// run delivers the messages up to a time. Each node exchanges its records with one other once
// a second.
func (x *exchangeFleet) run(until time.Duration) {
	const interval, maxMessages = time.Second, 50_000
	next := interval
	for range maxMessages {
		for next < until && (len(x.pending) == 0 || x.pending[0].at > next) {
			for from := range x.tables {
				x.send(next, from, x.rng.IntN(len(x.tables)), true)
			}
			next += interval
		}
		if len(x.pending) == 0 || x.pending[0].at > until {
			return
		}
		m := x.pending[0]
		x.pending = x.pending[1:]
		x.deliver(m)
	}
	x.lastChange = until
}

// Guards against nodes that exchange the crash of a replica and the answer that refutes it
// without end: a node whose list of answers is full of later ones does not keep that answer,
// and accepts the crash again from the next node.
func TestRefutedCrashIsNotExchangedAgain(t *testing.T) {
	const nodes, services = 26, 36
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		x := &exchangeFleet{rng: rng}
		for range nodes {
			x.tables = append(x.tables, quarantine.New(rng))
		}
		x.tables[0].RecordCrash(epoch, request(1), quarantine.Crash{Replica: 1, Service: 0, At: epoch})
		x.push(0, 0)
		x.run(100 * ms)
		// Each node runs the request again. Half of them get the answers of the service whose
		// replica crashed, and the others only answers of other services, which are later.
		for i, table := range x.tables {
			first, at := uint64(0), 100*ms
			if i%2 == 1 {
				first, at = quarantine.MaxCrashes, 120*ms
			}
			for n := first; n < min(first+quarantine.MaxCrashes, services); n++ {
				if table.RecordAnswer(epoch.Add(at), request(1), n) {
					x.push(at, i)
				}
			}
		}
		x.run(10 * time.Second)
		qt.New(t).Check(x.lastChange < 5*time.Second, qt.IsTrue, qt.Commentf("seed %d: last change after %v", seed, x.lastChange))
	}
}
