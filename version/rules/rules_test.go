package rules

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// c ends a rule in tests that are not about comments.
const c = "  # ops: test\n"

const twoServices = "service m kind=model versions=v1,v2" + c + "service p kind=plain versions=v1" + c

func parse(t *testing.T, text string) *Set {
	t.Helper()
	set, faults := Parse("f", []byte(text))
	must.NoError(t, faults.Err())
	return set
}

// Guards against examples that operators would copy and that have faults.
func TestExamples(t *testing.T) {
	for _, name := range []string{"../../examples/vunilagi.rules", "../../examples/riga.rules"} {
		text, err := os.ReadFile(name)
		must.NoError(t, err)
		set, faults := Parse(name, text)
		must.NoError(t, faults.Err())
		must.Len(t, 2, set.Services())
		must.Len(t, 10, set.Teams())
		must.Len(t, 1, set.Shifts())
		must.Len(t, 1, set.Drains())
	}
}

// Guards against a page whose examples are not accepted, or whose messages are not the program's.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/rules.md")
	must.NoError(t, err)
	blocks := regexp.MustCompile("(?s)```rules\n(.*?)```").FindAllStringSubmatch(string(page), -1)
	must.Len(t, 14, blocks, must.Sprint("two for each of seven rules"))
	var files [2]strings.Builder
	for i, b := range blocks {
		files[i%2].WriteString(b[1])
	}
	for i := range files {
		parse(t, files[i].String())
	}
	_, faults := Parse("press.rules", []byte(twoServices+"\nroute /a service=m deadline=5"+c+
		"\n\nteam drivers"+c+"\nteam drivers"+c))
	for _, f := range faults {
		must.StrContains(t, string(page), f.Error()+"\n")
	}
}

// Guards against faults that are missed, reported at the wrong place, or reported without saying what would be right.
func TestFaults(t *testing.T) {
	long := strings.Repeat("x", MaxNameBytes+1)
	for _, tc := range []struct {
		text, line string // The line to find the fault in, without its comment; text precedes it.
		column     int
		fault      string
	}{
		{"", "team a", 7, "the rule has no comment"},
		{"", "team a # ops", 8, "does not name who asked and why"},
		{"", "team a # : why", 8, "does not name who asked and why"},
		{"", "team a # ops:  ", 8, "does not name who asked and why"},
		{"", "\ufeffteam a" + c, 1, "byte order mark"},
		{"", "team ā\x00" + c, 7, "character U+0000"},
		{"", "team a # ops: \u202etxt", 15, "character U+202E"},
		{"", "team a # ops: \xff", 15, "byte 0xff"},
		{"", "team a # ops: " + strings.Repeat("y", MaxLineBytes), 1, "the line has"},
		{"", "teams a" + c, 1, `unknown rule "teams"`},
		{"", "team" + c, 5, "incomplete"},
		{"", "team ā" + c, 6, "cannot name a team"},
		{"", "team " + long + c, 6, "cannot name a team"},
		{"", "team -a" + c, 6, "cannot name a team"},
		{"", "team a weight=0" + c, 15, "not a count"},
		{"", "team a weight=+1" + c, 15, "not a count"},
		{"", "team a weight=1000001" + c, 15, "not a count"},
		{"", "team a limit=0" + c, 14, "not a limit"},
		{"", "team a limit=1e3" + c, 14, "not a limit"},
		{"", "team a limit=NaN" + c, 14, "not a limit"},
		{"", "team a weight=1 weight=2" + c, 17, "weight is given twice"},
		{"", "team a weight=" + c, 8, "weight has no value"},
		{"", "team a wait=1" + c, 8, `unexpected "wait=1"`},
		{"", "team a 7" + c, 8, `unexpected "7"`},
		{"team a" + c, "team a weight=2" + c, 6, "already has a rule in line 1"},
		{"", "service s kind=other versions=v1" + c, 16, "not a kind"},
		{"", "service s kind=model" + c, 21, "versions= is missing"},
		{twoServices, "bound m 0.5" + c, 9, "not a bound"},
		{"", "service s versions=v1" + c, 22, "kind= is missing"},
		{"", "service s kind=model versions=v1,v1" + c, 34, "version v1 is listed twice"},
		{"", "service s kind=model versions=v1," + c, 34, "cannot name a version"},
		{twoServices, "service m kind=model versions=v1" + c, 9, "service m already has a rule in line 1"},
		{"", "route /a service=s" + c, 18, "unknown service s"},
		{twoServices, "route /a" + c, 9, "service= is missing"},
		{twoServices, "route a service=m" + c, 7, "not a path"},
		{twoServices, "route /a/ service=m" + c, 7, "not a path"},
		{twoServices, "route /a/../b service=m" + c, 7, "not a path"},
		{twoServices, "route /a service=m deadline=5" + c, 29, "not a deadline"},
		{twoServices, "route /a service=m deadline=25h" + c, 29, "not a deadline"},
		{twoServices, "route /a service=m deadline=1500us" + c, 29, "not a deadline"},
		{twoServices, "route /a service=m priority=top" + c, 29, "not a priority"},
		{twoServices, "route /a service=m idempotent=true" + c, 31, "not a choice"},
		{twoServices + "route /a service=m" + c, "route /a service=p" + c, 7, "route /a already has a rule in line 3"},
		{twoServices, "bound m 1" + c, 9, "not a bound"},
		{twoServices, "bound m 1.5 2" + c, 13, `unexpected "2"`},
		{twoServices, "bound x 1.5" + c, 7, "unknown service x"},
		{twoServices + "bound m 2" + c, "bound m 3" + c, 7, "already has a rule in line 3"},
		{twoServices, "coldstart m initial=9 limit=8" + c, 11, "initial 9 is above limit 8"},
		{twoServices, "coldstart m initial=65" + c, 11, "initial 65 is above limit 64"},
		{twoServices + "coldstart m" + c, "coldstart m" + c, 11, "already has a rule in line 3"},
		{"", "drain datacenter nadi" + c, 7, "not something that can be drained"},
		{"", "drain upstream" + c, 15, "incomplete"},
		{"drain datacentre a" + c, "drain datacentre a" + c, 18, "already drained in line 1"},
		{"drain datacentre a" + c, "undrain upstream a" + c, 18, "no line above drains upstream a"},
		{"drain upstream a" + c + "undrain upstream a" + c, "undrain upstream a" + c, 18, "already undrained in line 2"},
		{twoServices, "shift m v1 v2 by 2026-12-05T18:00:00Z" + c, 38, "incomplete"},
		{twoServices, "shift m v1 to v2 by 2026-12-05T18:00:00Z" + c, 12, `unexpected "to"`},
		{twoServices, "shift m v1 -> v2 by 2026-12-05" + c, 21, "not a time"},
		{twoServices, "shift m v1 -> v1 by 2026-12-05T18:00:00Z" + c, 15, "to itself"},
		{twoServices, "shift m v1 -> v3 by 2026-12-05T18:00:00Z" + c, 15, "has no version v3"},
		{twoServices, "shift x v1 -> v2 by 2026-12-05T18:00:00Z" + c, 7, "unknown service x"},
		{twoServices, "shift m v1 -> v2 by 2026-12-05T18:00:00Z cap=5" + c, 46, "not a share"},
		{twoServices, "shift m v1 -> v2 by 2026-12-05T18:00:00Z cap=101%" + c, 46, "not a share"},
		{twoServices, "shift m v1 -> v2 by 2026-12-05T18:00:00Z guard=/a" + c, 48, "has no route /a"},
		{twoServices + "route /a service=p" + c, "shift m v1 -> v2 by 2026-12-05T18:00:00Z guard=/a" + c, 48, "has no route /a"},
		{twoServices, "shift m v1 -> v2 by 2026-12-05T18:00:00Z guard=/a,/a" + c, 51, "listed twice"},
		{twoServices + "shift m v1 -> v2 by 2026-12-05T18:00:00Z" + c, "shift m v2 -> v1 by 2026-12-05T18:00:00Z" + c, 7, "already has a rule in line 3"},
	} {
		set, faults := Parse("f", []byte(tc.text+tc.line))
		must.Nil(t, set, must.Sprint(tc.line))
		must.Len(t, 1, faults, must.Sprint(tc.line, faults))
		test.StrContains(t, faults[0].Error(), tc.fault)
		test.EqOp(t, tc.column, faults[0].Column, test.Sprint(tc.line))
		test.EqOp(t, strings.Count(tc.text, "\n")+1, faults[0].Line, test.Sprint(tc.line))
		test.NotEq(t, "", faults[0].Want)
	}
}

// Guards against a parser that stops at the first fault, or reports faults in the order in which it finds them.
func TestAllFaultsAtOnce(t *testing.T) {
	_, faults := Parse("f", []byte("route /a service=x deadline=1 x=\nteam a weight=x limit=y\nteam b"+c+"drain x\n"))
	var places [][2]int
	for _, f := range faults {
		places = append(places, [2]int{f.Line, f.Column})
	}
	must.Eq(t, [][2]int{{1, 18}, {1, 29}, {1, 31}, {1, 33}, {2, 15}, {2, 23}, {2, 24}, {4, 8}, {4, 8}}, places)
}

// Guards against values that change their meaning, their place or their default.
func TestValues(t *testing.T) {
	set := parse(t, "\n# whole-line comment\n"+twoServices+
		"route /m service=m"+c+
		"route /p service=p deadline=1m30s priority=high idempotent=yes"+c+
		"route /q service=p priority=low\t# Kārlis: why: so\r\n"+
		"bound m 1.5"+c+"coldstart p limit=9"+c+"team a limit=0.5"+c+
		"shift m v1 -> v2 by 2026-12-05T18:00:00+02:00 guard=/m cap=2.5%"+c)
	ops := Comment{"ops", "test"}
	m, _ := set.Service("m")
	must.Eq(t, Service{
		Name: "m", Kind: Model, Versions: []string{"v1", "v2"},
		Bound: Bound{1.5, Origin{8, ops}}, ColdStart: ColdStart{2, 64, Origin{}}, Origin: Origin{3, ops},
	}, m)
	p, _ := set.Service("p")
	must.Eq(t, Bound{Factor: DefaultBound}, p.Bound)
	must.Eq(t, ColdStart{2, 9, Origin{9, ops}}, p.ColdStart)
	r, _ := set.Route("/m")
	must.Eq(t, Route{"/m", "m", DefaultDeadline, Normal, true, Origin{5, ops}}, r)
	r, _ = set.Route("/p")
	must.Eq(t, Route{"/p", "p", 90 * time.Second, High, true, Origin{6, ops}}, r)
	r, _ = set.Route("/q")
	must.Eq(t, Route{"/q", "p", DefaultDeadline, Low, false, Origin{7, Comment{"Kārlis", "why: so"}}}, r)
	team, found := set.Team("a")
	must.True(t, found)
	must.Eq(t, Team{"a", 1, 0.5, Origin{10, ops}}, team)
	team, found = set.Team("b")
	must.False(t, found)
	must.Eq(t, Team{Name: "b", Weight: DefaultWeight}, team)
	s, _ := set.Shift("m")
	must.Eq(t, Shift{
		ID: "m.v1-v2.30301c443bb052f5", Service: "m", From: "v1", To: "v2",
		By: time.Date(2026, 12, 5, 16, 0, 0, 0, time.UTC), Cap: 0.025, Guards: []string{"/m"}, Origin: Origin{11, ops},
	}, s)
}

// Guards against a shift that starts again when only its line, comment, zone or order of guards changes, and against one that
// goes on under the old verdict when its values change.
func TestShiftID(t *testing.T) {
	id := func(rule string) string {
		return parse(t, twoServices+"route /a service=m"+c+"route /b service=m"+c+rule).Shifts()[0].ID
	}
	first := id("shift m v1 -> v2 by 2026-12-05T18:00:00Z guard=/a,/b" + c)
	must.EqOp(t, first, id("\nshift m v1 -> v2 by 2026-12-05T20:00:00+02:00 cap=5.0% guard=/b,/a # x: y\n"))
	for _, other := range []string{
		"shift m v2 -> v1 by 2026-12-05T18:00:00Z guard=/a,/b",
		"shift m v1 -> v2 by 2026-12-05T18:00:01Z guard=/a,/b",
		"shift m v1 -> v2 by 2026-12-05T18:00:00Z guard=/a",
		"shift m v1 -> v2 by 2026-12-05T18:00:00Z cap=6% guard=/a,/b",
	} {
		must.NotEqOp(t, first, id(other+c))
	}
}

// Guards against a drain that outlives its undrain or is lifted by another name's.
func TestDrained(t *testing.T) {
	set := parse(t, "drain datacentre a"+c+"drain upstream a"+c+"drain datacentre b"+c+"undrain datacentre a"+c+
		"undrain datacentre b"+c+"drain datacentre b"+c)
	for _, tc := range []struct {
		dataCentre, upstream string
		line                 int
	}{{"a", "x", 0}, {"a", "a", 2}, {"b", "x", 6}, {"b", "a", 6}, {"x", "b", 0}, {"", "", 0}} {
		d, drained := set.Drained(tc.dataCentre, tc.upstream)
		test.EqOp(t, tc.line, d.Line)
		test.EqOp(t, tc.line > 0, drained)
	}
	must.Len(t, 2, set.Drains())
}

// Guards against calls that go to the wrong service because a path is compared by characters instead of segments, or because the
// upstream resolves dot segments that the router has not.
func TestRoute(t *testing.T) {
	set := parse(t, twoServices+"route /a service=m"+c+"route /a/b/c service=m"+c+"route /ab service=m"+c)
	root := parse(t, twoServices+"route / service=m"+c)
	for path, want := range map[string]string{
		"/a": "/a", "/a/": "/a", "/a/b": "/a", "/a/b/c": "/a/b/c", "/a/b/cd": "/a", "/a/b/c/d": "/a/b/c", "/ab": "/ab",
		"/abc": "", "/": "", "": "", "a": "", "/A": "", "//a": "", "/a//b/c": "", "/a/../ab": "", "/a/./b": "", "/a/..": "", "/a/.": "", "/a//": "", "/a/...": "/a", "/a/.b": "/a", "/ab" + strings.Repeat("/x", 9999): "/ab",
		"/x" + strings.Repeat("/x", 9999): "",
	} {
		r, found := set.Route(path)
		test.EqOp(t, want, r.Path, test.Sprint(path))
		test.EqOp(t, want != "", found)
		_, found = root.Route(path)
		trimmed := strings.TrimSuffix(path, "/")
		test.EqOp(t, path == "/" || validPath(trimmed) || len(path) > MaxPathBytes, found, test.Sprint(path))
	}
}

// Guards against garbage on the path of every request.
func TestLookupsDoNotAllocate(t *testing.T) {
	set := parse(t, twoServices+"route /a service=m"+c+"team t"+c+"drain upstream u"+c)
	allocs := testing.AllocsPerRun(100, func() {
		set.Route("/a/b/c")
		set.Team("t")
		set.Team("unknown")
		set.Drained("d", "u")
		set.Service("m")
		set.Services()
		set.Shift("m")
		set.Shifts()
	})
	must.EqOp(t, 0, allocs)
}
