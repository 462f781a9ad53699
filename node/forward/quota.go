package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/carobmill/carobmill/policy/account"
	"github.com/carobmill/carobmill/policy/gather"
	"github.com/carobmill/carobmill/policy/quota"
	"github.com/carobmill/carobmill/policy/route"
)

// Quota limits the requests of accounts to their usage caps. Safe for concurrent use.
type Quota interface {
	// Take decides about a request. It may wait for the decision until ctx ends. The verdict
	// Wait means that the allowance is unknown.
	Take(ctx context.Context, a *account.Account, ask quota.Ask) quota.Verdict
	// Return gives back the allowance of an admitted request that did not run.
	Return(account string)
}

// decisionOverCap is the kind of decision for a request that is refused by its usage cap.
const decisionOverCap = "request_over_cap"

// admit takes allowance for a request out of its account's usage cap. Without allowance, it
// returns the answer and false.
func (f *Forwarder) admit(ctx context.Context, r *route.Route, req *Request, a *account.Account) (Answer, bool) {
	if f.opts.Quota == nil || a == nil || !a.Cap.Limited() {
		return Answer{}, true
	}
	ask := f.class(r).ask(r, req)
	v := f.opts.Quota.Take(ctx, a, ask)
	switch {
	case v.Decision == quota.Admit:
		return Answer{}, true
	case ctx.Err() != nil:
		return Answer{Outcome: Late}, false
	}
	outcome, reason := OverCap, "the usage cap is used up: "+v.Rule
	if v.Decision == quota.Wait {
		outcome, reason = NotRun, "the allowance of the usage cap is unknown"
	}
	if f.logLimiter.Allow(time.Now(), false) {
		f.opts.Event(decisionOverCap, a.Name, fmt.Sprintf("request %s: %s: priority %d, age %d of %d ms, waited %d ms, cap %g/s and %g, allowance %.1f at this node, %s, %s %v",
			req.ID, reason, ask.Priority, ask.Age.Milliseconds(), ask.Objective.Milliseconds(), time.Since(req.Arrived).Milliseconds(),
			a.Cap.Rate, a.Cap.Burst, v.Allowance, replyAge(v.RepliedAt), retryText(v), v.RetryAfter.Round(time.Millisecond)))
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

// retryText states what a refused caller can expect at its return.
func retryText(v quota.Verdict) string {
	if v.Promised {
		return "place promised in"
	}
	return "retry after"
}

// ask returns what decides about the order of a request within its account.
func (c *class) ask(r *route.Route, req *Request) quota.Ask {
	ask := quota.Ask{Priority: r.Priority, Age: r.Age(req.CallerTimeout) + time.Since(req.Arrived)}
	if r.Objective > 0 {
		ask.Objective = gather.AnswerDeadline(r.Objective, req.reserve(c))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latencies.Count() >= minLatencies {
		ask.Latency = c.latencies.At(latencyQuantile)
	}
	return ask
}

const (
	// latencyQuantile is the quantile of the attempts' latencies that counts as the time of
	// an answer, and minLatencies the number of samples for it.
	latencyQuantile = 0.9
	minLatencies    = 30
)
