// Package retry decides whether a request is tried again on its next candidate, resumed, or answered.
//
// A request is tried again only after an attempt that did not run, or if its route is idempotent. Once a part of the answer
// went to the caller, it can only be resumed at that offset. The code that the caller is told covers all attempts: it is
// "not run" only if no attempt may have run.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/jayridge/jayridge/request/result"
)

// Action says what to do with a request after an attempt.
type Action uint8

// The actions.
const (
	// GiveUp answers the caller with Decision.Code.
	GiveUp Action = iota
	// Retry starts the request anew on its next candidate.
	Retry
	// Resume continues the answer at Decision.Offset on the next candidate.
	Resume
)

// String returns the action's name.
func (a Action) String() string {
	switch a {
	case Retry:
		return "retry"
	case Resume:
		return "resume"
	default:
		return "give up"
	}
}

// Attempt is one finished attempt.
type Attempt struct {
	// Code is the attempt's result, result.Unreachable if no frame of it was sent.
	Code result.Code
	// Accepted says that an Accepted frame of the attempt arrived.
	Accepted bool
	// DataCentre is that of the attempt's upstream.
	DataCentre string
}

// mayHaveRun says whether the attempt was or may have been handed to an upstream.
func (a Attempt) mayHaveRun() bool {
	return a.Accepted || a.Code.Outcome() != result.NotRun
}

// unreachable says whether nothing of the attempt was sent.
func (a Attempt) unreachable() bool { return a.Code == result.Unreachable && !a.mayHaveRun() }

// verdict is the attempt's code, corrected when a sidecar reports "not run" after Accepted.
func (a Attempt) verdict() result.Code {
	if a.Accepted && a.Code.Outcome() == result.NotRun {
		return result.UpstreamBroken
	}
	return a.Code
}

// Request is what the policy knows of a request after its latest attempt failed.
type Request struct {
	// Attempts are the finished attempts, the latest one last. None of them may have the code result.OK.
	Attempts []Attempt
	// Idempotent says that a rule declares the request's route safe to run more than once.
	Idempotent bool
	// Resumable says that the service's upstreams can continue an answer at an offset.
	Resumable bool
	// Delivered is the number of chunks that went to the caller.
	Delivered uint32
	// Left is the time to the request's deadline.
	Left time.Duration
	// CandidatesLeft is the number of candidates that may be tried next. A caller starts over with the first candidate after
	// the last one if any refused for load.
	CandidatesLeft int
}

// Decision is the policy's answer.
type Decision struct {
	Action Action
	// Backoff is the time to wait before a retry or resume.
	Backoff time.Duration
	// Offset is the number of chunks that a resumed attempt skips.
	Offset uint32
	// SkipDataCentre says to pass over the remaining candidates of the latest attempt's data centre if others are left.
	SkipDataCentre bool
	// Code is what the caller is told on GiveUp.
	Code result.Code
}

// Policy decides on retries. It is immutable and safe for concurrent use.
type Policy struct {
	cfg Config
}

// NewPolicy returns a policy. cfg must be valid.
func NewPolicy(cfg Config) *Policy {
	return &Policy{cfg: cfg}
}

// Decide returns what to do after the latest attempt. It takes the cost of a retry from budget. random jitters the backoff.
// Neither is safe for concurrent use.
func (p *Policy) Decide(now time.Time, r Request, budget *Budget, random *rand.Rand) Decision {
	giveUp := Decision{Action: GiveUp, Code: FinalCode(r)}
	action := p.allowed(r)
	if action == GiveUp {
		return giveUp
	}
	backoff := p.backoff(r.Attempts, random)
	if r.Left-backoff < p.cfg.MinTimeLeft {
		return giveUp
	}
	if !budget.spend(now, p.price(r.Attempts)) {
		return giveUp
	}
	d := Decision{Action: action, Backoff: backoff, SkipDataCentre: p.skipDataCentre(r.Attempts)}
	if action == Resume {
		d.Offset = r.Delivered
	}
	return d
}

// allowed returns the action that safety and the number of attempts permit, regardless of time and budget.
func (p *Policy) allowed(r Request) Action {
	if len(r.Attempts) == 0 || p.spent(r.Attempts) || r.CandidatesLeft <= 0 || r.Left <= 0 {
		return GiveUp
	}
	if ran := runs(r); ran > 0 && (!r.Idempotent || ran > p.cfg.MaxReruns) {
		return GiveUp
	}
	if !mayHelp(r.Attempts[len(r.Attempts)-1]) && !p.otherTeamRoom(r.Attempts) {
		return GiveUp
	}
	if r.Delivered == 0 {
		return Retry
	}
	if r.Resumable && r.Idempotent {
		return Resume
	}
	return GiveUp
}

// spent says whether the number of attempts has reached a bound.
func (p *Policy) spent(attempts []Attempt) bool {
	if p.cfg.MaxUnreachable == 0 {
		return len(attempts) >= p.cfg.MaxAttempts
	}
	unreachable := 0
	for _, a := range attempts {
		if a.unreachable() {
			unreachable++
		}
	}
	return unreachable >= p.cfg.MaxUnreachable || len(attempts)-unreachable >= p.cfg.MaxAttempts
}

// runs counts the attempts that may have run, at least one if a chunk was delivered.
func runs(r Request) int {
	n := 0
	for _, a := range r.Attempts {
		if a.mayHaveRun() {
			n++
		}
	}
	if n == 0 && r.Delivered > 0 {
		return 1
	}
	return n
}

// mayHelp says whether another upstream may give a better result than the attempt's. For attempts that may have run, that
// holds for the failures of one upstream or connection only.
func mayHelp(a Attempt) bool {
	if !a.mayHaveRun() {
		return a.Code.Info().Elsewhere
	}
	switch a.verdict() {
	case result.UpstreamError, result.UpstreamBroken, result.ConnectionLost, result.BadAnswer:
		return true
	default:
		return false
	}
}

// otherTeamRoom says whether the latest attempt was refused for its team and another upstream may have room for the team. The
// team's share is judged at each upstream, and a chat brings its whole load to one.
func (p *Policy) otherTeamRoom(attempts []Attempt) bool {
	if last := attempts[len(attempts)-1]; last.Code != result.TeamLimit || last.mayHaveRun() {
		return false
	}
	refusals := 0
	for _, a := range attempts {
		if a.Code == result.TeamLimit {
			refusals++
		}
	}
	return refusals < p.cfg.MaxTeamRefusals
}

// FinalCode is the code that the caller is told: that of the latest attempt that may have run, else the deadline's, else that
// of the latest attempt.
func FinalCode(r Request) result.Code {
	for i := len(r.Attempts) - 1; i >= 0; i-- {
		if r.Attempts[i].mayHaveRun() {
			return r.Attempts[i].verdict()
		}
	}
	if r.Delivered > 0 {
		return result.UpstreamBroken
	}
	if r.Left <= 0 {
		return result.DeadlineBeforeRun
	}
	if len(r.Attempts) == 0 {
		return result.NoUpstream
	}
	return r.Attempts[len(r.Attempts)-1].Code
}

// price is what a retry after the latest attempt costs.
func (p *Policy) price(attempts []Attempt) float64 {
	switch last := attempts[len(attempts)-1]; {
	case last.mayHaveRun():
		return p.cfg.FailureCost
	case last.unreachable():
		return p.cfg.UnreachableCost
	default:
		return p.cfg.RefusalCost
	}
}

// backoff returns a random time up to an exponentially growing limit (full jitter). The first refusals do not count: moving on
// to the next candidate is the way that overflow takes.
func (p *Policy) backoff(attempts []Attempt, random *rand.Rand) time.Duration {
	steps, refusals := 0, 0
	for _, a := range attempts {
		if !a.mayHaveRun() {
			refusals++
			if refusals <= p.cfg.ImmediateRefusals {
				continue
			}
		}
		steps++
	}
	limit := p.backoffLimit(steps)
	if limit <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(limit) + 1))
}

func (p *Policy) backoffLimit(steps int) time.Duration {
	if steps == 0 {
		return 0
	}
	limit := p.cfg.BaseBackoff
	for range steps - 1 {
		if limit > p.cfg.MaxBackoff/2 {
			return p.cfg.MaxBackoff
		}
		limit *= 2
	}
	return min(limit, p.cfg.MaxBackoff)
}

// skipDataCentre says whether the latest attempts all found their data centre out of service.
func (p *Policy) skipDataCentre(attempts []Attempt) bool {
	if p.cfg.LeaveDataCentreAfter == 0 || len(attempts) < p.cfg.LeaveDataCentreAfter {
		return false
	}
	latest := attempts[len(attempts)-p.cfg.LeaveDataCentreAfter:]
	for _, a := range latest {
		if a.DataCentre != latest[0].DataCentre || !outOfService(a) {
			return false
		}
	}
	return true
}

func outOfService(a Attempt) bool {
	switch a.Code {
	case result.Unreachable, result.Draining, result.Leaving:
		return !a.Accepted
	default:
		return false
	}
}
