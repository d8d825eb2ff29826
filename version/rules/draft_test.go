package rules

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// lookupResults returns the results of all lookups in a set, for the names and paths that the tests below use.
func lookupResults(s *Set) []any {
	list := []any{s.Services(), s.Routes(), s.Teams(), s.Drains(), s.Shifts()}
	for i := range 260 {
		team, found := s.Team(fmt.Sprint("t", i))
		list = append(list, team, found)
	}
	for _, name := range []string{"m", "p", "q"} {
		service, _ := s.Service(name)
		shift, _ := s.Shift(name)
		route, _ := s.Route("/" + name + "/x")
		inCentre, _ := s.Drained(name, "")
		upstream, _ := s.Drained("", name)
		list = append(list, service, shift, route, inCentre, upstream)
	}
	return list
}

// mustDeepEqual compares with reflect.DeepEqual, because go-cmp takes seconds for thousands of values. It uses go-cmp only to print a
// difference.
func mustDeepEqual(t must.T, want, got []any) {
	t.Helper()
	if !reflect.DeepEqual(want, got) {
		must.Eq(t, want, got)
	}
}

// drawLine draws a line of any kind; some have a fault on their own and some only in combination with other lines.
func drawLine(t *rapid.T) string {
	kind := rapid.IntRange(0, 19).Draw(t, "kind")
	if kind < 10 {
		return strings.TrimSuffix(fmt.Sprintf("team t%d weight=%d%s", rapid.IntRange(0, 259).Draw(t, "team"), 1+kind, comment), "\n")
	}
	name := rapid.SampledFrom([]string{"m", "p", "q"}).Draw(t, "name")
	return strings.TrimSuffix([]string{
		"", "# a comment\r", "service " + name + " kind=plain versions=v1,v3" + comment, "route /" + name + " service=" + name + comment,
		"drain datacentre " + name + comment, "undrain datacentre " + name + comment, "drain upstream " + name + comment, "bound " + name + " 1.5" + comment,
		"shift " + name + " v1 -> v2 by 2026-12-05T18:00:00Z" + comment, "team t1 weight=0 # x",
	}[kind-10], "\n")
}

// drawEdits draws edits: mostly ones that are likely to keep the text valid, otherwise arbitrary replaced, added and removed lines.
func drawEdits(t *rapid.T, lines []string) []Edit {
	if rapid.IntRange(0, 9).Draw(t, "valid") < 7 {
		return drawValidEdits(t, lines)
	}
	var edits []Edit
	at := 0
	for range rapid.IntRange(1, 3).Draw(t, "edits") {
		at = rapid.IntRange(at, len(lines)).Draw(t, "at")
		removed := min(rapid.SampledFrom([]int{0, 1, 1, 1, 2, 100}).Draw(t, "removed"), len(lines)-at)
		e := Edit{Line: uint32(at), Removed: uint32(removed)}
		for range rapid.SampledFrom([]int{0, 1, 1, 1, 3, 300}).Draw(t, "added") {
			if len(e.Added) > 3 {
				e.Added = append(e.Added, "# filler")
				continue
			}
			e.Added = append(e.Added, rapid.OneOf(rapid.Custom(drawLine), rapid.SampledFrom(lines)).Draw(t, "line"))
		}
		edits = append(edits, e)
		at += removed
	}
	return edits
}

// drawValidEdits draws an edit that changes the comment of a line, moves a line, adds one, or removes a team rule.
func drawValidEdits(t *rapid.T, lines []string) []Edit {
	at := rapid.OneOf(rapid.IntRange(0, min(5, len(lines)-1)), rapid.IntRange(0, len(lines)-1)).Draw(t, "at")
	kind := rapid.IntRange(0, 4).Draw(t, "kind")
	e := Edit{Line: uint32(at), Removed: 1}
	switch {
	case kind == 0 && strings.HasPrefix(lines[at], "team"):
		return []Edit{e}
	case kind == 1 && at > 0:
		return []Edit{{Line: uint32(rapid.IntRange(0, at).Draw(t, "to")), Added: lines[at : at+1]}, e}
	case kind == 2:
		e.Removed, e.Added = 0, []string{rapid.SampledFrom([]string{"", "# x", "team t230" + comment[:13], "route /m/x service=m" + comment[:13], "drain upstream q" + comment[:13]}).Draw(t, "new")}
	case strings.Contains(lines[at], "#"):
		e.Added = []string{strings.TrimSuffix(lines[at], "\r") + " again"}
	default:
		e.Added = []string{"# again"}
	}
	return []Edit{e}
}

// applyEdits is a simple reference implementation of Draft.Apply.
func applyEdits(lines []string, edits []Edit) []string {
	lines = slices.Clone(lines)
	for _, e := range slices.Backward(edits) {
		lines = slices.Replace(lines, int(e.Line), int(e.Line+e.Removed), e.Added...)
	}
	return lines
}

// Compile must return the same values, lines and faults as a full parse, and must not modify an earlier set.
func TestCompileEqualsParse(t *testing.T) {
	base := twoServices + "route /m service=m" + comment
	for i := range 200 {
		base += fmt.Sprintf("team t%d limit=%d%s", i, i+1, comment)
	}
	incremental, changes := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		set, faults := Parse("f", []byte(base))
		must.NoError(t, faults.Err())
		lines := strings.Split(base, "\n")
		var sets []*Set
		var values [][]any
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			draft, next := set.Edit(), lines
			for range rapid.IntRange(1, 2).Draw(t, "steps") {
				edits := drawEdits(t, next)
				if after := applyEdits(next, edits); len(after) > 0 {
					must.NoError(t, draft.Apply(edits))
					next = after
				}
			}
			text := strings.Join(next, "\n")
			must.EqOp(t, text, draft.Text())
			must.EqOp(t, len(text), draft.Bytes())
			want, wantFaults := Parse("f", []byte(text))
			compiled := draft.compileIncremental(text)
			if compiled != nil {
				must.SliceEmpty(t, wantFaults)
				mustDeepEqual(t, lookupResults(want), lookupResults(compiled))
				incremental++
			}
			changes++
			got, faults := draft.Compile("f", text)
			must.Eq(t, wantFaults, faults)
			if faults == nil {
				mustDeepEqual(t, lookupResults(want), lookupResults(got))
				set, lines = got, next
				sets, values = append(sets, got), append(values, lookupResults(want))
			}
		}
		for i, s := range sets {
			mustDeepEqual(t, values[i], lookupResults(s))
		}
	})
	t.Logf("%d of %d texts were compiled incrementally", incremental, changes)
	must.Greater(t, changes/4, incremental)
}

// Edits at the end of a text must not lose or join lines: the last line has no newline and a chunk can become empty.
func TestEditAtEnd(t *testing.T) {
	lines := slices.Repeat([]string{"# x"}, chunkLines+1)
	for _, steps := range [][]Edit{
		{{Line: chunkLines, Removed: 1}, {Line: chunkLines, Added: []string{"# y"}}, {Line: 0, Added: []string{"# z"}}},
		{{Line: chunkLines, Removed: 1}, {Line: chunkLines - 1, Removed: 1, Added: []string{""}}, {Line: 3, Removed: 1}},
		{{Line: 0, Removed: chunkLines}, {Line: 0, Removed: 1, Added: []string{"", ""}}, {Line: 2, Added: []string{"# y", ""}}},
		{{Line: chunkLines + 1, Added: []string{""}}, {Line: 0, Removed: chunkLines + 1}, {Line: 0, Added: []string{"# y"}}},
	} {
		set, want := mustParse(t, strings.Join(lines, "\n")), lines
		for _, e := range steps {
			want = applyEdits(want, []Edit{e})
			d := set.Edit()
			must.NoError(t, d.Apply([]Edit{e}))
			must.EqOp(t, strings.Join(want, "\n"), d.Text())
			set = d.compileIncremental(d.Text())
			must.NotNil(t, set)
		}
	}
}

// Apply must reject edits that extend beyond the end of the text, overlap, remove all lines, or contain a newline; a faulty peer
// may send them.
func TestApplyRejectsInvalidEdits(t *testing.T) {
	set := mustParse(t, "team a"+comment+"team b"+comment)
	for _, edits := range [][]Edit{
		{{Line: 4}}, {{Line: 2, Removed: 2}}, {{Line: 1<<32 - 1, Removed: 1<<32 - 1}}, {{Line: 1, Removed: 1}, {Line: 1, Removed: 1, Added: []string{""}}, {Line: 0}},
		{{Line: 0, Removed: 1, Added: []string{"# x\nteam c"}}}, {{Line: 0, Removed: 3}},
	} {
		d := set.Edit()
		must.ErrorIs(t, d.Apply(edits), ErrInvalidEdit)
		must.EqOp(t, "team a"+comment+"team b"+comment, d.Text())
	}
}

// Guards against data races between an edit and readers of the set; only the race detector can show some of them.
func TestEditWithConcurrentReaders(t *testing.T) {
	set := mustParse(t, string(manyTeams()))
	want := lookupResults(set)
	var readers sync.WaitGroup
	for range 2 {
		readers.Go(func() { mustDeepEqual(t, want, lookupResults(set)) })
	}
	for i := range 50 {
		d := set.Edit()
		must.NoError(t, d.Apply([]Edit{{Line: uint32(100 * i), Removed: 1, Added: []string{"team new # ops: x"}}}))
		_, faults := d.Compile("f", d.Text())
		must.NoError(t, faults.Err())
	}
	readers.Wait()
}

// A small change must cost much less than a full parse: replacing one team rule may copy only its chunk, the index shards of the
// two teams and the lists of chunks and shards; the tables of the other rules must be shared.
func TestCompileSharesUnchangedData(t *testing.T) {
	text := string(manyTeams())
	set := mustParse(t, text)
	var next *Set
	allocated := testing.AllocsPerRun(10, func() {
		d := set.Edit()
		must.NoError(t, d.Apply([]Edit{{Line: 7000, Removed: 1, Added: []string{"team new weight=3 # ops: x"}}}))
		next, _ = d.Compile("f", d.Text())
	})
	must.LessEq(t, 100, allocated)
	copied := 0
	for i, c := range next.chunks {
		if c != set.chunks[i] {
			copied++
		}
	}
	must.EqOp(t, 1, copied)
	must.True(t, &next.services[0] == &set.services[0])
}

// BenchmarkCompileOneLine measures compiling a change of one line, which a process does while it serves traffic.
func BenchmarkCompileOneLine(b *testing.B) {
	set, faults := Parse("f", manyTeams())
	must.NoError(b, faults.Err())
	b.ReportAllocs()
	for b.Loop() {
		d := set.Edit()
		must.NoError(b, d.Apply([]Edit{{Line: 7000, Removed: 1, Added: []string{"team new weight=3 # ops: x"}}}))
		d.Compile("f", d.Text())
	}
}
