// Package mirror is a process's copy of a part of the platform's store, kept current by changes from the store or from peers.
//
// The store numbers all changes with one revision. For each key the highest revision wins, so changes may arrive from several sources,
// late, repeated or out of order, and the copy never goes back. A Mirror is a state machine without clock or I/O; one goroutine uses it.
package mirror

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// Item is the latest change of one key.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	// Deleted says that the change removed the key; Value is empty then.
	Deleted bool
}

// Batch is a set of changes that leads a copy to a revision.
type Batch struct {
	Items []Item
	// Revision is the one that the copy has after the batch.
	Revision uint64
	// Whole says that Items are all items that exist, and that keys which are not among them were removed.
	Whole bool
	// AsOf is when the batch was known to be current, by the receiver's clock.
	AsOf time.Time
}

// ErrHistoryLost means that the changes since a revision are no longer known; the copy starts over with a whole batch.
var ErrHistoryLost = errors.New("history lost")

// maxTombstones bounds the removed keys that are remembered. A removal is needed only by copies that lag behind it.
const maxTombstones = 4096

// Mirror is the copy.
type Mirror struct {
	items    map[string]Item
	deleted  int
	revision uint64
	// complete is the lowest revision from which Since can list all later changes.
	complete uint64
	asOf     time.Time
}

// New returns an empty copy at revision zero.
func New() *Mirror { return &Mirror{items: make(map[string]Item)} }

// Revision is the store's revision up to which the copy is complete; zero before the first whole batch.
func (m *Mirror) Revision() uint64 { return m.revision }

// AsOf is the latest time at which the copy was known to be current; zero before the first whole batch.
func (m *Mirror) AsOf() time.Time { return m.asOf }

// Apply takes a batch and returns the items that changed, in ascending order of revision. after is the revision that a batch that is
// not whole continues from; it is ignored if the copy does not reach that far.
func (m *Mirror) Apply(after uint64, b Batch) []Item {
	if !b.Whole && (after > m.revision || m.revision == 0) {
		return nil
	}
	var changed []Item
	for _, item := range b.Items {
		if m.put(item) {
			changed = append(changed, item)
		}
	}
	if b.Whole {
		changed = append(changed, m.removeMissing(b)...)
	}
	if b.Whole && m.revision == 0 {
		m.complete = b.Revision
	}
	if b.Revision >= m.revision {
		m.revision = b.Revision
		if b.AsOf.After(m.asOf) {
			m.asOf = b.AsOf
		}
	}
	m.prune()
	slices.SortFunc(changed, func(a, b Item) int { return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key)) })
	return changed
}

func (m *Mirror) put(item Item) bool {
	known, found := m.items[item.Key]
	if found && known.Revision >= item.Revision {
		return false
	}
	if found && known.Deleted {
		m.deleted--
	}
	if item.Deleted {
		m.deleted++
	}
	m.items[item.Key] = item
	return !item.Deleted || found && !known.Deleted
}

// removeMissing marks the keys that a whole batch does not have. The removal happened at the batch's revision at the latest.
func (m *Mirror) removeMissing(b Batch) []Item {
	present := make(map[string]struct{}, len(b.Items))
	for _, item := range b.Items {
		present[item.Key] = struct{}{}
	}
	var removed []Item
	for key, known := range m.items {
		if _, found := present[key]; found || known.Deleted || known.Revision > b.Revision {
			continue
		}
		gone := Item{Key: key, Revision: b.Revision, Deleted: true}
		m.items[key] = gone
		m.deleted++
		removed = append(removed, gone)
	}
	return removed
}

// prune forgets removals once there are too many.
func (m *Mirror) prune() {
	if m.deleted <= maxTombstones {
		return
	}
	for key, item := range m.items {
		if item.Deleted {
			delete(m.items, key)
		}
	}
	m.deleted = 0
	m.complete = m.revision
}

// Since returns a batch that leads a copy at the given revision to this one: the changes since then, or all items.
func (m *Mirror) Since(revision uint64) Batch {
	b := Batch{Revision: m.revision, AsOf: m.asOf, Whole: revision < m.complete || revision == 0}
	for _, item := range m.items {
		if b.Whole && !item.Deleted || !b.Whole && item.Revision > revision {
			b.Items = append(b.Items, item)
		}
	}
	slices.SortFunc(b.Items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return b
}
