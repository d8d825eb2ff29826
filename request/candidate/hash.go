package candidate

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// hashPair hashes two numbers with xxhash64.
func hashPair(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// unit maps a hash to the open interval (0, 1) with 53 bits.
func unit(hash uint64) float64 {
	return (float64(hash>>11) + 0.5) / (1 << 53)
}

// cost is the weighted rendezvous cost of a hash: an exponential variable with rate weight, the lowest cost wins. The winner
// is then distributed in proportion to the weights, and a change of one weight moves only that member's keys.
func cost(hash uint64, weight float64) float64 {
	return -math.Log(unit(hash)) / weight
}

// mayBeat says whether cost(hash, weight) can be below limit. It avoids the logarithm by -ln(u) >= 1-u.
func mayBeat(hash uint64, weight, limit float64) bool {
	return 1-unit(hash) < limit*weight
}
