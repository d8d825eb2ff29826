package candidate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// newUpstreams returns n upstreams spread evenly over the data centres.
func newUpstreams(n, dataCentres int) []Upstream {
	ups := make([]Upstream, n)
	for i := range ups {
		ups[i] = Upstream{ID: fmt.Sprintf("r%d", i), DataCentre: fmt.Sprintf("dc%d", i%dataCentres), Service: "model", Version: "v1"}
	}
	return ups
}

// without returns ups except the one at index i.
func without(ups []Upstream, i int) []Upstream {
	return append(append([]Upstream(nil), ups[:i]...), ups[i+1:]...)
}

// first returns the preferred candidate of a chat.
func (v *View) first(chat uint64) Candidate {
	var buf [1]Candidate
	return v.Candidates("model", "v1", nil, chat, buf[:0])[0]
}

// movedShare returns the fraction of all chats whose first candidate differs between two views with equal data-centre weights.
func movedShare(t *testing.T, a, b *View) float64 {
	key := serviceVersionKey{"model", "v1"}
	moved, total := 0.0, 0.0
	for i, from := range a.versions[key].dataCentres {
		to := b.versions[key].dataCentres[i]
		must.Eq(t, from.weight, to.weight)
		total += from.weight
		for slot := 0; from.table != to.table && slot < SlotCount; slot++ {
			if from.table.members[from.table.slot(slot)[0]].id != to.table.members[to.table.slot(slot)[0]].id {
				moved += from.weight / SlotCount
			}
		}
	}
	return moved / total
}

// A leave or join must move only chats of the upstream that leaves or joins: neither the slot tables nor a changed data-centre
// weight may move chats of other upstreams.
func TestLeaveAndJoinMoveOnlyOneShare(t *testing.T) {
	for _, size := range []struct{ upstreams, dataCentres int }{{12, 3}, {9, 3}, {435, 1}, {435, 3}} {
		random := rand.New(rand.NewPCG(1, uint64(size.upstreams)))
		ups := newUpstreams(size.upstreams, size.dataCentres)
		full := Build(nil, ups, DefaultConfig())
		rounds := min(size.upstreams, 30)
		left, joined := 0.0, 0.0
		for _, i := range random.Perm(size.upstreams)[:rounds] {
			extra := Upstream{ID: fmt.Sprintf("new%d", i), DataCentre: ups[i].DataCentre, Service: "model", Version: "v1"}
			fewer := Build(full, without(ups, i), DefaultConfig())
			more := Build(full, append(ups[:len(ups):len(ups)], extra), DefaultConfig())
			again := Build(fewer, ups, DefaultConfig())
			left += movedShare(t, full, fewer) / float64(rounds)
			joined += movedShare(t, full, more) / float64(rounds)
			must.Zero(t, movedShare(t, full, again))
			for range 1000 {
				chat := random.Uint64()
				before, afterLeave, afterJoin := full.first(chat), fewer.first(chat), more.first(chat)
				must.True(t, before == afterLeave || before.ID == ups[i].ID && before.DataCentre == afterLeave.DataCentre)
				must.True(t, before == afterJoin || afterJoin.ID == extra.ID && before.DataCentre == afterJoin.DataCentre)
			}
		}
		n := float64(size.upstreams)
		t.Logf("%d upstreams, %d data centres: a leave moves %.3f/n, a join %.3f/n of the chats", size.upstreams, size.dataCentres, left*n, joined*n)
		must.LessEq(t, 1.05/n, left)
		must.LessEq(t, 1.05/n, joined)
	}
}

// An incremental update must equal a full build, because otherwise two entries would disagree permanently. Unchanged tables must
// be shared.
func TestUpdateEqualsBuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.SampledFrom([]float64{-1, 1, 1, 1, 1, 1, 1, 1, 2.5}), 24, 24)
		const slots = 512
		var last *table
		for range 4 {
			var members []member
			for i, w := range weights.Draw(t, "weights") {
				if w > 0 {
					members = append(members, member{id: fmt.Sprintf("r%02d", i), hash: uint64(i) * 7919, weight: w})
				}
			}
			scratch := buildTable("dc", members, slots)
			last = updateTable(last, "dc", members, slots)
			must.True(t, last == updateTable(last, "dc", slices.Clone(members), slots))
			must.True(t, slices.Equal(scratch.members, last.members) && slices.Equal(scratch.slots, last.slots))
		}
	})
}

// Shares of chats must be proportional to upstream weights and data-centre sizes.
func TestSharesFollowWeights(t *testing.T) {
	ups := append(newUpstreams(8, 1), newUpstreams(96, 4)[:72]...)
	ups[0].Weight = 3
	for i := range ups[8:] {
		ups[8+i].ID, ups[8+i].DataCentre = fmt.Sprint("big", i/3), "large"
	}
	v := Build(nil, ups, DefaultConfig())
	random := rand.New(rand.NewPCG(2, 2))
	heavy, small := 0.0, 0.0
	for range 200_000 {
		c := v.first(random.Uint64())
		if c.DataCentre == "dc0" {
			small++
		}
		if c.ID == "r0" {
			heavy++
		}
	}
	must.InDelta(t, weightLevelOf(8, v.cfg).weight()/(weightLevelOf(8, v.cfg).weight()+weightLevelOf(24, v.cfg).weight()), small/200_000, 0.01)
	must.InDelta(t, 3.0/(3+7), heavy/small, 0.02)
}

// Lists must be in the right order, contain only allowed data centres, stay within the capacity of dst, and continue after a small
// data centre.
func TestCandidateOrder(t *testing.T) {
	v := Build(nil, append(newUpstreams(30, 3), Upstream{ID: "lone", DataCentre: "dc9", Service: "model", Version: "v1"}), DefaultConfig())
	for chat := range uint64(2000) {
		list := v.Candidates("model", "v1", nil, chat, make([]Candidate, 0, 16))
		dataCentres, seen := []string{}, map[Candidate]bool{}
		for _, c := range list {
			dataCentres, seen[c] = append(dataCentres, c.DataCentre), true
		}
		must.Eq(t, len(list), len(seen))
		for i, name := range slices.Compact(slices.Clone(dataCentres)) {
			want := []int{4, 2, 2, 2}[i]
			if name == "dc9" {
				want = 1
			}
			must.SliceLen(t, want, slices.DeleteFunc(slices.Clone(dataCentres), func(s string) bool { return s != name }))
		}
		allowed := v.Candidates("model", "v1", NewDataCentreSet("dc1", "dc9"), chat, make([]Candidate, 0, 16))
		must.False(t, slices.ContainsFunc(allowed, func(c Candidate) bool { return c.DataCentre != "dc1" && c.DataCentre != "dc9" }))
		must.Eq(t, list[:3], v.Candidates("model", "v1", nil, chat, make([]Candidate, 0, 3)))
	}
	must.SliceEmpty(t, v.Candidates("model", "v2", nil, 1, make([]Candidate, 0, 4)))
	must.SliceEmpty(t, v.Candidates("model", "v1", NewDataCentreSet("elsewhere"), 1, make([]Candidate, 0, 4)))
	must.SliceEmpty(t, (*View)(nil).Candidates("model", "v1", nil, 1, make([]Candidate, 0, 4)))
}

// The weight of a data centre whose count is within its level must not change when a single upstream leaves and returns. It must
// change when two thirds of the upstreams leave.
func TestWeightLevelHysteresis(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		n := rapid.IntRange(2, 5000).Draw(t, "upstreams")
		l := weightLevelOf(n, cfg)
		must.True(t, l.low <= n && n < l.low+l.width)
		must.LessEq(t, max(1, 0.06*float64(n)), math.Abs(l.weight()-float64(n)))
		held := nextWeightLevel(l, n-1, cfg)
		must.Eq(t, l, held)
		must.Eq(t, l, nextWeightLevel(held, n, cfg))
		if n >= 6 {
			must.Eq(t, weightLevelOf(n/3, cfg), nextWeightLevel(l, n/3, cfg))
		}
	})
}

// A cohort must keep its chats when its share grows, and its size must match its share.
func TestCohort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chat, salt := rapid.Uint64().Draw(t, "chat"), rapid.Uint64().Draw(t, "salt")
		a, b := rapid.Float64Range(0, 1).Draw(t, "a"), rapid.Float64Range(0, 1).Draw(t, "b")
		must.True(t, !InCohort(chat, salt, min(a, b)) || InCohort(chat, salt, max(a, b)))
		must.True(t, InCohort(chat, salt, 1) && !InCohort(chat, salt, 0) && !InCohort(chat, salt, math.NaN()))
	})
	in, both := 0.0, 0.0
	for chat := range uint64(200_000) {
		if InCohort(chat, 1, 0.05) {
			in++
			if InCohort(chat, 2, 0.05) {
				both++
			}
		}
	}
	must.InDelta(t, 0.05, in/200_000, 0.002)
	must.InDelta(t, 0.05, both/in, 0.01)
}

// Validate must reject every invalid field and name it.
func TestValidateNamesFields(t *testing.T) {
	must.NoError(t, DefaultConfig().Validate())
	bad := Config{FirstDataCentreCandidates: SlotDepth + 1, OtherDataCentreCandidates: -1, WeightStep: math.NaN()}.Validate()
	for _, field := range []string{"FirstDataCentreCandidates:", "OtherDataCentreCandidates:", "WeightStep:", "WeightMinStep:"} {
		must.ErrorContains(t, bad, field)
	}
}

// A decision must not allocate, and a small change must not trigger a full build. The work of a decision must not grow with the
// number of upstreams: ten times as many must not change the number of costs computed (one per data centre) or the table size.
func TestDecisionCost(t *testing.T) {
	small, large := build(nil, newUpstreams(1000, 23), DefaultConfig(), 512), build(nil, newUpstreams(10_000, 23), DefaultConfig(), 512)
	allowed := NewDataCentreSet("dc1", "dc2", "dc3")
	buf, chat := make([]Candidate, 0, 8), uint64(0)
	must.Zero(t, testing.AllocsPerRun(1000, func() {
		chat++
		large.Candidates("model", "v1", nil, chat, buf)
		large.Candidates("model", "v1", allowed, chat, buf)
	}))
	must.True(t, memberDiff{removed: 1, added: []uint16{1}}.cheaperThanBuild(435))
	key := serviceVersionKey{"model", "v1"}
	must.Eq(t, len(small.versions[key].dataCentres), len(large.versions[key].dataCentres))
	must.Eq(t, len(small.versions[key].dataCentres[0].table.slots), len(large.versions[key].dataCentres[0].table.slots))
}

func BenchmarkCandidates(b *testing.B) {
	for _, n := range []int{1000, 10_000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			v := Build(nil, newUpstreams(n, 23), DefaultConfig())
			buf := make([]Candidate, 0, 8)
			random := rand.New(rand.NewPCG(3, 3))
			b.ReportAllocs()
			for b.Loop() {
				v.Candidates("model", "v1", nil, random.Uint64(), buf)
			}
		})
	}
}

func BenchmarkBuild(b *testing.B) {
	for _, size := range [][2]int{{435, 1}, {10_000, 23}} {
		ups := newUpstreams(size[0], size[1])
		full := Build(nil, ups, DefaultConfig())
		for name, prev := range map[string]*View{"leave": full, "full": nil, "join": Build(nil, ups[2:], DefaultConfig())} {
			b.Run(fmt.Sprintf("%s/upstreams=%d", name, size[0]), func(b *testing.B) {
				for b.Loop() {
					Build(prev, ups[1:], DefaultConfig())
				}
			})
		}
	}
}
