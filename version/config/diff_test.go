package config

import (
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// textOf draws a text with repeated and empty lines, with or without a newline at the end.
func textOf(t *rapid.T, name string) string {
	lines := rapid.SliceOfN(rapid.SampledFrom([]string{"", "", "a", "b", "c", "d", "e", "f", "g"}), 0, 30).Draw(t, name)
	return strings.Join(lines, "\n")
}

// Diff must not lose, duplicate or misplace lines, and inverse edits must restore the old text.
func TestDiffAndPatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		oldText, newText := textOf(t, "old"), textOf(t, "new")
		old, new := SplitLines(oldText), SplitLines(newText)
		must.EqOp(t, oldText, JoinLines(old))
		kept := slices.Clone(old)
		edits := Diff(old, new)
		patched, err := Patch(old, edits)
		must.NoError(t, err)
		must.Eq(t, new, patched)
		must.Eq(t, kept, old, must.Sprint("the old lines are not modified"))
		must.EqOp(t, oldText == newText, len(edits) == 0)
		back, err := Patch(new, AuditRecord{Edits: recordEdits(old, edits)}.inverse())
		must.NoError(t, err)
		must.Eq(t, old, back)
	})
}

// The diff of a change of one line must be an edit of one line.
func TestDiffIsShort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,4}`), 2, 40, rapid.ID[string]).Draw(t, "old")
		at := rapid.IntRange(0, len(old)-1).Draw(t, "at")
		changed := slices.Clone(old)
		changed[at] = "0"
		edits := Diff(old, changed)
		must.Len(t, 1, edits)
		must.EqOp(t, 1, int(edits[0].Removed))
		must.Eq(t, []string{"0"}, edits[0].Added)
		moved := append(slices.Delete(slices.Clone(old), at, at+1), old[at])
		removed := 0
		for _, e := range Diff(old, moved) {
			removed += int(e.Removed)
		}
		must.LessEq(t, 1, removed, must.Sprint("a moved line is one removed and one added line"))
	})
}

// Patch must reject edits beyond the end of the text, which a faulty peer may send.
func FuzzPatch(f *testing.F) {
	f.Add("a\nb\nc", uint32(1), uint32(1), uint32(2), uint32(1))
	f.Add("a\nb\nc", uint32(0), uint32(4), uint32(0), uint32(0))
	f.Add("a\nb\nc", uint32(0), uint32(3), uint32(1), uint32(1))
	f.Add("", uint32(1<<32-1), uint32(1<<32-1), uint32(0), uint32(1))
	f.Fuzz(func(t *testing.T, text string, line1, removed1, line2, removed2 uint32) {
		edits := Diff([]string{"x"}, []string{"y"})
		edits = append(edits, edits[0])
		edits[0].Line, edits[0].Removed = line1, removed1
		edits[1].Line, edits[1].Removed = line2, removed2
		lines := SplitLines(text)
		patched, err := Patch(lines, edits)
		if err != nil {
			must.ErrorIs(t, err, ErrInvalidEdits)
			return
		}
		must.Len(t, len(lines)+2-int(removed1)-int(removed2), patched)
	})
}

// UnifiedDiff must return the standard unified format.
func TestUnified(t *testing.T) {
	old := "a\nb\nc\nd\ne\nf\ng\nh\ni\nj\nk\nl\n"
	changed := "a\nb\nc\nD\ne\nf\ng\nh\ni\nj\nk\nl\nm\n"
	must.EqOp(t, "--- old\n+++ new\n@@ -1,7 +1,7 @@\n a\n b\n c\n-d\n+D\n e\n f\n g\n@@ -10,3 +10,4 @@\n j\n k\n l\n+m\n",
		UnifiedDiff("old", "new", old, changed))
	must.EqOp(t, "--- old\n+++ new\n@@ -0,0 +1,1 @@\n+a\n", UnifiedDiff("old", "new", "", "a\n"))
	must.EqOp(t, "", UnifiedDiff("old", "new", old, old))
	must.StrContains(t, UnifiedDiff("old", "new", "a", "a\n"), "only the newline at the end differs")
}
