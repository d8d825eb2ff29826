package entry

import (
	"time"

	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/candidate"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/request/retry"
)

// maxCandidates is the maximum number of upstreams considered for one request.
const maxCandidates = 8

// candidateList holds the upstreams that a request may try, in order of preference. It is not safe for concurrent use.
type candidateList struct {
	// all holds every candidate; remaining holds those not yet tried in the current pass.
	all, remaining []candidate.Candidate
	// fallback holds the candidates of a shift's old version, which follow those of the new version. It is empty if only one version may be
	// used.
	fallback []candidate.Candidate
}

// next returns the next candidate to try and starts over when all have been tried. The list must not be empty.
func (c *candidateList) next() candidate.Candidate {
	if len(c.remaining) == 0 {
		c.remaining = c.all
	}
	first := c.remaining[0]
	c.remaining = c.remaining[1:]
	return first
}

// selectCandidates returns the candidates of the first version that has any, stored in dst. For a request routed to the new version of
// a shift, candidates of the old version are appended as a fallback. The new version is never a fallback for the old one, because a
// saturated old version would then overload the new one.
func (x *exchange) selectCandidates(r *routingTable, versions []string, dst []candidate.Candidate) candidateList {
	if x.plan != nil && versions[0] == x.plan.To {
		newer := x.versionCandidates(r, x.plan.To, dst[:0:cap(dst)/2])
		old := x.versionCandidates(r, x.plan.From, dst[len(newer):len(newer)])
		all := dst[:len(newer)+len(old)]
		return candidateList{all: all, remaining: all, fallback: old}
	}
	for _, version := range versions {
		if found := x.versionCandidates(r, version, dst); len(found) > 0 {
			return candidateList{all: found, remaining: found}
		}
	}
	return candidateList{}
}

// versionCandidates returns the candidates of one service version, with unresponsive ones last.
func (x *exchange) versionCandidates(r *routingTable, version string, dst []candidate.Candidate) []candidate.Candidate {
	found := r.view.Candidates(x.service.Name, version, nil, x.chat, dst)
	x.e.unresponsive.moveToBack(time.Now(), found)
	return found
}

// remainingCandidates returns the number of candidates that may still be tried. After a refusal for load the list starts over, because
// load changes within milliseconds. A partly delivered response can only continue on its current upstream.
func (x *exchange) remainingCandidates(last result.Code, c *candidateList) int {
	if x.deliveredChunks > 0 {
		return 1
	}
	if len(c.remaining) == 0 && isLoadRefusal(last) {
		return len(c.all)
	}
	return len(c.remaining)
}

// isLoadRefusal reports whether the upstream refused the request because of its current load.
func isLoadRefusal(code result.Code) bool {
	return code == result.OverBound || code == result.ColdStart || code == result.Full
}

// pruneCandidates removes candidates that the failed attempt rules out for the next one.
func (x *exchange) pruneCandidates(c *candidateList, target services.Instance, code result.Code, decision retry.Decision) {
	switch {
	case decision.Action == retry.Resume:
		// A partly delivered response can only be resumed exactly by the engine that started it.
		c.remaining = []candidate.Candidate{{ID: target.ID, DataCentre: target.DataCentre}}
	case x.newVersionFailed(target, code) && len(c.fallback) > 0:
		c.all, c.remaining = c.fallback, c.fallback
	case decision.SkipDataCentre:
		c.remaining = withoutDataCentre(c.remaining, target.DataCentre)
	}
}

// newVersionFailed reports whether an attempt on a shift's new version failed in a way that the version may have caused, or was
// refused because the rollout was stopped.
func (x *exchange) newVersionFailed(target services.Instance, code result.Code) bool {
	if x.plan == nil || target.Version != x.plan.To {
		return false
	}
	return code.Outcome() != result.NotRun || code == result.VersionStopped
}

// withoutDataCentre returns the candidates outside the given data centre, or all candidates if there are no others.
func withoutDataCentre(candidates []candidate.Candidate, dataCentre string) []candidate.Candidate {
	var others []candidate.Candidate
	for _, c := range candidates {
		if c.DataCentre != dataCentre {
			others = append(others, c)
		}
	}
	if len(others) == 0 {
		return candidates
	}
	return others
}
