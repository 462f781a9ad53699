// Package publish puts a sheet in force. Publish writes the fleet's configuration with
// compare-and-swap, and reads the key after a lost reply to determine the outcome. Await
// then waits until every known node has the version in force.
package publish

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/platform"
	"github.com/carobmill/carobmill/node/work"
	"github.com/carobmill/carobmill/policy/sheet"
)

const (
	// maxEarlierIDs bounds the earlier publish ids in a configuration.
	maxEarlierIDs = 16
	// defaultPause is the default delay between retries and between status queries.
	defaultPause = 200 * time.Millisecond
)

// KV is the part of the platform's key-value service that publishing needs.
type KV interface {
	// Get may return a stale entry.
	Get(ctx context.Context, key string) (platform.Entry, error)
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (uint64, error)
}

// Options of one publish.
type Options struct {
	KV KV
	// Key is the key of the fleet's configuration.
	Key string
	// By is the name of the operator.
	By string
	// Base is the accepted version that the sheet is based on. If another version is
	// accepted, the outcome is Conflict. 0 disables the check.
	Base uint64
	// HighestInForce is the highest version that a node has in force, or 0 if no node
	// was queried. The new version is higher, even if the platform has lost or damaged
	// the value. Nodes never apply a lower version.
	HighestInForce uint64
	// Pause is the delay between retries. 0 selects 200 ms.
	Pause time.Duration
}

// Publish makes the sheet the accepted configuration, unless another operator's version
// was accepted first. It retries until ctx ends.
func Publish(ctx context.Context, o Options, s *pb.Sheet) Result {
	if o.Pause == 0 {
		o.Pause = defaultPause
	}
	p := &publisher{Options: o, id: uuid.NewString()}
	base, err := p.read(ctx)
	if err != nil {
		return Result{Outcome: Unavailable, Err: err}
	}
	if r, ok := p.prepare(base, s); !ok {
		return r
	}
	return p.write(ctx)
}

// Accepted returns the accepted configuration, or nil if there is none.
func Accepted(ctx context.Context, kv KV, key string) (*pb.Configuration, error) {
	entry, err := kv.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the accepted configuration")
	}
	return decode(entry.Value)
}

func decode(value []byte) (*pb.Configuration, error) {
	cfg := &pb.Configuration{}
	if err := proto.Unmarshal(value, cfg); err != nil {
		return nil, errors.Wrap(err, "decode the accepted configuration")
	}
	if cfg.GetVersion() == 0 || cfg.GetSheet() == nil {
		return nil, errors.New("decode the accepted configuration: version or sheet is missing")
	}
	return cfg, nil
}

// stored is the result of a read of the key.
type stored struct {
	// revision is 0 if the key is absent.
	revision uint64
	// cfg is nil if the key is absent or its value is damaged.
	cfg *pb.Configuration
	// damaged is the decoding error of a damaged value.
	damaged error
}

type publisher struct {
	Options
	id    string
	base  stored
	next  *pb.Configuration
	value []byte
	diff  sheet.Diff
	// uncertain is set after the reply to a write was lost.
	uncertain bool
}

// read reads the key. It retries while the platform does not answer.
func (p *publisher) read(ctx context.Context) (stored, error) {
	for {
		entry, err := p.KV.Get(ctx, p.Key)
		switch {
		case err == nil:
			cfg, damaged := decode(entry.Value)
			return stored{revision: entry.Revision, cfg: cfg, damaged: damaged}, nil
		case errors.Is(err, platform.ErrNotFound):
			return stored{}, nil
		case !work.Sleep(ctx, p.Pause):
			return stored{}, errors.Wrap(err, "read the accepted configuration")
		}
	}
}

// prepare compiles the sheet against the accepted configuration. It returns false and the
// result if nothing is to be written.
func (p *publisher) prepare(base stored, s *pb.Sheet) (Result, bool) {
	p.base = base
	accepted := base.cfg
	p.diff = sheet.Compare(accepted.GetSheet(), s)
	if p.Base != 0 && p.Base != accepted.GetVersion() {
		return p.result(Conflict, accepted, nil), false
	}
	if err := p.refusalReason(s); err != nil {
		return p.result(Refused, accepted, err), false
	}
	version := max(accepted.GetVersion(), p.HighestInForce) + 1
	next, err := sheet.Compile(s, version, p.id, p.By)
	if err != nil {
		return p.result(Invalid, accepted, err), false
	}
	if accepted != nil && accepted.GetSheetDigest() == next.GetSheetDigest() && accepted.GetVersion() >= p.HighestInForce {
		return p.result(Unchanged, accepted, nil), false
	}
	next.EarlierPublishIds = earlierIDs(accepted)
	p.next = next
	if p.value, err = proto.Marshal(next); err != nil {
		return p.result(Invalid, accepted, errors.Wrap(err, "encode the configuration")), false
	}
	if len(p.value) > platform.MaxValueBytes {
		return p.result(TooLarge, accepted, nil), false
	}
	return Result{}, true
}

// refusalReason returns why the sheet may not replace the accepted configuration, or nil.
// allow_loss overrides each reason, except for a damaged value of unknown version.
func (p *publisher) refusalReason(s *pb.Sheet) error {
	lostValue := p.base.cfg == nil && p.HighestInForce > 0
	switch {
	case p.base.damaged != nil && p.HighestInForce == 0:
		return errors.Wrap(p.base.damaged, "its version is unknown: name a running node, so that the version can rise above those in force")
	case s.GetAllowLoss():
		return nil
	case p.base.damaged != nil:
		return p.base.damaged
	case lostValue:
		return errors.Errorf("the platform holds no configuration, but version %d is in force: the value was lost", p.HighestInForce)
	}
	if why := p.diff.LossRefusal(s); why != "" {
		return errors.New(why)
	}
	return nil
}

func earlierIDs(accepted *pb.Configuration) []string {
	if accepted == nil {
		return nil
	}
	ids := append([]string{accepted.GetPublishId()}, accepted.GetEarlierPublishIds()...)
	return ids[:min(len(ids), maxEarlierIDs)]
}
