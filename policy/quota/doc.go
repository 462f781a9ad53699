// Package quota keeps the usage caps of client accounts over all nodes of a fleet. The
// package does no I/O and reads no clock.
//
// Each node has a part of every cap, by its share of the fleet's capacity. It lends the part
// to one node, the manager, by a lease that its reports renew. The manager collects the parts
// in a Pool and grants allowance out of it to the nodes where requests arrive. A node that
// loses the manager turns to the next one in rank, at last to itself. As a part is lent to
// one pool at a time, the pools of a partitioned fleet together stay within the cap.
//
// A Limiter is the side of a node that admits requests. So that most requests are admitted
// without a round trip, it holds a small reserve of allowance and may admit a few requests in
// advance. Both come out of the tolerance that operators state in a Bound.
package quota

import "time"

// Bound is what operators allow beyond a usage cap: in any Window, the requests of an account
// may exceed its cap by the Ratio and by Slack requests.
type Bound struct {
	Window time.Duration
	Ratio  float64
	Slack  float64
}

// Parts of the tolerance of a Bound. The remainder covers parts that count in two pools
// until the lease at the earlier manager ends.
const (
	// advancePart bounds what all nodes admit in advance of a grant.
	advancePart = 0.4
	// reservePart bounds the reserves of all nodes.
	reservePart = 0.2
	// startPart is the allowance of an account that is new to a pool. Without it, the accounts
	// of a lost manager start with empty buckets at the next one.
	startPart = 0.25
)

// tolerance returns the number of requests by which a window may exceed a cap.
func (b Bound) tolerance(rate, burst float64) float64 {
	return b.Ratio*(rate*b.Window.Seconds()+burst) + b.Slack
}

// Demand asks for allowance of one account, in requests.
type Demand struct {
	Account string
	// Rate is the account's cap in requests per second, and Burst what it allows beyond.
	Rate, Burst float64
	// Due is the number of requests that were admitted in advance or wait for allowance.
	Due float64
	// Held is the reserve of the node, and Reserve what it would hold in addition.
	Held, Reserve float64
}

// Report lends the part of a node and asks for allowance.
type Report struct {
	Node string
	// Version is the configuration version that states the caps.
	Version uint64
	// Share is the node's part of every cap, 0 to 1.
	Share float64
	// Probe is set if the node only asks whether the receiver is available.
	Probe   bool
	Demands []Demand
}

// Grant is the allowance of one account, in requests.
type Grant struct {
	Allowance float64
	// Wait is the time until there is allowance again; 0 if some is left.
	Wait time.Duration
}

// Reply answers a report.
type Reply struct {
	// Unavailable is set if the receiver accepts no reports. Nothing was lent or granted.
	Unavailable bool
	// Grants holds one grant for each demand, in the same order.
	Grants []Grant
}
