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

// accepted makes a service that holds a sheet of 10 shards at version 5.
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

// The answer to the write is lost: after it took effect, before it did, or it
// takes effect later still. The operator must learn what became of the publish,
// without a second version and without writing over a rival.
func TestLostWriteReplyIsResolved(t *testing.T) {
	cases := []struct {
		name   string
		faults []faulty.Fault
		want   publish.Outcome
	}{
		{"after the effect", []faulty.Fault{faulty.None, faulty.LoseReplyAfterWrite, faulty.None, faulty.None, faulty.None}, publish.Published},
		{"before the effect", []faulty.Fault{faulty.None, faulty.LoseReplyBeforeWrite, faulty.None, faulty.None, faulty.None}, publish.Published},
		{"effect comes later", []faulty.Fault{faulty.None, faulty.DelayWrite, faulty.None, faulty.None, faulty.None}, publish.Published},
		{"effect comes late, read stale", []faulty.Fault{faulty.None, faulty.DelayWrite, faulty.StaleRead, faulty.None, faulty.None, faulty.None}, publish.Published},
		{"lost, then a rival", []faulty.Fault{faulty.None, faulty.LoseReplyAfterWrite, faulty.ConcurrentPublish, faulty.None, faulty.None}, publish.Superseded},
		{"not written, then a rival", []faulty.Fault{faulty.None, faulty.LoseReplyBeforeWrite, faulty.ConcurrentPublish, faulty.None, faulty.None}, publish.Conflict},
		{"never settled", []faulty.Fault{faulty.None, faulty.LoseReplyAfterWrite, faulty.Unavailable, faulty.Unavailable}, publish.Unknown},
		{"rival before the write", []faulty.Fault{faulty.None, faulty.ConcurrentPublish, faulty.StaleRead, faulty.None, faulty.None}, publish.Conflict},
		{"down", []faulty.Fault{faulty.Unavailable, faulty.Unavailable}, publish.Unavailable},
		{"down at the write", []faulty.Fault{faulty.None, faulty.Unavailable, faulty.Unavailable}, publish.Unavailable},
		{"down for a while", []faulty.Fault{faulty.Unavailable, faulty.None, faulty.Unavailable, faulty.None, faulty.None}, publish.Published},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			kv := accepted(tc.faults...)
			r := run(kv, faulty.Sheet(11), nil)
			c.Assert(r.Outcome, qt.Equals, tc.want)
			c.Assert(kv.WriteCount(r.PublishID) <= 1, qt.IsTrue)
		})
	}
}

// Two operators read the same version and publish different sheets. Exactly one
// is accepted; the other gets what its sheet would change against the winner's.
func TestOneOfTwoConcurrentPublishesIsAccepted(t *testing.T) {
	c := qt.New(t)
	kv := accepted(faulty.None, faulty.ConcurrentPublish, faulty.None, faulty.None)
	r := run(kv, faulty.Sheet(11), nil)
	c.Assert(r.Outcome, qt.Equals, publish.Conflict)
	c.Assert(r.Accepted.GetPublishId(), qt.Equals, "rival")
	c.Assert(r.Diff.Removed, qt.HasLen, 9)
	c.Assert(kv.WriteCount(r.PublishID), qt.Equals, 0)
}

// The first read answers from the past: it shows version 5 while a rival's
// version 6 stands. The write conflicts, and the operator learns of version 6.
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

// A cut-off export loses half of the shards; a sheet over a megabyte would be
// refused by the platform. Neither may be written.
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

	meant := faulty.Sheet(5)
	meant.AllowLoss = true
	c.Assert(run(kv, meant, nil).Outcome, qt.Equals, publish.Published)
}

// The platform comes back from an outage without the key, or with a damaged
// value, while nodes run version 57. A new version 1 would never be in force, as
// nodes take only higher ones; so the operators must state that they mean it,
// and the version rises above 57.
func TestVersionIncreasesAfterPlatformLosesValue(t *testing.T) {
	c := qt.New(t)
	nodes := func(o *publish.Options) { o.HighestInForce = 57 }
	for _, kv := range []*faulty.KV{{}, {History: []platform.Entry{{Value: []byte{0xff}, Revision: 9}}}} {
		c.Assert(run(kv, faulty.Sheet(10), nodes).Outcome, qt.Equals, publish.Refused)
		meant := faulty.Sheet(10)
		meant.AllowLoss = true
		r := run(kv, meant, nodes)
		c.Assert(r.Outcome, qt.Equals, publish.Published)
		c.Assert(r.Accepted.GetVersion(), qt.Equals, uint64(58))
	}
	damaged := &faulty.KV{History: []platform.Entry{{Value: []byte{0xff}, Revision: 9}}}
	meant := faulty.Sheet(10)
	meant.AllowLoss = true
	c.Assert(run(damaged, meant, nil).Outcome, qt.Equals, publish.Refused)
}

// Any sequence of lost answers, late effects, stale reads, outages and rivals.
// Whatever the publisher reports must be true of what the service accepted, and
// the version must rise with every accepted value.
func TestReportedOutcomeMatchesStoredHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(int(faulty.None), int(faulty.ConcurrentPublish)), 0, 12).Draw(t, "faults")
		kv := accepted()
		for _, f := range faults {
			kv.Faults = append(kv.Faults, faulty.Fault(f))
		}
		r := run(kv, faulty.Sheet(11), nil)
		kv.ApplyPending()
		wrote := kv.WriteCount(r.PublishID)
		switch r.Outcome {
		case publish.Published, publish.Superseded:
			if wrote != 1 {
				t.Fatalf("%s, but written %d times", r.Outcome, wrote)
			}
		case publish.Conflict, publish.Refused, publish.Unavailable:
			if wrote != 0 {
				t.Fatalf("%s, but written %d times", r.Outcome, wrote)
			}
		case publish.Unknown:
		default:
			t.Fatalf("unexpected outcome %s", r.Outcome)
		}
		checkRising(t, kv)
	})
}

func checkRising(t *rapid.T, kv *faulty.KV) {
	var last uint64
	for _, entry := range kv.History {
		cfg := &pb.Configuration{}
		if err := proto.Unmarshal(entry.Value, cfg); err != nil {
			t.Fatal(err)
		}
		if cfg.GetVersion() <= last {
			t.Fatalf("version %d follows %d", cfg.GetVersion(), last)
		}
		last = cfg.GetVersion()
	}
}
