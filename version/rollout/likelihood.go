package rollout

import (
	"math"
	"slices"
)

// Kinds of bad outcome, each tested separately.
const (
	kindFailed = iota
	kindSlow
	numOutcomeKinds
)

var kindNames = [numOutcomeKinds]string{"fails", "is slow"}

// binomialCount holds the number of requests that could have one kind of bad outcome, and the number that had it.
type binomialCount struct {
	n   float64
	bad float64
}

// countFor returns the count of one kind of bad outcome. Failed requests have no meaningful latency, so kindSlow excludes them, and
// unmeasured ones because they are no evidence that the version is fast.
func (c Counts) countFor(kind int) binomialCount {
	if kind == kindSlow {
		return binomialCount{n: float64(c.OK) + float64(c.Slow), bad: float64(c.Slow)}
	}
	return binomialCount{n: float64(c.Total()), bad: float64(c.Failed)}
}

// matchedLogRatio returns the log likelihood ratio of an odds ratio against equality of the two versions in one stratum.
//
// Conditional on the total number of bad outcomes in the stratum, the number of them at the new version has a hypergeometric
// distribution if the versions are equal, whatever the stratum's rate is. The likelihood ratio is the odds ratio to the power of
// that number, divided by the mean of this power.
func matchedLogRatio(oldCount, newCount binomialCount, oddsRatio float64) float64 {
	if oldCount.n == 0 || newCount.n == 0 {
		return 0
	}
	bad := oldCount.bad + newCount.bad
	all := oldCount.n + newCount.n
	return newCount.bad*math.Log(oddsRatio) - logMean(all, bad, newCount.n, oddsRatio)
}

// maxBinomialRate is the rate of bad outcomes up to which logMean uses the binomial distribution.
const maxBinomialRate = 0.1

// logMean returns the logarithm of the mean of oddsRatio to the power of x, where x is the number of bad outcomes among n
// requests drawn without replacement from all. If bad outcomes are rare it uses the binomial distribution, whose mean is cheaper
// to compute and at least as large (Hoeffding 1963), so that the approximation favours the new version.
func logMean(all, bad, n, oddsRatio float64) float64 {
	if bad <= maxBinomialRate*all {
		return bad * math.Log1p(n/all*(oddsRatio-1))
	}
	peakIndex := largestTermIndex(all, bad, n, oddsRatio)
	sum := 1.0
	for x, term := peakIndex, 1.0; x < min(bad, n) && term > minSeriesTerm; x++ {
		term *= termRatio(all, bad, n, oddsRatio, x)
		sum += term
	}
	for x, term := peakIndex, 1.0; x > max(0, n-(all-bad)) && term > minSeriesTerm; x-- {
		term /= termRatio(all, bad, n, oddsRatio, x-1)
		sum += term
	}
	logPeak := logChoose(bad, peakIndex) + logChoose(all-bad, n-peakIndex) - logChoose(all, n) + peakIndex*math.Log(oddsRatio)
	return logPeak + math.Log(sum)
}

// minSeriesTerm is the relative size at which the sum in logMean is truncated. The terms decrease at least geometrically.
const minSeriesTerm = 1e-12

// termRatio returns the ratio of the terms for x+1 and x in the sum of logMean.
func termRatio(all, bad, n, oddsRatio, x float64) float64 {
	return (bad - x) * (n - x) * oddsRatio / ((x + 1) * (all - bad - n + x + 1))
}

// largestTermIndex returns the x of the largest term in the sum of logMean. There the ratio of neighbouring terms crosses 1, at
// the smaller root of a quadratic equation.
func largestTermIndex(all, bad, n, oddsRatio float64) float64 {
	b := oddsRatio*(bad+n) + all - bad - n
	root := 2 * oddsRatio * bad * n / (b + math.Sqrt(b*b-4*(oddsRatio-1)*oddsRatio*bad*n))
	return min(max(math.Floor(root), 0, n-(all-bad)), bad, n)
}

// logChoose returns the logarithm of the binomial coefficient of n and k.
func logChoose(n, k float64) float64 {
	a, _ := math.Lgamma(n + 1)
	b, _ := math.Lgamma(k + 1)
	c, _ := math.Lgamma(n - k + 1)
	return a - b - c
}

// referenceLogRatio returns the log likelihood ratio of an odds ratio against a fixed reference rate. The expectation of the
// likelihood ratio is at most 1 for every true rate up to the reference.
func referenceLogRatio(reference float64, newCount binomialCount, oddsRatio float64) float64 {
	alternative := scaleOdds(reference, oddsRatio)
	return newCount.bad*math.Log(alternative/reference) + (newCount.n-newCount.bad)*math.Log((1-alternative)/(1-reference))
}

// referenceZScore is the standard normal quantile of the upper 99.5% confidence limit.
const referenceZScore = 2.576

// referenceRate returns the highest acceptable rate of the new version while the old one has no concurrent traffic: the upper
// confidence limit of the old version's past rate, plus a margin for variation over the day.
func referenceRate(past binomialCount, margin float64) float64 {
	rate := (past.bad + 0.5) / (past.n + 1)
	upper := rate + referenceZScore*math.Sqrt(rate*(1-rate)/(past.n+1))
	return min(upper+margin, 0.99)
}

// requiredRequests returns the number of requests to the new version after which the test rejects, with probability 1-Beta, a
// version that is worse by difference and by at least the smallest odds ratio. It is the log threshold divided by the mean growth
// of the log likelihood ratio per request, increased for the variance of the time at which a random walk first reaches a
// threshold.
func (c Config) requiredRequests(oldCount binomialCount, share, difference, logThreshold float64) float64 {
	oldRate := (oldCount.bad + 0.5) / (oldCount.n + 1)
	newRate := min(max(oldRate+difference, scaleOdds(oldRate, slices.Min(c.OddsRatios))), 1)
	badPerRequest := newRate + oldRate*(1-share)/share
	newShareOfBad := newRate / badPerRequest
	growthPerRequest := 0.0
	for _, ratio := range c.OddsRatios {
		growthPerRequest = max(growthPerRequest, badPerRequest*(newShareOfBad*math.Log(ratio)-math.Log1p(share*(ratio-1))))
	}
	if pooledRate := share*newRate + (1-share)*oldRate; pooledRate > maxBinomialRate {
		exact := klDivergence(newRate, pooledRate) + (1-share)/share*klDivergence(oldRate, pooledRate)
		growthPerRequest = max(growthPerRequest, gridEfficiency*exact)
	}
	spread := 1 + normalQuantile(1-c.Beta)*math.Sqrt(2/logThreshold)
	return logThreshold / growthPerRequest * spread
}

// gridEfficiency is a lower bound of the growth of the log likelihood ratio with the closest of a fixed set of odds ratios,
// relative to the growth with the true odds ratio. It holds if neighbouring odds ratios differ by a factor of at most 4.
const gridEfficiency = 0.75

// klDivergence returns the Kullback-Leibler divergence of two Bernoulli distributions.
func klDivergence(p, q float64) float64 {
	d := 0.0
	if p > 0 {
		d += p * math.Log(p/q)
	}
	if p < 1 {
		d += (1 - p) * math.Log((1-p)/(1-q))
	}
	return d
}

// scaleOdds returns the rate whose odds are ratio times the odds of rate.
func scaleOdds(rate, ratio float64) float64 { return ratio * rate / (1 + rate*(ratio-1)) }

// normalQuantile returns the p-quantile of the standard normal distribution.
func normalQuantile(p float64) float64 { return math.Sqrt2 * math.Erfinv(2*p-1) }
