package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/jayridge/jayridge/process/admission"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/candidate"
)

const (
	// designDataCentres and designRunners are those of the design scale.
	designDataCentres = 23
	designRunners     = 10_000
	// costRepetitions is the number of interleaved repetitions of which the median is reported.
	costRepetitions = 11
	costCalls       = 10_000
	allocationRuns  = 2_000
)

// measureCost measures times, which are printed only, allocations, and the ratio of the decision times with ten times as many runners.
func measureCost(o Options) []Figure {
	// Short runs build views of a tenth of the size, because building the view of 100,000 runners takes most of the time.
	small := designRunners
	if o.Short {
		small /= 10
	}
	views := parallel(2, func(i int) *candidate.View { return newDesignView(small * []int{1, 10}[i]) })
	perCall := interleavedMedians(costRepetitions, func(i int) time.Duration { return decisionTime(views[i], o.Seed) }, len(views))
	designView := views[0]
	if o.Short {
		designView = views[1]
	}
	nanoseconds := float64(perCall[slices.Index(views, designView)]) / costCalls
	admissionAllocations, admitTime := admissionCost(o.Seed)
	return []Figure{
		{Measure: "cost", Name: "a candidate decision among 10,000 runners (target 5000)", Value: nanoseconds, Unit: "ns"},
		{Measure: "cost", Name: "allocations of a candidate decision", Value: decisionAllocations(designView), Bounded: true},
		{
			Measure: "cost", Name: fmt.Sprintf("a decision among %d runners to one among %d", 10*small, small),
			Value: float64(perCall[1]) / float64(perCall[0]), Bound: 2, Bounded: true,
		},
		{Measure: "cost", Name: "an admission with its end (target 1000)", Value: admitTime, Unit: "ns"},
		{Measure: "cost", Name: "allocations of an admission with its end", Value: admissionAllocations, Bounded: true},
	}
}

func newDesignView(runners int) *candidate.View {
	d := deployment{runners: runners, dataCentres: designDataCentres}
	return candidate.Build(nil, d.upstreams(0), candidate.DefaultConfig())
}

// interleavedMedians measures n cases in turn and returns the median of the repetitions for each.
func interleavedMedians(repetitions int, measure func(int) time.Duration, n int) []time.Duration {
	times := make([][]time.Duration, n)
	for range repetitions {
		for i := range n {
			times[i] = append(times[i], measure(i))
		}
	}
	medians := make([]time.Duration, n)
	for i := range n {
		slices.Sort(times[i])
		medians[i] = times[i][repetitions/2]
	}
	return medians
}

func decisionTime(view *candidate.View, seed uint64) time.Duration {
	rng := rand.New(rand.NewPCG(seed, 4))
	buffer := make([]candidate.Candidate, 0, maxCandidates)
	start := time.Now()
	for range costCalls {
		view.Candidates(modelService, modelVersion, nil, rng.Uint64(), buffer)
	}
	return time.Since(start)
}

func decisionAllocations(view *candidate.View) float64 {
	buffer := make([]candidate.Candidate, 0, maxCandidates)
	chat := uint64(0)
	return testing.AllocsPerRun(allocationRuns, func() {
		chat += 0x9e3779b97f4a7c15
		view.Candidates(modelService, modelVersion, nil, chat, buffer)
	})
}

// admissionCost returns the allocations and the nanoseconds of an admission with its first byte and end, on an upstream with many
// requests of ten teams in progress.
func admissionCost(seed uint64) (allocations, nanoseconds float64) {
	c := admission.New(admission.DefaultConfig())
	now := virtualEpoch
	c.SetLimits(now, admission.Limits{Bound: loadBound})
	c.Report(now, services.EngineLoad{StartID: "1", Capacity: engineCapacity, CachedPrefixes: 100})
	rng := rand.New(rand.NewPCG(seed, 5))
	open := make([]admission.Ticket, capacityRequests/2)
	teams := make([]string, 10)
	for i := range teams {
		teams[i] = "team-" + strconv.Itoa(i)
	}
	step := 0
	cycle := func() {
		now = now.Add(time.Millisecond)
		slot := step % len(open)
		c.FirstByte(now, open[slot])
		c.Done(now, open[slot], admission.Completion{WorkUnits: expectedAnswer, OK: true})
		c.SetMean(now, engineCapacity/2)
		open[slot], _ = c.Admit(now, admission.Request{Team: teams[rng.IntN(len(teams))], WorkUnits: meanWork})
		step++
	}
	for range 10 * len(open) {
		cycle()
	}
	allocations = testing.AllocsPerRun(allocationRuns, cycle)
	median := interleavedMedians(costRepetitions, func(int) time.Duration {
		start := time.Now()
		for range costCalls {
			cycle()
		}
		return time.Since(start)
	}, 1)
	return allocations, float64(median[0]) / costCalls
}
