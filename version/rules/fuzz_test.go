package rules

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against panics, faults without a place, and a Set whose origins do not name the lines that its values come from.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"../../examples/vunilagi.rules", "../../examples/riga.rules"} {
		text, err := os.ReadFile(name)
		must.NoError(f, err)
		f.Add(text)
	}
	for _, seed := range []string{
		"", "\n", "#\n \t\r\n", "team a", "team a # b: c", "team a weight=2 limit=.5 # b: c: d", "team a weight= # b: c",
		twoServices + "route / service=m" + c + "shift m v1 -> v2 by 2026-12-05T18:00:00Z cap=.5% guard=/" + c,
		twoServices + "route /a/b service=p deadline=1h0.5s idempotent=yes" + c + "bound p 1.01" + c + "coldstart p initial=3" + c,
		"drain upstream a" + c + "undrain upstream a" + c + "drain upstream a" + c + "drain datacentre a" + c,
		"shift m v1 -> v2 by 2026-02-30T18:00:00Z guard=,,/," + c, "service s kind= versions=,v,v" + c,
		"\ufeffteam a" + c, "team \xff" + c, "team a # b\u202e: c", "route /a//b/ service==x" + c, "bound m NaN 0x1p4" + c,
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
		kept := linesOf(set, lines)
		again, faults := Parse("f", []byte(strings.Join(kept, "\n")))
		must.NoError(t, faults.Err(), must.Sprint("the lines that the values come from are a file of their own"))
		must.Eq(t, withoutLines(set), withoutLines(again))
	})
}

func checkFaults(t *testing.T, faults Faults, lines []string) {
	sorted := slices.Clone(faults)
	sorted.sort()
	must.Eq(t, sorted, faults)
	for _, fault := range faults {
		must.Between(t, 1, fault.Line, len(lines))
		must.Between(t, 1, fault.Column, len(lines[fault.Line-1])+1)
		must.NotEqOp(t, "", fault.Text)
		must.NotEqOp(t, "", fault.Want)
		must.False(t, strings.ContainsAny(fault.Error(), "\n\r\x00\x1b"), must.Sprint("safe to print"))
	}
}

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

// origins returns the places of all values of a set, of which teams are the teams.
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

// linesOf returns the lines that the values of a set come from, in the order of the file.
func linesOf(s *Set, lines []string) []string {
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

// withoutLines sets all line numbers of a set to zero and returns its values.
func withoutLines(s *Set) []any {
	teams := s.Teams()
	for _, o := range origins(s, teams) {
		o.Line = 0
	}
	return []any{s.services, s.routes, teams, s.drains, s.shifts}
}
