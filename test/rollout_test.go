package test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/internal/standin/engine"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/version/rollout"
)

// slowTokens makes a chat of two tokens take 40 ms, so that requests overlap as they do at a real engine.
var slowTokens = engine.Config{TokenInterval: 20 * time.Millisecond}

// fewCallers is a number of callers that is enough to detect a clearly bad version and leaves processor time to parallel tests.
const fewCallers = 16

// Faults must be detected although they start late or concern one route only: the new version becomes faulty after it has
// answered many requests correctly.
func TestRollout_LateFaults(t *testing.T) {
	t.Parallel()
	evenDCs := []string{"suva", "suva", "nadi", "nadi"}
	cases := map[string]struct {
		faults engine.Faults
		reason string
	}{
		"fails on a route": {faults: engine.Faults{FailPath: "/labels"}, reason: "v2 fails more often"},
		"is slow":          {faults: engine.Faults{SlowMS: 100}, reason: "v2 is slow more often"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, stop := newRolloutFleet(newFleet(t), evenDCs, evenDCs, slowTokens, fewCallers)
			f.applyShift(60*time.Second, 40)
			f.await("the new version gets traffic", func() bool { return f.newVersionRequests() > 300 })
			must.Eq(t, "canary", f.shift("entry-1").State)
			f.setNewVersionFaults(c.faults)
			must.StrContains(t, f.awaitRolledBack(stop), c.reason)
		})
	}
}

// A good version must not be rolled back for the faults of a data centre: most runners of the new version are in the one where
// every third request fails, most of the old version's in the other.
func TestRollout_FaultyDataCentreCausesNoRollback(t *testing.T) {
	t.Parallel()
	oldDCs, newDCs := []string{"suva", "suva", "suva", "nadi"}, []string{"suva", "nadi", "nadi", "nadi"}
	f, _ := newRolloutFleet(newFleet(t), oldDCs, newDCs, engine.Config{}, 24)
	for _, runner := range []string{"old-4", "new-2", "new-3", "new-4"} {
		f.engines[runner].SetFaults(engine.Faults{FailEvery: 3})
	}
	f.applyShift(46*time.Second, 40)
	for _, name := range f.entries {
		f.await(name+" shows the shift as ended", func() bool {
			state := f.shift(name).State
			return state == "done" || state == "rolled back"
		})
		must.Eq(t, "done", f.shift(name).State, must.Sprint(f.shift(name).Reason))
	}
}

// A rollback must not need the platform: the key-value service is unreachable, and no
// entry holds the lease any more when the fault begins.
func TestRollout_StoppedWhilePlatformIsDown(t *testing.T) {
	t.Parallel()
	evenDCs := []string{"suva", "suva", "nadi", "nadi"}
	f, stop := newRolloutFleet(newFleet(t), evenDCs, evenDCs, slowTokens, fewCallers)
	f.applyShift(60*time.Second, 40)
	hasLeader := func() bool { return f.shift("entry-1").Leader || f.shift("entry-2").Leader }
	f.await("the new version gets traffic", func() bool { return f.newVersionRequests() > 0 && hasLeader() })
	for _, p := range f.procs {
		p.kvProxy.disconnected.Store(true)
	}
	f.await("no entry holds the lease", func() bool { return !hasLeader() })
	must.Eq(t, "canary", f.shift("entry-1").State)
	f.setNewVersionFaults(engine.Faults{FailEvery: 2})
	must.StrContains(t, f.awaitRolledBack(stop), "v2 fails more often")
	for _, p := range f.procs {
		p.kvProxy.disconnected.Store(false)
	}
	f.await("the stop is recorded", func() bool { return f.record().State == rollout.RolledBack })
}

// record returns the platform's record of the only shift.
func (f *fleet) record() rollout.Record { return f.recordOf(f.shift("entry-1").ID) }

// recordOf returns the platform's record of the shift with the given id.
func (f *fleet) recordOf(id string) rollout.Record {
	kv := f.kv.Snapshot()[rollout.RecordKey(id)]
	r, _ := rollout.DecodeRecord(kv.Value)
	return r
}

// history collects the revisions of the platform's record of a shift until done is closed. It polls every millisecond.
func (f *fleet) history(id string, done <-chan struct{}) (records []rollout.Record) {
	var revision services.Revision
	for {
		kv := f.kv.Snapshot()[rollout.RecordKey(id)]
		if r, err := rollout.DecodeRecord(kv.Value); err == nil && kv.Revision > revision {
			revision = kv.Revision
			records = append(records, r)
		}
		select {
		case <-done:
			return records
		case <-time.After(time.Millisecond):
		}
	}
}

// A lease holder must not advance a shift after its lease has ended: it is paused while its first advance is on the way to the
// platform. The write arrives after another entry has taken over, and then the paused holder resumes.
func TestRollout_PausedHolderDoesNotAdvance(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.settings = map[string]any{"keepalive_ms": 400}
	evenDCs := []string{"suva", "suva", "nadi", "nadi"}
	newRolloutFleet(f, evenDCs, evenDCs, slowTokens, 2)
	hold, release := newHeldWrite(t)
	for _, name := range f.entries {
		f.procs[name].kvProxy.hold.Store(hold)
	}
	f.applyShift(60*time.Second, 40)
	var held rollout.Record
	select {
	case held = <-hold.arrived:
	case <-time.After(conditionTimeout):
		t.Fatalf("the shift never started: %+v", f.shift("entry-1"))
	}
	holder, other := "entry-1", "entry-2"
	if f.shift(other).Leader {
		holder, other = other, holder
	}
	f.signal(holder, syscall.SIGSTOP)
	f.list.Remove(holder)
	f.await("the other entry takes over", func() bool { return f.recordOf(held.ID).Fence > held.Fence })

	done := make(chan struct{})
	records := make(chan []rollout.Record, 1)
	go func() { records <- f.history(held.ID, done) }()
	release()
	select {
	case status := <-hold.status:
		must.Eq(t, http.StatusConflict, status)
	case <-time.After(conditionTimeout):
		t.Fatal("the platform did not answer the delayed write")
	}
	f.signal(holder, syscall.SIGCONT)
	f.list.Put(f.instances[holder])
	f.await("the resumed entry shows the state of the shift", func() bool { return f.shift(holder).State == "canary" })
	close(done)
	last := rollout.Record{Fence: held.Fence + 1}
	for _, r := range <-records {
		must.GreaterEq(t, last.Fence, r.Fence)
		must.Zero(t, r.Step)
		last = r
	}
}
