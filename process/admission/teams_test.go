package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jayridge/jayridge/request/result"
)

var weights = map[string]float64{"a": 1, "b": 1, "c": 2, "d": 4}

func teamLimits() Limits {
	return Limits{TeamWeight: func(team string) float64 { return weights[team] }}
}

// Under contention a team must not get more than its share and the free capacity. Shares must not count inactive teams, and without
// contention no request may be refused because of a share.
func TestTeamShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		const capacity = 10_000
		c := newWarm(cfg, capacity, teamLimits())
		now := start
		seen, active, work := map[string]time.Time{}, map[string]time.Time{}, map[string]float64{}
		var open []openRequest
		total := 0.0
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if len(open) > 0 && rapid.IntRange(0, 4).Draw(t, "done") == 0 {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				c.Done(now, open[i].ticket, Completion{OK: true})
				active[open[i].team] = now
				work[open[i].team] -= float64(open[i].units)
				total -= float64(open[i].units)
				open = append(open[:i], open[i+1:]...)
				continue
			}
			c.SetMean(now, 1<<31)
			team, units := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "team"), rapid.Uint32Range(50, 1500).Draw(t, "units")
			seen[team], active[team] = now, now
			ticket, refusal := c.Admit(now, Request{Team: team, WorkUnits: units, Priority: 1})
			// A team is active if it has work in progress or sent a request recently; it may be active if it had work recently.
			least, most := 0.0, 0.0
			for name := range seen {
				if work[name] > 0 || now.Sub(seen[name]) <= cfg.TeamActiveFor {
					least += weights[name]
				}
				if work[name] > 0 || now.Sub(active[name]) <= cfg.TeamActiveFor {
					most += weights[name]
				}
			}
			after, held := total+float64(units), work[team]+float64(units)
			contended := after > cfg.ContentionShare*capacity
			spare := max(capacity-after, 0)
			if refusal.Code == result.TeamLimit {
				must.True(t, contended && held > weights[team]/most*capacity+spare)
				continue
			}
			if refusal.Refused() {
				must.Eq(t, result.Full, refusal.Code)
				must.Greater(t, capacity, after)
				continue
			}
			if contended && work[team] > 0 {
				must.LessEq(t, weights[team]/least*capacity+spare+1e-6, held)
			}
			work[team], total = held, after
			open = append(open, openRequest{team: team, units: units, ticket: ticket})
		}
	})
}

// A team with a surge of requests must not take all of a full upstream, and a single active team must be able to use idle capacity.
func TestTeamBurstYieldsCapacity(t *testing.T) {
	c := newWarm(DefaultConfig(), 10_000, teamLimits())
	now := start
	var surge []Ticket
	step := func() {
		now = now.Add(100 * time.Millisecond)
		c.SetMean(now, 1<<31)
		for {
			ticket, refusal := c.Admit(now, Request{Team: "a", WorkUnits: 100})
			if refusal.Refused() {
				return
			}
			surge = append(surge, ticket)
		}
	}
	step()
	must.Len(t, 90, surge)
	small := 0
	for range 60 {
		if _, refusal := c.Admit(now, Request{Team: "b", WorkUnits: 100}); !refusal.Refused() {
			small++
		}
		c.Done(now, surge[0], Completion{OK: true})
		surge = surge[1:]
		step()
	}
	must.Between(t, 38, small, 50)
	must.Between(t, 40, len(surge), 52)
}

// A rate limit must be enforced, must not count refused requests, and must follow changed rules.
func TestTeamRateLimit(t *testing.T) {
	limit := 10.0
	c := newWarm(DefaultConfig(), 1<<40, Limits{TeamLimit: func(string) float64 { return limit }})
	admitted := map[int]int{}
	for ms := range 11_000 {
		if ms == 10_000 {
			limit = 0
			c.SetLimits(start, c.limits)
		}
		now := start.Add(time.Duration(ms) * time.Millisecond)
		ticket, refusal := c.Admit(now, Request{Team: "a"})
		c.Done(now, ticket, Completion{OK: true})
		if refusal.Refused() {
			must.Eq(t, result.TeamLimit, refusal.Code)
			must.Between(t, 0, refusal.RetryAfter, time.Second/10)
			continue
		}
		admitted[ms/1000]++
	}
	must.Eq(t, map[int]int{0: 19, 1: 10, 2: 10, 3: 10, 4: 10, 5: 10, 6: 10, 7: 10, 8: 10, 9: 10, 10: 1000}, admitted)
}

// Memory must not grow with the number of teams, and the weights of inactive teams must not be counted.
func TestInactiveTeamsAreDropped(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxTeams = 50
	c := newWarm(cfg, 1<<40, Limits{})
	for i := range 1000 {
		ticket, refusal := c.Admit(start, Request{Team: fmt.Sprint("team", i)})
		must.False(t, refusal.Refused())
		if i != 7 {
			c.Done(start, ticket, Completion{OK: true})
		}
	}
	must.Len(t, 51, c.State().Teams)
	c.Admit(start.Add(cfg.TeamActiveFor+1), Request{Team: "next"})
	teams := c.State().Teams
	must.Len(t, 2, teams)
	must.Eq(t, TeamState{Name: "team7", WorkUnits: 1, InFlight: 1, Share: 0.5}, teams[0])
}

// newSteadyLoad returns a function that ends one request and admits another, of ten teams in rotation, on an upstream with 50
// requests in progress.
func newSteadyLoad() func() {
	c := newWarm(DefaultConfig(), 100_000, Limits{TeamLimit: func(string) float64 { return 1e6 }})
	names, now, open, i := strings.Fields("a b c d e f g h i j"), start, make([]Ticket, 50), 0
	next := func() {
		now = now.Add(time.Millisecond)
		c.FirstByte(now, open[i])
		c.Done(now, open[i], Completion{WorkUnits: 900, OK: true})
		c.SetMean(now, 60_000)
		refusal := Refusal{}
		if open[i], refusal = c.Admit(now, Request{Team: names[i%10], WorkUnits: 1000}); refusal.Refused() {
			panic(refusal.Code)
		}
		i = (i + 1) % len(open)
	}
	for range open {
		next()
	}
	return next
}

// The code that runs for every request must not allocate.
func TestAdmitDoesNotAllocate(t *testing.T) {
	must.Zero(t, testing.AllocsPerRun(1000, newSteadyLoad()))
}

func BenchmarkAdmitDone(b *testing.B) {
	run := newSteadyLoad()
	b.ReportAllocs()
	for b.Loop() {
		run()
	}
}
