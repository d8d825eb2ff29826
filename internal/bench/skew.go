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
	// zipfExponent and zipfTopLoad define the popularity of chats. The most frequent chat alone causes zipfTopLoad times the mean
	// load of a runner.
	zipfExponent = 1.1
	zipfTopLoad  = 1.5
	zipfChats    = 200_000
	// skewWarmUp is the time until the load is steady. The figures of the warm-up are printed without targets.
	skewWarmUp = 30 * time.Second
)

// skewResult has the load ratios and request counts of a run with skewed traffic.
type skewResult struct {
	// steadyMax and warmUpMax are the highest ratios of an upstream's load to the mean, after and during the warm-up.
	steadyMax, warmUpMax float64
	// steadyRatios are the ratios at all admissions after the warm-up.
	steadyRatios []float64
	// requests, refused and overCapacity count requests after the warm-up: all, those refused as not run, and those admitted above
	// the engine's capacity.
	requests, refused, overCapacity int
	// warmUpRequests and warmUpRefused count the requests that start during the warm-up.
	warmUpRequests, warmUpRefused int
}

func measureSkew(o Options) []Figure {
	cases := []routingCase{
		{"jayridge", routeByView, false}, {"hashing without bounds", routeByView, true}, {"round robin", routeRoundRobin, true},
		{"least load", routeLeastLoad, true},
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

func skewFigures(d deployment, cases []routingCase, results []*skewResult) []Figure {
	var steady, growing, refused, overload []Baseline
	for i, c := range cases[1:] {
		r := results[i+1]
		steady = append(steady, Baseline{c.name, r.steadyMax})
		growing = append(growing, Baseline{c.name, r.warmUpMax})
		overload = append(overload, Baseline{c.name + " above capacity", fraction(r.overCapacity, r.requests)})
	}
	measured := results[0]
	refused = append(refused, overload...)
	slices.Sort(measured.steadyRatios)
	tail := measured.steadyRatios[len(measured.steadyRatios)*999/1000]
	return []Figure{
		{Measure: "load skew", Name: d.String() + ", worst admission", Value: measured.steadyMax, Bound: loadBound, Bounded: true, Baselines: steady},
		{Measure: "load skew", Name: d.String() + ", 99.9% of admissions", Value: tail},
		{Measure: "load skew", Name: d.String() + ", worst while the load grows from nothing", Value: measured.warmUpMax, Baselines: growing},
		{Measure: "load skew", Name: d.String() + ", refused as not run while the load grows from nothing", Value: fraction(measured.warmUpRefused, measured.warmUpRequests)},
		{Measure: "load skew", Name: d.String() + ", refused as not run", Value: fraction(measured.refused, measured.requests), Baselines: refused},
	}
}

func fraction(n, all int) float64 { return float64(n) / float64(max(all, 1)) }

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

func runSkew(o Options, d deployment, c routingCase) *skewResult {
	f := newFleet(fleetOptions{
		seed: o.Seed, dataCentres: d.dataCentres, runners: d.runners, entriesPerDataCentre: d.entries, router: c.router,
		startWarm: true, withoutLimit: c.withoutLimit, hintLoss: skewHintLoss,
	})
	r := &skewResult{}
	f.onAdmit = func(target *runner, j *job) { r.recordAdmission(f, target, j) }
	a := newArrivals(f, r.recordEnd)
	a.scheduleNext()
	f.run(skewWarmUp + skewTime(o, d))
	return r
}

// loadRatio returns the ratio of the upstream's load to the actual mean, both including the new request. The mean counts as at least that
// request, because a single request is not skew.
func (f *fleet) loadRatio(target *runner, j *job) float64 {
	return float64(target.work) / max(float64(f.totalWork)/float64(f.activeRunners), float64(j.estimatedWork()))
}

func (r *skewResult) recordAdmission(f *fleet, target *runner, j *job) {
	ratio := f.loadRatio(target, j)
	if f.elapsed < skewWarmUp {
		r.warmUpMax = max(r.warmUpMax, ratio)
		return
	}
	r.steadyRatios = append(r.steadyRatios, ratio)
	r.steadyMax = max(r.steadyMax, ratio)
	if target.work > engineCapacity {
		r.overCapacity++
	}
}

func (r *skewResult) recordEnd(j *job, code result.Code) {
	requests, refused := &r.requests, &r.refused
	if j.startedAt < skewWarmUp {
		requests, refused = &r.warmUpRequests, &r.warmUpRefused
	}
	*requests++
	if code.Outcome() == result.NotRun {
		*refused++
	}
}

// arrivals submits requests at random times, of chats drawn from a Zipf distribution.
type arrivals struct {
	fleet        *fleet
	rng          *rand.Rand
	zipf         *rand.Zipf
	meanInterval time.Duration
	onEnd        func(*job, result.Code)
}

func newArrivals(f *fleet, ended func(*job, result.Code)) *arrivals {
	rng := rand.New(rand.NewPCG(f.opts.seed, 6))
	perSecond := skewUtilisation * capacityRequests * float64(f.opts.runners) / skewAnswerTime.Seconds()
	return &arrivals{
		fleet: f, rng: rng, zipf: rand.NewZipf(rng, zipfExponent, zipfOffset(f.opts.runners), zipfChats),
		meanInterval: time.Duration(float64(time.Second) / perSecond), onEnd: ended,
	}
}

// skewAnswerTime is the mean time of an answer whose prompt is cached.
const skewAnswerTime = expectedAnswer * answerTokenTime

// zipfOffset returns the smallest integer offset of the distribution at which the most frequent chat causes at most zipfTopLoad times the
// mean load of a runner.
func zipfOffset(runners int) float64 {
	for v := 1.0; ; v++ {
		if zipfTopShare(v) <= zipfTopLoad/float64(runners) {
			return v
		}
	}
}

func (a *arrivals) scheduleNext() {
	a.fleet.after(time.Duration(a.rng.ExpFloat64()*float64(a.meanInterval)), func() {
		a.submit(a.zipf.Uint64())
		a.scheduleNext()
	})
}

func (a *arrivals) submit(rank uint64) {
	// Seeding with the rank gives a chat the same id, team and prompt length in all of its requests.
	chatRNG := rand.New(rand.NewPCG(a.fleet.opts.seed, rank))
	j := &job{chat: chatRNG.Uint64(), team: teamOf(chatRNG), answer: answerTokens(a.rng), onDone: a.onEnd, deadline: a.fleet.elapsed + requestDeadline}
	j.prompt = 1000 + chatRNG.IntN(2*(meanWork-expectedAnswer-1000))
	a.fleet.submit(j)
}

// zipfTopShare returns the share of the most frequent chat at offset v, with the sum over the other chats approximated by an integral.
func zipfTopShare(v float64) float64 {
	tail := func(x float64) float64 { return math.Pow(x, 1-zipfExponent) / (zipfExponent - 1) }
	first := math.Pow(v, -zipfExponent)
	return first / (first + tail(v+0.5) - tail(v+zipfChats))
}
