package gateway

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxFullMesh is the fleet size up to which every gateway is connected to every other.
	maxFullMesh = 10
	// maxLoadMesh is the fleet size up to which every gateway tells every other its requests in flight, in small messages. In a larger fleet only
	// the neighbours do, and the known loads are a sample: with 68 gateways, the root mean square error was 5.8 requests in place of 1.5.
	maxLoadMesh = 100
	// maxNeighbours is the maximum number of neighbours in a larger fleet, where the control traffic of a gateway must not grow with the
	// fleet. Updates are then forwarded from neighbour to neighbour.
	maxNeighbours = 6
	// bridges is the number of links between two adjacent data centres in a fleet of more than maxLoadMesh gateways. Updates are forwarded over every link,
	// so that with neighbours chosen regardless of data centres two thirds of the copies went between them.
	bridges = 4
	// adjacentDataCentres is the number of following data centres, in the order of their names, to which a data centre has links.
	adjacentDataCentres = 2
)

// neighbours returns the peers that a gateway keeps connections to, given the data centres of all gateways: in a small fleet all of them, in a medium one
// those at three distances on a ring of all gateways. In a large one the rings are within the data centres, and a few gateways of each have further
// neighbours in adjacent data centres. The relation is symmetric.
func neighbours(self string, dataCentres map[string]string) []string {
	members := slices.Collect(maps.Keys(dataCentres))
	var near []string
	switch {
	case len(members) <= maxFullMesh:
		near = slices.DeleteFunc(members, func(m string) bool { return m == self })
	case len(members) <= maxLoadMesh:
		near = ringNeighbours(self, hashOrder(members))
	default:
		near = bridgedNeighbours(self, dataCentres)
	}
	slices.Sort(near)
	return slices.Compact(near)
}

// hashOrder sorts names by their hashes, so that a gateway's place does not depend on its number.
func hashOrder(names []string) []string {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return names
}

// ringNeighbours returns the members at three distances in both directions on a ring. The distances are the powers 0, 1 and 2 of the cube root of its
// size, with which an update reaches 790 gateways in about 15 hops.
func ringNeighbours(self string, ring []string) []string {
	at := slices.Index(ring, self)
	if at < 0 {
		return nil
	}
	root := math.Cbrt(float64(len(ring)))
	var near []string
	for power := range maxNeighbours / 2 {
		step := int(math.Round(math.Pow(root, float64(power)))) % len(ring)
		near = append(near, ring[(at+step)%len(ring)], ring[(at-step+len(ring))%len(ring)])
	}
	return slices.DeleteFunc(near, func(m string) bool { return m == self })
}

// bridgedNeighbours returns the neighbours in the gateway's own data centre and, for some gateways of each data centre, one in each adjacent one. The
// gateways that link two data centres are those with the same rank in the hash orders of both; each distance between data centres uses other ranks.
func bridgedNeighbours(self string, dataCentres map[string]string) []string {
	byDataCentre := make(map[string][]string)
	for name, dc := range dataCentres {
		byDataCentre[dc] = append(byDataCentre[dc], name)
	}
	names := slices.Sorted(maps.Keys(byDataCentre))
	for _, members := range byDataCentre {
		hashOrder(members)
	}
	own := dataCentres[self]
	near := ringNeighbours(self, byDataCentre[own])
	at := slices.Index(names, own)
	for distance := 1; distance <= min(adjacentDataCentres, len(names)-1); distance++ {
		for _, i := range []int{(at + distance) % len(names), (at - distance + len(names)) % len(names)} {
			near = append(near, bridgesTo(self, byDataCentre[own], byDataCentre[names[i]], (distance-1)*bridges)...)
		}
	}
	return near
}

// bridgesTo returns the members of another data centre to which a gateway is linked. Ranks beyond the end of a data centre begin again at its start.
func bridgesTo(self string, own, other []string, firstRank int) []string {
	var near []string
	for rank := firstRank; rank < firstRank+bridges; rank++ {
		if own[rank%len(own)] == self {
			near = append(near, other[rank%len(other)])
		}
	}
	return near
}
