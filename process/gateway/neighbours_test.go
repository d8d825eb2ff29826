package gateway

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// dataCentresOf returns gateways spread over data centres, the first of which has a single gateway if there are several.
func dataCentresOf(gateways, count int) map[string]string {
	members := make(map[string]string, gateways)
	for i := range gateways {
		dc := 0
		if i > 0 && count > 1 {
			dc = 1 + i%(count-1)
		}
		members[fmt.Sprintf("gateway-%d", i)] = fmt.Sprintf("dc-%d", dc)
	}
	return members
}

// The neighbour relation must be symmetric: a gateway whose neighbour does not consider it one would get no updates from it. The graph must
// be connected, so that updates reach all gateways, and the number of neighbours must not grow with the fleet.
func TestNeighbours_SymmetricAndConnected(t *testing.T) {
	for _, n := range []int{1, 2, 5, 10, 11, 31, 100, 101, 300, 790} {
		for _, count := range []int{1, 2, 3, 23} {
			members := dataCentresOf(n, count)
			near := make(map[string]map[string]bool)
			most := 0
			for m := range members {
				near[m] = make(map[string]bool)
				for _, other := range neighbours(m, members) {
					near[m][other] = true
				}
				must.False(t, near[m][m])
				if n <= maxLoadMesh || members[m] != "dc-0" {
					most = max(most, len(near[m])) // the only gateway of a data centre has all of its links
				}
			}
			limit := maxFullMesh - 1
			if n > maxLoadMesh {
				limit = maxNeighbours + 2*adjacentDataCentres
			}
			must.LessEq(t, limit, most)
			reached := map[string]bool{"gateway-0": true}
			for next := []string{"gateway-0"}; len(next) > 0; next = next[1:] {
				for other := range near[next[0]] {
					must.True(t, near[other][next[0]], must.Sprint(next[0], " and ", other))
					if !reached[other] {
						reached[other] = true
						next = append(next, other)
					}
				}
			}
			must.MapLen(t, n, reached, must.Sprint(count, " data centres"))
		}
	}
}

// Updates are forwarded over every link: the links between data centres must not grow with the fleet.
func TestNeighbours_LinksBetweenDataCentres(t *testing.T) {
	for _, n := range []int{101, 300, 790} {
		members := dataCentresOf(n, 4)
		links := 0
		for m, dc := range members {
			for _, other := range neighbours(m, members) {
				if members[other] != dc {
					links++
				}
			}
		}
		must.LessEq(t, 4*2*adjacentDataCentres*bridges, links, must.Sprint(n, " gateways"))
	}
}

// With one gateway of each pair that links two data centres gone, the others still link them.
func TestNeighbours_BridgesAreNotOneGateway(t *testing.T) {
	members := dataCentresOf(300, 3)
	linking := make(map[string]bool)
	for m, dc := range members {
		for _, other := range neighbours(m, members) {
			if dc == "dc-1" && members[other] == "dc-2" {
				linking[m] = true
			}
		}
	}
	must.MapLen(t, 2*bridges, linking) // at the distances 1 and 2 of three data centres
}
