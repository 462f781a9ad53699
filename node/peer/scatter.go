package peer

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/owner"
)

const (
	// gatherPart is the part of the typical time at a replica for which a result may
	// wait for others to share its message, and maxGather bounds that. A message of
	// its own for each result costs both nodes more than the result itself.
	gatherPart = 8
	maxGather  = 2 * time.Millisecond
	// maxSubrequests bounds those of one message. An empty one takes 2 bytes to send
	// and a thousand times that to refuse.
	maxSubrequests = maxBrief
)

// Scatter implements peerv1.PeerServer.
func (s *Server) Scatter(req *pb.ScatterRequest, stream grpc.ServerStreamingServer[pb.ScatterResponse]) error {
	if err := s.check(req.GetEnvelope()); err != nil {
		return err
	}
	subs, err := readSubrequests(req)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	ctx, cancel := withTimeout(stream.Context(), req.GetTimeoutUs())
	defer cancel()
	p := newPart(ctx, stream, subs, req.GetReadsBrief())
	boot := req.GetEnvelope().GetBoot()
	s.running.add(boot, p)
	defer s.running.remove(boot, p)
	for at := range subs {
		s.submit(req, p, at)
	}
	p.next = &pb.ScatterResponse{Envelope: s.fleet.Envelope(), ReadsBrief: true}
	p.next.News, p.next.NewsRevision = s.owner.ReportsSince(req.GetService(), req.GetNewsSince())
	return p.forward(gatherTime(req))
}

// readSubrequests returns the subrequests of a message in the order of their
// attempts, or ErrMalformed.
func readSubrequests(req *pb.ScatterRequest) (asked, error) {
	subs := asked(req.GetSubrequests())
	if b := req.GetBrief(); b != nil {
		var err error
		if subs, err = subrequests(b); err != nil {
			return nil, err
		}
	}
	if len(subs) > maxSubrequests {
		return nil, errors.Wrap(ErrMalformed, "number of subrequests")
	}
	subs = sorted(subs)
	for i := range subs[:max(len(subs)-1, 0)] {
		// Both would answer to one name, and a cancellation would end only one.
		if subs[i].GetAttempt() == subs[i+1].GetAttempt() {
			return nil, errors.Wrap(ErrMalformed, "attempt that comes twice")
		}
	}
	return subs, nil
}

// gatherTime is how long a result may wait for others.
func gatherTime(req *pb.ScatterRequest) time.Duration {
	typical := owner.DurationFromMicroseconds(req.GetTypicalUs())
	return min(typical/gatherPart, maxGather)
}

// submit starts the subrequest at a place of the part.
func (s *Server) submit(req *pb.ScatterRequest, p *part, at int) {
	sub, attempt := p.subs[at], p.attempts[at]
	s.owner.Submit(attempt.ctx, owner.Request{
		Service:    req.GetService(),
		Class:      req.GetClass(),
		Shard:      sub.GetShard(),
		Replica:    sub.GetReplica(),
		Generation: req.GetGeneration(),
		Snapshot:   req.GetSnapshot(),
		Body:       req.GetQuery(),
		Attempt:    sub.GetAttempt(),
		Sender:     req.GetEnvelope().GetBoot(),
		Extra:      sub.GetExtra(),
		Typical:    owner.DurationFromMicroseconds(req.GetTypicalUs()),
	}, func(r *pb.SubrequestResult) {
		attempt.cancel()
		p.results.Put(answered{sub: sub, result: r})
	})
}

// running is the parts under way, by the boot of the sender. Attempts are looked for
// when one is cancelled, which is rare, and cost nothing otherwise. Safe for
// concurrent use.
type running struct {
	// mu guards parts.
	mu    sync.Mutex
	parts map[uint64][]*part
}

func (r *running) add(boot uint64, p *part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.parts == nil {
		r.parts = make(map[uint64][]*part)
	}
	r.parts[boot] = append(r.parts[boot], p)
}

func (r *running) remove(boot uint64, p *part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := slices.DeleteFunc(r.parts[boot], func(other *part) bool { return other == p })
	r.parts[boot] = left
	if len(left) == 0 {
		delete(r.parts, boot)
	}
}

// cancel ends attempts of one boot; those that are not under way are passed over.
func (r *running) cancel(boot uint64, attempts []uint64) {
	r.mu.Lock()
	parts := slices.Clone(r.parts[boot])
	r.mu.Unlock()
	for _, p := range parts {
		for _, id := range attempts {
			if at := p.subs.find(id); at >= 0 {
				p.attempts[at].cancel()
			}
		}
	}
}
