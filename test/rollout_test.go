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

// tokens makes a chat of the tests take 40 ms, so that requests overlap as they do at a real engine.
var tokens = engine.Config{TokenInterval: 20 * time.Millisecond}

// fewCallers is enough for a judgement of a version that is clearly bad, and leaves the processor to tests that run beside.
const fewCallers = 16

// Guards against a fault that nobody sees because it is not there from the first request on, or on one route only: the versions turn bad
// after they answered many requests well.
func TestRollout_LateFaults(t *testing.T) {
	t.Parallel()
	even := []string{"suva", "suva", "nadi", "nadi"}
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
			f, stop := unevenFleet(newFleet(t), even, even, tokens, fewCallers)
			f.applyShift(60*time.Second, 40)
			f.await("the new version gets traffic", func() bool { return f.newRequests() > 300 })
			must.Eq(t, "canary", f.shift("entry-1").State)
			f.setNewFaults(c.faults)
			must.StrContains(t, f.awaitTakenBack(stop), c.reason)
		})
	}
}

// Guards against a good version that is blamed for a sick data centre: most runners of the new version are in the one where every third
// request fails, most of the old version's in the other.
func TestRollout_SickDataCentreIsNotBlamed(t *testing.T) {
	t.Parallel()
	old, fresh := []string{"suva", "suva", "suva", "nadi"}, []string{"suva", "nadi", "nadi", "nadi"}
	f, _ := unevenFleet(newFleet(t), old, fresh, engine.Config{}, 24)
	for _, runner := range []string{"old-4", "new-2", "new-3", "new-4"} {
		f.engines[runner].SetFaults(engine.Faults{FailEvery: 3})
	}
	f.applyShift(46*time.Second, 40)
	for _, name := range f.entries {
		f.await(name+" sees the shift ended", func() bool {
			state := f.shift(name).State
			return state == "done" || state == "rolled back"
		})
		must.Eq(t, "done", f.shift(name).State, must.Sprint(f.shift(name).Reason))
	}
}

// Guards against a bad version that keeps its traffic because stopping it needs the platform: the key-value service is down, and no entry
// holds the lease any more when the fault shows.
func TestRollout_StoppedWhilePlatformIsDown(t *testing.T) {
	t.Parallel()
	even := []string{"suva", "suva", "nadi", "nadi"}
	f, stop := unevenFleet(newFleet(t), even, even, tokens, fewCallers)
	f.applyShift(60*time.Second, 40)
	leads := func() bool { return f.shift("entry-1").Leader || f.shift("entry-2").Leader }
	f.await("the new version gets traffic", func() bool { return f.newRequests() > 0 && leads() })
	for _, p := range f.procs {
		p.gate.cut.Store(true)
	}
	f.await("no entry holds the lease", func() bool { return !leads() })
	must.Eq(t, "canary", f.shift("entry-1").State)
	f.setNewFaults(engine.Faults{FailEvery: 2})
	must.StrContains(t, f.awaitTakenBack(stop), "v2 fails more often")
	for _, p := range f.procs {
		p.gate.cut.Store(false)
	}
	f.await("the stop is recorded", func() bool { return f.record().State == rollout.RolledBack })
}

// record returns the platform's record of the only shift.
func (f *fleet) record() rollout.Record { return f.recordOf(f.shift("entry-1").ID) }

// recordOf is record for a shift whose id is known already.
func (f *fleet) recordOf(id string) rollout.Record {
	kv := f.kv.Keys()[rollout.RecordKey(id)]
	r, _ := rollout.DecodeRecord(kv.Value)
	return r
}

// history collects the platform's records of the only shift until done is closed.
func (f *fleet) history(id string, done <-chan struct{}) (records []rollout.Record) {
	var revision services.Revision
	for {
		kv := f.kv.Keys()[rollout.RecordKey(id)]
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

// Guards against a lease holder that advances a shift after its lease has ended: it is paused with an advance, the first one, on its way to
// the platform, which arrives after another entry took over, and goes on then itself.
func TestRollout_PausedHolderDoesNotAdvance(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.settings = map[string]any{"keepalive_ms": 400}
	even := []string{"suva", "suva", "nadi", "nadi"}
	unevenFleet(f, even, even, tokens, 2)
	hold, release := newHeldWrite(t)
	for _, name := range f.entries {
		f.procs[name].gate.hold.Store(hold)
	}
	f.applyShift(60*time.Second, 40)
	var held rollout.Record
	select {
	case held = <-hold.arrived:
	case <-time.After(patience):
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
	case <-time.After(patience):
		t.Fatal("the platform did not answer the held write")
	}
	f.signal(holder, syscall.SIGCONT)
	f.list.Put(f.rows[holder])
	f.await("the paused entry knows", func() bool { return f.shift(holder).State == "canary" })
	close(done)
	last := rollout.Record{Fence: held.Fence + 1}
	for _, r := range <-records {
		must.GreaterEq(t, last.Fence, r.Fence)
		must.Zero(t, r.Step)
		last = r
	}
}
