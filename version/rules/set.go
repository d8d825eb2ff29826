// Package rules parses the operators' rules file into an immutable Set.
//
// A file has one rule a line, and each rule ends in a comment "# name: reason" that says who asked for it and why. Parse reports
// every fault of a file at once. The grammar is described in docs/rules.md.
package rules

import "strings"

// Set is a compiled rules file. It is immutable and safe for use by any number of goroutines. Lookups by name do not
// allocate. Sets of successive versions share what did not change; see Edit.
type Set struct {
	services     []Service
	serviceIndex map[string]int32
	routes       []Route
	routeIndex   map[string]int32
	// longestRoute is the length of the longest route path. Longer request paths are cut to it, so that a lookup costs no
	// more for a hostile path.
	longestRoute int
	drains       []Drain
	dataCentres  map[string]int32
	upstreams    map[string]int32
	shifts       []Shift
	shiftIndex   map[string]int32

	text string
	// chunks are the lines of the text with their teams, firstLine the number of each chunk's first line.
	chunks    []*chunk
	firstLine []int
	index     teamIndex
}

// newSet returns an empty set without lines and with room for a number of teams, of which a file has tens of thousands.
func newSet(teams int) *Set {
	return &Set{
		serviceIndex: map[string]int32{},
		routeIndex:   map[string]int32{},
		index:        newTeamIndex(teams),
		dataCentres:  map[string]int32{},
		upstreams:    map[string]int32{},
		shiftIndex:   map[string]int32{},
	}
}

// Service returns the service of a name.
func (s *Set) Service(name string) (Service, bool) {
	i, ok := s.serviceIndex[name]
	if !ok {
		return Service{}, false
	}
	return s.services[i], true
}

// Services returns all services in the order of the file. Callers must not modify the slice.
func (s *Set) Services() []Service { return s.services }

// Route returns the route with the longest path that is path itself or a prefix of it that ends at a segment's end. A path with
// an empty segment before its end, or with a segment "." or "..", has no route: an upstream might resolve it to a path whose
// calls must not be repeated, while the route says that they may.
func (s *Set) Route(path string) (Route, bool) {
	if !clean(path) {
		return Route{}, false
	}
	for prefix := s.cut(path); prefix != ""; prefix = parent(prefix) {
		if i, ok := s.routeIndex[prefix]; ok {
			return s.routes[i], true
		}
	}
	return Route{}, false
}

// clean says whether servers take a path as it is.
func clean(path string) bool {
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

// cut returns path, or if it is longer than every route, its longest prefix of whole segments that is not.
func (s *Set) cut(path string) string {
	if len(path) <= s.longestRoute {
		return path
	}
	i := strings.LastIndexByte(path[:s.longestRoute+1], '/')
	return path[:max(i, 1)]
}

// parent returns the prefix of path without its last segment, "/" above the first segments, and "" above "/".
func parent(path string) string {
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

// Team returns the team of a name. For a team without a rule it returns the default weight, no limit, and false.
func (s *Set) Team(name string) (Team, bool) {
	t := s.index.find(name)
	if t == nil {
		return Team{Name: name, Weight: DefaultWeight}, false
	}
	return t.public(s.lineOf(t)), true
}

// Teams returns all teams with a rule in the order of the file, in a new slice.
func (s *Set) Teams() []Team {
	teams := make([]Team, 0, s.index.count)
	for i, c := range s.chunks {
		for j, t := range c.teams {
			if t != nil {
				teams = append(teams, t.public(s.firstLine[i]+j))
			}
		}
	}
	return teams
}

// Drained returns the drain in force that names the data centre or, if there is none, the upstream.
func (s *Set) Drained(dataCentre, upstream string) (Drain, bool) {
	if i, ok := s.dataCentres[dataCentre]; ok {
		return s.drains[i], true
	}
	if i, ok := s.upstreams[upstream]; ok {
		return s.drains[i], true
	}
	return Drain{}, false
}

// Drains returns the drains in force in the order of the file. Callers must not modify the slice.
func (s *Set) Drains() []Drain { return s.drains }

// Shift returns the shift of a service; a service has at most one.
func (s *Set) Shift(service string) (Shift, bool) {
	i, ok := s.shiftIndex[service]
	if !ok {
		return Shift{}, false
	}
	return s.shifts[i], true
}

// Shifts returns all shifts in the order of the file. Callers must not modify the slice.
func (s *Set) Shifts() []Shift { return s.shifts }
