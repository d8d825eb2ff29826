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

// comment ends the rules in tests that do not check comments.
const comment = "  # ops: test\n"

const twoServices = "service m kind=model versions=v1,v2" + comment + "service p kind=plain versions=v1" + comment

func mustParse(t *testing.T, text string) *Set {
	t.Helper()
	set, faults := Parse("f", []byte(text))
	must.NoError(t, faults.Err())
	return set
}

// The example files must be valid, because operators copy them.
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

// The parser must accept the examples in docs/rules.md and print the messages that the page shows.
func TestDocumentedExamples(t *testing.T) {
	page, err := os.ReadFile("../../docs/rules.md")
	must.NoError(t, err)
	blocks := regexp.MustCompile("(?s)```rules\n(.*?)```").FindAllStringSubmatch(string(page), -1)
	must.Len(t, 14, blocks, must.Sprint("two examples for each of seven rules"))
	var files [2]strings.Builder
	for i, b := range blocks {
		files[i%2].WriteString(b[1])
	}
	for i := range files {
		mustParse(t, files[i].String())
	}
	_, faults := Parse("press.rules", []byte(twoServices+"\nroute /a service=m deadline=5"+comment+
		"\n\nteam drivers"+comment+"\nteam drivers"+comment))
	for _, f := range faults {
		must.StrContains(t, string(page), f.Error()+"\n")
	}
}

// Each fault must be detected, have the right position and say what is expected.
func TestFaults(t *testing.T) {
	long := strings.Repeat("x", MaxNameBytes+1)
	for _, tc := range []struct {
		text, line string // line has the fault; text precedes it.
		column     int
		fault      string
	}{
		{"", "team a", 7, "the rule has no comment"},
		{"", "team a # ops", 8, "does not name who asked and why"},
		{"", "team a # : why", 8, "does not name who asked and why"},
		{"", "team a # ops:  ", 8, "does not name who asked and why"},
		{"", "\ufeffteam a" + comment, 1, "byte order mark"},
		{"", "team ā\x00" + comment, 7, "character U+0000"},
		{"", "team a # ops: \u202etxt", 15, "character U+202E"},
		{"", "team a # ops: \xff", 15, "byte 0xff"},
		{"", "team a # ops: " + strings.Repeat("y", MaxLineBytes), 1, "the line has"},
		{"", "teams a" + comment, 1, `unknown rule "teams"`},
		{"", "team" + comment, 5, "incomplete"},
		{"", "team ā" + comment, 6, "cannot name a team"},
		{"", "team " + long + comment, 6, "cannot name a team"},
		{"", "team -a" + comment, 6, "cannot name a team"},
		{"", "team a weight=0" + comment, 15, "not a count"},
		{"", "team a weight=+1" + comment, 15, "not a count"},
		{"", "team a weight=1000001" + comment, 15, "not a count"},
		{"", "team a limit=0" + comment, 14, "not a limit"},
		{"", "team a limit=1e3" + comment, 14, "not a limit"},
		{"", "team a limit=NaN" + comment, 14, "not a limit"},
		{"", "team a weight=1 weight=2" + comment, 17, "weight is given twice"},
		{"", "team a weight=" + comment, 8, "weight has no value"},
		{"", "team a wait=1" + comment, 8, `unexpected "wait=1"`},
		{"", "team a 7" + comment, 8, `unexpected "7"`},
		{"team a" + comment, "team a weight=2" + comment, 6, "already has a rule in line 1"},
		{"", "service s kind=other versions=v1" + comment, 16, "not a kind"},
		{"", "service s kind=model" + comment, 21, "versions= is missing"},
		{twoServices, "bound m 0.5" + comment, 9, "not a bound"},
		{"", "service s versions=v1" + comment, 22, "kind= is missing"},
		{"", "service s kind=model versions=v1,v1" + comment, 34, "version v1 is listed twice"},
		{"", "service s kind=model versions=v1," + comment, 34, "cannot name a version"},
		{twoServices, "service m kind=model versions=v1" + comment, 9, "service m already has a rule in line 1"},
		{"", "route /a service=s" + comment, 18, "unknown service s"},
		{twoServices, "route /a" + comment, 9, "service= is missing"},
		{twoServices, "route a service=m" + comment, 7, "not a path"},
		{twoServices, "route /a/ service=m" + comment, 7, "not a path"},
		{twoServices, "route /a/../b service=m" + comment, 7, "not a path"},
		{twoServices, "route /a service=m deadline=5" + comment, 29, "not a deadline"},
		{twoServices, "route /a service=m deadline=25h" + comment, 29, "not a deadline"},
		{twoServices, "route /a service=m deadline=1500us" + comment, 29, "not a deadline"},
		{twoServices, "route /a service=m priority=top" + comment, 29, "not a priority"},
		{twoServices, "route /a service=m idempotent=true" + comment, 31, "not a value of idempotent"},
		{twoServices + "route /a service=m" + comment, "route /a service=p" + comment, 7, "route /a already has a rule in line 3"},
		{twoServices, "bound m 1" + comment, 9, "not a bound"},
		{twoServices, "bound m 1.5 2" + comment, 13, `unexpected "2"`},
		{twoServices, "bound x 1.5" + comment, 7, "unknown service x"},
		{twoServices + "bound m 2" + comment, "bound m 3" + comment, 7, "already has a rule in line 3"},
		{twoServices, "coldstart m initial=9 limit=8" + comment, 11, "initial 9 is above limit 8"},
		{twoServices, "coldstart m initial=65" + comment, 11, "initial 65 is above limit 64"},
		{twoServices + "coldstart m" + comment, "coldstart m" + comment, 11, "already has a rule in line 3"},
		{"", "drain datacenter nadi" + comment, 7, "not something that can be drained"},
		{"", "drain upstream" + comment, 15, "incomplete"},
		{"drain datacentre a" + comment, "drain datacentre a" + comment, 18, "already drained in line 1"},
		{"drain datacentre a" + comment, "undrain upstream a" + comment, 18, "no line above drains upstream a"},
		{"drain upstream a" + comment + "undrain upstream a" + comment, "undrain upstream a" + comment, 18, "already undrained in line 2"},
		{twoServices, "shift m v1 v2 by 2026-12-05T18:00:00Z" + comment, 38, "incomplete"},
		{twoServices, "shift m v1 to v2 by 2026-12-05T18:00:00Z" + comment, 12, `unexpected "to"`},
		{twoServices, "shift m v1 -> v2 by 2026-12-05" + comment, 21, "not a time"},
		{twoServices, "shift m v1 -> v1 by 2026-12-05T18:00:00Z" + comment, 15, "to itself"},
		{twoServices, "shift m v1 -> v3 by 2026-12-05T18:00:00Z" + comment, 15, "has no version v3"},
		{twoServices, "shift x v1 -> v2 by 2026-12-05T18:00:00Z" + comment, 7, "unknown service x"},
		{twoServices, "shift m v1 -> v2 by 2026-12-05T18:00:00Z cap=5" + comment, 46, "not a share"},
		{twoServices, "shift m v1 -> v2 by 2026-12-05T18:00:00Z cap=101%" + comment, 46, "not a share"},
		{twoServices, "shift m v1 -> v2 by 2026-12-05T18:00:00Z guard=/a" + comment, 48, "has no route /a"},
		{twoServices + "route /a service=p" + comment, "shift m v1 -> v2 by 2026-12-05T18:00:00Z guard=/a" + comment, 48, "has no route /a"},
		{twoServices, "shift m v1 -> v2 by 2026-12-05T18:00:00Z guard=/a,/a" + comment, 51, "listed twice"},
		{twoServices + "shift m v1 -> v2 by 2026-12-05T18:00:00Z" + comment, "shift m v2 -> v1 by 2026-12-05T18:00:00Z" + comment, 7, "already has a rule in line 3"},
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

// Parse must report all faults of a file, sorted by position.
func TestAllFaultsAtOnce(t *testing.T) {
	_, faults := Parse("f", []byte("route /a service=x deadline=1 x=\nteam a weight=x limit=y\nteam b"+comment+"drain x\n"))
	var places [][2]int
	for _, f := range faults {
		places = append(places, [2]int{f.Line, f.Column})
	}
	must.Eq(t, [][2]int{{1, 18}, {1, 29}, {1, 31}, {1, 33}, {2, 15}, {2, 23}, {2, 24}, {4, 8}, {4, 8}}, places)
}

// Parsed rules must have the right values, defaults and line numbers.
func TestParsedValues(t *testing.T) {
	set := mustParse(t, "\n# whole-line comment\n"+twoServices+
		"route /m service=m"+comment+
		"route /p service=p deadline=1m30s priority=high idempotent=yes"+comment+
		"route /q service=p priority=low\t# Kārlis: why: so\r\n"+
		"bound m 1.5"+comment+"coldstart p limit=9"+comment+"team a limit=0.5"+comment+
		"shift m v1 -> v2 by 2026-12-05T18:00:00+02:00 guard=/m cap=2.5%"+comment)
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
		Deadline: time.Date(2026, 12, 5, 16, 0, 0, 0, time.UTC), MaxCanaryShare: 0.025, Guards: []string{"/m"}, Origin: Origin{11, ops},
	}, s)
}

// A shift must keep its ID, so that it does not restart, when only its line, comment, time zone or order of guards changes. It
// must get a new ID when its values change, because the result of its evaluation is kept under the ID.
func TestShiftID(t *testing.T) {
	id := func(rule string) string {
		return mustParse(t, twoServices+"route /a service=m"+comment+"route /b service=m"+comment+rule).Shifts()[0].ID
	}
	first := id("shift m v1 -> v2 by 2026-12-05T18:00:00Z guard=/a,/b" + comment)
	must.EqOp(t, first, id("\nshift m v1 -> v2 by 2026-12-05T20:00:00+02:00 cap=5.0% guard=/b,/a # x: y\n"))
	for _, other := range []string{
		"shift m v2 -> v1 by 2026-12-05T18:00:00Z guard=/a,/b",
		"shift m v1 -> v2 by 2026-12-05T18:00:01Z guard=/a,/b",
		"shift m v1 -> v2 by 2026-12-05T18:00:00Z guard=/a",
		"shift m v1 -> v2 by 2026-12-05T18:00:00Z cap=6% guard=/a,/b",
	} {
		must.NotEqOp(t, first, id(other+comment))
	}
}

// An undrain must end the drain of the same name and scope, and no other.
func TestDrained(t *testing.T) {
	set := mustParse(t, "drain datacentre a"+comment+"drain upstream a"+comment+"drain datacentre b"+comment+"undrain datacentre a"+comment+
		"undrain datacentre b"+comment+"drain datacentre b"+comment)
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

// Paths must be compared by segments, and paths with dot segments must have no route. Otherwise calls go to the wrong service,
// because paths match by characters or because the upstream resolves dot segments that the lookup does not.
func TestRoute(t *testing.T) {
	set := mustParse(t, twoServices+"route /a service=m"+comment+"route /a/b/c service=m"+comment+"route /ab service=m"+comment)
	root := mustParse(t, twoServices+"route / service=m"+comment)
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

// Lookups must not allocate, because they run for each request.
func TestLookupsDoNotAllocate(t *testing.T) {
	set := mustParse(t, twoServices+"route /a service=m"+comment+"team t"+comment+"drain upstream u"+comment)
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
