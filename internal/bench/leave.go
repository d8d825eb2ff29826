package bench

import (
	"slices"
	"time"

	"github.com/jayridge/jayridge/request/result"
)

const (
	// leaveUtilisation leaves the other two data centres room for the whole load.
	leaveUtilisation = 0.4
	// leaveEntries is the number of entries in a data centre; two of them watch the configuration, the others hear of it.
	leaveEntries = 6
	// drainTime is the time after which a drained data centre receives no new work.
	drainTime = 3 * time.Second
	// powerLead is the time between the start of the cold engines and the rule that takes the data centre back.
	powerLead = 2 * time.Second
	// soonTime is about the time in which the cold engines become warm.
	soonTime = 2 * time.Minute
)

// leaveTimes are the virtual times of a run.
type leaveTimes struct{ warm, drain, undrain, end time.Duration }

// leaveTime starts the steady part when the caches have filled: their reuse falls from 0.92 to 0.77 in the first three minutes.
var leaveTime = leaveTimes{warm: 3 * time.Minute, drain: 6 * time.Minute, undrain: 9 * time.Minute, end: 17 * time.Minute}

// leaveResult is what a run shows.
type leaveResult struct {
	times leaveTimes
	f     *fleet
	// late counts admissions in the drained data centre after drainTime.
	late int
	// admitted and answered are the work units of the time of the drain, those answered within the deadline included.
	admitted, answered uint64
	// asked and ok are requests: all, and those answered within the deadline.
	asked, ok int
	crashes   int
	// steady and after are the times to first token before the drain and after the return; soon are those of soonTime after it.
	steady, after, soon []time.Duration
}

// measureLeave drains a data centre and takes it back with cold engines.
func measureLeave(o Options) []Figure {
	cases := []struct {
		router       router
		withoutLimit bool
		coldInitial  int
	}{{byView, false, coldBears}, {byView, false, 0}, {byView, true, 0}}
	two := deployments[:2]
	if o.Short {
		cases = cases[:2]
	}
	all := parallel(len(two)*len(cases), func(i int) *leaveResult {
		d, c := two[i/len(cases)], cases[i%len(cases)]
		return runLeave(o, fleetOptions{
			seed: o.Seed, dataCentres: d.dataCentres, runners: d.runners, entriesPerDataCentre: leaveEntries, router: c.router,
			coldInitial: c.coldInitial, coldLimit: coldBears + warmServed, restartsWarm: true, withoutLimit: c.withoutLimit,
		})
	})
	var figures []Figure
	for i, d := range two {
		figures = append(figures, leaveFigures(d, all[i*len(cases):][:len(cases)])...)
	}
	return figures
}

func leaveFigures(d deployment, results []*leaveResult) []Figure {
	own := results[0]
	compare := func(value func(*leaveResult) float64) []Baseline {
		var all []Baseline
		for i, name := range []string{"no cold-start ramp", "hashing without bounds"}[:len(results)-1] {
			all = append(all, Baseline{name, value(results[i+1])})
		}
		return all
	}
	answered := func(r *leaveResult) float64 { return float64(r.answered) / float64(r.admitted) }
	answeredOfAll := func(r *leaveResult) float64 { return partOf(r.ok, r.asked) }
	crashes := func(r *leaveResult) float64 { return float64(r.crashes) }
	slowdown := func(r *leaveResult) float64 { return float64(p95(r.after)) / float64(p95(r.steady)) }
	const measure = "data centre leaves"
	return []Figure{
		{Measure: measure, Name: d.String() + ", admissions in it after 3 s", Value: float64(own.late), Bounded: true},
		{Measure: measure, Name: d.String() + ", admitted work answered in time", Value: answered(own), Bound: 0.999, Bounded: true, AtLeast: true, Baselines: compare(answered)},
		// Admitted work alone would hide upstreams that refuse all work. The target is the same.
		{Measure: measure, Name: d.String() + ", requests answered in time", Value: partOf(own.ok, own.asked), Bound: 0.999, Bounded: true, AtLeast: true, Baselines: compare(answeredOfAll)},
		{Measure: measure, Name: d.String() + ", cold-start limits exceeded on its return", Value: crashes(own), Bounded: true, Baselines: compare(crashes)},
		{Measure: measure, Name: d.String() + ", first-token p95 after its return to steady", Value: slowdown(own), Bound: 1.5, Bounded: true, Baselines: compare(slowdown)},
		{Measure: measure, Name: d.String() + ", the same within 2 min of its return", Value: float64(p95(own.soon)) / float64(p95(own.steady))},
		{Measure: measure, Name: d.String() + ", steady first-token p95", Value: float64(p95(own.steady).Microseconds()) / 1000, Unit: "ms"},
	}
}

func p95(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)*95/100]
}

func runLeave(o Options, opts fleetOptions) *leaveResult {
	f := newFleet(opts)
	r := &leaveResult{times: leaveTime, f: f}
	left := dataCentreName(1)
	f.onAdmit = func(at *runner, _ *job) {
		if at.dataCentre == left && f.elapsed > r.times.drain+drainTime && f.elapsed < r.times.undrain {
			r.late++
		}
	}
	startChats(f, opts.runners, leaveUtilisation, r.ended)
	f.after(r.times.drain, func() { f.publish(left, true) })
	f.after(r.times.undrain-powerLead, func() { f.restart(left) })
	f.after(r.times.undrain, func() { f.publish("", true) })
	f.run(r.times.end)
	for _, at := range f.runners {
		r.crashes += at.crashes
	}
	return r
}

// restart starts the engines of a data centre anew.
func (f *fleet) restart(dataCentre string) {
	for _, r := range f.runners {
		if r.dataCentre == dataCentre {
			r.restart()
		}
	}
}

func (r *leaveResult) ended(j *job, code result.Code) {
	first := j.first - j.start
	switch {
	case j.start < r.times.warm:
		return
	case j.start < r.times.drain:
		r.steady = append(r.steady, first)
		return
	case j.start >= r.times.undrain && code == result.OK:
		r.after = append(r.after, first)
		if j.start < r.times.undrain+soonTime {
			r.soon = append(r.soon, first)
		}
	}
	r.asked++
	if j.admitted {
		r.admitted += uint64(j.work())
	}
	if code == result.OK && r.f.elapsed <= j.deadline {
		r.ok++
		r.answered += uint64(j.work())
	}
}
