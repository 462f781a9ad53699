// Package quota runs the usage caps of client accounts at one node: it exchanges reports
// with the node that manages them, and manages the parts that other nodes lend to this one.
// policy/quota decides; this package does the I/O.
package quota

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/carobmill/carobmill/policy/account"
	"github.com/carobmill/carobmill/policy/coordinator"
	"github.com/carobmill/carobmill/policy/quota"
)

const (
	// waitRetryAfter is the delay that the caller of a request gets that has waited in vain.
	waitRetryAfter = 200 * time.Millisecond
	// idleInterval is the time between two checks whether any account has a cap.
	idleInterval = 250 * time.Millisecond
)

// Peers reports to other nodes.
type Peers interface {
	ReportQuota(ctx context.Context, to coordinator.Member, r *quota.Report) (quota.Reply, error)
}

// Options of a Quota.
type Options struct {
	Self  coordinator.Member
	Bound quota.Bound
	Peers Peers
	// Fleet returns the registered nodes.
	Fleet func() coordinator.Fleet
	// Accounts returns the accounts in force and the configuration version; nil without any.
	Accounts func() (*account.Table, uint64)
	// Available reports whether this node may manage the caps of the fleet.
	Available func() bool
	Log       logrus.FieldLogger
	// Event receives changes of the manager; may be nil.
	Event func(kind, subject, detail string)
}

// eventManager is the kind of decision for a new manager.
const eventManager = "quota_manager"

// Quota limits the requests of accounts. Safe for concurrent use.
type Quota struct {
	opts Options
	// wake ends the pause between two reports.
	wake chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	limiter *quota.Limiter
	pool    *quota.Pool
	// replied is closed and replaced after each reply or failure.
	replied chan struct{}
	manager string
	// fleet and members are the revision and the size of the limiter's fleet.
	fleet   uint64
	members int
	// counts holds the decisions of each account since the start.
	counts map[string]*Counts
}

// Counts counts the decisions about requests.
type Counts struct {
	Admitted, Refused uint64
}

// New returns a Quota; Run exchanges the reports.
func New(o Options) *Quota {
	if o.Event == nil {
		o.Event = func(string, string, string) {}
	}
	return &Quota{
		opts: o, wake: make(chan struct{}, 1), limiter: quota.NewLimiter(o.Bound, o.Self),
		pool: quota.NewPool(o.Bound, time.Now()), replied: make(chan struct{}), counts: make(map[string]*Counts),
	}
}

// Take decides about a request of an account. It waits for a reply of the manager where the
// node has no allowance, as long as the limiter states or until ctx ends. The verdict Wait
// means that the allowance is unknown.
func (q *Quota) Take(ctx context.Context, a *account.Account, ask quota.Ask) quota.Verdict {
	if !a.Cap.Limited() {
		return quota.Verdict{}
	}
	for {
		q.mu.Lock()
		v, replied := q.limiter.Take(time.Now(), a.Name, a.Cap, ask), q.replied
		urgent := q.limiter.Urgent()
		q.mu.Unlock()
		if urgent {
			q.wakeUp()
		}
		if v.Decision == quota.Wait && v.Ticket != 0 {
			ask.Ticket = v.Ticket
			if await(ctx, replied, v.Until) {
				continue
			}
			q.mu.Lock()
			v = q.limiter.GiveUp(time.Now(), v.Ticket)
			if v.Decision == quota.Admit && ctx.Err() != nil {
				// The caller has disconnected.
				v.Decision = quota.Wait
				q.giveBack(a.Name)
			}
			q.mu.Unlock()
		}
		if v.Decision == quota.Wait {
			v.RetryAfter = waitRetryAfter
		}
		q.count(a.Name, v.Decision)
		return v
	}
}

// await waits until changed is closed, and reports whether that was before until and the end
// of ctx.
func await(ctx context.Context, changed <-chan struct{}, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// maxCounted bounds the accounts whose decisions are counted by name.
const maxCounted = 1000

// restName is the name under which the decisions of further accounts are counted.
const restName = "_others_"

func (q *Quota) count(name string, d quota.Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.counts[name] == nil && len(q.counts) >= maxCounted {
		name = restName
	}
	c := q.counts[name]
	if c == nil {
		c = &Counts{}
		q.counts[name] = c
	}
	if d == quota.Admit {
		c.Admitted++
	} else {
		c.Refused++
	}
}

// Return gives back the allowance of an admitted request that did not run.
func (q *Quota) Return(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.giveBack(name)
}

// giveBack is Return with q.mu held.
func (q *Quota) giveBack(name string) {
	if q.limiter.Return(name) {
		q.wakeWaiters()
	}
}

// wakeWaiters makes the waiting requests ask again. q.mu is held.
func (q *Quota) wakeWaiters() {
	close(q.replied)
	q.replied = make(chan struct{})
}

// Handle answers the report of another node.
func (q *Quota) Handle(r *quota.Report) quota.Reply {
	if !q.opts.Available() {
		return quota.Reply{Unavailable: true}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pool.Handle(time.Now(), r)
}

func (q *Quota) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Run exchanges reports until ctx ends. It sends none while no account has a cap.
func (q *Quota) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		next := idleInterval
		if accounts, version := q.opts.Accounts(); accounts.Limited() {
			q.exchange(ctx, version)
			next = q.untilReport()
		}
		timer.Reset(next)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-q.wake:
		}
	}
}

func (q *Quota) untilReport() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(time.Until(q.limiter.NextReport()), 0)
}

// exchange sends the report that is due, and a probe that is due.
func (q *Quota) exchange(ctx context.Context, version uint64) {
	now := time.Now()
	q.mu.Lock()
	if f := q.opts.Fleet(); f.Revision != q.fleet || len(f.Members) != q.members {
		q.fleet, q.members = f.Revision, len(f.Members)
		q.limiter.SetFleet(f)
	}
	probe, probeDue := q.limiter.Probe(now)
	to, report, due := q.limiter.Report(now, version)
	changed := due && to.Node != q.manager
	if changed {
		q.manager = to.Node
	}
	q.mu.Unlock()
	if changed {
		q.opts.Event(eventManager, to.Node, "usage caps are managed by this node")
	}
	if probeDue {
		go q.probe(ctx, probe)
	}
	if due {
		q.report(ctx, to, &report)
	}
}

// report sends a report to a manager, which may be this node.
func (q *Quota) report(ctx context.Context, to coordinator.Member, r *quota.Report) {
	var reply quota.Reply
	var err error
	if to.Node == q.opts.Self.Node {
		reply = q.handleOwn(r)
	} else {
		reply, err = q.send(ctx, to, r)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		q.limiter.Fail(time.Now(), to.Node)
		q.opts.Log.WithError(err).WithField("manager", to.Node).Info("manager of usage caps did not answer")
	} else {
		q.limiter.Apply(time.Now(), to.Node, r, &reply)
	}
	q.wakeWaiters()
}

// handleOwn answers a report of this node, which manages its own part at any time.
func (q *Quota) handleOwn(r *quota.Report) quota.Reply {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pool.Handle(time.Now(), r)
}

func (q *Quota) send(ctx context.Context, to coordinator.Member, r *quota.Report) (quota.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, quota.ReportTimeout)
	defer cancel()
	return q.opts.Peers.ReportQuota(ctx, to, r)
}

// probe asks a failed manager whether it is available again.
func (q *Quota) probe(ctx context.Context, to coordinator.Member) {
	reply, err := q.send(ctx, to, &quota.Report{Node: q.opts.Self.Node, Probe: true})
	if err != nil || reply.Unavailable {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.Recover(to.Node)
}

// AccountUse is the state of one account at this node, for operators.
type AccountUse struct {
	quota.Use
	Counts
}

// Uses returns the accounts with requests at this node, by name, and the manager.
func (q *Quota) Uses() (uses []AccountUse, manager string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, u := range q.limiter.Uses(time.Now()) {
		use := AccountUse{Use: u}
		if c := q.counts[u.Account]; c != nil {
			use.Counts = *c
		}
		uses = append(uses, use)
	}
	return uses, q.limiter.Manager()
}
