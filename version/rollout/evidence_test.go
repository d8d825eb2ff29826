package rollout

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

var anyCell = rapid.Custom(func(t *rapid.T) Cell {
	return Cell{
		Key: Key{
			DataCentre: rapid.SampledFrom(simDataCentres).Draw(t, "centre"),
			Route:      rapid.SampledFrom(simRoutes).Draw(t, "route"),
			Window:     rapid.Int64Range(1, 3).Draw(t, "window"),
			Step:       rapid.Uint8Range(0, 2).Draw(t, "step"),
		},
		Old: Counts{OK: rapid.Uint32Range(0, 9).Draw(t, "old"), Slow: 1},
		New: Counts{Failed: rapid.Uint32Range(0, 9).Draw(t, "new"), Unmeasured: rapid.Uint32Range(0, 9).Draw(t, "unmeasured")},
	}
})

func evidenceOf(cells []Cell) (e Evidence) {
	for _, c := range cells {
		e.AddCell(c)
	}
	return e
}

// Counts must not depend on the merge order or change when they are encoded and decoded.
func TestEvidenceMergesAndEncodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := evidenceOf(rapid.SliceOf(anyCell).Draw(t, "a"))
		b := evidenceOf(rapid.SliceOf(anyCell).Draw(t, "b"))
		ab, ba := evidenceOf(a.Cells()), evidenceOf(b.Cells())
		ab.Merge(b)
		ba.Merge(a)
		must.Eq(t, ab.Cells(), ba.Cells())
		data, err := ab.Encode()
		must.NoError(t, err)
		decoded, err := DecodeEvidence(data)
		must.NoError(t, err)
		measured := ab.Cells()
		for i := range measured {
			measured[i].Old.Unmeasured, measured[i].New.Unmeasured = 0, 0
		}
		must.Eq(t, measured, decoded.Cells())
		data, err = ab.EncodeColumns()
		must.NoError(t, err)
		decoded, err = DecodeColumns(data)
		must.NoError(t, err)
		must.Eq(t, ab.Cells(), decoded.Cells())
	})
}

// A report of one window must fit the control traffic budget of a node, 2 KB/s, even if it is sent once per second. It has 10
// routes and 3 data centres, the maximum number that a chat's candidates span.
func TestReportFitsControlBudget(t *testing.T) {
	var e Evidence
	for route := range 10 {
		for _, dc := range simDataCentres {
			key := Key{DataCentre: dc, Route: fmt.Sprintf("/chat/route-%d", route), Window: 358_000_000, Step: 1}
			e.AddCell(Cell{Key: key, Old: Counts{OK: 900, Failed: 3, Slow: 50}, New: Counts{OK: 50, Failed: 1, Slow: 3}})
		}
	}
	data, err := e.Encode()
	must.NoError(t, err)
	t.Logf("%d bytes for %d cells", len(data), e.Len())
	must.Less(t, 2048, len(data))
}

// Each request must be counted exactly once although reports are repeated and reordered, and not after its window has closed.
func TestAggregatorCountsEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := simConfig()
		now := simStart
		a := NewAggregator(config, now)
		window := config.WindowOf(now)
		want := uint32(0)
		for source := range rapid.IntRange(1, 5).Draw(t, "sources") {
			total := uint32(0)
			var reports []Evidence
			for range rapid.IntRange(1, 4).Draw(t, "reports") {
				total += rapid.Uint32Range(0, 9).Draw(t, "more")
				var e Evidence
				e.Add(Key{DataCentre: "suva", Route: "/bookings", Window: window}, New, Failed, total)
				reports = append(reports, e)
			}
			want += total
			reports = append(reports, rapid.Permutation(reports).Draw(t, "order")...)
			for _, r := range reports {
				must.NoError(t, a.Add(now, fmt.Sprint(source), r))
			}
		}
		must.SliceEmpty(t, a.CloseWindows(now.Add(config.Window)))
		cells := a.CloseWindows(now.Add(config.Window + config.Lag))
		got := uint32(0)
		for _, c := range cells {
			got += c.New.Failed
		}
		must.Eq(t, want, got)
		must.NoError(t, a.Add(now.Add(config.Window+config.Lag), "0", evidenceOf([]Cell{{Key: Key{Window: window}}})))
		must.SliceEmpty(t, a.CloseWindows(now.Add(time.Hour)))
		must.Eq(t, 1, a.Late)
	})
}

// An aggregator must limit the number of sources that it accepts evidence from.
func TestAggregatorLimitsItsSources(t *testing.T) {
	a := NewAggregator(simConfig(), simStart)
	for source := range MaxSources {
		must.NoError(t, a.Add(simStart, fmt.Sprint(source), Evidence{}))
	}
	must.True(t, errors.Is(a.Add(simStart, "one more", Evidence{}), ErrTooManySources))
	a.CloseWindows(simStart.Add(time.Minute))
	must.NoError(t, a.Add(simStart.Add(time.Minute), "one more", Evidence{}))
}

// The latency threshold must follow the old version's latency and must not depend on the new version's.
func TestRecorderClassifiesSlowRequestsByOldVersion(t *testing.T) {
	config := simConfig()
	r := NewRecorder(config)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 40_000 {
		side := Side(i % 2)
		mean := 300 * (1 + 0.5*float64(side))
		latency := time.Duration(mean * math.Exp(0.4*random.NormFloat64()) * float64(time.Millisecond))
		r.Record(simStart, Observation{Side: side, Route: "/bookings", DataCentre: "suva", Latency: latency})
	}
	cells := r.Report(simStart).Cells()
	must.Eq(t, 1, len(cells))
	must.Between(t, 700, cells[0].Old.Slow, 1300)
	must.Between(t, 3500, cells[0].New.Slow, 7000)
	must.Eq(t, 0, r.Report(simStart.Add(time.Hour)).Len())
}

// observeOld records latencies of the old version, enough for a limit of about 100 ms and of about 20 ms between events.
func observeOld(r *Recorder, n int) {
	for i := range n {
		o := Observation{Route: "/chat", DataCentre: "suva", Latency: time.Duration(50+5*(i%10)) * time.Millisecond}
		o.EventInterval = o.Latency / 5
		r.Record(simStart, o)
	}
}

// A success must not count as evidence of a fast version while there is no limit to compare it with, or while its upstream starts up.
func TestRecorder_SuccessWithoutLimitIsUnmeasured(t *testing.T) {
	r := NewRecorder(simConfig())
	observeOld(r, minLimitSamples)
	fast := Observation{Side: New, Route: "/chat", DataCentre: "suva", Latency: time.Millisecond}
	for _, change := range []func(o *Observation){
		func(o *Observation) { o.Route = "/other" },
		func(o *Observation) { o.PromptTokens = 9000 },
		func(o *Observation) { o.Warming = true },
		func(o *Observation) { o.Latency = 0 },
	} {
		o := fast
		change(&o)
		r.Record(simStart, o)
	}
	r.Record(simStart, fast)
	var sum Counts
	for _, c := range r.Report(simStart).Cells() {
		sum = sum.plus(c.New)
	}
	must.Eq(t, Counts{OK: 1, Unmeasured: 4}, sum)
}

// A stream must count as slow for its first event, for the time between events, and for the time that a caller waited before it left.
func TestRecorder_SlowStreams(t *testing.T) {
	r := NewRecorder(simConfig())
	observeOld(r, minLimitSamples)
	stream := Observation{Side: New, Route: "/chat", DataCentre: "suva", Latency: 60 * time.Millisecond, EventInterval: 12 * time.Millisecond}
	for _, change := range []func(o *Observation){
		func(*Observation) {},
		func(o *Observation) { o.Latency *= 4 },
		func(o *Observation) { o.EventInterval *= 4 },
		func(o *Observation) { o.Abandoned, o.Latency, o.EventInterval = true, 4*o.Latency, 0 },
		func(o *Observation) { o.Abandoned = true },
	} {
		o := stream
		change(&o)
		r.Record(simStart, o)
	}
	cells := r.Report(simStart).Cells()
	must.Len(t, 1, cells)
	must.Eq(t, Counts{OK: 1, Slow: 3}, cells[0].New)
}

// Counts must survive an exchange with builds that have no unmeasured outcome.
func TestEvidence_EarlierBuilds(t *testing.T) {
	e := evidenceOf([]Cell{{Key: Key{DataCentre: "suva", Route: "/a", Window: 7}, Old: Counts{OK: 5, Slow: 1}, New: Counts{OK: 2, Failed: 3}}})
	with := evidenceOf(e.Cells())
	with.Add(e.Cells()[0].Key, New, Unmeasured, 9)
	columns := with.columns()
	must.Eq(t, e.columns(), columns[:len(columns)-2]) // one cell has one byte in each of the two last columns
	for _, want := range []Evidence{e, with} {
		got, err := readColumns(bufio.NewReader(bytes.NewReader(want.columns())))
		must.NoError(t, err)
		must.Eq(t, want.Cells(), got.Cells())
	}

	type earlierCounts struct{ OK, Failed, Slow uint32 }
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	must.NoError(t, enc.Encode(Counts{1, 2, 3, 4}))
	var old earlierCounts
	must.NoError(t, msgpack.Unmarshal(buf.Bytes(), &old))
	must.Eq(t, earlierCounts{1, 2, 3}, old)
}

// logMean must equal the mean computed by direct summation if the versions are equal, or exceed it where it uses the binomial
// distribution as an upper bound.
func TestLogMean(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := float64(rapid.IntRange(2, 500).Draw(t, "all"))
		bad := float64(rapid.IntRange(0, int(all)).Draw(t, "bad"))
		n := float64(rapid.IntRange(1, int(all)-1).Draw(t, "n"))
		odds := rapid.SampledFrom([]float64{2, 4, 16, 64}).Draw(t, "odds")
		var terms []float64
		for x := max(0, n-(all-bad)); x <= min(bad, n); x++ {
			terms = append(terms, logChoose(bad, x)+logChoose(all-bad, n-x)-logChoose(all, n)+x*math.Log(odds))
		}
		largest, sum := slices.Max(terms), 0.0
		for _, term := range terms {
			sum += math.Exp(term - largest)
		}
		want := largest + math.Log(sum)
		got := logMean(all, bad, n, odds)
		must.True(t, got >= want-1e-6, must.Sprintf("got %v, want at least %v", got, want))
		if bad > maxBinomialRate*all {
			must.InDelta(t, want, got, 1e-6)
		}
	})
}

// Validate must reject each invalid field and name it in the error.
func TestConfigValidate(t *testing.T) {
	must.NoError(t, DefaultConfig().Validate())
	must.ErrorContains(t, Config{}.Validate(), "Window")
	c := DefaultConfig()
	c.OddsRatios = []float64{2, 1}
	must.ErrorContains(t, c.Validate(), "OddsRatios")
	must.NoError(t, simShift().Validate())
	must.ErrorContains(t, Shift{ID: "s1", Service: "press-model", From: "v1", To: "v1"}.Validate(), "To")
}
