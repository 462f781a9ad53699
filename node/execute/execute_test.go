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
	// refusals make every send that one request may have fail before the write.
	refusals = slices.Repeat([]simulation.SendBehaviour{simulation.ResetBeforeWrite}, dispatch.DefaultMaxSends)
)

// The caller sees "ran", "not run" or "unknown" for one entry fee. The
// connection to the backend server breaks before, during or after the write, or
// the owner's node dies. Only a break before the write lets another replica be
// tried: after any written byte the fee may have been taken.
func TestBrokenConnectionNeverRunsRequestTwice(t *testing.T) {
	tests := map[string]struct {
		fates    []simulation.SendBehaviour
		evidence pb.Evidence
		runs     int
		sends    int
	}{
		"before the write":                  {[]simulation.SendBehaviour{simulation.ResetBeforeWrite}, ran, 1, 2},
		"before the write, at each replica": {[]simulation.SendBehaviour{simulation.ResetBeforeWrite, simulation.ResetBeforeWrite}, ran, 1, 3},
		"before the write, again and again": {refusals, notRun, 0, len(refusals)},
		"during the write":                  {[]simulation.SendBehaviour{simulation.ResetDuringWrite}, unknown, 0, 1},
		"reply lost":                        {[]simulation.SendBehaviour{simulation.ReplyLost}, unknown, 1, 1},
		"owner lost":                        {[]simulation.SendBehaviour{simulation.OwnerLost}, unknown, 1, 1},
		"before, then reply lost":           {[]simulation.SendBehaviour{simulation.ResetBeforeWrite, simulation.ReplyLost}, unknown, 1, 2},
	}
	for name, tt := range tests {
		for _, key := range []string{"", "key"} {
			t.Run(name+" key "+key, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newRig(t, tt.fates...)
					o := r.a.Execute(background, fee(key))
					r.c.Assert(o.Evidence, qt.Equals, tt.evidence)
					r.c.Assert(o.Sent, qt.Equals, tt.evidence != notRun)
					r.c.Assert(r.backend.Runs("fee"), qt.Equals, tt.runs)
					r.c.Assert(r.backend.Sends(), qt.Equals, tt.sends)
					r.close()
				})
			})
		}
	}
}

// The caller gives up waiting for "enrolled" and repeats itself at another
// node. The first outcome is told again, whether it ran, may have run, or did
// not run and can go now.
func TestRetryAtAnotherNodeReturnsFirstOutcome(t *testing.T) {
	tests := map[string]struct {
		fates  []simulation.SendBehaviour
		second pb.Evidence
		runs   int
	}{
		"ran":     {nil, ran, 1},
		"unknown": {[]simulation.SendBehaviour{simulation.ReplyLost}, unknown, 1},
		"not run": {refusals, ran, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, tt.fates...)
				first := r.a.Execute(background, fee("key"))
				synctest.Wait()
				second := r.b.Execute(background, fee("key"))
				r.c.Assert(second.Evidence, qt.Equals, tt.second)
				r.c.Assert(second.Repeated, qt.Equals, first.Evidence != notRun)
				r.c.Assert(r.backend.Runs("fee"), qt.Equals, tt.runs)
				other := fee("key")
				other.Body = []byte("penalty")
				o := r.b.Execute(background, other)
				r.c.Assert(o.Reason, qt.Equals, pb.Reason_REASON_KEY_REUSED)
				r.c.Assert(o.Evidence, qt.Equals, notRun)
				r.c.Assert(r.backend.Runs("penalty"), qt.Equals, 0)
				r.close()
			})
		})
	}
}

// An impatient client sends the same fee eight times to two nodes at once. One
// submission holds the claim; those at its node wait for it, those at the
// other node are told "unknown, pending" with a time to come back.
func TestDuplicatesOnTwoNodesRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.backend.Hold = make(chan struct{})
		outcomes := make([]execute.Outcome, 8)
		var wg sync.WaitGroup
		for i := range outcomes {
			node := r.a
			if i%2 == 1 {
				node = r.b
			}
			wg.Go(func() { outcomes[i] = node.Execute(background, fee("key")) })
		}
		synctest.Wait()
		close(r.backend.Hold)
		wg.Wait()
		counts := make(map[pb.Reason]int)
		for _, o := range outcomes {
			counts[o.Reason]++
			if o.Reason == pb.Reason_REASON_KEY_PENDING {
				r.c.Assert(o.Evidence, qt.Equals, unknown)
				r.c.Assert(o.RetryAfter > 0, qt.IsTrue)
			}
		}
		r.c.Assert(counts, qt.DeepEquals, map[pb.Reason]int{
			pb.Reason_REASON_UNSPECIFIED: 4,
			pb.Reason_REASON_KEY_PENDING: 4,
		})
		r.c.Assert(r.backend.Runs("fee"), qt.Equals, 1)
		r.close()
	})
}

// The platform's answer to the claim is lost, before or after the write took
// effect. The node reads the claim back, finds whose it is and goes on; the
// caller sees "ran" and nothing of it.
func TestLostClaimReplyIsResolvedByReading(t *testing.T) {
	for name, applied := range map[string]bool{"applied": true, "dropped": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				r.platform.SetFaults(once("claim", platform.ErrAmbiguous, applied))
				o := r.a.Execute(background, fee("key"))
				r.c.Assert(o.Evidence, qt.Equals, ran)
				r.c.Assert(r.backend.Runs("fee"), qt.Equals, 1)
				r.close()
			})
		})
	}
}

// The platform is down when a keyed fee arrives. It is answered at once, not
// sent, with a time to come back, and as "unknown": an earlier submission with
// the key may have run. A fee without a key needs no platform and runs.
func TestUnavailablePlatformRefusesKeyedRequestsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.platform.SetFaults(always(platform.ErrUnavailable))
		began := time.Now()
		o := r.a.Execute(background, fee("key"))
		r.c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		r.c.Assert(o.Reason, qt.Equals, pb.Reason_REASON_PLATFORM)
		r.c.Assert(o.Evidence, qt.Equals, unknown)
		r.c.Assert(o.Sent, qt.IsFalse)
		r.c.Assert(o.RetryAfter >= time.Second, qt.IsTrue)
		r.c.Assert(r.backend.Sends(), qt.Equals, 0)
		r.c.Assert(r.a.Execute(background, fee("")).Evidence, qt.Equals, ran)
		r.close()
	})
}

// The platform hangs instead of failing. The first keyed requests wait for the
// claim's timeout; then the node stops waiting and refuses at once, letting one
// request a second try.
func TestUnresponsivePlatformDelaysOnlyFirstRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.platform.SetFaults(func(ctx context.Context, _ string) (bool, error) {
			<-ctx.Done()
			return false, platform.ErrAmbiguous
		})
		for _, key := range []string{"k", "l"} {
			r.c.Assert(r.a.Execute(background, fee(key)).Reason, qt.Equals, pb.Reason_REASON_PLATFORM)
		}
		began := time.Now()
		o := r.a.Execute(background, fee("another"))
		r.c.Assert(o.Reason, qt.Equals, pb.Reason_REASON_PLATFORM)
		r.c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		r.platform.SetFaults(nil)
		time.Sleep(time.Minute)
		r.c.Assert(r.a.Execute(background, fee("k")).Evidence, qt.Equals, ran)
		r.close()
	})
}

// The platform goes down after the claim. The caller has "ran" at once. Its
// retry at another node is "unknown, pending" as long as the outage lasts, and
// gets the first outcome once the claim could be settled.
func TestClaimIsCompletedAfterPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.platform.SetFaults(noSettles)
		r.c.Assert(r.a.Execute(background, fee("key")).Evidence, qt.Equals, ran)
		o := r.b.Execute(background, fee("key"))
		r.c.Assert(o.Reason, qt.Equals, pb.Reason_REASON_KEY_PENDING)
		r.platform.SetFaults(nil)
		time.Sleep(time.Minute)
		o = r.b.Execute(background, fee("key"))
		r.c.Assert(o.Evidence, qt.Equals, ran)
		r.c.Assert(string(o.Result), qt.Equals, "receipt")
		r.c.Assert(r.backend.Runs("fee"), qt.Equals, 1)
		r.close()
	})
}

// A fee is refused at one node, and the answer to settling its claim as "not run"
// is lost. The caller repeats it at another node, where it runs, and then at the
// first one again, which still has the old refusal in memory and must not tell it.
func TestCachedRefusalIsNotReturnedAfterKeyRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, refusals...)
		r.platform.SetFaults(once("settle", platform.ErrAmbiguous, true))
		r.c.Assert(r.a.Execute(background, fee("key")).Evidence, qt.Equals, notRun)
		synctest.Wait()
		r.c.Assert(r.b.Execute(background, fee("key")).Evidence, qt.Equals, ran)
		o := r.a.Execute(background, fee("key"))
		r.c.Assert(o.Evidence, qt.Equals, unknown)
		r.c.Assert(o.Reason, qt.Equals, pb.Reason_REASON_KEY_PENDING)
		time.Sleep(o.RetryAfter)
		r.c.Assert(r.a.Execute(background, fee("key")).Evidence, qt.Equals, ran)
		r.c.Assert(r.backend.Runs("fee"), qt.Equals, 1)
		r.close()
	})
}

// The backend server takes longer than the caller waits. The caller is told
// "unknown" at its deadline; the reply that comes later settles the claim, so
// that a retry learns that the fee was taken.
func TestReplyAfterDeadlineCompletesClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, simulation.SlowRun)
		began := time.Now()
		o := r.a.Execute(background, fee("key"))
		r.c.Assert(time.Since(began), qt.Equals, 5*time.Second)
		r.c.Assert(o.Evidence, qt.Equals, unknown)
		r.c.Assert(o.Reason, qt.Equals, pb.Reason_REASON_DEADLINE)
		r.c.Assert(r.b.Execute(background, fee("key")).Reason, qt.Equals, pb.Reason_REASON_KEY_PENDING)
		time.Sleep(simulation.SlowRunDuration)
		r.c.Assert(r.b.Execute(background, fee("key")).Evidence, qt.Equals, ran)
		r.c.Assert(r.backend.Runs("fee"), qt.Equals, 1)
		r.close()
	})
}

// The node is paused while the platform answers its claim, past the caller's
// deadline. On waking it sends nothing and settles the claim as not run, so the
// caller's next try goes through; until then the claim keeps others out,
// however long the pause, for a paused holder might still send.
func TestPausedClaimHolderDoesNotSendAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		const pause = time.Hour
		r.platform.PauseNextClaim(pause)
		began := time.Now()
		o := r.a.Execute(background, fee("key"))
		r.c.Assert(time.Since(began), qt.Equals, 5*time.Second)
		r.c.Assert(o.Sent, qt.IsFalse)
		time.Sleep(pause / 2)
		r.c.Assert(r.b.Execute(background, fee("key")).Reason, qt.Equals, pb.Reason_REASON_KEY_PENDING)
		time.Sleep(pause)
		r.c.Assert(r.backend.Sends(), qt.Equals, 0)
		r.c.Assert(r.b.Execute(background, fee("key")).Evidence, qt.Equals, ran)
		r.c.Assert(r.backend.Runs("fee"), qt.Equals, 1)
		r.close()
	})
}

// A node shuts down with a fee in flight. The fee is answered and its claim
// settled before Close returns; what comes later is refused as unready.
func TestCloseWaitsForRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.backend.Hold = make(chan struct{})
		answer := make(chan execute.Outcome, 1)
		go func() { answer <- r.a.Execute(background, fee("key")) }()
		synctest.Wait()
		closed := make(chan error, 1)
		go func() { closed <- r.a.Close(background) }()
		synctest.Wait()
		o := r.a.Execute(background, fee(""))
		r.c.Assert(o.Reason, qt.Equals, pb.Reason_REASON_UNREADY)
		r.c.Assert(o.Evidence, qt.Equals, notRun)
		r.c.Assert(len(closed), qt.Equals, 0)
		close(r.backend.Hold)
		r.c.Assert((<-answer).Evidence, qt.Equals, ran)
		r.c.Assert(<-closed, qt.IsNil)
		r.c.Assert(r.b.Execute(background, fee("key")).Repeated, qt.IsTrue)
		r.c.Assert(r.backend.Runs("fee"), qt.Equals, 1)
		r.close()
	})
}

// A shutdown during an outage of the platform must end: the claim stays
// PENDING, which is honest, and operators are told.
func TestCloseDoesNotWaitForUnavailablePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.platform.SetFaults(noSettles)
		r.c.Assert(r.a.Execute(background, fee("key")).Evidence, qt.Equals, ran)
		began := time.Now()
		r.c.Assert(r.a.Close(background), qt.IsNil)
		r.c.Assert(time.Since(began) < 2*time.Second, qt.IsTrue)
		r.c.Assert(r.a.Stats().UnresolvedClaims, qt.Equals, uint64(1))
		r.c.Assert(r.b.Execute(background, fee("key")).Reason, qt.Equals, pb.Reason_REASON_KEY_PENDING)
	})
}

// Claims would fill the platform's service for good. A settled one is attached
// to a lease that many share; a pending one is not, because its lapse would let
// the key run a second time.
func TestOnlyCompletedClaimsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.backend.Hold = make(chan struct{})
		go r.a.Execute(background, fee("one"))
		synctest.Wait()
		r.c.Assert(r.platform.Leased(), qt.Equals, 0)
		close(r.backend.Hold)
		synctest.Wait()
		r.a.Execute(background, fee("two"))
		synctest.Wait()
		r.c.Assert(r.platform.Leased(), qt.Equals, 2)
		r.c.Assert(r.platform.Grants(), qt.Equals, 1)
		r.close()
	})
}

// Claims cost the platform writes, which are its scarcest rate. A keyed request
// without faults costs two and no read; docs/design/non-idempotent-requests.md
// works out from this how many the fleet can take.
func TestKeyedRequestCostsTwoWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		const requests = 50
		for i := range requests {
			o := r.a.Execute(background, fee(fmt.Sprint(i)))
			r.c.Assert(o.Evidence, qt.Equals, ran)
		}
		synctest.Wait()
		s := r.a.Stats()
		r.c.Assert(s.ClaimWrites, qt.Equals, uint64(requests))
		r.c.Assert(s.CompletionWrites, qt.Equals, uint64(requests))
		r.c.Assert(s.ClaimReads, qt.Equals, uint64(0))
		r.c.Assert(r.platform.Grants(), qt.Equals, 1)
		bytes := r.platform.Bytes()
		r.c.Assert(bytes/requests < 300, qt.IsTrue, qt.Commentf("%d bytes a settled claim", bytes/requests))
		t.Logf("%d bytes a settled claim with its key and a result of 7 bytes", bytes/requests)
		r.close()
	})
}

// noSettles has the platform go down after the claim.
func noSettles(_ context.Context, op string) (bool, error) {
	if op == "settle" {
		return false, platform.ErrUnavailable
	}
	return false, nil
}

// once fails the first call of an operation.
func once(op string, err error, applied bool) simulation.FaultFunc {
	var done bool
	return func(_ context.Context, called string) (bool, error) {
		if done || called != op {
			return false, nil
		}
		done = true
		return applied, err
	}
}

func always(err error) simulation.FaultFunc {
	return func(context.Context, string) (bool, error) { return false, err }
}
