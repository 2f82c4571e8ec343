package coverage

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of one encoded record.
const RecordBytes = 16

// Top returns the greatest records of all parts in descending byte order, at most top of them. Duplicates are kept.
// Each part is a sequence of records of RecordBytes bytes in any order; an incomplete record at its end is ignored.
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
