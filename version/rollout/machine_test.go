package rollout

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/services"
)

// runUntil simulates windows until the condition holds, and fails the test if it does not within two hours.
func (w *simulation) runUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := w.now.Add(2 * time.Hour); w.now.Before(end); w.runWindow() {
		if condition() {
			return
		}
	}
	t.Fatalf("did not happen within two hours: %s", description)
}

// messagesWith returns the number of messages that contain text.
func (w *simulation) messagesWith(text string) (found int) {
	for _, m := range w.messages {
		if strings.Contains(m.Text, text) {
			found++
		}
	}
	return found
}

// A rollback decision must not require the platform, and must be recorded once the platform is back.
func TestStopDuringOutage(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 4))
		start := simStart.Add(time.Duration(r.Int64N(int64(50 * time.Minute))))
		w := newSimulation(seed, faultFrom(start, simConfig(), failingFault(r)))
		w.runUntil(t, "the fault begins", func() bool { return !w.now.Before(start) })
		w.kv.down = true
		entry := w.machines[entryMachine]
		w.runUntil(t, "stopped at the entry", func() bool { return entry.State() == RolledBack })
		must.Eq(t, 0, entry.Share())
		must.False(t, w.roseDuringOutage)
		must.NotEq(t, RolledBack, w.kv.record.State)
		w.kv.down = false
		w.runUntil(t, "the stop is recorded", func() bool { return w.kv.record.State == RolledBack })
		must.Greater(t, 0, w.messagesWith("rolled back, v1 receives all traffic again"))
	}
}

// The share must not rise during a platform outage, and the shift must continue after a short one.
func TestOutageHoldsTheShare(t *testing.T) {
	w := newSimulation(1, nil)
	entry := w.machines[entryMachine]
	w.runUntil(t, "ramping", func() bool { return entry.State() == Ramping })
	share := entry.Share()
	w.kv.down = true
	w.run(w.now.Add(15 * time.Minute))
	must.Eq(t, share, entry.Share())
	w.kv.down = false
	w.runUntil(t, "done", func() bool { return entry.State() == Done })
	must.False(t, w.fullAt.After(simShift().Deadline))
	must.Eq(t, 1, w.messagesWith("done, v1 is no longer needed"))
}

// A shift must not remain partially complete if a platform outage lasts beyond its deadline.
func TestOutageBeyondTheDeadlineRollsBack(t *testing.T) {
	w := newSimulation(1, nil)
	entry := w.machines[entryMachine]
	w.runUntil(t, "ramping", func() bool { return entry.State() == Ramping })
	w.kv.down = true
	w.leases[0] = Lease{}
	w.runUntil(t, "rolled back", func() bool { return entry.State() == RolledBack })
	must.StrContains(t, entry.Reason(), "deadline reached without enough evidence")
	must.True(t, w.now.After(simShift().Deadline))
}

// A lease holder that is paused and resumes without noticing that its lease has expired must not overwrite its successor's
// records.
func TestPausedHolder(t *testing.T) {
	for name, f := range map[string]fault{"good": nil, "bad": faultFrom(simStart.Add(20*time.Minute), simConfig(), failingFault(rand.New(rand.NewPCG(1, 5))))} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(7, f)
			entry := w.machines[entryMachine]
			w.runUntil(t, "ramping", func() bool { return entry.State() == Ramping })
			w.paused[0] = true
			w.leases[1] = Lease{Held: true, Fence: 2}
			w.runUntil(t, "the new holder writes the record", func() bool { return w.kv.record.Fence == 2 })
			w.paused[0] = false
			fence, share := w.kv.record.Fence, w.kv.record.Share
			w.runUntil(t, "the end", func() bool {
				must.GreaterEq(t, fence, w.kv.record.Fence)
				must.True(t, w.kv.record.Share >= share || w.kv.record.State == RolledBack)
				fence, share = w.kv.record.Fence, w.kv.record.Share
				return w.kv.record.State >= Done
			})
			must.Eq(t, f != nil, w.kv.record.State == RolledBack)
		})
	}
}

// A write whose response is lost must not be treated as failed or repeated indefinitely.
func TestLostResponses(t *testing.T) {
	w := newSimulation(3, nil)
	w.kv.loseResponses = true
	w.runUntil(t, "done", func() bool { return w.machines[entryMachine].State() == Done })
	must.LessEq(t, services.Revision(8), w.kv.revision)
}

// A shift with too little traffic must be reported before its deadline and must not continue after it.
func TestTooLittleTraffic(t *testing.T) {
	w := newSimulation(5, nil)
	w.perCell = 5
	w.runUntil(t, "the warning", func() bool { return w.messagesWith("will probably not be met") == 1 })
	must.True(t, w.now.Before(simStart.Add(15*time.Minute)))
	entry := w.machines[entryMachine]
	w.runUntil(t, "rolled back", func() bool { return entry.State() == RolledBack })
	must.LessEq(t, simShift().MaxCanaryShare, w.maxShare)
	must.StrContains(t, entry.Reason(), "deadline reached without enough evidence: at 5%")
	must.Eq(t, 1, w.messagesWith("will probably not be met"))
	must.Eq(t, 1, w.messagesWith("rolled back, v1 receives all traffic again"))
}

// A burst of failures on one machine of one data centre must not cause the rejection of a version.
func TestBurstDoesNotRejectVersion(t *testing.T) {
	config := simConfig()
	window := config.WindowOf(simStart.Add(5 * time.Minute))
	w := newSimulation(11, func(c Cell, _ float64, side Side, failed, slow float64) (float64, float64) {
		if side == New && c.Key.DataCentre == "nadi" && c.Key.Window == window {
			return 1, slow
		}
		return failed, slow
	})
	w.runUntil(t, "done", func() bool { return w.machines[entryMachine].State() == Done })
}

// At 100%, one degraded data centre must not raise a suspicion; if all data centres are affected, there must be one.
func TestOneDegradedDataCentreRaisesNoSuspicion(t *testing.T) {
	for name, degraded := range map[string][]string{"one": {"nadi"}, "all": simDataCentres} {
		shift := simShift()
		shift.Guards = nil
		test := NewSequentialTest(simConfig(), shift, simStart)
		var past []HistoryCell
		for _, dc := range simDataCentres {
			past = append(past, HistoryCell{DataCentre: dc, Route: "/bookings", Counts: Counts{OK: 995, Failed: 5}})
		}
		test.SetHistory(past)
		test.BeginStep(3)
		for window := range int64(30) {
			var cells []Cell
			for _, dc := range simDataCentres {
				c := Cell{Key: Key{DataCentre: dc, Route: "/bookings", Window: window, Step: 3}, New: Counts{OK: 20}}
				if slices.Contains(degraded, dc) {
					c.New = Counts{OK: 10, Failed: 10}
				}
				cells = append(cells, c)
			}
			test.Observe(cells)
		}
		must.Eq(t, name == "all", test.Verdict().Suspected)
		must.False(t, test.Verdict().Rejected)
	}
}

// No sequence of inputs may revert a shift that is done, or a rollback decision unless the shift is done; make a machine adopt an older
// record; raise the share during an outage unless the shift is done; or let a process without the lease advance the shift.
func TestMachineInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config, shift := simConfig(), simShift()
		m := NewMachine(config, shift, simStart)
		now := simStart
		stopped, down, held, leased := false, false, false, false
		// doneRecorded is set once the machine has received a record in state Done, done once it has adopted one.
		doneRecorded, done := false, false
		share := 0.0
		fence, last := uint64(0), services.Revision(0)
		check := func(out Output) {
			must.GreaterEq(t, fence, m.record.Fence)
			must.GreaterEq(t, last, m.revision)
			fence, last = m.record.Fence, m.revision
			if out.Stop != nil {
				stopped = true
			}
			must.Eq(t, out.Share, m.Share())
			if done {
				must.Eq(t, Done, m.State())
				must.Eq(t, share, out.Share)
				must.Nil(t, out.Stop)
				must.True(t, out.Write == nil || out.Write.Record.State == Done)
			}
			if m.State() == Done {
				must.True(t, doneRecorded)
				done = true
			}
			must.False(t, stopped && !done && (out.Share != 0 || m.State() != RolledBack))
			must.False(t, down && !done && out.Share > share)
			if out.Write != nil && out.Write.Record.State != RolledBack {
				must.False(t, stopped && !done)
				must.True(t, held || done && leased) // writing the final state again advances nothing, whatever the fencing token is
			}
			share = out.Share
		}
		record := rapid.Custom(func(t *rapid.T) Record {
			state := rapid.SampledFrom([]State{Pending, Canary, Ramping, Full, Verifying, RolledBack}).Draw(t, "state")
			if rapid.IntRange(0, 39).Draw(t, "done") == 0 {
				state, doneRecorded = Done, true
			}
			step := uint8(rapid.IntRange(0, 3).Draw(t, "step"))
			fence := rapid.Uint64Range(0, 3).Draw(t, "fence")
			r := Record{ID: shift.ID, State: state, Step: step, Share: config.Steps(shift.MaxCanaryShare)[step], Fence: fence, StartedMS: simStart.UnixMilli(), SinceMS: now.UnixMilli()}
			if state == RolledBack {
				r.Share, r.Reason = 0, "fault"
			}
			return r
		})
		revision := func() services.Revision {
			return services.Revision(rapid.Uint64Range(1, 9).Draw(t, "revision"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(10*time.Minute)).Draw(t, "step")))
				lease := Lease{Held: rapid.Bool().Draw(t, "held"), Fence: rapid.Uint64Range(1, 3).Draw(t, "fence")}
				held, leased = lease.Held && lease.Fence >= m.record.Fence, lease.Held
				check(m.Tick(now, lease))
			},
			"stop": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					stopped = true
					check(m.RollbackReceived(now, wire.RolloutStop{Rollout: shift.ID, Reason: "fault"}))
				}
			},
			"read":    func(t *rapid.T) { down = false; check(m.RecordRead(now, record.Draw(t, "record"), revision())) },
			"heard":   func(t *rapid.T) { check(m.RecordForwarded(now, record.Draw(t, "record"), revision())) },
			"missing": func(t *rapid.T) { down = false; check(m.RecordMissing(now)) },
			"outage":  func(t *rapid.T) { down = true; check(m.PlatformDown(now)) },
			"failed": func(t *rapid.T) {
				err := rapid.SampledFrom([]error{services.ErrConflict, services.ErrOutcomeUnknown, services.ErrUnavailable}).Draw(t, "error")
				down = down || err == services.ErrUnavailable
				check(m.WriteFailed(now, err))
			},
		})
	})
}

// A record in a state that does not belong to its step must not end the process of the leader that reads it.
func TestMachine_CanaryRecordAtLastStep(t *testing.T) {
	config, shift := simConfig(), simShift()
	for _, state := range []State{Canary, Ramping} {
		m := NewMachine(config, shift, simStart)
		lease := Lease{Held: true, Fence: 1}
		m.Tick(simStart, lease)
		last := uint8(len(config.Steps(shift.MaxCanaryShare)) - 1)
		m.RecordRead(simStart, Record{
			ID: shift.ID, State: state, Step: last, Share: 1, Fence: 1, StartedMS: simStart.UnixMilli(), SinceMS: simStart.UnixMilli(),
		}, 1)
		m.Tick(simStart.Add(config.SettleTime), lease)
		must.Eq(t, state, m.State())
	}
}

// canaryAt returns a machine that has read a canary record, and the record.
func canaryAt(now time.Time) (*Machine, Record) {
	m := NewMachine(simConfig(), simShift(), now)
	r := Record{ID: "s1", State: Canary, Share: 0.05, Fence: 1, StartedMS: now.UnixMilli(), SinceMS: now.UnixMilli()}
	m.RecordRead(now, r, 1)
	return m, r
}

// Guards against a former leader that takes a completed shift back: the old version's upstreams have been stopped.
func TestMachine_DoneIsFinal(t *testing.T) {
	m, r := canaryAt(simStart)
	r.State, r.Share = Done, 1
	m.RecordRead(simStart, r, 5)
	stop := wire.RolloutStop{Rollout: "s1", Reason: "deadline"}
	must.Nil(t, m.RollbackReceived(simStart, stop).Stop)
	m.RecordForwarded(simStart, Record{ID: "s1", State: RolledBack, Reason: "deadline", Fence: 2}, 6)
	out := m.Tick(simShift().Deadline.Add(time.Hour), Lease{Held: true, Fence: 3})
	must.Eq(t, Done, m.State())
	must.Eq(t, 1, out.Share)
	must.Nil(t, out.Write)
	must.Nil(t, out.Stop)
}

// Guards against a process without the platform that rolls back at the deadline although others have told it that the shift is at 100%.
func TestMachine_HearsOfProgressDuringOutage(t *testing.T) {
	for _, state := range []State{Full, Done} {
		m, r := canaryAt(simStart)
		m.PlatformDown(simStart)
		r.State, r.Step, r.Share, r.Fence = state, 3, 1, 2
		out := m.RecordForwarded(simStart.Add(time.Minute), r, 7)
		must.Eq(t, state == Done, out.Share == 1)
		out = m.Tick(simShift().Deadline.Add(time.Hour), Lease{})
		must.Nil(t, out.Stop)
		must.Eq(t, state, m.State())
		m.RecordRead(simShift().Deadline.Add(time.Hour), r, 7)
		must.Eq(t, 1, m.Share())
	}
}

// Guards against a process that was cut off from all others, has rolled back at the deadline and keeps to that after it learns that the shift was
// completed.
func TestMachine_RollbackYieldsToDone(t *testing.T) {
	m, r := canaryAt(simStart)
	m.Tick(simStart, Lease{Held: true, Fence: 1})
	m.RecordRead(simStart, r, 1)
	m.PlatformDown(simStart)
	late := simShift().Deadline.Add(time.Hour)
	out := m.Tick(late, Lease{})
	must.NotNil(t, out.Stop)
	must.False(t, m.Recorded())
	r.State, r.Share, r.Fence = Done, 1, 2
	out = m.RecordForwarded(late, r, 7)
	must.Nil(t, out.Stop)
	must.Eq(t, Done, m.State())
	out = m.RecordRead(late, r, 7)
	must.Nil(t, out.Write)
	must.Eq(t, 1, out.Share)
	must.True(t, m.Recorded())
}

// Guards against a new leader that reports a rollback as the outcome although the record may say otherwise.
func TestMachine_RollbackIsReportedOnceRecorded(t *testing.T) {
	m, r := canaryAt(simStart)
	m.RollbackReceived(simStart, wire.RolloutStop{Rollout: "s1", Reason: "fault"})
	must.False(t, m.Recorded())
	out := m.Tick(simStart, Lease{Held: true, Fence: 2})
	must.True(t, out.Read)
	must.False(t, m.Recorded())
	out = m.RecordRead(simStart.Add(simConfig().RetryEvery), r, 1)
	must.NotNil(t, out.Write)
	must.False(t, m.Recorded())
	m.WriteSucceeded(simStart.Add(simConfig().RetryEvery), *out.Write, 2)
	must.True(t, m.Recorded())
}
