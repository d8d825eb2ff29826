// Package admission implements admission control for one upstream.
//
// Each sidecar has one Controller. Since a sidecar sees all work of its upstream, the limits hold even if the entries' view of
// the load is outdated. A request is refused before it is forwarded to the engine, so a refused request is known not to have run.
// The controller does no I/O and does not read the clock: callers pass the current time. It is not safe for concurrent use.
//
// Limits are checked in this order: leaving, configuration, drain, cold start, capacity, load bound, team share, team rate.
// An upstream without work in progress admits one request regardless of its size; only the first four limits and the team rate
// can refuse it. Load is the estimated work of the requests in progress, from Admit to Done.
package admission

import (
	"math"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
)

// Limits are the limits that the configured rules set for an upstream.
type Limits struct {
	// Bound is the maximum load of an upstream, as a multiple of the mean. Zero means Config.DefaultBound.
	Bound float64
	// ColdInitial is the initial number of concurrent requests of a cold engine; zero means no cold-start limit. ColdLimit is
	// the number at which the engine is considered warm; a value up to ColdInitial ends the cold start immediately.
	ColdInitial, ColdLimit int
	// TeamWeight returns a team's weight under contention. A nil function, and values that are not positive and finite, mean 1.
	TeamWeight func(team string) float64
	// TeamLimit returns a team's rate limit at this upstream in requests per second. A nil function, and values that are not
	// positive and finite, mean no limit.
	TeamLimit func(team string) float64
	// Drained is set if a rule drains the upstream or its data centre.
	Drained bool
}

// Request holds the properties of a request that admission depends on.
type Request struct {
	Team string
	// WorkUnits is the estimated work in tokens; zero is treated as 1.
	WorkUnits uint32
	// Priority above zero permits use of the reserved capacity.
	Priority int8
}

// Refusal is the reason why a request was not admitted. The zero Refusal means that it was admitted.
type Refusal struct {
	Code result.Code
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
}

// Refused reports whether the request was refused.
func (r Refusal) Refused() bool { return r.Code != result.OK }

// Completion is the outcome of a request.
type Completion struct {
	// WorkUnits is the work that was done, in tokens.
	WorkUnits uint32
	// OK is set if the upstream responded without an error of its own.
	OK bool
	// Canceled is set if the request ended because the caller disconnected or the deadline passed, neither of which indicates
	// the engine's condition.
	Canceled bool
}

// Controller holds the limits and the admitted work of one upstream.
type Controller struct {
	cfg        Config
	limits     Limits
	configured bool
	leaving    bool

	work     uint64
	tickets  tickets
	inFlight int

	mean   meanLoad
	rampUp rampUp
	engine engineCapacity
	cold   coldStart
	teams  *teams
	counts counts
}

// New returns a controller that refuses all work until SetLimits is called. cfg must be valid.
func New(cfg Config) *Controller {
	c := &Controller{cfg: cfg}
	c.cold.cold = true
	c.teams = newTeams(&c.cfg, &c.limits)
	return c
}

// SetLimits applies the limits of the accepted configuration.
func (c *Controller) SetLimits(now time.Time, limits Limits) {
	if !(limits.Bound > 0) {
		limits.Bound = c.cfg.DefaultBound
	}
	c.limits = limits
	c.configured = true
	c.teams.reconfigure(now)
	c.cold.warmUp(&c.limits)
}

// SetMean updates the estimated mean load of the service's upstreams, in work units. Zero means no estimate and is ignored.
func (c *Controller) SetMean(now time.Time, workUnits uint32) {
	if workUnits == 0 {
		return
	}
	c.mean = meanLoad{units: workUnits, at: now, known: true}
	c.rampUp.observe(now, workUnits, &c.cfg)
}

// SetLeaving makes the controller refuse all further requests, permanently.
func (c *Controller) SetLeaving() { c.leaving = true }

// Report applies a load report of the engine.
func (c *Controller) Report(now time.Time, load services.EngineLoad) {
	c.engine.report(now, load, c.work)
	c.cold.report(load, &c.cfg)
	if c.configured {
		c.cold.warmUp(&c.limits)
	}
}

// Admit admits or refuses a request. If the Refusal is zero, the request is admitted and Done must be called with the ticket.
func (c *Controller) Admit(now time.Time, r Request) (Ticket, Refusal) {
	r.WorkUnits = max(r.WorkUnits, 1)
	refusal, team := c.check(now, r)
	if refusal.Refused() {
		c.counts.refused[refusal.Code]++
		return Ticket{}, refusal
	}
	return c.accept(now, r, team), Refusal{}
}

// check returns the reason to refuse a request, or else the record of its team.
func (c *Controller) check(now time.Time, r Request) (Refusal, *team) {
	if code := c.unavailable(); code != result.OK {
		return Refusal{Code: code, RetryAfter: c.cfg.UnavailableRetryAfter}, nil
	}
	team := c.teams.activeTeam(now, r.Team)
	if code := c.exceededLimit(now, r, team); code != result.OK {
		return Refusal{Code: code, RetryAfter: c.cfg.RetryAfter}, nil
	}
	// The rate limit is checked last, since a token that was taken cannot be returned.
	if wait, ok := team.takeToken(now); !ok {
		return Refusal{Code: result.TeamLimit, RetryAfter: wait}, nil
	}
	return Refusal{}, team
}

// unavailable returns why the upstream admits no work at all, or OK.
func (c *Controller) unavailable() result.Code {
	switch {
	case c.leaving:
		return result.Leaving
	case !c.configured:
		return result.NoConfiguration
	case c.limits.Drained:
		return result.Draining
	default:
		return result.OK
	}
}

// exceededLimit returns the code of the load limit that the request would exceed, or OK.
func (c *Controller) exceededLimit(now time.Time, r Request, team *team) result.Code {
	if c.cold.limited(&c.limits) && !c.coldStartAllows(team) {
		return result.ColdStart
	}
	if c.inFlight == 0 {
		return result.OK
	}
	capacity := c.engine.capacity(c.mean.known, &c.cfg)
	after := float64(c.work) + float64(r.WorkUnits)
	if after+c.engine.unestimatedWork(now, &c.cfg) > c.usableCapacity(capacity, r.Priority) {
		return result.Full
	}
	limit, floor := c.mean.bound(now, c.limits.Bound, &c.cfg)
	limit, floor = c.rampUp.limits(now, limit, floor, c.engine.capacity(true, &c.cfg), c.mean.fresh(now, &c.cfg), &c.cfg)
	if after > limit && float64(c.work) > floor {
		return result.OverBound
	}
	if after > c.cfg.ContentionShare*capacity && !c.withinShare(r, team, capacity, c.usableCapacity(capacity, r.Priority)-after) {
		return result.TeamLimit
	}
	return result.OK
}

// usableCapacity returns the part of the capacity that a request of the given priority may use.
func (c *Controller) usableCapacity(capacity float64, priority int8) float64 {
	if priority > 0 {
		return capacity
	}
	return capacity * (1 - c.cfg.PriorityReserve)
}

// coldStartAllows reports whether a cold engine may get another request of the team. Under contention a team holds at most its share
// of the concurrency limit, rounded up.
func (c *Controller) coldStartAllows(team *team) bool {
	limit := c.cold.limit(&c.limits)
	if c.inFlight >= limit {
		return false
	}
	if float64(c.inFlight+1) <= c.cfg.ContentionShare*float64(limit) {
		return true
	}
	return team.inFlight < int(math.Ceil(c.teams.share(team)*float64(limit)))
}

// withinShare reports whether the team would exceed its share of the capacity by no more than the capacity that stays free. The
// excess that a team may hold thus falls to zero as the upstream fills up, while capacity that teams leave unused is available
// to the others. A team without requests in progress is always within its share.
func (c *Controller) withinShare(r Request, team *team, capacity, free float64) bool {
	return team.inFlight == 0 || float64(team.work)+float64(r.WorkUnits) <= c.teams.share(team)*capacity+max(free, 0)
}

// accept records an admitted request and returns its ticket.
func (c *Controller) accept(now time.Time, r Request, team *team) Ticket {
	c.rampUp.onAdmit(now, c.inFlight, c.mean.fresh(now, &c.cfg), &c.cfg)
	c.work += uint64(r.WorkUnits)
	c.inFlight++
	team.work += uint64(r.WorkUnits)
	team.inFlight++
	c.engine.recordAdmitted(c.work)
	c.counts.admitted++
	return c.tickets.add(admittedRequest{team: team, units: r.WorkUnits, at: now, work: c.work, epoch: c.cold.epoch})
}

// FirstByte records that the first byte of a response arrived. Further calls for the same ticket have no effect.
func (c *Controller) FirstByte(now time.Time, ticket Ticket) {
	a := c.tickets.get(ticket)
	if a == nil || a.firstByteSeen {
		return
	}
	a.firstByteSeen = true
	c.cold.firstByte(a.epoch, now.Sub(a.at), a.work, &c.cfg)
}

// Done records that a request ended. Further calls for the same ticket have no effect.
func (c *Controller) Done(_ time.Time, ticket Ticket, completion Completion) {
	a, found := c.tickets.remove(ticket)
	if !found {
		return
	}
	c.work -= uint64(a.units)
	c.inFlight--
	a.team.work -= uint64(a.units)
	a.team.inFlight--
	c.counts.done++
	c.counts.workDone += uint64(completion.WorkUnits)
	c.cold.done(a.epoch, completion, &c.limits, &c.cfg)
}

// Load returns the load report that is sent to entries.
func (c *Controller) Load() wire.LoadReport {
	return wire.LoadReport{
		WorkUnits: uint32(min(c.work, math.MaxUint32)),
		InFlight:  uint32(c.inFlight),
		Cold:      c.cold.limited(&c.limits),
	}
}
