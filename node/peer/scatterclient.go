package peer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/fleet"
	"github.com/carobmill/carobmill/policy/membership"
)

// maxBriefPeers bounds the recorded boots. At the bound all entries are deleted, which
// costs each peer one message with ordinary subrequests.
const maxBriefPeers = 4096

// briefPeers holds the boots of the peers that accept BriefSubrequests. A VM that restarts
// with an older release has another boot, so no BriefSubrequests are sent to that release.
// Safe for concurrent use.
type briefPeers struct {
	// mu guards boots.
	mu    sync.Mutex
	boots map[membership.ID]bool
}

func (b *briefPeers) add(id membership.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.boots == nil || len(b.boots) >= maxBriefPeers {
		b.boots = make(map[membership.ID]bool)
	}
	b.boots[id] = true
}

func (b *briefPeers) contains(id membership.ID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.boots[id]
}

// scatterCall tracks the results of one Scatter call.
type scatterCall struct {
	subs subrequestList
	// received reports, by index of subs, whether the result has arrived; pending is the
	// number of results that have not.
	received []bool
	pending  int
}

func newScatterCall(subs []*pb.Subrequest) *scatterCall {
	return &scatterCall{subs: sortedByAttempt(subs), received: make([]bool, len(subs)), pending: len(subs)}
}

// accept decodes the brief results of a message into Results and marks the subrequests
// whose results the message contains.
func (c *scatterCall) accept(resp *pb.ScatterResponse) error {
	if b := resp.GetBrief(); b != nil {
		results, err := c.subs.decodeResults(b)
		if err != nil {
			return err
		}
		resp.Results = append(results, resp.GetResults()...)
		resp.Brief = nil
	}
	for _, r := range resp.GetResults() {
		if i := c.subs.index(r.GetAttempt()); i >= 0 && !c.received[i] {
			c.received[i] = true
			c.pending--
		}
	}
	return nil
}

// missing returns a result with REASON_PEER for each subrequest without a result.
func (c *scatterCall) missing(evidence pb.Evidence) []*pb.SubrequestResult {
	var missing []*pb.SubrequestResult
	for i, sub := range c.subs {
		if c.received[i] {
			continue
		}
		missing = append(missing, &pb.SubrequestResult{
			Attempt:  sub.GetAttempt(),
			Shard:    sub.GetShard(),
			Replica:  sub.GetReplica(),
			Reason:   pb.Reason_REASON_PEER,
			Evidence: evidence,
		})
	}
	return missing
}

// Scatter runs subrequests at a peer and passes each message of the peer to receive, with
// brief results decoded into Results. If results are missing when the call ends, Scatter
// returns an error, and a result with REASON_PEER for each of those subrequests: with
// EVIDENCE_NOT_RUN if the request was not sent, otherwise with EVIDENCE_UNKNOWN. Scatter
// modifies req, which must not be used afterwards.
func (c *Client) Scatter(ctx context.Context, to fleet.Member, req *pb.ScatterRequest, receive func(*pb.ScatterResponse)) ([]*pb.SubrequestResult, error) {
	call := newScatterCall(req.GetSubrequests())
	c.encodeSubrequests(to, req, call.subs)
	ctx, sent := withSent(ctx)
	err := c.scatter(ctx, to, req, func(resp *pb.ScatterResponse) error {
		if resp.GetReadsBrief() {
			c.briefPeers.add(membership.ID{Name: resp.GetEnvelope().GetSender(), Boot: resp.GetEnvelope().GetBoot()})
		}
		if err := call.accept(resp); err != nil {
			return err
		}
		receive(resp)
		return nil
	})
	if call.pending == 0 {
		return nil, nil
	}
	evidence := pb.Evidence_EVIDENCE_UNKNOWN
	if !sent.Load() {
		evidence = pb.Evidence_EVIDENCE_NOT_RUN
	}
	if err == nil {
		err = errors.Errorf("peer %s ended the stream with %d results missing", to.Name, call.pending)
	}
	return call.missing(evidence), err
}

// encodeSubrequests encodes the subrequests as BriefSubrequests if the peer accepts them,
// and announces that this node accepts BriefResults.
func (c *Client) encodeSubrequests(to fleet.Member, req *pb.ScatterRequest, subs subrequestList) {
	req.ReadsBrief = true
	if !c.briefPeers.contains(to.ID()) {
		return
	}
	if b := subs.encode(); b != nil {
		req.Brief, req.Subrequests = b, nil
	}
}

func (c *Client) scatter(ctx context.Context, to fleet.Member, req *pb.ScatterRequest, receive func(*pb.ScatterResponse) error) error {
	stub, err := c.pool.client(to.PeerAddress)
	if err != nil {
		return err
	}
	req.Envelope = c.envelopes.Envelope()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := time.AfterFunc(firstMessageTimeout, func() { cancel(ErrUnresponsive) })
	defer timeout.Stop()
	stream, err := stub.Scatter(ctx, req)
	if err != nil {
		return errors.Wrap(err, "scatter")
	}
	for {
		resp, err := stream.Recv()
		timeout.Stop()
		if errors.Is(context.Cause(ctx), ErrUnresponsive) {
			return ErrUnresponsive
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "scatter")
		}
		if err := c.receiveEnvelope(resp.GetEnvelope()); err != nil {
			return err
		}
		if err := receive(resp); err != nil {
			return err
		}
	}
}
