package upgrade

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/carobmill/carobmill/policy/registry"
)

const (
	// reachableFor is how long a node counts as reachable after its last report.
	reachableFor = 2 * time.Second
	// inquiryTime bounds the time in which a new leader collects the reports of most nodes
	// before it acts.
	inquiryTime = 600 * time.Millisecond
)

// Progress is what the leader of an upgrade knows about it. Not safe for concurrent use.
type Progress struct {
	order Order
	term  uint64
	since time.Time
	// phase is the granted one, from phaseSince on. It is not known before inquired is set.
	phase      Phase
	phaseSince time.Time
	trial      []string
	inquired   bool
	// adopted is set while phase is the one that an earlier leader has granted.
	adopted bool
	nodes   map[string]*nodeReport
}

// nodeReport is the newest report of a node.
type nodeReport struct {
	Report
	at time.Time
	// known is set if the node knew the order.
	known bool
}

// NewProgress returns the progress of an order for a leader that begins now.
func NewProgress(now time.Time, o Order, term uint64) *Progress {
	return &Progress{order: o, term: term, since: now, phaseSince: now, nodes: make(map[string]*nodeReport)}
}

// Grant returns the grant to send to every node.
func (p *Progress) Grant() Grant {
	return Grant{
		Service: p.order.Service, Order: p.order.Revision, Term: p.term, Phase: p.phase, Inquire: !p.inquired, Trial: p.trial,
	}
}

// Phase returns the granted phase.
func (p *Progress) Phase() Phase { return p.phase }

// Record records the report of a node. known is false if the node did not know the order; r
// is then not used.
func (p *Progress) Record(now time.Time, node string, r Report, known bool) {
	n := p.nodes[node]
	if n == nil {
		n = &nodeReport{}
		p.nodes[node] = n
	}
	n.at, n.known = now, known
	if known && r.Order == p.order.Revision {
		n.Report = r
	}
}

// Connected reports whether at least half of the members are reachable. A leader that is
// not connected has to resign, since it could complete the upgrade without most nodes.
func (p *Progress) Connected(now time.Time, members []string) bool {
	reachable := 0
	for _, m := range members {
		if n := p.nodes[m]; n != nil && now.Sub(n.at) <= reachableFor {
			reachable++
		}
	}
	return now.Sub(p.since) <= reachableFor || 2*reachable >= len(members)
}

// Replicas holds the usable replicas of a service by version.
type Replicas struct{ New, Old []*registry.Replica }

// Step moves to the next phase if it is due, and returns why it did.
func (p *Progress) Step(now time.Time, members []string, replicas Replicas) (changed bool, reason string) {
	if !p.inquired {
		p.adopt(now, members)
		return false, ""
	}
	s := Situation{
		Phase: p.phase, Elapsed: p.elapsed(now), InPhase: now.Sub(p.phaseSince), Period: p.order.Period,
		Adopted: p.adopted, NewReplicas: len(replicas.New), OldReplicas: len(replicas.Old),
		Quiet: p.quiet(now, members),
	}
	samples := p.samples()
	s.Verdict = Judge(samples, len(replicas.New))
	s.Answers, s.LoadAnswers = answersIn(samples, p.phase), answersIn(samples, Load)
	s.TrialRate = p.rate(now) * float64(len(p.trial)) / float64(max(len(replicas.New), 1))
	next, reason := Next(s)
	if next != p.phase || !p.trialUsable(replicas.New) {
		p.trial = p.trialFor(now, next, replicas.New, samples)
	}
	if next == p.phase {
		return false, ""
	}
	p.phase, p.phaseSince, p.adopted = next, now, false
	return true, reason
}

// trialUsable reports whether all replicas on trial are usable, and whether there are any.
func (p *Progress) trialUsable(replicas []*registry.Replica) bool {
	usable := make(map[string]bool, len(replicas))
	for _, r := range replicas {
		usable[r.ID] = true
	}
	return len(p.trial) > 0 && !slices.ContainsFunc(p.trial, func(id string) bool { return !usable[id] })
}

// trialFor returns the replicas of a phase. The confirm phase uses none of the load phase.
func (p *Progress) trialFor(now time.Time, phase Phase, replicas []*registry.Replica, samples []Sample) []string {
	faults := faultRates(samples)
	if phase == Confirm {
		// The replicas of the load phase keep their places in the order.
		for _, id := range p.trial {
			faults[id] = 0
		}
	}
	return trialOf(phase, replicas, p.rate(now), faults)
}

// answersIn counts the new version's answers in a phase.
func answersIn(samples []Sample, phase Phase) int {
	n := 0
	for i := range samples {
		if samples[i].Phase == phase && samples[i].Replica != "" {
			n += samples[i].Answers
		}
	}
	return n
}

// adopt takes over the phase that an earlier leader has granted.
func (p *Progress) adopt(now time.Time, members []string) {
	answered := 0
	for _, m := range members {
		if p.nodes[m] != nil {
			answered++
		}
	}
	if answered < len(members) && now.Sub(p.since) < inquiryTime {
		return
	}
	for _, n := range p.nodes {
		if n.Phase >= p.phase {
			p.phase, p.trial = n.Phase, n.Trial
		}
	}
	p.phaseSince, p.inquired, p.adopted = now, true, true
}

// elapsed returns the time since the order, as far as any node has followed it.
func (p *Progress) elapsed(now time.Time) time.Duration {
	elapsed := now.Sub(p.since)
	for _, n := range p.nodes {
		elapsed = max(elapsed, n.Elapsed+now.Sub(n.at))
	}
	return elapsed
}

// rate returns the requests per second to the service since the order.
func (p *Progress) rate(now time.Time) float64 {
	requests, _ := p.Exposure()
	return float64(requests) / max(p.elapsed(now).Seconds(), 1)
}

// quiet reports whether every reachable member has confirmed the phase since it was granted,
// with no attempt in flight at an old replica.
func (p *Progress) quiet(now time.Time, members []string) bool {
	for _, m := range members {
		n := p.nodes[m]
		if n == nil || now.Sub(n.at) > reachableFor {
			continue
		}
		if !n.known || n.Phase < p.phase || n.OldInFlight > 0 || !n.at.After(p.phaseSince) {
			return false
		}
	}
	return true
}

// samples returns the samples of all nodes.
func (p *Progress) samples() []Sample {
	merged := make(map[sampleKey]*Sample)
	for _, n := range p.nodes {
		for i := range n.Samples {
			s := &n.Samples[i]
			key := sampleKey{s.Phase, s.Route, s.Replica}
			if merged[key] == nil {
				merged[key] = &Sample{Phase: s.Phase, Route: s.Route, Replica: s.Replica}
			}
			merged[key].merge(s)
		}
	}
	list := make([]Sample, 0, len(merged))
	for _, s := range merged {
		list = append(list, *s)
	}
	return list
}

// Exposure returns the requests to the service and those to the new version, by all nodes.
func (p *Progress) Exposure() (requests, exposed int) {
	for _, n := range p.nodes {
		requests, exposed = requests+n.Requests, exposed+n.Exposed
	}
	return requests, exposed
}

// Rank returns the position of a node among those that may lead an upgrade: 0 leads, 1 is
// the first to take over. A node that is not listed comes last.
func Rank(o Order, nodes []string, node string) int {
	sorted := slices.Clone(nodes)
	weight := func(n string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(o.Service + "\x00" + o.Version + "\x00" + n))
		return h.Sum64()
	}
	slices.SortFunc(sorted, func(a, b string) int { return cmp.Compare(weight(a), weight(b)) })
	if i := slices.Index(sorted, node); i >= 0 {
		return i
	}
	return len(sorted)
}
