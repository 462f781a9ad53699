package intake_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/intake"
)

// start is the virtual time at which the tests begin.
var start = time.Unix(1000, 0)

// ledger opens connections by name.
type ledger struct {
	*qt.C
	*intake.Ledger
}

func newLedger(t *testing.T, l intake.Limits) *ledger {
	return &ledger{C: qt.New(t), Ledger: intake.NewLedger(l)}
}

func (l *ledger) open(name string, now time.Time) *intake.Holder {
	h, _, ok := l.Open(now, name)
	l.Assert(ok, qt.IsTrue)
	return h
}

// evictedBy opens a connection and returns the name of the one that was closed for it.
func (l *ledger) evictedBy(now time.Time) string {
	_, evicted, ok := l.Open(now, "new")
	l.Assert(ok, qt.IsTrue)
	if evicted == nil {
		return ""
	}
	l.Assert(evicted.Evicted(), qt.IsTrue)
	return evicted.Owner.(string)
}

// Guards against a crowd of connections that keeps out ordinary callers.
func TestNewConnectionReplacesOneThatWaitsForItsCaller(t *testing.T) {
	l := newLedger(t, intake.Limits{Connections: 5})
	served := l.open("served", start)
	l.SetPhase(served, intake.Serving, start)
	idle := l.open("idle", start)
	l.SetPhase(idle, intake.Idle, start)
	l.open("stalled", start.Add(time.Second))
	unread := l.open("unread", start)
	l.SetPhase(unread, intake.Sending, start.Add(time.Second))
	l.open("recent", start.Add(2*time.Second))
	now := start.Add(2500 * time.Millisecond)
	l.Check(l.evictedBy(now), qt.Equals, "stalled")
	l.Check(l.evictedBy(now), qt.Equals, "unread")
	l.Check(l.evictedBy(now), qt.Equals, "idle")
	l.Check(l.evictedBy(now), qt.Equals, "recent")
	l.Check(l.Counts().Connections, qt.Equals, 5)
}

// Guards against a complete request that is interrupted for a new connection.
func TestServedRequestKeepsItsConnection(t *testing.T) {
	l := newLedger(t, intake.Limits{Connections: 1})
	h := l.open("served", start)
	l.SetPhase(h, intake.Serving, start)
	_, _, ok := l.Open(start.Add(time.Hour), "new")
	l.Check(ok, qt.IsFalse)
	l.Check(h.Evicted(), qt.IsFalse)
	l.Check(l.Counts().Refused, qt.Equals, uint64(1))
	l.Close(h)
	l.open("next", start.Add(time.Hour))
}

const large = 256 << 10

// fill opens connections that hold all memory that large requests may use.
func (l *ledger) fill(now time.Time) (holders []*intake.Holder) {
	for {
		h := l.open("large", now)
		if _, ok := l.Take(h, large, now); !ok {
			l.Close(h)
			return holders
		}
		holders = append(holders, h)
	}
}

// Guards against large requests that leave no memory to ordinary ones.
func TestOrdinaryRequestHasRoomBesideLargeOnes(t *testing.T) {
	l := newLedger(t, intake.Limits{Memory: 16 * megabyte})
	l.Assert(len(l.fill(start)) > 0, qt.IsTrue)
	h := l.open("ordinary", start)
	evicted, ok := l.Take(h, intake.OrdinaryRequest, start)
	l.Check(ok, qt.IsTrue)
	l.Check(evicted, qt.HasLen, 0)
	_, ok = l.Take(h, large, start)
	l.Check(ok, qt.IsFalse)
}

// Guards against bodies without end that keep out other large requests.
func TestStalledRequestsGiveWayToOthers(t *testing.T) {
	l := newLedger(t, intake.Limits{Memory: 16 * megabyte})
	silent := l.open("silent", start)
	holders := l.fill(start)
	served := holders[0]
	l.SetPhase(served, intake.Serving, start)
	now := start.Add(2 * time.Second)
	h := l.open("next", now)
	evicted, ok := l.Take(h, large, now)
	l.Assert(ok, qt.IsTrue)
	l.Assert(evicted, qt.HasLen, 1)
	l.Check(evicted[0], qt.Equals, holders[1])
	l.Check(silent.Evicted(), qt.IsFalse)
	l.Check(served.Evicted(), qt.IsFalse)
	_, ok = l.Take(evicted[0], 1, now)
	l.Check(ok, qt.IsFalse)
	l.Check(l.SetPhase(evicted[0], intake.Serving, now), qt.IsFalse)
}

// Guards against simultaneous uploads that reject each other, so that none finishes.
func TestRecentRequestsAreNotRejectedForOthers(t *testing.T) {
	l := newLedger(t, intake.Limits{Memory: 16 * megabyte})
	holders := l.fill(start)
	h := l.open("next", start.Add(time.Second/2))
	_, ok := l.Take(h, large, start.Add(time.Second/2))
	l.Check(ok, qt.IsFalse)
	for _, h := range holders {
		l.Check(h.Evicted(), qt.IsFalse)
	}
}

// Guards against a crowd that stalls with large bodies, in which ordinary callers fail.
func TestOrdinaryCallersAreServedBesideStalledCrowd(t *testing.T) {
	l := newLedger(t, intake.Limits{Memory: 16 * megabyte, Connections: 200})
	rng := rand.New(rand.NewPCG(1, 1))
	refused := 0
	for step := range 10000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		if h, _, ok := l.Open(now, "crowd"); ok {
			l.Take(h, rng.Int64N(large), now)
		}
		h, _, ok := l.Open(now, "ordinary")
		if ok {
			_, ok = l.Take(h, 8<<10, now)
		}
		if !ok || !l.SetPhase(h, intake.Serving, now) {
			refused++
			continue
		}
		l.Close(h)
	}
	l.Check(refused, qt.Equals, 0)
}

// Guards against memory that is counted twice or never released.
func TestLedgerCountsWhatItsHoldersHold(t *testing.T) {
	limits := intake.Limits{Memory: 8 * megabyte, Connections: 60}
	l := newLedger(t, limits)
	rng := rand.New(rand.NewPCG(2, 2))
	var open []*intake.Holder
	for step := range 20000 {
		now := start.Add(time.Duration(step) * 50 * time.Millisecond)
		switch n := rng.IntN(6); {
		case n == 0 || len(open) == 0:
			if h, _, ok := l.Open(now, step); ok {
				open = append(open, h)
			}
		case n == 1:
			k := rng.IntN(len(open))
			l.Close(open[k])
			open = append(open[:k], open[k+1:]...)
		case n == 2:
			l.Shrink(open[rng.IntN(len(open))], rng.Int64N(large))
		case n == 3:
			l.SetPhase(open[rng.IntN(len(open))], intake.Phase(rng.IntN(4)), now)
		default:
			l.Take(open[rng.IntN(len(open))], rng.Int64N(large), now)
		}
		held := int64(l.Counts().Connections) * intake.ConnectionCost
		for _, h := range open {
			held += h.Held()
		}
		l.Assert(l.Counts().Memory, qt.Equals, held, qt.Commentf("step %d", step))
		l.Assert(held <= limits.Memory, qt.IsTrue)
		l.Assert(l.Counts().Connections <= limits.Connections, qt.IsTrue)
	}
	for _, h := range open {
		l.Close(h)
		l.Close(h)
	}
	l.Check(l.Counts().Memory, qt.Equals, int64(0))
	l.Check(l.Counts().Connections, qt.Equals, 0)
}

// Guards against memory of a request that is taken after its end, and never released.
func TestClosedHolderTakesNoMemory(t *testing.T) {
	l := newLedger(t, intake.Limits{})
	for _, h := range []*intake.Holder{l.open("closed", start), l.OpenRequest()} {
		l.Close(h)
		_, ok := l.Take(h, 1, start)
		l.Check(ok, qt.IsFalse)
		l.Check(l.SetPhase(h, intake.Receiving, start), qt.IsFalse)
		l.Check(h.Held(), qt.Equals, int64(0))
		l.Check(h.Evicted(), qt.IsFalse)
	}
	l.Check(l.Counts().Memory, qt.Equals, int64(0))
}
