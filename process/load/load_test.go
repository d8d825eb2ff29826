package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jayridge/jayridge/connection/wire"
)

var start = time.Unix(1_000_000, 0)

func runner(i int, dataCentre string) Upstream {
	return Upstream{ID: fmt.Sprint(dataCentre, "-", i), DataCentre: dataCentre, Group: "model"}
}

func report(units uint32) wire.LoadReport { return wire.LoadReport{WorkUnits: units} }

func mean(t *testing.T, tab *Table, now time.Time) uint32 {
	m, found := tab.Mean(now, "model")
	must.True(t, found)
	return m
}

// The mean must not be a mean of means, and must not count expired reports, cold or removed upstreams, or a summary twice.
func TestMean(t *testing.T) {
	cfg := DefaultConfig()
	cfg.ReportDecay = 0
	tab := NewTable("a", cfg)
	_, found := tab.Mean(start, "model")
	must.False(t, found)
	tab.Report(start, runner(1, "a"), report(100))
	tab.Report(start.Add(time.Second), runner(2, "a"), report(300))
	tab.Report(start.Add(time.Second), runner(3, "a"), wire.LoadReport{WorkUnits: 5, Cold: true})
	must.Eq(t, 200, mean(t, tab, start.Add(time.Second)))
	must.Eq(t, 300, mean(t, tab, start.Add(10*time.Second+1)))
	now := start.Add(5 * time.Second)
	tab.Report(now, runner(1, "a"), report(200))
	must.Eq(t, 250, mean(t, tab, now))

	tab.Report(now, runner(1, "b"), report(9000))
	must.Eq(t, 9500/3, mean(t, tab, now))
	summary := wire.LoadSummary{DataCentre: "b", Service: "model", WorkUnits: 5000, Upstreams: 8, AgeMS: 4000}
	own := wire.LoadSummary{DataCentre: "a", Service: "model", WorkUnits: 1 << 40, Upstreams: 1}
	older := wire.LoadSummary{DataCentre: "b", Service: "model", WorkUnits: 1, Upstreams: 1, AgeMS: 4001}
	tab.MergeSummaries(now, []wire.LoadSummary{summary, own, older})
	must.Eq(t, 5500/10, mean(t, tab, now))
	must.SliceContainsAll(t, tab.Summaries(now.Add(time.Second)), []wire.LoadSummary{
		{DataCentre: "a", Service: "model", WorkUnits: 500, Upstreams: 2},
		{DataCentre: "b", Service: "model", WorkUnits: 5000, Upstreams: 8, AgeMS: 5000},
	})
	got, age, found := tab.Latest(now.Add(time.Second), runner(2, "a").ID)
	must.True(t, found && got.WorkUnits == 300 && age == 5*time.Second)
	_, _, found = tab.Latest(now.Add(time.Minute), runner(2, "a").ID)
	must.False(t, found)
	tab.Remove(runner(2, "a").ID)
	tab.Remove(runner(2, "a").ID)
	must.Eq(t, 5200/9, mean(t, tab, now.Add(6*time.Second)))
	must.Eq(t, 9200/2, mean(t, tab, now.Add(6*time.Second+1)))
	tab.Report(now.Add(7*time.Second), Upstream{ID: runner(1, "b").ID, DataCentre: "b", Group: "other"}, report(50))
	must.Eq(t, 200, mean(t, tab, now.Add(7*time.Second)))
}

// The running sums must match the reports they cover, and late reports of a removed upstream must be ignored: they would lower the mean
// until the other upstreams refuse work too.
func TestSumsFollowReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.ReportDecay = rapid.SampledFrom([]time.Duration{0, 2 * time.Second}).Draw(t, "decay")
		tab := NewTable("a", cfg)
		type last struct {
			wire.LoadReport
			at time.Time
		}
		model, removed := map[string]last{}, map[string]bool{}
		now := start
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			u := runner(rapid.IntRange(0, 5).Draw(t, "runner"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "dc"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				tab.Remove(u.ID)
				delete(model, u.ID)
				removed[u.ID] = true
			case 1:
				tab.Hint(now, u)
				delete(removed, u.ID)
			default:
				r := wire.LoadReport{WorkUnits: 1000 * rapid.Uint32Range(1, 1000).Draw(t, "units"), Cold: rapid.Bool().Draw(t, "cold")}
				tab.Report(now, u, r)
				if !removed[u.ID] {
					model[u.ID] = last{r, now}
				}
			}
			want, sum := 0.0, 0.0
			byDataCentre := map[string][3]float64{}
			for id, l := range model {
				if !l.Cold && now.Sub(l.at) <= cfg.ReportMaxAge {
					s, weight := byDataCentre[id[:1]], 1.0
					if cfg.ReportDecay > 0 {
						weight = math.Exp(-now.Sub(l.at).Seconds() / cfg.ReportDecay.Seconds())
					}
					byDataCentre[id[:1]] = [3]float64{s[0] + weight*float64(l.WorkUnits), s[1] + weight, s[2] + 1}
				}
			}
			for _, s := range byDataCentre {
				want, sum = want+s[0]/s[1]*s[2], sum+s[2]
			}
			got, found := tab.Mean(now, "model")
			must.Eq(t, sum > 0, found)
			if found {
				must.InDelta(t, max(1, want/sum), float64(got), 1.1)
			}
		}
	})
}

// Hints must be sent when due and only then, and must not exceed their byte budget.
func TestHintsAreSampled(t *testing.T) {
	tab := NewTable("a", DefaultConfig())
	u := runner(1, "a")
	must.Zero(t, tab.Hint(start, u))
	tab.Report(start, u, report(1000))
	at := func(ms int, units uint32) uint32 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		tab.Report(now, u, report(units))
		return tab.Hint(now, u)
	}
	for _, s := range [][3]int{{0, 1000, 1000}, {1, 1050, 0}, {2, 950, 0}, {3, 1051, 1051}, {900, 1051, 0}, {1003, 1051, 1051}, {1004, 998, 998}, {1005, 0, 1}} {
		must.Eq(t, uint32(s[2]), at(s[0], uint32(s[1])), must.Sprint(s))
	}

	sent, cfg := 0, DefaultConfig()
	tab = NewTable("a", cfg)
	const seconds = 20
	for ms := range seconds * 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		u := runner(ms%435, "a")
		tab.Report(now, u, report(uint32(1000+ms)))
		if tab.Hint(now, u) > 0 {
			sent += cfg.HintBytes
		}
	}
	t.Logf("%d hint bytes in %d s of 1000 requests/s", sent, seconds)
	// The mean changes continuously, which uses up both budgets.
	budget := seconds * int(cfg.HintBytesPerSecond+cfg.ChangeBytesPerSecond)
	must.Between(t, budget*9/10, sent, budget+cfg.HintBurstBytes+cfg.ChangeBurstBytes)
}

// Hints of a growing load must not be late because other hints used up the budget. Change hints must not be sent while the load is
// steady, and must not exceed their budget.
func TestChangeHints(t *testing.T) {
	cfg := DefaultConfig()
	cfg.HintBytesPerSecond, cfg.HintBurstBytes = 1, 100*cfg.HintBytes
	cfg.ChangeBytesPerSecond, cfg.ChangeBurstBytes = 0, 30*cfg.HintBytes
	tab := NewTable("a", cfg)
	hints := func(now time.Time, mean uint32) (n int) {
		tab.Report(now, runner(0, "a"), wire.LoadReport{WorkUnits: mean})
		for i := range 100 {
			if tab.Hint(now, runner(i, "a")) > 0 {
				n++
			}
		}
		return n
	}
	must.EqOp(t, 100, hints(start, 1000))
	must.EqOp(t, 0, hints(start.Add(2*time.Second), 1049))
	must.EqOp(t, 30, hints(start.Add(3*time.Second), 1051))
	must.EqOp(t, 0, hints(start.Add(4*time.Second), 2000))
}

// If each entry misses half of the reports and half of the hints are lost, the sidecar's estimate must stay within 15% of the true mean in
// each of the seeded runs, and within 5% on average.
func TestEstimateAccuracy(t *testing.T) {
	const entries, runs = 6, 300
	for _, runners := range []int{9, 12, 100} {
		random := rand.New(rand.NewPCG(1, uint64(runners)))
		worst, sum := 0.0, 0.0
		for range runs {
			e := NewMeanEstimator(DefaultEstimatorConfig())
			loads, total := make([]uint32, runners), 0.0
			for i := range loads {
				loads[i] = 600 + random.Uint32N(650)
				total += float64(loads[i])
			}
			for entry := range entries {
				tab := NewTable("a", DefaultConfig())
				for _, i := range random.Perm(runners)[:(runners+1)/2] {
					tab.Report(start, runner(i, "a"), report(loads[i]))
				}
				for ms := range 5 {
					now := start.Add(time.Duration(ms) * 200 * time.Millisecond)
					if hint := tab.Hint(now, runner(0, "a")); hint > 0 && (random.IntN(2) == 0 || ms == 0 && entry < 3) {
						e.AddHint(now, fmt.Sprint("entry", entry), hint)
					}
				}
			}
			got, found := e.Mean(start.Add(time.Second))
			must.True(t, found)
			off := math.Abs(float64(got)*float64(runners)/total - 1)
			worst, sum = max(worst, off), sum+off
		}
		t.Logf("%d runners: off by %.1f%% on average, %.1f%% at worst", runners, 100*sum/runs, 100*worst)
		must.LessEq(t, 0.15, worst)
		must.LessEq(t, 0.05, sum/runs)
	}
}

// A minority of senders with incorrect hints must not change the estimate by sending often.
func TestEstimateIgnoresMinority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultEstimatorConfig()
		e := NewMeanEstimator(cfg)
		senders := rapid.IntRange(3, cfg.MaxSenders).Draw(t, "senders")
		wrong := rapid.IntRange(0, (senders-1)/2).Draw(t, "wrong")
		for range rapid.IntRange(1, 50).Draw(t, "spam") {
			for i := range wrong {
				e.AddHint(start, fmt.Sprint(i), rapid.Uint32().Draw(t, "wrong hint"))
			}
		}
		for i := wrong; i < senders; i++ {
			e.AddHint(start, fmt.Sprint(i), rapid.Uint32Range(900, 1100).Draw(t, "hint"))
		}
		got, found := e.Mean(start)
		must.True(t, found)
		must.Between(t, 900, got, 1100)
	})
}

// Old hints must not outweigh recent ones, and expired hints must not be used.
func TestEstimateFollowsRecentHints(t *testing.T) {
	cfg := DefaultEstimatorConfig()
	e := NewMeanEstimator(cfg)
	_, found := e.Mean(start)
	must.False(t, found)
	e.AddHint(start, "a", 0)
	for i := range 20 {
		e.AddHint(start, fmt.Sprint("old", i), 100)
	}
	now := start.Add(cfg.Window + 500*time.Millisecond)
	for i, want := range []uint32{100, 100, 900} {
		e.AddHint(now, fmt.Sprint("new", i), 900)
		got, _ := e.Mean(now)
		must.Eq(t, want, got)
	}
	got, _ := e.Mean(start.Add(3*time.Second + 1))
	must.Eq(t, 900, got)
	_, found = e.Mean(now.Add(3*time.Second + 1))
	must.False(t, found)
	must.Zero(t, testing.AllocsPerRun(100, func() {
		e.AddHint(now, "new", 5)
		e.Mean(now)
	}))
}

// Validate must reject each invalid field and name it.
func TestValidateNamesFields(t *testing.T) {
	must.NoError(t, DefaultConfig().Validate())
	must.NoError(t, DefaultEstimatorConfig().Validate())
	bad := Config{ReportDecay: -1, HintChange: -1, HintMaxAge: -1, HintBytesPerSecond: -1, HintBurstBytes: -1, ChangeBytesPerSecond: -1, ChangeBurstBytes: -1}.Validate()
	for _, field := range []string{"ReportMaxAge", "ReportDecay", "SummaryMaxAge", "HintChange", "HintMaxAge", "HintBytes:", "HintBytesPerSecond", "HintBurstBytes", "ChangeBytesPerSecond", "ChangeBurstBytes"} {
		must.ErrorContains(t, bad, field)
	}
	bad = EstimatorConfig{Window: -1, MaxAge: -2, MinHints: -1}.Validate()
	for _, field := range []string{"Window", "MaxAge", "MinHints", "MaxSenders"} {
		must.ErrorContains(t, bad, field)
	}
}

// A digest must keep to its limit and contain the summary of the entry's own data centre; over time every data centre must be included.
func TestDigestRotates(t *testing.T) {
	tab := NewTable("dc-0", DefaultConfig())
	tab.Report(start, runner(1, "dc-0"), report(100))
	for i := range 23 {
		tab.MergeSummaries(start, []wire.LoadSummary{{DataCentre: fmt.Sprint("dc-", i), Service: "model", WorkUnits: 1, Upstreams: 1}})
	}
	seen := map[string]int{}
	for range 8 {
		digest := tab.Digest(start, 4)
		must.Eq(t, 4, len(digest))
		for _, s := range digest {
			seen[s.DataCentre]++
		}
	}
	must.Eq(t, 23, len(seen))
	must.Eq(t, 8, seen["dc-0"])
	must.Eq(t, 23, len(tab.Digest(start, 99)))
	must.SliceEmpty(t, tab.Digest(start, 0))
}
