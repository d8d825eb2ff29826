package rollout

import "math"

// maxScore keeps a score finite; it is above every threshold.
const maxScore = 1e100

// detector accumulates the evidence against the new version in one group of routes and one kind of bad outcome.
//
// For each odds ratio it holds a weighted sum over start times of the products of the likelihood ratios since that start. The
// weights of all starts sum to at most 1, so under equality the sum stays below the threshold 1/alpha for ever with probability
// 1-alpha (Ville's inequality), and a fault that begins late is not held up by the good record before it.
type detector struct {
	threshold float64
	scores    []float64
}

func newDetector(alpha float64, odds int) detector {
	return detector{threshold: 1 / alpha, scores: make([]float64, odds)}
}

// start adds a start time with a share of the error rate.
func (d *detector) start(weight float64) {
	for i := range d.scores {
		d.scores[i] += weight
	}
}

// add multiplies the scores by the likelihood ratios of one window.
func (d *detector) add(logs []float64) {
	for i, l := range logs {
		d.scores[i] = min(d.scores[i]*math.Exp(min(l, 200)), maxScore)
	}
}

// blamed reports whether the mixture over the odds ratios has reached the threshold.
func (d *detector) blamed() bool {
	sum := 0.0
	for _, s := range d.scores {
		sum += s
	}
	return sum/float64(len(d.scores)) >= d.threshold
}

// logThreshold returns what the logarithm of the largest likelihood ratio must reach for a blame, from a start at the beginning of
// a step.
func (d *detector) logThreshold() float64 {
	return math.Log(d.threshold * float64(len(d.scores)) / stepWeight)
}
