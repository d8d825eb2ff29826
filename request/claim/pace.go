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

// shared says whether another store wrote to the shard lately.
func (p *pace) shared(now time.Time) bool {
	p.decay(now)
	_, self := p.claims[self]
	return len(p.claims) > 1 || len(p.claims) == 1 && !self
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
