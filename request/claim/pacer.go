package claim

import (
	"math"
	"time"
)

const (
	// claimDecayTime is the time in which the count of a writer's claims decays to 1/e.
	claimDecayTime = time.Second
	// minClaimCount is the count below which a writer is dropped.
	minClaimCount = 0.05
	// maxIntervalFactor limits the interval between writes, in multiples of the interval of a single writer. With so many writers
	// that a longer interval would be needed, the total write rate exceeds the limit.
	maxIntervalFactor = 12
)

// pacer divides the write rate of a shard among the stores that write to it. Each store sees in the log what the others write.
// For a given total rate, the mean wait of all claims is lowest with rates proportional to the square root of each writer's
// claims.
type pacer struct {
	baseInterval time.Duration
	// recentClaims counts recent claims by owner number, with exponential decay.
	recentClaims map[uint32]float64
	decayedAt    time.Time
}

func newPacer(base time.Duration) pacer {
	return pacer{baseInterval: base, recentClaims: map[uint32]float64{}}
}

// countClaims records a batch with n claims in the log.
func (p *pacer) countClaims(now time.Time, owner uint32, n int) {
	p.decay(now)
	p.recentClaims[owner] += float64(n)
}

// dropWriter drops the claims of a writer.
func (p *pacer) dropWriter(owner uint32) { delete(p.recentClaims, owner) }

func (p *pacer) decay(now time.Time) {
	keep := math.Exp(-float64(now.Sub(p.decayedAt)) / float64(claimDecayTime))
	p.decayedAt = now
	for owner, n := range p.recentClaims {
		if n *= keep; n < minClaimCount {
			delete(p.recentClaims, owner)
		} else {
			p.recentClaims[owner] = n
		}
	}
}

// expectedClaims estimates the number of claims that other stores write in a given time. With a decay time of one second, a
// count approximates a rate per second.
func (p *pacer) expectedClaims(now time.Time, in time.Duration) float64 {
	p.decay(now)
	others := 0.0
	for owner, n := range p.recentClaims {
		if owner != selfOwner {
			others += n
		}
	}
	return others * float64(in) / float64(claimDecayTime)
}

// busiestWriter returns the store with the most recent claims. Ties go to the lower owner number, so that the result does not
// depend on map iteration order.
func (p *pacer) busiestWriter(now time.Time) (owner uint32, claims float64) {
	p.decay(now)
	owner = selfOwner
	for other, n := range p.recentClaims {
		if n > claims || n == claims && other < owner {
			owner, claims = other, n
		}
	}
	return owner, claims
}

// interval returns the minimum time between the starts of two of the store's own writes, of which the next has n claims.
func (p *pacer) interval(now time.Time, n int) time.Duration {
	p.decay(now)
	own := math.Sqrt(max(1, p.recentClaims[selfOwner]+float64(n)))
	total := own
	for owner, claims := range p.recentClaims {
		if owner != selfOwner {
			total += math.Sqrt(claims)
		}
	}
	return time.Duration(float64(p.baseInterval) * min(total/own, maxIntervalFactor))
}
