package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
)

// admittedWork sends as many requests as an upstream with a capacity of 100,000 admits, beginning idle at from, and returns the
// admitted work at each of the given times. mean returns the value of the hints at a time, zero for none.
func admittedWork(c *Controller, from time.Time, mean func(time.Duration) uint32, until ...time.Duration) []uint32 {
	var work []uint32
	now := time.Duration(0)
	for _, end := range until {
		for ; now <= end; now += 10 * time.Millisecond {
			c.SetMean(from.Add(now), mean(now))
			for refusal := (Refusal{}); !refusal.Refused(); {
				_, refusal = c.Admit(from.Add(now), Request{Team: "t", WorkUnits: 100})
			}
		}
		work = append(work, c.Load().WorkUnits)
	}
	return work
}

func newRampUpController() *Controller {
	c := New(DefaultConfig())
	c.SetLimits(start, Limits{})
	c.Report(start, services.EngineLoad{StartID: "a", Capacity: 100_000, CachedPrefixes: 100})
	return c
}

// An upstream must not admit a burst before the mean is known, must not follow a mean that covers only the few upstreams with the first
// requests, must not refuse too much while the hints of a fleet with growing load are late, and must not exceed a steady mean because it
// is new.
func TestRampUp(t *testing.T) {
	times := []time.Duration{0, 500 * time.Millisecond, 990 * time.Millisecond, 2 * time.Second, 4 * time.Second, 11 * time.Second}
	for name, c := range map[string]struct {
		mean func(time.Duration) uint32
		want []uint32
	}{
		"no mean":     {func(time.Duration) uint32 { return 0 }, []uint32{100, 4000, 7900, 16_000, 22_500, 22_500}},
		"steady mean": {func(time.Duration) uint32 { return 4000 }, []uint32{100, 4000, 7900, 15_900, 15_900, 15_900}},
		"high mean":   {func(time.Duration) uint32 { return 50_000 }, []uint32{100, 4000, 7900, 59_500, 59_500, 59_500}},
		"late hints":  {func(d time.Duration) uint32 { return 1 + uint32(3000*d.Seconds()) }, []uint32{100, 4000, 7900, 16_000, 32_000, 79_900}},
	} {
		must.Eq(t, c.want, admittedWork(newRampUpController(), start, c.mean, times...), must.Sprint(name))
	}
}

// When traffic returns to an idle fleet, there must be no burst. An upstream that is briefly idle while the mean is known must not get a
// new allowance.
func TestRampUp_Again(t *testing.T) {
	c := newRampUpController()
	ticket, _ := c.Admit(start, Request{Team: "t", WorkUnits: 100})
	c.Done(start, ticket, Completion{OK: true})
	later := start.Add(time.Minute)
	c.SetMean(later, 100)
	must.Eq(t, []uint32{200}, admittedWork(c, later, func(time.Duration) uint32 { return 100 }, 3*time.Second))

	c = newRampUpController()
	c.SetMean(start, 50_000)
	ticket, _ = c.Admit(start, Request{Team: "t", WorkUnits: 100})
	c.Done(start, ticket, Completion{OK: true})
	work := admittedWork(c, later, func(time.Duration) uint32 { return 0 }, 0, 500*time.Millisecond)
	must.Eq(t, []uint32{100, 4000}, work)
	_, refusal := c.Admit(later.Add(500*time.Millisecond), Request{Team: "t", WorkUnits: 100})
	must.Eq(t, result.OverBound, refusal.Code)
}
