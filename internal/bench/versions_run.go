package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/version/rollout"
)

// shiftRun simulates one shift in virtual time, with one process that holds the lease and gets all evidence.
type shiftRun struct {
	random   *rand.Rand
	config   rollout.Config
	start    time.Time
	now      time.Time
	machine  *rollout.Machine
	revision services.Revision
	bad      outcomeRates
	// outageFrom is the time from which one data centre fails for both versions. It is after the end of the shift if there is no outage.
	outageFrom  time.Duration
	openWindows [][]rollout.Cell
	result      shiftResult
	// faultAt is the time at which the outcomes of the bad version first differed.
	faultAt time.Duration
	faulty  bool
}

func newShiftRun(random *rand.Rand, bad outcomeRates, withOutage bool) *shiftRun {
	cfg := rollout.DefaultConfig()
	cfg.MonitorTime = 10 * time.Minute
	start := time.Unix(1_800_000_000, 0).Truncate(cfg.Window)
	r := &shiftRun{random: random, config: cfg, start: start, now: start, bad: bad, outageFrom: 100 * time.Hour}
	if withOutage {
		r.outageFrom = time.Duration(random.Int64N(int64(50 * time.Minute)))
	}
	r.machine = rollout.NewMachine(cfg, rollout.Shift{
		ID: "s1", Service: "press-model", From: "v1", To: "v2", Deadline: start.Add(shiftTime), MaxCanaryShare: shiftCap, Guards: []string{"/chat/driver"},
	}, start)
	r.applyOutput(r.machine.RecordMissing(start))
	return r
}

// run simulates until the shift is done or rolled back, at most an hour beyond shiftTime.
func (r *shiftRun) run() shiftResult {
	for r.elapsed() < shiftTime+time.Hour {
		r.advanceWindow()
		state := r.machine.State()
		if state == rollout.RolledBack || state == rollout.Done {
			break
		}
	}
	r.result.state = r.machine.State()
	if r.faulty {
		r.result.timeToVerdict = r.elapsed() - r.faultAt
	}
	return r.result
}

func (r *shiftRun) elapsed() time.Duration { return r.now.Sub(r.start) }

// advanceWindow simulates one window and evaluates the evidence of the window before it, whose reporting lag has passed.
func (r *shiftRun) advanceWindow() {
	share := r.machine.Share()
	r.openWindows = append(r.openWindows, r.drawCells(share))
	if r.faulty {
		r.result.maxBadShare = max(r.result.maxBadShare, share)
	}
	const ticks = 5
	for range ticks {
		r.now = r.now.Add(r.config.Window / ticks)
		r.applyOutput(r.machine.Tick(r.now, rollout.Lease{Held: true, Fence: 1}))
		if r.machine.Share() == 1 && r.result.fullAt == 0 {
			r.result.fullAt = r.elapsed()
		}
	}
	if len(r.openWindows) > 1 {
		r.applyOutput(r.machine.Evidence(r.now, r.openWindows[0]))
		r.openWindows = r.openWindows[1:]
	}
}

// applyOutput answers reads and writes like a platform without outages.
func (r *shiftRun) applyOutput(out rollout.Output) {
	switch {
	case out.Read && r.revision == 0:
		r.applyOutput(r.machine.RecordMissing(r.now))
	case out.Write != nil:
		r.revision++
		r.applyOutput(r.machine.WriteSucceeded(r.now, *out.Write, r.revision))
	}
}

// drawCells returns random outcomes of one window.
func (r *shiftRun) drawCells(share float64) []rollout.Cell {
	var cells []rollout.Cell
	for i, dataCentre := range shiftDataCentres {
		for _, route := range shiftRoutes {
			failed, slow := 0.005, 0.05
			if i == 0 && r.elapsed() >= r.outageFrom && r.elapsed() < r.outageFrom+10*time.Minute {
				failed, slow = 0.2, 0.4
			}
			newFailed, newSlow := failed, slow
			if r.bad != nil {
				newFailed, newSlow = r.bad(r.elapsed(), share, route, failed, slow)
			}
			if !r.faulty && share > 0 && (newFailed != failed || newSlow != slow) {
				r.faulty, r.faultAt = true, r.elapsed()
			}
			requests := drawBinomial(r.random, 2*requestsPerCell, 0.5)
			newRequests := drawBinomial(r.random, requests, share)
			cells = append(cells, rollout.Cell{
				Key: rollout.Key{DataCentre: dataCentre, Route: route, Window: r.config.WindowOf(r.now), Step: r.machine.Step()},
				Old: r.drawCounts(requests-newRequests, failed, slow), New: r.drawCounts(newRequests, newFailed, newSlow),
			})
		}
	}
	return cells
}

func (r *shiftRun) drawCounts(n, failedRate, slowRate float64) rollout.Counts {
	failed := drawBinomial(r.random, n, failedRate)
	slow := drawBinomial(r.random, n-failed, slowRate)
	return rollout.Counts{OK: uint32(n - failed - slow), Failed: uint32(failed), Slow: uint32(slow)}
}

// drawBinomial returns a random number of successes in n trials. It simulates the trials if the expected number of successes or of
// failures is at most 30, and uses the normal approximation otherwise.
func drawBinomial(random *rand.Rand, n, p float64) float64 {
	if n*min(p, 1-p) > 30 {
		return min(max(math.Round(n*p+random.NormFloat64()*math.Sqrt(n*p*(1-p))), 0), n)
	}
	successes := 0.0
	for range int(n) {
		if random.Float64() < p {
			successes++
		}
	}
	return successes
}
