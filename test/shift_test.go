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

// newEvenRolloutFleet starts two runners of each version in each of two data centres, and callers that run until stopCallers is called.
func newEvenRolloutFleet(t *testing.T) (f *fleet, stopCallers func()) {
	evenDCs := []string{"suva", "suva", "nadi", "nadi"}
	return newRolloutFleet(newFleet(t), evenDCs, evenDCs, engine.Config{}, 48)
}

// newRolloutFleet starts two entries, a runner of the old version in each of oldDCs and one of the new version in each of newDCs, and callers
// that run until stopCallers is called.
func newRolloutFleet(f *fleet, oldDCs, newDCs []string, cfg engine.Config, callers int) (_ *fleet, stopCallers func()) {
	// Short answers allow more requests in the same processor time; the statistical tests of a version need many.
	f.answerTokens = 2
	f.startEntry("entry-1", "suva")
	f.startEntry("entry-2", "nadi")
	for i := range oldDCs {
		f.startRunner(fmt.Sprintf("old-%d", i+1), oldDCs[i], "v1", cfg)
		f.startRunner(fmt.Sprintf("new-%d", i+1), newDCs[i], "v2", cfg)
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

// applyShift applies a shift that ends after the remaining time. canaryPercent is its cap, the share of its first step.
func (f *fleet) applyShift(remaining time.Duration, canaryPercent int) {
	end := time.Now().Add(remaining).UTC().Format(time.RFC3339)
	f.apply(shiftRules + fmt.Sprintf("shift press-model v1 -> v2 by %s cap=%d%% # losana: new weights\n", end, canaryPercent))
}

// setNewVersionFaults sets the faults of the engines of all runners of the new version.
func (f *fleet) setNewVersionFaults(faults engine.Faults) {
	for i := range 4 {
		f.engines[fmt.Sprintf("new-%d", i+1)].SetFaults(faults)
	}
}

// awaitRolledBack waits until both entries have rolled the new version back, checks that it gets no requests from then on, and returns
// the reason.
func (f *fleet) awaitRolledBack(stopCallers func()) string {
	f.t.Helper()
	for _, name := range f.entries {
		f.await(name+" has rolled the version back", func() bool { return f.shift(name).State == "rolled back" })
	}
	stopCallers()
	before := f.newVersionRequests()
	f.sendChats("entry-1", "after", 100)
	f.sendChats("entry-2", "after", 100)
	must.Eq(f.t, before, f.newVersionRequests())
	return f.shift("entry-1").Reason
}

// shift returns the status of the only shift as an entry shows it, or the zero Status.
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

// newVersionRequests returns the number of requests that the runners of the new version received.
func (f *fleet) newVersionRequests() int {
	n := 0
	for i := range 4 {
		n += f.received(fmt.Sprintf("new-%d", i+1))
	}
	return n
}

// A bad version must lose its traffic at all entries.
func TestShift_BadVersionIsRolledBack(t *testing.T) {
	f, stop := newEvenRolloutFleet(t)
	f.setNewVersionFaults(engine.Faults{FailEvery: 2})
	f.applyShift(40*time.Second, 40)
	f.await("the new version gets traffic", func() bool { return f.newVersionRequests() > 0 })
	must.NotEq(t, "", f.awaitRolledBack(stop))
}

// A good version must get all traffic.
func TestShift_GoodVersionGetsAllTraffic(t *testing.T) {
	f, stop := newEvenRolloutFleet(t)
	f.applyShift(40*time.Second, 40)
	for _, name := range f.entries {
		f.await(name+" shows the shift as done", func() bool { return f.shift(name).State == "done" })
	}
	stop()
	before := f.received("old-1") + f.received("old-2") + f.received("old-3") + f.received("old-4")
	f.sendChats("entry-2", "after", 100)
	must.Eq(t, before, f.received("old-1")+f.received("old-2")+f.received("old-3")+f.received("old-4"))
}
