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

// maxReaders bounds the boots that are remembered; forgetting them costs each one
// message with whole subrequests.
const maxReaders = 4096

// readers are the boots of peers that have said that they read brief subrequests. A
// VM that is replaced by one of an older release has another boot, so it is not taken
// for a reader. Safe for concurrent use.
type readers struct {
	// mu guards known.
	mu    sync.Mutex
	known map[membership.ID]bool
}

func (r *readers) note(id membership.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known == nil || len(r.known) >= maxReaders {
		r.known = make(map[membership.ID]bool)
	}
	r.known[id] = true
}

func (r *readers) reads(id membership.ID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known[id]
}

// call is a scatter under way.
type call struct {
	subs asked
	// came tells, by place in subs, whose result is there; left counts the others.
	came []bool
	left int
}

func newCall(subs []*pb.Subrequest) *call {
	return &call{subs: sorted(subs), came: make([]bool, len(subs)), left: len(subs)}
}

// take writes the brief results of a message out and notes whose results are there.
func (c *call) take(resp *pb.ScatterResponse) error {
	if b := resp.GetBrief(); b != nil {
		results, err := c.subs.results(b)
		if err != nil {
			return err
		}
		resp.Results = append(results, resp.GetResults()...)
		resp.Brief = nil
	}
	for _, r := range resp.GetResults() {
		if at := c.subs.find(r.GetAttempt()); at >= 0 && !c.came[at] {
			c.came[at] = true
			c.left--
		}
	}
	return nil
}

// missing returns REASON_PEER for each subrequest without a result.
func (c *call) missing(evidence pb.Evidence) []*pb.SubrequestResult {
	var missing []*pb.SubrequestResult
	for i, sub := range c.subs {
		if c.came[i] {
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

// Scatter runs subrequests at a peer and hands over its messages; each result
// comes once, in Results. When the call breaks off it returns an error, and
// REASON_PEER for each subrequest without a result, with the evidence whether the
// peer can have seen it. The request belongs to the client from then on.
func (c *Client) Scatter(ctx context.Context, to fleet.Member, req *pb.ScatterRequest, receive func(*pb.ScatterResponse)) ([]*pb.SubrequestResult, error) {
	under := newCall(req.GetSubrequests())
	c.shorten(to, req, under.subs)
	ctx, sent := withSent(ctx)
	err := c.scatter(ctx, to, req, func(resp *pb.ScatterResponse) error {
		if resp.GetReadsBrief() {
			c.readers.note(membership.ID{Name: resp.GetEnvelope().GetSender(), Boot: resp.GetEnvelope().GetBoot()})
		}
		if err := under.take(resp); err != nil {
			return err
		}
		receive(resp)
		return nil
	})
	if under.left == 0 {
		return nil, nil
	}
	evidence := pb.Evidence_EVIDENCE_UNKNOWN
	if !sent.Load() {
		evidence = pb.Evidence_EVIDENCE_NOT_RUN
	}
	if err == nil {
		err = errors.Errorf("peer %s left out %d results", to.Name, under.left)
	}
	return under.missing(evidence), err
}

// shorten puts the subrequests into columns for a peer that is known to read them,
// and says that this node reads columns.
func (c *Client) shorten(to fleet.Member, req *pb.ScatterRequest, subs asked) {
	req.ReadsBrief = true
	if !c.readers.reads(to.ID()) {
		return
	}
	if b := subs.brief(); b != nil {
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
	silence := time.AfterFunc(silentAfter, func() { cancel(ErrUnresponsive) })
	defer silence.Stop()
	stream, err := stub.Scatter(ctx, req)
	if err != nil {
		return errors.Wrap(err, "scatter")
	}
	for {
		resp, err := stream.Recv()
		silence.Stop()
		if errors.Is(context.Cause(ctx), ErrUnresponsive) {
			return ErrUnresponsive
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "scatter")
		}
		if err := c.receive(resp.GetEnvelope()); err != nil {
			return err
		}
		if err := receive(resp); err != nil {
			return err
		}
	}
}
