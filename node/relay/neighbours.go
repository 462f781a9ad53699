package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/api/peerv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/node/peer"
	"github.com/carobmill/carobmill/policy/coordinator"
)

// firstReplyTimeout is how long a node may take until its first reply to a batch. After
// that the node is marked as failed and receives no batches until it answers a heartbeat.
const firstReplyTimeout = 90 * time.Millisecond

// Neighbours implements forward.BatchSender over the connections between nodes. Safe for
// concurrent use.
type Neighbours struct {
	pool  *peer.Pool
	fleet func() coordinator.Fleet
	log   logrus.FieldLogger

	// mu guards nodes.
	mu    sync.Mutex
	nodes *coordinator.Neighbours
}

// NewNeighbours returns a sender of batches from the node self to the nodes of a fleet.
func NewNeighbours(self coordinator.Member, pool *peer.Pool, fleet func() coordinator.Fleet, log logrus.FieldLogger) *Neighbours {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Neighbours{pool: pool, fleet: fleet, log: log, nodes: coordinator.NewNeighbours(self, rng)}
}

// SendBatch implements forward.BatchSender.
func (n *Neighbours) SendBatch(ctx context.Context, dataCentre string, b *forward.Batch, deliver func(forward.PartReplies)) (string, bool) {
	fleet := n.fleet()
	n.mu.Lock()
	to, ok := n.nodes.Pick(fleet, dataCentre)
	failed, probeDue := n.nodes.NextProbe(time.Now(), fleet)
	n.mu.Unlock()
	if probeDue {
		go n.probe(failed)
	}
	if !ok {
		return "", false
	}
	conn, err := n.pool.Connection(to.Address)
	if err != nil {
		n.markFailed(to, err)
		return "", false
	}
	x := &batchExchange{to: to, conn: conn, message: encodeBatch(b), answered: make([]bool, len(b.Replicas)), deliver: deliver}
	go n.runBatch(ctx, x)
	return to.Node, true
}

// batchExchange is a batch in flight at a neighbour.
type batchExchange struct {
	to      coordinator.Member
	conn    grpc.ClientConnInterface
	message *pb.GatherBatch
	// answered is set for each replica that has a reply. replied is set once any reply was
	// received.
	answered []bool
	replied  bool
	deliver  func(forward.PartReplies)
}

// runBatch sends a batch, delivers its replies, and delivers a failure for each replica
// without one.
func (n *Neighbours) runBatch(parent context.Context, x *batchExchange) {
	start := time.Now()
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	firstReplyTimer := time.AfterFunc(firstReplyTimeout, cancel)
	defer firstReplyTimer.Stop()
	err := n.receiveReplies(ctx, x, firstReplyTimer)
	missing := unansweredReplies(x.answered, missingReply(err, x.replied, time.Since(start)))
	if len(missing) == 0 {
		return
	}
	if parent.Err() == nil {
		n.markFailed(x.to, err)
	}
	x.deliver(forward.PartReplies{Replies: missing})
}

// receiveReplies delivers the replies of a batch until the stream ends. The first message
// stops firstReplyTimer.
func (n *Neighbours) receiveReplies(ctx context.Context, x *batchExchange, firstReplyTimer *time.Timer) error {
	stream, err := peerv1.NewCoordinatorClient(x.conn).Gather(ctx, x.message)
	if err != nil {
		return err
	}
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		x.replied = true
		firstReplyTimer.Stop()
		r := decodeReplies(m, time.Now())
		if !x.markAnswered(r) {
			return errMalformed
		}
		if hasUnknownReplica(r) {
			n.markFailed(x.to, errUnknownReplica)
		}
		x.deliver(r)
	}
}

// probe sends a heartbeat to a failed neighbour.
func (n *Neighbours) probe(to coordinator.Member) {
	conn, err := n.pool.Connection(to.Address)
	if err != nil {
		n.markFailed(to, err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	resp, err := peerv1.NewCoordinatorClient(conn).Heartbeat(ctx, &pb.HeartbeatRequest{})
	if err != nil || resp.GetUnavailable() || resp.GetStale() || !resp.GetConfigured() {
		n.markFailed(to, err)
		return
	}
	n.mu.Lock()
	again := n.nodes.RecordSuccess(to.Node)
	n.mu.Unlock()
	if again {
		n.log.WithField("neighbour", to.Node).Info("neighbour recovered")
	}
}

// markFailed marks a neighbour as failed. At the neighbour's first failure its connection is
// replaced, since a connection whose state was lost on the network path would lose heartbeats
// too. The connection is kept when the neighbour only lacks a replica or does not support
// batches.
func (n *Neighbours) markFailed(to coordinator.Member, err error) {
	n.mu.Lock()
	first := false
	if status.Code(err) == codes.Unimplemented {
		n.nodes.RecordUnsupported(time.Now(), to)
	} else {
		first = n.nodes.RecordFailure(time.Now(), to)
	}
	n.mu.Unlock()
	if first {
		if !errors.Is(err, errUnknownReplica) {
			n.pool.Replace(to.Address)
		}
		n.log.WithFields(logrus.Fields{"neighbour": to.Node, logrus.ErrorKey: err}).Info("neighbour marked as failed")
	}
}

// errUnknownReplica means that a neighbour does not have a replica. Its view of the store
// may be out of date.
var errUnknownReplica = errors.New("neighbour does not have the replica")

// hasUnknownReplica reports whether a neighbour did not have one of the replicas.
func hasUnknownReplica(r forward.PartReplies) bool {
	return slices.ContainsFunc(r.Replies, func(p forward.PartReply) bool {
		return p.Reply.Reason == pb.Reason_REASON_NO_REPLICA
	})
}

// errMalformed means that a neighbour replied for a replica that is not in the batch, or
// twice for one.
var errMalformed = errors.New("reply for a replica that is not in the batch or was already answered")

// markAnswered records which replicas have answered. It reports false when a replica is not
// in the batch or has already answered. The whole message is rejected then, because its
// records cannot be attributed to single replicas.
func (x *batchExchange) markAnswered(r forward.PartReplies) bool {
	before := slices.Clone(x.answered)
	for _, reply := range r.Replies {
		if reply.Replica >= len(x.answered) || x.answered[reply.Replica] {
			x.answered = before
			return false
		}
		x.answered[reply.Replica] = true
	}
	return true
}

// unansweredReplies returns reply for each replica without a reply.
func unansweredReplies(answered []bool, reply backend.ForwardReply) []forward.PartReply {
	var list []forward.PartReply
	for i, done := range answered {
		if !done {
			list = append(list, forward.PartReply{Replica: i, Reply: reply})
		}
	}
	return list
}

// missingReply returns the reply for attempts that the neighbour did not report. If it
// reported others before the batch was cancelled, the replicas were slow, not the
// neighbour.
func missingReply(err error, replied bool, took time.Duration) backend.ForwardReply {
	reply := backend.ForwardReply{Evidence: pb.Evidence_EVIDENCE_UNKNOWN, Reason: pb.Reason_REASON_PEER}
	switch code := status.Code(err); {
	case code == codes.Unimplemented:
		reply.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
	case replied && (code == codes.Canceled || code == codes.DeadlineExceeded):
		reply.Reason, reply.Took = pb.Reason_REASON_CANCELLED, took
	}
	return reply
}
