package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/version/rollout"
)

// shiftRun is one shift in virtual time with one process that holds the lease and all evidence.
type shiftRun struct {
	random   *rand.Rand
	config   rollout.Config
	start    time.Time
	now      time.Time
	machine  *rollout.Machine
	revision services.Revision
	bad      quality
	// sickFrom is when a data centre fails for both versions, beyond the shift's time if never.
	sickFrom time.Duration
	open     [][]rollout.Cell
	result   shiftResult
	// faultAt is when the bad version first differed.
	faultAt time.Duration
	faulty  bool
}

func newShiftRun(random *rand.Rand, bad quality, sick bool) *shiftRun {
	cfg := rollout.DefaultConfig()
	cfg.Monitor = 10 * time.Minute
	start := time.Unix(1_800_000_000, 0).Truncate(cfg.Window)
	r := &shiftRun{random: random, config: cfg, start: start, now: start, bad: bad, sickFrom: 100 * time.Hour}
	if sick {
		r.sickFrom = time.Duration(random.Int64N(int64(50 * time.Minute)))
	}
	r.machine = rollout.NewMachine(cfg, rollout.Shift{
		ID: "s1", Service: "press-model", From: "v1", To: "v2", By: start.Add(shiftTime), Cap: shiftCap, Guards: []string{"/chat/driver"},
	}, start)
	r.handle(r.machine.RecordMissing(start))
	return r
}

// run simulates until the shift is done or taken back.
func (r *shiftRun) run() shiftResult {
	for r.elapsed() < shiftTime+time.Hour {
		r.window()
		state := r.machine.State()
		if state == rollout.RolledBack || state == rollout.Done {
			break
		}
	}
	r.result.state = r.machine.State()
	if r.faulty {
		r.result.badTime = r.elapsed() - r.faultAt
	}
	return r.result
}

func (r *shiftRun) elapsed() time.Duration { return r.now.Sub(r.start) }

// window lets one window pass and judges the one before it, whose lag is over.
func (r *shiftRun) window() {
	share := r.machine.Share()
	r.open = append(r.open, r.cells(share))
	if r.faulty {
		r.result.badShare = max(r.result.badShare, share)
	}
	const ticks = 5
	for range ticks {
		r.now = r.now.Add(r.config.Window / ticks)
		r.handle(r.machine.Tick(r.now, rollout.Lease{Held: true, Fence: 1}))
		if r.machine.Share() == 1 && r.result.fullAt == 0 {
			r.result.fullAt = r.elapsed()
		}
	}
	if len(r.open) > 1 {
		r.handle(r.machine.Evidence(r.now, r.open[0]))
		r.open = r.open[1:]
	}
}

// handle answers as a platform does that is always up.
func (r *shiftRun) handle(out rollout.Output) {
	switch {
	case out.Read && r.revision == 0:
		r.handle(r.machine.RecordMissing(r.now))
	case out.Write != nil:
		r.revision++
		r.handle(r.machine.Written(r.now, *out.Write, r.revision))
	}
}

// cells draws the outcomes of one window.
func (r *shiftRun) cells(share float64) []rollout.Cell {
	var cells []rollout.Cell
	for i, dataCentre := range shiftCentres {
		for _, route := range shiftRoutes {
			failed, slow := 0.005, 0.05
			if i == 0 && r.elapsed() >= r.sickFrom && r.elapsed() < r.sickFrom+10*time.Minute {
				failed, slow = 0.2, 0.4
			}
			newFailed, newSlow := failed, slow
			if r.bad != nil {
				newFailed, newSlow = r.bad(r.elapsed(), share, route, failed, slow)
			}
			if !r.faulty && share > 0 && (newFailed != failed || newSlow != slow) {
				r.faulty, r.faultAt = true, r.elapsed()
			}
			all := draw(r.random, 2*cellsRequests, 0.5)
			fresh := draw(r.random, all, share)
			cells = append(cells, rollout.Cell{
				Key: rollout.Key{DataCentre: dataCentre, Route: route, Window: r.config.WindowOf(r.now), Step: r.machine.Step()},
				Old: r.counts(all-fresh, failed, slow), New: r.counts(fresh, newFailed, newSlow),
			})
		}
	}
	return cells
}

func (r *shiftRun) counts(n, failedRate, slowRate float64) rollout.Counts {
	failed := draw(r.random, n, failedRate)
	slow := draw(r.random, n-failed, slowRate)
	return rollout.Counts{OK: uint32(n - failed - slow), Failed: uint32(failed), Slow: uint32(slow)}
}

// draw returns the number of successes in n trials, exactly if they are few and by the normal approximation otherwise.
func draw(random *rand.Rand, n, p float64) float64 {
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
