package coverage

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of a record in a part.
const RecordBytes = 16

// Top returns the greatest records of the parts, greatest first, compared byte by byte; equal records all count. Each
// part is a sequence of records of RecordBytes bytes in any order; a shorter remainder is not a record. The result
// has at most top records.
func Top(parts [][]byte, top int) []byte {
	var records [][]byte
	for _, part := range parts {
		for len(part) >= RecordBytes {
			records = append(records, part[:RecordBytes])
			part = part[RecordBytes:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(top, len(records))]
	return bytes.Join(records, nil)
}
