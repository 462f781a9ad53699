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
	// A result waits for other results to share its message for at most the typical
	// latency of a replica divided by batchWindowDivisor, and at most maxBatchWindow. A
	// separate message for each result costs both nodes more than the result itself.
	batchWindowDivisor = 8
	maxBatchWindow     = 2 * time.Millisecond
	// maxSubrequests bounds the subrequests of one message. An empty subrequest takes 2
	// bytes on the wire, but about a thousand times as much memory to reject.
	maxSubrequests = maxBriefSubrequests
)

// Scatter implements peerv1.PeerServer.
func (s *Server) Scatter(req *pb.ScatterRequest, stream grpc.ServerStreamingServer[pb.ScatterResponse]) error {
	if err := s.checkEnvelope(req.GetEnvelope()); err != nil {
		return err
	}
	subs, err := readSubrequests(req)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	ctx, cancel := withTimeout(stream.Context(), req.GetTimeoutUs())
	defer cancel()
	h := newScatterHandler(ctx, stream, subs, req.GetReadsBrief())
	boot := req.GetEnvelope().GetBoot()
	s.active.add(boot, h)
	defer s.active.remove(boot, h)
	for i := range subs {
		s.submit(req, h, i)
	}
	h.next = &pb.ScatterResponse{Envelope: s.fleet.Envelope(), ReadsBrief: true}
	h.next.News, h.next.NewsRevision = s.owner.ReportsSince(req.GetService(), req.GetNewsSince())
	return h.sendResults(batchWindow(req))
}

// readSubrequests returns the subrequests of a message sorted by attempt, or an error
// that wraps ErrMalformed.
func readSubrequests(req *pb.ScatterRequest) (subrequestList, error) {
	subs := subrequestList(req.GetSubrequests())
	if b := req.GetBrief(); b != nil {
		var err error
		if subs, err = decodeSubrequests(b); err != nil {
			return nil, err
		}
	}
	if len(subs) > maxSubrequests {
		return nil, errors.Wrap(ErrMalformed, "too many subrequests")
	}
	subs = sortedByAttempt(subs)
	for i := range subs[:max(len(subs)-1, 0)] {
		// With duplicates, a result is ambiguous, and a cancellation ends only one of
		// the two subrequests.
		if subs[i].GetAttempt() == subs[i+1].GetAttempt() {
			return nil, errors.Wrap(ErrMalformed, "duplicate attempt")
		}
	}
	return subs, nil
}

// batchWindow returns how long a result may wait for others to share its message.
func batchWindow(req *pb.ScatterRequest) time.Duration {
	typical := owner.DurationFromMicroseconds(req.GetTypicalUs())
	return min(typical/batchWindowDivisor, maxBatchWindow)
}

// submit starts the subrequest with index i of the handler.
func (s *Server) submit(req *pb.ScatterRequest, h *scatterHandler, i int) {
	sub, attempt := h.subs[i], h.attempts[i]
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
		h.results.Put(attemptResult{sub: sub, result: r})
	})
}

// activeScatters holds the Scatter calls in progress, by the boot of the sender. Attempts
// have no index of their own: cancellations are rare, so cancel searches the calls of the
// sender instead. Safe for concurrent use.
type activeScatters struct {
	// mu guards byBoot.
	mu     sync.Mutex
	byBoot map[uint64][]*scatterHandler
}

func (a *activeScatters) add(boot uint64, h *scatterHandler) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byBoot == nil {
		a.byBoot = make(map[uint64][]*scatterHandler)
	}
	a.byBoot[boot] = append(a.byBoot[boot], h)
}

func (a *activeScatters) remove(boot uint64, h *scatterHandler) {
	a.mu.Lock()
	defer a.mu.Unlock()
	remaining := slices.DeleteFunc(a.byBoot[boot], func(other *scatterHandler) bool { return other == h })
	a.byBoot[boot] = remaining
	if len(remaining) == 0 {
		delete(a.byBoot, boot)
	}
}

// cancel ends the given attempts of a sender's boot; attempts not in progress are ignored.
func (a *activeScatters) cancel(boot uint64, attempts []uint64) {
	a.mu.Lock()
	handlers := slices.Clone(a.byBoot[boot])
	a.mu.Unlock()
	for _, h := range handlers {
		for _, id := range attempts {
			if i := h.subs.index(id); i >= 0 {
				h.attempts[i].cancel()
			}
		}
	}
}
