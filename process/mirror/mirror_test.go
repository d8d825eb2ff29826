package mirror

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func put(key string, revision uint64) Item {
	return Item{Key: key, Revision: revision, Value: []byte(key)}
}

func gone(key string, revision uint64) Item {
	return Item{Key: key, Revision: revision, Deleted: true}
}

// A late answer must not bring back an older value or a removed key.
func TestApply_NeverGoesBack(t *testing.T) {
	m := New()
	m.Apply(0, Batch{Whole: true, Revision: 5, Items: []Item{put("a", 3), put("b", 4)}})
	m.Apply(5, Batch{Revision: 8, Items: []Item{put("a", 7), gone("b", 8)}})
	must.SliceEmpty(t, m.Apply(0, Batch{Whole: true, Revision: 5, Items: []Item{put("a", 3), put("b", 4)}}))
	must.EqOp(t, 8, m.Revision())
	must.Eq(t, Batch{Whole: true, Revision: 8, Items: []Item{put("a", 7)}}, m.Since(0))
}

// A whole batch after lost history must remove what it lacks, except what is newer than it.
func TestApply_WholeRemovesMissing(t *testing.T) {
	m := New()
	m.Apply(0, Batch{Whole: true, Revision: 5, Items: []Item{put("a", 3), put("b", 4)}})
	m.Apply(5, Batch{Revision: 12, Items: []Item{put("c", 12)}})
	changed := m.Apply(0, Batch{Whole: true, Revision: 10, Items: []Item{put("b", 9)}})
	must.Eq(t, []Item{put("b", 9), gone("a", 10)}, changed)
	must.EqOp(t, 12, m.Revision())
}

// A batch that continues from a later revision than the copy's would leave a gap.
func TestApply_GapIgnored(t *testing.T) {
	m := New()
	must.SliceEmpty(t, m.Apply(4, Batch{Revision: 5, Items: []Item{put("a", 5)}}))
	must.EqOp(t, 0, m.Revision())
	m.Apply(0, Batch{Whole: true, Revision: 5})
	must.SliceEmpty(t, m.Apply(9, Batch{Revision: 10, Items: []Item{put("a", 10)}}))
	must.EqOp(t, 5, m.Revision())
}

// Freshness may only come from batches that reach the copy's revision.
func TestApply_AsOf(t *testing.T) {
	m := New()
	m.Apply(0, Batch{Whole: true, Revision: 5, AsOf: time.Unix(5, 0)})
	m.Apply(0, Batch{Revision: 4, AsOf: time.Unix(9, 0)})
	must.EqOp(t, time.Unix(5, 0), m.AsOf())
	m.Apply(5, Batch{Revision: 5, AsOf: time.Unix(7, 0)})
	must.EqOp(t, time.Unix(7, 0), m.AsOf())
}

// Copies that exchange batches in any order, with losses, must agree with the store as soon as one batch brings them to its revision.
func TestMirror_Converges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		store, copies := New(), []*Mirror{New(), New(), New()}
		store.Apply(0, Batch{Whole: true, Revision: 1})
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			switch rapid.IntRange(0, 2).Draw(r, "step") {
			case 0:
				revision := store.Revision() + 1
				item := put(fmt.Sprint(rapid.IntRange(0, 5).Draw(r, "key")), revision)
				if rapid.Bool().Draw(r, "delete") {
					item = gone(item.Key, revision)
				}
				store.Apply(revision-1, Batch{Revision: revision, Items: []Item{item}})
			case 1:
				to := copies[rapid.IntRange(0, 2).Draw(r, "to")]
				to.Apply(to.Revision(), store.Since(to.Revision()))
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
		}
	})
}
