package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jayridge/jayridge/request/result"
)

const (
	skewUtilisation = 0.7
	skewHintLoss    = 0.5
	// zipfExponent and zipfTopRunners shape the popularity of chats: the most frequent one alone brings this multiple of the
	// mean load of a runner.
	zipfExponent   = 1.1
	zipfTopRunners = 1.5
	zipfChats      = 200_000
	// skewWarmUp is the time until the load is steady; the figures of the growth before are printed.
	skewWarmUp = 30 * time.Second
)

// skewResult is what a run of the skewed traffic shows.
type skewResult struct {
	// steady and growing are the highest ratios of an upstream's load to the mean, after and within the warm-up.
	steady, growing float64
	// ratios are those of the steady part.
	ratios []float64
	// asked, refused and late count requests of the steady part: all, those refused as not run, and those admitted above the
	// engine's capacity.
	asked, refused, overload int
	// growingAsked and growingRefused count the requests that came in the warm-up.
	growingAsked, growingRefused int
}

func measureSkew(o Options) []Figure {
	cases := []reuseCase{
		{"jayridge", byView, false}, {"hashing without bounds", byView, true}, {"round robin", byRoundRobin, true},
		{"least load", byLeastLoad, true},
	}
	if o.Short {
		cases = cases[:2]
	}
	all := parallel(len(deployments)*len(cases), func(i int) *skewResult {
		return runSkew(o, deployments[len(deployments)-1-i/len(cases)], cases[i%len(cases)])
	})
	var figures []Figure
	for i := range deployments {
		results := all[(len(deployments)-1-i)*len(cases):][:len(cases)]
		figures = append(figures, skewFigures(deployments[i], cases, results)...)
	}
	return figures
}

func skewFigures(d deployment, cases []reuseCase, results []*skewResult) []Figure {
	var steady, growing, refused, overload []Baseline
	for i, c := range cases[1:] {
		r := results[i+1]
		steady = append(steady, Baseline{c.name, r.steady})
		growing = append(growing, Baseline{c.name, r.growing})
		overload = append(overload, Baseline{c.name + " above capacity", partOf(r.overload, r.asked)})
	}
	own := results[0]
	refused = append(refused, overload...)
	slices.Sort(own.ratios)
	tail := own.ratios[len(own.ratios)*999/1000]
	return []Figure{
		{Measure: "load skew", Name: d.String() + ", worst admission", Value: own.steady, Bound: loadBound, Bounded: true, Baselines: steady},
		{Measure: "load skew", Name: d.String() + ", 99.9% of admissions", Value: tail},
		{Measure: "load skew", Name: d.String() + ", worst while the load grows from nothing", Value: own.growing, Baselines: growing},
		{Measure: "load skew", Name: d.String() + ", refused as not run while the load grows from nothing", Value: partOf(own.growingRefused, own.growingAsked)},
		{Measure: "load skew", Name: d.String() + ", refused as not run", Value: partOf(own.refused, own.asked), Baselines: refused},
	}
}

func partOf(n, all int) float64 { return float64(n) / float64(max(all, 1)) }

func skewTime(o Options, d deployment) time.Duration {
	switch {
	case o.Short && d.runners > 100:
		return 10 * time.Second
	case o.Short || d.runners > 100:
		return time.Minute
	default:
		return 5 * time.Minute
	}
}

func runSkew(o Options, d deployment, c reuseCase) *skewResult {
	f := newFleet(fleetOptions{
		seed: o.Seed, dataCentres: d.dataCentres, runners: d.runners, entriesPerDataCentre: d.entries, router: c.router,
		restartsWarm: true, withoutLimit: c.withoutLimit, hintLoss: skewHintLoss,
	})
	r := &skewResult{}
	f.onAdmit = func(at *runner, j *job) { r.admitted(f, at, j) }
	a := newArrivals(f, r.ended)
	a.next()
	f.run(skewWarmUp + skewTime(o, d))
	return r
}

// ratio compares the load of the upstream with the true mean, both with the new work. A single request is no skew.
func (f *fleet) ratio(at *runner, j *job) float64 {
	return float64(at.work) / max(float64(f.work)/float64(f.alive), float64(j.work()))
}

func (r *skewResult) admitted(f *fleet, at *runner, j *job) {
	ratio := f.ratio(at, j)
	if f.elapsed < skewWarmUp {
		r.growing = max(r.growing, ratio)
		return
	}
	r.ratios = append(r.ratios, ratio)
	r.steady = max(r.steady, ratio)
	if at.work > engineCapacity {
		r.overload++
	}
}

func (r *skewResult) ended(j *job, code result.Code) {
	asked, refused := &r.asked, &r.refused
	if j.start < skewWarmUp {
		asked, refused = &r.growingAsked, &r.growingRefused
	}
	*asked++
	if code.Outcome() == result.NotRun {
		*refused++
	}
}

// arrivals are requests at random times of chats with a Zipf distribution.
type arrivals struct {
	f       *fleet
	rng     *rand.Rand
	zipf    *rand.Zipf
	between time.Duration
	ended   func(*job, result.Code)
}

func newArrivals(f *fleet, ended func(*job, result.Code)) *arrivals {
	rng := rand.New(rand.NewPCG(f.opts.seed, 6))
	perSecond := skewUtilisation * capacityRequests * float64(f.opts.runners) / skewAnswerTime.Seconds()
	return &arrivals{
		f: f, rng: rng, zipf: rand.NewZipf(rng, zipfExponent, zipfOffset(f.opts.runners), zipfChats),
		between: time.Duration(float64(time.Second) / perSecond), ended: ended,
	}
}

// skewAnswerTime is the mean time of an answer to a cached prompt.
const skewAnswerTime = expectedAnswer * answerTokenTime

// zipfOffset returns the offset of the distribution at which the first chat has its share of the traffic.
func zipfOffset(runners int) float64 {
	for v := 1.0; ; v++ {
		if zipfTop(v) <= zipfTopRunners/float64(runners) {
			return v
		}
	}
}

func (a *arrivals) next() {
	a.f.after(time.Duration(a.rng.ExpFloat64()*float64(a.between)), func() {
		a.ask(a.zipf.Uint64())
		a.next()
	})
}

func (a *arrivals) ask(rank uint64) {
	// The chat's rank gives its team and its prompt, so that both stay the same.
	own := rand.New(rand.NewPCG(a.f.opts.seed, rank))
	j := &job{chat: own.Uint64(), team: teamOf(own), answer: answerTokens(a.rng), done: a.ended, deadline: a.f.elapsed + requestDeadline}
	j.prompt = 1000 + own.IntN(2*(meanWork-expectedAnswer-1000))
	a.f.submit(j)
}

// zipfTop is the share of the first chat at an offset, by the integral of the distribution.
func zipfTop(v float64) float64 {
	tail := func(x float64) float64 { return math.Pow(x, 1-zipfExponent) / (zipfExponent - 1) }
	first := math.Pow(v, -zipfExponent)
	return first / (first + tail(v+0.5) - tail(v+zipfChats))
}
