package bench

import (
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"
)

// spreadBound is the time within which an accepted configuration is in effect at all processes, in spreadShare of the changes.
const (
	spreadBound = 13 * time.Second
	spreadShare = 0.9999
)

// Changes that are simulated. 99.99% needs 10,000 of them.
const (
	spreadChanges      = 10_000
	spreadChangesShort = 400
	spreadWorkers      = 8
)

// spread measures how long a change takes until it is in effect at every process of the design scale, while 1% of the processes restart
// and the platform goes down right after it accepted the change.
//
// Most changes run with a light stand-in for version/config's State: a version number, since the text does not matter for who tells whom.
// The first ones are repeated with the real State at each process and must take exactly as long.
func spread(o Options) []Figure {
	changes, repeated := spreadChanges, 2
	if o.Short {
		changes, repeated = spreadChangesShort, 1
	}
	results := runChanges(o.Seed, changes)
	times := make([]time.Duration, changes)
	within, calls := 0, 0.0
	for i, r := range results {
		times[i] = r.took
		if r.took <= spreadBound {
			within++
		}
		calls += float64(r.calls)
	}
	slices.Sort(times)
	figure := func(name string, value float64, unit string) Figure {
		return Figure{Measure: "configuration in effect everywhere", Name: name, Value: value, Unit: unit}
	}
	share := figure("changes in effect at 10,790 processes within 13 s", float64(within)/float64(changes), "")
	share.Bounded, share.AtLeast, share.Bound = true, true, spreadShare
	differ := figure("changes that take another time with the real states", differing(o.Seed, repeated, results), "changes")
	differ.Bounded = true
	return []Figure{
		share,
		figure("p50", times[changes/2].Seconds(), "s"),
		figure("p99", times[changes*99/100].Seconds(), "s"),
		figure("largest", times[changes-1].Seconds(), "s"),
		figure("all but the restarting, p99", settled(results), "s"),
		figure("platform calls per change, of which 5 by the operator", calls/float64(changes), "calls"),
		differ,
	}
}

// settled returns the 99th percentile of the times at which all processes that did not restart had the change.
func settled(results []spreadResult) float64 {
	times := make([]time.Duration, len(results))
	for i, r := range results {
		times[i] = r.settled
	}
	slices.Sort(times)
	return times[len(times)*99/100].Seconds()
}

// runChanges simulates changes on several cores. Each has a seed of its own, so that the order does not matter.
func runChanges(seed uint64, changes int) []spreadResult {
	results := make([]spreadResult, changes)
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(spreadWorkers, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			e, versions := newEpidemic(designFleet), &numberStates{}
			for i := range next {
				results[i] = e.run(changeSeed(seed, i), versions)
			}
		})
	}
	for i := range changes {
		next <- i
	}
	close(next)
	workers.Wait()
	return results
}

func changeSeed(seed uint64, change int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(change)))
}

// differing repeats the first changes with the real states and counts those that take another time.
func differing(seed uint64, changes int, results []spreadResult) float64 {
	e := newEpidemic(designFleet)
	n := 0.0
	for i := range changes {
		if e.run(changeSeed(seed, i), &realStates{}) != results[i] {
			n++
		}
	}
	return n
}
