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

// combineHashes hashes a pair of xxhash64 values with the finalizer of xxhash64. The slot tables use it, since a build computes one
// hash for each slot and upstream and hashPair takes several times as long there.
func combineHashes(a, b uint64) uint64 {
	const prime2, prime3 = 14029467366897019727, 1609587929392839161
	h := a ^ b
	h ^= h >> 33
	h *= prime2
	h ^= h >> 29
	h *= prime3
	return h ^ h>>32
}

// uniform maps a hash to the open interval (0, 1) with 53 bits of precision. It converts from a signed integer, which takes a single
// instruction.
func uniform(hash uint64) float64 {
	return (float64(int64(hash>>11)) + 0.5) / (1 << 53)
}

// rendezvousCost returns the weighted rendezvous cost of a hash: an exponentially distributed variable with rate weight, of which
// the lowest wins. Members win in proportion to their weights, and a change of one weight moves only keys of that member.
func rendezvousCost(hash uint64, weight float64) float64 {
	return -math.Log(uniform(hash)) / weight
}

// mayCostLess reports whether rendezvousCost(hash, weight) can be below limit. It uses -ln(u) >= 1-u to avoid the logarithm.
func mayCostLess(hash uint64, weight, limit float64) bool {
	return 1-uniform(hash) < limit*weight
}
