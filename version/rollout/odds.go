package rollout

import (
	"math"
	"slices"
)

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
// Given the stratum's bad outcomes, the number of the new version's among them is hypergeometric if the versions are equal,
// whatever the stratum's rate is. The ratio is the odds ratio to the power of that number, divided by the mean of this power.
func matched(old, fresh tally, odds float64) float64 {
	if old.n == 0 || fresh.n == 0 {
		return 0
	}
	bad := old.bad + fresh.bad
	all := old.n + fresh.n
	return fresh.bad*math.Log(odds) - logMean(all, bad, fresh.n, odds)
}

// rareBad is the share of bad outcomes up to which logMean uses the binomial distribution.
const rareBad = 0.1

// logMean returns the logarithm of the mean of odds to the power of x, where x is the number of bad ones among n drawn from all
// without replacement. While bad ones are rare it uses the binomial distribution, whose mean is cheaper and at least as large
// (Hoeffding 1963), which errs to the side of the new version.
func logMean(all, bad, n, odds float64) float64 {
	if bad <= rareBad*all {
		return bad * math.Log1p(n/all*(odds-1))
	}
	mode := mode(all, bad, n, odds)
	sum := 1.0
	for x, term := mode, 1.0; x < min(bad, n) && term > negligible; x++ {
		term *= ratio(all, bad, n, odds, x)
		sum += term
	}
	for x, term := mode, 1.0; x > max(0, n-(all-bad)) && term > negligible; x-- {
		term /= ratio(all, bad, n, odds, x-1)
		sum += term
	}
	peak := logChoose(bad, mode) + logChoose(all-bad, n-mode) - logChoose(all, n) + mode*math.Log(odds)
	return peak + math.Log(sum)
}

// negligible ends a sum of terms that fall at least geometrically.
const negligible = 1e-12

// ratio returns the term of x+1 in the mean's sum over that of x.
func ratio(all, bad, n, odds, x float64) float64 {
	return (bad - x) * (n - x) * odds / ((x + 1) * (all - bad - n + x + 1))
}

// mode returns the largest term of the mean's sum: where the ratio of neighbours crosses 1, the smaller root of a quadratic.
func mode(all, bad, n, odds float64) float64 {
	b := odds*(bad+n) + all - bad - n
	root := 2 * odds * bad * n / (b + math.Sqrt(b*b-4*(odds-1)*odds*bad*n))
	return min(max(math.Floor(root), 0, n-(all-bad)), bad, n)
}

func logChoose(n, k float64) float64 {
	a, _ := math.Lgamma(n + 1)
	b, _ := math.Lgamma(k + 1)
	c, _ := math.Lgamma(n - k + 1)
	return a - b - c
}

// against returns the logarithm of the likelihood ratio of an odds ratio against a fixed reference rate. Its expectation is at
// most 1 for every rate up to the reference.
func against(reference float64, fresh tally, odds float64) float64 {
	alternative := atOdds(reference, odds)
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

// required returns the number of requests to the new version after which a version that is worse by difference, and by at least
// the smallest odds ratio, has been blamed with probability 1-beta: the threshold divided by the mean growth per request, plus the
// spread of a random walk that approaches a threshold.
func (c Config) required(base tally, share, difference, logThreshold float64) float64 {
	rate := (base.bad + 0.5) / (base.n + 1)
	worse := min(max(rate+difference, atOdds(rate, slices.Min(c.OddsRatios))), 1)
	badPerRequest := worse + rate*(1-share)/share
	fresh := worse / badPerRequest
	growth := 0.0
	for _, ratio := range c.OddsRatios {
		growth = max(growth, badPerRequest*(fresh*math.Log(ratio)-math.Log1p(share*(ratio-1))))
	}
	if both := share*worse + (1-share)*rate; both > rareBad {
		exact := divergence(worse, both) + (1-share)/share*divergence(rate, both)
		growth = max(growth, gridEfficiency*exact)
	}
	spread := 1 + normalQuantile(1-c.Beta)*math.Sqrt(2/logThreshold)
	return logThreshold / growth * spread
}

// gridEfficiency is what a fixed set of odds ratios attains at least of the growth with the true one, if neighbours differ by a
// factor of at most 4.
const gridEfficiency = 0.75

// divergence returns the Kullback-Leibler divergence of two rates.
func divergence(p, q float64) float64 {
	d := 0.0
	if p > 0 {
		d += p * math.Log(p/q)
	}
	if p < 1 {
		d += (1 - p) * math.Log((1-p)/(1-q))
	}
	return d
}

// atOdds returns the rate whose odds are a multiple of those of rate.
func atOdds(rate, ratio float64) float64 { return ratio * rate / (1 + rate*(ratio-1)) }

func normalQuantile(p float64) float64 { return math.Sqrt2 * math.Erfinv(2*p-1) }
