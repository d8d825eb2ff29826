package retry

import (
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jayridge/jayridge/request/result"
)

var start = time.Unix(1_000_000, 0)

func decide(cfg Config, r Request) Decision {
	return NewPolicy(cfg).Decide(start, r, NewBudget(start, cfg), rand.New(rand.NewPCG(1, 1)))
}

// request returns a request with enough time and candidates for another attempt.
func request(attempts ...Attempt) Request {
	return Request{Attempts: attempts, TimeLeft: time.Minute, CandidatesLeft: 5}
}

// For every code that a sidecar may send, including unregistered codes, a request that is not idempotent must not run again, and a
// retry that cannot succeed must not be made.
func TestDecide_EveryResultCode(t *testing.T) {
	rerun := map[result.Code]bool{result.UpstreamError: true, result.UpstreamBroken: true, result.ConnectionLost: true, result.BadAnswer: true}
	for n := 1; n < 256; n++ {
		code := result.Code(n)
		notRun, elsewhere := code.Outcome() == result.NotRun, code.Info().RetryElsewhere || code == result.TeamLimit
		for _, accepted := range []bool{false, true} {
			r := request(Attempt{Code: code, Accepted: accepted})
			d := decide(DefaultConfig(), r)
			must.Eq(t, notRun && elsewhere && !accepted, d.Action == Retry, must.Sprint(code, accepted))
			must.True(t, d.Action != Resume)
			if d.Action == GiveUp {
				must.Eq(t, notRun && !accepted, d.Code.Outcome() == result.NotRun, must.Sprint(code, accepted))
			}

			r.Idempotent = true
			want := notRun && (elsewhere || accepted) || rerun[code]
			must.Eq(t, want, decide(DefaultConfig(), r).Action == Retry, must.Sprint(code, accepted))

			r.Delivered = 7
			must.Eq(t, GiveUp, decide(DefaultConfig(), r).Action)
			r.Resumable = true
			d = decide(DefaultConfig(), r)
			must.Eq(t, want, d.Action == Resume, must.Sprint(code, accepted))
			must.True(t, d.Action == GiveUp || d.Offset == 7)
		}
	}
}

// A team with a traffic surge must not use up the retry budget of all teams, and refusals for other reasons must not be counted as
// team-limit refusals.
func TestTeamLimitRefusalsAreBounded(t *testing.T) {
	team, full := Attempt{Code: result.TeamLimit}, Attempt{Code: result.Full}
	cfg := DefaultConfig()
	must.LessEq(t, cfg.BudgetRatio, float64(cfg.MaxTeamRefusals-1)*cfg.RefusalCost)
	must.Eq(t, Retry, decide(cfg, request(full, team, full, full, team)).Action)
	must.Eq(t, GiveUp, decide(cfg, request(full, team, full, team, team)).Action)
	must.Eq(t, Retry, decide(cfg, request(team, team, team, full)).Action)
	cfg.MaxTeamRefusals = 1
	must.Eq(t, GiveUp, decide(cfg, request(team)).Action)
}

// After several attempts, a decision must not run a request again that is not idempotent, exceed MaxReruns, repeat delivered chunks,
// report "not run" for a request that may have run, or exceed the deadline, the number of candidates or the number of attempts.
func TestDecisionsAreSafe(t *testing.T) {
	attempt := rapid.Custom(func(t *rapid.T) Attempt {
		often := rapid.SampledFrom([]result.Code{result.OverBound, result.Unreachable, result.ConnectionLost})
		any := rapid.Map(rapid.SampledFrom(result.All()[1:]), func(i result.Info) result.Code { return i.Code })
		code := rapid.OneOf(often, often, often, any).Draw(t, "code")
		return Attempt{Code: code, Accepted: rapid.Bool().Draw(t, "accepted"), DataCentre: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "dc")}
	})
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.MaxAttempts = rapid.IntRange(2, 4).Draw(t, "max")
		r := Request{
			Attempts:       rapid.SliceOfN(attempt, 0, 4).Draw(t, "attempts"),
			Idempotent:     rapid.Bool().Draw(t, "idempotent"),
			Resumable:      rapid.Bool().Draw(t, "resumable"),
			Delivered:      rapid.Uint32Range(0, 2).Draw(t, "delivered"),
			TimeLeft:       time.Duration(rapid.IntRange(-3, 30).Draw(t, "left")) * time.Millisecond,
			CandidatesLeft: rapid.IntRange(0, 2).Draw(t, "candidates"),
		}
		d := decide(cfg, r)
		ran := possibleRuns(r) > 0
		if d.Action == GiveUp {
			must.Eq(t, !ran, d.Code.Outcome() == result.NotRun)
			return
		}
		must.True(t, !ran || r.Idempotent && possibleRuns(r) <= cfg.MaxReruns)
		must.Eq(t, r.Delivered > 0, d.Action == Resume)
		must.True(t, len(r.Attempts) < cfg.MaxAttempts && r.CandidatesLeft > 0)
		must.LessEq(t, r.TimeLeft-cfg.MinTimeLeft, d.Backoff)
	})
}

// Backoffs must grow, be jittered and stay within their limit, and must not delay the first retries on the next candidate after
// load refusals.
func TestBackoff(t *testing.T) {
	cfg := DefaultConfig()
	p := NewPolicy(cfg)
	random := rand.New(rand.NewPCG(2, 2))
	attempts := slices.Repeat([]Attempt{{Code: result.OverBound}}, cfg.ImmediateRefusals)
	must.Zero(t, p.backoff(attempts, random))
	for step, limit := range []time.Duration{10, 20, 40, 80, 160, 320, 640, 1000, 1000, 1000} {
		attempts = append(attempts, Attempt{Code: result.UpstreamBroken})
		limit *= time.Millisecond
		var highest, sum time.Duration
		for range 1000 {
			b := p.backoff(attempts, random)
			highest, sum = max(highest, b), sum+b
		}
		must.Between(t, limit*9/10, highest, limit, must.Sprint(step))
		must.Between(t, limit*9/20, sum/1000, limit*11/20, must.Sprint(step))
	}
	must.Eq(t, p.backoff(attempts, rand.New(rand.NewPCG(3, 3))), p.backoff(attempts, rand.New(rand.NewPCG(3, 3))))
	cfg.BaseBackoff, cfg.MaxBackoff = 1<<62, 1<<63-1
	must.Positive(t, int64(NewPolicy(cfg).backoffLimit(200)))
}

// Retries must not multiply the load on a fleet in which all upstreams refuse or fail.
func TestBudgetLimitsRetries(t *testing.T) {
	for name, c := range map[string]struct {
		attempt Attempt
		cost    float64
	}{
		"refusals": {Attempt{Code: result.OverBound}, DefaultConfig().RefusalCost},
		"failures": {Attempt{Code: result.UpstreamBroken, Accepted: true}, DefaultConfig().FailureCost},
	} {
		cfg := DefaultConfig()
		p, b, random := NewPolicy(cfg), NewBudget(start, cfg), rand.New(rand.NewPCG(4, 4))
		const requests, perSecond = 50_000, 500
		retries := 0
		for n := range requests {
			now := start.Add(time.Duration(n) * time.Second / perSecond)
			b.AddRequest(now)
			r := request(c.attempt)
			r.Idempotent = true
			for p.Decide(now, r, b, random).Action == Retry {
				r.Attempts = append(r.Attempts, c.attempt)
				retries++
			}
		}
		allowed := (requests*cfg.BudgetRatio + requests/perSecond*cfg.BudgetPerSecond + cfg.BudgetBurst) / c.cost
		t.Logf("%s: %.2f retries a request, at most %.2f", name, float64(retries)/requests, allowed/requests)
		must.Between(t, allowed*0.99, float64(retries), allowed)
		must.LessEq(t, cfg.BudgetBurst, b.Tokens(start.Add(time.Hour)))
	}
}

// A request must not try every candidate of a data centre that is out of service.
func TestSkipsDataCentreOutOfService(t *testing.T) {
	a, b := Attempt{Code: result.Unreachable, DataCentre: "a"}, Attempt{Code: result.Draining, DataCentre: "b"}
	over := Attempt{Code: result.OverBound, DataCentre: "a"}
	for _, attempts := range [][]Attempt{{a}, {a, b}, {a, over}, {over, a}} {
		must.False(t, decide(DefaultConfig(), request(attempts...)).SkipDataCentre)
	}
	must.True(t, decide(DefaultConfig(), request(over, a, a)).SkipDataCentre)
	must.True(t, decide(DefaultConfig(), request(a, b, b)).SkipDataCentre)
}

// Validate must reject every invalid field and name it.
func TestValidateNamesFields(t *testing.T) {
	must.NoError(t, DefaultConfig().Validate())
	bad := Config{
		MaxAttempts: 256, MaxReruns: -1, MaxUnreachable: -1, MaxTeamRefusals: -1, ImmediateRefusals: -1, BaseBackoff: -1, MaxBackoff: -1, MinTimeLeft: -1,
		SkipDataCentreAfter: -1, BudgetRatio: -1, BudgetPerSecond: math.NaN(), BudgetBurst: math.Inf(1), UnreachableCost: -1,
	}
	faults := strings.Split(bad.Validate().Error(), "\n")
	must.Len(t, reflect.TypeFor[Config]().NumField(), faults)
	for i, f := range reflect.VisibleFields(reflect.TypeFor[Config]()) {
		must.StrHasPrefix(t, f.Name+":", faults[i])
	}
}

// With an UnreachableCost of zero, retries after unreachable upstreams must not use up the budget. When they did and eleven of 57
// upstreams crashed, 435 requests were refused although healthy upstreams were available.
func TestUnreachableUpstreamsCostNothing(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxAttempts, cfg.MaxUnreachable, cfg.UnreachableCost, cfg.BudgetBurst, cfg.BudgetPerSecond = 2, 6, 0, 0, 0
	gone := Attempt{Code: result.Unreachable}
	must.EqOp(t, Retry, decide(cfg, request(gone)).Action)
	must.EqOp(t, Retry, decide(cfg, request(gone, gone, gone, gone, gone)).Action)
	must.EqOp(t, GiveUp, decide(cfg, request(gone, gone, gone, gone, gone, gone)).Action)
	cfg.BudgetBurst = 5
	full := Attempt{Code: result.Full}
	must.EqOp(t, Retry, decide(cfg, request(gone, gone, full)).Action)
	must.EqOp(t, GiveUp, decide(cfg, request(gone, full, full)).Action)
	cfg.BudgetBurst = 0
	must.EqOp(t, GiveUp, decide(cfg, request(gone, full)).Action)
}

// A retry that was paid for before the attempt was given up must not be charged again, and nothing can be reserved from an empty budget.
func TestReserve_RetryIsPaidOnce(t *testing.T) {
	cfg := DefaultConfig()
	cfg.BudgetBurst, cfg.BudgetPerSecond = 1, 0
	p, budget := NewPolicy(cfg), NewBudget(time.Unix(0, 0), cfg)
	must.True(t, p.Reserve(time.Unix(0, 0), budget))
	must.False(t, p.Reserve(time.Unix(0, 0), budget))
	r := Request{
		Attempts: []Attempt{{Code: result.ConnectionLost, Accepted: true}}, Idempotent: true, TimeLeft: time.Second, CandidatesLeft: 1, Paid: true,
	}
	random := rand.New(rand.NewPCG(1, 1))
	must.EqOp(t, Retry, p.Decide(time.Unix(0, 0), r, budget, random).Action)
	r.Paid = false
	must.EqOp(t, GiveUp, p.Decide(time.Unix(0, 0), r, budget, random).Action)
}
