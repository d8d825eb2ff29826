// Package routing holds the routing configuration of a gateway: routes, services, teams with their keys, and limits on requests. A
// Table is the compiled form of a Config; it is immutable and safe for concurrent use.
package routing

import (
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Kind determines how often the requests of a route may run.
type Kind uint8

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests get a stream of events as their response. They run at most once unless the route is resumable.
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

// Share is the share of a route's traffic that a service gets.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route; a service with weight zero gets no traffic.
	Weight float64
}

// Route maps requests for a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the maximum time that a caller waits for a request to complete; zero means that the route sets no limit.
	Timeout time.Duration
	// TargetLatency is the target for the time to the response, or to the first event of a stream.
	TargetLatency time.Duration
	// TargetEventGap is the target for the longest pause between events of a stream; zero means no target.
	TargetEventGap time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// TrafficSplit has at least one share with a positive weight.
	TrafficSplit []Share
	// MaxAttempts is the maximum number of upstreams that one request is sent to.
	MaxAttempts int
	// Public routes accept requests without a key.
	Public bool
	// CacheAffine means that requests describe the parts of their prompts, so that they can be sent to upstreams that have these
	// parts in their cache.
	CacheAffine bool
	// Resumable means that a stream can be continued from another upstream after an event.
	Resumable bool
	// Regions are the regions in which the requests may run; empty means all.
	Regions []string
}

// SafeToRetry reports whether a request that may already have run can be sent again.
func (r *Route) SafeToRetry() bool { return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable }

// Service is a group of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from all gateways together; zero means no limit.
	MaxConnections int
	// ColdDuration is the duration of the cold start of an upstream; zero means that it has no cold start.
	ColdDuration time.Duration
	// MaxColdRate is the maximum number of requests per second that a cold upstream can handle from all gateways together.
	MaxColdRate float64
	// Slots is the number of requests that one upstream of a model service runs concurrently; zero for other services.
	Slots int
	// CacheTokens is the size of the cache for prompts and responses of one upstream of a model service, in tokens; zero for
	// other services.
	CacheTokens int
	// FetchTokensPerMS is the rate at which one upstream of a model service copies cached prompts from another, in tokens per
	// millisecond; zero if it cannot.
	FetchTokensPerMS float64
	// Scaling is set if the number of the service's upstreams is to be decided by the fleet, else nil.
	Scaling *Scaling
}

// Scaling limits the number of upstreams that may be ordered for a service.
type Scaling struct {
	// Min and Max are the limits for each data centre.
	Min, Max int
	// BootTime is the time that a new upstream needs until it serves.
	BootTime time.Duration
}

const (
	// maxScaling is the highest limit that is accepted, ten times the upstreams of the largest fleet that the design considers.
	maxScaling = 100_000
	// maxBootTime is the longest boot time that is accepted.
	maxBootTime = time.Hour
)

// validate checks the ranges. Wrong limits would have the platform start or stop upstreams that nobody wants.
func (s *Scaling) validate(service string) error {
	switch {
	case s.Min < 0 || s.Max < 1 || s.Max < s.Min || s.Max > maxScaling:
		return trace.BadParameter("service %q: scaling between %d and %d upstreams", service, s.Min, s.Max)
	case s.BootTime < 0 || s.BootTime > maxBootTime:
		return trace.BadParameter("service %q: scaling with a boot time of %v, at most %v is possible", service, s.BootTime, maxBootTime)
	}
	return nil
}

// Team is a customer, whose callers share its keys.
type Team struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route unless it is nil.
	Priority *int
	// Regions are the regions in which the team's requests may run; empty means all.
	Regions []string
}

// Limits are limits on requests and connections of callers. A zero value means the default of the process.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	// HeaderTimeout is the maximum time from the first byte of a request to the end of its headers.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which a connection without requests is closed.
	IdleTimeout time.Duration
}

// Config is one accepted version of the configuration. Version numbers only increase.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// WithoutKeys means that requests need no keys. Otherwise a request needs the key of a team unless its route is public, also if there are
	// no teams.
	WithoutKeys bool
	Teams       []Team
	Limits      Limits
}

// Validate returns an error for the first problem that makes the configuration unusable.
func (c *Config) Validate() error {
	if c.Version == 0 {
		return trace.BadParameter("the configuration has no version")
	}
	services := make(map[string]struct{}, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = struct{}{}
		if s.Scaling == nil {
			continue
		}
		if err := s.Scaling.validate(s.Name); err != nil {
			return trace.Wrap(err, "version %d", c.Version)
		}
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
	hasWeight := func(s Share) bool { return s.Weight > 0 }
	if !slices.ContainsFunc(r.TrafficSplit, hasWeight) {
		return trace.BadParameter("route %q: no service has a positive weight", r.Name)
	}
	for _, s := range r.TrafficSplit {
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
