package admission

import (
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
)

var start = time.Unix(1_000_000, 0)

// newWithoutRampUp returns a controller whose start-up allowance is off, for tests of the other limits.
func newWithoutRampUp(cfg Config) *Controller {
	cfg.RampUpDuration = 0
	return New(cfg)
}

// newWarm returns a controller with a warm engine and no cold-start limit.
func newWarm(cfg Config, capacity uint64, limits Limits) *Controller {
	c := newWithoutRampUp(cfg)
	c.SetLimits(start, limits)
	c.Report(start, services.EngineLoad{StartID: "a", Capacity: capacity, CachedPrefixes: 100})
	return c
}

// service models the upstreams of one service, whose sidecars all know the exact mean.
type service struct {
	runners []*Controller
	work    []uint64
	total   uint64
	open    []openRequest
	ended   []openRequest
}

type openRequest struct {
	runner int
	team   string
	units  uint32
	ticket Ticket
}

// offer updates a runner with the exact mean and sends it a request.
func (s *service) offer(runner int, units uint32) result.Code {
	s.runners[runner].SetMean(start, uint32(s.total/uint64(len(s.runners))))
	ticket, refusal := s.runners[runner].Admit(start, Request{Team: "t", WorkUnits: units})
	if !refusal.Refused() {
		s.work[runner] += uint64(units)
		s.total += uint64(units)
		s.open = append(s.open, openRequest{runner: runner, units: units, ticket: ticket})
	}
	return refusal.Code
}

// finish ends a request. It also ends every finished request again, and passes invalid tickets, which must have no effect.
func (s *service) finish(t *rapid.T, i int) {
	o := s.open[i]
	s.open = append(s.open[:i], s.open[i+1:]...)
	s.ended = append(s.ended, o, openRequest{runner: o.runner}, openRequest{runner: o.runner, ticket: Ticket{slot: 1 << 20, serial: 1}})
	s.work[o.runner] -= uint64(o.units)
	s.total -= uint64(o.units)
	for _, o := range s.ended {
		s.runners[o.runner].FirstByte(start, o.ticket)
		s.runners[o.runner].Done(start, o.ticket, Completion{OK: true})
	}
	for runner, c := range s.runners {
		must.Eq(t, s.work[runner], uint64(c.Load().WorkUnits))
	}
}

// The load must not exceed the bound, must not change when Done is called twice for a ticket, and the floor must not be so strict that
// every runner refuses work. If the floor applies to idle runners only (FloorSlack -1), no admission exceeds
// max(bound x mean, one request). With the default, none exceeds max(bound x mean, 1.05 x mean + one request), none exceeds
// bound x mean from a mean of 5 such requests upwards, and the least loaded runner never refuses.
func TestBoundHoldsAndServiceProgresses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		if rapid.Bool().Draw(t, "strict") {
			cfg.FloorSlack = -1
		}
		k := rapid.IntRange(1, 15).Draw(t, "runners")
		s := &service{work: make([]uint64, k)}
		for range k {
			s.runners = append(s.runners, newWarm(cfg, 1<<40, Limits{}))
		}
		// Starting with some load makes the run cover both small and large means.
		size := rapid.Uint32Range(20, 4000)
		for range rapid.IntRange(0, 8).Draw(t, "start") {
			units := size.Draw(t, "units")
			for runner := range k {
				s.offer(runner, units)
			}
		}
		for range 200 {
			if len(s.open) > 0 && rapid.IntRange(0, 2).Draw(t, "done") == 0 {
				s.finish(t, rapid.IntRange(0, len(s.open)-1).Draw(t, "which"))
				continue
			}
			runner, units := rapid.IntRange(0, k-1).Draw(t, "runner"), size.Draw(t, "units")
			before, least := float64(s.total)/float64(k), s.work[runner]
			for _, w := range s.work {
				least = min(least, w)
			}
			code := s.offer(runner, units)
			must.True(t, code == result.OK || code == result.OverBound)
			if code == result.OverBound {
				must.True(t, s.work[runner] > least || cfg.FloorSlack < 0)
				continue
			}
			load, one := float64(s.work[runner]), float64(units)
			bound := cfg.DefaultBound * float64(s.total) / float64(k)
			if cfg.FloorSlack < 0 {
				must.LessEq(t, max(bound, one), load)
				continue
			}
			must.LessEq(t, max(bound, (1+cfg.FloorSlack)*before+one), load)
			if before >= one/(cfg.DefaultBound-1-cfg.FloorSlack) {
				must.LessEq(t, bound, load)
			}
		}
	})
}

// At a low mean, 12 runners with one equal request each must admit a 13th and further requests. A floor for idle runners only would stop
// the service at one request per runner.
func TestFloorLetsLowMeanGrow(t *testing.T) {
	for slack, want := range map[float64]int{0.05: 12 * 20, -1: 12} {
		cfg := DefaultConfig()
		cfg.FloorSlack = slack
		s := &service{work: make([]uint64, 12)}
		for range s.work {
			s.runners = append(s.runners, newWarm(cfg, 1<<40, Limits{}))
		}
		for range 20 {
			for runner := range s.runners {
				s.offer(runner, 100)
			}
		}
		must.Eq(t, want, len(s.open))
	}
}

// The bound must allow for the error of the mean (2300 of 2500), an upstream must have a limit when the mean is stale or unknown, work must
// not exceed the engine's capacity, and the single request that an idle upstream always admits must not be refused.
func TestCaps(t *testing.T) {
	mean := func(units uint32) func(*Controller) { return func(c *Controller) { c.SetMean(start, units) } }
	unestimated := func(c *Controller) {
		c.SetMean(start, 10_000)
		c.Report(start, services.EngineLoad{StartID: "a", Capacity: 10_000, CachedPrefixes: 100, WorkUnits: 8100})
	}
	for name, c := range map[string]struct {
		setup    func(*Controller)
		capacity uint64
		after    time.Duration
		priority int8
		want     uint64
		code     result.Code
	}{
		"fresh mean":            {mean(2000), 10_000, 3 * time.Second, 0, 2300, result.OverBound},
		"stale mean":            {mean(1000), 10_000, 3*time.Second + 1, 0, 1000, result.OverBound},
		"low stale mean":        {mean(50), 10_000, time.Hour, 0, 100, result.OverBound},
		"no mean":               {func(*Controller) {}, 10_000, 0, 0, 2200, result.Full},
		"no mean, high":         {func(*Controller) {}, 10_000, 0, 1, 2500, result.Full},
		"capacity":              {mean(1 << 31), 10_000, 0, 0, 9000, result.Full},
		"capacity, high":        {mean(1 << 31), 10_000, 0, 1, 10_000, result.Full},
		"unknown capacity":      {mean(1 << 31), 0, 0, 1, 65_500, result.Full},
		"idle, beyond capacity": {mean(10), 50, 0, 0, 100, result.Full},
		"unestimated work":      {unestimated, 10_000, 0, 0, 900, result.Full},
		"old unestimated work":  {unestimated, 10_000, time.Minute, 0, 9000, result.Full},
	} {
		ctl := newWarm(DefaultConfig(), c.capacity, Limits{TeamWeight: func(string) float64 { return -1 }})
		c.setup(ctl)
		var refusal Refusal
		for !refusal.Refused() {
			_, refusal = ctl.Admit(start.Add(c.after), Request{Team: "t", WorkUnits: 100, Priority: c.priority})
		}
		must.Eq(t, c.code, refusal.Code, must.Sprint(name))
		must.Eq(t, uint32(c.want), ctl.Load().WorkUnits, must.Sprint(name))
		must.Positive(t, refusal.RetryAfter)
	}
}

// An upstream that is leaving, drained or unconfigured must get no new work, but must continue the work in progress.
func TestUnavailable(t *testing.T) {
	c := New(DefaultConfig())
	admit := func(want result.Code) Ticket {
		ticket, refusal := c.Admit(start, Request{Team: "t"})
		must.Eq(t, want, refusal.Code)
		return ticket
	}
	admit(result.NoConfiguration)
	c.SetLimits(start, Limits{})
	ticket := admit(result.OK)
	c.SetLimits(start, Limits{Drained: true})
	admit(result.Draining)
	c.SetLeaving()
	admit(result.Leaving)
	c.SetLimits(start, Limits{})
	admit(result.Leaving)
	must.Eq(t, 1, c.State().InFlight)
	c.Done(start, ticket, Completion{OK: true})
	must.Zero(t, c.State().InFlight)
	must.Eq(t, map[result.Code]uint64{result.NoConfiguration: 1, result.Draining: 1, result.Leaving: 2}, c.State().Refused)
}

// Validate must reject each invalid field and name it.
func TestValidateNamesFields(t *testing.T) {
	must.NoError(t, DefaultConfig().Validate())
	bad := Config{
		DefaultBound: 0.5, MeanError: -1, FloorSlack: -2, StaleBound: 2, NoMeanShare: 2, PriorityReserve: -1, ContentionShare: math.NaN(),
		TeamActiveFor: -1, TeamBurst: 1, FirstBytePerUnit: -1, JumpFactor: 1, FailureCount: 0, CacheLossShare: 2, CacheMinPrefixes: -1,
		RetryAfter: -1, UnavailableRetryAfter: -1, RampUpRate: -1, RampUpDuration: -1, RampUpMeanDelay: -1, RampUpSteadyGrowth: -1,
	}.Validate()
	for _, f := range reflect.VisibleFields(reflect.TypeFor[Config]()) {
		if f.Name != "DefaultCapacity" {
			must.ErrorContains(t, bad, f.Name+":")
		}
	}
}
