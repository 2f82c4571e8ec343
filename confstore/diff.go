package confstore

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// diffContext is the number of unchanged lines shown before and after a change.
	diffContext = 3
	// maxDiffCells limits the memory of the line comparison. Larger inputs are shown as one replacement.
	maxDiffCells = 4 << 20
)

type diffLine struct {
	// kind is ' ' for a line in both texts, '-' for a line in the first text only and '+' for one in the second only.
	kind byte
	text string
}

// Diff returns the unified diff of two texts, or "" if they are equal.
func Diff(fromName, from, toName, to string) string {
	if from == to {
		return ""
	}
	lines := diffLines(splitLines(from), splitLines(to))
	var out strings.Builder
	fmt.Fprintf(&out, "--- %s\n+++ %s\n", fromName, toName)
	for _, h := range hunks(lines) {
		writeHunk(&out, lines, h[0], h[1])
	}
	return out.String()
}

func splitLines(text string) []string {
	lines := strings.SplitAfter(text, "\n")
	if last := len(lines) - 1; lines[last] == "" {
		return lines[:last]
	}
	return lines
}

// diffLines returns a shortest edit script from a to b. For inputs above maxDiffCells it may be longer.
func diffLines(a, b []string) []diffLine {
	prefix := 0
	for prefix < len(a) && prefix < len(b) && a[prefix] == b[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < len(a)-prefix && suffix < len(b)-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	out := appendLines(nil, ' ', a[:prefix])
	midA, midB := a[prefix:len(a)-suffix], b[prefix:len(b)-suffix]
	if (len(midA)+1)*(len(midB)+1) > maxDiffCells {
		out = appendLines(appendLines(out, '-', midA), '+', midB)
	} else {
		out = append(out, lcsDiff(midA, midB)...)
	}
	return appendLines(out, ' ', a[len(a)-suffix:])
}

func appendLines(out []diffLine, kind byte, lines []string) []diffLine {
	for _, l := range lines {
		out = append(out, diffLine{kind, l})
	}
	return out
}

// lcsDiff returns a shortest edit script, based on the longest common subsequence of the lines.
func lcsDiff(a, b []string) []diffLine {
	width := len(b) + 1
	length := make([]int32, (len(a)+1)*width)
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				length[i*width+j] = length[(i+1)*width+j+1] + 1
			} else {
				length[i*width+j] = max(length[(i+1)*width+j], length[i*width+j+1])
			}
		}
	}
	var out []diffLine
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			out = append(out, diffLine{' ', a[i]})
			i, j = i+1, j+1
		case length[(i+1)*width+j] >= length[i*width+j+1]:
			out = append(out, diffLine{'-', a[i]})
			i++
		default:
			out = append(out, diffLine{'+', b[j]})
			j++
		}
	}
	return appendLines(appendLines(out, '-', a[i:]), '+', b[j:])
}

// hunks returns the half-open ranges of lines to show, each with its context.
func hunks(lines []diffLine) [][2]int {
	var ranges [][2]int
	for i, l := range lines {
		if l.kind == ' ' {
			continue
		}
		low, high := max(0, i-diffContext), min(len(lines), i+diffContext+1)
		if n := len(ranges); n > 0 && low <= ranges[n-1][1] {
			ranges[n-1][1] = high
			continue
		}
		ranges = append(ranges, [2]int{low, high})
	}
	return ranges
}

func writeHunk(out *strings.Builder, lines []diffLine, low, high int) {
	count := func(part []diffLine, except byte) int {
		return len(slices.DeleteFunc(slices.Clone(part), func(l diffLine) bool { return l.kind == except }))
	}
	fromLen, toLen := count(lines[low:high], '+'), count(lines[low:high], '-')
	fmt.Fprintf(out, "@@ -%s +%s @@\n",
		hunkRange(count(lines[:low], '+'), fromLen), hunkRange(count(lines[:low], '-'), toLen))
	for _, l := range lines[low:high] {
		out.WriteByte(l.kind)
		out.WriteString(l.text)
		if !strings.HasSuffix(l.text, "\n") {
			out.WriteString("\n\\ No newline at end of file\n")
		}
	}
}

// hunkRange returns "start,length". An empty range starts at the line before it.
func hunkRange(before, length int) string {
	if length == 0 {
		return fmt.Sprintf("%d,0", before)
	}
	return fmt.Sprintf("%d,%d", before+1, length)
}
