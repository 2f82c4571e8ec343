package coverage

import (
	"bytes"
	"slices"
)

// RecordSize is the size of one encoded record in bytes.
const RecordSize = 16

// TopRecords returns the greatest records of all parts in descending byte order, at most top of them. Duplicates are
// kept. Each part is a sequence of records of RecordSize bytes in any order; an incomplete record at its end is
// ignored.
func TopRecords(parts [][]byte, top int) []byte {
	var records [][]byte
	for _, part := range parts {
		for len(part) >= RecordSize {
			records = append(records, part[:RecordSize])
			part = part[RecordSize:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(top, len(records))]
	return bytes.Join(records, nil)
}
