package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/platform"
	"github.com/jayridge/jayridge/request/result"
)

// engineTest drives a controller with the cold-start rule initial=2 limit=6.
type engineTest struct {
	t    *testing.T
	c    *Controller
	now  time.Time
	load platform.EngineLoad
}

func newEngineTest(t *testing.T, cached int) *engineTest {
	e := &engineTest{t: t, c: New(DefaultConfig()), now: start}
	e.c.SetLimits(e.now, Limits{ColdInitial: 2, ColdLimit: 6})
	e.load = platform.EngineLoad{StartID: "a", Capacity: 1 << 40, CachedPrefixes: cached}
	e.c.Report(e.now, e.load)
	e.c.SetMean(e.now, 1<<31)
	return e
}

func (e *engineTest) report(change func(*platform.EngineLoad)) {
	change(&e.load)
	e.c.Report(e.now, e.load)
}

// fill admits requests until one is refused, at most 20, and returns their tickets.
func (e *engineTest) fill() []Ticket {
	var tickets []Ticket
	for len(tickets) < 20 {
		ticket, refusal := e.c.Admit(e.now, Request{Team: "t", WorkUnits: 10})
		if refusal.Refused() {
			must.Eq(e.t, result.ColdStart, refusal.Code)
			break
		}
		tickets = append(tickets, ticket)
	}
	return tickets
}

// limit measures how many requests an empty engine takes; 20 stands for no limit. Its requests are canceled.
func (e *engineTest) limit() int {
	tickets := e.fill()
	e.done(tickets, Completion{Canceled: true})
	return len(tickets)
}

func (e *engineTest) done(tickets []Ticket, completion Completion) {
	for _, ticket := range tickets {
		e.c.Done(e.now, ticket, completion)
	}
}

// serve runs one request with the given time to first byte.
func (e *engineTest) serve(firstByte time.Duration, completion Completion) {
	ticket, refusal := e.c.Admit(e.now, Request{Team: "t", WorkUnits: 10})
	must.False(e.t, refusal.Refused())
	e.c.FirstByte(e.now.Add(firstByte), ticket)
	e.c.FirstByte(e.now.Add(time.Hour), ticket)
	e.c.Done(e.now, ticket, completion)
}

// Guards against a cold engine that gets more than its limit, whatever shows that it is cold, and against a warm one that is
// limited.
func TestColdSigns(t *testing.T) {
	for name, c := range map[string]struct {
		sign func(*engineTest)
		cold bool
	}{
		"nothing":         {func(e *engineTest) { e.report(func(*platform.EngineLoad) {}) }, false},
		"new start id":    {func(e *engineTest) { e.report(func(l *platform.EngineLoad) { l.StartID = "b" }) }, true},
		"no start id":     {func(e *engineTest) { e.report(func(l *platform.EngineLoad) { l.StartID = "" }) }, false},
		"cold flag":       {func(e *engineTest) { e.report(func(l *platform.EngineLoad) { l.Cold = true }) }, true},
		"lost cache":      {func(e *engineTest) { e.report(func(l *platform.EngineLoad) { l.CachedPrefixes = 19 }) }, true},
		"eviction":        {func(e *engineTest) { e.report(func(l *platform.EngineLoad) { l.CachedPrefixes = 20 }) }, false},
		"two slow first":  {func(e *engineTest) { e.train(); e.slow(2) }, false},
		"three slow":      {func(e *engineTest) { e.train(); e.slow(3) }, true},
		"slow, untrained": {func(e *engineTest) { e.slow(10) }, false},
		"slow, not in a row": {func(e *engineTest) {
			e.train()
			for range 5 {
				e.slow(2)
				e.serve(time.Millisecond, Completion{OK: true})
			}
		}, false},
		"error when warm": {func(e *engineTest) { e.serve(0, Completion{}) }, false},
	} {
		e := newEngineTest(t, 100)
		must.Eq(t, 20, e.limit(), must.Sprint(name))
		c.sign(e)
		must.Eq(t, c.cold, e.c.Load().Cold, must.Sprint(name))
		want := 20
		if c.cold {
			want = 2
		}
		must.Eq(t, want, e.limit(), must.Sprint(name))
	}
}

func (e *engineTest) train() {
	for range usualMinSamples {
		e.serve(100*time.Millisecond, Completion{OK: true})
	}
}

func (e *engineTest) slow(n int) {
	for range n {
		e.serve(2*time.Second, Completion{OK: true})
	}
}

// Guards against a slow start that rises without successes, is not reset, counts requests from before a reset, or never ends.
func TestSlowStart(t *testing.T) {
	e := newEngineTest(t, 0)
	must.Eq(t, 2, e.limit())
	e.serve(0, Completion{OK: true})
	e.serve(0, Completion{OK: true})
	must.Eq(t, 4, e.limit())
	e.serve(0, Completion{})
	must.Eq(t, 2, e.limit(), must.Sprint("an engine error resets the limit"))

	e.serve(0, Completion{OK: true})
	before := e.fill()
	must.Len(t, 3, before)
	e.c.FirstByte(e.now.Add(2*time.Second), before[0])
	must.Eq(t, 2, e.c.State().ColdLimit, must.Sprint("a slow first byte resets the limit"))
	starts := e.c.State().ColdStarts
	e.c.FirstByte(e.now.Add(2*time.Second), before[1])
	e.done(before, Completion{OK: true})
	must.Eq(t, 2, e.limit(), must.Sprint("requests from before the reset do not count"))
	must.Eq(t, starts, e.c.State().ColdStarts)

	e.report(func(l *platform.EngineLoad) { l.Cold = true })
	for range 10 {
		e.serve(time.Second, Completion{OK: true})
	}
	must.Eq(t, 6, e.limit(), must.Sprint("an engine that calls itself cold stays at the limit"))
	e.report(func(l *platform.EngineLoad) { l.Cold, l.CachedPrefixes = false, 50 })
	must.Eq(t, 20, e.limit())

	e.report(func(l *platform.EngineLoad) { l.StartID = "b" })
	must.Eq(t, 2, e.limit())
	for range 4 {
		e.serve(0, Completion{OK: true})
	}
	must.Eq(t, 20, e.limit())
}

// Guards against work that an engine in an unknown state gets before its first report.
func TestColdUntilFirstReport(t *testing.T) {
	c := New(DefaultConfig())
	c.SetLimits(start, Limits{ColdInitial: 2, ColdLimit: 6})
	must.True(t, c.Load().Cold)
	c.Report(start, platform.EngineLoad{StartID: "a"})
	must.True(t, c.Load().Cold)

	c = New(DefaultConfig())
	c.Report(start, platform.EngineLoad{StartID: "a"})
	c.SetLimits(start, Limits{ColdInitial: 2, ColdLimit: 6})
	must.True(t, c.Load().Cold, must.Sprint("a report that comes before the rules"))
}
