// Package faulty provides an in-memory key-value service for tests of publishing. It has
// one key, injects a list of faults and simulates a concurrent publish by another
// operator. It records the history of the key, so that a test can verify the reported
// outcome.
package faulty

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/platform"
)

// Fault is the fault that is injected into one call.
type Fault int

const (
	// None injects no fault.
	None Fault = iota
	// LoseReplyAfterWrite applies the write and loses the reply.
	LoseReplyAfterWrite
	// LoseReplyBeforeWrite drops the write and its reply.
	LoseReplyBeforeWrite
	// DelayWrite loses the reply and applies the write before the next call.
	DelayWrite
	// Unavailable refuses the call without effect.
	Unavailable
	// StaleRead returns the oldest entry to a read.
	StaleRead
	// ConcurrentPublish writes another operator's version just before the call.
	ConcurrentPublish
)

// KV holds one key and injects one fault per call. It is not safe for concurrent use.
type KV struct {
	// Faults are the faults of the next calls, in order.
	Faults []Fault
	// Cancel, if set, is called at each call after the last fault. These calls are refused
	// as Unavailable.
	Cancel context.CancelFunc
	// History holds all entries of the key, oldest first.
	History []platform.Entry
	// WriteAttempts is the number of calls of CompareAndSwap.
	WriteAttempts int

	pending func()
}

// ApplyPending applies the delayed write, if there is one.
func (kv *KV) ApplyPending() {
	if kv.pending != nil {
		kv.pending()
		kv.pending = nil
	}
}

func (kv *KV) nextFault() Fault {
	kv.ApplyPending()
	if len(kv.Faults) == 0 {
		if kv.Cancel == nil {
			return None
		}
		kv.Cancel()
		return Unavailable
	}
	fault := kv.Faults[0]
	kv.Faults = kv.Faults[1:]
	if fault == ConcurrentPublish {
		kv.WriteConcurrent()
	}
	return fault
}

func (kv *KV) current() platform.Entry {
	if len(kv.History) == 0 {
		return platform.Entry{}
	}
	return kv.History[len(kv.History)-1]
}

// Put writes a value and returns its revision.
func (kv *KV) Put(value []byte) uint64 {
	revision := kv.current().Revision + 1
	kv.History = append(kv.History, platform.Entry{Value: value, Revision: revision})
	return revision
}

// WriteConcurrent writes another operator's version, which lists the earlier publish ids.
func (kv *KV) WriteConcurrent() {
	previous := &pb.Configuration{}
	_ = proto.Unmarshal(kv.current().Value, previous)
	cfg := &pb.Configuration{
		Version:           previous.GetVersion() + 1,
		PublishId:         "concurrent",
		Sheet:             Sheet(20),
		EarlierPublishIds: append([]string{previous.GetPublishId()}, previous.GetEarlierPublishIds()...),
	}
	value, _ := proto.Marshal(cfg)
	kv.Put(value)
}

// Get returns the entry, or platform.ErrNotFound.
func (kv *KV) Get(context.Context, string) (platform.Entry, error) {
	switch kv.nextFault() {
	case Unavailable:
		return platform.Entry{}, platform.ErrUnavailable
	case StaleRead:
		if len(kv.History) > 0 {
			return kv.History[0], nil
		}
	}
	if len(kv.History) == 0 {
		return platform.Entry{}, platform.ErrNotFound
	}
	return kv.current(), nil
}

// CompareAndSwap writes the key if its revision matches, and returns the new revision or
// platform.ErrConflict.
func (kv *KV) CompareAndSwap(_ context.Context, _ string, revision uint64, value []byte) (uint64, error) {
	kv.WriteAttempts++
	fault := kv.nextFault()
	switch fault {
	case Unavailable:
		return 0, platform.ErrUnavailable
	case LoseReplyBeforeWrite:
		return 0, platform.ErrAmbiguous
	case DelayWrite:
		kv.pending = func() {
			if kv.current().Revision == revision {
				kv.Put(value)
			}
		}
		return 0, platform.ErrAmbiguous
	}
	if kv.current().Revision != revision {
		return 0, platform.ErrConflict
	}
	written := kv.Put(value)
	if fault == LoseReplyAfterWrite {
		return 0, platform.ErrAmbiguous
	}
	return written, nil
}

// WriteCount returns the number of entries in the history with the given publish id.
func (kv *KV) WriteCount(id string) int {
	count := 0
	for _, entry := range kv.History {
		cfg := &pb.Configuration{}
		if proto.Unmarshal(entry.Value, cfg) == nil && cfg.GetPublishId() == id {
			count++
		}
	}
	return count
}

// Sheet returns a sheet of one service with one replica per shard.
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
