package bench

import (
	"math"
	"time"

	"github.com/jayridge/jayridge/process/load"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/request/retry"
)

// loadEvent is an event after which the load information of entries or sidecars is incomplete or outdated.
type loadEvent struct {
	name string
	// bounded makes the load bound a target. It is not set where all sidecars restart, because they then fill like a new fleet.
	bounded bool
	// trafficBefore is the traffic before the event, as a share of the traffic after it.
	trafficBefore float64
	apply         func(*fleet)
}

var loadEvents = []loadEvent{
	{"all entries replaced", true, 1, (*fleet).replaceEntries},
	{"all sidecars restarted", false, 1, (*fleet).restartSidecars},
	{"three times the traffic", true, 1.0 / 3, func(*fleet) {}},
}

const (
	// loadEventAt is the time of the event, when the load is steady; loadEventObserved is the measured time after it.
	loadEventAt       = 30 * time.Second
	loadEventObserved = 30 * time.Second
)

// loadEventResult has the worst load ratio and the request counts of the time after an event.
type loadEventResult struct {
	worstRatio        float64
	requests, refused int
}

// replaceEntries clears the load tables and retry budgets of all entries. Requests in progress continue.
func (f *fleet) replaceEntries() {
	for _, e := range f.entries {
		e.loads = load.NewTable(e.dataCentre, load.DefaultConfig())
		e.budget = retry.NewBudget(f.now(), retry.DefaultConfig())
	}
}

// restartSidecars ends all requests in progress while the engines stay warm. The entries retry them after the
// backoff, if the retry policy allows it.
func (f *fleet) restartSidecars() {
	for _, r := range f.runners {
		for len(r.running) > 0 {
			r.endRequest(r.running[0], result.ConnectionLost)
		}
		r.startSidecar()
	}
}

func runLoadEvent(o Options, d deployment, s loadEvent) *loadEventResult {
	f := newFleet(fleetOptions{
		seed: o.Seed, dataCentres: d.dataCentres, runners: d.runners, entriesPerDataCentre: d.entries, router: routeByView,
		startWarm: true, hintLoss: skewHintLoss,
	})
	r := &loadEventResult{}
	f.onAdmit = func(target *runner, j *job) {
		if f.elapsed >= loadEventAt {
			r.worstRatio = max(r.worstRatio, f.loadRatio(target, j))
		}
	}
	a := newArrivals(f, func(j *job, code result.Code) { r.recordEnd(j, code) })
	usualInterval := a.meanInterval
	a.meanInterval = time.Duration(math.Round(float64(usualInterval) / s.trafficBefore))
	f.after(loadEventAt, func() {
		a.meanInterval = usualInterval
		s.apply(f)
	})
	a.scheduleNext()
	f.run(loadEventAt + loadEventObserved)
	return r
}

func (r *loadEventResult) recordEnd(j *job, code result.Code) {
	if j.startedAt < loadEventAt {
		return
	}
	r.requests++
	if code.Outcome() == result.NotRun {
		r.refused++
	}
}

// measureLoadEvents measures the worst load ratio after events that make mean hints outdated or wrong.
func measureLoadEvents(o Options) []Figure {
	all := parallel(len(deployments)*len(loadEvents), func(i int) *loadEventResult {
		return runLoadEvent(o, deployments[len(deployments)-1-i/len(loadEvents)], loadEvents[i%len(loadEvents)])
	})
	var figures []Figure
	for i, d := range deployments {
		for k, s := range loadEvents {
			r := all[(len(deployments)-1-i)*len(loadEvents)+k]
			name := d.String() + ", " + s.name
			figures = append(figures,
				Figure{Measure: "load skew after events", Name: name + ", worst admission", Value: r.worstRatio, Bound: loadBound, Bounded: s.bounded},
				Figure{Measure: "load skew after events", Name: name + ", refused as not run", Value: fraction(r.refused, r.requests)})
		}
	}
	return figures
}
