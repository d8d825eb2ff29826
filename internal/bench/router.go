package bench

import (
	"cmp"
	"slices"

	"github.com/jayridge/jayridge/request/candidate"
)

// routeFunc returns the candidates of a request in order of preference.
type routeFunc func(e *entry, j *job) []candidate.Candidate

// routeByView routes as the real entries do, by the candidate view of the entry.
func routeByView(e *entry, j *job) []candidate.Candidate {
	view := e.fleet.states[e.state].view
	return view.Candidates(modelService, modelVersion, nil, j.chat, make([]candidate.Candidate, 0, maxCandidates))
}

// routeRoundRobin takes the listed runners in turn.
func routeRoundRobin(e *entry, _ *job) []candidate.Candidate {
	listed := e.fleet.listedRunners()
	e.fleet.nextRoundRobin++
	return candidatesFrom(listed, e.fleet.nextRoundRobin)
}

// routeLeastLoad takes the runner with the least actual load, without delay.
func routeLeastLoad(e *entry, _ *job) []candidate.Candidate {
	listed := e.fleet.listedRunners()
	// Ties go to a random runner.
	first := e.fleet.rng.IntN(len(listed))
	best := first
	for i := range listed {
		if index := (first + i) % len(listed); listed[index].work < listed[best].work {
			best = index
		}
	}
	return candidatesFrom(listed, best)
}

// routeByOracle reads all caches directly. It prefers the runners with the longest cached prefix of the chat, followed by the candidates of
// routeByView.
func routeByOracle(e *entry, j *job) []candidate.Candidate {
	holders := slices.DeleteFunc(slices.Clone(e.fleet.holders[j.chat]), func(r *runner) bool { return r.departed })
	slices.SortStableFunc(holders, func(a, b *runner) int { return cmp.Compare(b.cachedPrefix(j.chat), a.cachedPrefix(j.chat)) })
	all := make([]candidate.Candidate, 0, maxCandidates)
	for _, r := range holders {
		if len(all) < maxCandidates/2 {
			all = append(all, r.candidate())
		}
	}
	for _, c := range routeByView(e, j) {
		if len(all) < maxCandidates && !slices.Contains(all, c) {
			all = append(all, c)
		}
	}
	return all
}

func (r *runner) cachedPrefix(chat uint64) int {
	tokens, _ := r.cache.Peek(chat)
	return tokens
}

func (r *runner) candidate() candidate.Candidate {
	return candidate.Candidate{ID: r.id, DataCentre: r.dataCentre}
}

func (f *fleet) listedRunners() []*runner {
	drained := f.states[len(f.states)-1].drained
	var listed []*runner
	for _, r := range f.runners {
		if r.listed && r.dataCentre != drained {
			listed = append(listed, r)
		}
	}
	return listed
}

// candidatesFrom returns up to maxCandidates runners in list order, starting at index first.
func candidatesFrom(listed []*runner, first int) []candidate.Candidate {
	all := make([]candidate.Candidate, 0, maxCandidates)
	for i := range min(len(listed), maxCandidates) {
		all = append(all, listed[(first+i)%len(listed)].candidate())
	}
	return all
}
