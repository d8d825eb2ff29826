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

const shiftRules = baseRules + "route /labels service=press-model deadline=30s # losana: labels\n"

// shiftFleet has two runners of each version in each of two data centres, and callers until the returned function is called.
func shiftFleet(t *testing.T) (f *fleet, stopCallers func()) {
	even := []string{"suva", "suva", "nadi", "nadi"}
	return unevenFleet(newFleet(t), even, even, engine.Config{}, 48)
}

// unevenFleet has a runner of the old and the new version in each of the given data centres.
func unevenFleet(f *fleet, old, fresh []string, cfg engine.Config, callers int) (_ *fleet, stopCallers func()) {
	// Short answers leave the processor to more requests, which the judgements need.
	f.tokens = 2
	f.startEntry("entry-1", "suva")
	f.startEntry("entry-2", "nadi")
	for i := range old {
		f.startRunner(fmt.Sprintf("old-%d", i+1), old[i], "v1", cfg)
		f.startRunner(fmt.Sprintf("new-%d", i+1), fresh[i], "v2", cfg)
	}
	f.awaitVersion(f.apply(shiftRules))
	f.awaitSidecars("entry-1", 8)
	f.awaitSidecars("entry-2", 8)
	done := make(chan struct{})
	var work sync.WaitGroup
	for i := range callers {
		work.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
					f.chatOn([]string{"/chat", "/labels"}[n%8/7], f.entries[i%2], fmt.Sprintf("chat-%d-%d", i, n%200))
				}
			}
		})
	}
	stopped := sync.OnceFunc(func() {
		close(done)
		work.Wait()
	})
	f.t.Cleanup(stopped)
	return f, stopped
}

// applyShift accepts a shift by the time after now, with the first share in percent.
func (f *fleet) applyShift(by time.Duration, limit int) {
	end := time.Now().Add(by).UTC().Format(time.RFC3339)
	f.apply(shiftRules + fmt.Sprintf("shift press-model v1 -> v2 by %s cap=%d%% # losana: new weights\n", end, limit))
}

// setNewFaults makes all runners of the new version faulty.
func (f *fleet) setNewFaults(faults engine.Faults) {
	for i := range 4 {
		f.engines[fmt.Sprintf("new-%d", i+1)].SetFaults(faults)
	}
}

// awaitTakenBack waits until both entries have taken the new version back, checks that it gets no request from then on, and returns the
// reason.
func (f *fleet) awaitTakenBack(stopCallers func()) string {
	f.t.Helper()
	for _, name := range f.entries {
		f.await(name+" has taken the version back", func() bool { return f.shift(name).State == "rolled back" })
	}
	stopCallers()
	before := f.newRequests()
	f.chats("entry-1", "after", 100)
	f.chats("entry-2", "after", 100)
	must.Eq(f.t, before, f.newRequests())
	return f.shift("entry-1").Reason
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
	f.setNewFaults(engine.Faults{FailEvery: 2})
	f.applyShift(40*time.Second, 40)
	f.await("the new version gets traffic", func() bool { return f.newRequests() > 0 })
	must.NotEq(t, "", f.awaitTakenBack(stop))
}

// Guards against a good version that never gets all traffic.
func TestShift_GoodVersionGetsAllTraffic(t *testing.T) {
	f, stop := shiftFleet(t)
	f.applyShift(40*time.Second, 40)
	for _, name := range f.entries {
		f.await(name+" sees the shift done", func() bool { return f.shift(name).State == "done" })
	}
	stop()
	before := f.received("old-1") + f.received("old-2") + f.received("old-3") + f.received("old-4")
	f.chats("entry-2", "after", 100)
	must.Eq(t, before, f.received("old-1")+f.received("old-2")+f.received("old-3")+f.received("old-4"))
}
