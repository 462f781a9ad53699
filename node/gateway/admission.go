package gateway

import (
	"cmp"
	"slices"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/forward"
)

// recordAdmission counts a decision of admission by priority and account.
func (g *Gateway) recordAdmission(a forward.Admission) {
	g.metrics.Admission(a.Priority, a.Account, a.Cause.String(), a.Waited)
}

// reportAdmission sets the gauges of admission and of the room of services.
func (g *Gateway) reportAdmission(set func(name string, value float64)) {
	s := g.forwarder.AdmissionState()
	if !s.Active {
		return
	}
	waiting := 0
	for _, n := range s.Waiting {
		waiting += n
	}
	set("admission_waiting", float64(waiting))
	set("admission_short_seconds", shortFor(s).Seconds())
	for _, r := range g.forwarder.Rooms() {
		g.metrics.ServiceRoom(r.Service, r.Free, r.Places)
	}
}

// shortFor returns how long requests have had to wait for room.
func shortFor(s forward.AdmissionState) time.Duration {
	if s.ShortSince.IsZero() {
		return 0
	}
	return time.Since(s.ShortSince)
}

// admissionStatus returns the room of services and the state of admission; nil where requests
// are not admitted by priority and account.
func (g *Gateway) admissionStatus() ([]*pb.ServiceRoom, *pb.AdmissionStatus) {
	s := g.forwarder.AdmissionState()
	if !s.Active {
		return nil, nil
	}
	var rooms []*pb.ServiceRoom
	for _, r := range g.forwarder.Rooms() {
		rooms = append(rooms, &pb.ServiceRoom{
			Service: r.Service, Free: uint32(r.Free), Places: uint32(r.Places),
			Usable: uint32(r.Usable), Responsive: uint32(r.Responsive),
		})
	}
	status := &pb.AdmissionStatus{
		ShortMs: uint64(shortFor(s).Milliseconds()),
		AtOnce:  s.Counts.AtOnce, Waited: s.Counts.Waited, Refused: s.Counts.Refused,
	}
	for priority, n := range s.Waiting {
		status.Waiting = append(status.Waiting, &pb.WaitingRequests{Priority: int32(priority), Requests: uint32(n)})
	}
	slices.SortFunc(status.Waiting, func(a, b *pb.WaitingRequests) int { return cmp.Compare(a.Priority, b.Priority) })
	return rooms, status
}
