package peer

import (
	"cmp"
	"math"
	"slices"

	"github.com/pkg/errors"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
)

// ErrMalformed is returned for a message between nodes that is inconsistent or exceeds a
// bound: columns of different lengths, a duplicate attempt, too many subrequests or too
// long a name.
var ErrMalformed = errors.New("malformed message")

// attemptResult is a result with the subrequest for which the owner returned it.
type attemptResult struct {
	sub    *pb.Subrequest
	result *pb.SubrequestResult
}

// matches reports whether the result names the attempt, shard and replica of the
// subrequest.
func (a attemptResult) matches() bool {
	return a.result.GetAttempt() == a.sub.GetAttempt() &&
		a.result.GetShard() == a.sub.GetShard() &&
		a.result.GetReplica() == a.sub.GetReplica()
}

// encodable reports whether BriefResults can represent the result. A result that does not
// match its subrequest is sent with the names in the result, so that the receiver discards
// it.
func (a attemptResult) encodable() bool {
	r := a.result
	report := r.GetNews()
	return r.GetReason() == pb.Reason_REASON_UNSPECIFIED &&
		r.GetEvidence() == pb.Evidence_EVIDENCE_RAN &&
		report.GetState() == pb.ReplicaState_REPLICA_STATE_WARM &&
		report.GetReplica() == r.GetReplica() &&
		a.matches()
}

// briefWriter writes results into one message: as BriefResults where these can represent
// the result, otherwise as SubrequestResult.
type briefWriter struct {
	message *pb.ScatterResponse
	// firstAttempt is the lowest attempt of the request.
	firstAttempt uint64
	// capacity is the initial capacity of the columns.
	capacity int
}

func (w *briefWriter) write(results []attemptResult) {
	w.capacity = len(results)
	for _, a := range results {
		if a.encodable() && w.sharesCommonFields(a.result) {
			w.add(a)
			continue
		}
		w.message.Results = append(w.message.Results, a.result)
	}
}

func (w *briefWriter) add(a attemptResult) {
	b, r := w.message.GetBrief(), a.result
	b.Attempts = append(b.Attempts, uint32(r.GetAttempt()-b.GetFirstAttempt()))
	b.Checks = append(b.Checks, checksum(a.sub))
	b.Sizes = append(b.Sizes, uint32(len(r.GetResult())))
	b.Results = append(b.Results, r.GetResult()...)
	b.ServiceUs = append(b.ServiceUs, clampUint32(r.GetServiceUs()))
	b.QueueUs = append(b.QueueUs, clampUint32(r.GetQueueUs()))
	b.InFlight = append(b.InFlight, r.GetNews().GetInFlight())
	b.Limits = append(b.Limits, r.GetNews().GetLimit())
}

// sharesCommonFields reports whether a result has the values that BriefResults stores once
// for all results, and an attempt that fits into a 32-bit offset. The first encodable
// result of the message sets the common values.
func (w *briefWriter) sharesCommonFields(r *pb.SubrequestResult) bool {
	if w.message.GetBrief() == nil {
		w.message.Brief = w.newColumns(r)
	}
	b, report := w.message.GetBrief(), r.GetNews()
	return b.GetSnapshot() == r.GetSnapshot() && b.GetGeneration() == r.GetGeneration() &&
		b.GetOldestSnapshot() == report.GetOldestSnapshot() && b.GetNewestSnapshot() == report.GetNewestSnapshot() &&
		r.GetAttempt()-b.GetFirstAttempt() <= math.MaxUint32
}

func (w *briefWriter) newColumns(r *pb.SubrequestResult) *pb.BriefResults {
	return &pb.BriefResults{
		Snapshot:       r.GetSnapshot(),
		Generation:     r.GetGeneration(),
		OldestSnapshot: r.GetNews().GetOldestSnapshot(),
		NewestSnapshot: r.GetNews().GetNewestSnapshot(),
		FirstAttempt:   w.firstAttempt,
		Attempts:       make([]uint32, 0, w.capacity),
		Checks:         make([]uint32, 0, w.capacity),
		Sizes:          make([]uint32, 0, w.capacity),
		Results:        make([]byte, 0, w.capacity*len(r.GetResult())),
		ServiceUs:      make([]uint32, 0, w.capacity),
		QueueUs:        make([]uint32, 0, w.capacity),
		InFlight:       make([]uint32, 0, w.capacity),
		Limits:         make([]uint32, 0, w.capacity),
	}
}

func clampUint32(us uint64) uint32 { return uint32(min(us, math.MaxUint32)) }

// checksum returns a 32-bit FNV-1a hash of a subrequest's attempt, shard and replica. A
// brief result has the checksum in place of the names. The receiver uses it to verify that
// the result belongs to the subrequest.
func checksum(sub *pb.Subrequest) uint32 {
	const (
		offset       = 2166136261
		prime        = 16777619
		attemptBytes = 8
	)
	sum := uint32(offset)
	attempt := sub.GetAttempt()
	for range attemptBytes {
		sum = (sum ^ uint32(byte(attempt))) * prime
		attempt >>= 8
	}
	for _, name := range [...]string{sub.GetShard(), sub.GetReplica()} {
		for i := range len(name) {
			sum = (sum ^ uint32(name[i])) * prime
		}
		sum *= prime
	}
	return sum
}

// subrequestList is the subrequests of one message. encode, index and decodeResults
// require that they are sorted by attempt.
type subrequestList []*pb.Subrequest

// index returns the index of an attempt, or -1 if the list does not contain the attempt.
func (a subrequestList) index(attempt uint64) int {
	i, ok := slices.BinarySearchFunc(a, attempt, func(sub *pb.Subrequest, attempt uint64) int {
		return cmp.Compare(sub.GetAttempt(), attempt)
	})
	if !ok {
		return -1
	}
	return i
}

// decodeResults decodes brief results. A result with an unknown attempt or a wrong checksum
// has its attempt but no names, so that the query discards and counts it. Otherwise a late
// or swapped result could put rows of another shard or query into an answer.
func (a subrequestList) decodeResults(b *pb.BriefResults) ([]*pb.SubrequestResult, error) {
	n := len(b.GetAttempts())
	if !consistent(b, n) {
		return nil, errors.Wrap(ErrMalformed, "inconsistent columns of brief results")
	}
	// Two arrays replace two allocations per result.
	results, reports := make([]pb.SubrequestResult, n), make([]pb.ReplicaNews, n)
	list := make([]*pb.SubrequestResult, n)
	body := b.GetResults()
	for i := range list {
		r, report := &results[i], &reports[i]
		list[i] = r
		r.Attempt = b.GetFirstAttempt() + uint64(b.GetAttempts()[i])
		r.Evidence = pb.Evidence_EVIDENCE_RAN
		r.Snapshot, r.Generation = b.GetSnapshot(), b.GetGeneration()
		size := b.GetSizes()[i]
		r.Result, body = body[:size:size], body[size:]
		r.ServiceUs, r.QueueUs = uint64(b.GetServiceUs()[i]), uint64(b.GetQueueUs()[i])
		j := a.index(r.GetAttempt())
		if j < 0 || checksum(a[j]) != b.GetChecks()[i] {
			continue
		}
		sub := a[j]
		r.Shard, r.Replica, r.News = sub.GetShard(), sub.GetReplica(), report
		report.Replica, report.State = sub.GetReplica(), pb.ReplicaState_REPLICA_STATE_WARM
		report.OldestSnapshot, report.NewestSnapshot = b.GetOldestSnapshot(), b.GetNewestSnapshot()
		report.InFlight, report.Limit = b.GetInFlight()[i], b.GetLimits()[i]
	}
	return list, nil
}

// consistent reports whether every column has n values and the sizes add up to the length
// of the results.
func consistent(b *pb.BriefResults, n int) bool {
	var size uint64
	for _, s := range b.GetSizes() {
		size += uint64(s)
	}
	return size == uint64(len(b.GetResults())) &&
		len(b.GetChecks()) == n && len(b.GetSizes()) == n &&
		len(b.GetServiceUs()) == n && len(b.GetQueueUs()) == n &&
		len(b.GetInFlight()) == n && len(b.GetLimits()) == n
}
