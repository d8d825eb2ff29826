package candidate

import "math"

// slotSeed separates the hash of a slot from that of a data centre.
const slotSeed = 0x736c6f74

// stackSites is the number of data centres up to which a decision does not allocate.
const stackSites = 64

// slotOf returns the slot of a chat in tables with a power of two of slots. It hashes the number again, so that callers need not pass a uniform one.
func slotOf(chat uint64, slotCount int) int {
	return int(hashPair(chat, slotSeed)) & (slotCount - 1)
}

// Candidates appends the candidates of a chat to dst, the preferred one first, until dst is full: it never grows dst, and
// does not allocate with up to 64 data centres. The first candidates come from the chat's first data centre in reach, the
// others from the next data centres. Calls without a chat pass a random number as chat. The result is empty if no upstream of
// the service version is in reach.
func (v *View) Candidates(service, version string, home Reach, chat uint64, dst []Candidate) []Candidate {
	if v == nil {
		return dst
	}
	g := v.groups[groupKey{service, version}]
	if g == nil {
		return dst
	}
	var buf [stackSites]float64
	costs := g.costs(home, chat, buf[:0])
	slot := slotOf(chat, v.slotCount)
	take := v.cfg.FirstDataCentre
	for len(dst) < cap(dst) && take > 0 {
		best := lowest(costs)
		if best < 0 {
			break
		}
		dst = g.sites[best].table.appendSlot(dst, slot, take)
		costs[best] = math.Inf(1)
		take = v.cfg.OtherDataCentres
	}
	return dst
}

// costs appends the rendezvous cost of each site, infinite if it is out of reach.
func (g *group) costs(home Reach, chat uint64, dst []float64) []float64 {
	for i := range g.sites {
		s := &g.sites[i]
		c := math.Inf(1)
		if home.Contains(s.name) {
			c = cost(hashPair(chat, s.hash), s.weight)
		}
		dst = append(dst, c)
	}
	return dst
}

// lowest returns the index of the lowest finite cost, the first of equal ones, or -1.
func lowest(costs []float64) int {
	best, limit := -1, math.Inf(1)
	for i, c := range costs {
		if c < limit {
			best, limit = i, c
		}
	}
	return best
}
