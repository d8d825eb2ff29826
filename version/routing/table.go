package routing

import (
	"net"
	"strings"

	"github.com/gravitational/trace"
)

// Table answers which route and team a request belongs to.
type Table struct {
	config *Config
	// routes is keyed by lower-case host and path prefix. Hosts and prefixes cannot be confused: a prefix begins with a slash.
	routes   map[string]*Route
	services map[string]*Service
	teams    map[string]*Team
}

// NewTable compiles a configuration, which must not be changed afterwards.
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

// Version is that of the configuration.
func (t *Table) Version() uint64 { return t.config.Version }

// Limits are those of the configuration.
func (t *Table) Limits() Limits { return t.config.Limits }

// NeedsKeys says whether requests to routes that are not public carry a key.
func (t *Table) NeedsKeys() bool { return t.config.Teams != nil }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services. The result must not be changed.
func (t *Table) Services() []Service { return t.config.Services }

// Team returns the team that holds a key, or nil.
func (t *Table) Team(key string) *Team { return t.teams[key] }

// Route returns the route with the longest prefix of path, or nil. path is as sent, without the query. The host may carry a port.
func (t *Table) Route(host, path string) *Route {
	host = strings.ToLower(host)
	if r := t.longest(host, path); r != nil {
		return r
	}
	if name, _, err := net.SplitHostPort(host); err == nil {
		return t.longest(name, path)
	}
	return nil
}

func (t *Table) longest(host, path string) *Route {
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

// Pick returns the service for a request of the route. point is uniform in [0, 1).
func (r *Route) Pick(point float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += max(0, s.Weight)
	}
	left := point * total
	for _, s := range r.Split {
		if s.Weight <= 0 {
			continue
		}
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
