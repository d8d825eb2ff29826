// Package routing holds one accepted version of what an entry may do with a request: routes, services, teams with their keys, and
// the limits on what callers may send. A Table is the compiled form of a Config; it is immutable and safe for concurrent use.
package routing

import (
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Kind says how often the requests of a route may run.
type Kind uint8

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of events. They run at most once unless the route is resumable.
	Streaming
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non-idempotent"
	}
}

// Share is one service's part of a route's traffic.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route; zero gets no traffic.
	Weight float64
}

// Route says where requests to a host and path prefix go.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a caller is kept waiting; zero means no limit of the route's own.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream, that callers should see.
	Objective time.Duration
	// MaxGap is the longest pause between events of a stream that callers should see; zero means none is stated.
	MaxGap time.Duration
	// Priority ranks the route's requests, 0 first.
	Priority int
	// Split has at least one share with a weight.
	Split []Share
	// MaxAttempts bounds the upstreams that may run one request.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// CacheAffine routes carry the parts of their prompts, so that they can go where those are cached.
	CacheAffine bool
	// Resumable streams can be continued at another upstream after an event.
	Resumable bool
	// Regions are those that may run the requests; empty means all.
	Regions []string
}

// Repeatable says whether a request that may have run can be started again.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable }

// Service is a group of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one upstream accepts from all entries together; zero means no limit.
	MaxConnections int
	// ColdFor is how long an upstream is cold after its start; zero means that it never is.
	ColdFor time.Duration
	// ColdRate is the number of requests a second that a cold upstream bears from all entries together.
	ColdRate float64
	// Slots is the number of requests that one upstream runs at once if the service is a model; zero otherwise.
	Slots int
	// CacheTokens is the memory for prompts and answers of one model upstream, in tokens; zero if it is not a model.
	CacheTokens int
	// FetchTokensPerMS is the speed at which one model upstream copies cached prompts from another, in tokens per millisecond; zero if it
	// cannot.
	FetchTokensPerMS float64
}

// Team is a group of callers with common keys.
type Team struct {
	Name string
	Keys []string
	// Priority replaces that of the route unless it is nil.
	Priority *int
	// Regions are those that may run the team's requests; empty means all.
	Regions []string
}

// Limits bound what a caller may send. Zero means the default of the process.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout bounds the time from a request's first byte to the end of its headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without requests is kept.
	IdleTimeout time.Duration
}

// Config is one accepted version. Versions only grow.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// Teams is nil if no keys are needed.
	Teams  []Team
	Limits Limits
}

// Validate names the first thing that makes a configuration unusable.
func (c *Config) Validate() error {
	if c.Version == 0 {
		return trace.BadParameter("version is missing")
	}
	services := make(map[string]struct{}, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = struct{}{}
	}
	for i := range c.Routes {
		if err := c.Routes[i].validate(services); err != nil {
			return trace.Wrap(err, "version %d", c.Version)
		}
	}
	return nil
}

func (r *Route) validate(services map[string]struct{}) error {
	if len(r.PathPrefix) == 0 || r.PathPrefix[0] != '/' || r.PathPrefix[len(r.PathPrefix)-1] != '/' {
		return trace.BadParameter("route %q: path prefix %q does not begin and end with a slash", r.Name, r.PathPrefix)
	}
	weighted := func(s Share) bool { return s.Weight > 0 }
	if !slices.ContainsFunc(r.Split, weighted) {
		return trace.BadParameter("route %q: no service with a weight", r.Name)
	}
	for _, s := range r.Split {
		if _, known := services[s.Service]; !known {
			return trace.BadParameter("route %q: unknown service %q", r.Name, s.Service)
		}
	}
	return nil
}

// String returns a short description for logs.
func (c *Config) String() string {
	return fmt.Sprintf("version %d, %d routes, %d services, %d teams", c.Version, len(c.Routes), len(c.Services), len(c.Teams))
}
