package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/carobmill/carobmill/node/work"
)

// bytesPerSecond sleeps for d and returns the marshalled bytes that a node sends
// and receives per second.
func (c *cluster) bytesPerSecond(nodes int, d time.Duration) float64 {
	c.mu.Lock()
	before := c.bytes
	c.mu.Unlock()
	time.Sleep(d)
	c.mu.Lock()
	defer c.mu.Unlock()
	return 2 * float64(c.bytes-before) / float64(nodes) / d.Seconds()
}

// The loops of this package must send and receive less than 4 KB per second per
// node: without changes, with a configuration change every 94 s (920 per day), and
// while cold replicas are claimed.
func TestControlTrafficIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		nodes, _, _ := startWithColdReplica(t, c)
		time.Sleep(time.Minute)
		baseline := c.bytesPerSecond(8, time.Minute)
		c.publish(testConfiguration(2))
		changed := c.bytesPerSecond(8, 94*time.Second)
		ctx := t.Context()
		queryingDone := make(chan struct{})
		go func() {
			defer close(queryingDone)
			for start := time.Now(); time.Since(start) < 65*time.Second && work.Sleep(ctx, 100*time.Millisecond); {
				for _, n := range nodes {
					n.MayUseCold(n.Index().Replicas["r-"+n.dc])
				}
			}
		}()
		claiming := c.bytesPerSecond(8, time.Minute)
		<-queryingDone
		t.Logf("without changes %.0f B/s, with a change every 94 s %.0f B/s, with one cold replica in each data centre %.0f B/s",
			baseline, changed, claiming)
		if baseline > 4096 || changed > 4096 || claiming > 4096 {
			t.Fatal("more than 4 KB per second")
		}
	})
}
