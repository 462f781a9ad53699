package fairshare

import "slices"

// relativeSlowness is the multiple of the median slowness of a request's services from which a
// service counts as slow. Demand slows all services of gathered requests alike.
const relativeSlowness = 3.0

// Service is the state of one service that a request needs.
type Service struct {
	// Free is the number of further requests that its replicas accept from this node.
	Free int
	// Places is the number of requests that its replicas accept from this node in all, and
	// InFlight how many are in flight.
	Places, InFlight int
	// Responsive is set if demand alone can explain the latency of at least one replica.
	Responsive bool
	// Slowness is the latency of the fastest replica as a multiple of the usual, and MeanSlowness
	// that of the responsive ones.
	Slowness, MeanSlowness float64
}

// queuedSlowness is the slowness up to which requests may use all places while others wait.
// Beyond it, replicas hold more requests than they work on, and an urgent one waits behind them.
const queuedSlowness = 1.5

// free returns the number of further requests that may start. While requests wait (short), it
// shrinks as the queues of the replicas grow: with the places of all nodes in use, the answers of the most urgent requests
// would be late. One request may always be in flight.
func (s Service) free(short bool) int {
	if !short || s.MeanSlowness <= queuedSlowness {
		return s.Free
	}
	allowed := max(1, int(float64(s.Places)*queuedSlowness/s.MeanSlowness))
	return max(0, min(s.Free, allowed-s.InFlight))
}

// Room is the room of a request.
type Room struct {
	// Free is the number of further requests of its kind that can start.
	Free int
	// Broken is the number of its services that demand does not explain.
	Broken int
	// Unservable is set if the coverage cannot be reached without the broken services. No order
	// of requests helps then, so that none may wait.
	Unservable bool
}

// Combine returns the room of a request that needs a share of the services, from 0 to 1: the
// room of the scarcest service that it cannot do without. short is set while requests wait.
func Combine(services []Service, coverage float64, short bool) Room {
	const tolerance = 1e-9
	spare := int(float64(len(services))*(1-coverage) + tolerance)
	slowest := relativeSlowness * max(1, medianSlowness(services))
	var room Room
	var few [maxFew]int
	free := few[:0]
	for _, s := range services {
		if !s.Responsive || s.Free <= 0 && s.Slowness >= slowest {
			room.Broken++
			continue
		}
		free = append(free, s.free(short))
	}
	if room.Broken > spare || len(free) == 0 {
		room.Unservable = true
		return room
	}
	if spare > room.Broken {
		slices.Sort(free)
		room.Free = free[min(spare-room.Broken, len(free)-1)]
		return room
	}
	room.Free = slices.Min(free)
	return room
}

// maxFew is the number of services up to which Combine allocates nothing.
const maxFew = 64

// medianSlowness returns the median slowness of the services; 1 if there are fewer than three,
// which have no usual one.
func medianSlowness(services []Service) float64 {
	if len(services) < 3 {
		return maxSlowness
	}
	var few [maxFew]float64
	values := few[:0]
	for _, s := range services {
		values = append(values, s.Slowness)
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// maxSlowness is above any slowness.
const maxSlowness = 1000

// Processor is the room of a node's processor.
type Processor struct {
	// Cores is the capacity of the node; 0 for no bound.
	Cores float64
	// Work is the processor time of the requests in progress, in seconds.
	Work float64
}

// Accepts reports whether a request with the given work can start: by Little's law, the
// processor sustains requests in progress as long as their work fits into the objective. A node
// always accepts a single request.
func (p Processor) Accepts(work, objective float64) bool {
	return p.Cores <= 0 || p.Work <= 0 || objective <= 0 || p.Work+work <= p.Cores*objective
}
