package gateway

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxMesh is the size of a fleet up to which each gateway exchanges loads with each other.
	maxMesh = 10
	// maxNeighbours bounds the peers of a gateway in a larger fleet, where the control traffic of a gateway must not grow with the fleet.
	// Loads are then a sample, and news pass from neighbour to neighbour.
	maxNeighbours = 6
)

// neighbours returns the peers that a gateway keeps connections with: all of a small fleet, else those at three distances on a ring in
// both directions, so that each is also its neighbours' neighbour. With distances of 1 and of the first and second power of the fleet's
// cube root, news reach 790 gateways in some 15 steps.
func neighbours(self string, members []string) []string {
	if len(members) <= maxMesh {
		return slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == self })
	}
	ring := slices.Clone(members)
	slices.SortFunc(ring, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	at := slices.Index(ring, self)
	if at < 0 {
		return nil
	}
	root := math.Cbrt(float64(len(ring)))
	var near []string
	for power := range maxNeighbours / 2 {
		step := int(math.Round(math.Pow(root, float64(power))))
		near = append(near, ring[(at+step)%len(ring)], ring[(at-step+len(ring))%len(ring)])
	}
	slices.Sort(near)
	return slices.Compact(near)
}
