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

// observed is all that lookups return of a set, for the names and paths that the tests below use.
func observed(s *Set) []any {
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

// mustEqual compares without go-cmp, which takes seconds for thousands of values, and uses it to show a difference.
func mustEqual(t must.T, want, got []any) {
	t.Helper()
	if !reflect.DeepEqual(want, got) {
		must.Eq(t, want, got)
	}
}

// editedLine draws a line of any kind; some are wrong on their own and some only beside others.
func editedLine(t *rapid.T) string {
	kind := rapid.IntRange(0, 19).Draw(t, "kind")
	if kind < 10 {
		return strings.TrimSuffix(fmt.Sprintf("team t%d weight=%d%s", rapid.IntRange(0, 259).Draw(t, "team"), 1+kind, c), "\n")
	}
	name := rapid.SampledFrom([]string{"m", "p", "q"}).Draw(t, "name")
	return strings.TrimSuffix([]string{
		"", "# a comment\r", "service " + name + " kind=plain versions=v1,v3" + c, "route /" + name + " service=" + name + c,
		"drain datacentre " + name + c, "undrain datacentre " + name + c, "drain upstream " + name + c, "bound " + name + " 1.5" + c,
		"shift " + name + " v1 -> v2 by 2026-12-05T18:00:00Z" + c, "team t1 weight=0 # x",
	}[kind-10], "\n")
}

// editsOf draws edits of lines: some that keep a text valid, and replaced, added, removed, moved and repeated ones.
func editsOf(t *rapid.T, lines []string) []Edit {
	if rapid.IntRange(0, 9).Draw(t, "valid") < 7 {
		return validEdits(t, lines)
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
			e.Added = append(e.Added, rapid.OneOf(rapid.Custom(editedLine), rapid.SampledFrom(lines)).Draw(t, "line"))
		}
		edits = append(edits, e)
		at += removed
	}
	return edits
}

// validEdits changes a line's comment, moves a line, adds one, or removes one that holds a team.
func validEdits(t *rapid.T, lines []string) []Edit {
	at := rapid.OneOf(rapid.IntRange(0, min(5, len(lines)-1)), rapid.IntRange(0, len(lines)-1)).Draw(t, "at")
	kind := rapid.IntRange(0, 4).Draw(t, "kind")
	e := Edit{Line: uint32(at), Removed: 1}
	switch {
	case kind == 0 && strings.HasPrefix(lines[at], "team"):
		return []Edit{e}
	case kind == 1 && at > 0:
		return []Edit{{Line: uint32(rapid.IntRange(0, at).Draw(t, "to")), Added: lines[at : at+1]}, e}
	case kind == 2:
		e.Removed, e.Added = 0, []string{rapid.SampledFrom([]string{"", "# x", "team t230" + c[:13], "route /m/x service=m" + c[:13], "drain upstream q" + c[:13]}).Draw(t, "new")}
	case strings.Contains(lines[at], "#"):
		e.Added = []string{strings.TrimSuffix(lines[at], "\r") + " again"}
	default:
		e.Added = []string{"# again"}
	}
	return []Edit{e}
}

// patched applies edits to lines as a whole.
func patched(lines []string, edits []Edit) []string {
	lines = slices.Clone(lines)
	for _, e := range slices.Backward(edits) {
		lines = slices.Replace(lines, int(e.Line), int(e.Line+e.Removed), e.Added...)
	}
	return lines
}

// Guards against a set compiled from edits that differs from the parsed text in any value, line or fault, and against an edit
// that modifies a set that was published before.
func TestCompileEqualsParse(t *testing.T) {
	base := twoServices + "route /m service=m" + c
	for i := range 200 {
		base += fmt.Sprintf("team t%d limit=%d%s", i, i+1, c)
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
				edits := editsOf(t, next)
				if after := patched(next, edits); len(after) > 0 {
					must.NoError(t, draft.Apply(edits))
					next = after
				}
			}
			text := strings.Join(next, "\n")
			must.EqOp(t, text, draft.Text())
			must.EqOp(t, len(text), draft.Bytes())
			want, wantFaults := Parse("f", []byte(text))
			quick := draft.incremental(text)
			if quick != nil {
				must.SliceEmpty(t, wantFaults)
				mustEqual(t, observed(want), observed(quick))
				incremental++
			}
			changes++
			got, faults := draft.Compile("f", text)
			must.Eq(t, wantFaults, faults)
			if faults == nil {
				mustEqual(t, observed(want), observed(got))
				set, lines = got, next
				sets, values = append(sets, got), append(values, observed(want))
			}
		}
		for i, s := range sets {
			mustEqual(t, values[i], observed(s))
		}
	})
	t.Logf("%d of %d texts were compiled without parsing them as a whole", incremental, changes)
	must.Greater(t, changes/4, incremental)
}

// Guards against lines that run together or go missing at the end of a text, where the last line has no newline and a chunk can
// lose all of its lines.
func TestEditAtTheEnd(t *testing.T) {
	lines := slices.Repeat([]string{"# x"}, chunkLines+1)
	for _, steps := range [][]Edit{
		{{Line: chunkLines, Removed: 1}, {Line: chunkLines, Added: []string{"# y"}}, {Line: 0, Added: []string{"# z"}}},
		{{Line: chunkLines, Removed: 1}, {Line: chunkLines - 1, Removed: 1, Added: []string{""}}, {Line: 3, Removed: 1}},
		{{Line: 0, Removed: chunkLines}, {Line: 0, Removed: 1, Added: []string{"", ""}}, {Line: 2, Added: []string{"# y", ""}}},
		{{Line: chunkLines + 1, Added: []string{""}}, {Line: 0, Removed: chunkLines + 1}, {Line: 0, Added: []string{"# y"}}},
	} {
		set, want := parse(t, strings.Join(lines, "\n")), lines
		for _, e := range steps {
			want = patched(want, []Edit{e})
			d := set.Edit()
			must.NoError(t, d.Apply([]Edit{e}))
			must.EqOp(t, strings.Join(want, "\n"), d.Text())
			set = d.incremental(d.Text())
			must.NotNil(t, set)
		}
	}
}

// Guards against edits from a faulty peer that reach outside the text, overlap, or hide a line in another.
func TestApplyRefuses(t *testing.T) {
	set := parse(t, "team a"+c+"team b"+c)
	for _, edits := range [][]Edit{
		{{Line: 4}}, {{Line: 2, Removed: 2}}, {{Line: 1<<32 - 1, Removed: 1<<32 - 1}}, {{Line: 1, Removed: 1}, {Line: 1, Removed: 1, Added: []string{""}}, {Line: 0}},
		{{Line: 0, Removed: 1, Added: []string{"# x\nteam c"}}}, {{Line: 0, Removed: 3}},
	} {
		d := set.Edit()
		must.ErrorIs(t, d.Apply(edits), ErrEdit)
		must.EqOp(t, "team a"+c+"team b"+c, d.Text())
	}
}

// Guards against a write to what readers of the published set share; it shows with the race detector.
func TestEditBesideReaders(t *testing.T) {
	set := parse(t, string(manyTeams()))
	want := observed(set)
	var readers sync.WaitGroup
	for range 2 {
		readers.Go(func() { mustEqual(t, want, observed(set)) })
	}
	for i := range 50 {
		d := set.Edit()
		must.NoError(t, d.Apply([]Edit{{Line: uint32(100 * i), Removed: 1, Added: []string{"team new # ops: x"}}}))
		_, faults := d.Compile("f", d.Text())
		must.NoError(t, faults.Err())
	}
	readers.Wait()
}

// Guards against a change that costs what the whole text costs: a line of a team is replaced, and only its chunk, its shards of
// the index and the lists of them may be copied, while the tables of the other rules stay the same.
func TestCompileSharesWhatIsUnchanged(t *testing.T) {
	text := string(manyTeams())
	set := parse(t, text)
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

// The time is printed for the record; a process compiles each change, while others send traffic.
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
