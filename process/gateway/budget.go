package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/retry"
)

const (
	// budgetShare is the part of the fleet's retry ratio that a gateway uses. The rest covers requests counted in another window.
	budgetShare = 0.8
	// budgetBurst is the number of retries that a gateway may make without requests. A fleet's bound allows some ten for each of a
	// handful of gateways.
	budgetBurst = 8
	// maxSends bounds the upstreams that one request is offered to, refusals included.
	maxSends = 4
)

// budgets hold one retry budget for each service.
type budgets struct {
	fleet settings.Fleet

	mu        sync.Mutex
	random    *rand.Rand
	byService map[string]*retry.Budget
	policies  map[int]*retry.Policy
}

func newBudgets(fleet settings.Fleet) *budgets {
	return &budgets{
		fleet:     fleet,
		random:    rand.New(rand.NewPCG(rand.Uint64(), 0)),
		byService: make(map[string]*retry.Budget),
		policies:  make(map[int]*retry.Policy),
	}
}

// config returns the retry settings of routes with a number of attempts.
func (b *budgets) config(attempts int) retry.Config {
	c := retry.DefaultConfig()
	c.MaxAttempts = max(maxSends, attempts)
	c.MaxReruns = attempts - 1
	c.BudgetShare = budgetShare * b.fleet.RetryRatio
	c.BudgetPerSecond = 0
	c.BudgetBurst = budgetBurst
	c.RefusalCost = 1 // a send that an upstream refuses counts like any other
	return c
}

// budget returns a service's budget. The lock is held.
func (b *budgets) budget(now time.Time, service string) *retry.Budget {
	budget := b.byService[service]
	if budget == nil {
		budget = retry.NewBudget(now, b.config(1))
		b.byService[service] = budget
	}
	return budget
}

// request counts a caller's request to a service.
func (b *budgets) request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(now, service).Request(now)
}

// decide says what to do after the latest attempt of a request.
func (b *budgets) decide(now time.Time, service string, attempts int, r retry.Request) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	policy := b.policies[attempts]
	if policy == nil {
		policy = retry.NewPolicy(b.config(attempts))
		b.policies[attempts] = policy
	}
	return policy.Decide(now, r, b.budget(now, service), b.random)
}
