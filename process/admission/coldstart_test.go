package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
)

// engineTest drives a controller with the cold-start rule initial=2 limit=6.
type engineTest struct {
	*testing.T
	c    *Controller
	load services.EngineLoad
	held []Ticket
}

func (e *engineTest) admit() Ticket {
	ticket, refusal := e.c.Admit(start, Request{Team: "t", WorkUnits: 10})
	must.False(e, refusal.Refused())
	return ticket
}

// serve runs one request. A second call of FirstByte, an hour later, must have no effect.
func (e *engineTest) serve(firstByte time.Duration, completion Completion) {
	ticket := e.admit()
	e.c.FirstByte(start.Add(firstByte), ticket)
	e.c.FirstByte(start.Add(time.Hour), ticket)
	e.c.Done(start, ticket, completion)
}

func (e *engineTest) step(name string) {
	switch name {
	case "ok":
		e.serve(100*time.Millisecond, Completion{OK: true})
	case "slow":
		e.serve(2*time.Second, Completion{OK: true})
	case "error":
		e.serve(0, Completion{})
	case "cancel":
		e.serve(0, Completion{Canceled: true})
	case "hold":
		e.held = append(e.held, e.admit())
	case "slow-held", "release", "fail-held":
		for _, ticket := range e.held {
			if name == "slow-held" {
				e.c.FirstByte(start.Add(2*time.Second), ticket)
			} else {
				e.c.Done(start, ticket, Completion{OK: name == "release"})
			}
		}
	default:
		change := map[string]func(l *services.EngineLoad){
			"restart": func(l *services.EngineLoad) { l.StartID += "'" },
			"no-id":   func(l *services.EngineLoad) { l.StartID = "" },
			"flag":    func(l *services.EngineLoad) { l.Cold = true },
			"unflag":  func(l *services.EngineLoad) { l.Cold = false },
			"lose":    func(l *services.EngineLoad) { l.CachedPrefixes = 19 },
			"evict":   func(l *services.EngineLoad) { l.CachedPrefixes = 20 },
		}[name]
		change(&e.load)
		e.c.Report(start, e.load)
	}
}

// limit returns the number of requests of different teams that are admitted now; 20 means no limit.
func (e *engineTest) limit() int {
	for n := range 20 {
		if _, refusal := e.c.Admit(start, Request{Team: fmt.Sprint(n), WorkUnits: 10}); refusal.Refused() {
			must.Eq(e, result.ColdStart, refusal.Code)
			return n
		}
	}
	return 20
}

// A cold engine must not get more than its limit, for each signal that it is cold, and a warm one must not be limited. The limit of a slow
// start must rise only with successes, must be reset, must not count requests from before a reset, and must end.
func TestColdStart(t *testing.T) {
	training := strings.Repeat("ok ", baselineMinSamples)
	for steps, want := range map[string]int{
		"":                                  20,
		"no-id":                             20,
		"evict":                             20,
		"error":                             20,
		"error error ok error error":        20,
		"error error cancel error":          2,
		"hold hold hold fail-held":          2,
		"hold hold hold fail-held ok ok":    4,
		"slow slow slow slow slow":          20,
		training + "slow slow":              20,
		training + "slow slow ok slow slow": 20,
		"restart":                           2,
		"flag":                              2,
		"lose":                              2,
		training + "slow slow slow":         2,
		"restart ok ok":                     4,
		"restart ok ok restart":             2,
		"restart ok ok error":               2,
		"restart ok ok slow":                2,
		"restart ok ok cancel":              4,
		"restart ok ok ok ok":               20,
		"flag ok ok ok ok ok ok ok":         6,
		"flag ok ok ok ok ok unflag":        20,
		"flag ok unflag":                    3,
		"hold hold restart release":         2,
		"hold hold restart fail-held":       2,
		"hold hold restart slow-held":       0,
		"restart ok hold hold slow-held":    0,
		"restart ok ok hold error hold ":    0,
		"restart hold hold release":         4,
		"restart hold slow-held release":    2,
		"hold restart ok ok ok slow-held":   4,
	} {
		e := &engineTest{T: t, c: newWithoutRampUp(DefaultConfig())}
		e.c.SetLimits(start, Limits{ColdInitial: 2, ColdLimit: 6})
		e.load = services.EngineLoad{StartID: "a", Capacity: 1 << 40, CachedPrefixes: 100}
		e.c.Report(start, e.load)
		e.c.SetMean(start, 1<<31)
		for _, name := range strings.Fields(steps) {
			e.step(name)
		}
		must.Eq(t, want == 20, !e.c.Load().Cold, must.Sprint(steps))
		must.Eq(t, want, e.limit(), must.Sprint(steps))
	}
}

// A team must not use the full limit of a cold engine while another team sends requests.
func TestColdStartLimitIsShared(t *testing.T) {
	c := newWithoutRampUp(DefaultConfig())
	c.SetLimits(start, Limits{ColdInitial: 4, ColdLimit: 6})
	held := map[string]int{}
	for _, team := range strings.Fields("a b a a a a b b b") {
		if _, refusal := c.Admit(start, Request{Team: team}); !refusal.Refused() {
			held[team]++
		}
	}
	must.Eq(t, map[string]int{"a": 2, "b": 2}, held)
}

// An engine must not be treated as warm before its first report, or if the report arrived before the rules.
func TestColdUntilKnown(t *testing.T) {
	rules := Limits{ColdInitial: 2, ColdLimit: 6}
	c := newWithoutRampUp(DefaultConfig())
	c.SetLimits(start, rules)
	must.True(t, c.Load().Cold)
	c = newWithoutRampUp(DefaultConfig())
	c.Report(start, services.EngineLoad{StartID: "a"})
	c.SetLimits(start, rules)
	must.True(t, c.Load().Cold)
}
