package candidate

import "math"

// weightLevel is one step of the quantised data-centre weight: the counts low to low+width-1 share one weight.
type weightLevel struct {
	low, width int
}

// weight returns the midpoint of the level.
func (l weightLevel) weight() float64 { return float64(l.low) + float64(l.width-1)/2 }

// hysteresis returns how far the count may fall below low before the level changes. It is at least one, so that a data centre
// whose count is within its level keeps its weight when a single upstream leaves.
func (l weightLevel) hysteresis() int { return max(1, l.width/2) }

// weightLevelOf returns the level of a count. One and two upstreams have separate levels: with one weight for both, the only
// upstream of a data centre would permanently get twice the load of each of two.
func weightLevelOf(count int, cfg Config) weightLevel {
	l := weightLevel{low: 1, width: 1}
	for count >= l.low+l.width {
		l.low += l.width
		l.width = 1
		if l.low > 2 {
			l.width = max(cfg.WeightMinStep, int(math.Ceil(float64(l.low)*cfg.WeightStep)), 1)
		}
	}
	return l
}

// nextWeightLevel returns the level of a data centre that now has count upstreams and had the level prev; the zero level means that
// it is new. Hysteresis applies only when upstreams leave: once the missing upstreams have returned, processes that saw different
// counts meanwhile compute the same level again.
func nextWeightLevel(prev weightLevel, count int, cfg Config) weightLevel {
	next := weightLevelOf(count, cfg)
	if next.low < prev.low && count >= prev.low-prev.hysteresis() {
		return prev
	}
	return next
}
