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

// noticed is after how long without an answer no fee is entrusted to a connection.
const noticed = 150 * time.Millisecond

// sentFee is a fee and when it was sent.
type sentFee struct {
	n       int
	at      time.Time
	outcome query.Outcome
	reason  string
}

// payFees sends fees without keys at every node until stop is closed.
func (w *writes) payFees(stop <-chan struct{}) []sentFee {
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

// The link between the two data centres is cut for half a second, which members
// hardly notice, and every connection that was in use over it stays silent for
// good. Callers who pay fees without keys cannot repeat them, so "unknown" is the
// worst answer: only fees that were on their way at the cut may get it.
func TestSilentPeerConnectionsCauseNoLateUnknown(t *testing.T) {
	virtualWrites(t, desk(), func(t *testing.T, w *writes) {
		stop := make(chan struct{})
		var sent []sentFee
		var paying sync.WaitGroup
		paying.Go(func() { sent = w.payFees(stop) })
		time.Sleep(time.Second)
		cut := time.Now()
		w.d.Network.Cut("nairobi", "nakuru")
		time.Sleep(500 * time.Millisecond)
		w.d.Network.Restore("nairobi", "nakuru")
		time.Sleep(6 * time.Second)
		close(stop)
		paying.Wait()

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
				if f.at.Sub(cut) > noticed {
					late++
				}
			}
		}
		t.Logf("%d fees: %v", len(sent), outcomes)
		w.c.Check(late, qt.Equals, 0, qt.Commentf("unknown, though sent later than %v after the cut", noticed))
		w.c.Check(outcomes["complete "] > len(sent)*9/10, qt.IsTrue)
	})
}
