package rollout

import "math"

// Limits that keep a score finite: maxScore is above every threshold, and maxScore*exp(maxLogRatio) does not overflow.
const (
	maxScore    = 1e100
	maxLogRatio = 200
)

// detector accumulates the evidence against the new version for one route group and one kind of bad outcome.
//
// For each odds ratio it holds a weighted sum, over start times, of the product of the likelihood ratios since that start. The
// weights of all starts sum to at most 1, so if the versions are equal, the sum never reaches the threshold 1/alpha with
// probability 1-alpha (Ville's inequality). Several start times keep good outcomes before a late defect from delaying its
// detection.
type detector struct {
	threshold float64
	scores    []float64
}

func newDetector(alpha float64, ratios int) detector {
	return detector{threshold: 1 / alpha, scores: make([]float64, ratios)}
}

// addStart adds a start time; weight is its fraction of the error rate.
func (d *detector) addStart(weight float64) {
	for i := range d.scores {
		d.scores[i] += weight
	}
}

// update multiplies the scores by the likelihood ratios of one window.
func (d *detector) update(logRatios []float64) {
	for i, l := range logRatios {
		d.scores[i] = min(d.scores[i]*math.Exp(min(l, maxLogRatio)), maxScore)
	}
}

// rejected reports whether the mean score over the odds ratios has reached the threshold, so that equality is rejected.
func (d *detector) rejected() bool {
	sum := 0.0
	for _, s := range d.scores {
		sum += s
	}
	return sum/float64(len(d.scores)) >= d.threshold
}

// logThreshold returns the log likelihood ratio at which a single odds ratio, from a start at the beginning of a step, rejects
// equality.
func (d *detector) logThreshold() float64 {
	return math.Log(d.threshold * float64(len(d.scores)) / stepStartWeight)
}
