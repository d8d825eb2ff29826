package routing

import (
	"net"
	"strings"

	"github.com/gravitational/trace"
)

// Table looks up the route and the team of a request.
type Table struct {
	config *Config
	// routes is keyed by the lower-case host followed by the path prefix. The key is unambiguous because a prefix begins with a slash.
	routes   map[string]*Route
	services map[string]*Service
	// teams maps a key to its team.
	teams map[string]*Team
}

// NewTable validates and compiles a configuration, which must not be modified afterwards.
func NewTable(c *Config) (*Table, error) {
	if err := c.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	t := &Table{
		config:   c,
		routes:   make(map[string]*Route, len(c.Routes)),
		services: make(map[string]*Service, len(c.Services)),
		teams:    make(map[string]*Team),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routes[strings.ToLower(r.Host)+r.PathPrefix] = r
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			t.teams[key] = &c.Teams[i]
		}
	}
	return t, nil
}

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
	if r := t.longestPrefix(host, path); r != nil {
		return r
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		return t.longestPrefix(name, path)
	}
	return nil
}

// longestPrefix returns the route of a host with the longest prefix of path, or nil.
func (t *Table) longestPrefix(host, path string) *Route {
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := t.routes[host+path[:slash+1]]; r != nil {
			return r
		}
		end = slash
	}
	return nil
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
