package bench

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/jayridge/jayridge/process/admission"
	"github.com/jayridge/jayridge/process/load"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
)

const (
	loadBound      = 1.25
	expectedAnswer = 256
	// promptTokenTime is the time per prompt token that is not cached; an engine computes one prompt at a time.
	promptTokenTime = 5 * time.Microsecond
	// answerTokenTime is the time per generated token.
	answerTokenTime = 40 * time.Millisecond
	// meanWork is the mean estimate of a request of the chats below, in tokens.
	meanWork = 5300
	// capacityRequests is the number of mean requests that an engine runs at once. The design scale's peak, 37 M tokens/s on
	// 10,000 runners at answerTokenTime, is 148 answers at once on a runner, 74% of it.
	capacityRequests = 200
	engineCapacity   = capacityRequests * meanWork
	// cacheTokens is the size of an engine's prefix cache.
	cacheTokens = 5_000_000
	// reportInterval and reportLag are the time between two load reports and the age of one when it arrives.
	reportInterval = 500 * time.Millisecond
	reportLag      = 300 * time.Millisecond
	// coldBears is what a cold engine bears at first; each answer adds one request, up to warmServed answers.
	coldBears  = 2
	warmServed = 62
)

// run is a request in an engine.
type run struct {
	job    *job
	ticket admission.Ticket
	place  int
	ended  bool
}

// runner is a fake engine with its sidecar's decisions.
type runner struct {
	f                *fleet
	id, dataCentre   string
	listed, gone     bool
	state            int
	admission        *admission.Controller
	mean             *load.MeanEstimator
	reports          *load.Sampler
	work             uint64
	running          []*run
	starts, served   int
	crashes          int
	promptsDone      time.Duration
	cache            *simplelru.LRU[uint64, int]
	cached           int
	reused, computed uint64
}

func (f *fleet) addRunner(dataCentre string, warm bool) *runner {
	r := &runner{f: f, id: fmt.Sprintf("runner-%04d", len(f.runners)), dataCentre: dataCentre, listed: true}
	r.cache, _ = simplelru.NewLRU(1<<30, func(chat uint64, tokens int) { r.evicted(chat, tokens) })
	if warm {
		r.served = warmServed
	}
	f.runners = append(f.runners, r)
	f.byID[r.id] = r
	f.alive++
	r.startSidecar()
	f.every(time.Duration(f.rng.Int64N(int64(reportInterval))), reportInterval, r.report)
	return r
}

// startSidecar gives the runner a sidecar that knows nothing but the rules and the engine's report.
func (r *runner) startSidecar() {
	cfg := admission.DefaultConfig()
	cfg.DefaultCapacity = engineCapacity
	r.admission = admission.New(cfg)
	r.mean = load.NewMeanEstimator(load.DefaultEstimatorConfig())
	r.reports = load.NewSampler()
	r.reports.SetEntries(r.f.now(), r.f.opts.dataCentres*r.f.opts.entriesPerDataCentre)
	r.admission.SetLimits(r.f.now(), r.f.limits(false))
	r.admission.Report(r.f.now(), r.load())
}

func (r *runner) loadKey() load.Upstream {
	return load.Upstream{ID: r.id, DataCentre: r.dataCentre, Group: loadGroup}
}

// leave refuses new work from now on; the instance list shows it later.
func (r *runner) leave() {
	r.listed = false
	r.admission.SetLeaving()
	r.f.alive--
	r.gone = true
	r.f.work -= r.work
}

func (r *runner) load() services.EngineLoad {
	cold := r.served < warmServed
	prefixes := r.cache.Len()
	if !cold {
		// The fleet starts with warm engines, whose caches hold prefixes of no chat of the run.
		prefixes += 1000
	}
	return services.EngineLoad{
		StartID: strconv.Itoa(r.starts), WorkUnits: r.work, Capacity: engineCapacity, CachedPrefixes: prefixes, Cold: cold,
	}
}

func (r *runner) report() {
	seen := r.load()
	r.f.after(reportLag, func() { r.admission.Report(r.f.now(), seen) })
}

// adopt takes over a rules version.
func (r *runner) adopt(state int) {
	if state <= r.state {
		return
	}
	r.state = state
	r.admission.SetLimits(r.f.now(), r.f.limits(r.f.states[state].drained == r.dataCentre))
}

// open decides on a request as the sidecar does.
func (r *runner) open(j *job, hint uint32, state int) {
	now := r.f.now()
	r.adopt(state)
	var ticket admission.Ticket
	if !r.f.opts.withoutLimit {
		r.mean.Hint(now, j.entry.id, hint)
		if mean, ok := r.mean.Mean(now); ok {
			r.admission.SetMean(now, mean)
		}
		var refusal admission.Refusal
		ticket, refusal = r.admission.Admit(now, admission.Request{Team: j.team, WorkUnits: j.work()})
		if refusal.Refused() {
			r.answer(j, refusal.Code, false)
			return
		}
	}
	j.admitted = true
	r.start(&run{job: j, ticket: ticket})
}

// answer sends the end of an attempt, with a load report if the sampler allows one.
func (r *runner) answer(j *job, code result.Code, accepted bool) {
	report, state := r.admission.Load(), r.f.carried(r.state)
	sent := !r.gone && r.reports.Allow(r.f.now(), report.WorkUnits)
	r.f.after(hop, func() {
		if sent {
			j.entry.loads.Report(r.f.now(), r.loadKey(), report)
		}
		j.entry.heard(j, r, state, code, accepted)
	})
}

// start runs a request in the engine, which falls over if it is cold and does not bear it.
func (r *runner) start(x *run) {
	x.place = len(r.running)
	r.running = append(r.running, x)
	r.addWork(int64(x.job.work()))
	r.f.onAdmit(r, x.job)
	if r.served < warmServed && len(r.running) > coldBears+r.served {
		r.crashes++
		r.restart()
		return
	}
	cached, _ := r.cache.Get(x.job.chat)
	reused := min(cached, x.job.prompt)
	r.reused += uint64(reused)
	r.computed += uint64(x.job.prompt - reused)
	r.promptsDone = max(r.promptsDone, r.f.elapsed) + time.Duration(x.job.prompt-reused)*promptTokenTime
	r.f.after(r.promptsDone-r.f.elapsed, func() { r.firstByte(x) })
}

func (r *runner) firstByte(x *run) {
	if x.ended {
		return
	}
	x.job.first = r.f.elapsed
	r.admission.FirstByte(r.f.now(), x.ticket)
	r.store(x.job.chat, x.job.prompt)
	r.f.after(time.Duration(x.job.answer)*answerTokenTime, func() {
		if x.ended {
			return
		}
		r.served++
		r.store(x.job.chat, x.job.prompt+x.job.answer)
		r.end(x, result.OK)
	})
}

func (r *runner) end(x *run, code result.Code) {
	x.ended = true
	last := len(r.running) - 1
	r.running[x.place] = r.running[last]
	r.running[x.place].place = x.place
	r.running = r.running[:last]
	r.addWork(-int64(x.job.work()))
	r.admission.Done(r.f.now(), x.ticket, admission.Completion{WorkUnits: uint32(x.job.answer), OK: code == result.OK})
	r.answer(x.job, code, true)
}

func (r *runner) addWork(units int64) {
	r.work = uint64(int64(r.work) + units)
	if !r.gone {
		r.f.work = uint64(int64(r.f.work) + units)
	}
}

// restart breaks all answers and loses the cache.
func (r *runner) restart() {
	r.starts++
	r.served = 0
	r.promptsDone = 0
	r.cache.Purge()
	for len(r.running) > 0 {
		r.end(r.running[0], result.UpstreamBroken)
	}
}

func (r *runner) store(chat uint64, tokens int) {
	if before, found := r.cache.Get(chat); found {
		r.cached -= before
	} else {
		r.f.holders[chat] = append(r.f.holders[chat], r)
	}
	r.cached += tokens
	r.cache.Add(chat, tokens)
	for r.cached > cacheTokens {
		r.cache.RemoveOldest()
	}
}

func (r *runner) evicted(chat uint64, tokens int) {
	r.cached -= tokens
	holders := r.f.holders[chat]
	at := slices.Index(holders, r)
	r.f.holders[chat] = slices.Delete(holders, at, at+1)
	if len(holders) == 1 {
		delete(r.f.holders, chat)
	}
}
