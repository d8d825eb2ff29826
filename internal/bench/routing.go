package bench

import (
	"golang.org/x/sync/errgroup"
)

// maxParallel limits concurrent runs, because other programs may use the machine too.
const maxParallel = 4

// parallel calls run for 0 to n-1 concurrently and returns the results in order. Each run has its own fleet and random numbers, so that
// the results do not depend on scheduling.
func parallel[T any](n int, run func(int) T) []T {
	results := make([]T, n)
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for i := range n {
		group.Go(func() error {
			results[i] = run(i)
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// routingMeasurements returns the measurements of the routing decisions.
func routingMeasurements() []Measurement {
	return []Measurement{
		{Name: "cache reuse", Run: measureReuse},
		{Name: "chats that move", Run: measureMoves},
		{Name: "load skew", Run: measureSkew},
		{Name: "load skew after events", Run: measureLoadEvents},
		{Name: "data centre leaves", Run: measureLeave},
		{Name: "cold start without warning", Run: measureColdStart},
		{Name: "cost", Timed: true, Run: measureCost},
	}
}
