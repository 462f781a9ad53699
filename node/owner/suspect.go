package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/ring"
	"github.com/carobmill/carobmill/policy/quarantine"
)

// crashProbeTimeout bounds the check whether a replica that lost a request has crashed. The
// sender of the request waits for it: a request must not reach the next replica before.
const crashProbeTimeout = 40 * time.Millisecond

// suspects holds the requests that are suspected of crashing this node's replicas. Safe for
// concurrent use.
type suspects struct {
	// size is the number of requests in table. While it is 0, requests skip the table.
	size atomic.Int64

	// mu guards table.
	mu    sync.Mutex
	table *quarantine.Table
}

func newSuspects() *suspects {
	return &suspects{table: quarantine.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))}
}

// fingerprint identifies requests with the same content. The owner does not know the caller.
func (req *Request) fingerprint() quarantine.Fingerprint {
	method := "query"
	if req.Execute {
		method = "execute"
	}
	return quarantine.NewFingerprint(method, req.Service, req.Class, "", req.Body)
}

// shardKey identifies the shard of a request, whose replicas hold the same data.
func (req *Request) shardKey() uint64 { return quarantine.Key(req.Service+"/"+req.Shard, 0) }

// admit returns why a request may not run now, and the ID of its trial if it may run only
// alone.
func (s *suspects) admit(req *Request) (trial uint64, refused pb.Reason) {
	if s.size.Load() == 0 {
		return 0, pb.Reason_REASON_UNSPECIFIED
	}
	now, f, shard := time.Now(), req.fingerprint(), req.shardKey()
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.table.Check(now, f)
	switch {
	case v.RefusedAt(shard):
		return 0, pb.Reason_REASON_QUARANTINED
	case !v.Suspect() || v.Survived && !v.Suspected(shard):
		return 0, pb.Reason_REASON_UNSPECIFIED
	}
	if trial, _ = s.table.StartTrial(now, f, shard); trial == 0 {
		return 0, pb.Reason_REASON_LIMIT
	}
	return trial, pb.Reason_REASON_UNSPECIFIED
}

// recordAnswer records that a replica has run a request to its end.
func (s *suspects) recordAnswer(req *Request) {
	if s.size.Load() == 0 {
		return
	}
	f := req.fingerprint()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordAnswer(time.Now(), f, req.shardKey())
	s.table.EndTrial(f, req.Trial)
}

// recordCrash records that a replica crashed while it ran a request, and reports whether the
// request is quarantined because of it.
func (s *suspects) recordCrash(req *Request, replica uint64) (quarantined bool) {
	now, f := time.Now(), req.fingerprint()
	s.mu.Lock()
	defer s.mu.Unlock()
	_, quarantined = s.table.RecordCrash(now, f, quarantine.Crash{
		Replica: replica, Service: req.shardKey(), Trial: req.Trial != 0, At: now,
	})
	s.table.EndTrial(f, req.Trial)
	s.table.Expire(now)
	s.size.Store(int64(s.table.Len()))
	return quarantined
}

// finish answers a task. If its connection was lost, the sender is answered once it is known
// whether the replica has crashed.
func (r *ownedReplica) finish(t *task, reply backend.Reply, result *pb.SubrequestResult) {
	if reply.Reason != pb.Reason_REASON_CONNECTION || reply.Evidence != pb.Evidence_EVIDENCE_UNKNOWN || reply.Silent {
		if reply.Evidence == pb.Evidence_EVIDENCE_RAN {
			r.owner.suspects.recordAnswer(&t.req)
		}
		t.reply(result)
		return
	}
	go func() {
		r.checkCrash(t)
		t.reply(result)
	}()
}

// checkCrash records a crash if the replica refuses connections after it lost a request.
func (r *ownedReplica) checkCrash(t *task) {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	if !r.owner.Backend.Refuses(ctx, r.address()) {
		return
	}
	// Requests that were lost together were started in the same epoch.
	if r.owner.suspects.recordCrash(&t.req, quarantine.Key(r.name, int64(t.epoch))) {
		r.owner.Ring.Add(ring.RequestQuarantined, t.req.Service, t.req.fingerprint().String()+" crashed "+r.name)
	}
}
