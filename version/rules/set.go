// Package rules parses the operators' rules file into an immutable Set.
//
// A file has one rule per line, and each rule ends in a comment "# name: reason" that says who asked for it and why. Parse reports
// all faults of a file at once. The grammar is described in docs/rules.md.
package rules

import "strings"

// Set is a compiled rules file. It is immutable and safe for concurrent use. Lookups by name do not allocate. A Set made by Edit
// and Compile shares the unchanged data with the Set that was edited.
type Set struct {
	services     []Service
	serviceIndex map[string]int32
	routes       []Route
	routeIndex   map[string]int32
	// maxRouteBytes is the length of the longest route path. Longer request paths are truncated to it, which bounds the cost of a
	// lookup for maliciously long paths.
	maxRouteBytes int
	drains        []Drain
	// drainedDataCentres and drainedUpstreams map a name to its index in drains.
	drainedDataCentres map[string]int32
	drainedUpstreams   map[string]int32
	shifts             []Shift
	shiftIndex         map[string]int32

	text string
	// chunks hold the lines of the text and the teams parsed from them; firstLine holds the line number at which each chunk
	// starts.
	chunks    []*chunk
	firstLine []int
	index     teamIndex
}

// newSet returns a set without lines, with a team index sized for a number of teams. A file can have tens of thousands of teams.
func newSet(teams int) *Set {
	return &Set{
		serviceIndex:       map[string]int32{},
		routeIndex:         map[string]int32{},
		index:              newTeamIndex(teams),
		drainedDataCentres: map[string]int32{},
		drainedUpstreams:   map[string]int32{},
		shiftIndex:         map[string]int32{},
	}
}

// Service returns the service with a name, or false if there is none.
func (s *Set) Service(name string) (Service, bool) {
	i, ok := s.serviceIndex[name]
	if !ok {
		return Service{}, false
	}
	return s.services[i], true
}

// Services returns all services in the order of the file. Callers must not modify the slice.
func (s *Set) Services() []Service { return s.services }

// Route returns the longest route whose path equals path or is a prefix of it in whole segments. A path with an empty segment
// before its end, or with a segment "." or "..", has no route: an upstream might normalise it to a path whose calls are not
// idempotent, while the route that matches the raw path allows retries.
func (s *Set) Route(path string) (Route, bool) {
	if !isNormalized(path) {
		return Route{}, false
	}
	for prefix := s.truncate(path); prefix != ""; prefix = parentPath(prefix) {
		if i, ok := s.routeIndex[prefix]; ok {
			return s.routes[i], true
		}
	}
	return Route{}, false
}

// isNormalized reports whether a path starts with a slash and has no dot segments and no empty segments other than at its end.
func isNormalized(path string) bool {
	if len(path) == 0 || path[0] != '/' {
		return false
	}
	for i := 0; i+1 < len(path); i++ {
		if path[i] != '/' {
			continue
		}
		rest := path[i+1:]
		if rest[0] == '/' || rest == "." || rest == ".." || strings.HasPrefix(rest, "./") || strings.HasPrefix(rest, "../") {
			return false
		}
	}
	return true
}

// truncate returns the longest prefix of path that consists of whole segments and has at most maxRouteBytes bytes, or "/" if
// there is none.
func (s *Set) truncate(path string) string {
	if len(path) <= s.maxRouteBytes {
		return path
	}
	i := strings.LastIndexByte(path[:s.maxRouteBytes+1], '/')
	return path[:max(i, 1)]
}

// parentPath returns path without its last segment: "/" for a path with one segment, and "" for "/".
func parentPath(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i > 0 {
		return path[:i]
	}
	if len(path) > 1 {
		return "/"
	}
	return ""
}

// Routes returns all routes in the order of the file. Callers must not modify the slice.
func (s *Set) Routes() []Route { return s.routes }

// Team returns the team with a name. For a team without a rule it returns the default weight, no limit, and false.
func (s *Set) Team(name string) (Team, bool) {
	t := s.index.find(name)
	if t == nil {
		return Team{Name: name, Weight: DefaultWeight}, false
	}
	return t.toTeam(s.lineOf(t)), true
}

// Teams returns all teams with a rule in the order of the file. The slice is a copy that the caller may modify.
func (s *Set) Teams() []Team {
	teams := make([]Team, 0, s.index.count)
	for i, c := range s.chunks {
		for j, t := range c.teams {
			if t != nil {
				teams = append(teams, t.toTeam(s.firstLine[i]+j))
			}
		}
	}
	return teams
}

// Drained returns the drain in force for the data centre or, if there is none, for the upstream. It returns false if neither is
// drained.
func (s *Set) Drained(dataCentre, upstream string) (Drain, bool) {
	if i, ok := s.drainedDataCentres[dataCentre]; ok {
		return s.drains[i], true
	}
	if i, ok := s.drainedUpstreams[upstream]; ok {
		return s.drains[i], true
	}
	return Drain{}, false
}

// Drains returns the drains in force in the order of the file. Callers must not modify the slice.
func (s *Set) Drains() []Drain { return s.drains }

// Shift returns the shift of a service, or false if there is none. A service has at most one shift.
func (s *Set) Shift(service string) (Shift, bool) {
	i, ok := s.shiftIndex[service]
	if !ok {
		return Shift{}, false
	}
	return s.shifts[i], true
}

// Shifts returns all shifts in the order of the file. Callers must not modify the slice.
func (s *Set) Shifts() []Shift { return s.shifts }
