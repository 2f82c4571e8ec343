package confstore

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestDiffReproducesBothTexts guards against a diff that omits or adds lines.
// Mutation: in lcsDiff, remove the final appendLines of b[j:].
func TestDiffReproducesBothTexts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.SampledFrom([]string{"a\n", "b\n", "c\n", "d"}), 0, 12)
		from, to := strings.Join(text.Draw(t, "from"), ""), strings.Join(text.Draw(t, "to"), "")
		var gotFrom, gotTo strings.Builder
		for _, l := range diffLines(splitLines(from), splitLines(to)) {
			if l.kind != '+' {
				gotFrom.WriteString(l.text)
			}
			if l.kind != '-' {
				gotTo.WriteString(l.text)
			}
		}
		must.Eq(t, from, gotFrom.String())
		must.Eq(t, to, gotTo.String())
	})
}

// TestDiffFormat guards against hunk headers that patch tools reject.
func TestDiffFormat(t *testing.T) {
	from := "1\n2\n3\n4\n5\n6\n7\n8\n9\n10\n11\n12\n"
	to := strings.Replace(strings.Replace(from, "2\n", "", 1), "12\n", "12\n13", 1)
	must.Eq(t, `--- a
+++ b
@@ -1,5 +1,4 @@
 1
-2
 3
 4
 5
@@ -10,3 +9,4 @@
 10
 11
 12
+13
\ No newline at end of file
`, Diff("a", from, "b", to))
	must.Eq(t, "--- a\n+++ b\n@@ -0,0 +1,1 @@\n+x\n", Diff("a", "", "b", "x\n"))
	must.Eq(t, "", Diff("a", to, "b", to))
}
