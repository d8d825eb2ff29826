package rules

import "time"

// Defaults for values that a rule does not state.
const (
	// DefaultDeadline is the deadline of a route whose rule states none.
	DefaultDeadline = 30 * time.Second
	// DefaultWeight is the weight of a team whose rule states none, and of a team without a rule.
	DefaultWeight = 1
	// DefaultBound is the load bound of a service without a bound rule, as a multiple of the mean load of its upstreams.
	DefaultBound = 1.25
	// DefaultColdInitial and DefaultColdLimit, in concurrent requests, apply to model services without a coldstart rule and to
	// the options that a coldstart rule does not state.
	DefaultColdInitial = 2
	DefaultColdLimit   = 64
	// DefaultMaxCanaryShare is the largest share of traffic that a new version may get before it has been evaluated, for a shift
	// that states none.
	DefaultMaxCanaryShare = 0.05
)

// Limits of the grammar.
const (
	// MaxLineBytes is the maximum length of a line. It ensures that a line fits into one part of the stored text.
	MaxLineBytes = 4096
	// MaxNameBytes is the maximum length of the name of a service, version, team, data centre or upstream.
	MaxNameBytes = 64
	// MaxPathBytes is the maximum length of the path of a route.
	MaxPathBytes = 256
	// MaxDeadline is the maximum deadline of a route. Deadlines are sent between processes as 32-bit milliseconds.
	MaxDeadline = 24 * time.Hour
	// MaxCount is the maximum weight, rate limit and number of requests. It keeps sums of them from overflowing.
	MaxCount = 1_000_000
	// MaxBound is the maximum factor of a bound rule.
	MaxBound = 100
)

// Comment says who asked for a rule and why.
type Comment struct {
	// The JSON names appear in the process log.
	Requester string `json:"Who"`
	Reason    string `json:"Why"`
}

// Origin is the line number and the comment of a rule. Line is zero for a default that no rule states.
type Origin struct {
	Line    int
	Comment Comment
}

// Kind is the kind of a service; it determines whether calls are idempotent by default.
type Kind uint8

// Kinds of services.
const (
	// Model is a service of model engines, whose calls are safe to repeat unless a route says otherwise.
	Model Kind = iota + 1
	// Plain is a service whose calls are not safe to repeat unless a route says otherwise.
	Plain
)

// String returns the kind as written in the rules file.
func (k Kind) String() string {
	switch k {
	case Model:
		return "model"
	case Plain:
		return "plain"
	default:
		return "unknown"
	}
}

// Priority orders requests under contention; requests with a higher priority are served first.
type Priority int8

// Priorities of routes.
const (
	Low    Priority = -1
	Normal Priority = 0
	High   Priority = 1
)

// String returns the priority as written in the rules file.
func (p Priority) String() string {
	switch {
	case p < Normal:
		return "low"
	case p > Normal:
		return "high"
	default:
		return "normal"
	}
}

// Bound limits the load of each upstream of a service.
type Bound struct {
	// Factor is the maximum load as a multiple of the mean load of the service's upstreams, above 1.
	Factor float64
	Origin
}

// ColdStart limits the concurrent requests of an upstream that has just started.
type ColdStart struct {
	// Initial is the concurrency limit of an upstream when it starts; zero means no cold-start limit.
	Initial int
	// Limit is the number of concurrent requests at which the upstream is considered warm; at least Initial.
	Limit int
	Origin
}

// Service is a group of upstreams that run the same program.
type Service struct {
	Name string
	Kind Kind
	// Versions has at least one entry; the first one gets the traffic of a service without a shift. Callers must not modify it.
	Versions []string
	// Bound and ColdStart have default values and line zero if no rule states them.
	Bound     Bound
	ColdStart ColdStart
	Origin
}

// Route sends the calls to a path and to all paths below it to a service.
type Route struct {
	Path, Service string
	Deadline      time.Duration
	Priority      Priority
	// Idempotent reports whether a call may run more than once.
	Idempotent bool
	Origin
}

// Team is a customer with a weight for fair sharing and an optional rate limit.
type Team struct {
	Name string
	// Weight is the team's share under contention, relative to the other teams'.
	Weight int
	// Limit is the maximum number of requests per second; zero means no limit.
	Limit float64
	Origin
}

// Scope is the kind of thing that a drain names.
type Scope uint8

// Scopes of drains.
const (
	DataCentre Scope = iota + 1
	Upstream
)

// String returns the scope as written in the rules file.
func (s Scope) String() string {
	switch s {
	case DataCentre:
		return "datacentre"
	case Upstream:
		return "upstream"
	default:
		return "unknown"
	}
}

// Drain stops new requests from being sent to a data centre or an upstream.
type Drain struct {
	Scope Scope
	Name  string
	Origin
}

// Shift moves a service's traffic from one version to another.
type Shift struct {
	// ID is derived from the values of the rule without its comment and line number: a shift keeps its ID when lines move, and a
	// change of any value makes it a new shift. It consists of letters, digits and "._-".
	ID                string
	Service, From, To string
	// Deadline is the deadline in UTC, at which the new version has all traffic or is rolled back.
	Deadline time.Time
	// MaxCanaryShare is the largest share of traffic, above 0 and at most 1, that the new version may get before it has been evaluated.
	MaxCanaryShare float64
	// Guards are paths of the service's routes that are also evaluated separately, in ascending order. Callers must not modify it.
	Guards []string
	Origin
}
