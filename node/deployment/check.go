package deployment

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/api/peerv1"
	"github.com/carobmill/carobmill/node/caller"
	"github.com/carobmill/carobmill/node/fleet"
	"github.com/carobmill/carobmill/policy/query"
)

const (
	// LeaveGrace is the time after a configuration change, or after the start of a
	// drain, in which a leaving backend server may still receive requests.
	LeaveGrace = 3 * time.Second
	// requestInterval is the time between an answer and the same caller's next request
	// in ShutDownUnderLoad.
	requestInterval = 5 * time.Millisecond
	// startInterval is the time between the starts of two callers, and between the
	// start of the first caller and the shutdown. It exceeds the network delay of a
	// request.
	startInterval = 3 * time.Millisecond
	// requestTimeout bounds a request that is never answered. Such a request is on a
	// connection that the node had not accepted when it closed its listener.
	requestTimeout = 5 * time.Second
)

// ReplicasIn returns the names of the replicas in a data centre.
func (d *Deployment) ReplicasIn(dataCentre string) []string {
	var names []string
	for name := range d.Backends {
		for _, svc := range d.Sheet.GetServices() {
			if replicaOf(svc, name).GetDataCentre() == dataCentre {
				names = append(names, name)
			}
		}
	}
	return names
}

// RequestsDuring returns the number of requests that each of the named backend servers ran
// or rejected during a call. Backend servers without such a request are omitted. Requests
// that were cancelled while they waited for a slot are not counted.
func (d *Deployment) RequestsDuring(during func(), replicas ...string) map[string]uint64 {
	before := make(map[string]uint64, len(replicas))
	for _, name := range replicas {
		before[name] = d.requests(name)
	}
	during()
	counts := make(map[string]uint64)
	for _, name := range replicas {
		if n := d.requests(name) - before[name]; n > 0 {
			counts[name] = n
		}
	}
	return counts
}

// requests returns the number of requests that a backend server has run or rejected, without
// status polls.
func (d *Deployment) requests(replica string) uint64 {
	c := d.Backends[replica].Counts()
	return c.Queries + c.Executes + c.Shed + c.Refused + c.NoSnapshot
}

// ReplayReplicaReport sends the same report about a service's replica to every node, with
// the named node as the sender. The nodes receive it like a delayed message.
func (d *Deployment) ReplayReplicaReport(ctx context.Context, sender, service string, update *pb.ReplicaNews) error {
	for _, n := range d.Nodes {
		req := &pb.ReportReplicaRequest{
			Envelope: &pb.Envelope{Fleet: d.Sheet.GetFleet(), Protocol: fleet.Protocol, Sender: sender},
			Service:  service,
			News:     []*pb.ReplicaNews{update},
		}
		if err := d.report(ctx, n.Settings.GetPeerAddress(), req); err != nil {
			return errors.Wrapf(err, "report to %s", n.Settings.GetNode())
		}
	}
	return nil
}

func (d *Deployment) report(ctx context.Context, address string, req *pb.ReportReplicaRequest) error {
	options := []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}
	if dial := d.dialer(CallerHost); dial != nil {
		options = append(options, grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return dial(ctx, "tcp", address)
		}))
	}
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_, err = peerv1.NewPeerClient(conn).ReportReplica(ctx, req)
	return err
}

// FirstOwner returns the name of the node that reports itself as the first-ranked owner
// of a replica, or "" if no node does.
func (d *Deployment) FirstOwner(ctx context.Context, replica string) string {
	for _, n := range d.Nodes {
		for _, o := range n.NodeStatus(ctx, false)[0].GetOwned() {
			if o.GetReplica() == replica && o.GetRank() == 0 {
				return n.Settings.GetNode()
			}
		}
	}
	return ""
}

// ShutdownResult counts the results of the requests to a node that shut down gracefully.
type ShutdownResult struct {
	// Complete is the number of complete answers. Late is the number of requests that
	// began after the balancer lag and were refused or failed.
	Complete, Late int
	// Interrupted describes each partial answer, and each request that began within the
	// balancer lag and was refused or failed.
	Interrupted []string
}

// ShutDownUnderLoad stops a node gracefully while callers send requests to it. The balancer
// sends callers to the node for lag after the shutdown begins, so each request that begins
// within the lag must get a complete answer. The callers stop lag after the node.
func (d *Deployment) ShutDownUnderLoad(ctx context.Context, n *Node, callers int, lag time.Duration, req *caller.QueryRequest) *ShutdownResult {
	var result ShutdownResult
	var mu sync.Mutex
	var running sync.WaitGroup
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	// The shutdown begins startInterval later, so a request that begins before lagEnd
	// reaches the node within the lag.
	lagEnd := time.Now().Add(lag)
	for i := range callers {
		running.Go(func() {
			time.Sleep(time.Duration(i) * startInterval)
			for ctx.Err() == nil {
				began := time.Now()
				requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
				answer, _, err := d.Query(requestCtx, n.Settings.GetCallerAddress(), req)
				cancel()
				mu.Lock()
				result.record(began.Before(lagEnd), answer, err)
				mu.Unlock()
				time.Sleep(requestInterval)
			}
		})
	}
	time.Sleep(startInterval)
	n.Stop()
	time.Sleep(lag)
	stop()
	running.Wait()
	return &result
}

func (s *ShutdownResult) record(withinLag bool, answer *caller.Answer, err error) {
	switch {
	case err == nil && answer.Outcome == query.Complete:
		s.Complete++
	case err == nil && answer.Outcome == query.Partial:
		s.Interrupted = append(s.Interrupted, fmt.Sprintf("partial, absent %v", answer.Absent))
	case withinLag && err != nil:
		s.Interrupted = append(s.Interrupted, err.Error())
	case withinLag:
		s.Interrupted = append(s.Interrupted, fmt.Sprintf("%s: %s", answer.Outcome, answer.Reason))
	default:
		s.Late++
	}
}
