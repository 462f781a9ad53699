// Package relay forwards callers' requests from nodes on small VMs to coordinators, which
// send them to the shards. policy/coordinator chooses the coordinator. This package
// exchanges the messages, monitors coordinators by heartbeats, and serves the requests of
// other nodes.
package relay

import (
	"net/http"
	"strings"
	"time"

	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/node/backend"
	"github.com/carobmill/carobmill/node/forward"
	"github.com/carobmill/carobmill/policy/coordinator"
)

// encodeRelayRequest returns the message that offers a request to a coordinator.
func encodeRelayRequest(req *forward.Request, minVersion uint64, reserve time.Duration) *pb.RelayMessage {
	m := encodeRequest(req)
	m.LeastVersion = minVersion
	m.ReserveUs = microseconds(reserve)
	m.DeliveryUs = microseconds(reserve - req.TransitReserve)
	m.LinkBytesPerS = uint64(max(req.LinkBytesPerSecond, 0))
	m.Credentials = encodeStrings(req.Credentials)
	if !req.AnswerBy.IsZero() {
		// 0 would mean that the sender does not stop.
		m.StopsInUs = max(microseconds(time.Until(req.AnswerBy)), 1)
	}
	return &pb.RelayMessage{Event: &pb.RelayMessage_Request{Request: m}}
}

func encodeRequest(req *forward.Request) *pb.RelayRequest {
	return &pb.RelayRequest{
		RequestId:  []byte(req.ID),
		Method:     []byte(req.Method),
		Target:     []byte(req.Target),
		Host:       []byte(req.Host),
		Headers:    encodeHeader(req.Header),
		Body:       req.Body,
		Account:    req.Account,
		ElapsedUs:  microseconds(time.Since(req.Arrived)),
		PatienceUs: microseconds(req.CallerTimeout),
	}
}

// decodeRelayRequest decodes a caller's request. Earlier releases send its credentials with
// the other headers.
func decodeRelayRequest(m *pb.RelayRequest, now time.Time) *forward.Request {
	req := decodeRequest(m, now)
	if left := m.GetStopsInUs(); left > 0 {
		req.AnswerBy = now.Add(duration(left))
	}
	if credentials := forward.TakeCredentials(req.Header); len(req.Credentials) == 0 {
		req.Credentials = credentials
	}
	return req
}

// beginMessage returns the message that confirms an offer.
func beginMessage() *pb.RelayMessage {
	return &pb.RelayMessage{Event: &pb.RelayMessage_Begin{Begin: true}}
}

// decodeRequest decodes a request that arrived now.
func decodeRequest(m *pb.RelayRequest, now time.Time) *forward.Request {
	target := string(m.GetTarget())
	path, _, _ := strings.Cut(target, "?")
	return &forward.Request{
		ID:             string(m.GetRequestId()),
		Method:         string(m.GetMethod()),
		Target:         target,
		Path:           path,
		Host:           string(m.GetHost()),
		Header:         decodeHeader(m.GetHeaders()),
		Body:           m.GetBody(),
		Credentials:    decodeStrings(m.GetCredentials()),
		Account:        m.GetAccount(),
		Arrived:        now.Add(-duration(m.GetElapsedUs())),
		CallerTimeout:  duration(m.GetPatienceUs()),
		TransitReserve: duration(m.GetReserveUs()),
		DeliveryDelay:  duration(m.GetDeliveryUs()),

		LinkBytesPerSecond: float64(m.GetLinkBytesPerS()),
	}
}

// wireOutcomes maps outcomes to their values on the wire.
var wireOutcomes = map[forward.Outcome]pb.RelayOutcome{
	forward.Passed:  pb.RelayOutcome_RELAY_OUTCOME_PASSED,
	forward.Merged:  pb.RelayOutcome_RELAY_OUTCOME_MERGED,
	forward.NoRoute: pb.RelayOutcome_RELAY_OUTCOME_NO_ROUTE,
	forward.NotRun:  pb.RelayOutcome_RELAY_OUTCOME_NOT_RUN,
	forward.Failed:  pb.RelayOutcome_RELAY_OUTCOME_FAILED,
	forward.Late:    pb.RelayOutcome_RELAY_OUTCOME_LATE,

	forward.Unauthenticated: pb.RelayOutcome_RELAY_OUTCOME_UNAUTHENTICATED,
	forward.OverCap:         pb.RelayOutcome_RELAY_OUTCOME_OVER_CAP,
}

// decodeOutcome decodes an outcome. An unknown value is a failure, after which the request
// may have run.
func decodeOutcome(o pb.RelayOutcome) forward.Outcome {
	for outcome, wire := range wireOutcomes {
		if wire == o {
			return outcome
		}
	}
	return forward.Failed
}

func encodeAnswer(a *forward.Answer) *pb.RelayAnswer {
	return &pb.RelayAnswer{
		Outcome:      wireOutcomes[a.Outcome],
		Status:       uint32(a.Status),
		Headers:      encodeHeader(a.Header),
		Body:         a.Body,
		Signatures:   encodeStrings(a.Signatures),
		Missing:      uint32(a.Missing),
		RetryAfterUs: microseconds(a.RetryAfter),
		Version:      a.Version,
		DueUs:        microseconds(a.Due),
	}
}

// decodeAnswer decodes an answer. One that was passed on without a final status cannot be written to
// the caller, and counts as a failure, after which the request may have run.
func decodeAnswer(m *pb.RelayAnswer) forward.Answer {
	outcome := decodeOutcome(m.GetOutcome())
	if outcome == forward.Passed && !backend.ValidStatus(int(m.GetStatus())) {
		return forward.Answer{Outcome: forward.Failed, Version: m.GetVersion(), Due: duration(m.GetDueUs())}
	}
	return forward.Answer{
		Outcome:    outcome,
		Status:     int(m.GetStatus()),
		Header:     decodeHeader(m.GetHeaders()),
		Body:       m.GetBody(),
		Signatures: decodeStrings(m.GetSignatures()),
		Missing:    int(m.GetMissing()),
		RetryAfter: duration(m.GetRetryAfterUs()),
		Version:    m.GetVersion(),
		Due:        duration(m.GetDueUs()),
	}
}

func encodeHeader(h http.Header) []*pb.Header {
	list := make([]*pb.Header, 0, len(h))
	for name, values := range h {
		list = append(list, &pb.Header{Name: []byte(name), Values: encodeStrings(values)})
	}
	return list
}

func decodeHeader(list []*pb.Header) http.Header {
	h := make(http.Header, len(list))
	for _, item := range list {
		h[string(item.GetName())] = decodeStrings(item.GetValues())
	}
	return h
}

func encodeStrings(list []string) [][]byte {
	out := make([][]byte, 0, len(list))
	for _, s := range list {
		out = append(out, []byte(s))
	}
	return out
}

func decodeStrings(list [][]byte) []string {
	out := make([]string, 0, len(list))
	for _, s := range list {
		out = append(out, string(s))
	}
	return out
}

func encodeFleet(f coordinator.Fleet) []*pb.FleetNode {
	list := make([]*pb.FleetNode, 0, len(f.Members))
	for _, m := range f.Members {
		list = append(list, &pb.FleetNode{
			Node: m.Node, PeerAddress: m.Address, DataCentre: m.DataCentre, Capacity: m.Capacity,
		})
	}
	return list
}

func decodeFleet(m *pb.HeartbeatResponse) coordinator.Fleet {
	f := coordinator.Fleet{Revision: m.GetFleetRevision()}
	for _, n := range m.GetFleet() {
		f.Members = append(f.Members, coordinator.Member{
			Node: n.GetNode(), Address: n.GetPeerAddress(), DataCentre: n.GetDataCentre(), Capacity: n.GetCapacity(),
		})
	}
	return f
}

func encodeBatch(b *forward.Batch) *pb.GatherBatch {
	return &pb.GatherBatch{
		Request:    encodeRequest(b.Request),
		LeftUs:     microseconds(time.Until(b.Deadline)),
		TopRecords: uint32(b.TopRecords),
		Replicas:   encodeStrings(b.Replicas),
		Tried:      b.Tried,
	}
}

// decodeBatch decodes a batch that arrived now.
func decodeBatch(m *pb.GatherBatch, now time.Time) *forward.Batch {
	return &forward.Batch{
		Request:    decodeRequest(m.GetRequest(), now),
		Replicas:   decodeStrings(m.GetReplicas()),
		Deadline:   now.Add(duration(m.GetLeftUs())),
		TopRecords: int(min(m.GetTopRecords(), maxTopRecords)),
		Tried:      m.GetTried(),
	}
}

// maxTopRecords bounds the number of records that a malformed message can request.
const maxTopRecords = 1 << 16

func encodeReplies(r forward.PartReplies, now time.Time) *pb.PartReplies {
	m := &pb.PartReplies{
		Records:  r.Records,
		Replies:  make([]*pb.PartReply, 0, len(r.Replies)),
		Suspects: encodeSuspects(r.Suspects, now),
	}
	for i := range r.Replies {
		reply := &r.Replies[i].Reply
		m.Replies = append(m.Replies, &pb.PartReply{
			Replica:      uint32(r.Replies[i].Replica),
			Status:       uint32(reply.Status),
			Signature:    []byte(reply.Metadata.Signature),
			NotRun:       reply.Metadata.NotRun,
			OtherReplica: reply.Metadata.OtherReplica,
			Evidence:     reply.Evidence,
			Reason:       reply.Reason,
			TookUs:       microseconds(reply.Took),
			Load:         encodeLoad(reply, now),
		})
	}
	return m
}

// decodeReplies decodes replies that arrived now.
func decodeReplies(m *pb.PartReplies, now time.Time) forward.PartReplies {
	r := forward.PartReplies{Records: m.GetRecords(), Suspects: decodeSuspects(m.GetSuspects(), now)}
	for _, p := range m.GetReplies() {
		report, age := DecodeLoad(p.GetLoad())
		r.Replies = append(r.Replies, forward.PartReply{Replica: int(p.GetReplica()), Reply: backend.ForwardReply{
			Status: int(p.GetStatus()),
			Metadata: backend.ReplyMetadata{
				Signature: string(p.GetSignature()), NotRun: p.GetNotRun(), OtherReplica: p.GetOtherReplica(),
				Load: report,
			},
			LoadAt:   now.Add(-age),
			Evidence: p.GetEvidence(),
			Reason:   p.GetReason(),
			Took:     duration(p.GetTookUs()),
			Lost:     isLost(p),
		}})
	}
	return r
}

// isLost reports whether the connection of an attempt ended before its reply was complete.
func isLost(p *pb.PartReply) bool {
	return p.GetStatus() == 0 && p.GetReason() == pb.Reason_REASON_CONNECTION && p.GetEvidence() == pb.Evidence_EVIDENCE_UNKNOWN
}

func microseconds(d time.Duration) uint64 { return uint64(max(d, 0).Microseconds()) }

// maxMicroseconds bounds durations, so that those of a malformed message do not overflow.
const maxMicroseconds = uint64(24 * time.Hour / time.Microsecond)

func duration(us uint64) time.Duration {
	return time.Duration(min(us, maxMicroseconds)) * time.Microsecond
}
