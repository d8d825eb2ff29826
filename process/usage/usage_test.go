package usage

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var testConfig = DefaultConfig(5*time.Second, 10*time.Second)

// window0 is the window in which the tests begin.
const window0 = 353445120

// at returns a time in seconds after the beginning of window0.
func at(seconds float64) time.Time {
	return testConfig.End(window0 - 1).Add(time.Duration(seconds * float64(time.Second)))
}

func TestConfig_Windows(t *testing.T) {
	must.NoError(t, testConfig.Validate())
	must.EqOp(t, int64(window0)*5, at(0).Unix())
	must.EqOp(t, window0, testConfig.WindowAt(at(0)))
	must.EqOp(t, window0, testConfig.WindowAt(at(4.999)))
	must.EqOp(t, window0+1, testConfig.WindowAt(at(5)))
	must.EqOp(t, -1, testConfig.WindowAt(time.Unix(-5, 0)))
	must.EqOp(t, -2, testConfig.WindowAt(time.Unix(-6, 0)))
	must.False(t, testConfig.IsDue(at(14.999), window0))
	must.True(t, testConfig.IsDue(at(15), window0))
	must.EqOp(t, window0+1, testConfig.oldest(at(15)))
	must.EqOp(t, window0, testConfig.oldest(at(14.999)))
}

// A jump of the time of day that is undone must shift the counts by much less, and a lasting one must be followed.
func TestClock_SmoothsJumps(t *testing.T) {
	var c Clock
	boot := time.Unix(1000, 0)
	jumps := 0
	run := func(seconds int, offset time.Duration) (worst time.Duration) {
		for range seconds * 10 {
			boot = boot.Add(100 * time.Millisecond)
			now, jumped := c.Now(boot, at(0).Add(boot.Sub(time.Unix(1000, 0))).Add(offset))
			if jumped != 0 {
				jumps++
			}
			worst = max(worst, now.Sub(at(0).Add(boot.Sub(time.Unix(1000, 0)))).Abs())
		}
		return worst
	}
	must.EqOp(t, 0, run(10, 0))
	must.LessEq(t, 260*time.Millisecond, run(5, time.Second))
	run(10, 0)
	must.EqOp(t, 0, run(1, 0))
	must.EqOp(t, 1, jumps) // there and back
	run(25, -time.Second)
	must.EqOp(t, time.Second, run(1, -time.Second))
}

// A request must be counted once, in the window in which it was sent, and not at all if it did not run. The counts of a window must be final only
// when all its requests are decided.
func TestCounter(t *testing.T) {
	c := NewCounter(testConfig, "one", "o", at(0))
	must.Eq(t, []int64{window0 - 2, window0 - 1}, c.Ended(at(0)))
	must.True(t, c.Report(at(0), window0-1).Final)
	c.Count(at(1), "a")
	ran, not := c.Begin(at(4.9), "a"), c.Begin(at(4.9), "b")
	must.False(t, c.ShouldSend(at(5), window0))
	must.False(t, c.Report(at(5), window0).Final)
	must.True(t, c.ShouldSend(at(8), window0))
	c.Settle(ran, true)
	c.Settle(not, false)
	c.Settle(Ticket{}, false)
	must.True(t, c.ShouldSend(at(5), window0))
	r := c.Report(at(5.1), window0)
	must.True(t, r.Final)
	must.Eq(t, map[string]uint64{"a": 2, "b": 0}, r.Counts)
	_, changed := c.Changes(window0)
	must.False(t, changed)
	c.Count(at(4.99), "c")
	r, changed = c.Changes(window0)
	must.True(t, changed)
	must.Eq(t, map[string]uint64{"c": 1}, r.Counts)
	late := c.Begin(at(4), "a")
	c.Recorded(window0)
	c.Settle(late, false)
	c.Count(at(3), "a")
	must.SliceEmpty(t, c.Open())
	c.Count(at(6), "a")
	must.EqOp(t, 0, c.Expire(at(19)))
	must.EqOp(t, 1, c.Expire(at(20)))
}

// Messages that are lost, duplicated, delayed, or that come from a restarted gateway must add up to each request once.
func TestLedger_RandomMessages(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0))
		l := NewLedger(testConfig)
		want := make(map[string]uint64)
		var delayed []Report
		for gateway := range 5 {
			for start := range 1 + random.IntN(2) {
				c := NewCounter(testConfig, fmt.Sprint("g", gateway), fmt.Sprint("o", gateway, start), at(0))
				for range random.IntN(40) {
					team := fmt.Sprint("t", random.IntN(4))
					c.Count(at(random.Float64()*5), team)
					want[team]++
					if r, found := c.Changes(window0); found && random.IntN(3) > 0 {
						delayed = append(delayed, r)
						l.Add(at(5), r)
					}
				}
				last := c.Report(at(5), window0)
				l.Add(at(5), last)
				delayed = append(delayed, last)
			}
		}
		for _, i := range random.Perm(len(delayed)) {
			l.Add(at(6), delayed[i])
		}
		must.Eq(t, want, l.Totals(window0))
	}
}

// A window must not be complete before the final counts of all registered gateways and of all that have sent any are known. Reports for windows that
// are recorded, overdue or in the future must be ignored.
func TestLedger_Complete(t *testing.T) {
	l := NewLedger(testConfig)
	must.True(t, l.Add(at(5), Report{Gateway: "one", Origin: "1", Window: window0, Sequence: 2, Final: true}))
	must.True(t, l.Complete(at(5.5), window0, []string{"one"}))
	must.False(t, l.Complete(at(5.5), window0, []string{"one", "two"}))
	must.True(t, l.Add(at(5), Report{Gateway: "three", Origin: "3", Window: window0, Sequence: 1, Partial: true, Counts: map[string]uint64{"a": 1}}))
	must.False(t, l.Complete(at(5.5), window0, []string{"one"}))
	must.Eq(t, []string{"three", "two"}, l.Missing(at(5.5), window0, []string{"one", "two"}))
	// A process that is silent is not waited for if its gateway is not registered any more or has restarted.
	must.False(t, l.Complete(at(6.9), window0, []string{"one"}))
	must.True(t, l.Complete(at(7), window0, []string{"one"}))
	must.False(t, l.Complete(at(7), window0, []string{"one", "three"}))
	must.True(t, l.Add(at(7), Report{Gateway: "three", Origin: "restarted", Window: window0, Final: true}))
	must.True(t, l.Complete(at(7), window0, []string{"one", "three"}))
	must.False(t, l.Add(at(5), Report{Gateway: "one", Origin: "1", Window: window0, Sequence: 1, Final: true}))
	must.False(t, l.Add(at(5), Report{Gateway: "one", Origin: "1", Window: window0 + 9, Sequence: 1}))
	must.False(t, l.Add(at(16), Report{Gateway: "one", Origin: "1", Window: window0, Sequence: 9}))
	l.Recorded(window0)
	must.False(t, l.Add(at(5), Report{Gateway: "one", Origin: "1", Window: window0, Sequence: 9}))
	must.MapEmpty(t, l.Totals(window0))
}

// addFinal adds the final counts of one gateway for a window.
func addFinal(l *Ledger, window int64, n uint64) {
	l.Add(testConfig.End(window), Report{Gateway: "one", Origin: "1", Window: window, Sequence: n, Final: true, Counts: map[string]uint64{"a": n}})
}

// The holder must close a window when it is complete or at the closing time, report only recorded windows, repeat them until they are accepted or
// overdue, and never close one again.
func TestReporter(t *testing.T) {
	l, r := NewLedger(testConfig), NewReporter(testConfig)
	members := []string{"one", "two"}
	addFinal(l, window0, 7)
	r.TakeOver(TakeOver{Now: at(5), Since: at(2), Token: 1, Epoch: 1}, l)
	_, found, _ := r.Close(at(10.9), 1, l, members)
	must.False(t, found)
	record, found, _ := r.Close(at(11), 1, l, members)
	must.True(t, found)
	must.Eq(t, Record{window0, 1, []Closed{{window0, map[string]uint64{"a": 7}}}}, record)
	_, found = r.Next(at(11))
	must.False(t, found) // it is not recorded yet
	r.Recorded(record)
	addFinal(l, window0, 8)
	c, found := r.Next(at(11))
	must.True(t, found)
	must.Eq(t, Closed{window0, map[string]uint64{"a": 7}}, c)
	_, found, _ = r.Close(at(11), 1, l, members)
	must.False(t, found)
	addFinal(l, window0+1, 9)
	record, found, _ = r.Close(at(10), 1, l, []string{"one"})
	must.True(t, found)
	must.SliceLen(t, 2, record.Closed)
	r.Recorded(record)
	r.Accepted(window0)
	c, _ = r.Next(at(11))
	must.EqOp(t, window0+1, c.Window)
	_, found = r.Next(at(20))
	must.False(t, found)
	must.Eq(t, []int64{window0 + 1}, r.Unreported(at(20)))
	must.SliceEmpty(t, r.Unreported(at(20)))
	_, _, missed := r.Close(at(40), 1, l, []string{"one"})
	must.EqOp(t, 4, missed) // windows 2 to 5 after window0 are overdue
}

// A new holder must repeat the recorded counts unchanged, go on after the recorded window, and skip what may have been reported if the store was
// restored from an older copy. Guards against two different reports for one window.
func TestReporter_TakeOver(t *testing.T) {
	const epoch1, epoch2 = uint64(1) << 40, uint64(2) << 40
	stored := &Record{window0, epoch1 + 5, []Closed{{window0, map[string]uint64{"a": 7}}}}
	for name, test := range map[string]struct {
		t TakeOver
		// from and to are the skipped windows, next the first one that may be closed, repeats whether window0 is repeated.
		from, to, next int64
		repeats        bool
	}{
		"first holder":             {TakeOver{Epoch: 1}, 0, -1, window0, false},
		"record of the same epoch": {TakeOver{Epoch: 1, Stored: stored, StoredEpoch: 1}, 0, -1, window0 + 1, true},
		"older copy":               {TakeOver{Epoch: 2, Stored: stored, StoredEpoch: 1}, window0, window0 + 1, window0 + 2, false},
		"copy without a record":    {TakeOver{Epoch: 2}, window0, window0 + 1, window0 + 2, false},
		"record lost":              {TakeOver{Epoch: 1, Seen: true}, window0, window0 + 1, window0 + 2, false},
	} {
		l, r := NewLedger(testConfig), NewReporter(testConfig)
		for w := int64(window0); w < window0+4; w++ {
			addFinal(l, w, 3)
		}
		test.t.Now, test.t.Since, test.t.Token = at(12.5), at(9.5), test.t.Epoch<<40+9
		from, to := r.TakeOver(test.t, l)
		if test.from > 0 {
			must.Eq(t, [2]int64{test.from, test.to}, [2]int64{from, to}, must.Sprint(name))
		} else {
			must.Greater(t, to, from, must.Sprint(name))
		}
		_, repeats := r.Next(at(12.5))
		must.EqOp(t, test.repeats, repeats, must.Sprint(name))
		record, found, _ := r.Close(at(24), test.t.Token, l, []string{"one"})
		must.True(t, found)
		must.EqOp(t, max(test.next, window0+2), record.Closed[0].Window, must.Sprint(name)) // window0 and the next are overdue
	}
	// The former holder, which lost its lease by the restore, goes on.
	l, r := NewLedger(testConfig), NewReporter(testConfig)
	r.TakeOver(TakeOver{Now: at(5), Since: at(2), Token: epoch1 + 5, Epoch: 1}, l)
	r.Recorded(Record{window0 + 1, epoch1 + 5, []Closed{{window0 + 1, map[string]uint64{"a": 4}}}})
	r.Lose()
	addFinal(l, window0+2, 6)
	r.TakeOver(TakeOver{Now: at(12.5), Since: at(9.5), Token: epoch2 + 1, Epoch: 2, Stored: stored, StoredEpoch: 1, Continuous: true}, l)
	c, found := r.Next(at(12.5))
	must.True(t, found)
	must.Eq(t, Closed{window0 + 1, map[string]uint64{"a": 4}}, c)
	record, found, _ := r.Close(at(15), epoch2+1, l, []string{"one"})
	must.True(t, found)
	must.EqOp(t, window0+2, record.Window)
	must.SliceLen(t, 2, record.Closed)
}

func TestRecord_Encoding(t *testing.T) {
	r := Record{window0, 1 << 41, []Closed{{window0, map[string]uint64{"a": 7}}}}
	data, err := r.Encode()
	must.NoError(t, err)
	decoded, err := DecodeRecord(data)
	must.NoError(t, err)
	must.True(t, r.Equal(decoded))
	other := Record{window0, 1 << 41, []Closed{{window0, maps.Clone(r.Closed[0].Counts)}}}
	other.Closed[0].Counts["a"]++
	must.False(t, r.Equal(other))
	_, err = DecodeRecord([]byte("["))
	must.Error(t, err)
}
