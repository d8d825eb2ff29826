package rollout

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/services"
)

// revisionIn returns a revision of an epoch of the platform.
func revisionIn(t *testing.T, epoch, number uint64) services.Revision {
	t.Helper()
	r, err := services.NewRevision(epoch, number)
	must.NoError(t, err)
	return r
}

var (
	lateTime  = simShift().Deadline.Add(time.Hour)
	testLease = Lease{Held: true, Fence: 2}
	onlyTo    = Upstreams{To: Serving, Current: true}
	onlyFrom  = Upstreams{From: Serving, Current: true}
	bothServe = Upstreams{From: Serving, To: Serving, Current: true}
)

// newLeader returns the machine of a leader that starts after the deadline and has read a record that it has taken over.
func newLeader(t *testing.T, r Record, revision services.Revision, seen Upstreams) *Machine {
	t.Helper()
	m := NewMachine(simConfig(), simShift(), lateTime)
	m.SetUpstreams(lateTime, seen)
	m.Tick(lateTime, testLease)
	r.ID, r.Fence, r.StartedMS, r.SinceMS = "s1", testLease.Fence, simStart.UnixMilli(), simStart.UnixMilli()
	m.RecordRead(lateTime, r, revision)
	return m
}

// tickAfter tells the machine its upstreams and ticks it some time after lateTime.
func tickAfter(m *Machine, d time.Duration, seen Upstreams) Output {
	m.SetUpstreams(lateTime.Add(d), seen)
	return m.Tick(lateTime.Add(d), testLease)
}

// Guards against a rollback to a version that no longer has upstreams, after which nothing can be served. That is how a completed shift looks to a
// leader that knows only an older record.
func TestMachine_DeadlineWithoutOldVersion(t *testing.T) {
	config := simConfig()
	for _, state := range []State{Pending, Canary, Ramping, Verifying} {
		m := newLeader(t, Record{State: state, Share: 0.05}, 1, onlyTo)
		out := tickAfter(m, config.GoneAfter-time.Second, onlyTo)
		must.Nil(t, out.Stop, must.Sprint(state))
		out = tickAfter(m, config.GoneAfter, onlyTo)
		must.NotNil(t, out.Write, must.Sprint(state))
		must.Eq(t, Done, out.Write.Record.State)
		must.Eq(t, 1, m.WriteSucceeded(lateTime.Add(config.GoneAfter), *out.Write, 2).Share)
		must.Eq(t, Done, m.State())
		must.True(t, m.Recorded())
	}
}

// A process without the lease must not roll back to a version without upstreams either.
func TestMachine_DeadlineWithoutOldVersionOrLease(t *testing.T) {
	m, _ := canaryAt(simStart)
	m.SetUpstreams(simStart, bothServe)
	m.PlatformDown(simStart)
	m.SetUpstreams(lateTime, onlyTo)
	must.Nil(t, m.Tick(lateTime, Lease{}).Stop)
	m.SetUpstreams(lateTime, bothServe)
	must.NotNil(t, m.Tick(lateTime, Lease{}).Stop)
}

// Upstreams that are missing because they cannot register must not complete the shift, and those that only restart must not either.
func TestMachine_OldVersionMissingForAWhile(t *testing.T) {
	config := simConfig()
	m := newLeader(t, Record{State: Canary, Share: 0.05}, 1, Upstreams{To: Serving})
	for d := time.Duration(0); d < 3*config.GoneAfter; d += config.GoneAfter / 10 {
		out := tickAfter(m, d, Upstreams{To: Serving})
		must.Nil(t, out.Stop)
		must.Nil(t, out.Write)
	}
	out := tickAfter(m, 3*config.GoneAfter+time.Second, onlyTo)
	must.Nil(t, out.Write)
	must.NotNil(t, tickAfter(m, 3*config.GoneAfter+2*time.Second, bothServe).Stop)
}

// Upstreams that are registered, and only not reachable from the leader, must not be taken to be removed.
func TestMachine_OldVersionOutOfReach(t *testing.T) {
	m := newLeader(t, Record{State: Canary, Share: 0.05}, 1, bothServe)
	for d := time.Duration(0); d < 3*simConfig().GoneAfter; d += time.Second {
		out := tickAfter(m, d, Upstreams{From: Registered, To: Serving, Current: true})
		must.Nil(t, out.Stop)
		must.Nil(t, out.Write)
	}
	must.NotNil(t, tickAfter(m, 3*simConfig().GoneAfter, bothServe).Stop)
}

// Guards against a rollback just after a restart to upstreams that are still listed and no longer run.
func TestMachine_OldVersionListedAfterItsEnd(t *testing.T) {
	config := simConfig()
	m := newLeader(t, Record{State: Canary, Share: 0.05}, 1, bothServe)
	must.Nil(t, tickAfter(m, config.ObserveTime-time.Second, bothServe).Stop)
	must.Nil(t, tickAfter(m, config.ObserveTime, onlyTo).Stop)
	must.NotNil(t, tickAfter(m, config.ObserveTime+config.GoneAfter, onlyTo).Write)
	m = newLeader(t, Record{State: Canary, Share: 0.05}, 1, bothServe)
	must.NotNil(t, tickAfter(m, config.ObserveTime, bothServe).Stop)
}

// Guards against the mirror image: completing a shift whose new version was removed after a rollback that the platform no longer knows.
func TestMachine_NewVersionRemovedAtFullShare(t *testing.T) {
	config := simConfig()
	m := newLeader(t, Record{State: Full, Step: 3, Share: 1}, 1, onlyFrom)
	out := tickAfter(m, config.GoneAfter/2, onlyFrom)
	must.Nil(t, out.Write)
	must.Nil(t, out.Stop)
	must.NotNil(t, tickAfter(m, config.GoneAfter, onlyFrom).Stop)
	m = newLeader(t, Record{State: Full, Step: 3, Share: 1}, 1, bothServe)
	must.Eq(t, Done, tickAfter(m, config.GoneAfter, bothServe).Write.Record.State)
}

// Guards against a final state that is forgotten when the platform comes back from a copy of the time before it.
func TestMachine_FinalStateOutlivesRestoredPlatform(t *testing.T) {
	for _, final := range []State{Done, RolledBack} {
		for _, lost := range []bool{false, true} {
			m := newLeader(t, Record{State: final, Share: 1, Reason: "fault"}, revisionIn(t, 1, 9), bothServe)
			must.True(t, m.Recorded())
			m.Tick(lateTime, Lease{})
			restored, previous := lateTime.Add(time.Second), services.Revision(0)
			if lost {
				m.RecordMissing(restored)
			} else {
				previous = revisionIn(t, 2, 4)
				m.RecordForwarded(restored, Record{ID: "s1", State: Ramping, Step: 1, Share: 0.15, Fence: 1}, previous)
			}
			must.Eq(t, final, m.State())
			must.False(t, m.Recorded())
			must.Nil(t, m.Tick(restored, Lease{}).Write)
			m.Tick(restored, Lease{Held: true, Fence: 3})
			later := restored.Add(simConfig().RetryEvery)
			var out Output
			if lost {
				out = m.RecordMissing(later)
			} else {
				out = m.RecordRead(later, Record{ID: "s1", State: Ramping, Step: 1, Share: 0.15, Fence: 1}, previous)
			}
			must.NotNil(t, out.Write)
			must.Eq(t, final, out.Write.Record.State)
			must.Eq(t, previous, out.Write.Previous)
			m.WriteSucceeded(later, *out.Write, revisionIn(t, 2, 5))
			must.True(t, m.Recorded())
			must.Eq(t, final, m.State())
		}
	}
}

// A leader that has restarted after the platform came back from an older copy must learn from its peers that the shift was done.
func TestMachine_DoneBeforeRestoredPlatform(t *testing.T) {
	m := newLeader(t, Record{State: Canary, Share: 0.05}, revisionIn(t, 2, 4), bothServe)
	done := Record{ID: "s1", State: Done, Step: 3, Share: 1, Fence: 1}
	out := m.RecordForwarded(lateTime.Add(simConfig().RetryEvery), done, revisionIn(t, 1, 9))
	must.Eq(t, 1, out.Share)
	must.NotNil(t, out.Write)
	must.Eq(t, Done, out.Write.Record.State)
	must.Eq(t, testLease.Fence, out.Write.Record.Fence)
	must.Eq(t, revisionIn(t, 2, 4), out.Write.Previous)
}

// Fencing tokens that a restored platform gives out again must not keep the next leader from going on.
func TestMachine_FencesOfRestoredPlatform(t *testing.T) {
	m, r := canaryAt(simStart)
	r.Fence = 7
	m.RecordRead(simStart, r, revisionIn(t, 1, 9))
	r.Fence = 3
	m.RecordForwarded(simStart, r, revisionIn(t, 2, 5))
	m.Tick(simStart, Lease{Held: true, Fence: 4})
	m.RecordRead(simStart, r, revisionIn(t, 2, 5))
	out := m.Tick(simStart.Add(simConfig().RetryEvery), Lease{Held: true, Fence: 4})
	must.NotNil(t, out.Write)
	must.Eq(t, 4, out.Write.Record.Fence)
}
