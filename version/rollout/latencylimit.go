package rollout

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// minLimitSamples is the number of the old version's latencies from which the first limit is computed. The quantile is then about the
	// largest of them.
	minLimitSamples = 10
	// limitSamples is the number of latencies after which a limit is precise: the 95th percentile is then about the tenth largest. They are
	// then discarded, so that the limit follows the variation of the latency over the day.
	limitSamples = 200
	// minClassTokens is the number of prompt tokens below which all prompts are in one class. The prefill of so few takes little of the time
	// to the first token.
	minClassTokens = 512
)

// limitKey identifies the latencies that are compared with each other.
type limitKey struct {
	route string
	// dataCentre is empty for the latencies of all data centres together.
	dataCentre string
	// class is the class of the prompt's length, or eventIntervals.
	class int
}

// eventIntervals is the class of the times between events, which do not depend on the length of the prompt.
const eventIntervals = -1

func (k limitKey) anyDataCentre() limitKey { return limitKey{route: k.route, class: k.class} }

// promptClass returns the class of a prompt's length. Each class spans a factor of four.
func promptClass(tokens int) int { return (bits.Len(uint(max(tokens, 0)/minClassTokens)) + 1) / 2 }

// latencyLimit is a quantile of the old version's latencies, above which a request is slow.
type latencyLimit struct {
	samples []time.Duration
	// limit is zero until there are minLimitSamples.
	limit time.Duration
	// precise is set once the limit was computed from limitSamples.
	precise bool
}

// add records a latency. Until the limit is precise, it is computed again each time the number of latencies has doubled.
func (l *latencyLimit) add(latency time.Duration, quantile float64) {
	l.samples = append(l.samples, latency)
	n := len(l.samples)
	complete := n >= limitSamples
	if !complete && (l.precise || n < minLimitSamples || n%minLimitSamples != 0 || bits.OnesCount(uint(n/minLimitSamples)) != 1) {
		return
	}
	slices.Sort(l.samples)
	l.limit = l.samples[min(n-1, int(math.Ceil(quantile*float64(n)))-1)]
	if complete {
		l.precise = true
		l.samples = l.samples[:0]
	}
}
