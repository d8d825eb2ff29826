package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jayridge/jayridge/process/admission"
	"github.com/jayridge/jayridge/process/load"
	"github.com/jayridge/jayridge/request/candidate"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/request/retry"
)

const (
	// frameLatency is the one-way latency of a frame between an entry and a sidecar.
	frameLatency  = time.Millisecond
	modelService  = "model"
	modelVersion  = "v1"
	loadGroup     = modelService + "/" + modelVersion
	maxCandidates = 8
	// listLag is the longest time until an entry reads a change of the instance list.
	listLag = 3 * time.Second
	// watchLag is the time until a process that watches the configuration has a new version.
	watchLag = 100 * time.Millisecond
)

// virtualEpoch is the time at which virtual time starts.
var virtualEpoch = time.Unix(1_700_000_000, 0)

// event is a call at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	call     func()
}

// eventLoop runs events in the order of their times; events of the same time run in the order of their creation.
type eventLoop struct {
	elapsed  time.Duration
	sequence uint64
	events   eventHeap
}

type eventHeap []*event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(e any)   { *h = append(*h, e.(*event)) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

func (l *eventLoop) now() time.Time { return virtualEpoch.Add(l.elapsed) }

func (l *eventLoop) after(d time.Duration, call func()) {
	l.sequence++
	heap.Push(&l.events, &event{at: l.elapsed + max(d, 0), sequence: l.sequence, call: call})
}

func (l *eventLoop) every(first, d time.Duration, call func()) {
	var again func()
	again = func() {
		call()
		l.after(d, again)
	}
	l.after(first, again)
}

func (l *eventLoop) run(until time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= until {
		e := heap.Pop(&l.events).(*event)
		l.elapsed = e.at
		e.call()
	}
	l.elapsed = until
}

// fleetOptions are the parameters of a simulated fleet.
type fleetOptions struct {
	seed                    uint64
	dataCentres, runners    int
	entriesPerDataCentre    int
	hintLoss                float64
	router                  routeFunc
	coldInitial, coldLimit  int
	startWarm, withoutLimit bool
}

// fleet simulates entries and runners with one virtual clock.
type fleet struct {
	eventLoop
	opts    fleetOptions
	rng     *rand.Rand
	runners []*runner
	byID    map[string]*runner
	entries []*entry
	// states are the published routing states. Entries and sidecars hold the index of the latest one that they received.
	states         []routingState
	policy         *retry.Policy
	holders        map[uint64][]*runner
	nextRoundRobin int
	// totalWork and activeRunners are the actual load of the service version and the number of its runners.
	totalWork     uint64
	activeRunners int
	// onAdmit is called after each admission; the loads include the admitted request.
	onAdmit func(r *runner, j *job)
}

// routingState is a membership together with a rules version.
type routingState struct {
	view    *candidate.View
	drained string
	// gossiped is set if frames and gossip carry the state's index, as they do for a rules version.
	gossiped bool
}

// job is one request of a caller.
type job struct {
	chat                   uint64
	team                   string
	prompt, answer         int
	startedAt, firstByteAt time.Duration
	deadline               time.Duration
	admitted               bool
	entry                  *entry
	attempts               []retry.Attempt
	candidates             []candidate.Candidate
	// allCandidates is the complete list. It is tried again from the start when the last candidate refuses because of load.
	allCandidates []candidate.Candidate
	onDone        func(*job, result.Code)
}

// estimatedWork is the entry's estimate in tokens. The length of the answer is not known, so it assumes the mean.
func (j *job) estimatedWork() uint32 { return uint32(j.prompt + expectedAnswer) }

// entry is a simulated entry. Its load table is updated only from the answers to its own requests and from the gossip of its peers.
type entry struct {
	fleet          *fleet
	id, dataCentre string
	state          int
	loads          *load.Table
	budget         *retry.Budget
}

func newFleet(opts fleetOptions) *fleet {
	f := &fleet{
		opts: opts, rng: rand.New(rand.NewPCG(opts.seed, 1)), byID: make(map[string]*runner),
		policy: retry.NewPolicy(retry.DefaultConfig()), holders: make(map[uint64][]*runner), onAdmit: func(*runner, *job) {},
	}
	for i := range opts.runners {
		f.addRunner(dataCentreName(i%opts.dataCentres), opts.startWarm)
	}
	f.publish("", false)
	for i := range opts.dataCentres * opts.entriesPerDataCentre {
		f.addEntry(i)
	}
	return f
}

func dataCentreName(i int) string { return fmt.Sprintf("dc-%02d", i) }

func (f *fleet) addEntry(i int) {
	dataCentre := dataCentreName(i % f.opts.dataCentres)
	e := &entry{
		fleet: f, id: fmt.Sprintf("entry-%d", i), dataCentre: dataCentre,
		loads: load.NewTable(dataCentre, load.DefaultConfig()), budget: retry.NewBudget(f.now(), retry.DefaultConfig()),
	}
	f.entries = append(f.entries, e)
	f.every(time.Duration(f.rng.Int64N(int64(time.Second))), time.Second, e.gossip)
}

// publish creates a routing state from the listed runners. A rules version goes to two watchers in each data centre, a membership to each
// entry when it reads the instance list.
func (f *fleet) publish(drained string, gossiped bool) {
	var ups []candidate.Upstream
	for _, r := range f.runners {
		if r.listed && r.dataCentre != drained {
			ups = append(ups, candidate.Upstream{ID: r.id, DataCentre: r.dataCentre, Service: modelService, Version: modelVersion})
		}
	}
	var prev *candidate.View
	if n := len(f.states); n > 0 {
		prev = f.states[n-1].view
	}
	f.states = append(f.states, routingState{candidate.Build(prev, ups, candidate.DefaultConfig()), drained, gossiped})
	state := len(f.states) - 1
	for i, e := range f.entries {
		switch {
		case !gossiped:
			f.after(time.Duration(f.rng.Int64N(int64(listLag))), func() { e.adopt(state) })
		case i < 2*f.opts.dataCentres:
			f.after(watchLag, func() { e.adopt(state) })
		}
	}
}

func (e *entry) adopt(state int) {
	for ; e.state < state; e.state++ {
		drained := e.fleet.states[e.state+1].drained
		for _, r := range e.fleet.runners {
			if !r.listed || r.dataCentre == drained {
				e.loads.Remove(r.id)
			}
		}
	}
}

// advertisedState returns the index that the frames of a process with the given state carry.
func (f *fleet) advertisedState(state int) int {
	if f.states[state].gossiped {
		return state
	}
	return 0
}

func (e *entry) gossip() {
	peer := e.fleet.entries[e.fleet.rng.IntN(len(e.fleet.entries))]
	now := e.fleet.now()
	peer.loads.MergeSummaries(now, e.loads.Summaries(now))
	e.loads.MergeSummaries(now, peer.loads.Summaries(now))
	peer.adopt(e.fleet.advertisedState(e.state))
	e.adopt(e.fleet.advertisedState(peer.state))
}

// submit sends a request to a random entry.
func (f *fleet) submit(j *job) {
	j.entry = f.entries[f.rng.IntN(len(f.entries))]
	j.startedAt = f.elapsed
	j.entry.budget.AddRequest(f.now())
	j.candidates = f.opts.router(j.entry, j)
	j.allCandidates = j.candidates
	j.entry.tryNext(j)
}

// tryNext sends the request to its next candidate.
func (e *entry) tryNext(j *job) {
	if len(j.candidates) == 0 {
		j.onDone(j, result.NoUpstream)
		return
	}
	r := e.fleet.byID[j.candidates[0].ID]
	j.candidates = j.candidates[1:]
	hint := e.loads.Hint(e.fleet.now(), r.loadKey())
	if e.fleet.rng.Float64() < e.fleet.opts.hintLoss {
		hint = 0
	}
	state := e.fleet.advertisedState(e.state)
	e.fleet.after(frameLatency, func() { r.handleOpen(j, hint, state) })
}

// handleAnswer ends a request or retries it, depending on a sidecar's answer.
func (e *entry) handleAnswer(j *job, r *runner, state int, code result.Code, accepted bool) {
	now := e.fleet.now()
	e.adopt(state)
	if code == result.OK {
		j.onDone(j, code)
		return
	}
	j.attempts = append(j.attempts, retry.Attempt{Code: code, Accepted: accepted, DataCentre: r.dataCentre})
	if len(j.candidates) == 0 && (code == result.OverBound || code == result.ColdStart || code == result.Full) {
		j.candidates = j.allCandidates
	}
	d := e.fleet.policy.Decide(now, retry.Request{
		Attempts: j.attempts, Idempotent: true, TimeLeft: j.deadline - e.fleet.elapsed, CandidatesLeft: len(j.candidates),
	}, e.budget, e.fleet.rng)
	if d.Action != retry.Retry {
		j.onDone(j, d.Code)
		return
	}
	if d.SkipDataCentre {
		others := slices.DeleteFunc(slices.Clone(j.candidates), func(c candidate.Candidate) bool { return c.DataCentre == r.dataCentre })
		if len(others) > 0 {
			j.candidates = others
		}
	}
	e.fleet.after(d.Backoff, func() { e.tryNext(j) })
}

// admissionLimits returns the admission limits of the service for a sidecar.
func (f *fleet) admissionLimits(drained bool) admission.Limits {
	return admission.Limits{Bound: loadBound, ColdInitial: f.opts.coldInitial, ColdLimit: f.opts.coldLimit, Drained: drained}
}
