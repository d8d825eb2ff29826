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

// combine hashes the pair of two xxhash64 values by the final mix of xxhash64. It serves the slot tables, whose build takes one
// hash for each slot and upstream; hashPair takes several times as long there.
func combine(a, b uint64) uint64 {
	const prime2, prime3 = 14029467366897019727, 1609587929392839161
	h := a ^ b
	h ^= h >> 33
	h *= prime2
	h ^= h >> 29
	h *= prime3
	return h ^ h>>32
}

// unit maps a hash to the open interval (0, 1) with 53 bits. The conversion from a signed number takes one instruction.
func unit(hash uint64) float64 {
	return (float64(int64(hash>>11)) + 0.5) / (1 << 53)
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
