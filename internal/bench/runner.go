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
	// promptTokenTime is the time to compute a prompt token that is not cached. An engine computes one prompt at a time.
	promptTokenTime = 5 * time.Microsecond
	// answerTokenTime is the time per generated token.
	answerTokenTime = 40 * time.Millisecond
	// meanWork is the mean estimate of a request of the chats below, in tokens.
	meanWork = 5300
	// capacityRequests is the number of average requests that an engine runs at once. The peak of the design scale, 37 M tokens/s on
	// 10,000 runners at answerTokenTime, is 148 concurrent answers on a runner, 74% of it.
	capacityRequests = 200
	engineCapacity   = capacityRequests * meanWork
	// cacheTokens is the size of an engine's prefix cache, in tokens.
	cacheTokens = 5_000_000
	// reportInterval is the time between two load reports of an engine, reportLag the age of a report when the sidecar gets it.
	reportInterval = 500 * time.Millisecond
	reportLag      = 300 * time.Millisecond
	// coldInitialRequests is the number of concurrent requests that an engine can run right after its start. Each answer raises it by
	// one; after warmAfterAnswers answers the engine is warm.
	coldInitialRequests = 2
	warmAfterAnswers    = 62
)

// engineRequest is a request that runs in an engine.
type engineRequest struct {
	job    *job
	ticket admission.Ticket
	index  int
	done   bool
}

// runner simulates an engine together with the real decisions of its sidecar.
type runner struct {
	fleet                         *fleet
	id, dataCentre                string
	listed, departed              bool
	state                         int
	admission                     *admission.Controller
	meanEstimator                 *load.MeanEstimator
	reportSampler                 *load.Sampler
	work                          uint64
	running                       []*engineRequest
	startCount, answersSinceStart int
	crashes                       int
	promptQueueEnd                time.Duration
	cache                         *simplelru.LRU[uint64, int]
	cachedTokens                  int
	reusedTokens, computedTokens  uint64
}

func (f *fleet) addRunner(dataCentre string, warm bool) *runner {
	r := &runner{fleet: f, id: fmt.Sprintf("runner-%04d", len(f.runners)), dataCentre: dataCentre, listed: true}
	r.cache, _ = simplelru.NewLRU(1<<30, func(chat uint64, tokens int) { r.onEvict(chat, tokens) })
	if warm {
		r.answersSinceStart = warmAfterAnswers
	}
	f.runners = append(f.runners, r)
	f.byID[r.id] = r
	f.activeRunners++
	r.startSidecar()
	f.every(time.Duration(f.rng.Int64N(int64(reportInterval))), reportInterval, r.reportLoad)
	return r
}

// startSidecar gives the runner a new sidecar, which has only the rules and the engine's load report.
func (r *runner) startSidecar() {
	cfg := admission.DefaultConfig()
	cfg.DefaultCapacity = engineCapacity
	r.admission = admission.New(cfg)
	r.meanEstimator = load.NewMeanEstimator(load.DefaultEstimatorConfig())
	r.reportSampler = load.NewSampler()
	r.reportSampler.SetEntries(r.fleet.now(), r.fleet.opts.dataCentres*r.fleet.opts.entriesPerDataCentre)
	r.admission.SetLimits(r.fleet.now(), r.fleet.admissionLimits(false))
	r.admission.Report(r.fleet.now(), r.engineLoad())
}

func (r *runner) loadKey() load.Upstream {
	return load.Upstream{ID: r.id, DataCentre: r.dataCentre, Group: loadGroup}
}

// beginLeaving refuses new requests from now on. Entries see it in the instance list later.
func (r *runner) beginLeaving() {
	r.listed = false
	r.admission.SetLeaving()
	r.fleet.activeRunners--
	r.departed = true
	r.fleet.totalWork -= r.work
}

func (r *runner) engineLoad() services.EngineLoad {
	cold := r.answersSinceStart < warmAfterAnswers
	prefixes := r.cache.Len()
	if !cold {
		// A warm engine also reports prefixes of chats that are not simulated.
		prefixes += 1000
	}
	return services.EngineLoad{
		StartID: strconv.Itoa(r.startCount), WorkUnits: r.work, Capacity: engineCapacity, CachedPrefixes: prefixes, Cold: cold,
	}
}

func (r *runner) reportLoad() {
	seen := r.engineLoad()
	r.fleet.after(reportLag, func() { r.admission.Report(r.fleet.now(), seen) })
}

// adopt applies a newer rules version.
func (r *runner) adopt(state int) {
	if state <= r.state {
		return
	}
	r.state = state
	r.admission.SetLimits(r.fleet.now(), r.fleet.admissionLimits(r.fleet.states[state].drained == r.dataCentre))
}

// handleOpen admits or refuses a request as the sidecar does.
func (r *runner) handleOpen(j *job, hint uint32, state int) {
	now := r.fleet.now()
	r.adopt(state)
	var ticket admission.Ticket
	if !r.fleet.opts.withoutLimit {
		r.meanEstimator.AddHint(now, j.entry.id, hint)
		if mean, ok := r.meanEstimator.Mean(now); ok {
			r.admission.SetMean(now, mean)
		}
		var refusal admission.Refusal
		ticket, refusal = r.admission.Admit(now, admission.Request{Team: j.team, WorkUnits: j.estimatedWork()})
		if refusal.Refused() {
			r.sendAnswer(j, refusal.Code, false)
			return
		}
	}
	j.admitted = true
	r.startRequest(&engineRequest{job: j, ticket: ticket})
}

// sendAnswer sends the result of an attempt to the entry, with a load report if the sampler allows one.
func (r *runner) sendAnswer(j *job, code result.Code, accepted bool) {
	report, state := r.admission.Load(), r.fleet.advertisedState(r.state)
	sent := !r.departed && r.reportSampler.Allow(r.fleet.now(), report.WorkUnits)
	r.fleet.after(frameLatency, func() {
		if sent {
			j.entry.loads.Report(r.fleet.now(), r.loadKey(), report)
		}
		j.entry.handleAnswer(j, r, state, code, accepted)
	})
}

// startRequest runs a request in the engine. A cold engine crashes if the request exceeds its concurrency limit.
func (r *runner) startRequest(req *engineRequest) {
	req.index = len(r.running)
	r.running = append(r.running, req)
	r.addWork(int64(req.job.estimatedWork()))
	r.fleet.onAdmit(r, req.job)
	if r.answersSinceStart < warmAfterAnswers && len(r.running) > coldInitialRequests+r.answersSinceStart {
		r.crashes++
		r.restartEngine()
		return
	}
	cached, _ := r.cache.Get(req.job.chat)
	reused := min(cached, req.job.prompt)
	r.reusedTokens += uint64(reused)
	r.computedTokens += uint64(req.job.prompt - reused)
	r.promptQueueEnd = max(r.promptQueueEnd, r.fleet.elapsed) + time.Duration(req.job.prompt-reused)*promptTokenTime
	r.fleet.after(r.promptQueueEnd-r.fleet.elapsed, func() { r.firstByte(req) })
}

func (r *runner) firstByte(req *engineRequest) {
	if req.done {
		return
	}
	req.job.firstByteAt = r.fleet.elapsed
	r.admission.FirstByte(r.fleet.now(), req.ticket)
	r.cachePrompt(req.job.chat, req.job.prompt)
	r.fleet.after(time.Duration(req.job.answer)*answerTokenTime, func() {
		if req.done {
			return
		}
		r.answersSinceStart++
		r.cachePrompt(req.job.chat, req.job.prompt+req.job.answer)
		r.endRequest(req, result.OK)
	})
}

func (r *runner) endRequest(req *engineRequest, code result.Code) {
	req.done = true
	last := len(r.running) - 1
	r.running[req.index] = r.running[last]
	r.running[req.index].index = req.index
	r.running = r.running[:last]
	r.addWork(-int64(req.job.estimatedWork()))
	r.admission.Done(r.fleet.now(), req.ticket, admission.Completion{WorkUnits: uint32(req.job.answer), OK: code == result.OK})
	r.sendAnswer(req.job, code, true)
}

func (r *runner) addWork(units int64) {
	r.work = uint64(int64(r.work) + units)
	if !r.departed {
		r.fleet.totalWork = uint64(int64(r.fleet.totalWork) + units)
	}
}

// restartEngine ends all requests as broken and clears the cache.
func (r *runner) restartEngine() {
	r.startCount++
	r.answersSinceStart = 0
	r.promptQueueEnd = 0
	r.cache.Purge()
	for len(r.running) > 0 {
		r.endRequest(r.running[0], result.UpstreamBroken)
	}
}

func (r *runner) cachePrompt(chat uint64, tokens int) {
	if before, found := r.cache.Get(chat); found {
		r.cachedTokens -= before
	} else {
		r.fleet.holders[chat] = append(r.fleet.holders[chat], r)
	}
	r.cachedTokens += tokens
	r.cache.Add(chat, tokens)
	for r.cachedTokens > cacheTokens {
		r.cache.RemoveOldest()
	}
}

func (r *runner) onEvict(chat uint64, tokens int) {
	r.cachedTokens -= tokens
	holders := r.fleet.holders[chat]
	index := slices.Index(holders, r)
	r.fleet.holders[chat] = slices.Delete(holders, index, index+1)
	if len(holders) == 1 {
		delete(r.fleet.holders, chat)
	}
}
