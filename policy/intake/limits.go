// Package intake decides which connections and requests of callers a node accepts. One
// ledger counts all memory that callers make the node hold, and their connections. When
// either runs short, the requests that have been incomplete for longest are rejected.
package intake

const (
	// ConnectionCost is the memory of an open connection without a request: its goroutine and
	// its buffers.
	ConnectionCost = 32 << 10
	// OrdinaryRequest is the memory up to which a request may use all of Limits.Memory.
	OrdinaryRequest = 64 << 10
	// LargeShare is the share of Limits.Memory that connections and larger requests may use.
	// The remainder is reserved for ordinary requests.
	LargeShare = 0.75

	// memoryShare is the share of a node's memory that callers may use. The remainder is for
	// the exchange with peers and operators, for replies, and for garbage that has not been
	// collected yet.
	memoryShare = 1.0 / 3
	// connectionMemoryShare is the share of callers' memory that connections without a request
	// may use.
	connectionMemoryShare = 0.5
	// descriptorShare is the share of a node's descriptors that callers' connections may use.
	descriptorShare = 0.5
	// fixedMemory is the memory of the program that the garbage collector does not manage, and
	// heapShare the share of the remainder from which the collector runs more often.
	fixedMemory = 16 << 20
	heapShare   = 0.7
)

// Machine is what a process may use. Zero values mean no bound.
type Machine struct {
	// Memory is in bytes.
	Memory      int64
	Descriptors int
}

// Limits bounds what callers make a node hold. Zero values mean no bound.
type Limits struct {
	// Memory is in bytes.
	Memory      int64
	Connections int
}

// Limits returns the limits of callers at a node.
func (m Machine) Limits() Limits {
	l := Limits{
		Memory:      int64(float64(m.Memory) * memoryShare),
		Connections: int(float64(m.Descriptors) * descriptorShare),
	}
	if m.Memory > 0 {
		affordable := max(1, int(float64(l.Memory)*connectionMemoryShare)/ConnectionCost)
		if l.Connections == 0 || affordable < l.Connections {
			l.Connections = affordable
		}
	}
	return l
}

// HeapLimit returns the limit of the garbage collector in bytes; 0 for none.
func (m Machine) HeapLimit() int64 {
	if m.Memory == 0 {
		return 0
	}
	return int64(float64(max(m.Memory-fixedMemory, fixedMemory)) * heapShare)
}

const (
	// headByteCost covers a byte of a head in the read buffer, in the line that grows with it
	// and in the parsed value.
	headByteCost = 4
	// headLineCost covers the entry of a header line in the map of headers and its slice of
	// values.
	headLineCost = 200
	// copiedHeaderCost covers the entry of a header in a copy of the map.
	copiedHeaderCost = 96
	// ordinaryHeaders is the number of headers whose copies are not counted, and
	// ordinaryMessage the size of messages between nodes that are not counted.
	ordinaryHeaders = 32
	ordinaryMessage = 16 << 10
	// smallBuffer and largeBuffer are sizes of the pooled buffers that gRPC encodes messages
	// into: a message that exceeds the former takes the latter.
	smallBuffer = 32 << 10
	largeBuffer = 1 << 20
)

// HeadCost returns the memory of a head with this many bytes and lines, once it is parsed.
func HeadCost(size, lines int) int64 { return int64(size)*headByteCost + int64(lines)*headLineCost }

// CopiesCost returns the memory of copies of a request's map of headers.
func CopiesCost(copies, headers int) int64 {
	return int64(copies) * int64(max(0, headers-ordinaryHeaders)) * copiedHeaderCost
}

// ReceivedCost returns the memory of a request that came in a message from another node, with this
// many headers of this many bytes together, and a body.
func ReceivedCost(headers, size, body int) int64 {
	cost := HeadCost(size, headers) + int64(body)
	if cost <= ordinaryMessage {
		return 0
	}
	return cost
}

// MessageCost returns the memory of a message to another node with a request, as in ReceivedCost.
func MessageCost(headers, size, body int) int64 {
	cost := ReceivedCost(headers, size, body)
	if encoded := int64(size + body); encoded > smallBuffer {
		cost += max(encoded, largeBuffer)
	}
	return cost
}
