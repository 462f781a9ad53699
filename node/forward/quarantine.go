package forward

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/policy/quarantine"
	"github.com/carobmill/carobmill/policy/registry"
)

// crashWait bounds how long the result of a lost attempt waits for the check whether its
// replica crashed. A refusal within a region takes 2 ms.
const crashWait = 40 * time.Millisecond

// Kinds of decisions about requests that crash replicas.
const (
	decisionSuspected   = "request_suspected"
	decisionQuarantined = "request_quarantined"
	decisionCleared     = "request_cleared"
)

// content identifies requests with the same content from the same caller.
type content struct {
	// requestID is that of the caller's attempt, for messages.
	requestID string
	// fingerprint is computed at its first use: most requests need none.
	fingerprint func() quarantine.Fingerprint
	// services returns the services to which the request may go.
	services func() map[string]bool
}

func (f *Forwarder) contentOf(r *Request) *content {
	return &content{
		requestID: r.ID,
		fingerprint: sync.OnceValue(func() quarantine.Fingerprint {
			return quarantine.NewFingerprint(r.Method, r.Host, r.Target, r.caller(), r.Body)
		}),
		services: func() map[string]bool { return f.servicesOf(r) },
	}
}

// caller identifies the caller of a request: its account, or its credentials if the
// configuration has no accounts.
func (r *Request) caller() string {
	if r.Account != "" {
		return r.Account
	}
	return r.Header.Get(headerAuthorization)
}

// servicesOf returns the services of a request's route.
func (f *Forwarder) servicesOf(r *Request) map[string]bool {
	services := make(map[string]bool)
	view := f.opts.Source.View()
	if view == nil {
		return services
	}
	matched := view.Index.Match(r.Host, r.Path)
	if matched == nil {
		return services
	}
	for _, name := range matched.Shards {
		services[name] = true
	}
	for _, part := range matched.Split {
		services[part.Service] = true
	}
	return services
}

// suspects holds the requests that are suspected of crashing replicas. Safe for concurrent
// use.
type suspects struct {
	detector *crashDetector
	// event receives decisions. notify is called after changes that other nodes are to
	// learn of.
	event  func(kind, subject, detail string)
	notify func()
	// size is the number of requests in table. While it is 0, requests skip the table.
	size atomic.Int64

	// mu guards the fields below.
	mu    sync.Mutex
	table *quarantine.Table
	// changed is closed and replaced when the table changes or a trial ends.
	changed chan struct{}
	// unsent holds the requests whose records changed since SuspectChanges, and unstored those that
	// were quarantined by this node since Quarantined.
	unsent, unstored map[quarantine.Fingerprint]bool
}

func newSuspects(client *backend.Client, event func(kind, subject, detail string), notify func()) *suspects {
	return &suspects{
		detector: newCrashDetector(client),
		event:    event,
		notify:   notify,
		table:    quarantine.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		changed:  make(chan struct{}),
		unsent:   make(map[quarantine.Fingerprint]bool),
		unstored: make(map[quarantine.Fingerprint]bool),
	}
}

func replicaKey(r *registry.Replica) uint64 { return quarantine.Key(r.ID, r.Incarnation) }

func serviceKey(name string) uint64 { return quarantine.Key(name, 0) }

// updateLocked records a change of the table. s.mu is held.
func (s *suspects) updateLocked() {
	s.size.Store(int64(s.table.Len()))
	close(s.changed)
	s.changed = make(chan struct{})
}

// check returns how a request is to be handled.
func (s *suspects) check(c *content) quarantine.Verdict {
	if s.size.Load() == 0 {
		return quarantine.Verdict{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Check(time.Now(), c.fingerprint())
}

// records returns the record of a request, if there is one.
func (s *suspects) records(c *content) []quarantine.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Records([]quarantine.Fingerprint{c.fingerprint()})
}

// awaitChange returns a channel that is closed at the next change.
func (s *suspects) awaitChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *suspects) startTrial(c *content, service string) (id uint64, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.StartTrial(time.Now(), c.fingerprint(), serviceKey(service))
}

func (s *suspects) endTrial(c *content, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.EndTrial(c.fingerprint(), id)
	s.updateLocked()
}

// recordLoss checks whether the replica of a lost attempt has crashed, and records that. The
// result is available once that is known.
func (f *Forwarder) recordLoss(c *content, replica *registry.Replica, trial bool) *lossCheck {
	lostAt := time.Now()
	refuses := f.suspects.detector.refuses(replica.Address)
	reaches := f.suspects.detector.reaches(replica.DataCentre, f.controls(c, replica.DataCentre))
	check := &lossCheck{done: make(chan struct{})}
	go func() {
		defer close(check.done)
		if check.crashed = refuses.wait() && reaches.wait(); check.crashed {
			f.suspects.recordCrash(c, replica, quarantine.Crash{
				Replica: replicaKey(replica), Service: serviceKey(replica.Service), Trial: trial, At: lostAt,
			})
		}
	}()
	return check
}

// lossCheck is the check whether a replica has crashed. crashed is set before done is
// closed.
type lossCheck struct {
	done    chan struct{}
	crashed bool
}

// wait reports whether the replica is known to have crashed within crashWait.
func (c *lossCheck) wait() bool {
	timer := time.NewTimer(crashWait)
	defer timer.Stop()
	select {
	case <-c.done:
		return c.crashed
	case <-timer.C:
		return false
	}
}

func (s *suspects) recordCrash(c *content, replica *registry.Replica, crash quarantine.Crash) {
	f := c.fingerprint()
	now := time.Now()
	s.mu.Lock()
	known := s.table.Check(now, f)
	changed, quarantined := s.table.RecordCrash(now, f, crash)
	if changed {
		s.updateLocked()
	}
	// A single crash may have any cause. Other nodes learn of it at the next exchange.
	repeated := changed && (known.Suspect() || crash.Trial)
	if repeated {
		s.unsent[f] = true
	}
	if quarantined {
		s.unstored[f] = true
	}
	s.mu.Unlock()
	if !changed {
		return
	}
	if repeated {
		s.notify()
	}
	detail := "replica " + replica.ID + " of " + replica.Service + " crashed, request " + c.requestID +
		", trial " + strconv.FormatBool(crash.Trial)
	switch {
	case quarantined:
		s.event(decisionQuarantined, f.String(), detail)
	case !known.Suspect() || crash.Trial:
		s.event(decisionSuspected, f.String(), detail)
	}
}

// recordAnswer records that a replica of a service has run the request to its end.
func (s *suspects) recordAnswer(c *content, service string) {
	if s.size.Load() == 0 {
		return
	}
	f := c.fingerprint()
	s.mu.Lock()
	cleared := s.table.RecordAnswer(time.Now(), f, serviceKey(service))
	if cleared {
		s.unsent[f] = true
		s.updateLocked()
	}
	s.mu.Unlock()
	if cleared {
		s.notify()
		s.event(decisionCleared, f.String(), "answered by "+service+", request "+c.requestID)
	}
}

// MergeSuspects adds the records of another node about requests that crash replicas.
func (f *Forwarder) MergeSuspects(records []quarantine.Record) {
	if len(records) == 0 {
		return
	}
	s := f.suspects
	s.mu.Lock()
	merged := s.table.Merge(time.Now(), records)
	for _, c := range merged.Changed {
		s.unsent[c] = true
	}
	for _, c := range merged.Proven {
		s.unstored[c] = true
	}
	if len(merged.Changed) > 0 {
		s.updateLocked()
	}
	s.mu.Unlock()
	if len(merged.Changed) > 0 {
		s.notify()
	}
	for _, c := range merged.Proven {
		s.event(decisionQuarantined, c.String(), "crashes seen by several nodes")
	}
	for _, c := range merged.Reported {
		s.event(decisionQuarantined, c.String(), "reported by another node")
	}
}

// Refuse quarantines a request that another node has quarantined in the store.
func (f *Forwarder) Refuse(request quarantine.Fingerprint) {
	s := f.suspects
	now := time.Now()
	s.mu.Lock()
	changed := s.table.Refuse(now, request, now.Add(quarantine.Duration))
	delete(s.unstored, request)
	if changed {
		s.updateLocked()
	}
	s.mu.Unlock()
	if changed {
		s.event(decisionQuarantined, request.String(), "read from the store")
	}
}

// SuspectChanges returns the records that changed since the last call, at most
// quarantine.MaxRecords of them.
func (f *Forwarder) SuspectChanges() []quarantine.Record {
	s := f.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := slices.Collect(maps.Keys(s.unsent))
	changed = changed[:min(len(changed), quarantine.MaxRecords)]
	for _, c := range changed {
		delete(s.unsent, c)
	}
	return s.table.Records(changed)
}

// Suspects returns the newest records, at most quarantine.MaxRecords.
func (f *Forwarder) Suspects() []quarantine.Record {
	s := f.suspects
	if s.size.Load() == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.table.Newest(time.Now(), quarantine.MaxRecords)
	s.size.Store(int64(s.table.Len()))
	return list
}

// Quarantined returns the requests that this node has quarantined since the last call. They
// are to be written to the store.
func (f *Forwarder) Quarantined() []quarantine.Fingerprint {
	s := f.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	list := slices.Collect(maps.Keys(s.unstored))
	clear(s.unstored)
	return list
}
