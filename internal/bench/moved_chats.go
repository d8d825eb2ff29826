package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/jayridge/jayridge/request/candidate"
)

// comparedChats is the number of chats whose first candidates are compared.
const comparedChats = 20_000

// measureMoves measures the share of chats whose first candidate changes when one of n runners leaves, returns, or is added. The unit is 1/n.
func measureMoves(o Options) []Figure {
	perDeployment := parallel(len(deployments), func(i int) []Figure { return moveFigures(o, deployments[i]) })
	return slices.Concat(perDeployment...)
}

func moveFigures(o Options, d deployment) []Figure {
	rng := rand.New(rand.NewPCG(o.Seed, 3))
	chats := make([]uint64, comparedChats)
	for i := range chats {
		chats[i] = rng.Uint64()
	}
	ups := d.upstreams(0)
	full := candidate.Build(nil, ups, candidate.DefaultConfig())
	step := 1 + d.runners/150
	if o.Short {
		step = 1 + d.runners/12
	}
	var left, returned, added, steps int
	before := firstCandidates(full, chats)
	for i := 0; i < len(ups); i += step {
		without := candidate.Build(full, slices.Delete(slices.Clone(ups), i, i+1), candidate.DefaultConfig())
		rest := firstCandidates(without, chats)
		left += differences(before, rest)
		returned += differences(rest, firstCandidates(candidate.Build(without, ups, candidate.DefaultConfig()), chats))
		added += differences(before, firstCandidates(candidate.Build(full, d.upstreams(1+i), candidate.DefaultConfig()), chats))
		steps++
	}
	movedPerRunner := func(moved int) float64 {
		return float64(moved) / float64(steps*len(chats)) * float64(d.runners)
	}
	modulo := Baseline{"hash modulo n", float64(d.runners - 1)}
	figure := func(what string, moved int) Figure {
		return Figure{
			Measure: "chats that move", Name: d.String() + ", a runner " + what, Value: movedPerRunner(moved), Unit: "/n", Bound: 1.05, Bounded: true,
			Baselines: []Baseline{modulo},
		}
	}
	return []Figure{figure("leaves", left), figure("returns", returned), figure("is added", added)}
}

// upstreams returns the runners of a deployment. If extra is not zero, one more runner follows, whose number is offset by extra.
func (d deployment) upstreams(extra int) []candidate.Upstream {
	ups := make([]candidate.Upstream, 0, d.runners+1)
	for i := range d.runners {
		ups = append(ups, upstream(i, i%d.dataCentres))
	}
	if extra > 0 {
		ups = append(ups, upstream(d.runners+extra, extra%d.dataCentres))
	}
	return ups
}

func upstream(i, dataCentre int) candidate.Upstream {
	return candidate.Upstream{
		ID: fmt.Sprintf("runner-%04d", i), DataCentre: dataCentreName(dataCentre), Service: modelService, Version: modelVersion,
	}
}

// firsts returns the first candidate of each chat.
func firstCandidates(view *candidate.View, chats []uint64) []candidate.Candidate {
	all := make([]candidate.Candidate, len(chats))
	for i, chat := range chats {
		view.Candidates(modelService, modelVersion, nil, chat, all[i:i:i+1])
	}
	return all
}

func differences(a, b []candidate.Candidate) int {
	n := 0
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return n
}
