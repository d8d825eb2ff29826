package test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/internal/standin/engine"
)

// newSmallFleet starts two entries and four runners in two data centres.
func newSmallFleet(t *testing.T) *fleet {
	f := newFleet(t)
	f.startEntry("entry-1", "suva")
	f.startEntry("entry-2", "nadi")
	for i, dc := range []string{"suva", "suva", "nadi", "nadi"} {
		f.startRunner(fmt.Sprintf("press-%d", i+1), dc, "v1", engine.Config{})
	}
	f.awaitVersion(f.apply(baseRules))
	f.awaitSidecars("entry-1", 4)
	f.awaitSidecars("entry-2", 4)
	return f
}

// receivedInNadi returns the number of requests that the runners in nadi received.
func (f *fleet) receivedInNadi() int { return f.received("press-3") + f.received("press-4") }

// sendChats sends n chats through an entry, each until it has a complete answer.
func (f *fleet) sendChats(entry, name string, n int) {
	f.t.Helper()
	for i := range n {
		f.chatUntilOK(entry, fmt.Sprintf("%s-%d", name, i))
	}
}

const drainNadiRules = baseRules + "drain datacentre nadi # ops: power work\n"

// A drained data centre must get no requests, although an entry and sidecars have no access to the platform.
func TestDrain_CutOffFromPlatform(t *testing.T) {
	f := newSmallFleet(t)
	f.sendChats("entry-1", "warm", 20)
	must.Positive(t, f.receivedInNadi())
	for _, name := range []string{"entry-1", "press-3", "press-4"} {
		f.procs[name].kvProxy.disconnected.Store(true)
	}
	f.awaitVersion(f.apply(drainNadiRules))
	before := f.receivedInNadi()
	f.sendChats("entry-1", "drained", 40)
	f.sendChats("entry-2", "drained", 40)
	must.Eq(t, before, f.receivedInNadi())
}

// A sidecar that restarts during a platform outage must still apply the drain.
func TestDrain_SidecarRestartedInOutage(t *testing.T) {
	f := newSmallFleet(t)
	version := f.apply(drainNadiRules)
	f.awaitVersion(version)
	f.servers["kv"].CloseClientConnections()
	for _, p := range f.procs {
		p.kvProxy.disconnected.Store(true)
	}
	f.kill("press-3")
	f.restart("press-3")
	before := f.receivedInNadi()
	f.sendChats("entry-1", "outage", 30)
	f.awaitVersion(version, "press-3")
	f.sendChats("entry-2", "outage", 30)
	must.Eq(t, before, f.receivedInNadi())
}

// The configuration must not be lost or revert when all entries are replaced during a platform outage.
func TestConfig_SurvivesReplacedEntriesInOutage(t *testing.T) {
	f := newSmallFleet(t)
	version := f.apply(drainNadiRules)
	f.awaitVersion(version)
	for _, p := range f.procs {
		p.kvProxy.disconnected.Store(true)
	}
	for _, name := range []string{"entry-1", "entry-2"} {
		f.kill(name)
	}
	for _, name := range []string{"entry-1", "entry-2"} {
		f.restart(name)
	}
	f.awaitVersion(version, "entry-1", "entry-2")
	before := f.receivedInNadi()
	f.sendChats("entry-1", "replaced", 30)
	must.Eq(t, before, f.receivedInNadi())
}

// Guards against a stale read from the platform that replaces a newer configuration by an older one.
func TestConfig_StaleReadNeverReverts(t *testing.T) {
	f := newSmallFleet(t)
	version := f.apply(drainNadiRules)
	f.awaitVersion(version)
	f.kv.SetFaults(staleReads(1000))
	f.kill("entry-1")
	f.restart("entry-1")
	f.awaitVersion(version, "entry-1")
	before := f.receivedInNadi()
	f.sendChats("entry-1", "stale", 30)
	must.Eq(t, before, f.receivedInNadi())
	for name := range f.procs {
		must.Eq(t, version, f.status(name).ConfigVersion)
	}
}

// After any one process is killed, chats must not be cut, and must be answered when they are retried.
func TestKill_OthersServe(t *testing.T) {
	for _, victim := range []string{"press-1", "press-4", "entry-2"} {
		t.Run(victim, func(t *testing.T) {
			f := newSmallFleet(t)
			f.sendChats("entry-1", "before", 10)
			f.kill(victim)
			f.sendChats("entry-1", "after", 40)
		})
	}
}

// Guards against a paused sidecar that holds its chats until their deadline, which is shorter here than the keepalive timeout.
func TestPause_ChatsGoElsewhere(t *testing.T) {
	f := newSmallFleet(t)
	f.signal("press-1", syscall.SIGSTOP)
	for i := range 24 {
		r := f.post("entry-1", "/chat", fmt.Sprintf("frozen-%d", i), "", `{"prompt":"gate?","max_tokens":4}`, "Jayridge-Deadline-Ms", "15000")
		must.Eq(t, http.StatusOK, r.status, must.Sprint(r))
	}
}

// The shutdown of a sidecar must not cut requests in progress or fail new ones, although the instance list still shows the sidecar as live.
func TestLeave_SidecarCutsNothing(t *testing.T) {
	f := newSmallFleet(t)
	for _, e := range f.engines {
		e.SetFaults(engine.Faults{HoldRequests: true})
	}
	const inProgress = 12
	replies := make(chan reply, inProgress)
	for i := range inProgress {
		go func() { replies <- f.chat("entry-1", fmt.Sprintf("held-%d", i)) }()
	}
	f.await("requests are in progress", func() bool { return f.total(inFlight) == inProgress })
	f.signal("press-1", syscall.SIGTERM)
	f.signal("press-3", syscall.SIGTERM)
	for _, name := range []string{"press-1", "press-3"} {
		f.await(name+" is leaving", func() bool { s := f.status(name); return s != nil && s.Leaving })
	}
	received := f.received("press-1") + f.received("press-3")
	for _, e := range f.engines {
		e.SetFaults(engine.Faults{})
	}
	const newChats = 40
	f.sendChats("entry-1", "new", newChats)
	for range inProgress {
		must.Eq(t, http.StatusOK, (<-replies).status)
	}
	must.Eq(t, received, f.received("press-1")+f.received("press-3"))
	// A request that was cut is retried elsewhere without notice to its caller, so only the number of requests received shows it.
	must.Eq(t, inProgress+newChats, f.total(func(c engine.Counters) int { return c.Received }))
	<-f.procs["press-1"].exited
	<-f.procs["press-3"].exited
	must.Zero(t, f.procs["press-1"].cmd.ProcessState.ExitCode())
}

// Guards against an entry that cuts streams when it is shut down.
func TestLeave_EntryFinishesStreams(t *testing.T) {
	f := newSmallFleet(t)
	for _, e := range f.engines {
		e.SetFaults(engine.Faults{HoldRequests: true})
	}
	done := make(chan reply, 1)
	go func() { done <- f.chat("entry-1", "held") }()
	f.await("the request is in progress", func() bool { return f.total(inFlight) == 1 })
	f.signal("entry-1", syscall.SIGTERM)
	f.await("entry-1 is not ready", func() bool {
		resp, err := f.client.Get("http://" + f.procs["entry-1"].admin + "/readyz")
		return err == nil && resp.StatusCode == http.StatusServiceUnavailable
	})
	for _, e := range f.engines {
		e.SetFaults(engine.Faults{})
	}
	must.Eq(t, http.StatusOK, (<-done).status)
	<-f.procs["entry-1"].exited
}

func inFlight(c engine.Counters) int { return c.InFlight }

// total returns the sum of a counter over all engines.
func (f *fleet) total(counter func(engine.Counters) int) int {
	n := 0
	for _, e := range f.engines {
		n += counter(e.Counters())
	}
	return n
}
