package coverage

import (
	"bytes"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestTopMatchesSimpleSort compares TopRecords with a simple implementation: duplicates are kept, an incomplete record
// is ignored, and the order is descending.
func TestTopMatchesSimpleSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 100), 0, 6).Draw(t, "parts")
		top := rapid.IntRange(1, 8).Draw(t, "top")
		var all []string
		for _, p := range parts {
			for i := 0; i+RecordSize <= len(p); i += RecordSize {
				all = append(all, string(p[i:i+RecordSize]))
			}
		}
		slices.Sort(all)
		slices.Reverse(all)
		var want []byte
		for _, r := range all[:min(top, len(all))] {
			want = append(want, r...)
		}
		must.True(t, bytes.Equal(want, TopRecords(parts, top)))
	})
}
