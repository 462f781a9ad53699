package entry

import (
	pb "github.com/carobmill/carobmill/api/carobmillv1"
	"github.com/carobmill/carobmill/policy/routing"
)

// routingResult maps the reason of a result to a result for the routing table.
func routingResult(reason pb.Reason) routing.Result {
	switch reason {
	case pb.Reason_REASON_UNSPECIFIED, pb.Reason_REASON_NO_SNAPSHOT:
		return routing.ResultOK
	case pb.Reason_REASON_LIMIT, pb.Reason_REASON_COLD, pb.Reason_REASON_NOT_OWNER,
		pb.Reason_REASON_LEAVING, pb.Reason_REASON_SHED, pb.Reason_REASON_UNREADY,
		pb.Reason_REASON_QUARANTINED:
		return routing.ResultRefused
	case pb.Reason_REASON_PEER, pb.Reason_REASON_NO_REPLICA:
		return routing.ResultNoPeer
	case pb.Reason_REASON_CANCELLED, pb.Reason_REASON_DEADLINE:
		return routing.ResultCancelled
	default:
		return routing.ResultFailed
	}
}
