package gather

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of one record of a shard's part.
const RecordBytes = 16

// Greatest returns the n greatest records of all parts, greatest first, compared byte
// by byte; equal records all count. A rest shorter than a record is not one.
func Greatest(parts [][]byte, n int) []byte {
	var records [][]byte
	for _, part := range parts {
		for len(part) >= RecordBytes {
			records = append(records, part[:RecordBytes])
			part = part[RecordBytes:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if n >= 0 && len(records) > n {
		records = records[:n]
	}
	merged := make([]byte, 0, len(records)*RecordBytes)
	for _, r := range records {
		merged = append(merged, r...)
	}
	return merged
}
