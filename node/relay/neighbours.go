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

// batchSilence is how long a node may be silent about a batch before others get the next
// ones.
const batchSilence = 90 * time.Millisecond

// Neighbours implements forward.BatchSender over connections between nodes. Safe for
// concurrent use.
type Neighbours struct {
	pool  *peer.Pool
	fleet func() coordinator.Fleet
	log   logrus.FieldLogger

	// mu guards nodes.
	mu    sync.Mutex
	nodes *coordinator.Neighbours
}

// NewNeighbours returns the nodes of a fleet as neighbours of one of them.
func NewNeighbours(own coordinator.Member, pool *peer.Pool, fleet func() coordinator.Fleet, log logrus.FieldLogger) *Neighbours {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Neighbours{pool: pool, fleet: fleet, log: log, nodes: coordinator.NewNeighbours(own, rng)}
}

// SendBatch implements forward.BatchSender.
func (n *Neighbours) SendBatch(ctx context.Context, dataCentre string, b *forward.Batch, deliver func(forward.PartReplies)) (string, bool) {
	fleet := n.fleet()
	n.mu.Lock()
	to, ok := n.nodes.Pick(fleet, dataCentre)
	failed, due := n.nodes.NextProbe(time.Now(), fleet)
	n.mu.Unlock()
	if due {
		go n.prove(failed)
	}
	if !ok {
		return "", false
	}
	conn, err := n.pool.Connection(to.Address)
	if err != nil {
		n.failed(to, err)
		return "", false
	}
	x := &batchExchange{to: to, conn: conn, message: encodeBatch(b), answered: make([]bool, len(b.Replicas)), deliver: deliver}
	go n.carry(ctx, x)
	return to.Node, true
}

// batchExchange is a batch at a neighbour.
type batchExchange struct {
	to      coordinator.Member
	conn    grpc.ClientConnInterface
	message *pb.GatherBatch
	// answered is set for each replica that has a reply, heard once there is any.
	answered []bool
	heard    bool
	deliver  func(forward.PartReplies)
}

// carry sends a batch, delivers its replies, and makes up those that do not come.
func (n *Neighbours) carry(parent context.Context, x *batchExchange) {
	began := time.Now()
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	silent := time.AfterFunc(batchSilence, cancel)
	defer silent.Stop()
	err := n.receive(ctx, x, silent)
	missing := unanswered(x.answered, lostReply(err, x.heard, time.Since(began)))
	if len(missing) == 0 {
		return
	}
	if parent.Err() == nil {
		n.failed(x.to, err)
	}
	x.deliver(forward.PartReplies{Replies: missing})
}

// receive takes the replies of a batch until the stream ends. The first one stops silent.
func (n *Neighbours) receive(ctx context.Context, x *batchExchange, silent *time.Timer) error {
	stream, err := peerv1.NewCoordinatorClient(x.conn).Gather(ctx, x.message)
	if err != nil {
		return err
	}
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		x.heard = true
		silent.Stop()
		r := decodeReplies(m)
		if !x.accept(r) {
			return errMalformed
		}
		if lacksReplica(r) {
			n.failed(x.to, errBehind)
		}
		x.deliver(r)
	}
}

// prove sends a heartbeat to a neighbour that is out of use.
func (n *Neighbours) prove(to coordinator.Member) {
	conn, err := n.pool.Connection(to.Address)
	if err != nil {
		n.failed(to, err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	resp, err := peerv1.NewCoordinatorClient(conn).Heartbeat(ctx, &pb.HeartbeatRequest{})
	if err != nil || resp.GetUnavailable() || resp.GetStale() || !resp.GetConfigured() {
		n.failed(to, err)
		return
	}
	n.mu.Lock()
	again := n.nodes.RecordSuccess(to.Node)
	n.mu.Unlock()
	if again {
		n.log.WithField("neighbour", to.Node).Info("neighbour in use again")
	}
}

// failed takes a neighbour out of use. Its connection is replaced: one that was forgotten
// on the way would swallow heartbeats too.
func (n *Neighbours) failed(to coordinator.Member, err error) {
	n.mu.Lock()
	first := false
	if status.Code(err) == codes.Unimplemented {
		n.nodes.RecordUnsupported(time.Now(), to)
	} else {
		first = n.nodes.RecordFailure(time.Now(), to)
	}
	n.mu.Unlock()
	if first {
		if !errors.Is(err, errBehind) {
			n.pool.Replace(to.Address)
		}
		n.log.WithFields(logrus.Fields{"neighbour": to.Node, logrus.ErrorKey: err}).Info("neighbour out of use: it did not answer a batch")
	}
}

// errBehind tells that a node does not know a replica. It may have lost the store.
var errBehind = errors.New("replica not known there")

// lacksReplica reports whether a node did not know one of the replicas.
func lacksReplica(r forward.PartReplies) bool {
	return slices.ContainsFunc(r.Replies, func(p forward.PartReply) bool {
		return p.Reply.Reason == pb.Reason_REASON_NO_REPLICA
	})
}

// errMalformed tells that a node answered for a replica that it was not sent, or twice.
var errMalformed = errors.New("malformed replies")

// accept notes which replicas have answered, and reports whether each was asked and answers
// for the first time. Records of a group of others cannot be used.
func (x *batchExchange) accept(r forward.PartReplies) bool {
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

// unanswered returns a reply for each replica that has none.
func unanswered(answered []bool, reply backend.ForwardReply) []forward.PartReply {
	var list []forward.PartReply
	for i, done := range answered {
		if !done {
			list = append(list, forward.PartReply{Replica: i, Reply: reply})
		}
	}
	return list
}

// lostReply is what came of the attempts that a neighbour said nothing of. Where it has told
// of others, it was the replicas that took that long.
func lostReply(err error, heard bool, took time.Duration) backend.ForwardReply {
	reply := backend.ForwardReply{Evidence: pb.Evidence_EVIDENCE_UNKNOWN, Reason: pb.Reason_REASON_PEER}
	switch code := status.Code(err); {
	case code == codes.Unimplemented:
		reply.Evidence = pb.Evidence_EVIDENCE_NOT_RUN
	case heard && (code == codes.Canceled || code == codes.DeadlineExceeded):
		reply.Reason, reply.Took = pb.Reason_REASON_CANCELLED, took
	}
	return reply
}
