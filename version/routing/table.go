package routing

import (
	"iter"
	"net"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// Table looks up the route and the team of a request.
type Table struct {
	config *Config
	// hosts maps a host in lower case to its routes.
	hosts    map[string]*hostRoutes
	services map[string]*Service
	// teams maps a key to its team.
	teams map[string]*Team
	// mixed holds the services whose requests have different priorities, clamped what has a priority out of range.
	mixed   map[string]bool
	clamped []string
}

// hostRoutes are the routes of one host.
type hostRoutes struct {
	byPrefix map[string]*Route
	// longest is the size of the longest prefix in bytes. Callers choose the length of a path, and the operators that of a prefix.
	longest int
}

func (h *hostRoutes) add(r *Route) {
	h.byPrefix[r.PathPrefix] = r
	h.longest = max(h.longest, len(r.PathPrefix))
}

// MaxPriority is the least urgent priority; 0 is the most urgent one.
const MaxPriority = 9

func clampPriority(p int) int { return min(max(0, p), MaxPriority) }

// NewTable validates and compiles a configuration, which must not be modified afterwards.
func NewTable(c *Config) (*Table, error) {
	if err := c.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	t := &Table{
		config:   c,
		hosts:    make(map[string]*hostRoutes),
		services: make(map[string]*Service, len(c.Services)),
		teams:    make(map[string]*Team),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = &hostRoutes{byPrefix: make(map[string]*Route)}
		}
		t.hosts[host].add(r)
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			t.teams[key] = &c.Teams[i]
		}
	}
	t.setPriorities()
	return t, nil
}

// setPriorities finds the services whose requests have different priorities, and priorities that are out of range.
func (t *Table) setPriorities() {
	t.mixed = make(map[string]bool)
	seen := make(map[string]int)
	for i := range t.config.Routes {
		r := &t.config.Routes[i]
		if clampPriority(r.Priority) != r.Priority {
			t.clamped = append(t.clamped, "route "+r.Name)
		}
		for _, share := range r.TrafficSplit {
			if share.Weight <= 0 {
				continue
			}
			for _, p := range t.prioritiesOf(r) {
				if first, found := seen[share.Service]; found && first != p {
					t.mixed[share.Service] = true
				}
				seen[share.Service] = p
			}
		}
	}
	for i := range t.config.Teams {
		if team := &t.config.Teams[i]; team.Priority != nil && clampPriority(*team.Priority) != *team.Priority {
			t.clamped = append(t.clamped, "team "+team.Name)
		}
	}
}

// prioritiesOf returns the priorities that requests of a route may have.
func (t *Table) prioritiesOf(r *Route) []int {
	if r.Public || !t.NeedsKeys() {
		return []int{t.Priority(r, nil)}
	}
	var all []int
	for i := range t.config.Teams {
		all = append(all, t.Priority(r, &t.config.Teams[i]))
	}
	return all
}

// Priority returns the priority of a request in 0..MaxPriority: that of its team, else that of its route. team is nil if the request has none.
func (t *Table) Priority(r *Route, team *Team) int {
	if team != nil && team.Priority != nil {
		return clampPriority(*team.Priority)
	}
	return clampPriority(r.Priority)
}

// HasPriorities reports whether the requests of a service have different priorities.
func (t *Table) HasPriorities(service string) bool { return t.mixed[service] }

// ClampedPriorities returns the routes and teams whose priority is out of range, as "route NAME" and "team NAME".
func (t *Table) ClampedPriorities() []string { return t.clamped }

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits returns the limits of the configuration.
func (t *Table) Limits() Limits { return t.config.Limits }

// NeedsKeys reports whether requests to routes that are not public need a key.
func (t *Table) NeedsKeys() bool { return !t.config.WithoutKeys }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services. Callers must not modify the slice.
func (t *Table) Services() []Service { return t.config.Services }

// TeamByKey returns the team that holds a key, or nil. No team holds the empty key, which is that of a request without one.
func (t *Table) TeamByKey(key string) *Team {
	if key == "" {
		return nil
	}
	return t.teams[key]
}

// Route returns the route with the longest prefix of path, or nil. path is the path as sent, without the query. The host may have a
// port.
func (t *Table) Route(host, path string) *Route {
	host = strings.ToLower(host)
	if r := t.hosts[host].longestPrefix(path); r != nil {
		return r
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		return t.hosts[name].longestPrefix(path)
	}
	return nil
}

// longestPrefix returns the route with the longest prefix of path, or nil. h may be nil.
func (h *hostRoutes) longestPrefix(path string) *Route {
	if h == nil {
		return nil
	}
	for prefix := range h.candidates(path) {
		if r := h.byPrefix[prefix]; r != nil {
			return r
		}
	}
	return nil
}

// candidates returns the prefixes of whole segments of path that may have a route, from the longest one on.
func (h *hostRoutes) candidates(path string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for end := min(len(path), h.longest); end > 0; {
			slash := strings.LastIndexByte(path[:end], '/')
			if slash < 0 || !yield(path[:slash+1]) {
				return
			}
			end = slash
		}
	}
}

// Uses reports whether the route's requests may go to a service.
func (r *Route) Uses(service string) bool {
	return slices.ContainsFunc(r.TrafficSplit, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// PickService returns the service for a request to the route, chosen by weight. point is a uniformly distributed value in [0, 1).
func (r *Route) PickService(point float64) string {
	total := 0.0
	for _, s := range r.TrafficSplit {
		total += max(0, s.Weight)
	}
	remaining := point * total
	for _, s := range r.TrafficSplit {
		if s.Weight <= 0 {
			continue
		}
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.TrafficSplit[len(r.TrafficSplit)-1].Service
}
