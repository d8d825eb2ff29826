package test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/internal/standin/engine"
	"github.com/jayridge/jayridge/internal/standin/instances"
	"github.com/jayridge/jayridge/process/services"
)

// A sidecar must get requests again after it is replaced under the same name and address. The instance list shows no change, so entries must
// reconnect on their own. One sidecar is restarted gracefully; one is killed and stays down until entries drop it.
func TestRestart_SidecarGetsWorkAgain(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t)
	f.signal("press-1", syscall.SIGTERM)
	f.kill("press-4")
	<-f.procs["press-1"].exited
	for _, entry := range f.entries {
		f.awaitSidecars(entry, 2)
	}
	before := f.received("press-1") + f.received("press-4")
	f.sendChats("entry-1", "away", 20)
	must.Eq(t, before, f.received("press-1")+f.received("press-4"))
	f.restart("press-1")
	f.restart("press-4")
	for _, entry := range f.entries {
		f.awaitSidecars(entry, 4)
	}
	f.sendChats("entry-2", "back", 60)
	must.Positive(t, f.received("press-1"))
	must.Positive(t, f.received("press-4"))
}

// startCallers starts n callers that send chats one after another to the entries that run now, in turn, until stop is called. stop returns
// the number of chats answered. The test fails unless each chat gets a complete answer at the first attempt. n must not exceed the number
// of live runners: then one of them is idle whenever a chat is sent, and an idle runner admits a request whatever the load bound is.
func (f *fleet) startCallers(n int) (stop func() int) {
	done := make(chan struct{})
	var work sync.WaitGroup
	var answered atomic.Int64
	entries := slices.Clone(f.entries)
	for i := range n {
		work.Go(func() {
			f.repeat(done, &answered, func(n int) bool {
				r := f.chat(entries[(i+n)%len(entries)], fmt.Sprintf("list-%d-%d", i, n))
				if r.err != nil || r.status != http.StatusOK {
					f.t.Errorf("chat list-%d-%d was not answered: %+v", i, n, r)
					return false
				}
				return true
			})
		})
	}
	stop = sync.OnceValue(func() int {
		close(done)
		work.Wait()
		return int(answered.Load())
	})
	f.t.Cleanup(func() { stop() })
	return stop
}

// awaitRequests waits until a runner receives another request.
func (f *fleet) awaitRequests(runner string) {
	f.t.Helper()
	before := f.received(runner)
	f.await(runner+" receives requests", func() bool { return f.received(runner) > before })
}

// moreChats is a number of chats that is large enough to reach each of a few runners many times.
const moreChats = 60

// awaitMoreChats waits until the runners have received moreChats further requests.
func (f *fleet) awaitMoreChats() {
	f.t.Helper()
	received := func(c engine.Counters) int { return c.Received }
	before := f.total(received)
	f.await("callers send more chats", func() bool { return f.total(received) >= before+moreChats })
}

// hasSidecar reports whether an entry has a sidecar as a candidate.
func (f *fleet) hasSidecar(entry, sidecar string) bool {
	s := f.status(entry)
	return s != nil && slices.ContainsFunc(s.Sidecars, func(i services.Instance) bool { return i.ID == sidecar })
}

// instanceInState returns the instance list's record of a process with the given state.
func (f *fleet) instanceInState(name string, state services.InstanceState) services.Instance {
	instance := f.instances[name]
	instance.State = state
	return instance
}

// What instances themselves report must override the instance list: a sidecar that has left is listed as live, one that runs is not listed
// yet, running ones were removed from the list, and a list is empty. No request may be cut, run twice or refused meanwhile.
func TestList_LagsBothWays(t *testing.T) {
	t.Parallel()
	f := newSmallFleet(t)
	// With the chats that the test itself sends there are at most three at a time, one for each runner that stays.
	stop := f.startCallers(2)
	f.awaitRequests("press-1")

	f.signal("press-1", syscall.SIGTERM)
	f.await("press-1 is leaving", func() bool { s := f.status("press-1"); return s == nil || s.Leaving })
	receivedAtLeave := f.received("press-1")
	f.awaitMoreChats()
	<-f.procs["press-1"].exited
	must.Zero(t, f.procs["press-1"].cmd.ProcessState.ExitCode())
	// An entry that starts now knows press-1 only from the list.
	f.startEntry("entry-3", "lautoka")
	f.awaitSidecars("entry-3", 4)
	for i := range moreChats {
		must.Eq(t, http.StatusOK, f.chat("entry-3", fmt.Sprintf("late-%d", i)).status)
	}

	f.unlisted = true
	f.startRunner("press-5", "suva", "v1", engine.Config{})
	f.awaitRequests("press-5")

	for _, name := range []string{"press-2", "press-3", "press-4"} {
		f.list.Remove(name)
	}
	for _, name := range []string{"press-2", "press-3", "press-4", "press-5"} {
		f.awaitRequests(name)
	}
	f.awaitMoreChats()
	must.Eq(t, receivedAtLeave, f.received("press-1"))
	chats := stop()
	must.Eq(t, chats+moreChats, f.total(func(c engine.Counters) int { return c.Received }))
}

// While the instance lists of two entries have nothing in common, an instance that one entry knows to be leaving must get no requests, a
// booking must not run twice because the entries choose different upstreams for it, and no request may be refused.
func TestList_EntriesDisagree(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	lists := []*instances.Server{instances.New(nil), instances.New(nil)}
	for i, list := range lists {
		url := f.serve(fmt.Sprintf("list %d", i), list)
		f.start(fmt.Sprintf("entry-%d", i+1), "entry", "suva", map[string]any{"instances": map[string]any{"url": url, "poll_interval_ms": 50}})
	}
	for i := range 4 {
		name := fmt.Sprintf("press-%d", i+1)
		f.startRunner(name, "suva", "v1", engine.Config{})
		lists[i%2].Put(f.instances[name])
		name = fmt.Sprintf("basket-%d", i+1)
		f.startUpstream(name, "suva")
		lists[i%2].Put(f.instances[name])
	}
	f.awaitVersion(f.apply(baseRules))
	f.awaitSidecars("entry-1", 4)
	f.awaitSidecars("entry-2", 4)
	stop := f.startCallers(2)
	for i := range 40 {
		id := fmt.Sprintf("b-%d", i)
		var both sync.WaitGroup
		for _, entry := range f.entries {
			both.Go(func() { f.bookUntilSettled(entry, id) })
		}
		both.Wait()
		must.Eq(t, 1, f.effects(id))
	}
	// Each entry now learns of the other's upstreams, and only the first list shows press-1 as leaving.
	lists[0].Put(f.instanceInState("press-1", services.InstanceLeaving))
	lists[0].Put(f.instances["press-2"])
	lists[1].Put(f.instances["press-1"])
	f.await("entry-1 applies its list", func() bool { return !f.hasSidecar("entry-1", "press-1") && f.hasSidecar("entry-1", "press-2") })
	f.await("entry-2 applies its list", func() bool { return f.hasSidecar("entry-2", "press-1") })
	f.awaitRequests("press-1")
	f.signal("press-1", syscall.SIGTERM)
	f.await("press-1 is leaving", func() bool { s := f.status("press-1"); return s == nil || s.Leaving })
	receivedAtLeave := f.received("press-1")
	for _, name := range []string{"press-2", "press-3", "press-4"} {
		f.awaitRequests(name)
	}
	f.awaitMoreChats()
	must.Eq(t, receivedAtLeave, f.received("press-1"))
	must.Eq(t, stop(), f.total(func(c engine.Counters) int { return c.Received }))
}
