package mirror

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jayridge/jayridge/process/services"
)

func putItem(key string, revision uint64) Item {
	return Item{Key: key, Revision: revision, Value: []byte(key)}
}

func deletedItem(key string, revision uint64) Item {
	return Item{Key: key, Revision: revision, Deleted: true}
}

// A delayed batch must not restore an older value or a removed key.
func TestApply_NeverReverts(t *testing.T) {
	m := New()
	m.Apply(0, Batch{Full: true, Revision: 5, Items: []Item{putItem("a", 3), putItem("b", 4)}})
	m.Apply(5, Batch{Revision: 8, Items: []Item{putItem("a", 7), deletedItem("b", 8)}})
	must.SliceEmpty(t, m.Apply(0, Batch{Full: true, Revision: 5, Items: []Item{putItem("a", 3), putItem("b", 4)}}))
	must.EqOp(t, 8, m.Revision())
	must.Eq(t, Batch{Full: true, Revision: 8, Items: []Item{putItem("a", 7)}}, m.Since(0))
}

// A full batch must remove the keys that it does not contain, except those that are newer than the batch.
func TestApply_FullRemovesMissing(t *testing.T) {
	m := New()
	m.Apply(0, Batch{Full: true, Revision: 5, Items: []Item{putItem("a", 3), putItem("b", 4)}})
	m.Apply(5, Batch{Revision: 12, Items: []Item{putItem("c", 12)}})
	changed := m.Apply(0, Batch{Full: true, Revision: 10, Items: []Item{putItem("b", 9)}})
	must.Eq(t, []Item{putItem("b", 9), deletedItem("a", 10)}, changed)
	must.EqOp(t, 12, m.Revision())
}

// A batch whose base revision is higher than the copy's revision must be ignored, since changes would be missing.
func TestApply_GapIgnored(t *testing.T) {
	m := New()
	must.SliceEmpty(t, m.Apply(4, Batch{Revision: 5, Items: []Item{putItem("a", 5)}}))
	must.EqOp(t, 0, m.Revision())
	m.Apply(0, Batch{Full: true, Revision: 5})
	must.SliceEmpty(t, m.Apply(9, Batch{Revision: 10, Items: []Item{putItem("a", 10)}}))
	must.EqOp(t, 5, m.Revision())
}

// Only batches that reach the copy's revision may update its AsOf time.
func TestApply_AsOf(t *testing.T) {
	m := New()
	m.Apply(0, Batch{Full: true, Revision: 5, AsOf: time.Unix(5, 0)})
	m.Apply(0, Batch{Revision: 4, AsOf: time.Unix(9, 0)})
	must.EqOp(t, time.Unix(5, 0), m.AsOf())
	m.Apply(5, Batch{Revision: 5, AsOf: time.Unix(7, 0)})
	must.EqOp(t, time.Unix(7, 0), m.AsOf())
}

// Copies that exchange batches in any order, with losses, must equal the store as soon as a batch brings them to its revision.
func TestMirror_Converges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		store, copies := New(), []*Mirror{New(), New(), New()}
		store.Apply(0, Batch{Full: true, Revision: 1})
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			switch rapid.IntRange(0, 4).Draw(r, "step") {
			case 0:
				revision := store.Revision() + 1
				item := putItem(rapid.SampledFrom([]string{"a", "b", "c", "p1", "p2", "p3"}).Draw(r, "key"), revision)
				if rapid.Bool().Draw(r, "delete") {
					item = deletedItem(item.Key, revision)
				}
				store.Apply(revision-1, Batch{Revision: revision, Items: []Item{item}})
			case 1:
				to := copies[rapid.IntRange(0, 2).Draw(r, "to")]
				to.Apply(to.Revision(), store.Since(to.Revision()))
			case 2:
				to := copies[rapid.IntRange(0, 2).Draw(r, "to")]
				before := to.Revision()
				to.Apply(before, Batch{Prefix: "p", Revision: store.Revision(), Items: withPrefix("p", store.Since(before))})
				must.EqOp(r, before, to.Revision())
			case 3:
				snapshot := Batch{Full: true, Prefix: "p", Revision: store.Revision(), Items: withPrefix("p", store.Since(0))}
				to := copies[rapid.IntRange(0, 2).Draw(r, "to")]
				before := to.Revision()
				to.Apply(0, snapshot)
				must.EqOp(r, before, to.Revision())
				if before > 0 {
					must.Eq(r, snapshot.Items, withPrefix("p", to.Since(0)))
				}
			default:
				from, to := copies[rapid.IntRange(0, 2).Draw(r, "from")], copies[rapid.IntRange(0, 2).Draw(r, "to")]
				if from.Revision() > 0 {
					to.Apply(to.Revision(), from.Since(to.Revision()))
				}
			}
		}
		for _, c := range copies {
			c.Apply(c.Revision(), store.Since(c.Revision()))
			must.Eq(r, store.Since(0).Items, c.Since(0).Items)
			size := 0
			for key, item := range c.items {
				size += len(key) + len(item.Value)
			}
			must.EqOp(r, size, c.Bytes())
		}
	})
}

// withPrefix returns the items of a batch whose keys have a prefix.
func withPrefix(prefix string, b Batch) []Item {
	var items []Item
	for _, i := range b.Items {
		if strings.HasPrefix(i.Key, prefix) {
			items = append(items, i)
		}
	}
	return items
}

// inEpoch returns an item of a later epoch of the store.
func inEpoch(t *testing.T, epoch uint64, i Item) Item {
	r, err := services.NewRevision(epoch, i.Revision)
	must.NoError(t, err)
	i.Revision = uint64(r)
	return i
}

// After a restoration only a snapshot may lead to the new content. It must replace all older content, though the numbers of its revisions are lower, and
// nothing of an earlier epoch may come back.
func TestApply_StoreRestored(t *testing.T) {
	m := New()
	m.Apply(0, Batch{Full: true, Revision: 20, Items: []Item{putItem("a", 3), putItem("b", 18)}})
	revision := inEpoch(t, 1, Item{Revision: 9}).Revision
	a, c := inEpoch(t, 1, putItem("a", 4)), inEpoch(t, 1, putItem("c", 8))
	must.SliceEmpty(t, m.Apply(20, Batch{Revision: revision, Items: []Item{c}}))
	must.SliceEmpty(t, m.Apply(20, Batch{Full: true, Prefix: "c", Revision: revision, Items: []Item{c}}))
	must.EqOp(t, 20, m.Revision())
	changed := m.Apply(0, Batch{Full: true, Revision: revision, Items: []Item{a, c}})
	must.Eq(t, []Item{a, c, {Key: "b", Revision: revision, Deleted: true}}, changed)
	must.EqOp(t, 1, m.Epoch())
	must.SliceEmpty(t, m.Apply(20, Batch{Revision: 30, Items: []Item{putItem("b", 25), putItem("d", 30)}}))
	must.SliceEmpty(t, m.Apply(0, Batch{Full: true, Revision: 30, Items: []Item{putItem("d", 30)}}))
	must.SliceEmpty(t, m.Apply(20, Batch{Items: []Item{putItem("d", 30)}}))
	must.Eq(t, Batch{Full: true, Revision: revision, Items: []Item{a, c}}, m.Since(0))
}

// A neighbour whose copy is of an earlier epoch must get everything: it may have keys that this copy never had.
func TestSince_EarlierEpoch(t *testing.T) {
	m := New()
	m.Apply(0, Batch{Full: true, Revision: 5, Items: []Item{putItem("a", 3)}})
	a := inEpoch(t, 1, putItem("a", 4))
	m.Apply(0, Batch{Full: true, Revision: a.Revision, Items: []Item{a}})
	must.Eq(t, Batch{Full: true, Revision: a.Revision, Items: []Item{a}}, m.Since(30))
}
