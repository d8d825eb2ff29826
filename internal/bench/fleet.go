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
	// hop is the time of one frame between an entry and a sidecar.
	hop           = time.Millisecond
	modelService  = "model"
	modelVersion  = "v1"
	loadGroup     = modelService + "/" + modelVersion
	maxCandidates = 8
	// listLag bounds the time after which an entry notices a change of the instance list.
	listLag = 3 * time.Second
	// watchLag is the time after which a process that watches the configuration has a new version.
	watchLag = 100 * time.Millisecond
)

// epoch is the virtual time's zero.
var epoch = time.Unix(1_700_000_000, 0)

// event is a call at a virtual time.
type event struct {
	at     time.Duration
	serial uint64
	call   func()
}

// loop runs events in the order of their times, then of their creation.
type loop struct {
	elapsed time.Duration
	serial  uint64
	events  eventHeap
}

type eventHeap []*event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(e any)   { *h = append(*h, e.(*event)) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].serial < h[j].serial
}

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

func (l *loop) now() time.Time { return epoch.Add(l.elapsed) }

func (l *loop) after(d time.Duration, call func()) {
	l.serial++
	heap.Push(&l.events, &event{at: l.elapsed + max(d, 0), serial: l.serial, call: call})
}

func (l *loop) every(first, d time.Duration, call func()) {
	var again func()
	again = func() {
		call()
		l.after(d, again)
	}
	l.after(first, again)
}

func (l *loop) run(until time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= until {
		e := heap.Pop(&l.events).(*event)
		l.elapsed = e.at
		e.call()
	}
	l.elapsed = until
}

// fleetOptions configure a fleet.
type fleetOptions struct {
	seed                       uint64
	dataCentres, runners       int
	entriesPerDataCentre       int
	hintLoss                   float64
	router                     router
	coldInitial, coldLimit     int
	restartsWarm, withoutLimit bool
}

// fleet is a set of entries and runners with one clock.
type fleet struct {
	loop
	opts    fleetOptions
	rng     *rand.Rand
	runners []*runner
	byID    map[string]*runner
	entries []*entry
	// states are the published routing states; entries and sidecars hold an index of one.
	states  []routingState
	policy  *retry.Policy
	holders map[uint64][]*runner
	next    int
	// work and alive are the true load of the service version and the number of its runners.
	work  uint64
	alive int
	// onAdmit sees each admission, with the load that includes it.
	onAdmit func(r *runner, j *job)
}

// routingState is a membership and a rules version.
type routingState struct {
	view    *candidate.View
	drained string
	// spreads says that frames and gossip carry the state's number, as they carry that of a rules version.
	spreads bool
}

// job is one request of a caller.
type job struct {
	chat           uint64
	team           string
	prompt, answer int
	start, first   time.Duration
	deadline       time.Duration
	admitted       bool
	entry          *entry
	attempts       []retry.Attempt
	candidates     []candidate.Candidate
	// all are the candidates from the first one on; the list starts over after a refusal for load.
	all  []candidate.Candidate
	done func(*job, result.Code)
}

// work is the entry's estimate, which does not know the answer's length.
func (j *job) work() uint32 { return uint32(j.prompt + expectedAnswer) }

// entry is one router, which sees the answers to its own requests and the gossip of its peers only.
type entry struct {
	f              *fleet
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
		f.addRunner(dataCentreName(i%opts.dataCentres), opts.restartsWarm)
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
		f: f, id: fmt.Sprintf("entry-%d", i), dataCentre: dataCentre,
		loads: load.NewTable(dataCentre, load.DefaultConfig()), budget: retry.NewBudget(f.now(), retry.DefaultConfig()),
	}
	f.entries = append(f.entries, e)
	f.every(time.Duration(f.rng.Int64N(int64(time.Second))), time.Second, e.gossip)
}

// publish makes a new routing state of the present runners and spreads it: a rules version to two watchers in each data
// centre, a membership to each entry when it reads the instance list.
func (f *fleet) publish(drained string, spreads bool) {
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
	f.states = append(f.states, routingState{candidate.Build(prev, ups, candidate.DefaultConfig()), drained, spreads})
	state := len(f.states) - 1
	for i, e := range f.entries {
		switch {
		case !spreads:
			f.after(time.Duration(f.rng.Int64N(int64(listLag))), func() { e.adopt(state) })
		case i < 2*f.opts.dataCentres:
			f.after(watchLag, func() { e.adopt(state) })
		}
	}
}

func (e *entry) adopt(state int) {
	for ; e.state < state; e.state++ {
		drained := e.f.states[e.state+1].drained
		for _, r := range e.f.runners {
			if !r.listed || r.dataCentre == drained {
				e.loads.Remove(r.id)
			}
		}
	}
}

// carried is the number that the frames of a process with the given state carry.
func (f *fleet) carried(state int) int {
	if f.states[state].spreads {
		return state
	}
	return 0
}

func (e *entry) gossip() {
	peer := e.f.entries[e.f.rng.IntN(len(e.f.entries))]
	now := e.f.now()
	peer.loads.Gossip(now, e.loads.Summaries(now))
	e.loads.Gossip(now, peer.loads.Summaries(now))
	peer.adopt(e.f.carried(e.state))
	e.adopt(e.f.carried(peer.state))
}

// submit hands a request to a random entry.
func (f *fleet) submit(j *job) {
	j.entry = f.entries[f.rng.IntN(len(f.entries))]
	j.start = f.elapsed
	j.entry.budget.Request(f.now())
	j.candidates = f.opts.router(j.entry, j)
	j.all = j.candidates
	j.entry.try(j)
}

// try sends the request to its next candidate.
func (e *entry) try(j *job) {
	if len(j.candidates) == 0 {
		j.done(j, result.NoUpstream)
		return
	}
	r := e.f.byID[j.candidates[0].ID]
	j.candidates = j.candidates[1:]
	hint := e.loads.Hint(e.f.now(), r.loadKey())
	if e.f.rng.Float64() < e.f.opts.hintLoss {
		hint = 0
	}
	state := e.f.carried(e.state)
	e.f.after(hop, func() { r.open(j, hint, state) })
}

// heard takes over a sidecar's answer to a request.
func (e *entry) heard(j *job, r *runner, state int, code result.Code, accepted bool) {
	now := e.f.now()
	e.adopt(state)
	if code == result.OK {
		j.done(j, code)
		return
	}
	j.attempts = append(j.attempts, retry.Attempt{Code: code, Accepted: accepted, DataCentre: r.dataCentre})
	if len(j.candidates) == 0 && (code == result.OverBound || code == result.ColdStart || code == result.Full) {
		j.candidates = j.all
	}
	d := e.f.policy.Decide(now, retry.Request{
		Attempts: j.attempts, Idempotent: true, Left: j.deadline - e.f.elapsed, CandidatesLeft: len(j.candidates),
	}, e.budget, e.f.rng)
	if d.Action != retry.Retry {
		j.done(j, d.Code)
		return
	}
	if d.SkipDataCentre {
		others := slices.DeleteFunc(slices.Clone(j.candidates), func(c candidate.Candidate) bool { return c.DataCentre == r.dataCentre })
		if len(others) > 0 {
			j.candidates = others
		}
	}
	e.f.after(d.Backoff, func() { e.try(j) })
}

// limits are the rules of the service.
func (f *fleet) limits(drained bool) admission.Limits {
	return admission.Limits{Bound: loadBound, ColdInitial: f.opts.coldInitial, ColdLimit: f.opts.coldLimit, Drained: drained}
}
