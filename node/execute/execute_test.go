package execute_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/execute"
	"github.com/carobmill/carobmill/node/execute/simulation"
	"github.com/carobmill/carobmill/node/platform"
	"github.com/carobmill/carobmill/policy/dispatch"
)

const (
	unknown = pb.Evidence_EVIDENCE_UNKNOWN
	notRun  = pb.Evidence_EVIDENCE_NOT_RUN
	ran     = pb.Evidence_EVIDENCE_RAN
)

var (
	background = context.Background()
	// allSendsReset makes all permitted sends of one request fail before the write.
	allSendsReset = slices.Repeat([]simulation.SendBehaviour{simulation.ResetBeforeWrite}, dispatch.DefaultMaxSends)
)

// The connection to the backend server breaks before, during or after the write, or the
// owner's node fails. The request is sent again only after a break before the write,
// because it may have run after any written byte.
func TestBrokenConnectionNeverRunsRequestTwice(t *testing.T) {
	tests := map[string]struct {
		behaviours []simulation.SendBehaviour
		evidence   pb.Evidence
		runs       int
		sends      int
	}{
		"before the write":                  {[]simulation.SendBehaviour{simulation.ResetBeforeWrite}, ran, 1, 2},
		"before the write, at each replica": {[]simulation.SendBehaviour{simulation.ResetBeforeWrite, simulation.ResetBeforeWrite}, ran, 1, 3},
		"before the write, at every send":   {allSendsReset, notRun, 0, len(allSendsReset)},
		"during the write":                  {[]simulation.SendBehaviour{simulation.ResetDuringWrite}, unknown, 0, 1},
		"reply lost":                        {[]simulation.SendBehaviour{simulation.ReplyLost}, unknown, 1, 1},
		"owner lost":                        {[]simulation.SendBehaviour{simulation.OwnerLost}, unknown, 1, 1},
		"before, then reply lost":           {[]simulation.SendBehaviour{simulation.ResetBeforeWrite, simulation.ReplyLost}, unknown, 1, 2},
	}
	for name, tt := range tests {
		for _, key := range []string{"", "key"} {
			t.Run(name+" key "+key, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newHarness(t, tt.behaviours...)
					o := h.nodeA.Execute(background, fee(key))
					h.c.Assert(o.Evidence, qt.Equals, tt.evidence)
					h.c.Assert(o.Sent, qt.Equals, tt.evidence != notRun)
					h.c.Assert(h.backend.Runs("fee"), qt.Equals, tt.runs)
					h.c.Assert(h.backend.Sends(), qt.Equals, tt.sends)
					h.close()
				})
			})
		}
	}
}

// The caller repeats a request at another node. That node returns the first outcome if
// the request ran or may have run, and runs the request if it did not run.
func TestRetryAtAnotherNodeReturnsFirstOutcome(t *testing.T) {
	tests := map[string]struct {
		behaviours []simulation.SendBehaviour
		second     pb.Evidence
		runs       int
	}{
		"ran":     {nil, ran, 1},
		"unknown": {[]simulation.SendBehaviour{simulation.ReplyLost}, unknown, 1},
		"not run": {allSendsReset, ran, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, tt.behaviours...)
				first := h.nodeA.Execute(background, fee("key"))
				synctest.Wait()
				second := h.nodeB.Execute(background, fee("key"))
				h.c.Assert(second.Evidence, qt.Equals, tt.second)
				h.c.Assert(second.Repeated, qt.Equals, first.Evidence != notRun)
				h.c.Assert(h.backend.Runs("fee"), qt.Equals, tt.runs)
				other := fee("key")
				other.Body = []byte("penalty")
				o := h.nodeB.Execute(background, other)
				h.c.Assert(o.Reason, qt.Equals, pb.Reason_REASON_KEY_REUSED)
				h.c.Assert(o.Evidence, qt.Equals, notRun)
				h.c.Assert(h.backend.Runs("penalty"), qt.Equals, 0)
				h.close()
			})
		})
	}
}

// A caller sends the same request eight times to two nodes at once. One submission holds
// the claim. Duplicates at its node return its outcome, and those at the other node
// return UNKNOWN with KEY_PENDING and a retry delay.
func TestDuplicatesOnTwoNodesRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.backend.Hold = make(chan struct{})
		outcomes := make([]execute.Outcome, 8)
		var wg sync.WaitGroup
		for i := range outcomes {
			node := h.nodeA
			if i%2 == 1 {
				node = h.nodeB
			}
			wg.Go(func() { outcomes[i] = node.Execute(background, fee("key")) })
		}
		synctest.Wait()
		close(h.backend.Hold)
		wg.Wait()
		counts := make(map[pb.Reason]int)
		for _, o := range outcomes {
			counts[o.Reason]++
			if o.Reason == pb.Reason_REASON_KEY_PENDING {
				h.c.Assert(o.Evidence, qt.Equals, unknown)
				h.c.Assert(o.RetryAfter > 0, qt.IsTrue)
			}
		}
		h.c.Assert(counts, qt.DeepEquals, map[pb.Reason]int{
			pb.Reason_REASON_UNSPECIFIED: 4,
			pb.Reason_REASON_KEY_PENDING: 4,
		})
		h.c.Assert(h.backend.Runs("fee"), qt.Equals, 1)
		h.close()
	})
}

// The platform's reply to the write of a claim is lost, and the write was either applied
// or dropped. The node reads the claim, resolves the uncertainty and runs the request.
func TestLostClaimReplyIsResolvedByReading(t *testing.T) {
	for name, applied := range map[string]bool{"applied": true, "dropped": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				h.platform.SetFaults(failOnce("claim", platform.ErrAmbiguous, applied))
				o := h.nodeA.Execute(background, fee("key"))
				h.c.Assert(o.Evidence, qt.Equals, ran)
				h.c.Assert(h.backend.Runs("fee"), qt.Equals, 1)
				h.close()
			})
		})
	}
}

// While the platform is unavailable, a request with a key is not sent and is answered at
// once with a retry delay. Its evidence is UNKNOWN, because an earlier submission with
// the key may have run. A request without a key runs.
func TestUnavailablePlatformRefusesKeyedRequestsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.platform.SetFaults(alwaysFail(platform.ErrUnavailable))
		began := time.Now()
		o := h.nodeA.Execute(background, fee("key"))
		h.c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		h.c.Assert(o.Reason, qt.Equals, pb.Reason_REASON_PLATFORM)
		h.c.Assert(o.Evidence, qt.Equals, unknown)
		h.c.Assert(o.Sent, qt.IsFalse)
		h.c.Assert(o.RetryAfter >= time.Second, qt.IsTrue)
		h.c.Assert(h.backend.Sends(), qt.Equals, 0)
		h.c.Assert(h.nodeA.Execute(background, fee("")).Evidence, qt.Equals, ran)
		h.close()
	})
}

// The platform does not answer. The first requests with a key wait for the claim
// timeout. Then the circuit breaker opens and later requests are refused at once.
func TestUnresponsivePlatformDelaysOnlyFirstRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.platform.SetFaults(func(ctx context.Context, _ string) (bool, error) {
			<-ctx.Done()
			return false, platform.ErrAmbiguous
		})
		for _, key := range []string{"k", "l"} {
			h.c.Assert(h.nodeA.Execute(background, fee(key)).Reason, qt.Equals, pb.Reason_REASON_PLATFORM)
		}
		began := time.Now()
		o := h.nodeA.Execute(background, fee("another"))
		h.c.Assert(o.Reason, qt.Equals, pb.Reason_REASON_PLATFORM)
		h.c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		h.platform.SetFaults(nil)
		time.Sleep(time.Minute)
		h.c.Assert(h.nodeA.Execute(background, fee("k")).Evidence, qt.Equals, ran)
		h.close()
	})
}

// The platform becomes unavailable after the claim. The caller receives RAN at once. A
// retry at another node returns KEY_PENDING during the outage, and the first outcome
// after the claim is completed.
func TestClaimIsCompletedAfterPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.platform.SetFaults(failCompletions)
		h.c.Assert(h.nodeA.Execute(background, fee("key")).Evidence, qt.Equals, ran)
		o := h.nodeB.Execute(background, fee("key"))
		h.c.Assert(o.Reason, qt.Equals, pb.Reason_REASON_KEY_PENDING)
		h.platform.SetFaults(nil)
		time.Sleep(time.Minute)
		o = h.nodeB.Execute(background, fee("key"))
		h.c.Assert(o.Evidence, qt.Equals, ran)
		h.c.Assert(string(o.Result), qt.Equals, "receipt")
		h.c.Assert(h.backend.Runs("fee"), qt.Equals, 1)
		h.close()
	})
}

// A request does not run at one node, and the reply to completing its claim as NOT_RUN
// is lost. The request then runs at another node. The first node still holds the outdated
// NOT_RUN outcome in memory and must not return it.
func TestCachedRefusalIsNotReturnedAfterKeyRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, allSendsReset...)
		h.platform.SetFaults(failOnce("complete", platform.ErrAmbiguous, true))
		h.c.Assert(h.nodeA.Execute(background, fee("key")).Evidence, qt.Equals, notRun)
		synctest.Wait()
		h.c.Assert(h.nodeB.Execute(background, fee("key")).Evidence, qt.Equals, ran)
		o := h.nodeA.Execute(background, fee("key"))
		h.c.Assert(o.Evidence, qt.Equals, unknown)
		h.c.Assert(o.Reason, qt.Equals, pb.Reason_REASON_KEY_PENDING)
		time.Sleep(o.RetryAfter)
		h.c.Assert(h.nodeA.Execute(background, fee("key")).Evidence, qt.Equals, ran)
		h.c.Assert(h.backend.Runs("fee"), qt.Equals, 1)
		h.close()
	})
}

// The backend server replies after the caller's deadline. The caller receives UNKNOWN at
// its deadline. The late reply completes the claim, so that a retry returns RAN.
func TestReplyAfterDeadlineCompletesClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, simulation.SlowRun)
		began := time.Now()
		o := h.nodeA.Execute(background, fee("key"))
		h.c.Assert(time.Since(began), qt.Equals, 5*time.Second)
		h.c.Assert(o.Evidence, qt.Equals, unknown)
		h.c.Assert(o.Reason, qt.Equals, pb.Reason_REASON_DEADLINE)
		h.c.Assert(h.nodeB.Execute(background, fee("key")).Reason, qt.Equals, pb.Reason_REASON_KEY_PENDING)
		time.Sleep(simulation.SlowRunDuration)
		h.c.Assert(h.nodeB.Execute(background, fee("key")).Evidence, qt.Equals, ran)
		h.c.Assert(h.backend.Runs("fee"), qt.Equals, 1)
		h.close()
	})
}

// The reply to a claim arrives long after the caller's deadline. The holder of the claim
// then sends nothing and completes the claim as NOT_RUN, so that a retry runs. Until then
// the claim stays pending, because the holder might still send the request.
func TestPausedClaimHolderDoesNotSendAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		const pause = time.Hour
		h.platform.PauseNextClaim(pause)
		began := time.Now()
		o := h.nodeA.Execute(background, fee("key"))
		h.c.Assert(time.Since(began), qt.Equals, 5*time.Second)
		h.c.Assert(o.Sent, qt.IsFalse)
		time.Sleep(pause / 2)
		h.c.Assert(h.nodeB.Execute(background, fee("key")).Reason, qt.Equals, pb.Reason_REASON_KEY_PENDING)
		time.Sleep(pause)
		h.c.Assert(h.backend.Sends(), qt.Equals, 0)
		h.c.Assert(h.nodeB.Execute(background, fee("key")).Evidence, qt.Equals, ran)
		h.c.Assert(h.backend.Runs("fee"), qt.Equals, 1)
		h.close()
	})
}

// Close waits until a request in flight is answered and its claim completed. Later
// requests are refused with UNREADY.
func TestCloseWaitsForRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.backend.Hold = make(chan struct{})
		answer := make(chan execute.Outcome, 1)
		go func() { answer <- h.nodeA.Execute(background, fee("key")) }()
		synctest.Wait()
		closed := make(chan error, 1)
		go func() { closed <- h.nodeA.Close(background) }()
		synctest.Wait()
		o := h.nodeA.Execute(background, fee(""))
		h.c.Assert(o.Reason, qt.Equals, pb.Reason_REASON_UNREADY)
		h.c.Assert(o.Evidence, qt.Equals, notRun)
		h.c.Assert(len(closed), qt.Equals, 0)
		close(h.backend.Hold)
		h.c.Assert((<-answer).Evidence, qt.Equals, ran)
		h.c.Assert(<-closed, qt.IsNil)
		h.c.Assert(h.nodeB.Execute(background, fee("key")).Repeated, qt.IsTrue)
		h.c.Assert(h.backend.Runs("fee"), qt.Equals, 1)
		h.close()
	})
}

// Close returns while the platform is unavailable. The claim stays PENDING and is counted
// as unresolved.
func TestCloseDoesNotWaitForUnavailablePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.platform.SetFaults(failCompletions)
		h.c.Assert(h.nodeA.Execute(background, fee("key")).Evidence, qt.Equals, ran)
		began := time.Now()
		h.c.Assert(h.nodeA.Close(background), qt.IsNil)
		h.c.Assert(time.Since(began) < 2*time.Second, qt.IsTrue)
		h.c.Assert(h.nodeA.Stats().UnresolvedClaims, qt.Equals, uint64(1))
		h.c.Assert(h.nodeB.Execute(background, fee("key")).Reason, qt.Equals, pb.Reason_REASON_KEY_PENDING)
	})
}

// Completed claims share a lease, so that they don't fill the platform's store. Pending
// claims have no lease: if one expired, its request could run a second time.
func TestOnlyCompletedClaimsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.backend.Hold = make(chan struct{})
		go h.nodeA.Execute(background, fee("one"))
		synctest.Wait()
		h.c.Assert(h.platform.Leased(), qt.Equals, 0)
		close(h.backend.Hold)
		synctest.Wait()
		h.nodeA.Execute(background, fee("two"))
		synctest.Wait()
		h.c.Assert(h.platform.Leased(), qt.Equals, 2)
		h.c.Assert(h.platform.Grants(), qt.Equals, 1)
		h.close()
	})
}

// A request with a key costs the platform two writes and no read if nothing fails.
// docs/design/non-idempotent-requests.md derives the fleet's maximum rate from this.
func TestKeyedRequestCostsTwoWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		const requests = 50
		for i := range requests {
			o := h.nodeA.Execute(background, fee(fmt.Sprint(i)))
			h.c.Assert(o.Evidence, qt.Equals, ran)
		}
		synctest.Wait()
		s := h.nodeA.Stats()
		h.c.Assert(s.ClaimWrites, qt.Equals, uint64(requests))
		h.c.Assert(s.CompletionWrites, qt.Equals, uint64(requests))
		h.c.Assert(s.ClaimReads, qt.Equals, uint64(0))
		h.c.Assert(h.platform.Grants(), qt.Equals, 1)
		bytes := h.platform.Bytes()
		h.c.Assert(bytes/requests < 300, qt.IsTrue, qt.Commentf("%d bytes per completed claim", bytes/requests))
		t.Logf("%d bytes per completed claim with its key and a result of 7 bytes", bytes/requests)
		h.close()
	})
}

// failCompletions fails the completion of claims.
func failCompletions(_ context.Context, op string) (bool, error) {
	if op == "complete" {
		return false, platform.ErrUnavailable
	}
	return false, nil
}

// failOnce fails the first call of an operation.
func failOnce(op string, err error, applied bool) simulation.FaultFunc {
	var done bool
	return func(_ context.Context, called string) (bool, error) {
		if done || called != op {
			return false, nil
		}
		done = true
		return applied, err
	}
}

func alwaysFail(err error) simulation.FaultFunc {
	return func(context.Context, string) (bool, error) { return false, err }
}
