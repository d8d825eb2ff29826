package entry

import (
	"time"

	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/candidate"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/request/retry"
)

// maxCandidates bounds the upstreams that a request may try.
const maxCandidates = 8

// choice is the upstreams that a request may try, in order. It belongs to the request's goroutine.
type choice struct {
	// all is where the request starts over, left what it has not tried since it last did.
	all, left []candidate.Candidate
	// old are those of a shift's old version, which follow the new one's; empty if the request goes to one version only.
	old []candidate.Candidate
}

// next returns the candidate to try next. There must be one.
func (c *choice) next() candidate.Candidate {
	if len(c.left) == 0 {
		c.left = c.all
	}
	first := c.left[0]
	c.left = c.left[1:]
	return first
}

// choose returns the upstreams for the request, in dst: those of the first of the versions that has any. While a shift is under way, those of
// the old version follow the new one's; never the reverse, as a full old version would fill the new one.
func (x *exchange) choose(r *routing, versions []string, dst []candidate.Candidate) choice {
	if x.plan != nil && versions[0] == x.plan.To {
		newer := x.ofVersion(r, x.plan.To, dst[:0:cap(dst)/2])
		old := x.ofVersion(r, x.plan.From, dst[len(newer):len(newer)])
		all := dst[:len(newer)+len(old)]
		return choice{all: all, left: all, old: old}
	}
	for _, version := range versions {
		if found := x.ofVersion(r, version, dst); len(found) > 0 {
			return choice{all: found, left: found}
		}
	}
	return choice{}
}

func (x *exchange) ofVersion(r *routing, version string, dst []candidate.Candidate) []candidate.Candidate {
	found := r.view.Candidates(x.service.Name, version, nil, x.chat, dst)
	x.e.unresponsive.order(time.Now(), found)
	return found
}

// candidatesLeft returns how many candidates may be tried next. The list starts over after a refusal for load, because the load changes
// within milliseconds; an answer that has begun can only go on at its upstream.
func (x *exchange) candidatesLeft(last result.Code, c *choice) int {
	if x.delivered > 0 {
		return 1
	}
	if len(c.left) == 0 && isLoadRefusal(last) {
		return len(c.all)
	}
	return len(c.left)
}

func isLoadRefusal(code result.Code) bool {
	return code == result.OverBound || code == result.ColdStart || code == result.Full
}

// narrow leaves out the candidates that a failed attempt speaks against.
func (x *exchange) narrow(c *choice, target services.Instance, code result.Code, decision retry.Decision) {
	switch {
	case decision.Action == retry.Resume:
		// Only the engine that produced the first parts continues them exactly.
		c.left = []candidate.Candidate{{ID: target.ID, DataCentre: target.DataCentre}}
	case x.newVersionFailed(target, code) && len(c.old) > 0:
		c.all, c.left = c.old, c.old
	case decision.SkipDataCentre:
		c.left = skipDataCentre(c.left, target.DataCentre)
	}
}

// newVersionFailed reports whether an attempt failed in a way that may be the fault of a shift's new version, or was refused because the
// version is taken back.
func (x *exchange) newVersionFailed(target services.Instance, code result.Code) bool {
	if x.plan == nil || target.Version != x.plan.To {
		return false
	}
	return code.Outcome() != result.NotRun || code == result.VersionStopped
}

// skipDataCentre drops the candidates of a data centre unless no others are left.
func skipDataCentre(candidates []candidate.Candidate, dataCentre string) []candidate.Candidate {
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
