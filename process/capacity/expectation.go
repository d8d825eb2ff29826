package capacity

import "math"

// kind is a kind of observation.
type kind int

const (
	promptRead kind = iota
	eventGap
	response
	kinds
)

const (
	// levels is the number of ranges of work that are told apart, two for each doubling.
	levels = 48
	// classes is the number of classes of requests that are told apart. Others share the figures of one of them.
	classes = 16
	// minCount is the number of observations from which an expectation is used.
	minCount = 3
	// maxCount bounds the number of observations that a new one is weighed against, so that the expectation follows changes of the whole service.
	maxCount = 100
	// maxDeviation is the largest deviation that a single observation shows, as a logarithm of the time: five times as long.
	maxDeviation = 1.6
)

// expectation is what the typical upstream of a service takes, as the logarithm of a time in nanoseconds.
type expectation struct {
	cells [classes][levels]cell
}

type cell struct{ mean, count float64 }

// compare returns by how much an observation exceeds the expectation, and includes it in that. known is the deviation of the upstream that is known
// already: without subtracting it, the upstreams that get the most requests would set the expectation.
func (x *expectation) compare(value, known float64, level int, class uint64) (deviation float64, usable bool) {
	c := &x.cells[class%classes][level]
	deviation, usable = value-c.mean, c.count >= minCount
	c.count = min(c.count+1, maxCount)
	step := (deviation - known) / c.count
	if usable {
		step = min(max(step, -maxDeviation/c.count), maxDeviation/c.count)
	}
	c.mean += step
	return deviation, usable
}

// logLevel returns the range of work that an amount belongs to.
func logLevel(amount float64) int {
	return min(int(2*math.Log2(1+max(0, amount))), levels-1)
}
