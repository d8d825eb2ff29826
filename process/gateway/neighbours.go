package gateway

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxNeighbours bounds the peers that a gateway exchanges loads with. A dozen is every other gateway of a small fleet; in a large one
// their loads are a sample of the fleet's, and news pass from neighbour to neighbour.
const maxNeighbours = 12

// neighbours returns the peers that a gateway keeps connections with: all of a small fleet, else those nearest on a ring in both
// directions, so that each is also its neighbours' neighbour.
func neighbours(self string, members []string) []string {
	if len(members) <= maxNeighbours+1 {
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
