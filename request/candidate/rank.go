package candidate

import "math"

// slotSeed keeps the hashes of slots independent of those of data centres.
const slotSeed = 0x736c6f74

// maxStackDataCentres is the number of data centres up to which Candidates does not allocate.
const maxStackDataCentres = 64

// slotOf returns the slot of a chat. slotCount must be a power of two. The chat number is hashed again, so that it need not be
// uniformly distributed.
func slotOf(chat uint64, slotCount int) int {
	return int(hashPair(chat, slotSeed)) & (slotCount - 1)
}

// Candidates appends the candidates of a chat to dst in order of preference until dst is full. It never grows dst, and does not
// allocate with up to 64 data centres. The first candidates come from the chat's preferred data centre in allowed, the others
// from the next data centres in rank order. For a request without a chat, pass a random number as chat. Nothing is appended if
// no upstream of the service version is in an allowed data centre.
func (v *View) Candidates(service, version string, allowed DataCentreSet, chat uint64, dst []Candidate) []Candidate {
	if v == nil {
		return dst
	}
	sv := v.versions[serviceVersionKey{service, version}]
	if sv == nil {
		return dst
	}
	var buf [maxStackDataCentres]float64
	costs := sv.costs(allowed, chat, buf[:0])
	slot := slotOf(chat, v.slotCount)
	count := v.cfg.FirstDataCentreCandidates
	for len(dst) < cap(dst) && count > 0 {
		best := lowest(costs)
		if best < 0 {
			break
		}
		dst = sv.dataCentres[best].table.appendSlot(dst, slot, count)
		costs[best] = math.Inf(1)
		count = v.cfg.OtherDataCentreCandidates
	}
	return dst
}

// costs appends the rendezvous cost of each data centre to dst; it is infinite if the data centre is not allowed.
func (sv *serviceVersion) costs(allowed DataCentreSet, chat uint64, dst []float64) []float64 {
	for i := range sv.dataCentres {
		d := &sv.dataCentres[i]
		c := math.Inf(1)
		if allowed.Contains(d.name) {
			c = rendezvousCost(hashPair(chat, d.hash), d.weight)
		}
		dst = append(dst, c)
	}
	return dst
}

// lowest returns the index of the lowest finite cost, the first one if several are equal, or -1 if none is finite.
func lowest(costs []float64) int {
	best, limit := -1, math.Inf(1)
	for i, c := range costs {
		if c < limit {
			best, limit = i, c
		}
	}
	return best
}
