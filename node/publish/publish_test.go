package publish_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/platform"
	"github.com/carobmill/carobmill/node/publish"
	"github.com/carobmill/carobmill/node/publish/faulty"
	"github.com/carobmill/carobmill/policy/modeltest"
	"github.com/carobmill/carobmill/policy/sheet"
)

func TestMain(m *testing.M) { modeltest.Main(m, modeltest.Size{Checks: "500"}) }

// accepted returns a service that holds a sheet of 10 shards at version 5.
func accepted(faults ...faulty.Fault) *faulty.KV {
	cfg, err := sheet.Compile(faulty.Sheet(10), 5, "earlier", "ops")
	if err != nil {
		panic(err)
	}
	value, err := proto.Marshal(cfg)
	if err != nil {
		panic(err)
	}
	kv := &faulty.KV{Faults: faults}
	kv.Put(value)
	return kv
}

func run(kv *faulty.KV, s *pb.Sheet, change func(*publish.Options)) publish.Result {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	kv.Cancel = nil
	if len(kv.Faults) > 0 {
		kv.Cancel = cancel
	}
	o := publish.Options{KV: kv, Key: "k", By: "ops", Pause: time.Nanosecond}
	if change != nil {
		change(&o)
	}
	return publish.Publish(ctx, o, s)
}

func TestPublishFirstAndSecondSheet(t *testing.T) {
	c := qt.New(t)
	kv := &faulty.KV{}
	r := run(kv, faulty.Sheet(10), nil)
	c.Assert(r.Outcome, qt.Equals, publish.Published)
	c.Assert(r.Accepted.GetVersion(), qt.Equals, uint64(1))
	first := r.PublishID
	c.Assert(run(kv, faulty.Sheet(10), nil).Outcome, qt.Equals, publish.Unchanged)
	r = run(kv, faulty.Sheet(11), nil)
	c.Assert(r.Accepted.GetVersion(), qt.Equals, uint64(2))
	c.Assert(r.Accepted.GetEarlierPublishIds(), qt.DeepEquals, []string{first})
	c.Assert(r.Diff.Added, qt.DeepEquals, []string{"r10"})
}

// The reply to the write is lost, and the write is applied, dropped or delayed. The
// reported outcome is correct, the sheet is written at most once, and no concurrent
// version is overwritten.
func TestLostWriteReplyIsResolved(t *testing.T) {
	cases := []struct {
		name   string
		faults []faulty.Fault
		want   publish.Outcome
	}{
		{"reply lost after the write", []faulty.Fault{faulty.None, faulty.LoseReplyAfterWrite, faulty.None, faulty.None, faulty.None}, publish.Published},
		{"reply lost before the write", []faulty.Fault{faulty.None, faulty.LoseReplyBeforeWrite, faulty.None, faulty.None, faulty.None}, publish.Published},
		{"write delayed", []faulty.Fault{faulty.None, faulty.DelayWrite, faulty.None, faulty.None, faulty.None}, publish.Published},
		{"write delayed, stale read", []faulty.Fault{faulty.None, faulty.DelayWrite, faulty.StaleRead, faulty.None, faulty.None, faulty.None}, publish.Published},
		{"reply lost, then a concurrent publish", []faulty.Fault{faulty.None, faulty.LoseReplyAfterWrite, faulty.ConcurrentPublish, faulty.None, faulty.None}, publish.Superseded},
		{"write dropped, then a concurrent publish", []faulty.Fault{faulty.None, faulty.LoseReplyBeforeWrite, faulty.ConcurrentPublish, faulty.None, faulty.None}, publish.Conflict},
		{"platform unavailable after a lost reply", []faulty.Fault{faulty.None, faulty.LoseReplyAfterWrite, faulty.Unavailable, faulty.Unavailable}, publish.Unknown},
		{"concurrent publish before the write", []faulty.Fault{faulty.None, faulty.ConcurrentPublish, faulty.StaleRead, faulty.None, faulty.None}, publish.Conflict},
		{"platform unavailable", []faulty.Fault{faulty.Unavailable, faulty.Unavailable}, publish.Unavailable},
		{"platform unavailable at the write", []faulty.Fault{faulty.None, faulty.Unavailable, faulty.Unavailable}, publish.Unavailable},
		{"platform unavailable for a while", []faulty.Fault{faulty.Unavailable, faulty.None, faulty.Unavailable, faulty.None, faulty.None}, publish.Published},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			kv := accepted(tt.faults...)
			r := run(kv, faulty.Sheet(11), nil)
			c.Assert(r.Outcome, qt.Equals, tt.want)
			c.Assert(kv.WriteCount(r.PublishID) <= 1, qt.IsTrue)
		})
	}
}

// Two operators publish different sheets on the same version. Exactly one is accepted.
// The other result contains the difference to the accepted sheet.
func TestOneOfTwoConcurrentPublishesIsAccepted(t *testing.T) {
	c := qt.New(t)
	kv := accepted(faulty.None, faulty.ConcurrentPublish, faulty.None, faulty.None)
	r := run(kv, faulty.Sheet(11), nil)
	c.Assert(r.Outcome, qt.Equals, publish.Conflict)
	c.Assert(r.Accepted.GetPublishId(), qt.Equals, "concurrent")
	c.Assert(r.Diff.Removed, qt.HasLen, 9)
	c.Assert(kv.WriteCount(r.PublishID), qt.Equals, 0)
}

// The first read returns version 5 although another operator's version 6 is accepted.
// The write conflicts, and the result contains version 6.
func TestStaleFirstReadCannotRevertConcurrentPublish(t *testing.T) {
	c := qt.New(t)
	kv := accepted(faulty.StaleRead, faulty.None, faulty.StaleRead, faulty.None)
	kv.WriteConcurrent()
	r := run(kv, faulty.Sheet(11), nil)
	c.Assert(r.Outcome, qt.Equals, publish.Conflict)
	c.Assert(r.Accepted.GetVersion(), qt.Equals, uint64(6))
}

func TestOutdatedBaseVersionConflicts(t *testing.T) {
	c := qt.New(t)
	kv := accepted()
	r := run(kv, faulty.Sheet(11), func(o *publish.Options) { o.Base = 4 })
	c.Assert(r.Outcome, qt.Equals, publish.Conflict)
	c.Assert(kv.WriteAttempts, qt.Equals, 0)
	r = run(kv, faulty.Sheet(11), func(o *publish.Options) { o.Base = 5 })
	c.Assert(r.Outcome, qt.Equals, publish.Published)
}

// A sheet that loses half of the shards and a sheet above the platform's size limit are
// not written.
func TestRefusedOrTooLargeSheetIsNotWritten(t *testing.T) {
	c := qt.New(t)
	kv := accepted()
	r := run(kv, faulty.Sheet(5), nil)
	c.Assert(r.Outcome, qt.Equals, publish.Refused)
	c.Assert(r.Err, qt.ErrorMatches, "service timing would lose 50.0% .*, max_loss_percent is 20")
	large := faulty.Sheet(10)
	for i := range 30000 {
		large.Services[0].Classes = append(large.Services[0].Classes,
			&pb.Class{Name: fmt.Sprintf("%s%d", strings.Repeat("c", 30), i)})
	}
	r = run(kv, large, nil)
	c.Assert(r.Outcome, qt.Equals, publish.TooLarge)
	c.Assert(r.Bytes > platform.MaxValueBytes, qt.IsTrue)
	c.Assert(kv.WriteAttempts, qt.Equals, 0)

	allowed := faulty.Sheet(5)
	allowed.AllowLoss = true
	c.Assert(run(kv, allowed, nil).Outcome, qt.Equals, publish.Published)
}

// The platform has lost or damaged the value while nodes have version 57 in force. Nodes
// would never apply a new version 1. The publish requires allow_loss, and its version is
// 58.
func TestVersionIncreasesAfterPlatformLosesValue(t *testing.T) {
	c := qt.New(t)
	nodes := func(o *publish.Options) { o.HighestInForce = 57 }
	for _, kv := range []*faulty.KV{{}, {History: []platform.Entry{{Value: []byte{0xff}, Revision: 9}}}} {
		c.Assert(run(kv, faulty.Sheet(10), nodes).Outcome, qt.Equals, publish.Refused)
		allowed := faulty.Sheet(10)
		allowed.AllowLoss = true
		r := run(kv, allowed, nodes)
		c.Assert(r.Outcome, qt.Equals, publish.Published)
		c.Assert(r.Accepted.GetVersion(), qt.Equals, uint64(58))
	}
	damaged := &faulty.KV{History: []platform.Entry{{Value: []byte{0xff}, Revision: 9}}}
	allowed := faulty.Sheet(10)
	allowed.AllowLoss = true
	c.Assert(run(damaged, allowed, nil).Outcome, qt.Equals, publish.Refused)
}

// Under any sequence of faults, the reported outcome matches the stored history, and the
// version increases with every accepted value.
func TestReportedOutcomeMatchesStoredHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(int(faulty.None), int(faulty.ConcurrentPublish)), 0, 12).Draw(t, "faults")
		kv := accepted()
		for _, f := range faults {
			kv.Faults = append(kv.Faults, faulty.Fault(f))
		}
		r := run(kv, faulty.Sheet(11), nil)
		kv.ApplyPending()
		writes := kv.WriteCount(r.PublishID)
		switch r.Outcome {
		case publish.Published, publish.Superseded:
			if writes != 1 {
				t.Fatalf("outcome %s, but written %d times", r.Outcome, writes)
			}
		case publish.Conflict, publish.Refused, publish.Unavailable:
			if writes != 0 {
				t.Fatalf("outcome %s, but written %d times", r.Outcome, writes)
			}
		case publish.Unknown:
		default:
			t.Fatalf("unexpected outcome %s", r.Outcome)
		}
		checkVersionsIncrease(t, kv)
	})
}

func checkVersionsIncrease(t *rapid.T, kv *faulty.KV) {
	var last uint64
	for _, entry := range kv.History {
		cfg := &pb.Configuration{}
		if err := proto.Unmarshal(entry.Value, cfg); err != nil {
			t.Fatal(err)
		}
		if cfg.GetVersion() <= last {
			t.Fatalf("version %d follows version %d", cfg.GetVersion(), last)
		}
		last = cfg.GetVersion()
	}
}
