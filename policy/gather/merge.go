package gather

import (
	"encoding/binary"
	"slices"
)

// RecordBytes is the size of one record of a shard's part.
const RecordBytes = 16

// record is one record as two numbers, whose order is that of its bytes.
type record struct {
	high, low uint64
}

func readRecord(b []byte) record {
	return record{high: binary.BigEndian.Uint64(b), low: binary.BigEndian.Uint64(b[8:])}
}

func (r record) less(o record) bool {
	return r.high < o.high || r.high == o.high && r.low < o.low
}

// Greatest returns the n greatest records of all parts, greatest first, compared byte
// by byte; equal records all count. A rest shorter than a record is not one.
//
// It keeps the n greatest so far in order, so that most records are passed over after
// one comparison.
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
			top = keep(top, readRecord(part), n)
		}
	}
	merged := make([]byte, 0, len(top)*RecordBytes)
	for _, r := range top {
		merged = binary.BigEndian.AppendUint64(merged, r.high)
		merged = binary.BigEndian.AppendUint64(merged, r.low)
	}
	return merged
}

// keep inserts a record into a list of at most n, greatest first.
func keep(top []record, r record, n int) []record {
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
