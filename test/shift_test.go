package test

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/internal/standin/engine"
	"github.com/jayridge/jayridge/process/entry"
	"github.com/jayridge/jayridge/process/shift"
)

// shiftFleet has two runners of each version in each of two data centres, and callers until the returned function is called.
func shiftFleet(t *testing.T) (f *fleet, stopCallers func()) {
	f = newFleet(t)
	f.startEntry("entry-1", "suva")
	f.startEntry("entry-2", "nadi")
	for i, dc := range []string{"suva", "suva", "nadi", "nadi"} {
		f.startRunner(fmt.Sprintf("old-%d", i+1), dc, "v1", engine.Config{})
		f.startRunner(fmt.Sprintf("new-%d", i+1), dc, "v2", engine.Config{})
	}
	f.awaitVersion(f.apply(baseRules))
	f.awaitSidecars("entry-1", 8)
	f.awaitSidecars("entry-2", 8)
	done := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 48 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
					f.chat(f.entries[i%2], fmt.Sprintf("chat-%d-%d", i, n%200))
				}
			}
		})
	}
	stopped := sync.OnceFunc(func() {
		close(done)
		callers.Wait()
	})
	t.Cleanup(stopped)
	return f, stopped
}

func (f *fleet) applyShift() {
	rule := fmt.Sprintf("shift press-model v1 -> v2 by %s cap=40%% # losana: new weights\n", time.Now().Add(40*time.Second).UTC().Format(time.RFC3339))
	f.apply(baseRules + rule)
}

// shift returns what an entry knows of the only shift.
func (f *fleet) shift(name string) shift.Status {
	s := f.status(name)
	if s == nil {
		return shift.Status{}
	}
	var detail entry.Status
	text, _ := json.Marshal(s.Detail)
	if json.Unmarshal(text, &detail) != nil || len(detail.Shifts) != 1 {
		return shift.Status{}
	}
	return detail.Shifts[0]
}

func (f *fleet) newRequests() int {
	n := 0
	for i := range 4 {
		n += f.received(fmt.Sprintf("new-%d", i+1))
	}
	return n
}

// Guards against a bad version that keeps its traffic, or that is stopped at one entry only.
func TestShift_BadVersionIsTakenBack(t *testing.T) {
	f, stop := shiftFleet(t)
	for i := range 4 {
		f.engines[fmt.Sprintf("new-%d", i+1)].SetFaults(engine.Faults{FailEvery: 2})
	}
	f.applyShift()
	f.await("the new version gets traffic", func() bool { return f.newRequests() > 0 })
	for _, name := range f.entries {
		f.await(name+" has taken the version back", func() bool { return f.shift(name).State == "rolled back" })
	}
	must.NotEq(t, "", f.shift("entry-1").Reason)
	stop()
	before := f.newRequests()
	f.chats("entry-1", "after", 100)
	f.chats("entry-2", "after", 100)
	must.Eq(t, before, f.newRequests())
}

// Guards against a good version that never gets all traffic.
func TestShift_GoodVersionGetsAllTraffic(t *testing.T) {
	f, stop := shiftFleet(t)
	f.applyShift()
	for _, name := range f.entries {
		f.await(name+" sees the shift done", func() bool { return f.shift(name).State == "done" })
	}
	stop()
	before := f.received("old-1") + f.received("old-2") + f.received("old-3") + f.received("old-4")
	f.chats("entry-2", "after", 100)
	must.Eq(t, before, f.received("old-1")+f.received("old-2")+f.received("old-3")+f.received("old-4"))
}
