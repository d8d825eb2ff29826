package bench

import (
	"cmp"
	"slices"

	"github.com/jayridge/jayridge/request/candidate"
)

// router gives the candidates of a request, the preferred one first.
type router func(e *entry, j *job) []candidate.Candidate

// byView is the way of the entries.
func byView(e *entry, j *job) []candidate.Candidate {
	view := e.f.states[e.state].view
	return view.Candidates(modelService, modelVersion, nil, j.chat, make([]candidate.Candidate, 0, maxCandidates))
}

// byRoundRobin takes the runners in turn.
func byRoundRobin(e *entry, _ *job) []candidate.Candidate {
	listed := e.f.listed()
	e.f.next++
	return candidates(listed, e.f.next)
}

// byLeastLoad knows the true load of each runner at any time.
func byLeastLoad(e *entry, _ *job) []candidate.Candidate {
	listed := e.f.listed()
	// Ties go to a random runner.
	first := e.f.rng.IntN(len(listed))
	best := first
	for i := range listed {
		if at := (first + i) % len(listed); listed[at].work < listed[best].work {
			best = at
		}
	}
	return candidates(listed, best)
}

// byOracle knows all caches: it prefers the runners that hold the longest prefix of the chat, then goes the way of the entries.
func byOracle(e *entry, j *job) []candidate.Candidate {
	holders := slices.DeleteFunc(slices.Clone(e.f.holders[j.chat]), func(r *runner) bool { return r.gone })
	slices.SortStableFunc(holders, func(a, b *runner) int { return cmp.Compare(b.prefix(j.chat), a.prefix(j.chat)) })
	all := make([]candidate.Candidate, 0, maxCandidates)
	for _, r := range holders {
		if len(all) < maxCandidates/2 {
			all = append(all, r.candidate())
		}
	}
	for _, c := range byView(e, j) {
		if len(all) < maxCandidates && !slices.Contains(all, c) {
			all = append(all, c)
		}
	}
	return all
}

func (r *runner) prefix(chat uint64) int {
	tokens, _ := r.cache.Peek(chat)
	return tokens
}

func (r *runner) candidate() candidate.Candidate {
	return candidate.Candidate{ID: r.id, DataCentre: r.dataCentre}
}

func (f *fleet) listed() []*runner {
	drained := f.states[len(f.states)-1].drained
	var listed []*runner
	for _, r := range f.runners {
		if r.listed && r.dataCentre != drained {
			listed = append(listed, r)
		}
	}
	return listed
}

// candidates returns the runners from a place on.
func candidates(listed []*runner, first int) []candidate.Candidate {
	all := make([]candidate.Candidate, 0, maxCandidates)
	for i := range min(len(listed), maxCandidates) {
		all = append(all, listed[(first+i)%len(listed)].candidate())
	}
	return all
}
