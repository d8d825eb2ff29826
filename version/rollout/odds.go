package rollout

import "math"

// Kinds of bad outcome, judged apart.
const (
	kindFailed = iota
	kindSlow
	kinds
)

var kindNames = [kinds]string{"fails", "is slow"}

// tally is the number of requests that can be bad in one way, and how many were.
type tally struct {
	n   float64
	bad float64
}

// of returns the tally of one kind. A failed request has no meaningful latency, so it is left out of the slow ones.
func (c Counts) of(kind int) tally {
	if kind == kindSlow {
		return tally{n: float64(c.OK) + float64(c.Slow), bad: float64(c.Slow)}
	}
	return tally{n: float64(c.Total()), bad: float64(c.Failed)}
}

// matched returns the logarithm of the likelihood ratio of an odds ratio against equality, for two versions in one stratum.
//
// Given the stratum's bad outcomes, each is the new version's with probability s, its share of the requests, if the versions are
// equal, whatever the stratum's rate is. The number of the new version's bad outcomes is then hypergeometric. The ratio is
// normalised by the generating function of the binomial distribution, which is at least that of the hypergeometric one
// (Hoeffding 1963), so its expectation under equality is at most 1.
func matched(old, fresh tally, odds float64) float64 {
	if old.n == 0 || fresh.n == 0 {
		return 0
	}
	s := fresh.n / (fresh.n + old.n)
	return fresh.bad*math.Log(odds) - (fresh.bad+old.bad)*math.Log1p(s*(odds-1))
}

// against returns the logarithm of the likelihood ratio of an odds ratio against a fixed reference rate. Its expectation is at
// most 1 for every rate up to the reference.
func against(reference float64, fresh tally, odds float64) float64 {
	alternative := odds * reference / (1 + reference*(odds-1))
	return fresh.bad*math.Log(alternative/reference) + (fresh.n-fresh.bad)*math.Log((1-alternative)/(1-reference))
}

// referenceQuantile puts the reference rate of the old version at its upper 99.5% limit.
const referenceQuantile = 2.576

// reference returns the rate that the new version may have after the old one has no more traffic to compare with: the upper limit
// of the old version's past rate, plus a margin for the time of day.
func reference(past tally, margin float64) float64 {
	rate := (past.bad + 0.5) / (past.n + 1)
	upper := rate + referenceQuantile*math.Sqrt(rate*(1-rate)/(past.n+1))
	return min(upper+margin, 0.99)
}

// required returns the number of requests to the new version after which a version that is worse by difference has been blamed
// with probability 1-beta: the threshold divided by the mean growth per request, plus the spread of a random walk that
// approaches a threshold.
func (c Config) required(base tally, share, difference, logThreshold float64) float64 {
	rate := (base.bad + 0.5) / (base.n + 1)
	worse := min(rate+difference, 1)
	odds := share / (1 - share)
	badPerRequest := worse + rate/odds
	fresh := worse / badPerRequest
	growth := 0.0
	for _, ratio := range c.OddsRatios {
		growth = max(growth, fresh*math.Log(ratio)-math.Log1p(share*(ratio-1)))
	}
	if growth <= 0 {
		return math.Inf(1)
	}
	spread := 1 + normalQuantile(1-c.Beta)*math.Sqrt(2/logThreshold)
	return logThreshold / (growth * badPerRequest) * spread
}

func normalQuantile(p float64) float64 { return math.Sqrt2 * math.Erfinv(2*p-1) }
