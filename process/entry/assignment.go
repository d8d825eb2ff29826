package entry

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jayridge/jayridge/process/services"
)

// indexOf returns the index of an instance in a list sorted by ID, and the length of the list. If the instance is missing, it returns
// the insertion index and counts the instance.
func indexOf(sorted []services.Instance, id string) (index, n int) {
	index, found := slices.BinarySearchFunc(sorted, id, func(i services.Instance, id string) int { return strings.Compare(i.ID, id) })
	if found {
		return index, len(sorted)
	}
	return index, len(sorted) + 1
}

// entriesPerRemoteSidecar is the number of entries across the fleet that connect to each sidecar regardless of data centre. The
// entries of the sidecar's own data centre connect as well, but there may be none.
const entriesPerRemoteSidecar = 2

// isAssigned reports whether the entry at the given index must connect to the sidecar. The sidecar's hash selects
// entriesPerRemoteSidecar consecutive entries.
func isAssigned(index, entries int, sidecar string) bool {
	first := int(xxhash.Sum64String(sidecar) % uint64(entries))
	return (index-first+entries)%entries < entriesPerRemoteSidecar
}
