package candidate

import "math"

// level is one step of the quantised data-centre weight: the counts low to low+width-1 share one weight.
type level struct {
	low, width int
}

// weight is the middle of the level.
func (l level) weight() float64 { return float64(l.low) + float64(l.width-1)/2 }

// margin is the number of upstreams below low at which a held level is given up. It is at least one, so that a single
// departure never moves the weight of a data centre.
func (l level) margin() int { return max(1, l.width/2) }

// levelOf returns the level of a count. One and two upstreams have a level each, since a common weight would double the load
// of the single upstream for good.
func levelOf(count int, cfg Config) level {
	l := level{low: 1, width: 1}
	for count >= l.low+l.width {
		l.low += l.width
		l.width = 1
		if l.low > 2 {
			l.width = max(cfg.WeightMinStep, int(math.Ceil(float64(l.low)*cfg.WeightStep)), 1)
		}
	}
	return l
}

// nextLevel returns the level of a data centre that now has count upstreams and had the level prev; the zero level means that
// it is new. A level is held against departures only: after a return to the usual count, processes that saw different
// departures agree again.
func nextLevel(prev level, count int, cfg Config) level {
	next := levelOf(count, cfg)
	if next.low < prev.low && count >= prev.low-prev.margin() {
		return prev
	}
	return next
}
