package publish

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/platform"
	"github.com/carobmill/carobmill/node/work"
)

// write swaps the value in and settles what became of it.
//
// The answer to a write can be lost after it took effect. Reporting a failure
// then would make the operator publish again over somebody else's change, and
// reporting success could be false. So the key is read: the publish id in it
// tells whose value it is. While the key still shows the base revision, the same
// value is written again at the same revision; both writes cannot take effect,
// since the first one moves the revision.
func (p *publisher) write(ctx context.Context) Result {
	for {
		_, err := p.KV.CompareAndSwap(ctx, p.Key, p.base.revision, p.value)
		switch {
		case err == nil:
			return p.result(Published, p.next, nil)
		case errors.Is(err, platform.ErrTooLarge):
			return p.result(TooLarge, p.base.cfg, err)
		case errors.Is(err, platform.ErrConflict):
			return p.settle(ctx, err)
		case errors.Is(err, platform.ErrAmbiguous):
			p.doubt = true
			if r, ok := p.look(ctx); ok {
				return r
			}
		}
		if !work.Sleep(ctx, p.Pause) {
			return p.undecided(err)
		}
	}
}

// settle reads until the key is past the base revision: a conflict states that
// it is, but a read may still answer from the past.
func (p *publisher) settle(ctx context.Context, conflict error) Result {
	for {
		if r, ok := p.look(ctx); ok {
			return r
		}
		if !work.Sleep(ctx, p.Pause) {
			break
		}
	}
	if p.doubt {
		return p.undecided(conflict)
	}
	return p.result(Conflict, nil, conflict)
}

// look reads the key once; false when that does not decide the outcome.
func (p *publisher) look(ctx context.Context) (Result, bool) {
	entry, err := p.KV.Get(ctx, p.Key)
	if err != nil || entry.Revision <= p.base.revision {
		return Result{}, false
	}
	cfg, err := decode(entry.Value)
	if err != nil {
		return p.undecided(err), true
	}
	switch {
	case cfg.GetPublishId() == p.id:
		return p.result(Published, cfg, nil), true
	case slices.Contains(cfg.GetEarlierPublishIds(), p.id):
		return p.result(Superseded, cfg, nil), true
	case p.doubt && cfg.GetVersion() > p.next.GetVersion()+maxEarlierIDs:
		return p.undecided(errors.Errorf("version %d no longer names the publish ids of version %d",
			cfg.GetVersion(), p.next.GetVersion())), true
	}
	return p.result(Conflict, cfg, nil), true
}

func (p *publisher) undecided(err error) Result {
	if p.doubt {
		return p.result(Unknown, nil, err)
	}
	return p.result(Unavailable, nil, err)
}

// result reports an outcome together with the configuration accepted now.
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
