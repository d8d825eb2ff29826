package gateway

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// The neighbour relation must be symmetric: a gateway whose neighbour does not consider it one would get no updates from it. The graph must
// be connected, so that updates reach all gateways.
func TestNeighbours_SymmetricAndConnected(t *testing.T) {
	for _, n := range []int{1, 2, 5, 10, 11, 31, 100} {
		var members []string
		for i := range n {
			members = append(members, fmt.Sprintf("gateway-%d", i))
		}
		reached := map[string]bool{members[0]: true}
		next := []string{members[0]}
		for len(next) > 0 {
			m := next[0]
			next = next[1:]
			near := neighbours(m, members)
			must.LessEq(t, maxFullMesh-1, len(near))
			must.SliceNotContains(t, near, m)
			for _, other := range near {
				must.True(t, slices.Contains(neighbours(other, members), m))
				if !reached[other] {
					reached[other] = true
					next = append(next, other)
				}
			}
		}
		must.MapLen(t, n, reached)
	}
}
