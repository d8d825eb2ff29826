package scaling

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	dayTick  = 250 * time.Millisecond
	daySlots = 8
	never    = time.Duration(math.MaxInt64)
)

var dayCentres = []string{"a", "b", "c"}

// day is a day in virtual time: a demand, a platform that executes orders, and faults.
type day struct {
	config Config
	limits Limits
	length time.Duration
	// demand is the number of requests that callers want to have in progress.
	demand func(at time.Duration) float64
	// boot returns when an upstream that is ordered at a time registers.
	boot func(at time.Duration, centre string) time.Duration
	// lostB tells whether data centre b is lost.
	lostB func(at time.Duration) bool
	// outcome returns the outcome of a call and the time at which it is executed.
	outcome func(at time.Duration) (Outcome, time.Duration)
	// takeover tells whether a new holder starts, without state.
	takeover func(at time.Duration) bool
	// pending are the calls that have not been executed.
	pending   []dayCall
	upstreams map[string][]dayUpstream
}

type (
	dayUpstream struct{ readyAt time.Duration }
	dayCall     struct {
		at    time.Duration
		order Order
	}
)

// dayResult are the figures of a day.
type dayResult struct {
	// unserved is the fraction of the demand beyond the slots that serve, cost that of the upstreams at Max that are paid.
	unserved, cost  float64
	orders, highest int
	reasons         map[Reason]int
}

// standardDay rises threefold and falls again, with waves of 13 s between half and one and a half times the mean.
func standardDay() *day {
	d := &day{
		config: DefaultConfig(),
		length: 10 * time.Minute,
		demand: func(at time.Duration) float64 {
			mean := 20 + 38*math.Pow(math.Sin(math.Pi*at.Seconds()/600), 2)
			return mean * (1 + 0.5*math.Sin(2*math.Pi*at.Seconds()/13))
		},
		lostB:    func(time.Duration) bool { return false },
		outcome:  func(at time.Duration) (Outcome, time.Duration) { return Accepted, at },
		takeover: func(time.Duration) bool { return false },
	}
	d.setBoot(4 * time.Second)
	return d
}

func (d *day) setBoot(boot time.Duration) {
	d.limits = Limits{Min: 1, Max: 6, Boot: boot}
	d.boot = func(at time.Duration, _ string) time.Duration { return at + boot }
}

// loseB takes a data centre away for a minute, from just before a crest on.
func (d *day) loseB() {
	d.lostB = func(at time.Duration) bool { return at >= 275*time.Second && at < 335*time.Second }
}

// play plays the day and checks what must hold at any time.
func (d *day) play(t must.T) dayResult {
	epoch := time.Unix(1_700_000_000, 0)
	result := dayResult{reasons: make(map[Reason]int)}
	d.upstreams = make(map[string][]dayUpstream)
	for _, name := range dayCentres {
		d.upstreams[name] = make([]dayUpstream, 2)
	}
	var holder *Decider
	var started time.Duration
	demanded, unserved, paid := 0.0, 0.0, 0.0
	for at := time.Duration(0); at < d.length; at += dayTick {
		if holder == nil || d.takeover(at) {
			holder, started = New(d.config), at
		}
		d.execute(at)
		snapshot, registered, serving := d.snapshot(at)
		demanded += d.demand(at)
		unserved += max(0, d.demand(at)-float64(serving*daySlots))
		for _, name := range dayCentres {
			paid += float64(len(d.upstreams[name]))
		}
		result.highest = max(result.highest, registered)
		lastChange := holder.changedAt
		orders := holder.Decide(epoch.Add(at), snapshot)
		for _, c := range holder.centres {
			surplus := c.reason == Surplus && c.changedAt.Equal(epoch.Add(at))
			must.False(t, surplus && (at-started < d.config.Window || epoch.Add(at).Sub(lastChange) < d.config.MinDownInterval))
		}
		d.checkServed(t, holder, snapshot)
		for _, o := range orders {
			must.Between(t, d.limits.Min, o.Desired, d.limits.Max)
			must.False(t, o.DataCentre == "b" && d.lostB(at))
			outcome, executedAt := d.outcome(at)
			if outcome != NotMade {
				result.orders++
				result.reasons[o.Reason]++
				d.pending = append(d.pending, dayCall{executedAt, o})
			}
			holder.Record(epoch.Add(at), o, outcome)
		}
	}
	result.unserved = unserved / demanded
	result.cost = paid / float64(len(dayCentres)*d.limits.Max) * dayTick.Seconds() / d.length.Seconds()
	return result
}

// checkServed checks that the numbers suffice for the present demand unless they are at the maximum.
func (d *day) checkServed(t must.T, decider *Decider, s Snapshot) {
	atMax, demand := true, 0
	for _, c := range decider.available() {
		atMax = atMax && c.target >= d.limits.Max
	}
	for _, c := range s.DataCentres {
		demand += c.InProgress
	}
	must.True(t, atMax || total(decider.available())*daySlots >= demand)
}

// execute executes the calls that are due: it starts upstreams, or ends those that were started last.
func (d *day) execute(at time.Duration) {
	var later []dayCall
	for _, call := range d.pending {
		if call.at > at {
			later = append(later, call)
			continue
		}
		name := call.order.DataCentre
		for len(d.upstreams[name]) < call.order.Desired {
			d.upstreams[name] = append(d.upstreams[name], dayUpstream{readyAt: d.boot(at, name)})
		}
		d.upstreams[name] = d.upstreams[name][:call.order.Desired]
	}
	d.pending = later
}

// snapshot returns what the holder sees, and the numbers of upstreams that are registered and that serve. The latter share the requests evenly and
// refuse those beyond 1.25 times their slots.
func (d *day) snapshot(at time.Duration) (s Snapshot, registered, serving int) {
	s = Snapshot{Limits: d.limits, Current: true}
	for _, name := range dayCentres {
		c := DataCentre{Name: name, Slots: daySlots, Lost: name == "b" && d.lostB(at)}
		for _, u := range d.upstreams[name] {
			if at >= u.readyAt {
				c.Ready++
			}
		}
		registered += c.Ready
		if !c.Lost {
			serving += c.Ready
		}
		s.DataCentres = append(s.DataCentres, c)
	}
	requests := min(d.demand(at), 1.25*float64(serving*daySlots))
	for i := range s.DataCentres {
		if c := &s.DataCentres[i]; !c.Lost && serving > 0 {
			c.InProgress = int(math.Round(requests * float64(c.Ready) / float64(serving)))
		}
	}
	return s, registered, serving
}

// Guards against a decision that costs as much as the maximum, does not serve a day's demand, or keeps ordering, under rise, fall and waves, and with
// each of the faults that the package comment names.
func TestDay(t *testing.T) {
	calls, boots := 0, 0
	for name, c := range map[string]struct {
		change         func(d *day)
		unserved, cost float64
		orders         int
		// mayReachMax permits the maximum in all data centres. repeats is the lowest number of orders with reason.
		mayReachMax bool
		reason      Reason
		repeats     int
	}{
		"standard":                    {func(*day) {}, 0.0001, 0.65, 30, false, Unchanged, 0},
		"boot 1 s":                    {func(d *day) { d.setBoot(time.Second) }, 0.0001, 0.65, 30, false, Unchanged, 0},
		"boot 20 s":                   {func(d *day) { d.setBoot(20 * time.Second) }, 0.0001, 0.7, 30, false, Unchanged, 0},
		"data centre lost at a crest": {(*day).loseB, 0.001, 0.7, 40, true, Unchanged, 0},
		"boot three times as late": {func(d *day) {
			d.boot = func(at time.Duration, _ string) time.Duration { return at + 3*d.limits.Boot }
		}, 0.001, 0.65, 40, false, NotFollowed, 3},
		"none boots in a data centre": {func(d *day) {
			d.boot = func(at time.Duration, centre string) time.Duration {
				return map[string]time.Duration{"a": at + d.limits.Boot, "b": never, "c": at + d.limits.Boot}[centre]
			}
		}, 0.001, 0.7, 50, false, NotFollowed, 2},
		"one in three never boots": {func(d *day) {
			d.boot = func(at time.Duration, _ string) time.Duration {
				boots++
				return []time.Duration{never, at + d.limits.Boot, at + d.limits.Boot}[boots%3]
			}
		}, 0.001, 0.75, 70, false, NotFollowed, 2},
		"calls lost, refused or executed 9 s late": {func(d *day) {
			d.outcome = func(at time.Duration) (Outcome, time.Duration) {
				calls++
				return []Outcome{Accepted, Unknown, NotMade, Unknown}[calls%4], []time.Duration{at, never, never, at + 9*time.Second}[calls%4]
			}
		}, 0.001, 0.65, 90, false, Unconfirmed, 10},
		"older orders executed late": {func(d *day) {
			d.pending = []dayCall{{300 * time.Second, Order{DataCentre: "a", Desired: 1}}, {360 * time.Second, Order{DataCentre: "b", Desired: 6}}}
		}, 0.005, 0.65, 40, false, NotFollowed, 2},
		"new holder every 37 s": {func(d *day) {
			d.takeover = func(at time.Duration) bool { return at%(37*time.Second) == 0 }
		}, 0.0001, 0.75, 80, true, Unchanged, 0},
	} {
		d := standardDay()
		c.change(d)
		r := d.play(t)
		t.Logf("%-42s unserved %.4f cost %.3f orders %d highest %d %v", name, r.unserved, r.cost, r.orders, r.highest, r.reasons)
		must.LessEq(t, c.unserved, r.unserved, must.Sprint(name))
		must.LessEq(t, c.cost, r.cost, must.Sprint(name))
		must.LessEq(t, c.orders, r.orders, must.Sprint(name))
		must.True(t, c.mayReachMax || r.highest < len(dayCentres)*d.limits.Max, must.Sprint(name))
		must.GreaterEq(t, c.repeats, r.reasons[c.reason], must.Sprint(name))
	}
}

// Guards against a window shorter than the waves, which gives upstreams up in each trough, and logs the figures of other parameters.
func TestDay_OtherParameters(t *testing.T) {
	play := func(window time.Duration, use float64) dayResult {
		calm, lost := standardDay(), standardDay()
		calm.config.Window, calm.config.TargetUse, calm.config.DownUse = window, use, use-0.1
		lost.config = calm.config
		lost.loseB()
		r, hit := calm.play(t), lost.play(t)
		t.Logf("window %v use %.2f: cost %.3f orders %d unserved %.4f, data centre lost %.4f", window, use, r.cost, r.orders, r.unserved, hit.unserved)
		return r
	}
	usual := play(16*time.Second, 0.75)
	must.Greater(t, 4*usual.orders, play(6*time.Second, 0.75).orders)
	play(30*time.Second, 0.75)
	for _, use := range []float64{0.65, 0.7, 0.8, 0.9} {
		play(16*time.Second, use)
	}
}

// Guards against any course of demand and faults in which too few upstreams are ordered for the present demand, limits are broken, or a holder that
// is new or has just changed a number gives upstreams up.
func TestDay_Property(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := standardDay()
		d.length = 90 * time.Second
		d.setBoot(time.Duration(rapid.IntRange(0, 8).Draw(rt, "boot")) * time.Second)
		d.limits.Min = rapid.IntRange(0, 2).Draw(rt, "min")
		d.limits.Max = rapid.IntRange(2, 9).Draw(rt, "max")
		levels := rapid.SliceOfN(rapid.IntRange(0, 200), 9, 9).Draw(rt, "demand")
		faults := rapid.SliceOfN(rapid.IntRange(0, 5), 9, 9).Draw(rt, "faults")
		fault := func(at time.Duration, number int) bool { return faults[at/(10*time.Second)] == number }
		d.demand = func(at time.Duration) float64 { return float64(levels[at/(10*time.Second)]) }
		d.lostB = func(at time.Duration) bool { return fault(at, 1) }
		d.takeover = func(at time.Duration) bool { return fault(at, 2) && at%(5*time.Second) == 0 }
		d.outcome = func(at time.Duration) (Outcome, time.Duration) {
			switch {
			case fault(at, 3):
				return Unknown, at + 7*time.Second
			case fault(at, 4):
				return NotMade, never
			}
			return Accepted, at
		}
		d.boot = func(at time.Duration, _ string) time.Duration {
			if fault(at, 5) {
				return never
			}
			return at + d.limits.Boot
		}
		must.LessEq(rt, 3*90, d.play(rt).orders)
	})
}
