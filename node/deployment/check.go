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
	// LeaveGrace is how long after a change, or after its own word, a backend
	// server may still get new work.
	LeaveGrace = 3 * time.Second
	// shutdownPause is the time between the requests of one caller in ShutDownUnderLoad.
	shutdownPause = 5 * time.Millisecond
	// shutdownMargin is the time that a caller's request may take to the node, and
	// that callers start apart.
	shutdownMargin = 3 * time.Millisecond
	// shutdownPatience bounds a request that is never answered, as one does whose
	// connection the node had not accepted when it closed its port.
	shutdownPatience = 5 * time.Second
)

// ReplicasIn returns the names of the sheet's replicas in a data centre.
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

// RequestsDuring returns how many requests each of the named backend servers got during a
// call, those that it refused included. Backend servers without any are left out, so
// that an empty result keeps the promise that whatever leaves gets no new work.
func (d *Deployment) RequestsDuring(during func(), replicas ...string) map[string]uint64 {
	before := make(map[string]uint64, len(replicas))
	for _, name := range replicas {
		before[name] = d.requests(name)
	}
	during()
	got := make(map[string]uint64)
	for _, name := range replicas {
		if n := d.requests(name) - before[name]; n > 0 {
			got[name] = n
		}
	}
	return got
}

// requests counts what a backend server was asked to do; status polls are no work.
func (d *Deployment) requests(replica string) uint64 {
	c := d.Backends[replica].Counts()
	return c.Queries + c.Executes + c.Shed + c.Refused + c.NoSnapshot
}

// ReplayReplicaReport sends every node the same news of a service's replica as if it came from
// the named node, as a message does that was delayed on its way.
func (d *Deployment) ReplayReplicaReport(ctx context.Context, sender, service string, news *pb.ReplicaNews) error {
	for _, n := range d.Nodes {
		req := &pb.ReportReplicaRequest{
			Envelope: &pb.Envelope{Fleet: d.Sheet.GetFleet(), Protocol: fleet.Protocol, Sender: sender},
			Service:  service,
			News:     []*pb.ReplicaNews{news},
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

// FirstOwner names the node that calls itself the first-ranked owner of a replica,
// and is empty when none does.
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

// ShutdownResult is what callers of one node saw of its graceful shutdown.
type ShutdownResult struct {
	// Complete answers, and requests that came after the balancer's lag and were
	// refused as not run or found the port closed.
	Complete, Late int
	// Interrupted says what became of each request that was due a whole answer and did
	// not get one, and of each partial answer.
	Interrupted []string
}

// ShutDownUnderLoad stops a node gracefully while callers use it without pause. A balancer
// goes on sending them for its lag; each request that they begin until then is due
// a whole answer. Callers end some time after the node has.
func (d *Deployment) ShutDownUnderLoad(ctx context.Context, n *Node, callers int, lag time.Duration, req *caller.QueryRequest) *ShutdownResult {
	var saw ShutdownResult
	var mu sync.Mutex
	var asking sync.WaitGroup
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	// What begins by then reaches the node within the lag.
	due := time.Now().Add(lag)
	for i := range callers {
		asking.Go(func() {
			time.Sleep(time.Duration(i) * shutdownMargin)
			for ctx.Err() == nil {
				began := time.Now()
				patient, end := context.WithTimeout(context.WithoutCancel(ctx), shutdownPatience)
				answer, _, err := d.Query(patient, n.Settings.GetCallerAddress(), req)
				end()
				mu.Lock()
				saw.note(began.Before(due), answer, err)
				mu.Unlock()
				time.Sleep(shutdownPause)
			}
		})
	}
	time.Sleep(shutdownMargin)
	n.Stop()
	time.Sleep(lag)
	stop()
	asking.Wait()
	return &saw
}

func (s *ShutdownResult) note(due bool, answer *caller.Answer, err error) {
	switch {
	case err == nil && answer.Outcome == query.Complete:
		s.Complete++
	case err == nil && answer.Outcome == query.Partial:
		s.Interrupted = append(s.Interrupted, fmt.Sprintf("partial, absent %v", answer.Absent))
	case due && err != nil:
		s.Interrupted = append(s.Interrupted, err.Error())
	case due:
		s.Interrupted = append(s.Interrupted, fmt.Sprintf("%s: %s", answer.Outcome, answer.Reason))
	default:
		s.Late++
	}
}
