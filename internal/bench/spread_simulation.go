package bench

import (
	"math/rand/v2"
	"time"
)

// Constants of process/node and process/entry that the simulation repeats. gossipInterval is the default of the setting gossip_interval_ms,
// and operatorCalls is the number of platform calls of the operator who makes the change.
const (
	watchersPerDataCentre  = 2
	extraEntriesPerSidecar = 2
	pullTimeout            = 300 * time.Millisecond
	gossipInterval         = time.Second
	versionsPerSecond      = 12
	operatorCalls          = 5
)

// Assumptions of the simulation about the fleet and its surroundings.
const (
	// restartShare is the share of processes that restart, each at a random time within restartWindow of the change.
	restartShare  = 0.01
	restartWindow = 10 * time.Second
	// watchLossProbability is the probability that the answer to a watch is lost because the platform goes down.
	watchLossProbability = 0.5
	// snapshotTime is the time in which a restarted process receives and parses a whole configuration of 46,000 teams.
	snapshotTime = 500 * time.Millisecond
	// meanProcessingTime is the mean time that a message waits for the receiver's control goroutine.
	meanProcessingTime = 2 * time.Millisecond
	// maxListDelay is the longest time until an entry reads a restarted process from the instance list.
	maxListDelay = 6 * time.Second
	// maxSimulatedTime ends the simulation of a change.
	maxSimulatedTime = 30 * time.Second
)

// configStates holds the configuration of each process.
type configStates interface {
	// reset gives every process the version before the change, except those without a configuration.
	reset(processes int, empty func(process int) bool)
	// accept applies the change at a process that received it from the platform.
	accept(process int)
	// pull updates a process to the version of a peer.
	pull(to, from int)
	// hasChange reports whether the change is in effect at a process, and hasConfig whether the process has any configuration.
	hasChange(process int) bool
	hasConfig(process int) bool
}

type eventKind uint8

const (
	// eventPeerHasChange: a process receives the version of a peer that has the change.
	eventPeerHasChange eventKind = iota
	// eventPullAnswer: the answer to a pull arrives.
	eventPullAnswer
	eventGossip
	eventRequest
	eventWatchAnswer
	eventStart
	eventConnect
	eventReadPlatform
)

type spreadEvent struct {
	kind          eventKind
	process, peer int32
}

// spreadResult has the times and the platform calls of one change.
type spreadResult struct {
	// allAdopted is the time at which all processes had the change, stableAdopted the time at which all that did not restart had it.
	allAdopted, stableAdopted time.Duration
	platformCalls             int
}

// spreadSimulation simulates the spread of one configuration change at a time, in steps of a millisecond.
type spreadSimulation struct {
	size         fleetSize
	buckets      [][]spreadEvent
	dataCentreOf []int32
	// entriesOf and sidecarsOf are the processes of each data centre.
	entriesOf, sidecarsOf [][]int32
	// extraEntries are the entries that connect to each sidecar besides those of its data centre. extraSidecars is the inverse: the
	// sidecars to which each entry connects in this way.
	extraEntries, extraSidecars [][]int32

	random        *rand.Rand
	configs       configStates
	now           time.Duration
	up            []bool
	restarting    []bool
	adopted       []bool
	pulledAt      []time.Duration
	pending       int
	pendingStable int
	result        spreadResult
}

func newSpreadSimulation(s fleetSize) *spreadSimulation {
	n := s.entries + s.sidecars
	e := &spreadSimulation{
		size: s, buckets: make([][]spreadEvent, maxSimulatedTime/time.Millisecond+1), dataCentreOf: make([]int32, n),
		entriesOf: make([][]int32, s.dataCentres), sidecarsOf: make([][]int32, s.dataCentres),
		extraEntries: make([][]int32, n), extraSidecars: make([][]int32, n),
		up: make([]bool, n), restarting: make([]bool, n), adopted: make([]bool, n), pulledAt: make([]time.Duration, n),
	}
	for i := range int32(n) {
		if e.isEntry(i) {
			e.dataCentreOf[i] = i % int32(s.dataCentres)
			e.entriesOf[e.dataCentreOf[i]] = append(e.entriesOf[e.dataCentreOf[i]], i)
			continue
		}
		e.dataCentreOf[i] = (i - int32(s.entries)) % int32(s.dataCentres)
		e.sidecarsOf[e.dataCentreOf[i]] = append(e.sidecarsOf[e.dataCentreOf[i]], i)
		for k := range int32(extraEntriesPerSidecar) {
			entry := (i*7919 + k) % int32(s.entries)
			e.extraEntries[i] = append(e.extraEntries[i], entry)
			e.extraSidecars[entry] = append(e.extraSidecars[entry], i)
		}
	}
	return e
}

func (e *spreadSimulation) isEntry(process int32) bool { return process < int32(e.size.entries) }

// run simulates one change until all processes have it, or for maxSimulatedTime.
func (e *spreadSimulation) run(random *rand.Rand, s configStates) spreadResult {
	e.random, e.configs, e.result, e.now = random, s, spreadResult{platformCalls: operatorCalls}, 0
	for i := range e.buckets {
		e.buckets[i] = e.buckets[i][:0]
	}
	e.startChange()
	for step := range e.buckets {
		e.now = time.Duration(step) * time.Millisecond
		// An event may add further events to the step that is running.
		for i := 0; i < len(e.buckets[step]); i++ {
			e.handle(e.buckets[step][i])
		}
		if e.pending == 0 {
			return e.result
		}
	}
	e.result.allAdopted = maxSimulatedTime
	return e.result
}

func (e *spreadSimulation) scheduleAt(when time.Duration, event spreadEvent) {
	step := int(when / time.Millisecond)
	if step < len(e.buckets) {
		e.buckets[step] = append(e.buckets[step], event)
	}
}

func (e *spreadSimulation) scheduleAfter(d time.Duration, kind eventKind, process, peer int32) {
	e.scheduleAt(e.now+max(d, time.Millisecond), spreadEvent{kind, process, peer})
}

// randomBelow returns a random duration below d.
func (e *spreadSimulation) randomBelow(d time.Duration) time.Duration {
	return time.Duration(e.random.Int64N(int64(d)))
}

func (e *spreadSimulation) startChange() {
	n := len(e.dataCentreOf)
	e.pending, e.pendingStable = n, n
	for i := range e.restarting {
		e.restarting[i] = e.random.Float64() < restartShare
		e.up[i], e.adopted[i], e.pulledAt[i] = !e.restarting[i], false, -time.Hour
		if e.restarting[i] {
			e.pendingStable--
		}
	}
	e.configs.reset(n, func(process int) bool { return e.restarting[process] })
	delivered := false
	for i := range int32(n) {
		if e.restarting[i] {
			e.scheduleAfter(e.randomBelow(restartWindow), eventStart, i, 0)
			continue
		}
		e.scheduleAfter(e.randomBelow(gossipInterval), eventGossip, i, 0)
		e.scheduleAfter(e.timeToNextRequest(i), eventRequest, i, 0)
	}
	for _, entries := range e.entriesOf {
		for _, i := range entries[:watchersPerDataCentre] {
			e.result.platformCalls++
			if e.up[i] && (!delivered || e.random.Float64() >= watchLossProbability) {
				delivered = true
				e.scheduleAfter(time.Millisecond+e.randomBelow(30*time.Millisecond), eventWatchAnswer, i, 0)
			}
		}
	}
}

// latency returns the time that a message takes between two processes, including its wait at the receiver.
func (e *spreadSimulation) latency(a, b int32) time.Duration {
	wait := time.Duration(e.random.ExpFloat64() * float64(meanProcessingTime))
	x, y := e.dataCentreOf[a], e.dataCentreOf[b]
	switch {
	case x == y:
		return wait + 500*time.Microsecond
	case x%7 == y%7:
		return wait + 2*time.Millisecond
	}
	return wait + time.Duration(20+15*abs(x%7-y%7))*time.Millisecond
}

func abs(x int32) int32 { return max(x, -x) }
