package forward

import (
	"slices"
	"strings"
	"time"

	"github.com/carobmill/carobmill/node/directory"
	"github.com/carobmill/carobmill/policy/fairshare"
	"github.com/carobmill/carobmill/policy/route"
	"github.com/carobmill/carobmill/policy/upstream"
)

const (
	// attemptWork is the processor time of an attempt, in seconds (BenchmarkGather, 45 us with
	// the work of the stand-in replicas).
	attemptWork = 45e-6
	// roomAge is how long an observed room is used while it exceeds the requests that are in
	// progress since, and ampleRoomAge how long while half of it is free: the attempts beyond
	// the first ones change it little meanwhile.
	roomAge      = 5 * time.Millisecond
	ampleRoomAge = 100 * time.Millisecond
)

// kindKey identifies requests that need the same services.
type kindKey struct {
	// route is set for gathered requests, and service for others.
	route, service string
}

// kind is the state of the requests that need the same services. Guarded by admission.mu.
type kind struct {
	f *Forwarder
	// view, route and names are those of the newest request.
	view     *directory.View
	route    *route.Route
	names    []string
	states   []*service
	services []fairshare.Service
	// room is the one for a request that arrives while none waits, and shortRoom the one while
	// requests wait.
	room, shortRoom fairshare.Room
	// observedAt is when the rooms were observed, and observedActive the number of requests in
	// progress at that time.
	observedAt     time.Time
	observedActive int
	// waiting counts the waiting requests, and byPriority those of each priority
	// at which they wait.
	waiting    int
	byPriority map[int]int
	// unreserved counts the admitted requests that have not reserved their replicas.
	unreserved int
}

// kind returns the kind of a request, which is created if there is none.
func (a *admission) kind(q *exchange) *kind {
	key := kindKey{route: q.route.Name}
	if !q.route.Gathers() {
		key = kindKey{service: q.names[0]}
	}
	k := a.kinds[key]
	if k == nil {
		a.removeIdleKinds()
		k = &kind{f: a.f, byPriority: make(map[int]int)}
		a.kinds[key] = k
	}
	if k.view != q.view {
		k.states = k.states[:0]
		for _, name := range q.names {
			k.states = append(k.states, a.f.service(name))
		}
	}
	k.view, k.route, k.names = q.view, q.route, q.names
	return k
}

// maxIdleKinds is the number of kinds from which those that are not in use are deleted, since
// routes and services of former configurations do not return.
const maxIdleKinds = 256

func (a *admission) removeIdleKinds() {
	if len(a.kinds) < maxIdleKinds {
		return
	}
	for key, k := range a.kinds {
		if k.waiting == 0 && k.unreserved == 0 {
			delete(a.kinds, key)
		}
	}
}

func (k *kind) add(priority, n int) {
	k.waiting += n
	k.byPriority[priority] += n
	if k.byPriority[priority] == 0 {
		delete(k.byPriority, priority)
	}
}

// waitsAbove reports whether requests of a higher priority than a given one wait.
func (k *kind) waitsAbove(priority int) bool {
	for p := range k.byPriority {
		if p < priority {
			return true
		}
	}
	return false
}

func (k *kind) uses(service string) bool { return slices.Contains(k.names, service) }

// shares reports whether two kinds have a service in common.
func (k *kind) shares(other *kind) bool {
	return k == other || slices.ContainsFunc(k.names, other.uses)
}

// work returns the processor time of one request, in seconds.
func (k *kind) work() float64 { return attemptWork * float64(len(k.names)) }

// observe reads the room of the services.
func (k *kind) observe(now time.Time) {
	size := k.f.opts.Source.FleetSize()
	unreachable := k.f.reach.unreachable()
	k.services = k.services[:0]
	for i, name := range k.names {
		r := k.f.serviceRoom(now, k.states[i], k.view.Index.Service(name), size, unreachable)
		k.services = append(k.services, fairshare.Service{
			Free: r.Free, Places: r.Places, InFlight: r.InFlight, Responsive: r.Responsive > 0,
			Slowness: r.Slowness, MeanSlowness: r.MeanSlowness,
		})
	}
	coverage := 1.0
	if k.route.Gathers() {
		coverage = k.route.MinCoverage
	}
	k.room = fairshare.Combine(k.services, coverage, false)
	k.shortRoom = fairshare.Combine(k.services, coverage, true)
	k.observedAt = now
	k.observedActive = k.f.admission.active
}

// serviceRoom returns the room of a service.
func (f *Forwarder) serviceRoom(now time.Time, s *service, spec *route.Service, size float64, unreachable map[string]bool) upstream.Room {
	request := upstream.Request{
		DataCentre: f.opts.DataCentre, MaxInFlightPerReplica: connectionShare(spec, size), ColdPerSecond: -1, Unreachable: unreachable,
	}
	if spec != nil && spec.ColdPerSecond > 0 {
		request.ColdPerSecond = spec.ColdPerSecond / (size + 1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Room(now, request)
}

// startable reports whether a request that arrives while none waits can start at once.
func (a *admission) startable(now time.Time, k *kind) bool {
	since := max(a.active-k.observedActive, 0)
	age := roomAge
	if 2*since <= k.room.Free {
		age = ampleRoomAge
	}
	if now.Sub(k.observedAt) >= age || k.room.Free <= since {
		k.observe(now)
	}
	return a.hasRoom(k, k.room, 0)
}

// hasRoom reports whether a request of the kind has room: at its services, beside the requests
// that were admitted and have not reserved their replicas and the places to leave, and at the
// processor.
func (a *admission) hasRoom(k *kind, room fairshare.Room, reserve int) bool {
	if room.Unservable {
		return true
	}
	free := room.Free
	for _, other := range a.kinds {
		if other.unreserved > 0 && k.shares(other) {
			free -= other.unreserved
		}
	}
	return free > reserve && a.processorAccepts(k)
}

func (a *admission) processorAccepts(k *kind) bool {
	p := fairshare.Processor{Cores: a.f.opts.Capacity, Work: a.work}
	return p.Accepts(k.work(), k.route.Objective.Seconds())
}

// blocked reports whether requests of a higher priority wait without room for a service of the
// kind, or for the processor.
func (a *admission) blocked(k *kind, priority int) bool {
	for _, other := range a.kinds {
		if !other.waitsAbove(priority) || a.hasRoom(other, other.shortRoom, 0) {
			continue
		}
		if k.shares(other) || !a.processorAccepts(other) {
			return true
		}
	}
	return false
}

// ServiceRoom is the room of a service at this node.
type ServiceRoom struct {
	Service                          string
	Free, Places, Usable, Responsive int
}

// Rooms returns the room of the services of the newest requests, by name. It is empty where
// requests are not admitted by priority and account.
func (f *Forwarder) Rooms() []ServiceRoom {
	now := time.Now()
	size := f.opts.Source.FleetSize()
	unreachable := f.reach.unreachable()
	a := f.admission
	a.mu.Lock()
	views := make(map[string]*directory.View)
	for _, k := range a.kinds {
		for _, name := range k.names {
			views[name] = k.view
		}
	}
	a.mu.Unlock()
	rooms := make([]ServiceRoom, 0, len(views))
	for name, view := range views {
		r := f.serviceRoom(now, f.service(name), view.Index.Service(name), size, unreachable)
		rooms = append(rooms, ServiceRoom{Service: name, Free: r.Free, Places: r.Places, Usable: r.Usable, Responsive: r.Responsive})
	}
	slices.SortFunc(rooms, func(a, b ServiceRoom) int { return strings.Compare(a.Service, b.Service) })
	return rooms
}
