package gather

import (
	"encoding/binary"
	"slices"
)

// RecordBytes is the size of one record of a shard's part.
const RecordBytes = 16

// record is a record as two big-endian numbers, which compare in the same order as its bytes.
type record struct {
	high, low uint64
}

func readRecord(b []byte) record {
	return record{high: binary.BigEndian.Uint64(b), low: binary.BigEndian.Uint64(b[8:])}
}

func (r record) less(o record) bool {
	return r.high < o.high || r.high == o.high && r.low < o.low
}

// Greatest returns the n greatest records of all parts in descending byte order. Duplicates
// count separately, and a trailing fragment shorter than a record is ignored.
//
// The list of the n greatest stays sorted, so most records need only one comparison.
func Greatest(parts [][]byte, n int) []byte {
	if n <= 0 {
		return nil
	}
	total := 0
	for _, part := range parts {
		total += len(part) / RecordBytes
	}
	n = min(n, total)
	top := make([]record, 0, n)
	for _, part := range parts {
		for ; len(part) >= RecordBytes; part = part[RecordBytes:] {
			top = insertTop(top, readRecord(part), n)
		}
	}
	merged := make([]byte, 0, len(top)*RecordBytes)
	for _, r := range top {
		merged = binary.BigEndian.AppendUint64(merged, r.high)
		merged = binary.BigEndian.AppendUint64(merged, r.low)
	}
	return merged
}

// insertTop inserts a record into a descending list of at most n records.
func insertTop(top []record, r record, n int) []record {
	if len(top) == n {
		if !top[n-1].less(r) {
			return top
		}
		top = top[:n-1]
	}
	at, _ := slices.BinarySearchFunc(top, r, func(a, b record) int {
		switch {
		case b.less(a):
			return -1
		case a.less(b):
			return 1
		}
		return 0
	})
	return slices.Insert(top, at, r)
}
