package bench

import (
	"math/rand/v2"
	"time"
)

// Rules of the fleet that the epidemic follows; process/node and process/entry have them as constants.
const (
	watchersPerDataCentre = 2
	entriesPerSidecar     = 2
	pullTimeout           = 300 * time.Millisecond
	gossipInterval        = time.Second
	versionsPerSecond     = 12
	operatorCalls         = 5
)

// Assumptions of the epidemic that are not rules of the code.
const (
	// restartShare is the share of processes that restart, each at a random time within restartWithin of the change.
	restartShare  = 0.01
	restartWithin = 10 * time.Second
	// watchLost is the chance that a watch's answer is lost because the platform goes down.
	watchLost = 0.5
	// snapshotTime is what a restarted process needs to receive and parse a whole configuration of 46,000 teams.
	snapshotTime = 500 * time.Millisecond
	// processing is the mean time that a message waits for the receiver's control goroutine.
	processing = 2 * time.Millisecond
	// listInterval is the longest time until an entry sees a restarted process in the instance list.
	listInterval = 6 * time.Second
	// horizon ends a simulated change.
	horizon = 30 * time.Second
)

// states holds the configuration of each process.
type states interface {
	// reset starts a change: every process has the version before it, except those that start without any.
	reset(processes int, empty func(process int) bool)
	// accept gives the change to a process that reads it from the platform.
	accept(process int)
	// pull moves a process to the version of a peer.
	pull(to, from int)
	// has says whether a process has the change in effect, and knows whether it has any configuration.
	has(process int) bool
	knows(process int) bool
}

type eventKind uint8

const (
	// hear: a process hears that a peer has the change.
	hear eventKind = iota
	// answer: the answer to a process's pull arrives.
	answer
	gossipTurn
	requestTurn
	watchTurn
	start
	connect
	readPlatform
)

type spreadEvent struct {
	kind          eventKind
	process, peer int32
}

// spreadResult says how a change went.
type spreadResult struct {
	// took is when all processes had the change, settled when all had it that did not restart.
	took, settled time.Duration
	// calls is the number of calls to the platform.
	calls int
}

// epidemic simulates one change at a time in steps of a millisecond.
type epidemic struct {
	size    size
	buckets [][]spreadEvent
	site    []int32
	// entriesOf and sidecarsOf have the processes of each data centre.
	entriesOf, sidecarsOf [][]int32
	// keepers are the further entries that connect to each sidecar, kept the sidecars of each entry.
	keepers, kept [][]int32

	random   *rand.Rand
	states   states
	now      time.Duration
	up       []bool
	restarts []bool
	done     []bool
	pulledAt []time.Duration
	missing  int
	stable   int
	result   spreadResult
}

func newEpidemic(s size) *epidemic {
	n := s.entries + s.sidecars
	e := &epidemic{
		size: s, buckets: make([][]spreadEvent, horizon/time.Millisecond+1), site: make([]int32, n),
		entriesOf: make([][]int32, s.dataCentres), sidecarsOf: make([][]int32, s.dataCentres),
		keepers: make([][]int32, n), kept: make([][]int32, n),
		up: make([]bool, n), restarts: make([]bool, n), done: make([]bool, n), pulledAt: make([]time.Duration, n),
	}
	for i := range int32(n) {
		if e.isEntry(i) {
			e.site[i] = i % int32(s.dataCentres)
			e.entriesOf[e.site[i]] = append(e.entriesOf[e.site[i]], i)
			continue
		}
		e.site[i] = (i - int32(s.entries)) % int32(s.dataCentres)
		e.sidecarsOf[e.site[i]] = append(e.sidecarsOf[e.site[i]], i)
		for k := range int32(entriesPerSidecar) {
			keeper := (i*7919 + k) % int32(s.entries)
			e.keepers[i] = append(e.keepers[i], keeper)
			e.kept[keeper] = append(e.kept[keeper], i)
		}
	}
	return e
}

func (e *epidemic) isEntry(process int32) bool { return process < int32(e.size.entries) }

// run simulates one change.
func (e *epidemic) run(random *rand.Rand, s states) spreadResult {
	e.random, e.states, e.result, e.now = random, s, spreadResult{calls: operatorCalls}, 0
	for i := range e.buckets {
		e.buckets[i] = e.buckets[i][:0]
	}
	e.begin()
	for step := range e.buckets {
		e.now = time.Duration(step) * time.Millisecond
		// Events of the same step may be added while it runs.
		for i := 0; i < len(e.buckets[step]); i++ {
			e.handle(e.buckets[step][i])
		}
		if e.missing == 0 {
			return e.result
		}
	}
	e.result.took = horizon
	return e.result
}

func (e *epidemic) at(when time.Duration, event spreadEvent) {
	step := int(when / time.Millisecond)
	if step < len(e.buckets) {
		e.buckets[step] = append(e.buckets[step], event)
	}
}

func (e *epidemic) after(d time.Duration, kind eventKind, process, peer int32) {
	e.at(e.now+max(d, time.Millisecond), spreadEvent{kind, process, peer})
}

// within returns a random duration up to d.
func (e *epidemic) within(d time.Duration) time.Duration {
	return time.Duration(e.random.Int64N(int64(d)))
}

func (e *epidemic) begin() {
	n := len(e.site)
	e.missing, e.stable = n, n
	for i := range e.restarts {
		e.restarts[i] = e.random.Float64() < restartShare
		e.up[i], e.done[i], e.pulledAt[i] = !e.restarts[i], false, -time.Hour
		if e.restarts[i] {
			e.stable--
		}
	}
	e.states.reset(n, func(process int) bool { return e.restarts[process] })
	told := false
	for i := range int32(n) {
		if e.restarts[i] {
			e.after(e.within(restartWithin), start, i, 0)
			continue
		}
		e.after(e.within(gossipInterval), gossipTurn, i, 0)
		e.after(e.nextRequest(i), requestTurn, i, 0)
	}
	for _, entries := range e.entriesOf {
		for _, i := range entries[:watchersPerDataCentre] {
			e.result.calls++
			if e.up[i] && (!told || e.random.Float64() >= watchLost) {
				told = true
				e.after(time.Millisecond+e.within(30*time.Millisecond), watchTurn, i, 0)
			}
		}
	}
}

// latency is the time that a message takes between two processes.
func (e *epidemic) latency(a, b int32) time.Duration {
	wait := time.Duration(e.random.ExpFloat64() * float64(processing))
	x, y := e.site[a], e.site[b]
	switch {
	case x == y:
		return wait + 500*time.Microsecond
	case x%7 == y%7:
		return wait + 2*time.Millisecond
	}
	return wait + time.Duration(20+15*abs(x%7-y%7))*time.Millisecond
}

func abs(x int32) int32 { return max(x, -x) }
