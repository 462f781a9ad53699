package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// measureColdStart starts count nodes evenly over data centres a to d: four
// immediately and the others after gap. There is one cold replica per node, and
// requests may take 20 s. All owners call MayUseCold for their replicas every 100
// ms. The result is the time until each replica is used by its final user. The test
// fails if two nodes use a replica within a second.
func measureColdStart(t *testing.T, c *cluster, count int, gap time.Duration) time.Duration {
	conf := testConfiguration(1)
	conf.Sheet.Services[0].MaxDeadlineMs = 20_000
	shard := conf.Sheet.Services[0].Generations[0].Shards[0]
	shard.Replicas = nil
	for i := range count {
		shard.Replicas = append(shard.Replicas, &pb.Replica{
			Name: fmt.Sprint("r-", i), DataCentre: string(rune('a' + i%4)), Address: fmt.Sprint("127.0.0.1:", i+1),
		})
	}
	c.publish(conf)
	var nodes []*testNode
	users := make(map[string]*testNode)
	used := make(map[string]time.Time)
	var lastChange time.Duration
	const stablePeriod = 5 * time.Second
	for start := time.Now(); time.Since(start) < 30*time.Second; time.Sleep(100 * time.Millisecond) {
		inUse := 0
		for _, at := range used {
			if time.Since(at) < stablePeriod/10 {
				inUse++
			}
		}
		if inUse == count && time.Since(start) > gap+lastChange+stablePeriod {
			break
		}
		for i := len(nodes); i < count && (i < 4 || time.Since(start) >= gap); i++ {
			nodes = append(nodes, c.start(fmt.Sprint(i), string(rune('a'+i%4)), "10.0.0.0", "10.0.0.1"))
		}
		for _, n := range nodes {
			for name, r := range n.replicas() {
				if !n.owns(r) || !n.MayUseCold(r) {
					continue
				}
				if users[name] != n {
					lastChange = time.Since(start)
					if time.Since(used[name]) < time.Second {
						t.Fatalf("%s is used by two nodes", name)
					}
				}
				users[name], used[name] = n, time.Now()
			}
		}
	}
	if len(users) != count {
		t.Fatalf("%d of %d replicas were used", len(users), count)
	}
	return lastChange
}

// Nodes that start together claim cold replicas, and grant claims, before they have
// records of all higher-ranked nodes. Consents of such claims must be released.
// Otherwise the replicas would stay unused until the grants expire after 23 s.
func TestConsentsOfSimultaneousStartAreReleased(t *testing.T) {
	for _, tc := range []struct {
		nodes       int
		gap, within time.Duration
	}{
		{8, 0, time.Second},
		{8, 3 * time.Second, 6 * time.Second},
		{64, 0, joinPropagation + time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			took := measureColdStart(t, c, tc.nodes, tc.gap)
			c.mu.Lock()
			defer c.mu.Unlock()
			t.Logf("%d nodes, gap %v: all replicas used by their final users after %v, %d B per node, %d releases",
				tc.nodes, tc.gap, took, c.bytes/tc.nodes, c.releases)
			if took > tc.within {
				t.Fatal("replicas were unused for too long")
			}
		})
	}
}
