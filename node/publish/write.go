package publish

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/platform"
	"github.com/carobmill/carobmill/node/work"
)

// write writes the value with compare-and-swap and determines the outcome.
//
// The reply to a write can be lost after the write took effect. If a failure were
// reported then, the operator could publish again and overwrite another operator's change.
// A reported success could be false. Therefore the key is read again, and its publish id
// identifies the writer. While the key is at the base revision, the same value is written
// again at that revision. At most one of these writes takes effect, because it changes the
// revision.
func (p *publisher) write(ctx context.Context) Result {
	for {
		_, err := p.KV.CompareAndSwap(ctx, p.Key, p.base.revision, p.value)
		switch {
		case err == nil:
			return p.result(Published, p.next, nil)
		case errors.Is(err, platform.ErrTooLarge):
			return p.result(TooLarge, p.base.cfg, err)
		case errors.Is(err, platform.ErrConflict):
			return p.resolveConflict(ctx, err)
		case errors.Is(err, platform.ErrAmbiguous):
			p.uncertain = true
			if r, ok := p.readOutcome(ctx); ok {
				return r
			}
		}
		if !work.Sleep(ctx, p.Pause) {
			return p.undecidedResult(err)
		}
	}
}

// resolveConflict reads the key until its revision is past the base revision. After a
// conflict it is, but a read may still return a stale entry.
func (p *publisher) resolveConflict(ctx context.Context, conflict error) Result {
	for {
		if r, ok := p.readOutcome(ctx); ok {
			return r
		}
		if !work.Sleep(ctx, p.Pause) {
			break
		}
	}
	if p.uncertain {
		return p.undecidedResult(conflict)
	}
	return p.result(Conflict, nil, conflict)
}

// readOutcome reads the key once. It returns false if the outcome is still open.
func (p *publisher) readOutcome(ctx context.Context) (Result, bool) {
	entry, err := p.KV.Get(ctx, p.Key)
	if err != nil || entry.Revision <= p.base.revision {
		return Result{}, false
	}
	cfg, err := decode(entry.Value)
	if err != nil {
		return p.undecidedResult(err), true
	}
	switch {
	case cfg.GetPublishId() == p.id:
		return p.result(Published, cfg, nil), true
	case slices.Contains(cfg.GetEarlierPublishIds(), p.id):
		return p.result(Superseded, cfg, nil), true
	case p.uncertain && cfg.GetVersion() > p.next.GetVersion()+maxEarlierIDs:
		return p.undecidedResult(errors.Errorf("version %d no longer lists the publish id of version %d",
			cfg.GetVersion(), p.next.GetVersion())), true
	}
	return p.result(Conflict, cfg, nil), true
}

func (p *publisher) undecidedResult(err error) Result {
	if p.uncertain {
		return p.result(Unknown, nil, err)
	}
	return p.result(Unavailable, nil, err)
}

// result builds the Result of an outcome.
func (p *publisher) result(outcome Outcome, accepted *pb.Configuration, err error) Result {
	r := Result{
		Outcome:   outcome,
		Accepted:  accepted,
		Diff:      p.diff,
		PublishID: p.id,
		Bytes:     len(p.value),
		Err:       err,
	}
	if outcome == Conflict && p.next != nil && accepted != nil {
		r.Diff = compare(accepted, p.next)
	}
	return r
}
