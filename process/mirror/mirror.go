// Package mirror keeps a local copy of a part of the platform's store, updated with changes from the store or from peers.
//
// The store numbers all changes with a single revision counter. For each key the change with the highest revision is kept, so changes may
// arrive from several sources, late, repeated or out of order, and no key reverts to an older value. If the store is restored from an older copy,
// which starts a new epoch (services.Revision), only a complete snapshot leads from the old content to the new one. A Mirror does no I/O and does not
// read the clock. It must be used by one goroutine only.
package mirror

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/jayridge/jayridge/process/services"
)

// Item is the latest change of one key.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	// Deleted means that the change removed the key; Value is empty then.
	Deleted bool
}

// bytes returns the size of the key and the value.
func (i Item) bytes() int { return len(i.Key) + len(i.Value) }

// Batch is a snapshot of the store, or the changes after a base revision.
type Batch struct {
	Items []Item
	// Revision is the copy's revision after the batch.
	Revision uint64
	// Full means that the batch is a snapshot: Items are all existing items, and keys without an item were removed.
	Full bool
	// Prefix, if set, is the prefix of the only keys that the batch covers. Such a batch does not change the copy's revision.
	Prefix string
	// AsOf is the latest time, by the receiver's clock, at which the batch is known to have matched the store.
	AsOf time.Time
	// ContactAt is the latest time, by the receiver's clock, at which the store is known to have responded to any gateway. The response need
	// not confirm the content, so it may be later than AsOf.
	ContactAt time.Time
}

// Bytes returns the size of the keys and values of the batch.
func (b Batch) Bytes() int {
	size := 0
	for _, i := range b.Items {
		size += i.bytes()
	}
	return size
}

// Watch is one long poll for changes.
type Watch struct {
	Prefix string
	// After is the revision after which changes are wanted.
	After uint64
	// Wait is the maximum time for which the store waits for a change.
	Wait time.Duration
	// NewConnection makes the call over a connection of its own, for when open ones may be silent.
	NewConnection bool
	// MaxBytes is the approximate maximum size of the keys and values of all changes together. The call returns ErrTooManyChanges as soon as it is
	// exceeded, without reading the rest. Zero means no maximum.
	MaxBytes int
	// Progress, if set, is called with the number of bytes of the response that have just arrived. It may block for a while to slow the reading down.
	Progress func(bytes int)
}

// ErrCompacted means that the store has discarded the changes after the requested revision. The copy must be updated with a full batch.
var ErrCompacted = errors.New("history lost")

// ErrTooManyChanges means that the changes after the requested revision are too large to be read. The copy must be updated with a full batch.
var ErrTooManyChanges = errors.New("too many changes")

// maxTombstones is the maximum number of tombstones kept. A tombstone is needed only for batches to copies with a lower revision.
const maxTombstones = 4096

// Mirror is a local copy of a part of the store.
type Mirror struct {
	items      map[string]Item
	tombstones int
	// bytes is the size of all keys and values, those of tombstones included.
	bytes    int
	revision uint64
	// historyStart is the lowest base revision, other than zero, for which Since lists the changes; below it, Since returns all items.
	historyStart uint64
	asOf         time.Time
	contactAt    time.Time
}

// New returns an empty copy at revision zero.
func New() *Mirror { return &Mirror{items: make(map[string]Item)} }

// Revision returns the store's revision up to which the copy is complete; zero before the first full batch.
func (m *Mirror) Revision() uint64 { return m.revision }

// Epoch returns the store's epoch that the copy is of.
func (m *Mirror) Epoch() uint64 { return epoch(m.revision) }

func epoch(revision uint64) uint64 { return services.Revision(revision).Epoch() }

// AsOf returns the latest time at which the copy was known to be current; zero before the first full batch.
func (m *Mirror) AsOf() time.Time { return m.asOf }

// Item returns the latest change of a key.
func (m *Mirror) Item(key string) (Item, bool) {
	i, found := m.items[key]
	return i, found
}

// Bytes returns the size of all keys and values, in bytes.
func (m *Mirror) Bytes() int { return m.bytes }

// ContactAt returns the latest time at which the store is known to have responded; zero if it is not known to.
func (m *Mirror) ContactAt() time.Time { return m.contactAt }

// Apply applies a batch and returns the items that changed, in ascending order of revision. after is the base revision of a batch that is
// not full; such a batch is ignored if the copy's revision is lower than after, since changes would be missing. An empty copy, and one of an earlier
// epoch, ignores all but snapshots of everything. The times at which the store responded count also if the changes are ignored.
func (m *Mirror) Apply(after uint64, b Batch) []Item {
	for _, at := range []time.Time{b.AsOf, b.ContactAt} {
		if at.After(m.contactAt) {
			m.contactAt = at
		}
	}
	isSnapshot := b.Full && b.Prefix == ""
	newEpoch := epoch(b.Revision) > m.Epoch()
	if (m.revision == 0 || newEpoch) && !isSnapshot || !b.Full && after > m.revision {
		return nil
	}
	var changed []Item
	for _, item := range b.Items {
		if epoch(item.Revision) == max(m.Epoch(), epoch(b.Revision)) && m.putIfNewer(item) {
			changed = append(changed, item)
		}
	}
	if b.Full {
		changed = append(changed, m.removeMissing(b)...)
	}
	if m.revision == 0 || newEpoch {
		m.historyStart = b.Revision
	}
	if b.Revision >= m.revision && b.Prefix == "" {
		m.revision = b.Revision
		if b.AsOf.After(m.asOf) {
			m.asOf = b.AsOf
		}
	}
	m.pruneTombstones()
	slices.SortFunc(changed, func(a, b Item) int { return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key)) })
	return changed
}

// putIfNewer stores an item if its revision is higher than the stored one, and reports whether the key's value or
// existence changed.
func (m *Mirror) putIfNewer(item Item) bool {
	known, found := m.items[item.Key]
	if found && known.Revision >= item.Revision {
		return false
	}
	if found && known.Deleted {
		m.tombstones--
	}
	if item.Deleted {
		m.tombstones++
	}
	m.set(item)
	return !item.Deleted || found && !known.Deleted
}

// set replaces the item of a key.
func (m *Mirror) set(item Item) {
	if known, found := m.items[item.Key]; found {
		m.bytes -= known.bytes()
	}
	m.items[item.Key] = item
	m.bytes += item.bytes()
}

// removeMissing marks the keys that are missing in a full batch as removed. The removals get the batch's revision, since their exact
// revisions are unknown but not higher.
func (m *Mirror) removeMissing(b Batch) []Item {
	present := make(map[string]struct{}, len(b.Items))
	for _, item := range b.Items {
		present[item.Key] = struct{}{}
	}
	var removed []Item
	for key, known := range m.items {
		if _, found := present[key]; found || known.Deleted || known.Revision > b.Revision || !strings.HasPrefix(key, b.Prefix) {
			continue
		}
		tombstone := Item{Key: key, Revision: b.Revision, Deleted: true}
		m.set(tombstone)
		m.tombstones++
		removed = append(removed, tombstone)
	}
	return removed
}

// pruneTombstones drops all tombstones once there are more than maxTombstones.
func (m *Mirror) pruneTombstones() {
	if m.tombstones <= maxTombstones {
		return
	}
	for key, item := range m.items {
		if item.Deleted {
			m.bytes -= item.bytes()
			delete(m.items, key)
		}
	}
	m.tombstones = 0
	m.historyStart = m.revision
}

// Since returns a batch that brings a copy at the given revision to this copy's revision: the changes after that revision, or all items
// if the changes are no longer available.
func (m *Mirror) Since(revision uint64) Batch {
	b := Batch{Revision: m.revision, AsOf: m.asOf, ContactAt: m.contactAt, Full: revision < m.historyStart || revision == 0}
	for _, item := range m.items {
		if b.Full && !item.Deleted || !b.Full && item.Revision > revision {
			b.Items = append(b.Items, item)
		}
	}
	slices.SortFunc(b.Items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return b
}
