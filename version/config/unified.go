package config

import (
	"fmt"
	"strings"
)

// contextLines is the number of unchanged lines that a unified diff shows around a change.
const contextLines = 3

// UnifiedDiff returns the unified diff of two texts, with the names in its header. It is empty if the texts are equal.
func UnifiedDiff(oldName, newName, oldText, newText string) string {
	if oldText == newText {
		return ""
	}
	old, new := displayLines(oldText), displayLines(newText)
	var b strings.Builder
	fmt.Fprintf(&b, "--- %s\n+++ %s\n", oldName, newName)
	changed := changedRanges(old, new)
	if len(changed) == 0 {
		b.WriteString("\\ only the newline at the end differs\n")
	}
	for _, hunk := range hunks(changed) {
		writeHunk(&b, old, new, hunk)
	}
	return b.String()
}

// displayLines returns the lines of a text without the empty one after its last newline.
func displayLines(text string) []string {
	if text == "" {
		return nil
	}
	return SplitLines(strings.TrimSuffix(text, "\n"))
}

// hunks groups changes whose context lines touch or overlap.
func hunks(changed []lineRange) [][]lineRange {
	var groups [][]lineRange
	for _, r := range changed {
		last := len(groups) - 1
		if last >= 0 && r.oldStart-groups[last][len(groups[last])-1].oldEnd <= 2*contextLines {
			groups[last] = append(groups[last], r)
			continue
		}
		groups = append(groups, []lineRange{r})
	}
	return groups
}

// writeHunk writes a group of changes with its context lines.
func writeHunk(b *strings.Builder, old, new []string, hunk []lineRange) {
	first, last := hunk[0], hunk[len(hunk)-1]
	before := min(contextLines, first.oldStart)
	after := min(contextLines, len(old)-last.oldEnd)
	oldStart, newStart := first.oldStart-before, first.newStart-before
	fmt.Fprintf(b, "@@ -%s +%s @@\n", span(oldStart, last.oldEnd+after), span(newStart, last.newEnd+after))
	next := oldStart
	for _, r := range hunk {
		writeLines(b, ' ', old[next:r.oldStart])
		writeLines(b, '-', old[r.oldStart:r.oldEnd])
		writeLines(b, '+', new[r.newStart:r.newEnd])
		next = r.oldEnd
	}
	writeLines(b, ' ', old[next:next+after])
}

// span formats the range of a hunk header. Lines are numbered from one; an empty range has the number of the line before it.
func span(start, end int) string {
	if start < end {
		return fmt.Sprintf("%d,%d", start+1, end-start)
	}
	return fmt.Sprintf("%d,0", start)
}

func writeLines(b *strings.Builder, mark byte, lines []string) {
	for _, line := range lines {
		b.WriteByte(mark)
		b.WriteString(line)
		b.WriteByte('\n')
	}
}
