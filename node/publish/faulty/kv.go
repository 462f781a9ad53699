// Package faulty is the platform that a publisher writes to, in memory: one key,
// calls that fail as a list of faults says, and another operator who publishes at
// the same time. It keeps every entry that stood, so that what a publisher reports
// can be compared with it.
package faulty

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/platform"
)

// Fault is what happens to one call.
type Fault int

const (
	// None lets the call through.
	None Fault = iota
	// LoseReplyAfterWrite has a write take effect and loses its answer.
	LoseReplyAfterWrite
	// LoseReplyBeforeWrite has a write go without effect and loses its answer.
	LoseReplyBeforeWrite
	// DelayWrite loses the answer; the write takes effect before the next call.
	DelayWrite
	// Unavailable refuses the call, which has no effect.
	Unavailable
	// StaleRead has a read answer with the oldest entry.
	StaleRead
	// ConcurrentPublish has another operator's version accepted just before the call.
	ConcurrentPublish
)

// KV holds one key and plays one fault a call. It is for one goroutine.
type KV struct {
	// Faults are those of the next calls, in order. When they are used up the KV
	// calls End, if there is one, and is down from then on.
	Faults []Fault
	Cancel context.CancelFunc
	// History holds every entry that stood, the oldest first.
	History []platform.Entry
	// WriteAttempts counts the writes that were tried.
	WriteAttempts int

	pending func()
}

// ApplyPending has a delayed write take effect, if one is on the way.
func (f *KV) ApplyPending() {
	if f.pending != nil {
		f.pending()
		f.pending = nil
	}
}

func (f *KV) next() Fault {
	f.ApplyPending()
	if len(f.Faults) == 0 {
		if f.Cancel == nil {
			return None
		}
		f.Cancel()
		return Unavailable
	}
	now := f.Faults[0]
	f.Faults = f.Faults[1:]
	if now == ConcurrentPublish {
		f.WriteConcurrent()
	}
	return now
}

func (f *KV) current() platform.Entry {
	if len(f.History) == 0 {
		return platform.Entry{}
	}
	return f.History[len(f.History)-1]
}

// Put writes a value at the next revision, which it returns.
func (f *KV) Put(value []byte) uint64 {
	revision := f.current().Revision + 1
	f.History = append(f.History, platform.Entry{Value: value, Revision: revision})
	return revision
}

// WriteConcurrent has another operator's version accepted, which names the ids before it.
func (f *KV) WriteConcurrent() {
	was := &pb.Configuration{}
	_ = proto.Unmarshal(f.current().Value, was)
	cfg := &pb.Configuration{
		Version:           was.GetVersion() + 1,
		PublishId:         "rival",
		Sheet:             Sheet(20),
		EarlierPublishIds: append([]string{was.GetPublishId()}, was.GetEarlierPublishIds()...),
	}
	value, _ := proto.Marshal(cfg)
	f.Put(value)
}

// Get returns the entry, or platform.ErrNotFound.
func (f *KV) Get(context.Context, string) (platform.Entry, error) {
	switch f.next() {
	case Unavailable:
		return platform.Entry{}, platform.ErrUnavailable
	case StaleRead:
		if len(f.History) > 0 {
			return f.History[0], nil
		}
	}
	if len(f.History) == 0 {
		return platform.Entry{}, platform.ErrNotFound
	}
	return f.current(), nil
}

// CompareAndSwap writes the key when it stands at a revision and returns the new
// one, or platform.ErrConflict.
func (f *KV) CompareAndSwap(_ context.Context, _ string, revision uint64, value []byte) (uint64, error) {
	f.WriteAttempts++
	now := f.next()
	switch now {
	case Unavailable:
		return 0, platform.ErrUnavailable
	case LoseReplyBeforeWrite:
		return 0, platform.ErrAmbiguous
	case DelayWrite:
		f.pending = func() {
			if f.current().Revision == revision {
				f.Put(value)
			}
		}
		return 0, platform.ErrAmbiguous
	}
	if f.current().Revision != revision {
		return 0, platform.ErrConflict
	}
	written := f.Put(value)
	if now == LoseReplyAfterWrite {
		return 0, platform.ErrAmbiguous
	}
	return written, nil
}

// WriteCount counts the accepted versions with a publish id.
func (f *KV) WriteCount(id string) int {
	count := 0
	for _, entry := range f.History {
		cfg := &pb.Configuration{}
		if proto.Unmarshal(entry.Value, cfg) == nil && cfg.GetPublishId() == id {
			count++
		}
	}
	return count
}

// Sheet returns a sheet of one service with one replica a shard.
func Sheet(shards int) *pb.Sheet {
	gen := &pb.Generation{Id: 1, FirstSnapshot: 1}
	for i := range shards {
		gen.Shards = append(gen.Shards, &pb.Shard{
			Name: fmt.Sprintf("s%d", i),
			Replicas: []*pb.Replica{{
				Name:       fmt.Sprintf("r%d", i),
				DataCentre: "a",
				Address:    fmt.Sprintf("10.0.%d.%d:1", i/250, 1+i%250),
			}},
		})
	}
	return &pb.Sheet{
		Fleet:       "f",
		DataCentres: []*pb.DataCentre{{Name: "a"}},
		Services: []*pb.Service{{
			Name: "timing", Slots: 3, Connections: 30,
			Classes:     []*pb.Class{{Name: "checkpoint"}},
			Generations: []*pb.Generation{gen},
		}},
	}
}
