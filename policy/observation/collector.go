package observation

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
	"time"
)

const (
	// sourceMemory is the age up to which the observations of a sender take part in the
	// merged one.
	sourceMemory = MaxAge
	// maxSourceAttempts bounds the attempts that one sender contributes.
	maxSourceAttempts = 8
	// trimFrom is the number of senders from which the highest and the lowest share of
	// failures do not count.
	trimFrom = 4
	// minSilentSources is the number of senders that must find a replica silent before the
	// collector passes that on.
	minSilentSources = 2
	// maxSources bounds the senders that a collector remembers.
	maxSources = 1024
)

// Report is the message of a node to a collector.
type Report struct {
	Node string
	Boot uint64
	// CollectorBoot and Cursor are those of the last reply.
	CollectorBoot, Cursor uint64
	Observations          []Observation
}

// Reply answers a Report.
type Reply struct {
	// Unavailable is set if the receiver does not collect observations.
	Unavailable  bool
	Boot, Cursor uint64
	Observations []Observation
}

// source is the newest observation of one sender.
type source struct {
	node string
	Observation
}

// merged is what a collector knows about one replica.
type merged struct {
	sources []source
	// result is the merged observation, and announced that of the last change.
	result, announced Observation
	// changed is the number of the last change, made at changedAt by the sender of the name by.
	changed   uint64
	changedAt time.Time
	by        string
	// element is the place in Collector.order; nil before the first change.
	element *list.Element
}

// sender is the state of one node that sends observations.
type sender struct {
	agreement agreement
	seenAt    time.Time
	bucket    bucket
}

// Collector merges the observations of the nodes of a data centre. Not safe for concurrent
// use.
type Collector struct {
	boot     uint64
	changes  uint64
	replicas map[string]*merged
	// order holds the *merged with a change, the newest change first.
	order   *list.List
	senders map[string]*sender
	dropped uint64
}

// NewCollector returns an empty collector. boot identifies the process.
func NewCollector(boot uint64) *Collector {
	return &Collector{
		boot: boot, replicas: make(map[string]*merged), order: list.New(), senders: make(map[string]*sender),
	}
}

// SetReplicas sets the known replicas by ID.
func (c *Collector) SetReplicas(dataCentres map[string]string) {
	for id, m := range c.replicas {
		if _, ok := dataCentres[id]; ok {
			continue
		}
		delete(c.replicas, id)
		if m.element != nil {
			c.order.Remove(m.element)
		}
	}
	for id := range dataCentres {
		if c.replicas[id] == nil {
			c.replicas[id] = &merged{}
		}
	}
}

// Handle merges a report and returns what changed after its cursor. It returns nothing that
// the sender itself has reported last.
func (c *Collector) Handle(now time.Time, r *Report) Reply {
	s := c.sender(now, r.Node)
	for i := range r.Observations {
		o := &r.Observations[i]
		m := c.replicas[o.Replica]
		if m == nil || o.Expired(now) || s == nil {
			c.dropped++
			continue
		}
		trusted := s.agreement.sufficient()
		c.compare(m, r.Node, s, o)
		m.put(now, r.Node, o)
		switch {
		case s.agreement.sufficient():
			c.merge(now, m, r.Node)
		case trusted:
			c.discard(now, r.Node)
			fallthrough
		default:
			c.dropped++
		}
	}
	after := r.Cursor
	if r.CollectorBoot != c.boot || after > c.changes {
		after = 0
	}
	reply := Reply{Boot: c.boot, Cursor: c.changes}
	if s == nil {
		return reply
	}
	senders := c.recentSenders(now)
	reply.Observations = c.after(now, after, r.Node, s.bucket.limit(now, senders))
	s.bucket.bytes -= float64(CallOverhead + usualBytes*(len(r.Observations)+len(reply.Observations)))
	return reply
}

// merge recomputes the result of a replica after an observation of a sender. The change gets
// a number if other nodes learn something from it.
func (c *Collector) merge(now time.Time, m *merged, by string) {
	m.merge(now, c)
	moreCertain := m.result.adds(&m.announced) && m.result.Attempts >= 2*m.announced.Attempts
	due := now.Sub(m.changedAt) >= m.result.refreshAfter(now)
	if !due && !moreCertain && !m.result.differs(now, &m.announced) {
		return
	}
	c.changes++
	m.changed, m.changedAt, m.by, m.announced = c.changes, now, by, m.result
	if m.element == nil {
		m.element = c.order.PushFront(m)
	} else {
		c.order.MoveToFront(m.element)
	}
}

// discard removes what a sender without sufficient agreement has contributed.
func (c *Collector) discard(now time.Time, node string) {
	for _, id := range slices.Sorted(maps.Keys(c.replicas)) {
		m := c.replicas[id]
		if slices.ContainsFunc(m.sources, func(x source) bool { return x.node == node }) {
			c.merge(now, m, node)
		}
	}
}

// sender returns the state of a sender, or nil if there are too many.
func (c *Collector) sender(now time.Time, node string) *sender {
	s := c.senders[node]
	if s == nil {
		if len(c.senders) >= maxSources {
			c.removeOld(now)
		}
		if len(c.senders) >= maxSources {
			return nil
		}
		s = &sender{}
		c.senders[node] = s
	}
	s.seenAt = now
	return s
}

// removeOld deletes senders that have sent nothing for a minute.
func (c *Collector) removeOld(now time.Time) {
	for node, s := range c.senders {
		if now.Sub(s.seenAt) > time.Minute {
			delete(c.senders, node)
		}
	}
}

// recentSenders counts the nodes that have sent a message lately.
func (c *Collector) recentSenders(now time.Time) int {
	n := 0
	for _, s := range c.senders {
		if now.Sub(s.seenAt) < MaxAge {
			n++
		}
	}
	return n
}

// compare compares a reported pace with those that at least two other senders agree on.
func (c *Collector) compare(m *merged, node string, s *sender, o *Observation) {
	if !o.Load.Paced() {
		return
	}
	slow, usual := 0, 0
	for i := range m.sources {
		x := &m.sources[i]
		if x.node == node || !x.Load.Paced() || !closeInTime(x.LoadAt, o.LoadAt) {
			continue
		}
		if x.Load.Pace >= slowPace {
			slow++
		} else {
			usual++
		}
	}
	if slow+usual >= 2 && slow != usual {
		s.agreement.record((o.Load.Pace >= slowPace) == (slow > usual))
	}
}

// put replaces the observation of a sender and removes those that are too old.
func (m *merged) put(now time.Time, node string, o *Observation) {
	m.sources = slices.DeleteFunc(m.sources, func(x source) bool {
		return x.node == node || now.Sub(x.At) >= sourceMemory
	})
	m.sources = append(m.sources, source{node: node, Observation: *o})
}

// merge computes the result from the observations of the senders with sufficient agreement: the
// newest report, the sum of the attempts, and a silence that several of them see.
func (m *merged) merge(now time.Time, c *Collector) {
	var result Observation
	var outcomes []source
	var silent []time.Duration
	for i := range m.sources {
		x := &m.sources[i]
		if s := c.senders[x.node]; s == nil || !s.agreement.sufficient() {
			continue
		}
		result.Replica = x.Replica
		if x.LoadAt.After(result.LoadAt) {
			result.Load, result.LoadAt = x.Load, x.LoadAt
		}
		if x.At.After(result.At) {
			result.At = x.At
		}
		if x.Attempts > 0 {
			outcomes = append(outcomes, *x)
		}
		if x.silent() {
			silent = append(silent, x.Silent)
		}
	}
	result.Attempts, result.Failures = mergeOutcomes(outcomes)
	if len(silent) >= min(minSilentSources, c.recentSenders(now)) && len(silent) > 0 && len(silent)*2 >= len(m.sources) {
		result.Silent = slices.Min(silent)
	}
	m.result = result
}

// mergeOutcomes adds the attempts and failures of several senders, each up to
// maxSourceAttempts, without the highest and the lowest share where there are enough.
func mergeOutcomes(list []source) (attempts, failures int) {
	if len(list) >= trimFrom {
		slices.SortFunc(list, func(a, b source) int { return cmp.Compare(a.FailureShare(), b.FailureShare()) })
		list = list[1 : len(list)-1]
	}
	sum := 0.0
	for i := range list {
		n := min(list[i].Attempts, maxSourceAttempts)
		attempts += n
		sum += float64(n) * list[i].FailureShare()
	}
	return attempts, int(sum + 0.5)
}

// after returns up to limit results that changed after a number and were not last reported by node,
// the newest change first.
func (c *Collector) after(now time.Time, after uint64, node string, limit int) []Observation {
	var results []Observation
	for e := c.order.Front(); e != nil && len(results) < limit; e = e.Next() {
		m := e.Value.(*merged)
		if m.changed <= after || now.Sub(m.changedAt) >= MaxAge {
			break
		}
		if m.by != node && m.result.Replica != "" && !m.result.Expired(now) {
			results = append(results, m.result)
		}
	}
	return results
}

// Dropped returns the number of observations that were not merged.
func (c *Collector) Dropped() uint64 { return c.dropped }
