// Package admission decides whether an upstream takes a request now.
//
// One Controller belongs to one sidecar, which sees all work of its upstream; therefore its limits hold whatever the routers
// believe. A refusal comes before the request is handed over, so "not run" is true. The controller is a plain state machine:
// the current time is an argument, and it is not safe for concurrent use.
//
// Limits are checked in this order: departure, configuration, drain, cold start, capacity, load bound, the team's share, the
// team's rate. An upstream without work in progress takes one request whatever its size; only the first four limits and the
// team's rate can refuse it. Load is the estimated work of the requests in progress, from Admit to Done.
package admission

import (
	"math"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
)

// Limits are what the rules say of an upstream.
type Limits struct {
	// Bound is the most load an upstream may carry, as a multiple of the mean. Zero means Config.DefaultBound.
	Bound float64
	// ColdInitial is the number of concurrent requests that a cold engine gets at first; zero means no cold-start limit.
	// ColdLimit is the number at which it is warm; a value up to ColdInitial ends the cold start at once.
	ColdInitial, ColdLimit int
	// TeamWeight returns a team's weight under contention. Nil, and values that are not positive and finite, mean 1.
	TeamWeight func(team string) float64
	// TeamLimit returns a team's limit at this upstream in requests per second. Nil, and values that are not positive and
	// finite, mean no limit.
	TeamLimit func(team string) float64
	// Drained says that a rule drains the upstream or its data centre.
	Drained bool
}

// Request is what the controller needs to know of a request.
type Request struct {
	Team string
	// WorkUnits is the estimated work in tokens; zero counts as 1.
	WorkUnits uint32
	// Priority above zero may use the reserved capacity.
	Priority int8
}

// Refusal says why a request was not admitted. The zero Refusal means that it was.
type Refusal struct {
	Code result.Code
	// RetryAfter is what the caller is told to wait.
	RetryAfter time.Duration
}

// Refused says whether the request was refused.
func (r Refusal) Refused() bool { return r.Code != result.OK }

// Completion says how a request ended.
type Completion struct {
	// WorkUnits is the work that was done, in tokens.
	WorkUnits uint32
	// OK says that the upstream answered without an error of its own.
	OK bool
	// Canceled says that the request ended because the caller left or its deadline passed, which tells nothing of the engine.
	Canceled bool
}

// Controller holds the limits and the admitted work of one upstream.
type Controller struct {
	cfg        Config
	limits     Limits
	configured bool
	leaving    bool

	work    uint64
	tickets tickets
	running int

	mean    meanLoad
	filling filling
	engine  engineCapacity
	cold    coldStart
	teams   *teams
	counts  counts
}

// New returns a controller that refuses all work until SetLimits. cfg must be valid.
func New(cfg Config) *Controller {
	c := &Controller{cfg: cfg}
	c.cold.cold = true
	c.teams = newTeams(&c.cfg, &c.limits)
	return c
}

// SetLimits takes over what the rules of the accepted configuration say.
func (c *Controller) SetLimits(now time.Time, limits Limits) {
	if !(limits.Bound > 0) {
		limits.Bound = c.cfg.DefaultBound
	}
	c.limits = limits
	c.configured = true
	c.teams.reconfigure(now)
	c.cold.warmUp(&c.limits)
}

// SetMean takes over an estimate of the mean load of the service's upstreams, in work units. Zero is no estimate and is ignored.
func (c *Controller) SetMean(now time.Time, workUnits uint32) {
	if workUnits == 0 {
		return
	}
	c.mean = meanLoad{units: workUnits, at: now, known: true}
	c.filling.observe(now, workUnits, &c.cfg)
}

// SetLeaving refuses all further work, for good.
func (c *Controller) SetLeaving() { c.leaving = true }

// Report takes over the engine's own report.
func (c *Controller) Report(now time.Time, load services.EngineLoad) {
	c.engine.report(now, load, c.work)
	c.cold.report(load, &c.cfg)
	if c.configured {
		c.cold.warmUp(&c.limits)
	}
}

// Admit decides on a request. If the Refusal is zero, the request is admitted, and Done must be called with the ticket.
func (c *Controller) Admit(now time.Time, r Request) (Ticket, Refusal) {
	r.WorkUnits = max(r.WorkUnits, 1)
	refusal, team := c.judge(now, r)
	if refusal.Refused() {
		c.counts.refused[refusal.Code]++
		return Ticket{}, refusal
	}
	return c.take(now, r, team), Refusal{}
}

// judge returns why a request is refused, or the record of its team.
func (c *Controller) judge(now time.Time, r Request) (Refusal, *team) {
	if code := c.unavailable(); code != result.OK {
		return Refusal{Code: code, RetryAfter: c.cfg.UnavailableRetryAfter}, nil
	}
	team := c.teams.seen(now, r.Team)
	if code := c.overloaded(now, r, team); code != result.OK {
		return Refusal{Code: code, RetryAfter: c.cfg.RetryAfter}, nil
	}
	// The rate limit comes last, since a token that is taken is not given back.
	if wait, ok := team.takeToken(now); !ok {
		return Refusal{Code: result.TeamLimit, RetryAfter: wait}, nil
	}
	return Refusal{}, team
}

// unavailable returns why the upstream takes no work at all.
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

// overloaded returns which limit the request would exceed.
func (c *Controller) overloaded(now time.Time, r Request, team *team) result.Code {
	if c.cold.limited(&c.limits) && !c.coldRoom(team) {
		return result.ColdStart
	}
	if c.running == 0 {
		return result.OK
	}
	room := c.engine.room(c.mean.known, &c.cfg)
	after := float64(c.work) + float64(r.WorkUnits)
	if after+c.engine.unforeseen(now, &c.cfg) > c.usable(room, r.Priority) {
		return result.Full
	}
	limit, floor := c.mean.bound(now, c.limits.Bound, &c.cfg)
	limit, floor = c.filling.limits(now, limit, floor, c.engine.room(true, &c.cfg), c.mean.fresh(now, &c.cfg), &c.cfg)
	if after > limit && float64(c.work) > floor {
		return result.OverBound
	}
	if after > c.cfg.ContentionShare*room && !c.withinShare(r, team, room, c.usable(room, r.Priority)-after) {
		return result.TeamLimit
	}
	return result.OK
}

// usable is the part of the room that a request of the given priority may use.
func (c *Controller) usable(room float64, priority int8) float64 {
	if priority > 0 {
		return room
	}
	return room * (1 - c.cfg.PriorityReserve)
}

// coldRoom says whether a cold engine takes another request of the team. Under contention a team holds at most its share of the
// places, rounded up.
func (c *Controller) coldRoom(team *team) bool {
	limit := c.cold.limit(&c.limits)
	if c.running >= limit {
		return false
	}
	if float64(c.running+1) <= c.cfg.ContentionShare*float64(limit) {
		return true
	}
	return team.inFlight < int(math.Ceil(c.teams.share(team)*float64(limit)))
}

// withinShare says whether the team exceeds its share of the room by no more than the room that stays free. What a team holds
// above its share thus shrinks to nothing as the upstream fills, and teams that ask for less than their share leave the rest
// to the others. A team that holds nothing may always take one request.
func (c *Controller) withinShare(r Request, team *team, room, spare float64) bool {
	return team.inFlight == 0 || float64(team.work)+float64(r.WorkUnits) <= c.teams.share(team)*room+max(spare, 0)
}

// take admits a request.
func (c *Controller) take(now time.Time, r Request, team *team) Ticket {
	c.filling.take(now, c.running, c.mean.fresh(now, &c.cfg), &c.cfg)
	c.work += uint64(r.WorkUnits)
	c.running++
	team.work += uint64(r.WorkUnits)
	team.inFlight++
	c.engine.admitted(c.work)
	c.counts.admitted++
	return c.tickets.add(admitted{team: team, units: r.WorkUnits, at: now, work: c.work, epoch: c.cold.epoch})
}

// FirstByte says that the first byte of an answer arrived. Further calls for the same ticket have no effect.
func (c *Controller) FirstByte(now time.Time, ticket Ticket) {
	a := c.tickets.get(ticket)
	if a == nil || a.first {
		return
	}
	a.first = true
	c.cold.firstByte(a.epoch, now.Sub(a.at), a.work, &c.cfg)
}

// Done says that a request ended. Further calls for the same ticket have no effect.
func (c *Controller) Done(_ time.Time, ticket Ticket, completion Completion) {
	a, found := c.tickets.remove(ticket)
	if !found {
		return
	}
	c.work -= uint64(a.units)
	c.running--
	a.team.work -= uint64(a.units)
	a.team.inFlight--
	c.counts.done++
	c.counts.workDone += uint64(completion.WorkUnits)
	c.cold.done(a.epoch, completion, &c.limits, &c.cfg)
}

// Load returns the report for the entries.
func (c *Controller) Load() wire.LoadReport {
	return wire.LoadReport{
		WorkUnits: uint32(min(c.work, math.MaxUint32)),
		InFlight:  uint32(c.running),
		Cold:      c.cold.limited(&c.limits),
	}
}
