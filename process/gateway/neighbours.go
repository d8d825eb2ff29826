package gateway

import (
	"cmp"
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

// neighbours returns the peers that a gateway keeps connections with: all of a small fleet, else those nearest on a ring in both
// directions, so that each is also its neighbours' neighbour.
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
	var near []string
	for step := 1; step <= maxNeighbours/2; step++ {
		near = append(near, ring[(at+step)%len(ring)], ring[(at-step+len(ring))%len(ring)])
	}
	slices.Sort(near)
	return near
}
