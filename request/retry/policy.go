// Package retry decides whether a failed request is retried on its next candidate, resumed, or ended with an error.
//
// A request is retried only after an attempt that did not run, or if its route is idempotent. Once a part of the response has been
// delivered to the caller, the request can only be resumed at that offset. The result code for the caller covers all attempts: its
// outcome is "not run" only if no attempt may have run.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/jayridge/jayridge/request/result"
)

// Action is the next step for a request after an attempt.
type Action uint8

// The actions.
const (
	// GiveUp ends the request with Decision.Code as the result for the caller.
	GiveUp Action = iota
	// Retry restarts the request on its next candidate.
	Retry
	// Resume continues the response at Decision.Offset on the next candidate.
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

// Attempt describes a finished attempt.
type Attempt struct {
	// Code is the result of the attempt. It is result.Unreachable if no frame was sent.
	Code result.Code
	// Accepted reports whether an Accepted frame was received for the attempt.
	Accepted bool
	// DataCentre is the data centre of the attempt's upstream.
	DataCentre string
}

// mayHaveRun reports whether the attempt was, or may have been, handed to an upstream.
func (a Attempt) mayHaveRun() bool {
	return a.Accepted || a.Code.Outcome() != result.NotRun
}

// unreachable reports whether no frame of the attempt was sent.
func (a Attempt) unreachable() bool { return a.Code == result.Unreachable && !a.mayHaveRun() }

// effectiveCode returns the attempt's code, or result.UpstreamBroken if the sidecar reports "not run" after it sent Accepted.
func (a Attempt) effectiveCode() result.Code {
	if a.Accepted && a.Code.Outcome() == result.NotRun {
		return result.UpstreamBroken
	}
	return a.Code
}

// Request is the state of a request after its latest attempt failed.
type Request struct {
	// Attempts are the finished attempts in order. None of them may have the code result.OK.
	Attempts []Attempt
	// Idempotent reports whether a rule declares the request's route safe to run more than once.
	Idempotent bool
	// Resumable reports whether the service's upstreams can continue a response at an offset.
	Resumable bool
	// Delivered is the number of chunks that were passed on to the caller.
	Delivered uint32
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Paid means that the cost of a retry has been taken from the budget with Policy.Reserve.
	Paid bool
	// CandidatesLeft is the number of candidates that may be tried next. After the last candidate, a caller starts again at the
	// first one if any candidate refused because of its load.
	CandidatesLeft int
}

// Decision is the result of Policy.Decide.
type Decision struct {
	Action Action
	// Backoff is the time to wait before a retry or resume.
	Backoff time.Duration
	// Offset is the number of chunks that a resumed attempt skips.
	Offset uint32
	// SkipDataCentre tells the caller to skip the remaining candidates in the data centre of the latest attempt, if other candidates
	// are left.
	SkipDataCentre bool
	// Code is the result code for the caller on GiveUp.
	Code result.Code
}

// Policy makes retry decisions. It is immutable and safe for concurrent use.
type Policy struct {
	cfg Config
}

// NewPolicy returns a policy. cfg must be valid.
func NewPolicy(cfg Config) *Policy {
	return &Policy{cfg: cfg}
}

// Decide returns the next step after the latest attempt. It charges the cost of a retry to budget and uses random to jitter the
// backoff. Neither is safe for concurrent use.
func (p *Policy) Decide(now time.Time, r Request, budget *Budget, random *rand.Rand) Decision {
	giveUp := Decision{Action: GiveUp, Code: FinalCode(r)}
	action := p.allowed(r)
	if action == GiveUp {
		return giveUp
	}
	backoff := p.backoff(r.Attempts, random)
	if r.TimeLeft-backoff < p.cfg.MinTimeLeft {
		return giveUp
	}
	if !r.Paid && !budget.spend(now, p.retryCost(r.Attempts)) {
		return giveUp
	}
	d := Decision{Action: action, Backoff: backoff, SkipDataCentre: p.skipDataCentre(r.Attempts)}
	if action == Resume {
		d.Offset = r.Delivered
	}
	return d
}

// Reserve takes the cost of a retry after an attempt that may have run from the budget. It returns false if the budget holds less: an attempt that
// cannot be followed by a retry should not be given up.
func (p *Policy) Reserve(now time.Time, budget *Budget) bool {
	return budget.spend(now, p.cfg.FailureCost)
}

// allowed returns the action that safety and the attempt limits permit while a candidate and time are left, regardless of backoff
// and budget.
func (p *Policy) allowed(r Request) Action {
	if len(r.Attempts) == 0 || p.attemptsExhausted(r.Attempts) || r.CandidatesLeft <= 0 || r.TimeLeft <= 0 {
		return GiveUp
	}
	if ran := possibleRuns(r); ran > 0 && (!r.Idempotent || ran > p.cfg.MaxReruns) {
		return GiveUp
	}
	if !otherUpstreamMayHelp(r.Attempts[len(r.Attempts)-1]) && !p.mayRetryTeamLimit(r.Attempts) {
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

// attemptsExhausted reports whether the number of attempts has reached a limit.
func (p *Policy) attemptsExhausted(attempts []Attempt) bool {
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

// possibleRuns returns the number of attempts that may have run, which is at least one if a chunk was delivered.
func possibleRuns(r Request) int {
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

// otherUpstreamMayHelp reports whether another upstream may succeed where the attempt failed. For attempts that may have run, this is
// true only for failures of a single upstream or connection.
func otherUpstreamMayHelp(a Attempt) bool {
	if !a.mayHaveRun() {
		return a.Code.Info().RetryElsewhere
	}
	switch a.effectiveCode() {
	case result.UpstreamError, result.UpstreamBroken, result.ConnectionLost, result.BadAnswer:
		return true
	default:
		return false
	}
}

// mayRetryTeamLimit reports whether the latest attempt was refused because of the team's limit and another upstream may have capacity
// for the team. Each upstream checks the team's share on its own, and a chat puts its whole load on one upstream.
func (p *Policy) mayRetryTeamLimit(attempts []Attempt) bool {
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

// FinalCode returns the result code for the caller: that of the latest attempt that may have run; otherwise
// result.DeadlineBeforeRun if the deadline has passed; otherwise that of the latest attempt. The code is result.UpstreamBroken if
// chunks were delivered but no attempt may have run, and result.NoUpstream if there was no attempt.
func FinalCode(r Request) result.Code {
	for i := len(r.Attempts) - 1; i >= 0; i-- {
		if r.Attempts[i].mayHaveRun() {
			return r.Attempts[i].effectiveCode()
		}
	}
	if r.Delivered > 0 {
		return result.UpstreamBroken
	}
	if r.TimeLeft <= 0 {
		return result.DeadlineBeforeRun
	}
	if len(r.Attempts) == 0 {
		return result.NoUpstream
	}
	return r.Attempts[len(r.Attempts)-1].Code
}

// retryCost returns the budget cost of a retry after the latest attempt.
func (p *Policy) retryCost(attempts []Attempt) float64 {
	switch last := attempts[len(attempts)-1]; {
	case last.mayHaveRun():
		return p.cfg.FailureCost
	case last.unreachable():
		return p.cfg.UnreachableCost
	default:
		return p.cfg.RefusalCost
	}
}

// backoff returns a random duration up to an exponentially growing limit (full jitter). The first ImmediateRefusals refusals do not
// count, so that a request that a full upstream refused moves on to the next candidate without delay.
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

// backoffLimit returns the upper limit of the n-th backoff, where n is steps. Without steps there is no backoff.
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

// skipDataCentre reports whether the latest SkipDataCentreAfter attempts all went to the same data centre and found it out of service.
func (p *Policy) skipDataCentre(attempts []Attempt) bool {
	if p.cfg.SkipDataCentreAfter == 0 || len(attempts) < p.cfg.SkipDataCentreAfter {
		return false
	}
	latest := attempts[len(attempts)-p.cfg.SkipDataCentreAfter:]
	for _, a := range latest {
		if a.DataCentre != latest[0].DataCentre || !outOfService(a) {
			return false
		}
	}
	return true
}

// outOfService reports whether the attempt found its upstream unreachable, drained or leaving.
func outOfService(a Attempt) bool {
	switch a.Code {
	case result.Unreachable, result.Draining, result.Leaving:
		return !a.Accepted
	default:
		return false
	}
}
