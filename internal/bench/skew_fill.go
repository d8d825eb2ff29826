package bench

import (
	"math"
	"time"

	"github.com/jayridge/jayridge/process/load"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/request/retry"
)

// shock is an event after which entries or sidecars know less of the load than before.
type shock struct {
	name string
	// bounded says that the load bound is a target; sidecars that restart begin like a fleet that fills.
	bounded bool
	// before is the share of the usual traffic until the event.
	before float64
	happen func(*fleet)
}

var shocks = []shock{
	{"all entries replaced", true, 1, (*fleet).replaceEntries},
	{"all sidecars restarted", false, 1, (*fleet).restartSidecars},
	{"three times the traffic", true, 1.0 / 3, func(*fleet) {}},
}

const (
	// shockAt leaves time for a steady load; shockTime is the time that is judged.
	shockAt   = 30 * time.Second
	shockTime = 30 * time.Second
)

// shockResult is what the time after an event shows.
type shockResult struct {
	worst          float64
	asked, refused int
}

// replaceEntries makes all entries forget what they know; the requests in progress go on.
func (f *fleet) replaceEntries() {
	for _, e := range f.entries {
		e.loads = load.NewTable(e.dataCentre, load.DefaultConfig())
		e.budget = retry.NewBudget(f.now(), retry.DefaultConfig())
	}
}

// restartSidecars breaks all requests in progress beside warm engines; their entries try them again at once.
func (f *fleet) restartSidecars() {
	for _, r := range f.runners {
		for len(r.running) > 0 {
			r.end(r.running[0], result.ConnectionLost)
		}
		r.startSidecar()
	}
}

func runShock(o Options, d deployment, s shock) *shockResult {
	f := newFleet(fleetOptions{
		seed: o.Seed, dataCentres: d.dataCentres, runners: d.runners, entriesPerDataCentre: d.entries, router: byView,
		restartsWarm: true, hintLoss: skewHintLoss,
	})
	r := &shockResult{}
	f.onAdmit = func(at *runner, j *job) {
		if f.elapsed >= shockAt {
			r.worst = max(r.worst, f.ratio(at, j))
		}
	}
	a := newArrivals(f, func(j *job, code result.Code) { r.ended(j, code) })
	usual := a.between
	a.between = time.Duration(math.Round(float64(usual) / s.before))
	f.after(shockAt, func() {
		a.between = usual
		s.happen(f)
	})
	a.next()
	f.run(shockAt + shockTime)
	return r
}

func (r *shockResult) ended(j *job, code result.Code) {
	if j.start < shockAt {
		return
	}
	r.asked++
	if code.Outcome() == result.NotRun {
		r.refused++
	}
}

// measureShocks prints what happens to the load bound after events that make the hints old or wrong.
func measureShocks(o Options) []Figure {
	all := parallel(len(deployments)*len(shocks), func(i int) *shockResult {
		return runShock(o, deployments[len(deployments)-1-i/len(shocks)], shocks[i%len(shocks)])
	})
	var figures []Figure
	for i, d := range deployments {
		for k, s := range shocks {
			r := all[(len(deployments)-1-i)*len(shocks)+k]
			name := d.String() + ", " + s.name
			figures = append(figures,
				Figure{Measure: "load skew after events", Name: name + ", worst admission", Value: r.worst, Bound: loadBound, Bounded: s.bounded},
				Figure{Measure: "load skew after events", Name: name + ", refused as not run", Value: partOf(r.refused, r.asked)})
		}
	}
	return figures
}
