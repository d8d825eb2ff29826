package claim

import (
	"math"
	"time"
)

const (
	// paceMemory is the time in which the count of a writer's claims decays to 1/e.
	paceMemory = time.Second
	// paceForget is the count below which a writer is forgotten.
	paceForget = 0.05
	// paceLongest bounds the interval between writes, in multiples of the interval of a lone writer. Beyond it more writers
	// mean more writes.
	paceLongest = 12
)

// pace divides the write rate of a shard among the stores that write to it. Each one sees from the log what the others write.
// Rates in proportion to the square root of a writer's claims make the mean wait of all claims the least for a given total.
type pace struct {
	base time.Duration
	// claims counts recent claims by owner number, with decay.
	claims map[uint32]float64
	at     time.Time
}

func newPace(base time.Duration) pace { return pace{base: base, claims: map[uint32]float64{}} }

// saw takes a batch with n claims that was found in the log.
func (p *pace) saw(now time.Time, owner uint32, n int) {
	p.decay(now)
	p.claims[owner] += float64(n)
}

// forget drops the claims of a writer.
func (p *pace) forget(owner uint32) { delete(p.claims, owner) }

func (p *pace) decay(now time.Time) {
	keep := math.Exp(-float64(now.Sub(p.at)) / float64(paceMemory))
	p.at = now
	for owner, n := range p.claims {
		if n *= keep; n < paceForget {
			delete(p.claims, owner)
		} else {
			p.claims[owner] = n
		}
	}
}

// expected estimates the claims that other stores write in a time. A count that decays within a second is about a rate per second.
func (p *pace) expected(now time.Time, in time.Duration) float64 {
	p.decay(now)
	others := 0.0
	for owner, n := range p.claims {
		if owner != self {
			others += n
		}
	}
	return others * float64(in) / float64(paceMemory)
}

// most returns the store with the most recent claims. Equal counts go to the lower owner number, so that the result does not
// depend on the order of a map.
func (p *pace) most(now time.Time) (owner uint32, claims float64) {
	p.decay(now)
	owner = self
	for other, n := range p.claims {
		if n > claims || n == claims && other < owner {
			owner, claims = other, n
		}
	}
	return owner, claims
}

// interval returns the least time between the starts of two of the store's own writes, of which the next has n claims.
func (p *pace) interval(now time.Time, n int) time.Duration {
	p.decay(now)
	own := math.Sqrt(max(1, p.claims[self]+float64(n)))
	total := own
	for owner, claims := range p.claims {
		if owner != self {
			total += math.Sqrt(claims)
		}
	}
	return time.Duration(float64(p.base) * min(total/own, paceLongest))
}
