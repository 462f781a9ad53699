package gather_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/gather"
)

// When processors are busy, answers must leave early enough to arrive within the objective.
func TestAnswersOfABusyNodeArriveInTime(t *testing.T) {
	c := qt.New(t)
	const objective, transit = 120 * ms, 12 * ms
	rng := rand.New(rand.NewPCG(3, 4))
	var delay gather.DeliveryDelay
	for _, load := range []struct{ least, spread time.Duration }{{1 * ms, 1 * ms}, {3 * ms, 10 * ms}, {1 * ms, 1 * ms}} {
		late, early := 0, time.Duration(0)
		const answers = 400
		for i := range answers {
			due := gather.AnswerDeadline(objective, transit+delay.Estimate())
			took := load.least + time.Duration(rng.Int64N(int64(load.spread)))
			delay.Observe(took)
			if i < answers/2 {
				continue
			}
			if due+took+transit > objective {
				late++
			}
			early += objective - transit - took - due
		}
		c.Check(late*10 <= answers/2, qt.IsTrue, qt.Commentf("%d of %d answers are late at load %v", late, answers/2, load))
		mean := early / (answers / 2)
		c.Check(mean < load.spread, qt.IsTrue, qt.Commentf("answers are returned %v too early at load %v", mean, load))
	}
}

// A long delay or a faulty message must leave time for the gather.
func TestReserveIsBounded(t *testing.T) {
	c := qt.New(t)
	var delay gather.DeliveryDelay
	for range 100 {
		delay.Observe(time.Hour)
	}
	c.Assert(delay.Estimate() <= 25*ms, qt.IsTrue)
	c.Assert(gather.AnswerDeadline(100*ms, time.Hour), qt.Equals, 60*ms)
	c.Assert(gather.AnswerDeadline(100*ms, 0), qt.Equals, 88*ms)
	c.Assert(gather.AnswerDeadline(0, 20*ms), qt.Equals, time.Duration(0))
}

// Guards against answers that are returned at the objective and reach their callers after it,
// because the signatures of many shards take milliseconds on a slow link.
func TestLargeAnswersArriveInTimeOverSlowLinks(t *testing.T) {
	c := qt.New(t)
	const objective, transit = 60 * ms, 15 * ms
	for _, test := range []struct {
		shards int
		mbps   float64
	}{{10, 1000}, {90, 20}, {135, 20}, {270, 20}} {
		signatures := make([]string, test.shards)
		for i := range signatures {
			signatures[i] = "3e1b.07.5a2.600.0.c9f2a4d1.6f3e8a12"
		}
		size := 500
		for _, signature := range signatures {
			size += len(signature) + 2
		}
		onLink := time.Duration(float64(size) * 8 / (test.mbps * 1e6) * float64(time.Second))
		var answers gather.AnswerSize
		for range 20 {
			answers.Observe(320, signatures)
		}
		reserve := transit + answers.TransferTime(test.mbps*1e6/8)
		arrives := gather.AnswerDeadline(objective, reserve) + transit + onLink
		c.Check(arrives <= objective, qt.IsTrue, qt.Commentf("%+v: arrives at %v", test, arrives))
		c.Check(arrives > objective-ms, qt.IsTrue, qt.Commentf("%+v: arrives at %v", test, arrives))
	}
	var unknown gather.AnswerSize
	c.Assert(unknown.TransferTime(1e6), qt.Equals, time.Duration(0))
}
