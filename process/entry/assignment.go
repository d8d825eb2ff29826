package entry

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jayridge/jayridge/process/services"
)

// position returns the position of an instance in the sorted list and the list's length, counting the instance if it is missing.
func position(sorted []services.Instance, id string) (index, n int) {
	index, found := slices.BinarySearchFunc(sorted, id, func(i services.Instance, id string) int { return strings.Compare(i.ID, id) })
	if found {
		return index, len(sorted)
	}
	return index, len(sorted) + 1
}

// entriesPerSidecar is how many entries of the whole fleet connect to a sidecar besides those of its own data centre, which may have
// none.
const entriesPerSidecar = 2

func isAssigned(index, entries int, sidecar string) bool {
	first := int(xxhash.Sum64String(sidecar) % uint64(entries))
	return (index-first+entries)%entries < entriesPerSidecar
}
