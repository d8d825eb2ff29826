package bench

import (
	"slices"
	"time"

	"github.com/jayridge/jayridge/request/result"
)

const (
	// At leaveUtilisation, two data centres can carry the load of all three.
	leaveUtilisation = 0.4
	// leaveEntriesPerDataCentre is the number of entries in a data centre. Two of them watch the configuration, the others get it by gossip.
	leaveEntriesPerDataCentre = 6
	// drainTime is the time after which a drained data centre must receive no new work.
	drainTime = 3 * time.Second
	// engineStartLead is the time between the start of the cold engines and the undrain rule.
	engineStartLead = 2 * time.Second
	// warmingTime is about the time in which the cold engines become warm.
	warmingTime = 2 * time.Minute
)

// leaveTimes are virtual times from the start of a run.
type leaveTimes struct{ steadyStart, drain, undrain, end time.Duration }

// leaveSchedule starts the steady part after 3 minutes, in which the caches fill and their reuse falls from 0.92 to 0.77.
var leaveSchedule = leaveTimes{steadyStart: 3 * time.Minute, drain: 6 * time.Minute, undrain: 9 * time.Minute, end: 17 * time.Minute}

// leaveResult collects the admissions, requests and times of a run.
type leaveResult struct {
	times leaveTimes
	fleet *fleet
	// lateAdmissions counts admissions in the drained data centre after drainTime.
	lateAdmissions int
	// admittedWork and answeredWork are work units of requests from the start of the drain on: those admitted, and those answered
	// within the deadline.
	admittedWork, answeredWork uint64
	// requests counts all requests from the start of the drain on, answeredInTime those answered within the deadline.
	requests, answeredInTime int
	crashes                  int
	// steady and afterReturn are the times to first token before the drain and after the undrain. whileWarming are those of the
	// first warmingTime after the undrain.
	steady, afterReturn, whileWarming []time.Duration
}

// measureLeave drains a data centre and ends the drain with cold engines.
func measureLeave(o Options) []Figure {
	cases := []struct {
		router       routeFunc
		withoutLimit bool
		coldInitial  int
	}{{routeByView, false, coldInitialRequests}, {routeByView, false, 0}, {routeByView, true, 0}}
	smallDeployments := deployments[:2]
	if o.Short {
		cases = cases[:2]
	}
	all := parallel(len(smallDeployments)*len(cases), func(i int) *leaveResult {
		d, c := smallDeployments[i/len(cases)], cases[i%len(cases)]
		return runLeave(o, fleetOptions{
			seed: o.Seed, dataCentres: d.dataCentres, runners: d.runners, entriesPerDataCentre: leaveEntriesPerDataCentre, router: c.router,
			coldInitial: c.coldInitial, coldLimit: coldInitialRequests + warmAfterAnswers, startWarm: true, withoutLimit: c.withoutLimit,
		})
	})
	var figures []Figure
	for i, d := range smallDeployments {
		figures = append(figures, leaveFigures(d, all[i*len(cases):][:len(cases)])...)
	}
	return figures
}

func leaveFigures(d deployment, results []*leaveResult) []Figure {
	measured := results[0]
	compare := func(value func(*leaveResult) float64) []Baseline {
		var all []Baseline
		for i, name := range []string{"no cold-start ramp", "hashing without bounds"}[:len(results)-1] {
			all = append(all, Baseline{name, value(results[i+1])})
		}
		return all
	}
	answered := func(r *leaveResult) float64 { return float64(r.answeredWork) / float64(r.admittedWork) }
	answeredOfAll := func(r *leaveResult) float64 { return fraction(r.answeredInTime, r.requests) }
	crashes := func(r *leaveResult) float64 { return float64(r.crashes) }
	slowdown := func(r *leaveResult) float64 { return float64(p95(r.afterReturn)) / float64(p95(r.steady)) }
	const measure = "data centre leaves"
	return []Figure{
		{Measure: measure, Name: d.String() + ", admissions in it after 3 s", Value: float64(measured.lateAdmissions), Bounded: true},
		{Measure: measure, Name: d.String() + ", admitted work answered in time", Value: answered(measured), Bound: 0.999, Bounded: true, AtLeast: true, Baselines: compare(answered)},
		// The share of admitted work would not show upstreams that refuse all work, so all requests have the same target.
		{Measure: measure, Name: d.String() + ", requests answered in time", Value: fraction(measured.answeredInTime, measured.requests), Bound: 0.999, Bounded: true, AtLeast: true, Baselines: compare(answeredOfAll)},
		{Measure: measure, Name: d.String() + ", cold-start limits exceeded on its return", Value: crashes(measured), Bounded: true, Baselines: compare(crashes)},
		{Measure: measure, Name: d.String() + ", first-token p95 after its return to steady", Value: slowdown(measured), Bound: 1.5, Bounded: true, Baselines: compare(slowdown)},
		{Measure: measure, Name: d.String() + ", the same within 2 min of its return", Value: float64(p95(measured.whileWarming)) / float64(p95(measured.steady))},
		{Measure: measure, Name: d.String() + ", steady first-token p95", Value: float64(p95(measured.steady).Microseconds()) / 1000, Unit: "ms"},
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
	r := &leaveResult{times: leaveSchedule, fleet: f}
	drained := dataCentreName(1)
	f.onAdmit = func(target *runner, _ *job) {
		if target.dataCentre == drained && f.elapsed > r.times.drain+drainTime && f.elapsed < r.times.undrain {
			r.lateAdmissions++
		}
	}
	startChats(f, opts.runners, leaveUtilisation, r.recordEnd)
	f.after(r.times.drain, func() { f.publish(drained, true) })
	f.after(r.times.undrain-engineStartLead, func() { f.restartDataCentre(drained) })
	f.after(r.times.undrain, func() { f.publish("", true) })
	f.run(r.times.end)
	for _, target := range f.runners {
		r.crashes += target.crashes
	}
	return r
}

// restartDataCentre restarts the engines of a data centre.
func (f *fleet) restartDataCentre(dataCentre string) {
	for _, r := range f.runners {
		if r.dataCentre == dataCentre {
			r.restartEngine()
		}
	}
}

func (r *leaveResult) recordEnd(j *job, code result.Code) {
	firstTokenTime := j.firstByteAt - j.startedAt
	switch {
	case j.startedAt < r.times.steadyStart:
		return
	case j.startedAt < r.times.drain:
		r.steady = append(r.steady, firstTokenTime)
		return
	case j.startedAt >= r.times.undrain && code == result.OK:
		r.afterReturn = append(r.afterReturn, firstTokenTime)
		if j.startedAt < r.times.undrain+warmingTime {
			r.whileWarming = append(r.whileWarming, firstTokenTime)
		}
	}
	r.requests++
	if j.admitted {
		r.admittedWork += uint64(j.estimatedWork())
	}
	if code == result.OK && r.fleet.elapsed <= j.deadline {
		r.answeredInTime++
		r.answeredWork += uint64(j.estimatedWork())
	}
}
