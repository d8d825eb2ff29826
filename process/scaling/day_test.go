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

// policy decides during a day; *Decider is one.
type policy interface {
	Decide(now time.Time, s Snapshot) []Order
	Record(now time.Time, o Order, outcome Outcome)
}

// day is a day in virtual time: a demand, a platform that executes orders, and faults.
type day struct {
	limits Limits
	length time.Duration
	// demand is the number of requests that callers want to have in progress.
	demand func(at time.Duration) float64
	// boot returns the time until an upstream that is ordered registers; negative means never.
	boot func(at time.Duration, centre string) time.Duration
	// lost tells whether a data centre is lost, told whether the holder knows; otherwise registrations lapse after 6 s.
	lost func(at time.Duration, centre string) (lost, told bool)
	// outcome returns the outcome of a call and the time until it is executed; negative means never.
	outcome func(at time.Duration) (Outcome, time.Duration)
	// takeover tells whether a new holder starts, without state, rollout whether twice as many upstreams are registered because of a rollout.
	takeover, rollout func(at time.Duration) bool
	// pending are the calls that have not been executed.
	pending   []dayCall
	upstreams map[string][]*dayUpstream
}

type (
	dayUpstream struct{ readyAt, drainedAt time.Duration }
	dayCall     struct {
		at    time.Duration
		order Order
	}
)

// dayResult are the figures of a day.
type dayResult struct {
	// unserved is the fraction of the demand beyond the slots that serve, cost that of the upstreams at Max that are paid.
	unserved, cost float64
	orders         int
	// highest is the highest number of registered upstreams.
	highest int
	reasons map[Reason]int
}

// standardDay rises threefold and falls again, with waves of 13 s between half and one and a half times the mean.
func standardDay() *day {
	d := &day{
		length: 10 * time.Minute,
		demand: func(at time.Duration) float64 {
			mean := 20 + 38*math.Pow(math.Sin(math.Pi*at.Seconds()/600), 2)
			return mean * (1 + 0.5*math.Sin(2*math.Pi*at.Seconds()/13))
		},
		lost:     func(time.Duration, string) (bool, bool) { return false, false },
		outcome:  func(time.Duration) (Outcome, time.Duration) { return Accepted, 0 },
		takeover: func(time.Duration) bool { return false },
		rollout:  func(time.Duration) bool { return false },
	}
	d.setBoot(4 * time.Second)
	return d
}

func (d *day) setBoot(boot time.Duration) {
	d.limits = Limits{Min: 1, Max: 6, Boot: boot}
	d.boot = func(time.Duration, string) time.Duration { return boot }
}

// loseB takes a data centre away for a minute, from just before a crest on.
func (d *day) loseB(told bool) {
	d.lost = func(at time.Duration, centre string) (bool, bool) {
		return centre == "b" && at >= 275*time.Second && at < 335*time.Second, told
	}
}

// play plays a day and checks what must hold at any time.
func (d *day) play(t must.T, start func() policy) dayResult {
	epoch := time.Unix(1_700_000_000, 0)
	result := dayResult{reasons: make(map[Reason]int)}
	d.upstreams = make(map[string][]*dayUpstream)
	for _, name := range dayCentres {
		d.upstreams[name] = []*dayUpstream{{drainedAt: never}, {drainedAt: never}}
	}
	var holder policy
	var started, changed time.Duration
	demanded, unserved, paid := 0.0, 0.0, 0.0
	for at := time.Duration(0); at < d.length; at += dayTick {
		if holder == nil || d.takeover(at) {
			holder, started = start(), at
		}
		d.execute(at)
		snapshot, serving := d.snapshot(at)
		want := d.demand(at)
		demanded += want
		unserved += max(0, want-float64(serving*daySlots))
		registered := 0
		for i, name := range dayCentres {
			registered += snapshot.DataCentres[i].registered()
			for _, u := range d.upstreams[name] {
				if at < u.drainedAt {
					paid++
				}
			}
		}
		result.highest = max(result.highest, registered)
		decider, _ := holder.(*Decider)
		before := decider.targets()
		orders := holder.Decide(epoch.Add(at), snapshot)
		for name, target := range decider.targets() {
			reason := decider.centres[name].reason
			if previous, found := before[name]; !found || target == previous || reason == Unchanged {
				continue
			}
			tooEarly := at-started < decider.config.Window || at != changed && at-changed < decider.config.MinDownInterval
			must.False(t, reason == Surplus && (snapshot.Rollout || tooEarly))
			changed = at
		}
		d.checkServed(t, decider, snapshot)
		for _, o := range orders {
			must.Between(t, d.limits.Min, o.Desired, d.limits.Max)
			lost, told := d.lost(at, o.DataCentre)
			must.False(t, lost && told)
			outcome, after := d.outcome(at)
			if outcome != NotMade {
				result.orders++
				result.reasons[o.Reason]++
				if after >= 0 {
					d.pending = append(d.pending, dayCall{at + after, o})
				}
			}
			holder.Record(epoch.Add(at), o, outcome)
		}
	}
	result.unserved = unserved / demanded
	result.cost = paid / float64(len(dayCentres)*d.limits.Max) * dayTick.Seconds() / d.length.Seconds()
	return result
}

// targets returns the numbers of all data centres, none for another policy.
func (d *Decider) targets() map[string]int {
	all := make(map[string]int)
	if d != nil {
		for name, c := range d.centres {
			all[name] = c.target
		}
	}
	return all
}

// checkServed checks that the numbers suffice for the present demand unless they are at the maximum.
func (d *day) checkServed(t must.T, decider *Decider, s Snapshot) {
	if decider == nil {
		return
	}
	sum, atMax := 0, true
	for _, c := range decider.available() {
		sum += c.effective()
		atMax = atMax && c.target >= d.limits.Max
	}
	demand := 0
	for _, c := range s.DataCentres {
		demand += c.InProgress
	}
	must.True(t, atMax || sum*daySlots >= demand, must.Sprintf("%d for %d, %+v", sum, demand, s))
}

// execute executes the calls that are due: it starts upstreams, or drains those that were started last.
func (d *day) execute(at time.Duration) {
	var later []dayCall
	for _, call := range d.pending {
		if call.at > at {
			later = append(later, call)
			continue
		}
		name, running := call.order.DataCentre, 0
		for _, u := range d.upstreams[name] {
			if at < u.drainedAt {
				running++
			}
		}
		for ; running < call.order.Desired; running++ {
			ready := never
			if boot := d.boot(at, name); boot >= 0 {
				ready = at + boot
			}
			d.upstreams[name] = append(d.upstreams[name], &dayUpstream{ready, never})
		}
		for i := len(d.upstreams[name]) - 1; i >= 0 && running > call.order.Desired; i-- {
			if u := d.upstreams[name][i]; at < u.drainedAt {
				u.drainedAt = at
				running--
			}
		}
	}
	d.pending = later
}

// snapshot returns what the holder sees, and the number of upstreams that serve. They share the requests evenly and refuse those beyond 1.25 times
// their slots.
func (d *day) snapshot(at time.Duration) (Snapshot, int) {
	s := Snapshot{Limits: d.limits, Current: true, Rollout: d.rollout(at)}
	serving := 0
	for _, name := range dayCentres {
		lost, told := d.lost(at, name)
		lostBefore, _ := d.lost(at-6*time.Second, name)
		c := DataCentre{Name: name, Slots: daySlots, Lost: lost && told}
		for _, u := range d.upstreams[name] {
			if at >= u.readyAt && at < u.drainedAt {
				c.Ready++
			}
		}
		if !lost {
			c.InProgress = c.Ready // the share of the requests, for now
			serving += c.Ready
		}
		if lost && lostBefore {
			c.Ready = 0
		}
		s.DataCentres = append(s.DataCentres, c)
	}
	requests := min(d.demand(at), 1.25*float64(serving*daySlots))
	for i := range s.DataCentres {
		c := &s.DataCentres[i]
		c.InProgress = int(math.Round(requests * float64(c.InProgress) / float64(max(1, serving))))
		if s.Rollout {
			c.Ready *= 2
		}
	}
	return s, serving
}

func newDecider() policy { return New(DefaultConfig()) }

// follower orders what the present demand fills to a fraction, as a policy to compare with.
type follower struct {
	use  float64
	last map[string]int
}

func (f follower) Record(time.Time, Order, Outcome) {}

func (f follower) Decide(_ time.Time, s Snapshot) []Order {
	sum := 0
	for _, c := range s.DataCentres {
		sum += c.InProgress
	}
	var orders []Order
	n := int(math.Ceil(float64(sum) / daySlots / f.use))
	for i, c := range s.DataCentres {
		share := min(max(s.Min, (n+len(s.DataCentres)-1-i)/len(s.DataCentres)), s.Max)
		if f.last[c.Name] != share {
			orders = append(orders, Order{DataCentre: c.Name, Desired: share, Reason: Demand})
			f.last[c.Name] = share
		}
	}
	return orders
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
		"standard":                    {unserved: 0.0001, cost: 0.65, orders: 30},
		"boot 1 s":                    {change: func(d *day) { d.setBoot(time.Second) }, unserved: 0.0001, cost: 0.65, orders: 30},
		"boot 20 s":                   {change: func(d *day) { d.setBoot(20 * time.Second) }, unserved: 0.0001, cost: 0.7, orders: 30},
		"data centre lost at a crest": {change: func(d *day) { d.loseB(true) }, unserved: 0.001, cost: 0.7, orders: 40, mayReachMax: true},
		"the same, known by lapsed registrations": {
			change: func(d *day) { d.loseB(false) }, unserved: 0.002, cost: 0.7, orders: 40, mayReachMax: true,
		},
		"boot three times as late": {change: func(d *day) {
			d.boot = func(time.Duration, string) time.Duration { return 3 * d.limits.Boot }
		}, unserved: 0.001, cost: 0.65, orders: 40, reason: NotFollowed, repeats: 3},
		"none boots in a data centre": {change: func(d *day) {
			d.boot = func(_ time.Duration, centre string) time.Duration {
				return map[string]time.Duration{"a": d.limits.Boot, "b": -1, "c": d.limits.Boot}[centre]
			}
		}, unserved: 0.001, cost: 0.7, orders: 50, reason: NotFollowed, repeats: 2},
		"one in three never boots": {change: func(d *day) {
			d.boot = func(time.Duration, string) time.Duration {
				boots++
				return []time.Duration{-1, d.limits.Boot, d.limits.Boot}[boots%3]
			}
		}, unserved: 0.001, cost: 0.75, orders: 70, reason: NotFollowed, repeats: 2},
		"calls lost, refused or executed 9 s late": {change: func(d *day) {
			d.outcome = func(time.Duration) (Outcome, time.Duration) {
				calls++
				return []Outcome{Accepted, Unknown, NotMade, Unknown}[calls%4], []time.Duration{0, -1, 0, 9 * time.Second}[calls%4]
			}
		}, unserved: 0.001, cost: 0.65, orders: 90, reason: Unconfirmed, repeats: 10},
		"older orders executed late": {change: func(d *day) {
			d.pending = []dayCall{{300 * time.Second, Order{DataCentre: "a", Desired: 1}}, {360 * time.Second, Order{DataCentre: "b", Desired: 6}}}
		}, unserved: 0.005, cost: 0.65, orders: 40, reason: NotFollowed, repeats: 2},
		"new holder every 37 s": {change: func(d *day) {
			d.takeover = func(at time.Duration) bool { return at%(37*time.Second) == 0 }
		}, unserved: 0.0001, cost: 0.75, orders: 80, mayReachMax: true},
		"rollout while demand falls": {change: func(d *day) {
			d.rollout = func(at time.Duration) bool { return at > 420*time.Second && at < 470*time.Second }
		}, unserved: 0.0001, cost: 0.65, orders: 30, mayReachMax: true},
	} {
		d := standardDay()
		if c.change != nil {
			c.change(d)
		}
		r := d.play(t, newDecider)
		t.Logf("%-42s unserved %.4f cost %.3f orders %d highest %d %v", name, r.unserved, r.cost, r.orders, r.highest, r.reasons)
		must.LessEq(t, c.unserved, r.unserved, must.Sprint(name))
		must.LessEq(t, c.cost, r.cost, must.Sprint(name))
		must.LessEq(t, c.orders, r.orders, must.Sprint(name))
		must.True(t, c.mayReachMax || r.highest < len(dayCentres)*d.limits.Max, must.Sprint(name))
		must.GreaterEq(t, c.repeats, r.reasons[c.reason], must.Sprint(name))
	}
}

// Guards against a window shorter than the waves, which gives upstreams up in each trough, and logs the figures of other choices.
func TestDay_OtherChoices(t *testing.T) {
	for _, use := range []float64{0.75, 0.5} {
		r := standardDay().play(t, func() policy { return follower{use, make(map[string]int)} })
		t.Logf("present demand, use %.2f: unserved %.4f cost %.3f orders %d", use, r.unserved, r.cost, r.orders)
		must.Greater(t, 0.01, r.unserved)
	}
	for _, window := range []time.Duration{6, 13, 16, 30, 60} {
		c := DefaultConfig()
		c.Window = window * time.Second
		if window < 16 {
			c.MinDownInterval = time.Second
		}
		r := standardDay().play(t, func() policy { return New(c) })
		t.Logf("window %v: unserved %.4f cost %.3f orders %d", c.Window, r.unserved, r.cost, r.orders)
	}
	for _, use := range []float64{0.65, 0.7, 0.75, 0.8, 0.9} {
		c := DefaultConfig()
		c.TargetUse, c.DownUse = use, use-0.1
		lost := standardDay()
		lost.loseB(true)
		calm, hit := standardDay().play(t, func() policy { return New(c) }), lost.play(t, func() policy { return New(c) })
		t.Logf("use %.2f: cost %.3f unserved %.4f; data centre lost: %.3f, %.4f", use, calm.cost, calm.unserved, hit.cost, hit.unserved)
	}
}

// Guards against any course of demand and faults in which too few upstreams are ordered for the present demand, limits are broken, or a new holder, a
// holder during a rollout, or one that has just changed a number gives upstreams up.
func TestDay_Property(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := standardDay()
		d.length = 90 * time.Second
		d.setBoot(time.Duration(rapid.IntRange(0, 8).Draw(rt, "boot")) * time.Second)
		d.limits.Min = rapid.IntRange(0, 2).Draw(rt, "min")
		d.limits.Max = rapid.IntRange(2, 9).Draw(rt, "max")
		levels := rapid.SliceOfN(rapid.IntRange(0, 200), 9, 9).Draw(rt, "demand")
		faults := rapid.SliceOfN(rapid.IntRange(0, 7), 9, 9).Draw(rt, "faults")
		fault := func(at time.Duration, number int) bool { return faults[int(at/(10*time.Second))%9] == number }
		d.demand = func(at time.Duration) float64 { return float64(levels[int(at/(10*time.Second))]) }
		d.lost = func(at time.Duration, centre string) (bool, bool) {
			return centre == "b" && at > 0 && (fault(at, 1) || fault(at, 2)), fault(at, 1)
		}
		d.rollout = func(at time.Duration) bool { return fault(at, 3) }
		d.takeover = func(at time.Duration) bool { return fault(at, 4) && at%(5*time.Second) == 0 }
		d.outcome = func(at time.Duration) (Outcome, time.Duration) {
			switch {
			case fault(at, 5):
				return Unknown, 7 * time.Second
			case fault(at, 6):
				return NotMade, 0
			}
			return Accepted, 0
		}
		d.boot = func(at time.Duration, _ string) time.Duration {
			if fault(at, 7) {
				return -1
			}
			return d.limits.Boot
		}
		r := d.play(rt, newDecider)
		must.LessEq(rt, 3*90, r.orders)
	})
}
