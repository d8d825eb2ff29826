package rules

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Parse must not panic, must give each fault a valid position, and must set the right line in each Origin. To check the lines,
// the lines named by the origins are parsed as a separate file, which must give the same values.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"../../examples/vunilagi.rules", "../../examples/riga.rules"} {
		text, err := os.ReadFile(name)
		must.NoError(f, err)
		f.Add(text)
	}
	for _, seed := range []string{
		"", "\n", "#\n \t\r\n", "team a", "team a # b: c", "team a weight=2 limit=.5 # b: c: d", "team a weight= # b: c",
		twoServices + "route / service=m" + comment + "shift m v1 -> v2 by 2026-12-05T18:00:00Z cap=.5% guard=/" + comment,
		twoServices + "route /a/b service=p deadline=1h0.5s idempotent=yes" + comment + "bound p 1.01" + comment + "coldstart p initial=3" + comment,
		"drain upstream a" + comment + "undrain upstream a" + comment + "drain upstream a" + comment + "drain datacentre a" + comment,
		"shift m v1 -> v2 by 2026-02-30T18:00:00Z guard=,,/," + comment, "service s kind= versions=,v,v" + comment,
		"\ufeffteam a" + comment, "team \xff" + comment, "team a # b\u202e: c", "route /a//b/ service==x" + comment, "bound m NaN 0x1p4" + comment,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		set, faults := Parse("f", text)
		lines := strings.Split(string(text), "\n")
		if len(faults) > 0 {
			must.Nil(t, set)
			checkFaults(t, faults, lines)
			return
		}
		checkRoutes(t, set)
		kept := originLines(set, lines)
		again, faults := Parse("f", []byte(strings.Join(kept, "\n")))
		must.NoError(t, faults.Err(), must.Sprint("parsing only the lines named by the origins"))
		must.Eq(t, withoutLines(set), withoutLines(again))
	})
}

// checkFaults checks that faults are sorted, have positions within the text, and are safe to print.
func checkFaults(t *testing.T, faults Faults, lines []string) {
	sorted := slices.Clone(faults)
	sorted.sort()
	must.Eq(t, sorted, faults)
	for _, fault := range faults {
		must.Between(t, 1, fault.Line, len(lines))
		must.Between(t, 1, fault.Column, len(lines[fault.Line-1])+1)
		must.NotEqOp(t, "", fault.Text)
		must.NotEqOp(t, "", fault.Want)
		must.False(t, strings.ContainsAny(fault.Error(), "\n\r\x00\x1b"), must.Sprint("control characters in a fault"))
	}
}

// checkRoutes checks that each route is found by its path and below it, and that its service exists.
func checkRoutes(t *testing.T, set *Set) {
	for _, route := range set.Routes() {
		got, _ := set.Route(route.Path)
		must.Eq(t, route, got)
		below, found := set.Route(strings.TrimSuffix(route.Path, "/") + "/%")
		must.True(t, found && strings.HasPrefix(route.Path, below.Path))
		_, found = set.Service(route.Service)
		must.True(t, found)
	}
}

// origins returns the origins of all values of a set and of the given teams, which are copies.
func origins(s *Set, teams []Team) []*Origin {
	var list []*Origin
	for i := range s.services {
		list = append(list, &s.services[i].Origin, &s.services[i].Bound.Origin, &s.services[i].ColdStart.Origin)
	}
	for i := range s.routes {
		list = append(list, &s.routes[i].Origin)
	}
	for i := range teams {
		list = append(list, &teams[i].Origin)
	}
	for i := range s.drains {
		list = append(list, &s.drains[i].Origin)
	}
	for i := range s.shifts {
		list = append(list, &s.shifts[i].Origin)
	}
	return list
}

// originLines returns the lines named by the origins of a set, in the order of the file.
func originLines(s *Set, lines []string) []string {
	var numbers []int
	for _, o := range origins(s, s.Teams()) {
		if o.Line > 0 {
			numbers = append(numbers, o.Line)
		}
	}
	slices.Sort(numbers)
	var kept []string
	for _, n := range numbers {
		kept = append(kept, lines[n-1])
	}
	return kept
}

// withoutLines sets all line numbers in a set to zero and returns its values.
func withoutLines(s *Set) []any {
	teams := s.Teams()
	for _, o := range origins(s, teams) {
		o.Line = 0
	}
	return []any{s.services, s.routes, teams, s.drains, s.shifts}
}
