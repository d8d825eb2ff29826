package rollout

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
)

// simRuns may be raised to measure rates more closely.
var simRuns = flag.Int("runs", 200, "simulated shifts per case")

// after applies a fault to the new version from a time on.
func after(start time.Time, config Config, f fault) fault {
	first := config.WindowOf(start)
	return func(c Cell, share float64, side Side, failed, slow float64) (float64, float64) {
		if side == Old || c.Key.Window < first {
			return failed, slow
		}
		return f(c, share, side, failed, slow)
	}
}

func sickCentre(r *rand.Rand, config Config) fault {
	centre := simCentres[r.IntN(len(simCentres))]
	first := config.WindowOf(simStart.Add(time.Duration(r.Int64N(int64(time.Hour)))))
	rate := 0.1 + 0.6*r.Float64()
	return func(c Cell, _ float64, _ Side, failed, slow float64) (float64, float64) {
		if c.Key.DataCentre == centre && c.Key.Window >= first {
			return rate, rate
		}
		return failed, slow
	}
}

// surge makes both versions slow everywhere for ten minutes.
func surge(r *rand.Rand, config Config) fault {
	first := config.WindowOf(simStart.Add(time.Duration(r.Int64N(int64(time.Hour)))))
	return func(c Cell, _ float64, _ Side, failed, slow float64) (float64, float64) {
		if c.Key.Window >= first && c.Key.Window < first+60 {
			return failed, 0.5
		}
		return failed, slow
	}
}

// runAll runs one world per seed, and returns them in the order of the seeds.
func runAll(t *testing.T, seeds int, build func(seed uint64) *world) []*world {
	worlds := make([]*world, seeds)
	var group errgroup.Group
	group.SetLimit(4)
	for seed := range worlds {
		group.Go(func() error {
			worlds[seed] = build(uint64(seed))
			worlds[seed].run(simStart.Add(2 * time.Hour))
			return nil
		})
	}
	must.NoError(t, group.Wait())
	return worlds
}

// Guards against a good version that is blamed, also beside a sick data centre or in a surge, or that is late.
func TestGoodVersionIsCompletedByTheDeadline(t *testing.T) {
	cases := map[string]func(*rand.Rand) fault{
		"healthy":          func(*rand.Rand) fault { return nil },
		"sick data centre": func(r *rand.Rand) fault { return sickCentre(r, simConfig()) },
		"surge":            func(r *rand.Rand) fault { return surge(r, simConfig()) },
	}
	for name, makeFault := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			blamed := 0
			worlds := runAll(t, *simRuns, func(seed uint64) *world {
				return newWorld(seed, makeFault(rand.New(rand.NewPCG(seed, 2))))
			})
			for seed, w := range worlds {
				entry := w.machines[entryMachine]
				if entry.State() == RolledBack {
					blamed++
					t.Logf("seed %d: %s", seed, entry.Reason())
					continue
				}
				must.Eq(t, Done, entry.State(), must.Sprintf("seed %d", seed))
				must.True(t, name == "surge" || w.said("lowered") == 0, must.Sprintf("seed %d", seed))
				must.False(t, w.fullAt.After(simShift().By), must.Sprintf("seed %d: full at %v", seed, w.fullAt))
			}
			t.Logf("blamed in %d of %d runs", blamed, *simRuns)
			test.LessEq(t, *simRuns/100, blamed)
		})
	}
}

type badCase struct {
	name   string
	fault  func(r *rand.Rand) (fault, time.Time)
	atOnce bool
}

func fails(r *rand.Rand) fault {
	rate := 0.05 + 0.95*r.Float64()
	return func(_ Cell, _ float64, _ Side, _, slow float64) (float64, float64) { return rate, slow }
}

func slows(r *rand.Rand) fault {
	rate := 0.25 + 0.75*r.Float64()
	return func(_ Cell, _ float64, _ Side, failed, _ float64) (float64, float64) { return failed, rate }
}

// when applies a fault to some cells only.
func when(f fault, condition func(c Cell, share float64) bool) fault {
	return func(c Cell, share float64, side Side, failed, slow float64) (float64, float64) {
		if condition(c, share) {
			return f(c, share, side, failed, slow)
		}
		return failed, slow
	}
}

// later draws a time before the end of the monitoring, which is at 55 minutes.
func later(r *rand.Rand) time.Time {
	return simStart.Add(time.Duration(r.Int64N(int64(50 * time.Minute))))
}

var badCases = []badCase{
	{"fails at once", func(r *rand.Rand) (fault, time.Time) { return fails(r), simStart }, true},
	{"fails later", func(r *rand.Rand) (fault, time.Time) { return fails(r), later(r) }, false},
	{"fails under load", func(r *rand.Rand) (fault, time.Time) {
		above := 0.1 + 0.85*r.Float64()
		return when(fails(r), func(_ Cell, share float64) bool { return share > above }), simStart
	}, false},
	{"fails on one route", func(r *rand.Rand) (fault, time.Time) {
		route := simRoutes[r.IntN(len(simRoutes))]
		return when(fails(r), func(c Cell, _ float64) bool { return c.Key.Route == route }), simStart
	}, true},
	{"slow at once", func(r *rand.Rand) (fault, time.Time) { return slows(r), simStart }, true},
	{"slow later", func(r *rand.Rand) (fault, time.Time) { return slows(r), later(r) }, false},
}

// Guards against a bad version that stays, gets more than its share before it is found, or has traffic after the stop.
func TestBadVersionIsRolledBack(t *testing.T) {
	for _, c := range badCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			starts := make([]time.Time, *simRuns)
			worlds := runAll(t, *simRuns, func(seed uint64) *world {
				f, start := c.fault(rand.New(rand.NewPCG(seed, 3)))
				starts[seed] = start
				return newWorld(seed, after(start, simConfig(), f))
			})
			var worst time.Duration
			for seed, w := range worlds {
				in := must.Sprintf("seed %d, fault from %v", seed, starts[seed].Sub(simStart))
				must.Eq(t, RolledBack, w.machines[entryMachine].State(), in)
				must.Eq(t, RolledBack, w.kv.record.State, in)
				must.Eq(t, 0, w.afterStop, in)
				must.True(t, !c.atOnce || w.maxShare <= simShift().Cap, in)
				worst = max(worst, w.stoppedAt.Sub(starts[seed]))
			}
			t.Logf("all %d rolled back, the last one %v after the fault could first show", *simRuns, worst.Round(time.Second))
		})
	}
}
