package fleet

import (
	"github.com/carobmill/carobmill/node/work"
	"testing"
	"testing/synctest"
	"time"
)

// bytesPerSecond lets time pass and returns the marshalled bytes that a node
// sends and receives a second.
func (w *world) bytesPerSecond(nodes int, d time.Duration) float64 {
	w.mu.Lock()
	before := w.bytes
	w.mu.Unlock()
	time.Sleep(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	return 2 * float64(w.bytes-before) / float64(nodes) / d.Seconds()
}

// All loops of this package together stay under 4 KB a second a node: quiet, with
// a change of configuration each 94 s (920 a day), and while cold replicas are
// claimed.
func TestControlTrafficIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		nodes, _, _ := coldWorld(t, w)
		time.Sleep(time.Minute)
		quiet := w.bytesPerSecond(8, time.Minute)
		w.publish(sheetOf(2))
		changed := w.bytesPerSecond(8, 94*time.Second)
		ctx := t.Context()
		asking := make(chan struct{})
		go func() {
			defer close(asking)
			for began := time.Now(); time.Since(began) < 65*time.Second && work.Sleep(ctx, 100*time.Millisecond); {
				for _, n := range nodes {
					n.MayUseCold(n.Index().Replicas["r-"+n.dc])
				}
			}
		}()
		claiming := w.bytesPerSecond(8, time.Minute)
		<-asking
		t.Logf("quiet %.0f B/s, with a change each 94 s %.0f B/s, with one cold replica in each data centre %.0f B/s",
			quiet, changed, claiming)
		if quiet > 4096 || changed > 4096 || claiming > 4096 {
			t.Fatal("over 4 KB a second")
		}
	})
}
