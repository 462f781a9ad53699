package scenario_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/carobmill/carobmill/policy/query"
)

// silenceDetectionTime is the time without an answer after which a connection must not be used
// for a fee.
const silenceDetectionTime = 150 * time.Millisecond

// sentFee is a sent fee with its result.
type sentFee struct {
	n       int
	at      time.Time
	outcome query.Outcome
	reason  string
}

// sendFees sends fees without keys to every node until stop is closed.
func (w *writeHarness) sendFees(stop <-chan struct{}) []sentFee {
	var (
		mu   sync.Mutex
		sent []sentFee
		next atomic.Int64
		wg   sync.WaitGroup
	)
	for caller := range 2 * len(w.d.Nodes) {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(300 * time.Millisecond):
				}
				f := sentFee{n: int(next.Add(1)), at: time.Now()}
				if a := w.send(caller%len(w.d.Nodes), f.n, ""); a != nil {
					f.outcome, f.reason = a.Outcome, a.Reason
				}
				mu.Lock()
				sent = append(sent, f)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return sent
}

// Guards against "unknown" answers to fees that are sent after a connection became silent. The
// link between the two data centres is cut for half a second, too short to change the
// membership, and the connections in use over the link stay silent. Callers cannot repeat fees
// without keys, so only fees in flight at the cut may be "unknown".
func TestSilentPeerConnectionsCauseNoLateUnknown(t *testing.T) {
	runWritesInVirtualTime(t, deskSheet(), func(t *testing.T, w *writeHarness) {
		stop := make(chan struct{})
		var sent []sentFee
		var sending sync.WaitGroup
		sending.Go(func() { sent = w.sendFees(stop) })
		time.Sleep(time.Second)
		cut := time.Now()
		w.d.Network.Cut("nairobi", "nakuru")
		time.Sleep(500 * time.Millisecond)
		w.d.Network.Restore("nairobi", "nakuru")
		time.Sleep(6 * time.Second)
		close(stop)
		sending.Wait()

		outcomes := make(map[string]int)
		late := 0
		for _, f := range sent {
			outcomes[fmt.Sprint(f.outcome, " ", f.reason)]++
			runs := w.runs(f.n)
			switch f.outcome {
			case query.Complete:
				w.c.Check(runs, qt.Equals, 1)
			case query.Refused:
				w.c.Check(runs, qt.Equals, 0)
			default:
				w.c.Check(runs <= 1, qt.IsTrue)
				if f.at.Sub(cut) > silenceDetectionTime {
					late++
				}
			}
		}
		t.Logf("%d fees: %v", len(sent), outcomes)
		w.c.Check(late, qt.Equals, 0, qt.Commentf("unknown fees that were sent more than %v after the cut", silenceDetectionTime))
		w.c.Check(outcomes["complete "] > len(sent)*9/10, qt.IsTrue)
	})
}
