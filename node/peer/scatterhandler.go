package peer

import (
	"context"
	"time"

	"google.golang.org/grpc"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/work"
)

// maxResultBytes bounds the total size of the results in one message, except for a
// single larger result. The receiver rejects a message above maxMessageBytes, and all
// its results are lost.
const maxResultBytes = maxMessageBytes / 4

// scatterHandler serves one Scatter call: it collects the results of the subrequests and
// streams them to the sender.
type scatterHandler struct {
	stream grpc.ServerStreamingServer[pb.ScatterResponse]
	subs   subrequestList
	// attempts are the contexts of subs, by index.
	attempts []attemptContext
	// acceptsBrief reports whether the sender accepts BriefResults.
	acceptsBrief bool
	results      *work.Inbox[attemptResult]
	// pending is the number of results not yet sent.
	pending int
	// next is the next message to send. The first one has an envelope and replica
	// reports.
	next *pb.ScatterResponse
	// ready are the results collected for the next message; scratch is the buffer that
	// collect reuses.
	ready   []attemptResult
	scratch []attemptResult
}

// attemptContext is the context of one subrequest, so that Cancel can end the subrequest
// without ending the others of the message.
type attemptContext struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newScatterHandler(ctx context.Context, stream grpc.ServerStreamingServer[pb.ScatterResponse], subs subrequestList, brief bool) *scatterHandler {
	h := &scatterHandler{
		stream:       stream,
		subs:         subs,
		attempts:     make([]attemptContext, len(subs)),
		acceptsBrief: brief,
		results:      work.NewInbox[attemptResult](len(subs)),
		pending:      len(subs),
	}
	for i := range h.attempts {
		a := &h.attempts[i]
		a.ctx, a.cancel = context.WithCancel(ctx)
	}
	return h
}

// sendResults sends results as they arrive. Results that arrive within the window share
// a message, so a slow result delays the others by at most the window. The first message
// is sent within firstMessageDelay even without a result; otherwise the sender treats
// this node as unresponsive.
func (h *scatterHandler) sendResults(window time.Duration) error {
	firstMessageTimer := time.NewTimer(firstMessageDelay)
	defer firstMessageTimer.Stop()
	firstMessageDue := firstMessageTimer.C
	windowTimer := time.NewTimer(time.Hour)
	defer windowTimer.Stop()
	var windowEnd <-chan time.Time
	for h.pending > 0 {
		select {
		case <-h.results.Ready():
			h.collect()
			if windowEnd == nil {
				windowTimer.Reset(window)
				windowEnd = windowTimer.C
			}
			if len(h.ready) < h.pending && window > 0 {
				continue
			}
		case <-windowEnd:
		case <-firstMessageDue:
		}
		if err := h.flush(); err != nil {
			return err
		}
		firstMessageDue, windowEnd = nil, nil
	}
	return nil
}

// collect moves the received results to ready.
func (h *scatterHandler) collect() {
	h.scratch = h.results.Take(h.scratch)
	h.ready = append(h.ready, h.scratch...)
}

// flush sends the ready results, split into several messages if they exceed
// maxResultBytes. Without ready results, flush sends one message without results.
func (h *scatterHandler) flush() error {
	remaining := h.ready
	for first := true; first || len(remaining) > 0; first = false {
		n := resultsPerMessage(remaining)
		if err := h.sendMessage(remaining[:n]); err != nil {
			return err
		}
		remaining = remaining[n:]
	}
	clear(h.ready)
	h.ready = h.ready[:0]
	return nil
}

// resultsPerMessage returns how many of the results, from the first one on, fit into one
// message.
func resultsPerMessage(results []attemptResult) int {
	size := 0
	for i, a := range results {
		size += len(a.result.GetResult())
		if size > maxResultBytes && i > 0 {
			return i
		}
	}
	return len(results)
}

func (h *scatterHandler) sendMessage(results []attemptResult) error {
	if h.acceptsBrief {
		w := briefWriter{message: h.next, firstAttempt: h.subs[0].GetAttempt()}
		w.write(results)
	} else {
		for _, a := range results {
			h.next.Results = append(h.next.Results, a.result)
		}
	}
	h.pending -= len(results)
	err := h.stream.Send(h.next)
	h.next = &pb.ScatterResponse{}
	return err
}
