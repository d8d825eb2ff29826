package directory

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func usableIDs(d *Directory) []string {
	var all []string
	for _, u := range d.Usable() {
		all = append(all, u.ID)
	}
	return all
}

// While the store is reachable, an upstream whose entry is removed must become unusable immediately.
func TestRemoveEntry_UnusableImmediately(t *testing.T) {
	d := New(start, DefaultConfig())
	d.ApplyEntry(at(0), Entry{ID: "a"})
	d.RecordContact(at(900))
	change, changed := d.RemoveEntry(at(1000), "a")
	must.True(t, changed)
	must.EqOp(t, Gone, change.To)
	must.SliceEmpty(t, usableIDs(d))
}

// A contact that a neighbour reports late must not make the next contact look like the end of an outage.
func TestRecordContact_OlderAfterNewer(t *testing.T) {
	d := New(start, DefaultConfig())
	d.ApplyEntry(at(0), Entry{ID: "a"})
	d.RecordContact(at(2000))
	d.RecordContact(at(700))
	d.RecordContact(at(3000))
	change, _ := d.RemoveEntry(at(3000), "a")
	must.EqOp(t, Gone, change.To)
}

// Upstreams whose entries expire during an outage of the store must stay usable. One that is still missing two seconds after the end of the
// outage must be marked as gone.
func TestRemoveEntry_ExpiredDuringOutage(t *testing.T) {
	d := New(start, DefaultConfig())
	d.ApplyEntry(at(0), Entry{ID: "a"})
	d.ApplyEntry(at(0), Entry{ID: "b"})
	d.RecordContact(at(5000))
	d.RemoveEntry(at(5010), "a")
	d.RemoveEntry(at(5010), "b")
	must.Eq(t, []string{"a", "b"}, usableIDs(d))
	d.ApplyEntry(at(6000), Entry{ID: "a", Sequence: 9})
	for ms := 5500; ms <= 6900; ms += 100 {
		d.RecordContact(at(ms))
		must.SliceEmpty(t, d.Tick(at(ms)))
	}
	d.RecordContact(at(7001))
	must.Eq(t, []Change{{ID: "b", From: Missing, To: Gone}}, d.Tick(at(7001)))
	must.Eq(t, []string{"a"}, usableIDs(d))
}

// A draining upstream whose entry expires during an outage must not become usable again.
func TestRemoveEntry_DrainingStaysUnusable(t *testing.T) {
	d := New(start, DefaultConfig())
	d.ApplyEntry(at(0), Entry{ID: "a", Draining: true})
	d.RecordContact(at(5000))
	d.RemoveEntry(at(5010), "a")
	must.SliceEmpty(t, usableIDs(d))
}

// A delayed entry from before the drain must not make the upstream usable again, but an entry that it writes after
// a restart must.
func TestApplyEntry_Delayed(t *testing.T) {
	d := New(start, DefaultConfig())
	d.ApplyEntry(at(0), Entry{ID: "a", Started: 100, Sequence: 7, Draining: true})
	_, changed := d.ApplyEntry(at(10), Entry{ID: "a", Started: 100, Sequence: 6})
	must.False(t, changed)
	must.SliceEmpty(t, usableIDs(d))
	d.RemoveEntry(at(20), "a")
	d.ApplyEntry(at(30), Entry{ID: "a", Started: 100, Sequence: 6})
	must.SliceEmpty(t, usableIDs(d))
	change, changed := d.ApplyEntry(at(40), Entry{ID: "a", Started: 200, Sequence: 0, ColdFor: 3 * time.Second})
	must.True(t, changed)
	must.True(t, change.Restarted)
	must.EqOp(t, at(3040), d.Usable()[0].ColdUntil)
}

// Leaving must list upstreams for as long as they probably serve, so that prompts can be copied from them, and no longer.
func TestLeaving_WhileTheyServe(t *testing.T) {
	d := New(start, DefaultConfig())
	for _, id := range []string{"draining", "removed", "ready"} {
		d.ApplyEntry(at(0), Entry{ID: id, Draining: id == "draining"})
	}
	d.RecordContact(at(9))
	d.RemoveEntry(at(10), "removed")
	must.Len(t, 2, d.Leaving(at(1000)))
	left := d.Leaving(at(1510))
	must.Len(t, 1, left)
	must.EqOp(t, "draining", left[0].ID)
}

// After the store was restored from an older copy, entries that it lacks may be written again, and entries that it has again must bring back no
// upstream that has left since.
func TestRecordRestore(t *testing.T) {
	d := New(start, DefaultConfig())
	for _, id := range []string{"new", "left", "draining"} {
		d.ApplyEntry(at(0), Entry{ID: id, Sequence: 5})
	}
	d.RecordContact(at(900))
	d.RemoveEntry(at(1000), "left")
	d.ApplyEntry(at(1000), Entry{ID: "draining", Sequence: 6, Draining: true})
	d.RecordRestore(at(1100))
	d.RemoveEntry(at(1100), "new")
	d.ApplyEntry(at(1100), Entry{ID: "left", Sequence: 5})
	d.ApplyEntry(at(1100), Entry{ID: "draining", Sequence: 5})
	must.Eq(t, []string{"new"}, usableIDs(d))
	d.ApplyEntry(at(1500), Entry{ID: "left", Sequence: 6})
	must.Eq(t, []string{"left", "new"}, usableIDs(d))
	d.RecordContact(at(2000))
	must.SliceEmpty(t, d.Tick(at(2000)))
	d.RecordContact(at(3101))
	must.Eq(t, []Change{{ID: "new", From: Missing, To: Gone}}, d.Tick(at(3101)))
}

// Only a current list shows that a version has been removed: not one of an outage, nor one just after an outage or a restoration of the store.
func TestIsCurrent(t *testing.T) {
	d := New(start, DefaultConfig())
	d.RecordContact(at(1000))
	must.True(t, d.IsCurrent(at(2000)))
	must.False(t, d.IsCurrent(at(4000)))
	d.RecordContact(at(5000))
	must.False(t, d.IsCurrent(at(6900)))
	d.RecordContact(at(7100))
	must.True(t, d.IsCurrent(at(7200)))
	d.RecordRestore(at(7200))
	must.False(t, d.IsCurrent(at(8000)))
}

// A version is registered as long as one of its upstreams is, whether it takes requests or not.
func TestHasVersion(t *testing.T) {
	d := New(start, DefaultConfig())
	isV1 := func(version string) bool { return version == "v1" }
	must.False(t, d.HasVersion("plain", isV1))
	d.ApplyEntry(at(0), Entry{ID: "a", Service: "plain", Version: "v1", Sequence: 1})
	d.ApplyEntry(at(0), Entry{ID: "b", Service: "plain", Version: "v2", Sequence: 1})
	must.True(t, d.HasVersion("plain", isV1))
	must.False(t, d.HasVersion("model", isV1))
	d.ApplyEntry(at(10), Entry{ID: "a", Service: "plain", Version: "v1", Sequence: 2, Draining: true})
	must.True(t, d.HasVersion("plain", isV1))
	d.RecordContact(at(20))
	d.RemoveEntry(at(20), "a")
	must.False(t, d.HasVersion("plain", isV1))
}
