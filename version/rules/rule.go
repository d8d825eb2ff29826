package rules

import "time"

// Defaults of optional values.
const (
	// DefaultDeadline is a route's deadline when its rule states none.
	DefaultDeadline = 30 * time.Second
	// DefaultWeight is the weight of a team whose rule states none, and of a team without a rule.
	DefaultWeight = 1
	// DefaultBound is the multiple of the mean load that an upstream may carry when no bound rule names its service.
	DefaultBound = 1.25
	// DefaultColdInitial and DefaultColdLimit apply to model services without a coldstart rule, in concurrent requests.
	DefaultColdInitial = 2
	DefaultColdLimit   = 64
	// DefaultCap is the share that an unjudged version may have when the shift states none.
	DefaultCap = 0.05
)

// Limits of the grammar.
const (
	// MaxLineBytes bounds a line, so that a line always fits into one part of the stored text.
	MaxLineBytes = 4096
	// MaxNameBytes bounds the name of a service, version, team, data centre or upstream.
	MaxNameBytes = 64
	// MaxPathBytes bounds the path of a route.
	MaxPathBytes = 256
	// MaxDeadline bounds a route's deadline; it travels between processes as 32-bit milliseconds.
	MaxDeadline = 24 * time.Hour
	// MaxCount bounds weights, limits and numbers of requests, so that sums of them cannot overflow.
	MaxCount = 1_000_000
	// MaxBound bounds the factor of a bound rule.
	MaxBound = 100
)

// Comment says who asked for a rule and why.
type Comment struct {
	Who, Why string
}

// Origin is the place of a rule in the file and its comment. Line is zero for a default that no rule states.
type Origin struct {
	Line    int
	Comment Comment
}

// Kind is the kind of a service.
type Kind uint8

// Kinds of services.
const (
	// Model is a service of model engines, whose calls are safe to repeat unless a route says otherwise.
	Model Kind = iota + 1
	// Plain is a service whose calls are not safe to repeat unless a route says otherwise.
	Plain
)

// String returns the kind as the rules file has it.
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

// Priority orders requests under contention; a higher one goes first.
type Priority int8

// Priorities of routes.
const (
	Low    Priority = -1
	Normal Priority = 0
	High   Priority = 1
)

// String returns the priority as the rules file has it.
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

// Bound limits the load of one upstream.
type Bound struct {
	// Factor is the multiple of the mean load that one upstream may carry, above 1.
	Factor float64
	Origin
}

// ColdStart limits the work of a cold upstream.
type ColdStart struct {
	// Initial is the number of concurrent requests that a cold upstream gets at first; zero means no cold-start limit.
	Initial int
	// Limit is the number of concurrent requests at which the upstream counts as warm; at least Initial.
	Limit int
	Origin
}

// Service is a group of upstreams that run the same program.
type Service struct {
	Name string
	Kind Kind
	// Versions has at least one entry; the first carries the traffic while no shift names the service. Callers must not
	// modify it.
	Versions []string
	// Bound and ColdStart have the defaults, with line zero, if no rule states them.
	Bound     Bound
	ColdStart ColdStart
	Origin
}

// Route sends the calls below a path to a service.
type Route struct {
	Path, Service string
	Deadline      time.Duration
	Priority      Priority
	// Idempotent says that a call may run more than once.
	Idempotent bool
	Origin
}

// Team is a customer with a share of every service.
type Team struct {
	Name string
	// Weight is the team's share under contention, relative to the other teams'.
	Weight int
	// Limit is the most requests a second; zero means no limit.
	Limit float64
	Origin
}

// Scope says what a drain names.
type Scope uint8

// Scopes of drains.
const (
	DataCentre Scope = iota + 1
	Upstream
)

// String returns the scope as the rules file has it.
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

// Drain keeps new work from a data centre or an upstream.
type Drain struct {
	Scope Scope
	Name  string
	Origin
}

// Shift moves a service's traffic from one version to another.
type Shift struct {
	// ID is derived from the content of the rule without its comment: the same shift keeps its ID when lines move, and any
	// change of its values starts a new one. It consists of letters, digits and "._-".
	ID                string
	Service, From, To string
	// By is the time at which the new version has all traffic or is taken back, in UTC.
	By time.Time
	// Cap is the share of traffic, above 0 and at most 1, that the new version may have before it has been judged.
	Cap float64
	// Guards are paths of the service's routes that are judged on their own, in ascending order. Callers must not modify it.
	Guards []string
	Origin
}
