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

// simRuns can be increased to measure rates more precisely.
var simRuns = flag.Int("runs", 200, "simulated shifts per case")

// faultFrom applies a fault to the new version from start on.
func faultFrom(start time.Time, config Config, f fault) fault {
	first := config.WindowOf(start)
	return func(c Cell, share float64, side Side, failed, slow float64) (float64, float64) {
		if side == Old || c.Key.Window < first {
			return failed, slow
		}
		return f(c, share, side, failed, slow)
	}
}

// degradedDataCentre makes both versions fail and slow in a random data centre from a random time on.
func degradedDataCentre(r *rand.Rand, config Config) fault {
	centre := simDataCentres[r.IntN(len(simDataCentres))]
	first := config.WindowOf(simStart.Add(time.Duration(r.Int64N(int64(time.Hour)))))
	rate := 0.1 + 0.6*r.Float64()
	return func(c Cell, _ float64, _ Side, failed, slow float64) (float64, float64) {
		if c.Key.DataCentre == centre && c.Key.Window >= first {
			return rate, rate
		}
		return failed, slow
	}
}

// surgeFault simulates a traffic surge: it makes both versions slow in all data centres for ten minutes.
func surgeFault(r *rand.Rand, config Config) fault {
	first := config.WindowOf(simStart.Add(time.Duration(r.Int64N(int64(time.Hour)))))
	return func(c Cell, _ float64, _ Side, failed, slow float64) (float64, float64) {
		if c.Key.Window >= first && c.Key.Window < first+60 {
			return failed, 0.5
		}
		return failed, slow
	}
}

// runSeeds runs one simulation per seed and returns them in the order of the seeds.
func runSeeds(t *testing.T, seeds int, build func(seed uint64) *simulation) []*simulation {
	simulations := make([]*simulation, seeds)
	var group errgroup.Group
	group.SetLimit(4)
	for seed := range simulations {
		group.Go(func() error {
			simulations[seed] = build(uint64(seed))
			simulations[seed].run(simStart.Add(2 * time.Hour))
			return nil
		})
	}
	must.NoError(t, group.Wait())
	return simulations
}

// A good version may be rolled back in at most 1% of the runs and must meet the deadline in the others, also during a traffic
// surge or while a data centre is degraded.
func TestGoodVersionIsCompletedByTheDeadline(t *testing.T) {
	cases := map[string]func(*rand.Rand) fault{
		"healthy":              func(*rand.Rand) fault { return nil },
		"degraded data centre": func(r *rand.Rand) fault { return degradedDataCentre(r, simConfig()) },
		"surge":                func(r *rand.Rand) fault { return surgeFault(r, simConfig()) },
	}
	for name, makeFault := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rolledBack := 0
			simulations := runSeeds(t, *simRuns, func(seed uint64) *simulation {
				return newSimulation(seed, makeFault(rand.New(rand.NewPCG(seed, 2))))
			})
			for seed, w := range simulations {
				entry := w.machines[entryMachine]
				if entry.State() == RolledBack {
					rolledBack++
					t.Logf("seed %d: %s", seed, entry.Reason())
					continue
				}
				must.Eq(t, Done, entry.State(), must.Sprintf("seed %d", seed))
				must.True(t, name == "surge" || w.messagesWith("lowered") == 0, must.Sprintf("seed %d", seed))
				must.False(t, w.fullAt.After(simShift().Deadline), must.Sprintf("seed %d: full at %v", seed, w.fullAt))
			}
			t.Logf("rolled back in %d of %d runs", rolledBack, *simRuns)
			test.LessEq(t, *simRuns/100, rolledBack)
		})
	}
}

// badCase is a kind of bad version. immediate means that the fault is present from the start at every share.
type badCase struct {
	name      string
	fault     func(r *rand.Rand) (fault, time.Time)
	immediate bool
}

// failingFault makes 5% to 100% of the requests fail.
func failingFault(r *rand.Rand) fault {
	rate := 0.05 + 0.95*r.Float64()
	return func(_ Cell, _ float64, _ Side, _, slow float64) (float64, float64) { return rate, slow }
}

// slowFault makes 25% to 100% of the requests that do not fail slow.
func slowFault(r *rand.Rand) fault {
	rate := 0.25 + 0.75*r.Float64()
	return func(_ Cell, _ float64, _ Side, failed, _ float64) (float64, float64) { return failed, rate }
}

// faultWhen applies a fault only to cells that satisfy the condition.
func faultWhen(f fault, condition func(c Cell, share float64) bool) fault {
	return func(c Cell, share float64, side Side, failed, slow float64) (float64, float64) {
		if condition(c, share) {
			return f(c, share, side, failed, slow)
		}
		return failed, slow
	}
}

// randomStart returns a random time before the end of the monitoring, which is at 55 minutes.
func randomStart(r *rand.Rand) time.Time {
	return simStart.Add(time.Duration(r.Int64N(int64(50 * time.Minute))))
}

var badCases = []badCase{
	{"fails at once", func(r *rand.Rand) (fault, time.Time) { return failingFault(r), simStart }, true},
	{"fails later", func(r *rand.Rand) (fault, time.Time) { return failingFault(r), randomStart(r) }, false},
	{"fails under load", func(r *rand.Rand) (fault, time.Time) {
		above := 0.1 + 0.85*r.Float64()
		return faultWhen(failingFault(r), func(_ Cell, share float64) bool { return share > above }), simStart
	}, false},
	{"fails on one route", func(r *rand.Rand) (fault, time.Time) {
		route := simRoutes[r.IntN(len(simRoutes))]
		return faultWhen(failingFault(r), func(c Cell, _ float64) bool { return c.Key.Route == route }), simStart
	}, true},
	{"slow at once", func(r *rand.Rand) (fault, time.Time) { return slowFault(r), simStart }, true},
	{"slow later", func(r *rand.Rand) (fault, time.Time) { return slowFault(r), randomStart(r) }, false},
}

// A bad version must be rolled back, must not exceed the cap if its fault is immediate, and must not receive traffic after the
// rollback decision.
func TestBadVersionIsRolledBack(t *testing.T) {
	for _, c := range badCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			starts := make([]time.Time, *simRuns)
			simulations := runSeeds(t, *simRuns, func(seed uint64) *simulation {
				f, start := c.fault(rand.New(rand.NewPCG(seed, 3)))
				starts[seed] = start
				return newSimulation(seed, faultFrom(start, simConfig(), f))
			})
			var worst time.Duration
			for seed, w := range simulations {
				in := must.Sprintf("seed %d, fault from %v", seed, starts[seed].Sub(simStart))
				must.Eq(t, RolledBack, w.machines[entryMachine].State(), in)
				must.Eq(t, RolledBack, w.kv.record.State, in)
				must.Eq(t, 0, w.shareAfterStop, in)
				must.True(t, !c.immediate || w.maxShare <= simShift().MaxCanaryShare, in)
				worst = max(worst, w.stoppedAt.Sub(starts[seed]))
			}
			t.Logf("all %d rolled back, at most %v after the fault could first appear", *simRuns, worst.Round(time.Second))
		})
	}
}

// A version whose latency is unknown must not get a larger share, however many of its requests succeed.
func TestUnmeasuredVersionIsNotRaised(t *testing.T) {
	simulations := runSeeds(t, 3, func(seed uint64) *simulation {
		w := newSimulation(seed, nil)
		w.unmeasured = true
		return w
	})
	for _, w := range simulations {
		entry := w.machines[entryMachine]
		must.Eq(t, RolledBack, entry.State())
		must.LessEq(t, simShift().MaxCanaryShare, w.maxShare)
		must.StrContains(t, entry.Reason(), "without enough evidence")
		must.StrContains(t, w.messages[1].Text, "will probably not be met")
	}
}
