package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/carobmill/carobmill/policy/account"
	"github.com/carobmill/carobmill/policy/quota"
)

// Quota limits the requests of accounts to their usage caps. Safe for concurrent use.
type Quota interface {
	// Take decides about a request. It may wait for the decision until ctx ends. The verdict
	// Wait means that the allowance is unknown.
	Take(ctx context.Context, a *account.Account) quota.Verdict
	// Return gives back the allowance of an admitted request that did not run.
	Return(account string)
}

// decisionOverCap is the kind of decision for a request that is refused by its usage cap.
const decisionOverCap = "request_over_cap"

// admit takes allowance for a request out of its account's usage cap. Without allowance, it
// returns the answer and false.
func (f *Forwarder) admit(ctx context.Context, req *Request, a *account.Account) (Answer, bool) {
	if f.opts.Quota == nil || a == nil || !a.Cap.Limited() {
		return Answer{}, true
	}
	v := f.opts.Quota.Take(ctx, a)
	switch {
	case v.Decision == quota.Admit:
		return Answer{}, true
	case ctx.Err() != nil:
		return Answer{Outcome: Late}, false
	}
	outcome, reason := OverCap, "the usage cap is used up"
	if v.Decision == quota.Wait {
		outcome, reason = NotRun, "the allowance of the usage cap is unknown"
	}
	if f.logLimiter.Allow(time.Now(), false) {
		f.opts.Event(decisionOverCap, a.Name, fmt.Sprintf("request %s: %s: cap %g/s and %g, allowance %.1f at this node, %s, retry after %v",
			req.ID, reason, a.Cap.Rate, a.Cap.Burst, v.Allowance, replyAge(v.RepliedAt), v.RetryAfter.Round(time.Millisecond)))
	}
	return Answer{Outcome: outcome, RetryAfter: v.RetryAfter}, false
}

// replyAge states the age of the manager's last reply.
func replyAge(at time.Time) string {
	if at.IsZero() {
		return "no reply yet"
	}
	return fmt.Sprintf("last reply %d ms ago", time.Since(at).Milliseconds())
}
